"""HTTP/2 towards a server (RFC 9113), as a state machine that is fed bytes.

It uses the h2 library and adds bounds on what a server may send. The module knows no socket and no
clock, and not where a stream goes.
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

from .http1 import MAX_HEAD, MOST_INTERIM, MalformedMessageError

FRAME_HEAD = 9  # bytes (RFC 9113, 4.1)
MAX_FRAME = 16_384  # bytes of a frame's payload
# Types of frames.
DATA = 0x0
HEADERS = 0x1
PRIORITY = 0x2
SETTINGS = 0x4
GOAWAY = 0x7
END_STREAM = 0x1  # flag
STREAM_ID_MASK = 0x7FFF_FFFF  # the highest bit is reserved
DEFAULT_WINDOW = 65_535  # of a connection (RFC 9113, 6.9.2)
# Of a connection: a slow stream must take room from no other; its own window bounds it.
CONNECTION_WINDOW = 2**30
UNLIMITED = 2**31  # a limit of streams that the server did not set
MAX_WRITE = 65_536  # bytes that pending() returns at once
# Closed streams that are remembered: the library's 65,536 would be megabytes for each connection.
REMEMBERED_STREAMS = 1024
MAX_DEBUG_DATA = 80  # bytes kept of a GOAWAY frame's debug data
MAX_ERROR_TEXT = 200  # characters
STATUS_DIGITS = 3
PING_DATA = b"claycros"  # eight bytes
# Headers that are new with each request: in the table of header compression they would only
# displace others.
NEVER_INDEXED = {"x-request-id", "x-timeout-ms", "x-attrs", "x-route-key", "content-length"}
REFUSED_STREAM = int(h2.errors.ErrorCodes.REFUSED_STREAM)


@dataclass(slots=True)
class SettingsReceived:
    """The server's own SETTINGS arrived: the connection preface is complete."""

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
    flow_controlled_bytes: int  # bytes of the window that it occupies, until acknowledge_data()


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

    last_id: int  # of a stream that it has processed, or will
    code: int
    text: str


@dataclass(slots=True)
class WindowUpdated:
    """More may be written: on one stream, or (0) on all."""

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
    """Encodes headers without Huffman codes.

    These cost a quarter of the time of a request's head, and save bytes that are not scarce between
    machines side by side.
    """

    def encode(self, headers: Iterable[Any], huffman: bool = False) -> bytes:
        """Encode headers."""
        encoded: bytes = super().encode(headers, huffman)
        return encoded


class ClientConnection(h2.connection.H2Connection):
    """The library's connection, with a smaller memory of closed streams."""

    MAX_CLOSED_STREAMS = REMEMBERED_STREAMS


