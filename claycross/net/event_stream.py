"""Splits a server-sent event stream (text/event-stream) at the ends of its events."""

from __future__ import annotations

from .http1 import MAX_BODY, MalformedMessageError


class EventStreamParser:
    """Splits a server-sent event stream at the ends of its events."""

    def __init__(self) -> None:
        self.buffer = b""  # the incomplete event

    def feed(self, data: bytes) -> bytes:
        """Add bytes; return the events that have become complete."""
        buffer = self.buffer + data
        end = max(end_of_last_match(buffer, b"\n\n"), end_of_last_match(buffer, b"\n\r\n"))
        if len(buffer) - end > MAX_BODY:
            raise MalformedMessageError(502, "an event is too large")
        self.buffer = buffer[end:]
        return buffer[:end]


def end_of_last_match(buffer: bytes, separator: bytes) -> int:
    """Return the position after the last occurrence of the separator; 0 if there is none."""
    start = buffer.rfind(separator)
    return start + len(separator) if start >= 0 else 0
