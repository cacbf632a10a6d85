"""Load aggregation: the load of each engine in a large fleet, at a cost independent of its size.

The engines are divided over a few shards by a hash of their ids. For each shard one gateway at a
time, the holder of a lease (leases.py), is the aggregator: every other one sends it a snapshot of
its own work at the shard's engines when that has changed, and it announces to everyone the sums
that have changed by enough to matter. So a request costs a few messages to one gateway each, in
place of a few to all of them; the sums cost as many bytes a second as engines change their load,
for each gateway that receives them, whatever the number of requests.

A snapshot stands for all that its sender has at that shard, so a lost one is repaired by the next,
and a new process's first voids those of its predecessor. An aggregator that has just taken its
lease announces that (LEASE_TAKEN): it has no sums until the others' snapshots are in, and the
earlier sums are used meanwhile. One that shuts down announces that (LEASE_RELEASED), and its lease
passes on at once.

Sums are hints: what is lost, late, duplicated or from a dead gateway changes them for a bounded
time and nothing else. No I/O and no clock.

A datagram is packed as in codec.py, under a mark of its own, so that a process which knows load
gossip only reads ends of work that was never announced. Content: version (1 byte), kind (1), shard
(1), sequence (1, wrapping around), numbers of read and of write entries (1 each), these entries of
3 bytes: an engine's tag (2: a hash of its id; two that share one share their sums) and a size in
tokens (1, an eighth of a power of two each); then tags (2 each) of engines that failed the sender
of late, or, from an aggregator, at least two gateways.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass

from ..interface import ALL_GATEWAYS
from .codec import CONTENT, newer, pack, unpack
from .leases import Lease
from .load_gossip import BAD_LIFE, READ, SECOND, WRITE, LoadGossip, from_scale, to_scale

MARK = 0x3FFD  # the first word; the work numbers of load gossip stay below it
VERSION = 1
# Kinds of datagrams, by their number on the wire.
SNAPSHOT = 1  # the sender's own work
SUMS_REQUEST = 2  # a snapshot whose sender wants all sums
SUMS = 3  # of an aggregator
LEASE_TAKEN = 4  # of an aggregator that has just taken its lease
LEASE_RELEASED = 5  # of an aggregator that releases its lease
HEAD = 6  # bytes of content before the entries
ENTRY = 3  # bytes of content of one entry
TAG = 2  # bytes of content of one tag
MOST_BLAMED = 16  # tags in one datagram
MOST = (CONTENT - HEAD - TAG * MOST_BLAMED) // ENTRY  # entries of one datagram
GATEWAYS_PER_SHARD = (
    200  # gateways per shard: bounds what an aggregator receives in a fleet of any size
)
MS = 1_000_000  # nanoseconds in a millisecond
GAP = 5 * MS  # between two snapshots to one aggregator: short, since each goes to one gateway only
PERIOD = 100 * MS  # between two looks of an aggregator at what has changed
KEEP = 400 * MS  # after which an aggregator sends something though nothing has changed
RENEW = 2 * SECOND  # after which a snapshot is sent again though it has not changed
REFRESH = 8 * SECOND  # in which each sum is announced again, for gateways that lost it
PATIENCE = 1200 * MS  # lease duration: silence of an aggregator until its lease passes on
MOST_SUMS = 2048  # kept of one shard
SEQUENCES = 256  # sequence numbers wrap around at this number
OVERTAKES = 2 * SECOND  # for which one datagram can overtake another
LIFE = 5 * SECOND  # of a snapshot that is not renewed: its sender has died
COLLECT = 300 * MS  # after taking the lease, until an aggregator has all snapshots
ENOUGH_READ = 200  # tokens by which a sum of reads must change to be announced, ...
ENOUGH_MEMORY = 0.06  # ... share of a writer's memory for writes: less changes no choice, ...
ENOUGH_SHARE = 0.05  # ... or this share of the sum, if that is more
VOICES = 2  # gateways that must report failures at an engine, for the aggregator to announce it
TOLD_OF = 600 * MS  # for which a failure is attached to each snapshot
LAG = 0.4  # seconds by which a sum is late: the sender's gap, the aggregator's period, the network
NEVER = -1 << 62  # a time before all others

Entry = tuple[int, int]  # an engine's tag, and a size on the scale
Work = dict[tuple[int, int], float]  # kind and tag -> tokens


def encode(
    kind: int,
    shard: int,
    sequence: int,
    reads: list[Entry],
    writes: list[Entry],
    blamed: Sequence[int] = (),
) -> bytes:
    """At most 256 bytes: entries beyond MOST and tags beyond MOST_BLAMED are left out."""
    reads = reads[:MOST]
    writes = writes[: MOST - len(reads)]
    content = bytes((VERSION, kind, shard, sequence & 255, len(reads), len(writes)))
    content += b"".join(tag.to_bytes(2) + bytes([size]) for tag, size in reads + writes)
    return pack(content + b"".join(tag.to_bytes(2) for tag in blamed[:MOST_BLAMED]), MARK)


@dataclass(slots=True, frozen=True)
class LoadMessage:
    """One datagram's content. `work`: kind of work and tag -> size on the scale."""

    kind: int
    shard: int
    sequence: int
    work: dict[tuple[int, int], int]
    failed_engines: tuple[int, ...]


