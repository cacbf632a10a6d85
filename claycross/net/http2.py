"""The client side of HTTP/2 (RFC 9113), as a state machine that is fed bytes.

It uses the h2 library and limits what a server may send. It uses no socket and no clock, and does
not choose the connection of a stream.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

import h2.config
import h2.connection
import h2.errors
import h2.events
import h2.exceptions
import h2.settings
from hpack import Encoder, NeverIndexedHeaderTuple
from hyperframe.exceptions import HyperframeError
from hyperframe.frame import Frame, GoAwayFrame

from .http1 import MAX_HEAD, MAX_INTERIM_RESPONSES, MalformedMessageError

FRAME_HEADER_BYTES = 9  # RFC 9113, 4.1
MAX_FRAME = 16_384  # bytes of a frame's payload
# Frame types.
DATA_FRAME = 0x0
HEADERS_FRAME = 0x1
PRIORITY_FRAME = 0x2
SETTINGS_FRAME = 0x4
GOAWAY_FRAME = 0x7
END_STREAM_FLAG = 0x1
STREAM_ID_MASK = 0x7FFF_FFFF  # the highest bit is reserved
DEFAULT_WINDOW_BYTES = 65_535  # of a connection (RFC 9113, 6.9.2)
# Window of a connection. Large enough that a slow stream never blocks the others: only its own
# window limits it.
CONNECTION_WINDOW_BYTES = 2**30
UNLIMITED_STREAMS = 2**31  # stands for a limit of streams that the server did not set
MAX_WRITE_BYTES = 65_536  # returned by pending() at once
# Closed streams that the library remembers; its default of 65,536 takes megabytes per connection.
REMEMBERED_CLOSED_STREAMS = 1024
MAX_DEBUG_DATA_BYTES = 80  # kept of a GOAWAY frame's debug data
MAX_ERROR_TEXT_LENGTH = 200  # characters
STATUS_DIGITS = 3
PING_DATA = b"claycros"  # eight bytes, as RFC 9113, 6.7 requires
# Headers whose values differ for each request: in the dynamic table of HPACK they would only
# displace others.
NEVER_INDEXED = {"x-request-id", "x-timeout-ms", "x-attrs", "x-route-key", "content-length"}
REFUSED_STREAM = int(h2.errors.ErrorCodes.REFUSED_STREAM)


@dataclass(slots=True)
class SettingsReceived:
    """The server's first SETTINGS arrived: its connection preface is complete."""

    limit: int  # of concurrent streams


@dataclass(slots=True)
class StreamLimitChanged:
    """The server changed the limit of concurrent streams."""

    limit: int


@dataclass(slots=True)
class ResponseHead:
    """The head of a response; header names in lower case."""

    stream: int
    status: int
    headers: dict[str, str]


@dataclass(slots=True)
class Data:
    """A piece of a response's body."""

    stream: int
    data: bytes
    flow_controlled_bytes: int  # taken from the windows until acknowledge_data()


@dataclass(slots=True)
class Trailers:
    """The trailers of a response; names in lower case."""

    stream: int
    headers: dict[str, str]


@dataclass(slots=True)
class Ended:
    """The response is complete."""

    stream: int


@dataclass(slots=True)
class Reset:
    """The server reset a stream."""

    stream: int
    code: int


@dataclass(slots=True)
class GoAway:
    """The server closes the connection."""

    last_stream_id: int  # of the last stream that the server has processed or will process
    code: int
    debug_text: str


@dataclass(slots=True)
class WindowUpdated:
    """The server allows more data on a stream, or (stream 0) on all streams."""

    stream: int


Event = (
    SettingsReceived
    | StreamLimitChanged
    | ResponseHead
    | Data
    | Trailers
    | Ended
    | Reset
    | GoAway
    | WindowUpdated
)


class Http1ResponseError(MalformedMessageError):
    """The server answered the connection preface in HTTP/1."""


class LiteralEncoder(Encoder):
    """Encodes headers without Huffman coding.

    Huffman coding takes a quarter of the time of a request's head, and the bytes that it saves
    don't matter between neighbouring machines.
    """

    def encode(self, headers: Iterable[Any], huffman: bool = False) -> bytes:
        """Encode headers; `huffman` is false unless the caller sets it."""
        encoded: bytes = super().encode(headers, huffman)
        return encoded


