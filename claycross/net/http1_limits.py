"""The limits of HTTP/1.1 messages, and the error for those that are malformed or exceed them."""

from __future__ import annotations

MAX_HEAD = 16_384  # bytes of a start line with its headers, and of a chunked body's trailers
MAX_BODY = 262_144  # bytes
LINE_END = b"\r\n"


class MalformedMessageError(Exception):
    """The input is not a valid message of the protocol, or exceeds a limit."""

    def __init__(self, status: int, message: str):
        super().__init__(message)
        self.status = status
