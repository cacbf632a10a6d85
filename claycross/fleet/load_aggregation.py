"""Load aggregation: the load of each engine in a large fleet, at a cost independent of its size.

The engines are divided into a few shards by a hash of their ids. For each shard one gateway at a
time, the holder of a lease (leases.py), is the aggregator: every other one sends it a snapshot of
its own work at the shard's engines when that has changed, and the aggregator announces to all the
sums that have changed enough to affect a choice. So a request costs a few messages to one gateway
each instead of a few to all. The sums cost each receiver bytes in proportion to the rate at which
engines change their load, whatever the number of requests.

A snapshot holds all work of its sender at that shard, so a lost one is repaired by the next, and a
new process's first voids those of its predecessor. An aggregator that has just taken its lease
announces that (LEASE_TAKEN): it has no sums until the others' snapshots are in, and the earlier
sums are used meanwhile. One that shuts down announces that (LEASE_RELEASED), and its lease passes
on at once.

Sums are hints: a message that is lost, late, duplicated or from a dead gateway changes them for a
bounded time and nothing else. No I/O and no clock: times are nanoseconds.

A datagram is packed as in codec.py, with its own magic word, so that a process which knows only
load gossip reads ends of work that was never announced. Content: version (1 byte), kind (1), shard
(1), sequence (1, wrapping around), numbers of read and of write entries (1 each), these entries of
3 bytes: an engine's tag (2: a hash of its id; two that share one share their sums) and a size in
tokens (1, an eighth of a power of two each); then tags (2 each) of engines that failed the sender
recently, or, from an aggregator, at least two gateways.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass

from ..interface import ALL_GATEWAYS
from .codec import MAX_CONTENT_BYTES, newer, pack, unpack
from .leases import Lease
from .load_gossip import FAILURE_LIFETIME_NS, NEVER, READ, WRITE, LoadGossip, from_scale, to_scale

MS = 1_000_000  # ns
SECOND = 1_000 * MS
MAGIC = 0x3FFD  # the first word; the work numbers of load gossip stay below it
VERSION = 1
# Kinds of datagrams, by their number on the wire.
SNAPSHOT = 1  # the sender's own work
SUMS_REQUEST = 2  # a snapshot whose sender requests all sums
SUMS = 3  # from an aggregator
LEASE_TAKEN = 4  # from an aggregator that has no sums yet
LEASE_RELEASED = 5  # from an aggregator that shuts down
HEADER_BYTES = 6  # of content, before the entries
ENTRY_BYTES = 3
TAG_BYTES = 2
MAX_FAILED_ENGINES = 16  # in one datagram
MAX_ENTRIES = (MAX_CONTENT_BYTES - HEADER_BYTES - TAG_BYTES * MAX_FAILED_ENGINES) // ENTRY_BYTES
GATEWAYS_PER_SHARD = 200  # bounds what an aggregator receives in a fleet of any size
SNAPSHOT_GAP_NS = 5 * MS  # between two snapshots: short, since each goes to one gateway only
ANNOUNCE_PERIOD_NS = 100 * MS
KEEPALIVE_NS = 400 * MS  # after which an aggregator sends a message without changes
SNAPSHOT_RENEWAL_NS = 2 * SECOND  # after which an unchanged snapshot is sent again
SUM_REFRESH_NS = 8 * SECOND  # in which each sum is announced again, for gateways that lost it
LEASE_DURATION_NS = 1200 * MS
MAX_SUMS = 2048  # of one shard
SEQUENCE_RANGE = 256  # sequence numbers wrap around at this number
REORDER_WINDOW_NS = 2 * SECOND  # in which one datagram can overtake another
SNAPSHOT_LIFETIME_NS = 5 * SECOND  # without a renewal: its sender has died
COLLECTION_NS = 300 * MS  # after taking the lease, until an aggregator has all snapshots
# A sum is announced once it has changed by a share of itself, and by so many tokens (of reads) or
# this share of a writer's memory (of writes): smaller changes affect no choice.
MIN_READ_CHANGE_TOKENS = 200
MIN_WRITE_CHANGE = 0.06
MIN_RELATIVE_CHANGE = 0.05
REFRESH_SHARE = 16  # one in so many sums, and one more, is refreshed in a period at most
MIN_REPORTERS = 2  # gateways that must report an engine's failure for it to be announced
FAILURE_REPEAT_NS = 600 * MS  # for which a failure is added to each snapshot: some may be lost
SUM_DELAY_S = 0.4  # the sender's gap, the aggregator's period and the network's delay

Entries = list[tuple[int, int]]  # engines' tags, and sizes on the logarithmic scale
SumKey = tuple[int, int]  # kind of work, and an engine's tag
Work = dict[SumKey, float]  # tokens


def encode(
    kind: int, shard: int, sequence: int, reads: Entries, writes: Entries, failed: Sequence[int]
) -> bytes:
    """Encode a datagram; entries beyond MAX_ENTRIES and tags beyond the maximum are left out."""
    reads = reads[:MAX_ENTRIES]
    writes = writes[: MAX_ENTRIES - len(reads)]
    content = bytes((VERSION, kind, shard, sequence % SEQUENCE_RANGE, len(reads), len(writes)))
    content += b"".join(tag.to_bytes(TAG_BYTES) + bytes([size]) for tag, size in reads + writes)
    content += b"".join(tag.to_bytes(TAG_BYTES) for tag in failed[:MAX_FAILED_ENGINES])
    return pack(content, MAGIC)


@dataclass(slots=True, frozen=True)
class LoadMessage:
    """The content of one datagram."""

    kind: int
    shard: int
    sequence: int
    work: dict[SumKey, int]  # sizes on the logarithmic scale
    failed_engines: tuple[int, ...]  # tags


def decode(payload: bytes) -> LoadMessage | None:
    """Decode a datagram; None if it is invalid or of another protocol or version."""
    content = unpack(payload, MAGIC)
    if content is None or len(content) < HEADER_BYTES or content[0] != VERSION:
        return None
    if not SNAPSHOT <= content[1] <= LEASE_RELEASED:
        return None
    read_count = content[4]
    entry_count = read_count + content[5]
    end = HEADER_BYTES + entry_count * ENTRY_BYTES
    if end > len(content):
        return None
    work = {}
    for index in range(entry_count):
        start = HEADER_BYTES + index * ENTRY_BYTES
        kind = READ if index < read_count else WRITE
        tag = int.from_bytes(content[start : start + TAG_BYTES])
        work[kind, tag] = content[start + TAG_BYTES]
    # Unpacking may leave one byte more than was packed.
    tag_starts = range(end, len(content) - 1, TAG_BYTES)
    failed = tuple(int.from_bytes(content[start : start + TAG_BYTES]) for start in tag_starts)
    return LoadMessage(content[1], content[2], content[3], work, failed)


def is_overtaken(sequence: int, now: int, last_sequence: int, last_at: int) -> bool:
    """Return whether a later datagram, which came at `last_at`, has overtaken this one."""
    return now - last_at < REORDER_WINDOW_NS and newer(last_sequence, sequence, SEQUENCE_RANGE)


class Shard:
    """One shard: its aggregator's sums, and what this gateway collects as the aggregator."""

    def __init__(self, number: int, lease: Lease):
        self.number = number
        self.lease = lease
        self.sums: Work = {}  # as announced by the aggregator
        self.sent_work: Work = {}  # this gateway's own, as in its last snapshot
        self.aggregator_heard_at = NEVER
        self.last_sent_at = NEVER  # when a snapshot or sums were last sent
        self.has_changed = False  # own work has changed since the last snapshot
        self.sequence = 0
        self.requests_sums = True  # in the next snapshot
        self.replaces_sums = False  # the next sums replace all earlier ones
        self.last_sequences: dict[int, tuple[int, int]] = {}  # sender -> sequence, and when
        self.received_sums: dict[SumKey, tuple[int, int]] = {}  # sum -> sequence, and when
        # While this gateway holds the lease:
        self.lease_taken_at: int | None = None
        self.snapshots: dict[int, tuple[Work, int]] = {}  # sender -> its work, and when
        self.announced: dict[SumKey, tuple[float, int]] = {}  # sum last announced, and when
        self.failure_reports: dict[int, dict[int, int]] = {}  # tag -> reporter -> when
        self.failed_engines: set[int] = set()  # tags with enough reports, to be announced
        self.last_collected_at = NEVER

    def has_all_snapshots(self, now: int) -> bool:
        """Return whether this gateway is the aggregator and has received the others' snapshots."""
        taken_at = self.lease_taken_at
        return self.lease.is_held_here and taken_at is not None and now - taken_at >= COLLECTION_NS

    def is_outdated(self, sender: int, sequence: int, now: int, may_be_restarted: bool) -> bool:
        """Return whether a snapshot is a duplicate, or was overtaken by a later one."""
        # The sequence of a restarted sender begins with any number.
        known = self.last_sequences.get(sender)
        if known is not None and not may_be_restarted:
            last_sequence, last_at = known
            if sequence == last_sequence or is_overtaken(sequence, now, last_sequence, last_at):
                return True
        self.last_sequences[sender] = (sequence, now)
        return False

    def expect_new_sums(self) -> None:
        """Prepare for a new aggregator, which needs a full snapshot and will announce all sums."""
        self.requests_sums = True
        self.replaces_sums = True
        self.received_sums.clear()

    def resign(self) -> None:
        """Drop what this gateway collected as the aggregator, which it is no longer."""
        self.snapshots.clear()
        self.announced.clear()
        self.lease_taken_at = None

    def expire(self, now: int) -> None:
        """Drop the sums of an aggregator that is silent, and all records that are too old."""
        if now - self.aggregator_heard_at > SNAPSHOT_LIFETIME_NS:
            self.sums = {}
        oldest = now - SNAPSHOT_LIFETIME_NS
        self.received_sums = {k: r for k, r in self.received_sums.items() if r[1] >= oldest}
        self.last_sequences = {n: r for n, r in self.last_sequences.items() if r[1] >= oldest}
        self.expire_snapshots(now)
        oldest_report = now - FAILURE_LIFETIME_NS
        self.failure_reports = {
            tag: r for tag, r in self.failure_reports.items() if max(r.values()) >= oldest_report
        }

    def expire_snapshots(self, now: int) -> None:
        """Drop the snapshots that were not renewed."""
        oldest = now - SNAPSHOT_LIFETIME_NS
        self.snapshots = {n: s for n, s in self.snapshots.items() if s[1] >= oldest}

    def record_failure(self, reporter: int, tag: int, failed_at: int) -> None:
        """Record that an attempt of that gateway at the engine failed."""
        reports = self.failure_reports.get(tag, {})
        is_full = tag not in self.failure_reports and len(self.failure_reports) >= MAX_SUMS
        if is_full or reports.get(reporter, NEVER) >= failed_at:
            return
        oldest = failed_at - FAILURE_LIFETIME_NS
        recent = {gateway: at for gateway, at in reports.items() if at >= oldest}
        recent[reporter] = failed_at
        self.failure_reports[tag] = recent
        if len(recent) >= MIN_REPORTERS:
            self.failed_engines.add(tag)


