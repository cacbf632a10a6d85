"""Received bytes of a client connection that have not been handled yet."""

from __future__ import annotations

from ..net.http1 import Body, End, Head, MessageParser, PipelineValidator
from ..net.receive_timestamps import ReceiveTimestamps

MAX_READ_AHEAD_BYTES = 65_536  # behind a request under way; more stays in the socket


class Inbox:
    """The unhandled bytes of a client connection, with their receive times and their parser."""

    def __init__(self) -> None:
        self.parser = MessageParser()
        self.receive_times = ReceiveTimestamps()
        self.read_ahead_validator = PipelineValidator()
        self.flooded = False  # many bytes waited unread behind the request under way

    def start_read_ahead(self) -> None:
        """Start reading ahead: validate buffered and later bytes without consuming them."""
        self.read_ahead_validator = PipelineValidator()
        self.flooded = False
        self.read_ahead_validator.feed(self.parser.buffer)

    def next(self) -> list[Head | Body | End]:
        """Return the parts of the next message that are already buffered."""
        return self.parser.next()

    def feed(self, data: bytes, received_at: int) -> list[Head | Body | End]:
        """Add bytes to the current message; return its parts that are now complete."""
        self.receive_times.add(len(data), received_at)
        return self.parser.feed(data)

    def buffer_ahead(self, data: bytes, received_at: int) -> None:
        """Buffer bytes of later messages; those after malformed bytes are discarded."""
        if self.read_ahead_validator.malformed:
            return
        self.receive_times.add(len(data), received_at)
        self.parser.buffer += data
        self.read_ahead_validator.feed(data)

    def empty(self) -> bool:
        """Return whether no bytes are buffered."""
        return not self.parser.buffer

    def full(self) -> bool:
        """Return whether the read-ahead limit is reached; none applies after malformed bytes."""
        return self.size() >= MAX_READ_AHEAD_BYTES and not self.read_ahead_validator.malformed

    def size(self) -> int:
        """Return the number of buffered bytes."""
        return len(self.parser.buffer)

    def oldest_received_at(self) -> int:
        """Return when the first buffered byte was received; 0 if there is none."""
        return self.receive_times.oldest(len(self.parser.buffer))

    def last_received_at(self) -> int:
        """Return when the last byte before the buffered ones was received; 0 if unknown."""
        return self.receive_times.before(len(self.parser.buffer))
