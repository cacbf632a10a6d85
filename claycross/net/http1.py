"""Parsers for HTTP/1.1 messages, chunked bodies and event streams: state machines fed bytes.

Malformed input is never repaired: it raises MalformedMessageError with the status to respond with.
The parsers use no socket and no clock, and buffer a bounded number of bytes.
"""

from __future__ import annotations

import re
from dataclasses import dataclass, field
from enum import StrEnum

from .http1_encoding import HEAD_END, LAST_CHUNK, encode_chunk, encode_request, encode_response

__all__ = [
    "LAST_CHUNK",
    "MAX_BODY",
    "MAX_HEAD",
    "MAX_INTERIM_RESPONSES",
    "Body",
    "ChunkedBodyParser",
    "End",
    "Head",
    "MalformedMessageError",
    "MessageParser",
    "MessageState",
    "PipelineValidator",
    "encode_chunk",
    "encode_request",
    "encode_response",
]

MAX_HEAD = 16_384  # bytes of a start line with its headers, and of a chunked body's trailers
MAX_BODY = 262_144  # bytes
MAX_CHUNK_LINE_BYTES = 256  # a chunk's size line, or a line of the trailers
MAX_INTERIM_RESPONSES = 8  # 1xx responses before the final one
TOKEN = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+\Z")
CONTROL_CHARACTER = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")
REQUEST_LINE = re.compile(r"([A-Z]{1,20}) ([!-~]+) HTTP/1\.([01])\Z")
STATUS_LINE = re.compile(r"HTTP/1\.([01]) ([1-5][0-9]{2})(?: .*)?\Z")
CONTENT_LENGTH = re.compile(r"[0-9]{1,12}")
CHUNK_SIZE = re.compile(rb"([0-9A-Fa-f]{1,8})[ \t]*(?:;.*)?\Z", re.DOTALL)
PARTIAL_CHUNK_SIZE = re.compile(rb"[0-9A-Fa-f]{0,8}[ \t]*(?:;.*)?\r?\Z", re.DOTALL)
SINGLE_HEADERS = ("content-length", "transfer-encoding", "host")  # may not be repeated
LINE_END = b"\r\n"
FIRST_FINAL_STATUS = 200  # lower statuses are interim
SWITCHING_PROTOCOLS = 101
STATUSES_WITHOUT_BODY = (204, 304)


class MalformedMessageError(Exception):
    """The input is not a valid message of the protocol, or exceeds a limit."""

    def __init__(self, status: int, message: str):
        super().__init__(message)
        self.status = status


@dataclass(slots=True)
class Head:
    """The start line and headers of a message; header names in lower case."""

    method: str = ""
    target: str = ""
    status: int = 0
    minor: int = 1  # minor version of HTTP/1
    headers: dict[str, str] = field(default_factory=dict)
    # Names and values as received.
    raw_headers: list[tuple[str, str]] = field(default_factory=list)

    def get(self, name: str, default: str = "") -> str:
        """Return the value of a header; `name` is in lower case."""
        return self.headers.get(name, default)

    def keeps_alive(self) -> bool:
        """Return whether the connection persists after the message (RFC 9112, 9.3)."""
        options = {option.strip().lower() for option in self.get("connection").split(",")}
        return "close" not in options and (self.minor == 1 or "keep-alive" in options)


@dataclass(slots=True)
class Body:
    """A piece of a message's body."""

    data: bytes


@dataclass(slots=True)
class End:
    """The message is complete."""


Part = Head | Body | End


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


class MessageState(StrEnum):
    """What the parser of a connection expects next."""

    HEAD = "head"
    LENGTH = "length"  # a body of a given length
    CHUNKED = "chunked"
    UNTIL_CLOSE = "to-close"  # a body that ends with the connection
    COMPLETE = "whole"  # the message is complete, but End has not been returned yet
    END = "end"  # the message is complete, and End has been returned


# Module constants, as a lookup in the enum would cost time for every chunk.
STATE_HEAD = MessageState.HEAD
STATE_LENGTH = MessageState.LENGTH
STATE_CHUNKED = MessageState.CHUNKED
STATE_UNTIL_CLOSE = MessageState.UNTIL_CLOSE
STATE_COMPLETE = MessageState.COMPLETE
STATE_END = MessageState.END
BODY_STATES = (STATE_LENGTH, STATE_CHUNKED, STATE_UNTIL_CLOSE)


