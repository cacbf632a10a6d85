"""Load gossip: the work that other gateways have in flight at each engine.

A payload is a sequence of load updates, most significant byte first. Each starts with 16 bits: a
kind (2 bits) and the sender's number for the piece of work (14 bits, wrapping around). READ and
WRITE continue with an engine's tag (16 bits of a hash of its id: two that share one share their
sums) and a size (8 bits, an eighth of a power of two each); sent for a number in use, they replace
the earlier update. WORK_ENDED has no more fields; with SENDER_STARTED as number it voids all that
the sender announced before. ENGINE_FAILED, a failure report, has a tag and a size, too.

Updates are hints: one that is lost, late, duplicated or from a dead gateway changes the sums for a
bounded time and nothing else.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator

from ..interface import ALL_GATEWAYS, FULL_GOSSIP_LIMIT

# Kinds of load updates, by their number on the wire.
WORK_ENDED = 0  # the work has ended
READ = 1
WRITE = 2
ENGINE_FAILED = 3  # a failure report
SENDER_STARTED = 0x3FFF  # as number of WORK_ENDED: the sender has just started
KIND_SHIFT = 14  # bits of the number below the kind
NUMBER_MASK = (1 << KIND_SHIFT) - 1
HEADER_BYTES = 2  # of an update's kind and number; WORK_ENDED has no more
UPDATE_BYTES = 5  # of an update of any other kind
MAX_PAYLOAD_BYTES = 240  # a datagram takes 256
STEPS_PER_DOUBLING = 8  # of the scale of sizes
MAX_STEP = 255  # of the scale of sizes: a size takes one byte
SECOND = 1_000_000_000  # nanoseconds in a second
# After these times an update is dropped if nothing has ended it.
READ_LIFETIME_NS = 8 * SECOND
WRITE_LIFETIME_NS = 30 * SECOND
FAILURE_LIFETIME_NS = 4 * SECOND
MAX_UPDATES_PER_SENDER = 2048
MAX_END_DELAY_NS = 300_000_000  # for which an end waits to share a datagram with other updates
MAX_CACHED_TAGS = 4096
MIN_SUM_TOKENS = 0.5  # a smaller sum counts as zero
NEVER = -1 << 62  # a time before all others

LoadUpdate = tuple[int, int, int, int]  # kind, number, engine's tag, size in tokens
ReceivedUpdate = tuple[int, int, int, int]  # kind, engine's tag, size in tokens, when it came


def to_scale(size: float) -> int:
    """Encode a size in tokens on a logarithmic scale of one byte."""
    return min(MAX_STEP, round(STEPS_PER_DOUBLING * math.log2(max(1.0, size))))


def from_scale(step: int) -> int:
    """Decode a size in tokens from the logarithmic scale."""
    return round(2 ** (step / STEPS_PER_DOUBLING))


def encode(kind: int, number: int, tag: int = 0, size: float = 0.0) -> bytes:
    """Encode one load update."""
    header = (kind << KIND_SHIFT | number & NUMBER_MASK).to_bytes(HEADER_BYTES)
    if kind == WORK_ENDED:
        return header
    return header + tag.to_bytes(2) + bytes([to_scale(size)])


def decode(payload: bytes) -> Iterator[LoadUpdate]:
    """Decode the updates of a payload, up to the first that is truncated."""
    start = 0
    while start + HEADER_BYTES <= len(payload):
        header = int.from_bytes(payload[start : start + HEADER_BYTES])
        kind = header >> KIND_SHIFT
        number = header & NUMBER_MASK
        if kind == WORK_ENDED:
            yield kind, number, 0, 0
            start += HEADER_BYTES
        elif start + UPDATE_BYTES <= len(payload):
            tag = int.from_bytes(payload[start + 2 : start + 4])
            yield kind, number, tag, from_scale(payload[start + 4])
            start += UPDATE_BYTES
        else:
            return


class LoadGossip:
    """The sums of the other gateways' load updates by engine, and the updates to be sent.

    `hash_engine` returns an engine's tag: the 16 bits that stand for it. Sizes are tokens, times
    nanoseconds, senders the gateways' numbers.
    """

    def __init__(self, gateway_count: int, hash_engine: Callable[[str], int]):
        self.gateway_count = gateway_count
        self.hash_engine = hash_engine
        self.tags: dict[str, int] = {}  # cache: engine -> tag
        self.received: dict[int, dict[int, ReceivedUpdate]] = {}  # by sender and number
        self.sums: dict[tuple[int, int], float] = {}  # kind and tag -> tokens
        self.failure_reports: dict[int, dict[int, int]] = {}  # tag -> sender -> when
        self.last_received_at = NEVER
        self.log_messages: list[str] = []  # the caller logs and clears them
        self.last_number = 0  # of the work that was announced last
        self.numbers: dict[int, int] = {}  # request -> number of its work
        self.queue = bytearray(encode(WORK_ENDED, SENDER_STARTED))  # updates to be sent at once
        self.delayed_ends = bytearray()  # ends of work that wait for other updates
        self.delayed_since = 0  # when the first of them was queued

    def tag(self, engine: str) -> int:
        """Return an engine's tag."""
        if engine not in self.tags:
            if len(self.tags) > MAX_CACHED_TAGS:
                self.tags.clear()
            self.tags[engine] = self.hash_engine(engine)
        return self.tags[engine]

    # ------------------------------------------------------------ this gateway's own updates

    def work_started(self, kind: int, request: int, engine: str, size: float) -> None:
        """Announce that a request was sent to the engine, with so many tokens to read or to hold.

        This replaces the work that was announced for the request before.
        """
        number = self.numbers.get(request)
        if number is None:
            self.last_number = (self.last_number + 1) % SENDER_STARTED
            number = self.last_number
            self.numbers[request] = number
        self.queue += encode(kind, number, self.tag(engine), size)

    def work_ended(self, request: int) -> None:
        """Announce that a request is no longer in flight."""
        number = self.numbers.pop(request, None)
        if number is not None:
            self.delayed_ends += encode(WORK_ENDED, number)

    def report_failure(self, engine: str) -> None:
        """Announce that an attempt at the engine failed."""
        self.queue += encode(ENGINE_FAILED, 0, self.tag(engine), 1)

    def outgoing(self, now: int) -> Iterator[tuple[int, bytes]]:
        """Yield the payloads to be sent now, each with its addressee (ALL_GATEWAYS)."""
        if not self.delayed_ends:
            self.delayed_since = now
        if not self.queue and now - self.delayed_since < MAX_END_DELAY_NS:
            return
        queue = bytes(self.delayed_ends + self.queue)
        self.queue = bytearray()
        self.delayed_ends = bytearray()
        self.delayed_since = now
        while queue:
            size = 0
            for kind, *_ in decode(queue[:MAX_PAYLOAD_BYTES]):
                size += HEADER_BYTES if kind == WORK_ENDED else UPDATE_BYTES
            yield ALL_GATEWAYS, queue[:size]
            queue = queue[size:]

    def shut_down(self) -> None:
        """Do nothing: the updates of this process expire, or are voided by the next one's start."""

    def has_pending(self, now: int) -> bool:
        """Return whether `outgoing` has to be called again soon even if nothing happens."""
        return bool(self.delayed_ends)

    # ------------------------------------------------------------ the others' updates

    def receive(self, now: int, sender: int, payload: bytes) -> list[int]:
        """Apply a payload; return the tags of engines whose failure the sender reports."""
        if not 0 <= sender < self.gateway_count:
            return []
        self.last_received_at = now
        failed_engines = []
        sender_updates = self.received.setdefault(sender, {})
        for kind, number, tag, size in decode(payload):
            if kind == ENGINE_FAILED:
                self.failure_reports.setdefault(tag, {})[sender] = now
                failed_engines.append(tag)
                continue
            if number == SENDER_STARTED:
                for outdated in list(sender_updates):
                    self.drop(sender_updates, outdated)
                continue
            self.drop(sender_updates, number)
            if kind != WORK_ENDED and len(sender_updates) < MAX_UPDATES_PER_SENDER:
                sender_updates[number] = (kind, tag, size, now)
                self.sums[kind, tag] = self.sums.get((kind, tag), 0.0) + size
        return failed_engines

    def drop(self, sender_updates: dict[int, ReceivedUpdate], number: int) -> None:
        """Drop one update, and subtract its size from the sum."""
        update = sender_updates.pop(number, None)
        if update is None:
            return
        kind, tag, size, _ = update
        remaining = self.sums.get((kind, tag), 0.0) - size
        if remaining > MIN_SUM_TOKENS:
            self.sums[kind, tag] = remaining
        else:
            self.sums.pop((kind, tag), None)

    def age(self, now: int) -> None:
        """Drop old updates: the one that ended them was lost, or their sender has died."""
        lifetimes = {READ: READ_LIFETIME_NS, WRITE: WRITE_LIFETIME_NS}
        for sender_updates in self.received.values():
            expired = [
                number
                for number, (kind, _, _, received_at) in sender_updates.items()
                if now - received_at > lifetimes[kind]
            ]
            for number in expired:
                self.drop(sender_updates, number)
        for tag in list(self.failure_reports):
            recent = {
                sender: reported_at
                for sender, reported_at in self.failure_reports[tag].items()
                if now - reported_at <= FAILURE_LIFETIME_NS
            }
            if recent:
                self.failure_reports[tag] = recent
            else:
                del self.failure_reports[tag]

    def load_of_others(self, kind: int, engine: str) -> float:
        """Return the tokens that the other gateways have in flight, or hold, at that engine."""
        return self.sums.get((kind, self.tag(engine)), 0.0)

    def reporters(self, engine: str, now: int) -> int:
        """Return the number of gateways that reported a failure of the engine recently."""
        reports = self.failure_reports.get(self.tag(engine), {})
        return sum(now - reported_at <= FAILURE_LIFETIME_NS for reported_at in reports.values())

    def is_reliable(self, now: int) -> bool:
        """Return whether the sums are recent: without updates, engines may still be loaded.

        Among more than FULL_GOSSIP_LIMIT gateways they always count as reliable, so that an engine
        has capacity until it reports that it is full. An estimate of its load as this gateway's
        streams times the number of gateways would take one stream for two hundred.
        """
        if self.gateway_count > FULL_GOSSIP_LIMIT:
            return True
        return now - self.last_received_at < READ_LIFETIME_NS

    def unseen_sends(self, rate: float, engines: int) -> float:
        """Return the sends by the fleet to each of so many engines that no sum shows yet.

        None, since each one is announced as it happens. `rate` is this gateway's arrivals per
        nanosecond.
        """
        return 0.0