def decode(payload: bytes) -> LoadMessage | None:
    """Decodes a datagram; None for whatever is not one of these."""
    content = unpack(payload, MARK)
    if content is None or len(content) < HEAD or content[0] != VERSION:
        return None
    if not SNAPSHOT <= content[1] <= LEASE_RELEASED:
        return None
    read_count = content[4]
    entry_count = read_count + content[5]
    end = HEAD + entry_count * ENTRY
    if end > len(content):
        return None
    work = {}
    for index in range(entry_count):
        start = HEAD + index * ENTRY
        kind = READ if index < read_count else WRITE
        tag = int.from_bytes(content[start : start + TAG])
        work[kind, tag] = content[start + TAG]
    # Unpacking may leave one byte more than was packed.
    tag_starts = range(end, len(content) - 1, TAG)
    blamed = tuple(int.from_bytes(content[start : start + TAG]) for start in tag_starts)
    return LoadMessage(content[1], content[2], content[3], work, blamed)


def overtaken(sequence: int, now: int, last: int, last_at: int) -> bool:
    """Whether a datagram arrives behind the later one `last`, which came at `last_at`."""
    return now - last_at < OVERTAKES and newer(last, sequence, SEQUENCES)


class Shard:
    """One shard as this gateway sees it.

    The aggregator, what it announced, and what this gateway aggregates while it holds the lease.
    """

    def __init__(self, number: int, lease: Lease):
        self.number = number
        self.lease = lease
        self.sums: Work = {}  # as announced by the aggregator
        self.told: Work = {}  # this gateway's own work, as its last snapshot had it
        self.heard = NEVER  # when the aggregator was last heard
        self.last = NEVER  # when a snapshot or sums were last sent
        self.changed = False  # own work has changed since the last snapshot
        self.sequence = 0
        self.asks = True  # the next snapshot asks for all sums
        self.anew = False  # the next sums replace all earlier ones
        # Sender -> its last sequence number, and when that came.
        self.heard_sequence: dict[int, tuple[int, int]] = {}
        # Kind and tag -> sequence number of the last announcement, and when that came.
        self.heard_keys: dict[tuple[int, int], tuple[int, int]] = {}
        # While this gateway holds the lease:
        self.began: int | None = None  # when it took the lease
        self.snapshots: dict[int, tuple[int, Work]] = {}  # sender -> when, and its work
        self.shown: dict[tuple[int, int], tuple[float, int]] = {}  # sum last announced, and when
        self.accused: dict[int, dict[int, int]] = {}  # tag -> reporter -> when it failed there
        self.unfit: set[int] = set()  # tags with enough new reports, still to be announced
        self.looked = NEVER  # when changes were last looked for

    def knows(self, now: int) -> bool:
        """Whether this gateway is the aggregator and has received the others' snapshots."""
        return self.lease.is_held_here and self.began is not None and now - self.began >= COLLECT

    def stale(self, sender: int, sequence: int, now: int, anew: bool) -> bool:
        """Whether a snapshot is a duplicate or was overtaken by a later one of its sender.

        `anew`: the sender may be a new process, whose sequence starts anywhere.
        """
        known = self.heard_sequence.get(sender)
        if known is not None and not anew:
            last, last_at = known
            if sequence == last or overtaken(sequence, now, last, last_at):
                return True
        self.heard_sequence[sender] = (sequence, now)
        return False

    def begin_anew(self) -> None:
        """A new aggregator starts with nothing.

        It needs a full snapshot of this gateway, and will announce all sums.
        """
        self.asks = True
        self.anew = True
        self.heard_keys.clear()

    def resign(self) -> None:
        """This gateway is not the aggregator any more: forgets what it collected."""
        self.snapshots.clear()
        self.shown.clear()
        self.began = None


