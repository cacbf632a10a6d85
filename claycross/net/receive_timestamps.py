"""Records when the bytes that are buffered on a connection were received.

The time limit of a pipelined request that waited behind another one thus runs from its arrival,
not from the start of its processing. The module does no I/O and reads no clock: times are passed
in, in nanoseconds.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

# Records kept for one connection. Once there are that many, a new one is merged into the newest and
# takes its earlier time, so that a reported time is never later than the true one.
MAX_RECORDS = 256


class ReceiveRecord(NamedTuple):
    """One read from the socket."""

    end: int  # offset in the stream just past its bytes
    received_at: int


class ReceiveTimestamps:
    """Receive times by offset in the byte stream of a connection."""

    def __init__(self) -> None:
        self.total_bytes = 0  # received so far
        self.records: deque[ReceiveRecord] = deque()

    def add(self, size: int, received_at: int) -> None:
        """Record that `size` bytes were received."""
        self.total_bytes += size
        if len(self.records) >= MAX_RECORDS:
            received_at = self.records.pop().received_at
        self.records.append(ReceiveRecord(self.total_bytes, received_at))

    def discard(self, size: int) -> None:
        """Forget the last `size` bytes."""
        self.total_bytes -= size
        last: ReceiveRecord | None = None
        while self.records and self.records[-1].end > self.total_bytes:
            last = self.records.pop()
        start = self.records[-1].end if self.records else 0
        if last and start < self.total_bytes:
            self.records.append(ReceiveRecord(self.total_bytes, last.received_at))

    def oldest(self, pending: int) -> int:
        """Return when the first of the last `pending` bytes was received; 0 if there are none."""
        start = self.total_bytes - pending
        while self.records and self.records[0].end <= start:
            self.records.popleft()
        return self.records[0].received_at if self.records else 0

    def before(self, pending: int) -> int:
        """Return when the byte before the last `pending` bytes was received; 0 if unknown."""
        end = self.total_bytes - pending
        for record in self.records:
            if record.end >= end:
                return record.received_at
        return 0