class Session:
    """One connection; after each call that may write, `pending()` has what is to be sent."""

    def __init__(self, window: int):
        """`window`: bytes that the server may send on one stream ahead of acknowledge_data()."""
        self.h2 = new_connection(window)
        self.buffer = b""  # received, and not a whole frame yet
        self.send_buffer = bytearray()  # to be sent
        self.ready = False  # the server's SETTINGS arrived
        self.highest = 0  # id of the newest stream
        self.control_frames = 0  # since the last take_control_frame_count()
        self.interim: dict[int, int] = {}  # 1xx responses so far, by stream
        self.written_so_far = 0  # bytes of all that was to be sent
        self.queued = 0  # bytes of all that was or is to be sent
        # The position behind the last byte of each request that is not sent, and its stream.
        self.ends: deque[tuple[int, int]] = deque()
        self.h2.initiate_connection()
        self.h2.increment_flow_control_window(CONNECTION_WINDOW - DEFAULT_WINDOW)
        self.collect()

    # ------------------------------------------------------------ what is written

    def collect(self) -> None:
        """Take what the library has to send."""
        data = self.h2.data_to_send()
        self.send_buffer += data
        self.queued += len(data)

    def pending(self) -> bytes:
        """Return the next bytes to be sent."""
        return bytes(self.send_buffer[:MAX_WRITE])

    def mark_sent(self, count: int) -> list[int]:
        """Note that so many bytes of pending() were sent.

        Returns the streams whose requests are completely sent by that.
        """
        del self.send_buffer[:count]
        self.written_so_far += count
        done = []
        while self.ends and self.ends[0][0] <= self.written_so_far:
            done.append(self.ends.popleft()[1])
        return done

    def send_head(
        self,
        method: str,
        target: str,
        authority: str,
        headers: Iterable[tuple[str, str]],
        size: int,
    ) -> int:
        """Write the head of a request with a body of `size` bytes; return its stream."""
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
        if size or method in ("POST", "PUT"):
            head.append(NeverIndexedHeaderTuple("content-length", str(size)))
        stream: int = self.h2.get_next_available_stream_id()
        self.h2.send_headers(stream, head, end_stream=not size)
        self.highest = stream
        self.collect()
        if not size:
            self.ends.append((self.queued, stream))
        return stream

    def send_window(self, stream: int) -> int:
        """Return how many bytes of a body the windows allow now."""
        return max(0, self.h2.local_flow_control_window(stream))

    def send_body(self, stream: int, data: memoryview, last: bool) -> None:
        """Write a piece of a body, of at most send_window() bytes."""
        size = self.h2.max_outbound_frame_size
        for start in range(0, len(data), size):
            end = start + size
            is_end = last and end >= len(data)
            self.h2.send_data(stream, bytes(data[start:end]), end_stream=is_end)
        self.collect()
        if last:
            self.ends.append((self.queued, stream))

    def acknowledge_data(self, stream: int, flow_controlled_bytes: int) -> None:
        """Note that bytes of the stream were consumed: the server may send as many again."""
        if flow_controlled_bytes:
            self.h2.acknowledge_received_data(flow_controlled_bytes, stream)
            self.collect()

    def reset(self, stream: int) -> None:
        """Reset a stream that has not ended, whatever still arrives on it."""
        try:
            self.h2.reset_stream(stream, h2.errors.ErrorCodes.CANCEL)
        except h2.exceptions.ProtocolError:
            return  # it has ended on both sides meanwhile
        self.collect()

    def ping(self) -> None:
        """Ask for a sign of life."""
        self.h2.ping(PING_DATA)
        self.collect()

    def send_goaway(self) -> None:
        """Announce that this side closes the connection."""
        self.h2.close_connection()
        self.collect()

    # ------------------------------------------------------------ what comes

    def feed(self, data: bytes) -> list[Event]:
        """Add bytes and return the events in them.

        GOAWAY frames are read here and not by the library, which takes nothing more on a connection
        after one, while streams at or under its last id go on to their ends.

        Raises:
            MalformedMessageError: If the connection can't go on.
        """
        self.buffer += data
        events: list[Event] = []
        if self.buffer.startswith(b"HTTP/1."):
            raise Http1ResponseError(502, "HTTP/1 is spoken there")
        start = 0  # of the frames that the library has not been given
        position = 0
        while len(self.buffer) - position >= FRAME_HEAD:
            size = int.from_bytes(self.buffer[position : position + 3], "big")
            kind = self.buffer[position + 3]
            self.check_frame(position, size, kind)
            end = position + FRAME_HEAD + size
            if len(self.buffer) < end:
                break
            if self.is_control_frame(position, size, kind):
                self.control_frames += 1
            if kind == GOAWAY:
                self.through(self.buffer[start:position], events)
                events.append(self.read_goaway(self.buffer[position:end]))
                start = end
            elif not self.ready:
                self.through(self.buffer[start:end], events)
                start = end
            position = end
        complete = self.buffer[start:position]
        self.buffer = self.buffer[position:]
        self.through(complete, events)
        return events

    def check_frame(self, position: int, size: int, kind: int) -> None:
        """Reject a frame that no valid connection has, by its head."""
        stream = int.from_bytes(self.buffer[position + 5 : position + 9], "big") & STREAM_ID_MASK
        if size > MAX_FRAME:
            raise MalformedMessageError(502, "a frame is too large")
        if not self.ready and kind != SETTINGS:
            raise MalformedMessageError(502, "no settings at the start")
        if stream > self.highest and kind != PRIORITY:
            raise MalformedMessageError(502, f"a frame on stream {stream}, which was never opened")

    def is_control_frame(self, position: int, size: int, kind: int) -> bool:
        """Return whether a frame carries nothing of a response."""
        if kind == DATA:
            return not size and not self.buffer[position + 4] & END_STREAM
        return kind != HEADERS

    def read_goaway(self, data: bytes) -> GoAway:
        """Parse a GOAWAY frame."""
        try:
            frame, _ = Frame.parse_frame_header(memoryview(data[:FRAME_HEAD]))
            frame.parse_body(memoryview(data[FRAME_HEAD:]))
        except (HyperframeError, ValueError) as error:
            raise MalformedMessageError(502, f"a GOAWAY that can't be read: {error}") from None
        if not isinstance(frame, GoAwayFrame) or frame.stream_id:
            raise MalformedMessageError(502, "a GOAWAY on a stream")
        return GoAway(
            frame.last_stream_id,
            frame.error_code,
            bytes(frame.additional_data[:MAX_DEBUG_DATA]).decode("latin-1"),
        )

    def through(self, frames: bytes, events: list[Event]) -> None:
        """Give whole frames to the library and add the events in them."""
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
            self.collect()
            text = f"{type(error).__name__} {error}"
            raise MalformedMessageError(502, text[:MAX_ERROR_TEXT]) from None
        for event in received:
            self.translate(event, events)
        self.collect()

    def translate(self, event: h2.events.Event, events: list[Event]) -> None:
        """Add the library's event, if it matters here."""
        match event:
            case h2.events.DataReceived():
                events.append(Data(event.stream_id, event.data, event.flow_controlled_length))
            case h2.events.ResponseReceived():
                events.append(self.response_head(event))
            case h2.events.StreamEnded():
                self.interim.pop(event.stream_id, None)
                events.append(Ended(event.stream_id))
            case h2.events.StreamReset():
                self.interim.pop(event.stream_id, None)
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
                pass  # PING, its answer, SETTINGS acknowledged, PRIORITY, ALTSVC, unknown frames

    def response_head(self, event: h2.events.ResponseReceived) -> ResponseHead:
        """Return the head of a response."""
        headers = join_headers(event.headers)
        status = headers.get(":status", "")
        if not (status.isdigit() and len(status) == STATUS_DIGITS):
            raise MalformedMessageError(502, "no status")
        self.interim.pop(event.stream_id, None)
        return ResponseHead(event.stream_id, int(status), headers)

    def count_interim(self, stream: int) -> None:
        """Reject interim responses without end."""
        count = self.interim.get(stream, 0) + 1
        self.interim[stream] = count
        if count > MOST_INTERIM:
            raise MalformedMessageError(502, "interim answers without end")

    def settings_changed(self, event: h2.events.RemoteSettingsChanged, events: list[Event]) -> None:
        """Add what the server's SETTINGS change."""
        codes = h2.settings.SettingCodes
        changed = event.changed_settings.get(codes.MAX_CONCURRENT_STREAMS)
        limit = changed.new_value if changed else UNLIMITED
        if not self.ready:
            self.ready = True
            events.append(SettingsReceived(limit))
        elif changed:
            events.append(StreamLimitChanged(limit))
        if codes.INITIAL_WINDOW_SIZE in event.changed_settings:
            events.append(WindowUpdated(0))

    def take_control_frame_count(self) -> int:
        """Return the number of frames that carried nothing since the last call."""
        noise = self.control_frames
        self.control_frames = 0
        return noise


def new_connection(window: int) -> ClientConnection:
    """Return the library's connection with our SETTINGS."""
    connection = ClientConnection(
        h2.config.H2Configuration(
            client_side=True,
            header_encoding="latin-1",
            # What is sent was validated when it arrived (http1.py), and is in lower case here.
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
    # Otherwise the limit would hold only once the server has acknowledged the SETTINGS.
    connection.decoder.max_header_list_size = MAX_HEAD
    return connection


def join_headers(headers: Iterable[Any]) -> dict[str, str]:
    """Return one entry for each name, with the values joined, as HTTP/1.1's heads are kept."""
    joined: dict[str, str] = {}
    for name, value in headers:
        joined[name] = f"{joined[name]}, {value}" if name in joined else value
    return joined