class AggregatedLoad(LoadGossip):
    """A large fleet's counterpart to LoadGossip, with the same interface.

    The aggregators receive the failure reports, too, and announce an engine that two gateways
    reported. `memory` is a writer's, in tokens.
    """

    def __init__(self, nodes: int, tag_of: Callable[[str], int], me: int, memory: float = 200_000):
        super().__init__(nodes, tag_of)
        self.enough = {READ: ENOUGH_READ, WRITE: ENOUGH_MEMORY * memory}
        self.gateway_number = me
        self.shard_count = max(1, nodes // GATEWAYS_PER_SHARD)
        self.shards = [
            Shard(n, Lease(f"sums {n}", me, range(nodes), PATIENCE))
            for n in range(self.shard_count)
        ]
        self.work: dict[int, tuple[int, int, float]] = {}  # request -> kind, tag, tokens
        self.candidate = any(me in s.lease.order for s in self.shards)
        self.failed: dict[int, int] = {}  # tags of engines that failed this gateway, and when
        self.replies: list[tuple[int, bytes]] = []
        self.now = 0

    def shard_of(self, tag: int) -> Shard:
        """The shard that an engine's tag belongs to."""
        return self.shards[tag % self.shard_count]

    # ------------------------------------------------------------ what this gateway has in hand

    def work_started(self, kind: int, request: int, engine: str, size: float) -> None:
        """A request was sent to the engine, as so many tokens to read or to hold."""
        self.work_ended(request)
        tag = self.tag(engine)
        self.work[request] = (kind, tag, size)
        self.touch(tag)

    def work_ended(self, request: int) -> None:
        """A request is no longer in flight."""
        if found := self.work.pop(request, None):
            self.touch(found[1])

    def report_failure(self, engine: str) -> None:
        """An attempt at the engine failed."""
        tag = self.tag(engine)
        self.failed[tag] = self.now
        self.touch(tag)

    def touch(self, tag: int) -> None:
        """The next snapshot of the tag's shard is due."""
        self.shard_of(tag).changed = True

    def own(self, shard: Shard) -> Work:
        """This gateway's own work at the shard's engines, at the sizes at which it is told."""
        found: Work = {}
        for kind, tag, size in self.work.values():
            if tag % self.shard_count == shard.number:
                found[kind, tag] = found.get((kind, tag), 0.0) + size
        return found

    # ------------------------------------------------------------ what it sends

    def outgoing(self, now: int) -> Iterator[tuple[int, bytes]]:
        """The datagrams to be sent now, each with its addressee (a gateway or ALL_GATEWAYS)."""
        slept = now - self.now
        self.now = now
        for shard in self.shards:
            if slept > PATIENCE and shard.began is not None:
                shard.resign()  # paused: another may hold the lease now
            held = shard.lease.is_held_here
            if shard.lease.expire(now):
                if held:  # this process will end
                    yield ALL_GATEWAYS, self.message(LEASE_RELEASED, shard, {})
                self.new_holder(shard, now)
            if shard.lease.is_held_here:
                yield from self.collect(shard, now)
            elif self.snapshot_due(shard, now):
                yield shard.lease.holder, self.snapshot(shard, now)
        yield from self.replies
        self.replies = []

    def shut_down(self) -> None:
        """This process will end: its leases pass on at once, and it takes none."""
        for shard in self.shards:
            shard.lease.withdraw()

    def has_pending(self, now: int) -> bool:
        """Whether `due` has to be asked again within a sweep, though nothing happens."""
        return self.candidate or bool(self.work) or any(s.changed for s in self.shards)

    def snapshot_due(self, shard: Shard, now: int) -> bool:
        """Whether a snapshot is to be sent to the aggregator."""
        if shard.asks or shard.changed:
            return now - shard.last >= GAP
        return bool(shard.told) and now - shard.last >= RENEW

    def snapshot(self, shard: Shard, now: int) -> bytes:
        """Encodes this gateway's work at the shard's engines."""
        shard.told = self.own(shard)
        shard.last = now
        shard.changed = False
        kind = SUMS_REQUEST if shard.asks else SNAPSHOT
        shard.asks = False
        return self.message(kind, shard, shard.told, self.failures(shard, now))

    def failures(self, shard: Shard, now: int) -> list[int]:
        """Of late, the last first: told more than once, since snapshots may be lost."""
        found = [
            tag
            for tag, at in self.failed.items()
            if tag % self.shard_count == shard.number and now - at < TOLD_OF
        ]
        return sorted(found, key=lambda tag: -self.failed[tag])

    def message(self, kind: int, shard: Shard, work: Work, blamed: Sequence[int] = ()) -> bytes:
        """Encodes the largest entries under the shard's next sequence number."""
        shard.sequence = (shard.sequence + 1) % SEQUENCES
        largest = sorted(work.items(), key=lambda item: -item[1])[:MOST]
        reads, writes = (
            [(tag, to_scale(size)) for (k, tag), size in largest if k == of] for of in (READ, WRITE)
        )
        return encode(kind, shard.number, shard.sequence, reads, writes, blamed)

    def new_holder(self, shard: Shard, now: int) -> None:
        """Another gateway, or this one, is the aggregator now."""
        shard.begin_anew()
        lease = shard.lease
        line = f"sums slot={shard.number} collector={lease.holder} mine={lease.is_held_here}"
        self.log_messages.append(line)
        if shard.lease.is_held_here:
            shard.began = now
            shard.looked = NEVER
        else:
            shard.resign()

    def collect(self, shard: Shard, now: int) -> Iterator[tuple[int, bytes]]:
        """As the aggregator: the announcements that are due."""
        if shard.began is None:
            shard.began = now
        if now - shard.looked < PERIOD:
            return
        shard.looked = now
        shard.changed = False
        if now - shard.began < COLLECT:
            yield ALL_GATEWAYS, self.message(LEASE_TAKEN, shard, {})
            return
        shard.snapshots[self.gateway_number] = (now, self.own(shard))
        for tag in self.failures(shard, now):
            self.accuse(shard, self.gateway_number, tag, self.failed[tag])
        shard.snapshots = {n: s for n, s in shard.snapshots.items() if now - s[0] <= LIFE}
        shard.sums = {}
        shard.heard = now
        for _, work in shard.snapshots.values():
            for key, size in work.items():
                shard.sums[key] = shard.sums.get(key, 0.0) + size
        shard.told = shard.snapshots[self.gateway_number][1]
        yield from self.tell_changes(shard, now)

    def tell_changes(self, shard: Shard, now: int) -> Iterator[tuple[int, bytes]]:
        """Announces the sums that changed by enough, and some that are due for a refresh."""
        news, old = {}, []
        for key in shard.sums.keys() | shard.shown.keys():
            size, (was, at) = shard.sums.get(key, 0.0), shard.shown.get(key, (0.0, 0))
            if abs(size - was) >= max(self.enough[key[0]], ENOUGH_SHARE * was) or (
                was and not size
            ):
                news[key] = size
            elif key in shard.shown and now - at >= REFRESH:
                old.append(key)
        for key in sorted(old, key=lambda k: shard.shown[k][1])[: 1 + len(shard.shown) // 16]:
            news[key] = shard.sums[key]
        unfit = sorted(shard.unfit)
        shard.unfit.clear()
        if not news and not unfit and now - shard.last < KEEP:
            return
        shard.last = now
        for key, size in news.items():
            if size:
                shard.shown[key] = (size, now)
            else:
                shard.shown.pop(key, None)
        for payload in self.sums_of(shard, news, unfit):
            yield ALL_GATEWAYS, payload

    def sums_of(self, shard: Shard, work: Work, unfit: Sequence[int] = ()) -> Iterator[bytes]:
        """As many datagrams as they need."""
        keys = sorted(work)
        for at in range(0, max(1, len(keys)), MOST):
            yield self.message(SUMS, shard, {k: work[k] for k in keys[at : at + MOST]}, unfit)

    def accuse(self, shard: Shard, sender: int, tag: int, at: int) -> None:
        """`sender` was failed at that engine, at that time."""
        found = shard.accused.get(tag, {})
        if found.get(sender, NEVER) >= at or (
            tag not in shard.accused and len(shard.accused) >= MOST_SUMS
        ):
            return
        shard.accused[tag] = {s: t for s, t in found.items() if at - t <= BAD_LIFE * SECOND} | {
            sender: at
        }
        if len(shard.accused[tag]) >= VOICES:
            shard.unfit.add(tag)

    # ------------------------------------------------------------ what it hears

    def receive(self, now: int, sender: int, payload: bytes) -> list[int]:
        """Takes in a payload; the tags of engines that the sender finds unfit."""
        message = decode(payload)
        is_other_gateway = 0 <= sender < self.gateway_count and sender != self.gateway_number
        if message is None or not is_other_gateway or message.shard >= self.shard_count:
            return []
        shard = self.shards[message.shard]
        if message.kind in (SNAPSHOT, SUMS_REQUEST):
            self.handle_snapshot(now, sender, shard, message)
            return []
        if message.kind == LEASE_RELEASED:
            if shard.lease.released_by(sender, now):
                self.new_holder(shard, now)
            return []
        return self.handle_aggregate(now, sender, shard, message)

    def handle_snapshot(self, now: int, sender: int, shard: Shard, message: LoadMessage) -> None:
        """Another gateway's own work: kept, and answered with all sums if it asks for them."""
        asks_for_sums = message.kind == SUMS_REQUEST
        if shard.stale(sender, message.sequence, now, asks_for_sums):
            return
        work = {key: float(from_scale(size)) for key, size in message.work.items()}
        shard.snapshots[sender] = (now, work)
        for tag in message.failed_engines:
            self.accuse(shard, sender, tag, now)
        if asks_for_sums and shard.knows(now):
            announced = {key: size for key, (size, _) in shard.shown.items()}
            self.replies += ((sender, reply) for reply in self.sums_of(shard, announced))

    def handle_aggregate(
        self, now: int, sender: int, shard: Shard, message: LoadMessage
    ) -> list[int]:
        """A message of an aggregator, which renews its lease; the tags of failing engines."""
        if shard.lease.renewed_by(sender, now):
            self.new_holder(shard, now)
        if shard.lease.holder != sender:
            return []
        shard.heard = now
        if message.kind == LEASE_TAKEN and not shard.anew:
            # A new process, or one that was paused, took its lease back.
            shard.begin_anew()
        if message.kind == SUMS:
            self.apply_sums(now, shard, message)
        for tag in message.failed_engines:
            self.failure_reports[tag] = dict.fromkeys(range(VOICES), now)
        return list(message.failed_engines)

    def apply_sums(self, now: int, shard: Shard, message: LoadMessage) -> None:
        """Adopts the sums that the aggregator announced, except where a later one came first."""
        if shard.anew:
            shard.anew = False
            shard.sums.clear()
        for key, size in message.work.items():
            last_sequence, heard_at = shard.heard_keys.get(key, (0, NEVER))
            if overtaken(message.sequence, now, last_sequence, heard_at):
                continue
            if key in shard.heard_keys or len(shard.heard_keys) < 2 * MOST_SUMS:
                shard.heard_keys[key] = (message.sequence, now)
            if size and len(shard.sums) < MOST_SUMS:
                shard.sums[key] = float(from_scale(size))
            else:
                shard.sums.pop(key, None)

    def age(self, now: int) -> None:
        """Forgets the sums of a collector that has been silent for long, and old blame."""
        super().age(now)
        self.failed = {tag: at for tag, at in self.failed.items() if now - at < TOLD_OF}
        for shard in self.shards:
            if now - shard.heard > LIFE:
                shard.sums = {}
            shard.heard_keys = {
                key: found for key, found in shard.heard_keys.items() if now - found[1] <= LIFE
            }
            shard.snapshots = {n: s for n, s in shard.snapshots.items() if now - s[0] <= LIFE}
            shard.accused = {
                tag: found
                for tag, found in shard.accused.items()
                if now - max(found.values()) <= BAD_LIFE * SECOND
            }
            shard.heard_sequence = {
                n: s for n, s in shard.heard_sequence.items() if now - s[1] <= LIFE
            }

    def load_of_others(self, kind: int, engine: str) -> float:
        """Tokens that the other gateways are having read there, or hold there."""
        tag = self.tag(engine)
        shard = self.shard_of(tag)
        return max(0.0, shard.sums.get((kind, tag), 0.0) - shard.told.get((kind, tag), 0.0))

    def is_reliable(self, now: int) -> bool:
        """Always: where no sums are heard an engine has capacity until it reports that it is full.

        Estimating its load as this gateway's streams times the gateways made one stream look like
        two hundred.
        """
        return True

    def unseen_sends(self, rate: float, engines: int) -> float:
        """Sends by the fleet to each of so many engines that no sum shows yet.

        This gateway's arrivals per nanosecond are taken for the others' too. Used so that choices
        made on the same late sums do not all fall alike.
        """
        return rate * SECOND * self.gateway_count * LAG / max(1, engines)