class AggregatedLoad(LoadGossip):
    """The counterpart of LoadGossip for a large fleet, with the same interface.

    The aggregators receive the failure reports, too, and announce an engine that two gateways
    reported. `writer_memory` is in tokens.
    """

    def __init__(
        self,
        gateway_count: int,
        hash_engine: Callable[[str], int],
        gateway_number: int,
        writer_memory: float = 200_000,
    ):
        super().__init__(gateway_count, hash_engine)
        self.min_change = {READ: MIN_READ_CHANGE_TOKENS, WRITE: MIN_WRITE_CHANGE * writer_memory}
        self.gateway_number = gateway_number
        self.shard_count = max(1, gateway_count // GATEWAYS_PER_SHARD)
        self.shards = [
            Shard(n, Lease(f"sums {n}", gateway_number, range(gateway_count), LEASE_DURATION_NS))
            for n in range(self.shard_count)
        ]
        self.work: dict[int, tuple[int, int, float]] = {}  # request -> kind, tag, tokens
        self.is_candidate = any(gateway_number in shard.lease.order for shard in self.shards)
        self.own_failures: dict[int, int] = {}  # tag -> when an attempt at that engine failed
        self.replies: list[tuple[int, bytes]] = []
        self.now = 0

    def shard_of(self, tag: int) -> Shard:
        """Return the shard that an engine's tag belongs to."""
        return self.shards[tag % self.shard_count]

    def work_started(self, kind: int, request: int, engine: str, size: float) -> None:
        """Record that a request was sent to the engine, with so many tokens to read or to hold."""
        self.work_ended(request)
        tag = self.tag(engine)
        self.work[request] = (kind, tag, size)
        self.shard_of(tag).has_changed = True

    def work_ended(self, request: int) -> None:
        """Record that a request is no longer in flight."""
        ended = self.work.pop(request, None)
        if ended is not None:
            _, tag, _ = ended
            self.shard_of(tag).has_changed = True

    def report_failure(self, engine: str) -> None:
        """Record that an attempt at the engine failed."""
        tag = self.tag(engine)
        self.own_failures[tag] = self.now
        self.shard_of(tag).has_changed = True

    def own_work(self, shard: Shard) -> Work:
        """Return this gateway's own work at the shard's engines."""
        own: Work = {}
        for kind, tag, size in self.work.values():
            if tag % self.shard_count == shard.number:
                own[kind, tag] = own.get((kind, tag), 0.0) + size
        return own

    def outgoing(self, now: int) -> Iterator[tuple[int, bytes]]:
        """Yield the datagrams to be sent now, with their addressees (a number or ALL_GATEWAYS)."""
        since_last_call = now - self.now
        self.now = now
        for shard in self.shards:
            if since_last_call > LEASE_DURATION_NS and shard.lease_taken_at is not None:
                shard.resign()  # after a pause, another gateway may hold the lease
            was_held = shard.lease.is_held_here
            if shard.lease.expire(now):
                if was_held:  # this process shuts down
                    yield ALL_GATEWAYS, self.encode_work(LEASE_RELEASED, shard, {})
                self.aggregator_changed(shard, now)
            if shard.lease.is_held_here:
                yield from self.collect(shard, now)
            elif self.snapshot_due(shard, now):
                yield shard.lease.holder, self.snapshot(shard, now)
        yield from self.replies
        self.replies = []

    def shut_down(self) -> None:
        """Pass on the leases of this process, which takes no more."""
        for shard in self.shards:
            shard.lease.withdraw()

    def has_pending(self, now: int) -> bool:
        """Return whether `outgoing` has to be called again soon even if nothing happens."""
        return self.is_candidate or bool(self.work) or any(s.has_changed for s in self.shards)

    def snapshot_due(self, shard: Shard, now: int) -> bool:
        """Return whether a snapshot is to be sent to the aggregator."""
        since_last = now - shard.last_sent_at
        if shard.requests_sums or shard.has_changed:
            return since_last >= SNAPSHOT_GAP_NS
        return bool(shard.sent_work) and since_last >= SNAPSHOT_RENEWAL_NS

    def snapshot(self, shard: Shard, now: int) -> bytes:
        """Encode this gateway's work at the shard's engines."""
        shard.sent_work = self.own_work(shard)
        shard.last_sent_at = now
        shard.has_changed = False
        kind = SUMS_REQUEST if shard.requests_sums else SNAPSHOT
        shard.requests_sums = False
        return self.encode_work(kind, shard, shard.sent_work, self.recent_failures(shard, now))

    def recent_failures(self, shard: Shard, now: int) -> list[int]:
        """Return the tags of engines that failed this gateway recently, the last one first."""
        tags = [
            tag
            for tag, failed_at in self.own_failures.items()
            if tag % self.shard_count == shard.number and now - failed_at < FAILURE_REPEAT_NS
        ]
        return sorted(tags, key=lambda tag: -self.own_failures[tag])

    def encode_work(self, kind: int, shard: Shard, work: Work, failed: Sequence[int] = ()) -> bytes:
        """Encode the largest entries with the shard's next sequence number."""
        shard.sequence = (shard.sequence + 1) % SEQUENCE_RANGE
        entries: dict[int, Entries] = {READ: [], WRITE: []}
        largest = sorted(work.items(), key=lambda item: -item[1])[:MAX_ENTRIES]
        for (work_kind, tag), size in largest:
            entries[work_kind].append((tag, to_scale(size)))
        return encode(kind, shard.number, shard.sequence, entries[READ], entries[WRITE], failed)

    def aggregator_changed(self, shard: Shard, now: int) -> None:
        """Prepare for another aggregator, which may be this gateway."""
        shard.expect_new_sums()
        lease = shard.lease
        line = f"sums slot={shard.number} collector={lease.holder} mine={lease.is_held_here}"
        self.log_messages.append(line)
        if lease.is_held_here:
            shard.lease_taken_at = now
            shard.last_collected_at = NEVER
        else:
            shard.resign()

    def collect(self, shard: Shard, now: int) -> Iterator[tuple[int, bytes]]:
        """As the aggregator, compute the sums and yield the announcements that are due."""
        if shard.lease_taken_at is None:
            shard.lease_taken_at = now
        if now - shard.last_collected_at < ANNOUNCE_PERIOD_NS:
            return
        shard.last_collected_at = now
        shard.has_changed = False
        if now - shard.lease_taken_at < COLLECTION_NS:
            yield ALL_GATEWAYS, self.encode_work(LEASE_TAKEN, shard, {})
            return
        shard.sent_work = self.own_work(shard)
        shard.snapshots[self.gateway_number] = (shard.sent_work, now)
        for tag in self.recent_failures(shard, now):
            shard.record_failure(self.gateway_number, tag, self.own_failures[tag])
        shard.expire_snapshots(now)
        shard.sums = {}
        shard.aggregator_heard_at = now
        for work, _ in shard.snapshots.values():
            for key, size in work.items():
                shard.sums[key] = shard.sums.get(key, 0.0) + size
        yield from self.announce_changes(shard, now)

    def announce_changes(self, shard: Shard, now: int) -> Iterator[tuple[int, bytes]]:
        """Yield the sums that have changed enough, and some that are due for a refresh."""
        work = self.sums_to_announce(shard, now)
        failed = sorted(shard.failed_engines)
        shard.failed_engines.clear()
        if not work and not failed and now - shard.last_sent_at < KEEPALIVE_NS:
            return
        shard.last_sent_at = now
        for key, size in work.items():
            if size:
                shard.announced[key] = (size, now)
            else:
                shard.announced.pop(key, None)
        for payload in self.encode_sums(shard, work, failed):
            yield ALL_GATEWAYS, payload

    def sums_to_announce(self, shard: Shard, now: int) -> Work:
        """Return the sums that have changed enough or are refreshed; 0 for those that ended."""
        changed: Work = {}
        outdated = []
        for key in shard.sums.keys() | shard.announced.keys():
            size = shard.sums.get(key, 0.0)
            announced, announced_at = shard.announced.get(key, (0.0, 0))
            has_ended = announced and not size
            min_change = max(self.min_change[key[0]], MIN_RELATIVE_CHANGE * announced)
            if has_ended or abs(size - announced) >= min_change:
                changed[key] = size
            elif key in shard.announced and now - announced_at >= SUM_REFRESH_NS:
                outdated.append(key)
        outdated.sort(key=lambda key: shard.announced[key][1])
        for key in outdated[: 1 + len(shard.announced) // REFRESH_SHARE]:
            changed[key] = shard.sums[key]
        return changed

    def encode_sums(self, shard: Shard, work: Work, failed: Sequence[int] = ()) -> Iterator[bytes]:
        """Encode sums in as many datagrams as they need, which is at least one."""
        keys = sorted(work)
        for start in range(0, max(1, len(keys)), MAX_ENTRIES):
            part = {key: work[key] for key in keys[start : start + MAX_ENTRIES]}
            yield self.encode_work(SUMS, shard, part, failed)

    def receive(self, now: int, sender: int, payload: bytes) -> list[int]:
        """Handle a datagram; return the tags of engines that an aggregator reports as failing."""
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
                self.aggregator_changed(shard, now)
            return []
        return self.handle_sums(now, sender, shard, message)

    def handle_snapshot(self, now: int, sender: int, shard: Shard, message: LoadMessage) -> None:
        """Keep the work of another gateway, and reply with all sums if it requests them."""
        requests_sums = message.kind == SUMS_REQUEST
        if shard.is_outdated(sender, message.sequence, now, may_be_restarted=requests_sums):
            return
        work = {key: float(from_scale(size)) for key, size in message.work.items()}
        shard.snapshots[sender] = (work, now)
        for tag in message.failed_engines:
            shard.record_failure(sender, tag, now)
        if requests_sums and shard.has_all_snapshots(now):
            announced = {key: size for key, (size, _) in shard.announced.items()}
            self.replies += ((sender, reply) for reply in self.encode_sums(shard, announced))

    def handle_sums(self, now: int, sender: int, shard: Shard, message: LoadMessage) -> list[int]:
        """Handle a message of an aggregator, which renews its lease."""
        if shard.lease.renewed_by(sender, now):
            self.aggregator_changed(shard, now)
        if shard.lease.holder != sender:
            return []
        shard.aggregator_heard_at = now
        if message.kind == LEASE_TAKEN and not shard.replaces_sums:
            # A new process, or one that was paused, took its lease back.
            shard.expect_new_sums()
        if message.kind == SUMS:
            self.apply_sums(now, shard, message)
        for tag in message.failed_engines:
            self.failure_reports[tag] = dict.fromkeys(range(MIN_REPORTERS), now)
        return list(message.failed_engines)

    def apply_sums(self, now: int, shard: Shard, message: LoadMessage) -> None:
        """Adopt the sums that the aggregator announced, except those that a later one overtook."""
        if shard.replaces_sums:
            shard.replaces_sums = False
            shard.sums.clear()
        for key, size in message.work.items():
            last_sequence, received_at = shard.received_sums.get(key, (0, NEVER))
            if is_overtaken(message.sequence, now, last_sequence, received_at):
                continue
            if key in shard.received_sums or len(shard.received_sums) < 2 * MAX_SUMS:
                shard.received_sums[key] = (message.sequence, now)
            if size and len(shard.sums) < MAX_SUMS:
                shard.sums[key] = float(from_scale(size))
            else:
                shard.sums.pop(key, None)

    def age(self, now: int) -> None:
        """Drop records that are too old."""
        super().age(now)
        self.own_failures = {
            tag: at for tag, at in self.own_failures.items() if now - at < FAILURE_REPEAT_NS
        }
        for shard in self.shards:
            shard.expire(now)

    def load_of_others(self, kind: int, engine: str) -> float:
        """Return the tokens that the other gateways have in flight, or hold, at that engine."""
        tag = self.tag(engine)
        shard = self.shard_of(tag)
        own = shard.sent_work.get((kind, tag), 0.0)
        return max(0.0, shard.sums.get((kind, tag), 0.0) - own)

    def is_reliable(self, now: int) -> bool:
        """Return True, for the reason that LoadGossip gives for large fleets."""
        return True

    def unseen_sends(self, rate: float, engines: int) -> float:
        """Estimate the sends by the fleet to each of so many engines that no sum shows yet.

        `rate` is this gateway's arrivals per nanosecond. The estimate spreads choices that are made
        from the same late sums.
        """
        return rate * SECOND * self.gateway_count * SUM_DELAY_S / max(1, engines)
