"""When the bytes that wait on a connection were received.

A request that waited behind another one is so given the time that is left to its client, not the
time that was left when its turn came. The module is pure: no I/O, and no clock. Times are
nanoseconds and come in as arguments.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

# Reads that are kept apart. Beyond that the newest one joins the one before and counts as older, so
# that no time is later than the true one.
MAX_RECORDS = 256


class ReceiveRecord(NamedTuple):
    """One read from the connection."""

    end: int  # position behind its bytes in the stream
    received_at: int


class ReceiveTimestamps:
    """Receive times by position in the stream of bytes."""

    def __init__(self) -> None:
        self.total = 0  # bytes received so far
        self.records: deque[ReceiveRecord] = deque()

    def add(self, size: int, received_at: int) -> None:
        """Note that `size` bytes were received."""
        self.total += size
        if len(self.records) >= MAX_RECORDS:
            received_at = self.records.pop().received_at
        self.records.append(ReceiveRecord(self.total, received_at))

    def oldest(self, pending: int) -> int:
        """Return when the first of the last `pending` bytes was received; 0 if there are none."""
        start = self.total - pending
        while self.records and self.records[0].end <= start:
            self.records.popleft()
        return self.records[0].received_at if self.records else 0
