"""Load gossip: the work that other gateways have in flight at each engine.

A payload is a sequence of load updates, most significant byte first. Each starts with 16 bits: a
kind (2 bits) and the sender's number for the piece of work (14 bits, wrapping around). READ and
WRITE continue with an engine's tag (16 bits of a hash of its id: two that share one share their
sums) and a size (8 bits, an eighth of a power of two each); sent for a number in use, they replace
the earlier update. WORK_ENDED has no more fields; with SENDER_STARTED as number it voids all that
the sender announced before. ENGINE_FAILED, a failure report, has a tag and a size, too.

Updates are hints: what is lost, late, duplicated or from a dead gateway changes the sums for a
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
SENDER_STARTED = 0x3FFF  # as number: the sender has just started
KIND_SHIFT = 14  # bits of the number below the kind
HEAD_SIZE = 2  # bytes of an update's kind and number, and of all of WORK_ENDED
UPDATE_SIZE = 5  # bytes of an update of any other kind
MOST = 240  # bytes of one payload; a datagram takes 256
STEPS = 8  # of the size's scale for each doubling
MAX_STEP = 255  # of the size's scale: it takes one byte
READ_LIFE = 8  # seconds until a read that was not ended is forgotten
WRITE_LIFE = 30  # seconds until a write that was not ended is forgotten
BAD_LIFE = 4  # seconds until a failure report is forgotten
SECOND = 1_000_000_000  # nanoseconds in a second
OUTSTANDING = 2048  # updates kept of one sender
PATIENCE = 300_000_000  # ns for which an end waits for other updates to share a datagram
MAX_TAGS = 4096  # engines whose tag is cached
MIN_SUM = 0.5  # tokens below which a sum is taken for zero
NEVER = -1 << 62  # a time before all others

Note = tuple[int, int, int, int]  # kind, number, engine's tag, size in tokens


def to_scale(size: float) -> int:
    """Encodes a size in tokens on a logarithmic scale of one byte."""
    return min(MAX_STEP, round(STEPS * math.log2(max(1.0, size))))


def from_scale(step: int) -> int:
    """The size in tokens that a step of the scale stands for."""
    return round(2 ** (step / STEPS))


def encode(kind: int, number: int, tag: int = 0, size: float = 0.0) -> bytes:
    """Encodes one load update."""
    head = (kind << KIND_SHIFT | number & SENDER_STARTED).to_bytes(HEAD_SIZE)
    if kind == WORK_ENDED:
        return head
    return head + tag.to_bytes(2) + bytes([to_scale(size)])


def decode(payload: bytes) -> Iterator[Note]:
    """The updates of a payload, up to the first that is truncated."""
    start = 0
    while start + HEAD_SIZE <= len(payload):
        head = int.from_bytes(payload[start : start + HEAD_SIZE])
        kind = head >> KIND_SHIFT
        number = head & SENDER_STARTED
        if kind == WORK_ENDED:
            yield kind, number, 0, 0
            start += HEAD_SIZE
        elif start + UPDATE_SIZE <= len(payload):
            tag = int.from_bytes(payload[start + 2 : start + 4])
            yield kind, number, tag, from_scale(payload[start + 4])
            start += UPDATE_SIZE
        else:
            return


class LoadGossip:
    """Sums over the load updates of the other gateways by engine, and the updates to be sent.

    `tag_of` returns the 16 bits that stand for an engine. Sizes are tokens, times nanoseconds,
    senders the gateways' numbers.
    """

    def __init__(self, nodes: int, tag_of: Callable[[str], int]):
        self.gateway_count = nodes
        self.hash_engine = tag_of
        self.tags: dict[str, int] = {}
        self.updates: dict[int, dict[int, tuple[int, int, int, int]]] = {}  # by sender and number
        self.sums: dict[tuple[int, int], float] = {}  # kind and tag -> tokens
        self.failure_reports: dict[int, dict[int, int]] = {}  # tag -> sender -> when
        self.last_received = NEVER
        self.log_messages: list[str] = []  # for the log
        self.last = 0  # number of the last work that was announced
        self.mine: dict[int, int] = {}  # request -> its number
        self.queue = bytearray(encode(WORK_ENDED, SENDER_STARTED))  # updates to be sent at once
        self.later = bytearray()  # ends of work, which wait for other updates
        self.since = 0  # when the first of them began to wait

    def tag(self, engine: str) -> int:
        """The 16 bits that stand for an engine in load updates."""
        if engine not in self.tags:
            if len(self.tags) > MAX_TAGS:
                self.tags.clear()
            self.tags[engine] = self.hash_engine(engine)
        return self.tags[engine]

    # ------------------------------------------------------------ this gateway's own updates

    def work_started(self, kind: int, request: int, engine: str, size: float) -> None:
        """A request was sent to the engine, as so many tokens to read or to hold.

        This replaces what the request had in flight before.
        """
        number = self.mine.get(request)
        if number is None:
            self.last = (self.last + 1) % SENDER_STARTED
            number = self.last
            self.mine[request] = number
        self.queue += encode(kind, number, self.tag(engine), size)

    def work_ended(self, request: int) -> None:
        """A request is no longer in flight."""
        number = self.mine.pop(request, None)
        if number is not None:
            self.later += encode(WORK_ENDED, number)

    def report_failure(self, engine: str) -> None:
        """An attempt at the engine failed."""
        self.queue += encode(ENGINE_FAILED, 0, self.tag(engine), 1)

    def outgoing(self, now: int) -> Iterator[tuple[int, bytes]]:
        """The payloads to be sent now, each with its addressee (ALL_GATEWAYS)."""
        if not self.later:
            self.since = now
        if not self.queue and now - self.since < PATIENCE:
            return
        queue = bytes(self.later + self.queue)
        self.queue = bytearray()
        self.later = bytearray()
        self.since = now
        while queue:
            size = 0
            for kind, *_ in decode(queue[:MOST]):
                size += HEAD_SIZE if kind == WORK_ENDED else UPDATE_SIZE
            yield ALL_GATEWAYS, queue[:size]
            queue = queue[size:]

    def shut_down(self) -> None:
        """This process will end: its updates expire, or are voided by the next one's start."""

    def has_pending(self, now: int) -> bool:
        """Whether `outgoing` has to be called again soon though nothing happens."""
        return bool(self.later)

    # ------------------------------------------------------------ the others' updates

    def receive(self, now: int, sender: int, payload: bytes) -> list[int]:
        """Applies a payload; returns the tags of engines whose failure the sender reports."""
        if not 0 <= sender < self.gateway_count:
            return []
        self.last_received = now
        blamed = []
        sender_updates = self.updates.setdefault(sender, {})
        for kind, number, tag, size in decode(payload):
            if kind == ENGINE_FAILED:
                self.failure_reports.setdefault(tag, {})[sender] = now
                blamed.append(tag)
                continue
            if number == SENDER_STARTED:
                for outdated in list(sender_updates):
                    self.drop(sender_updates, outdated)
                continue
            self.drop(sender_updates, number)
            if kind != WORK_ENDED and len(sender_updates) < OUTSTANDING:
                sender_updates[number] = (kind, tag, size, now)
                self.sums[kind, tag] = self.sums.get((kind, tag), 0.0) + size
        return blamed

    def drop(self, sender_updates: dict[int, tuple[int, int, int, int]], number: int) -> None:
        """Forgets one update, and takes its size from the sum."""
        note = sender_updates.pop(number, None)
        if note is None:
            return
        kind, tag, size, _ = note
        left = self.sums.get((kind, tag), 0.0) - size
        if left > MIN_SUM:
            self.sums[kind, tag] = left
        else:
            self.sums.pop((kind, tag), None)

    def age(self, now: int) -> None:
        """Forgets old updates: the update that ended them was lost, or the sender has died."""
        life = {READ: READ_LIFE * SECOND, WRITE: WRITE_LIFE * SECOND}
        for sender_updates in self.updates.values():
            expired = [n for n, (kind, _, _, at) in sender_updates.items() if now - at > life[kind]]
            for number in expired:
                self.drop(sender_updates, number)
        for tag in list(self.failure_reports):
            senders = {
                s: at
                for s, at in self.failure_reports[tag].items()
                if now - at <= BAD_LIFE * SECOND
            }
            if senders:
                self.failure_reports[tag] = senders
            else:
                del self.failure_reports[tag]

    def load_of_others(self, kind: int, engine: str) -> float:
        """Tokens that the other gateways are having read there, or hold there."""
        return self.sums.get((kind, self.tag(engine)), 0.0)

    def reporters(self, engine: str, now: int) -> int:
        """Number of gateways that reported a failure of the engine of late."""
        found = self.failure_reports.get(self.tag(engine), {})
        return sum(now - at <= BAD_LIFE * SECOND for at in found.values())

    def is_reliable(self, now: int) -> bool:
        """Whether the sums can be relied on: silence of the others is no sign of idleness.

        Among more than FULL_GOSSIP_LIMIT gateways an engine has capacity until it reports that it
        is full: estimating its load as this gateway's streams times the gateways made one stream
        look like two hundred.
        """
        return (
            self.gateway_count > FULL_GOSSIP_LIMIT or now - self.last_received < READ_LIFE * SECOND
        )

    def unseen_sends(self, rate: float, engines: int) -> float:
        """Sends by the fleet to each of so many engines that no sum shows yet.

        Zero, since each one is announced as it happens. `rate` is this gateway's arrivals per
        nanosecond.
        """
        return 0.0