class ClientConnection(h2.connection.H2Connection):
    """The library's connection; it remembers fewer closed streams."""

    MAX_CLOSED_STREAMS = REMEMBERED_CLOSED_STREAMS


class Session:
    """The state of one connection; the caller sends what pending() returns after each call."""

    def __init__(self, window: int):
        """Start a connection; `window` is the initial window of each stream in bytes."""
        self.h2 = new_connection(window)
        self.buffer = b""  # an incomplete frame that was received
        self.send_buffer = bytearray()
        self.ready = False  # the server's first SETTINGS arrived
        self.newest_stream = 0  # its id
        self.control_frames = 0  # since the last take_control_frame_count()
        self.interim_counts: dict[int, int] = {}  # 1xx responses so far, by stream
        self.sent_bytes = 0  # since the start
        self.queued_bytes = 0  # since the start, those that were sent included
        # Requests that are queued as a whole and not completely sent: the value of sent_bytes at
        # which each is sent, and its stream.
        self.unsent_requests: deque[tuple[int, int]] = deque()
        self.h2.initiate_connection()
        self.h2.increment_flow_control_window(CONNECTION_WINDOW_BYTES - DEFAULT_WINDOW_BYTES)
        self.queue_output()

    # ------------------------------------------------------------ sending

    def queue_output(self) -> None:
        """Move what the library has to send to the send buffer."""
        data = self.h2.data_to_send()
        self.send_buffer += data
        self.queued_bytes += len(data)

    def pending(self) -> bytes:
        """Return the next bytes to send, MAX_WRITE_BYTES at most."""
        return bytes(self.send_buffer[:MAX_WRITE_BYTES])

    def mark_sent(self, count: int) -> list[int]:
        """Remove `count` bytes of pending() that were sent.

        Returns the streams whose requests are now completely sent.
        """
        del self.send_buffer[:count]
        self.sent_bytes += count
        sent_streams = []
        while self.unsent_requests and self.unsent_requests[0][0] <= self.sent_bytes:
            sent_streams.append(self.unsent_requests.popleft()[1])
        return sent_streams

    def send_head(
        self,
        method: str,
        target: str,
        authority: str,
        headers: Iterable[tuple[str, str]],
        body_size: int,
    ) -> int:
        """Queue the head of a request; return the id of its new stream."""
        head: list[Any] = [  # pairs, or the library's own tuples
            (":method", method),
            (":scheme", "http"),
            (":authority", authority),
            (":path", target),
        ]
        for name, value in headers:
            key = name.lower()
            if key in NEVER_INDEXED:
                head.append(NeverIndexedHeaderTuple(key, value))
            else:
                head.append((key, value))
        if body_size or method in ("POST", "PUT"):
            head.append(NeverIndexedHeaderTuple("content-length", str(body_size)))
        stream: int = self.h2.get_next_available_stream_id()
        self.h2.send_headers(stream, head, end_stream=not body_size)
        self.newest_stream = stream
        self.queue_output()
        if not body_size:
            self.unsent_requests.append((self.queued_bytes, stream))
        return stream

    def send_window(self, stream: int) -> int:
        """Return how many bytes of a stream's body the server's windows allow now."""
        return max(0, self.h2.local_flow_control_window(stream))

    def send_body(self, stream: int, data: memoryview, last: bool) -> None:
        """Queue a piece of a body, of at most send_window() bytes."""
        frame_size = self.h2.max_outbound_frame_size
        for start in range(0, len(data), frame_size):
            end = start + frame_size
            is_end = last and end >= len(data)
            self.h2.send_data(stream, bytes(data[start:end]), end_stream=is_end)
        self.queue_output()
        if last:
            self.unsent_requests.append((self.queued_bytes, stream))

    def acknowledge_data(self, stream: int, flow_controlled_bytes: int) -> None:
        """Allow the server to send as many bytes again, as these were consumed."""
        if flow_controlled_bytes:
            self.h2.acknowledge_received_data(flow_controlled_bytes, stream)
            self.queue_output()

    def reset(self, stream: int) -> None:
        """Reset a stream, unless it has ended; what still arrives on it is ignored."""
        try:
            self.h2.reset_stream(stream, h2.errors.ErrorCodes.CANCEL)
        except h2.exceptions.ProtocolError:
            return  # both sides have ended it
        self.queue_output()

    def ping(self) -> None:
        """Queue a PING, which a live server acknowledges."""
        self.h2.ping(PING_DATA)
        self.queue_output()

    def send_goaway(self) -> None:
        """Queue a GOAWAY, which announces that this side closes the connection."""
        self.h2.close_connection()
        self.queue_output()

    # ------------------------------------------------------------ receiving

    def feed(self, data: bytes) -> list[Event]:
        """Add bytes; return the events of the frames that are complete.

        GOAWAY frames are parsed here and not by the library, which accepts nothing more on a
        connection after one, while streams up to its last id continue to their ends.

        Raises:
            MalformedMessageError: If the connection can't be used any longer.
        """
        self.buffer += data
        events: list[Event] = []
        if self.buffer.startswith(b"HTTP/1."):
            raise Http1ResponseError(502, "the server responded in HTTP/1")
        start = 0  # of the frames that were not passed to the library yet
        position = 0
        while len(self.buffer) - position >= FRAME_HEADER_BYTES:
            size = int.from_bytes(self.buffer[position : position + 3], "big")
            frame_type = self.buffer[position + 3]
            self.check_frame(position, size, frame_type)
            end = position + FRAME_HEADER_BYTES + size
            if len(self.buffer) < end:
                break
            if self.is_control_frame(position, size, frame_type):
                self.control_frames += 1
            if frame_type == GOAWAY_FRAME:
                self.pass_to_library(self.buffer[start:position], events)
                events.append(self.parse_goaway(self.buffer[position:end]))
                start = end
            elif not self.ready:
                self.pass_to_library(self.buffer[start:end], events)
                start = end
            position = end
        complete = self.buffer[start:position]
        self.buffer = self.buffer[position:]
        self.pass_to_library(complete, events)
        return events

    def check_frame(self, position: int, size: int, frame_type: int) -> None:
        """Reject a frame whose header is invalid at this point of the connection."""
        stream = int.from_bytes(self.buffer[position + 5 : position + 9], "big") & STREAM_ID_MASK
        if size > MAX_FRAME:
            raise MalformedMessageError(502, "a frame is too large")
        if not self.ready and frame_type != SETTINGS_FRAME:
            raise MalformedMessageError(502, "the first frame is not SETTINGS")
        if stream > self.newest_stream and frame_type != PRIORITY_FRAME:
            raise MalformedMessageError(502, f"a frame on stream {stream}, which was never opened")

    def is_control_frame(self, position: int, size: int, frame_type: int) -> bool:
        """Return whether a frame carries no part of a response; empty DATA frames count too."""
        if frame_type == DATA_FRAME:
            return not size and not self.buffer[position + 4] & END_STREAM_FLAG
        return frame_type != HEADERS_FRAME

    def parse_goaway(self, data: bytes) -> GoAway:
        """Parse a GOAWAY frame."""
        try:
            frame, _ = Frame.parse_frame_header(memoryview(data[:FRAME_HEADER_BYTES]))
            frame.parse_body(memoryview(data[FRAME_HEADER_BYTES:]))
        except (HyperframeError, ValueError) as error:
            raise MalformedMessageError(502, f"malformed GOAWAY frame: {error}") from None
        if not isinstance(frame, GoAwayFrame) or frame.stream_id:
            raise MalformedMessageError(502, "GOAWAY frame on a stream")
        return GoAway(
            frame.last_stream_id,
            frame.error_code,
            bytes(frame.additional_data[:MAX_DEBUG_DATA_BYTES]).decode("latin-1"),
        )

    def pass_to_library(self, frames: bytes, events: list[Event]) -> None:
        """Pass complete frames to the library and add their events."""
        if not frames:
            return
        try:
            received = self.h2.receive_data(frames)
        except (
            h2.exceptions.ProtocolError,
            HyperframeError,
            ValueError,
            KeyError,
            IndexError,
        ) as error:
            self.queue_output()
            text = f"{type(error).__name__} {error}"
            raise MalformedMessageError(502, text[:MAX_ERROR_TEXT_LENGTH]) from None
        for event in received:
            self.translate(event, events)
        self.queue_output()

    def translate(self, event: h2.events.Event, events: list[Event]) -> None:
        """Add an event of the library in the types of this module, or ignore it."""
        match event:
            case h2.events.DataReceived():
                events.append(Data(event.stream_id, event.data, event.flow_controlled_length))
            case h2.events.ResponseReceived():
                events.append(self.response_head(event))
            case h2.events.StreamEnded():
                self.interim_counts.pop(event.stream_id, None)
                events.append(Ended(event.stream_id))
            case h2.events.StreamReset():
                self.interim_counts.pop(event.stream_id, None)
                if event.remote_reset:
                    events.append(Reset(event.stream_id, int(event.error_code)))
            case h2.events.TrailersReceived():
                events.append(Trailers(event.stream_id, join_headers(event.headers)))
            case h2.events.InformationalResponseReceived():
                self.count_interim(event.stream_id)
            case h2.events.RemoteSettingsChanged():
                self.settings_changed(event, events)
            case h2.events.WindowUpdated():
                events.append(WindowUpdated(event.stream_id))
            case _:
                pass  # PING, acknowledgements, PRIORITY, ALTSVC and unknown frames

    def response_head(self, event: h2.events.ResponseReceived) -> ResponseHead:
        """Return the head of a response."""
        headers = join_headers(event.headers)
        status = headers.get(":status", "")
        if not (status.isdigit() and len(status) == STATUS_DIGITS):
            raise MalformedMessageError(502, "the response has no valid status")
        self.interim_counts.pop(event.stream_id, None)
        return ResponseHead(event.stream_id, int(status), headers)

    def count_interim(self, stream: int) -> None:
        """Count an interim response; reject the stream's responses if there are too many."""
        count = self.interim_counts.get(stream, 0) + 1
        self.interim_counts[stream] = count
        if count > MAX_INTERIM_RESPONSES:
            raise MalformedMessageError(502, "too many interim responses")

    def settings_changed(self, event: h2.events.RemoteSettingsChanged, events: list[Event]) -> None:
        """Add the events of changed SETTINGS of the server."""
        codes = h2.settings.SettingCodes
        changed = event.changed_settings.get(codes.MAX_CONCURRENT_STREAMS)
        limit = changed.new_value if changed else UNLIMITED_STREAMS
        if not self.ready:
            self.ready = True
            events.append(SettingsReceived(limit))
        elif changed:
            events.append(StreamLimitChanged(limit))
        if codes.INITIAL_WINDOW_SIZE in event.changed_settings:
            events.append(WindowUpdated(0))

    def take_control_frame_count(self) -> int:
        """Return the number of control frames since the last call."""
        count = self.control_frames
        self.control_frames = 0
        return count


def new_connection(window: int) -> ClientConnection:
    """Return a connection of the library with this client's SETTINGS."""
    connection = ClientConnection(
        h2.config.H2Configuration(
            client_side=True,
            header_encoding="latin-1",
            # Headers were validated on arrival (http1.py), and send_head() converts them to lower
            # case.
            validate_outbound_headers=False,
            normalize_outbound_headers=False,
        )
    )
    connection.encoder = LiteralEncoder()
    codes = h2.settings.SettingCodes
    connection.local_settings = h2.settings.Settings(
        client=True,
        initial_values={
            codes.ENABLE_PUSH: 0,
            codes.INITIAL_WINDOW_SIZE: window,
            codes.MAX_FRAME_SIZE: MAX_FRAME,
            codes.MAX_HEADER_LIST_SIZE: MAX_HEAD,
        },
    )
    # Otherwise the limit applies only once the server has acknowledged the SETTINGS.
    connection.decoder.max_header_list_size = MAX_HEAD
    return connection


def join_headers(headers: Iterable[Any]) -> dict[str, str]:
    """Return one entry per name with its values joined, as in http1.Head."""
    joined: dict[str, str] = {}
    for name, value in headers:
        joined[name] = f"{joined[name]}, {value}" if name in joined else value
    return joined