class MessageParser:
    """Parses the successive requests (or, with `responses`, the responses) of a connection.

    It stops after each complete message and buffers what follows, which `next()` parses.
    """

    def __init__(
        self, responses: bool = False, max_body: int = MAX_BODY, max_chunk: int = MAX_BODY
    ):
        self.responses = responses
        self.max_body = max_body
        self.max_chunk = max_chunk
        self.buffer = b""
        self.state = STATE_HEAD
        self.remaining = 0  # bytes of a body of a given length that have not arrived
        self.body_size = 0  # bytes of the body so far
        self.checked = 0  # bytes of the buffer that are valid lines of a partial head
        self.chunked_body = ChunkedBodyParser()
        self.head_count = 0  # heads parsed so far, interim ones included
        self.head = Head()  # of the current message, or else of the last one

    def idle(self) -> bool:
        """Return whether no part of the next message has arrived."""
        return self.state is STATE_HEAD and not self.buffer

    def at_boundary(self) -> bool:
        """Return whether no head, chunk or body of a given length has arrived in part."""
        if self.state is STATE_CHUNKED:
            return self.chunked_body.at_boundary()
        return self.state is STATE_UNTIL_CLOSE or self.idle()

    def next(self) -> list[Part]:
        """Return the parts of the next message that have arrived already."""
        if self.state is STATE_END:
            self.state = STATE_HEAD
        return self.feed(b"")

    def feed(self, data: bytes) -> list[Part]:
        """Add bytes; return the new parts of the current message.

        Raises:
            MalformedMessageError: If the message is malformed or too large.
        """
        self.buffer += data
        parts: list[Part] = []
        while self.state is STATE_HEAD:
            head = self.read_head()
            if head is None:
                return parts
            if not self.responses or head.status >= FIRST_FINAL_STATUS:
                parts.append(head)
        if self.state in BODY_STATES:
            self.read_body(parts)
        if self.state is STATE_COMPLETE:
            self.state = STATE_END
            parts.append(End())
        if len(self.buffer) > MAX_HEAD + self.max_body:
            raise MalformedMessageError(400, "more was sent than one message at a time")
        return parts

    def eof(self) -> list[Part]:
        """Handle the end of the peer's sending; return the End of a body that this completes.

        Raises:
            MalformedMessageError: If a message has arrived in part.
        """
        if self.state is STATE_UNTIL_CLOSE:
            self.state = STATE_END
            return [End()]
        if self.state is STATE_END or self.idle():
            return []
        raise MalformedMessageError(400, "ended in the midst of a message")

    # ------------------------------------------------------------ the head

    def read_head(self) -> Head | None:
        """Parse the head, once it is complete."""
        if not self.responses:
            self.skip_empty_lines()
        end = self.buffer.find(HEAD_END)
        if end > MAX_HEAD or (end < 0 and len(self.buffer) > MAX_HEAD):
            raise MalformedMessageError(431, "the head is too large")
        if end < 0:
            self.check_partial_head()
            return None
        start_line, *lines = self.buffer[:end].split(LINE_END)
        self.buffer = self.buffer[end + len(HEAD_END) :]
        self.checked = 0
        head = self.parse_start_line(start_line.decode("latin-1"))
        self.head = head
        self.head_count += 1
        for line in lines:
            self.add_header(head, line)
        self.choose_framing(head)
        return head

    def skip_empty_lines(self) -> None:
        """Remove the empty lines before a request, which are ignored (RFC 9112, 2.2)."""
        start = 0
        while self.buffer.startswith(LINE_END, start):
            start += len(LINE_END)
        if start:
            self.buffer = self.buffer[start:]

    def check_partial_head(self) -> None:
        """Reject a partial head that is already malformed, as its end may never arrive.

        The first bytes are checked at once, and each line once it is complete.
        """
        if self.responses and not self.buffer.startswith(b"HTTP/1."[: len(self.buffer)]):
            raise MalformedMessageError(502, "the response has no valid status line")
        if b"\n" in self.buffer[self.checked :].replace(LINE_END, b""):
            raise MalformedMessageError(400, "a line ends without CR")
        while True:
            end = self.buffer.find(LINE_END, self.checked)
            if end < 0:
                return
            line = self.buffer[self.checked : end]
            if self.checked:
                self.split_header(line)
            else:
                self.parse_start_line(line.decode("latin-1"))
            self.checked = end + len(LINE_END)

    def add_header(self, head: Head, line: bytes) -> None:
        """Parse a header line and add it to the head."""
        raw_name, raw_value = self.split_header(line)
        name = raw_name.decode("ascii")
        value = raw_value.strip(b" \t").decode("latin-1")
        key = name.lower()
        if key in head.headers:
            if key in SINGLE_HEADERS:
                raise MalformedMessageError(400, f"{key} stands twice")
            head.headers[key] = f"{head.headers[key]}, {value}"
        else:
            head.headers[key] = value
        head.raw_headers.append((name, value))

    def split_header(self, line: bytes) -> tuple[bytes, bytes]:
        """Return the name and the value of a header line."""
        name, colon, value = line.partition(b":")
        if not colon or not TOKEN.match(name) or CONTROL_CHARACTER.search(value):
            raise MalformedMessageError(400, "a header line is malformed")
        return name, value

    def parse_start_line(self, line: str) -> Head:
        """Parse a request line or a status line."""
        if self.responses:
            match = STATUS_LINE.match(line)
            if not match:
                raise MalformedMessageError(502, "the response has no valid status line")
            return Head(status=int(match[2]), minor=int(match[1]))
        match = REQUEST_LINE.match(line)
        if not match:
            raise MalformedMessageError(400, "no request line")
        return Head(method=match[1], target=match[2], minor=int(match[3]))

    def choose_framing(self, head: Head) -> None:
        """Determine how the body ends (RFC 9112, 6.3).

        A length together with a transfer coding, or a length that is not a number, is rejected, as
        both allow request smuggling.
        """
        coding = head.headers.get("transfer-encoding")
        length = head.headers.get("content-length")
        self.body_size = 0
        if coding is not None and (
            coding.lower() != "chunked" or length is not None or not head.minor
        ):
            raise MalformedMessageError(400, "the body's framing is not understood")
        if length is not None and not CONTENT_LENGTH.fullmatch(length):
            raise MalformedMessageError(400, "content-length is no number")
        if self.responses and head.status < FIRST_FINAL_STATUS:
            self.check_interim(head)
            self.state = STATE_HEAD
        elif self.responses and head.status in STATUSES_WITHOUT_BODY:
            self.state = STATE_COMPLETE
        elif coding:
            self.state = STATE_CHUNKED
            self.chunked_body = ChunkedBodyParser(self.max_chunk)
        elif length is not None:
            self.remaining = int(length)
            if self.remaining > self.max_body:
                raise MalformedMessageError(413, "the body is too large")
            self.state = STATE_LENGTH if self.remaining else STATE_COMPLETE
        else:
            self.state = STATE_UNTIL_CLOSE if self.responses else STATE_COMPLETE

    def check_interim(self, head: Head) -> None:
        """Reject too many interim responses, and a switch of protocols."""
        if head.status == SWITCHING_PROTOCOLS:
            raise MalformedMessageError(502, "the server switches protocols")
        if self.head_count > MAX_INTERIM_RESPONSES:
            raise MalformedMessageError(502, "too many interim responses")

    # ------------------------------------------------------------ the body

    def read_body(self, parts: list[Part]) -> None:
        """Add what has arrived of the body to `parts`, and set the state if it is complete."""
        data = self.body_data()
        if data:
            self.body_size += len(data)
            parts.append(Body(data))
        if self.body_size > self.max_body:
            raise MalformedMessageError(413, "the body is too large")

    def body_data(self) -> bytes:
        """Return what has arrived of the body, and set the state if it is complete."""
        if self.state is STATE_CHUNKED:
            data, self.buffer = self.chunked_body.feed(self.buffer)
            if self.chunked_body.complete:
                self.state = STATE_COMPLETE
            return data
        if self.state is STATE_UNTIL_CLOSE:
            data = self.buffer
            self.buffer = b""
            return data
        data = self.buffer[: self.remaining]
        self.buffer = self.buffer[self.remaining :]
        self.remaining -= len(data)
        if not self.remaining:
            self.state = STATE_COMPLETE
        return data


class PipelineValidator:
    """Checks whether the requests after the current one are valid so far; it stores none."""

    def __init__(self) -> None:
        self.messages = MessageParser()
        self.malformed = False
        self.complete_messages = 0
        self.incomplete_bytes = 0  # since the end of the last complete message

    def feed(self, data: bytes) -> None:
        """Add bytes; they are ignored once the input is malformed."""
        if self.malformed:
            return
        self.incomplete_bytes += len(data)
        try:
            parts = self.messages.feed(data)
            while parts and isinstance(parts[-1], End):
                self.complete_messages += 1
                self.incomplete_bytes = len(self.messages.buffer)
                parts = self.messages.next()
        except MalformedMessageError:
            self.malformed = True
