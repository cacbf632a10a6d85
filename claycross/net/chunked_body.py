"""The parser of chunked bodies of HTTP/1.1 messages (RFC 9112, 7.1): a state machine fed bytes."""

from __future__ import annotations

import re
from enum import StrEnum

from .http1_limits import LINE_END, MAX_BODY, MAX_HEAD, MalformedMessageError

MAX_CHUNK_LINE_BYTES = 256  # a chunk's size line, or a line of the trailers
CHUNK_SIZE = re.compile(rb"([0-9A-Fa-f]{1,8})[ \t]*(?:;.*)?\Z", re.DOTALL)
PARTIAL_CHUNK_SIZE = re.compile(rb"[0-9A-Fa-f]{0,8}[ \t]*(?:;.*)?\r?\Z", re.DOTALL)


class ChunkState(StrEnum):
    """What the parser of a chunked body expects next."""

    SIZE = "size"
    DATA = "data"
    DATA_END = "after"
    TRAILER = "trailer"


# Module constants, as a lookup in the enum would cost time for every chunk.
CHUNK_STATE_SIZE = ChunkState.SIZE
CHUNK_STATE_DATA = ChunkState.DATA
CHUNK_STATE_DATA_END = ChunkState.DATA_END
CHUNK_STATE_TRAILER = ChunkState.TRAILER


class ChunkedBodyParser:
    """Parses a chunked body (RFC 9112, 7.1); `complete` is set at its end."""

    def __init__(self, max_chunk: int = MAX_BODY) -> None:
        self.max_chunk = max_chunk  # bytes
        self.buffer = b""
        self.position = 0  # of the first byte in the buffer that is not parsed yet
        self.state = CHUNK_STATE_SIZE
        self.remaining = 0  # bytes of the current chunk that have not arrived
        self.trailer_size = 0  # bytes of trailers so far
        self.complete = False

    def at_boundary(self) -> bool:
        """Return whether no chunk has arrived in part."""
        return self.complete or (self.state is CHUNK_STATE_SIZE and not self.buffer)

    def feed(self, data: bytes) -> tuple[bytes, bytes]:
        """Add bytes; return the new bytes of the body, and the bytes after its end."""
        self.buffer += data
        self.position = 0
        pieces: list[bytes] = []
        progress = True
        while progress and not self.complete:
            if self.state is CHUNK_STATE_DATA:
                progress = self.read_data(pieces)
            elif self.state is CHUNK_STATE_DATA_END:
                progress = self.read_data_end()
            else:
                progress = self.read_line()
        rest = self.buffer[self.position :]
        self.buffer = b"" if self.complete else rest
        return b"".join(pieces), rest if self.complete else b""

    def read_data(self, pieces: list[bytes]) -> bool:
        """Parse a piece of a chunk's data; return False if more input is needed."""
        piece = self.buffer[self.position : self.position + self.remaining]
        if not piece:
            return False
        self.position += len(piece)
        self.remaining -= len(piece)
        pieces.append(piece)
        if not self.remaining:
            self.state = CHUNK_STATE_DATA_END
        return True

    def read_data_end(self) -> bool:
        """Parse the end of line after a chunk's data; return False if more input is needed."""
        if not self.buffer.startswith(LINE_END, self.position):
            if self.buffer[self.position :] in (b"", b"\r"):
                return False
            raise MalformedMessageError(400, "a chunk is longer than its size says")
        self.position += len(LINE_END)
        self.state = CHUNK_STATE_SIZE
        return True

    def read_line(self) -> bool:
        """Parse a size line or a line of the trailers; return False if more input is needed."""
        end = self.buffer.find(LINE_END, self.position)
        if end < 0:
            self.check_partial_line()
            return False
        line = self.buffer[self.position : end]
        self.position = end + len(LINE_END)
        if self.state is CHUNK_STATE_SIZE:
            self.read_size(line)
        elif not line:
            self.complete = True
        else:
            self.trailer_size += len(line)
            if self.trailer_size > MAX_HEAD or b":" not in line:
                raise MalformedMessageError(400, "bad trailer")
        return True

    def check_partial_line(self) -> None:
        """Reject a partial line that is already malformed, as its end may never arrive."""
        line = self.buffer[self.position :]
        if len(line) > MAX_CHUNK_LINE_BYTES:
            raise MalformedMessageError(400, "a chunk's size line is too long")
        if self.state is CHUNK_STATE_SIZE and not PARTIAL_CHUNK_SIZE.match(line):
            raise MalformedMessageError(400, "a chunk's size is no number")

    def read_size(self, line: bytes) -> None:
        """Parse a chunk's size line; after a size of 0 the trailers follow."""
        size = CHUNK_SIZE.match(line)
        if not size:
            raise MalformedMessageError(400, "a chunk's size is no number")
        self.remaining = int(size[1], 16)
        if self.remaining > self.max_chunk:
            raise MalformedMessageError(413, "a chunk is too large")
        self.state = CHUNK_STATE_DATA if self.remaining else CHUNK_STATE_TRAILER
