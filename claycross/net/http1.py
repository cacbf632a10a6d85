"""Parsers for HTTP/1.1 messages, chunked bodies and event streams: state machines fed bytes.

Malformed input is never repaired: it raises MalformedMessageError with the status to respond with.
The parsers use no socket and no clock, and buffer a bounded number of bytes.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from enum import StrEnum

from .chunked_body import ChunkedBodyParser
from .http1_encoding import (
    HEAD_END,
    LAST_CHUNK,
    encode_chunk,
    encode_request,
    encode_request_head,
    encode_response,
)
from .http1_limits import LINE_END, MAX_BODY, MAX_HEAD, MalformedMessageError

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
    "encode_request_head",
    "encode_response",
]

MAX_INTERIM_RESPONSES = 8  # 1xx responses before the final one
TOKEN = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+\Z")
HEADER_LINES = re.compile(
    rb"(?:[!#$%&'*+\-.^_`|~0-9A-Za-z]+:[^\x00-\x08\x0a-\x1f\x7f]*\r\n)*"  # token ":" value
)
HEADER_FIELD = re.compile(r"([^:\r\n]+):([^\r\n]*)\r\n")  # of valid header lines
FRAMING_FIELD = re.compile(
    rb"\r\n(content-length|transfer-encoding|host|expect):([^\r\n]*)", re.IGNORECASE
)
CONTROL_CHARACTER = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")
REQUEST_LINE = re.compile(r"([A-Z]{1,20}) ([!-~]+) HTTP/1\.([01])\Z")
STATUS_LINE = re.compile(r"HTTP/1\.([01]) ([1-5][0-9]{2})(?: .*)?\Z")
CONTENT_LENGTH = re.compile(r"[0-9]{1,12}")
SINGLE_HEADERS = ("content-length", "transfer-encoding", "host")  # may not be repeated
FIRST_FINAL_STATUS = 200  # lower statuses are interim
SWITCHING_PROTOCOLS = 101
STATUSES_WITHOUT_BODY = (204, 304)


@dataclass(slots=True)
class Head:
    """The start line and headers of a message; header names in lower case.

    The headers are kept as they were received, since objects for each would take fifty times their
    size. They are parsed when they are first used, and stay parsed until compact() is called.
    """

    method: str = ""
    target: str = ""
    status: int = 0
    minor: int = 1  # minor version of HTTP/1
    fields: bytes = b""  # the header lines as received, each with its line end
    parsed: dict[str, str] | None = None
    expects_continue: bool = False  # the sender waits for an interim response before the body

    @property
    def headers(self) -> dict[str, str]:
        """The values by name; several with one name are joined with commas."""
        if self.parsed is None:
            self.parsed = join_fields(self.raw_headers)
        return self.parsed

    @property
    def raw_headers(self) -> list[tuple[str, str]]:
        """Names and values as received."""
        return [
            (name, value.strip(" \t"))
            for name, value in HEADER_FIELD.findall(self.fields.decode("latin-1"))
        ]

    def compact(self) -> None:
        """Keep only the header lines as received."""
        self.parsed = None

    def get(self, name: str, default: str = "") -> str:
        """Return the value of a header; `name` is in lower case."""
        return self.headers.get(name, default)

    def keeps_alive(self) -> bool:
        """Return whether the connection persists after the message (RFC 9112, 9.3)."""
        options = {option.strip().lower() for option in self.get("connection").split(",")}
        return "close" not in options and (self.minor == 1 or "keep-alive" in options)


def join_fields(fields: list[tuple[str, str]]) -> dict[str, str]:
    """Return the values of header fields by lower-case name."""
    headers: dict[str, str] = {}
    for name, value in fields:
        key = name.lower()
        headers[key] = f"{headers[key]}, {value}" if key in headers else value
    return headers


def framing_fields(fields: bytes) -> dict[str, str]:
    """Return the values of the header fields that determine how a message is read, by name.

    Raises:
        MalformedMessageError: If one that may not be repeated is.
    """
    framing: dict[str, str] = {}
    for raw_name, raw_value in FRAMING_FIELD.findall(LINE_END + fields):
        name = raw_name.decode("ascii").lower()
        value = raw_value.strip(b" \t").decode("latin-1")
        if name not in framing:
            framing[name] = value
        elif name in SINGLE_HEADERS:
            raise MalformedMessageError(400, f"{name} stands twice")
        else:
            framing[name] = f"{framing[name]}, {value}"
    return framing


@dataclass(slots=True)
class Body:
    """A piece of a message's body."""

    data: bytes


@dataclass(slots=True)
class End:
    """The message is complete."""


Part = Head | Body | End


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
        start_line, _, fields = self.buffer[: end + len(LINE_END)].partition(LINE_END)
        self.buffer = self.buffer[end + len(HEAD_END) :]
        self.checked = 0
        head = self.parse_start_line(start_line.decode("latin-1"))
        self.head = head
        self.head_count += 1
        if not HEADER_LINES.fullmatch(fields):
            raise MalformedMessageError(400, "a header line is malformed")
        head.fields = fields
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
                self.check_header(line)
            else:
                self.parse_start_line(line.decode("latin-1"))
            self.checked = end + len(LINE_END)

    def check_header(self, line: bytes) -> None:
        """Reject a header line that is malformed."""
        name, colon, value = line.partition(b":")
        if not colon or not TOKEN.match(name) or CONTROL_CHARACTER.search(value):
            raise MalformedMessageError(400, "a header line is malformed")

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
        framing = framing_fields(head.fields)
        coding = framing.get("transfer-encoding")
        length = framing.get("content-length")
        head.expects_continue = framing.get("expect", "").lower() == "100-continue"
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
