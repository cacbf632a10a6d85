"""How an emulated server answers on each wire: HTTP/1.1, and HTTP/2 without TLS, by the first
bytes.

Owns connections of both kinds and one request's way to its answer on either. It must never know
what is asked, or hold up one stream of a connection for another.
"""

from __future__ import annotations

import socket
import struct
from collections import deque
from typing import Any

import h2.config
import h2.connection
import h2.errors
import h2.events
import h2.exceptions
import h2.settings

from ..net.http1 import (
    LAST_CHUNK,
    Body,
    Head,
    MalformedMessageError,
    MessageParser,
    encode_chunk,
    encode_response,
)
from ..net.loop import (
    SECOND,
    Connection,
    ConnectionClosedError,
    EventLoop,
    Listener,
    ReadInterrupted,
    Signal,
    TimeoutExpired,
)

PREFACE = b"PRI * HTTP/2.0"
STALL = 20 * SECOND  # a client that takes nothing for so long has gone
LARGEST = 1 << 20
Pairs = list[tuple[str, str]]


def reset(conn: Connection) -> None:
    if not conn.closed:
        conn.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        conn.close()


class Exchange:
    """One request: its head, its body and its answer. `gone`: its client has left."""

    def __init__(self, loop: EventLoop, head: Head, body: bytes):
        self.head, self.body = head, body
        self.signal, self.heard, self.gone = Signal(loop), deque(), False

    def leave(self) -> None:
        self.gone = True
        self.signal.set()

    def next(self, span: int = 0) -> Any:
        """What was put into `heard`, in turn; None: the client has gone, or `span` (nanoseconds) is
        over.
        """
        while not self.heard and not self.gone:
            if not self.signal.wait(span):
                return None
        return self.heard.popleft() if self.heard and not self.gone else None

    def whole(self, status: int, headers: Pairs | None = None, body: bytes = b"") -> None: ...
    def begin(self, headers: Pairs) -> None: ...
    def piece(self, data: bytes) -> None: ...
    def end(self) -> None: ...
    def cut(self) -> None:
        """Ends it without an answer, as a process that dies."""


class Http1Exchange(Exchange):
    """On a connection of its own (HTTP/1.1)."""

    def __init__(self, loop: EventLoop, head: Head, body: bytes, conn: Connection):
        super().__init__(loop, head, body)
        self.conn = conn
        conn.on_idle_event = self.leave  # closed, or bytes that nobody asked for
        conn.watch()

    def send(self, data: bytes) -> None:
        self.conn.send(data, STALL)

    def whole(self, status: int, headers: Pairs | None = None, body: bytes = b"") -> None:
        self.conn.on_idle_event = None
        self.send(encode_response(status, headers, body))

    def begin(self, headers: Pairs) -> None:
        self.send(encode_response(200, headers, None))

    def piece(self, data: bytes) -> None:
        self.send(encode_chunk(data))

    def end(self) -> None:
        self.conn.on_idle_event = None
        self.send(LAST_CHUNK)

    def cut(self) -> None:
        reset(self.conn)


class Http2Exchange(Exchange):
    """One stream (HTTP/2)."""

    def __init__(self, loop: EventLoop, head: Head, link: Http2Connection, number: int):
        super().__init__(loop, head, b"")
        self.link, self.number, self.room = link, number, Signal(loop)

    def leave(self) -> None:
        super().leave()
        self.room.set()

    def do(self, name: str, *args: Any, **more: Any) -> None:
        if self.gone:
            raise ConnectionClosedError("the stream is over")
        try:
            getattr(self.link.h2, name)(self.number, *args, **more)
        except h2.exceptions.ProtocolError as err:
            raise ConnectionClosedError(str(err)) from None
        self.link.flush()

    def whole(self, status: int, headers: Pairs | None = None, body: bytes = b"") -> None:
        fields = [
            (":status", str(status)),
            *lower(headers or []),
            ("content-length", str(len(body))),
        ]
        self.do("send_headers", fields, end_stream=not body)
        if body:
            self.write(body, True)

    def begin(self, headers: Pairs) -> None:
        self.do("send_headers", [(":status", "200"), *lower(headers)])

    def piece(self, data: bytes) -> None:
        self.write(data, False)

    def end(self) -> None:
        self.write(b"", True)

    def write(self, data: bytes, last: bool) -> None:
        """Waits for the stream's window where it has to."""
        while data or last:
            size = min(
                len(data),
                self.link.h2.local_flow_control_window(self.number),
                self.link.h2.max_outbound_frame_size,
            )
            if data and size <= 0:
                if not self.room.wait(STALL) or self.gone:
                    raise ConnectionClosedError("the client takes nothing")
                continue
            end = last and size == len(data)
            self.do("send_data", data[:size], end_stream=end)
            data, last = data[size:], last and not end

    def cut(self) -> None:
        if not self.gone:
            self.do("reset_stream", h2.errors.ErrorCodes.INTERNAL_ERROR)


def lower(headers: Pairs) -> Pairs:
    return [(name.lower(), value) for name, value in headers]


class Http2Connection:
    """One HTTP/2 connection and its streams."""

    def __init__(self, server: Server, conn: Connection):
        self.server, self.conn, self.loop = server, conn, server.loop
        self.streams: dict[int, Http2Exchange] = {}
        self.out, self.writing = bytearray(), False
        self.h2 = h2.connection.H2Connection(
            h2.config.H2Configuration(client_side=False, header_encoding="latin-1")
        )
        codes = h2.settings.SettingCodes
        self.h2.local_settings = h2.settings.Settings(
            client=False,
            initial_values={
                codes.MAX_CONCURRENT_STREAMS: server.streams,
                codes.MAX_HEADER_LIST_SIZE: 16_384,
            },
        )

    def run(self, data: bytes, idle: int) -> None:
        self.h2.initiate_connection()
        self.h2.increment_flow_control_window(1 << 24)
        try:
            while data:
                try:
                    events = self.h2.receive_data(data)
                except h2.exceptions.ProtocolError:
                    self.flush()
                    return
                for event in events:
                    self.take(event)
                self.flush()
                data = self.receive(idle)
        except TimeoutExpired:
            self.h2.close_connection()
            self.flush()
        finally:
            for stream in list(self.streams.values()):
                stream.leave()

    def receive(self, idle: int) -> bytes:
        while True:
            try:
                return self.conn.recv(0 if self.streams else idle)
            except ReadInterrupted:  # its last stream has ended
                continue

    def take(self, event: h2.events.Event) -> None:
        match event:
            case h2.events.RequestReceived():
                fields = dict(event.headers)
                head = Head(fields.pop(":method", ""), fields.pop(":path", ""), headers=fields)
                self.streams[event.stream_id] = Http2Exchange(
                    self.loop, head, self, event.stream_id
                )
            case h2.events.DataReceived():
                self.h2.acknowledge_received_data(event.flow_controlled_length, event.stream_id)
                if stream := self.streams.get(event.stream_id):
                    stream.body += event.data
                    if len(stream.body) > LARGEST:
                        stream.cut()
            case h2.events.StreamEnded():
                if stream := self.streams.get(event.stream_id):
                    self.loop.spawn(self.one, stream)
            case h2.events.StreamReset():
                if stream := self.streams.get(event.stream_id):
                    stream.leave()
                    self.streams.pop(event.stream_id)
            case h2.events.WindowUpdated() | h2.events.RemoteSettingsChanged():
                for stream in self.streams.values():
                    stream.room.set()

    def one(self, stream: Http2Exchange) -> None:
        try:
            self.server.one(stream)
        finally:
            self.streams.pop(stream.number, None)
            if not self.streams and not self.conn.closed:
                self.conn.interrupt()  # from now on it may be idle

    def flush(self) -> None:
        self.out += self.h2.data_to_send()
        if self.writing or self.conn.closed:
            return
        try:
            while self.out:
                if not (count := self.conn.send_some(bytes(self.out[:65_536]))):
                    self.writing = True
                    self.loop.spawn(self.write)
                    return
                del self.out[:count]
        except ConnectionClosedError:
            self.conn.close()

    def write(self) -> None:
        self.conn.wait(False, STALL)
        self.writing = False
        self.flush()


class Server:
    """A listening address. Subclasses own what is asked there: `one()`."""

    def __init__(
        self, loop: EventLoop, listen: tuple[str, int], most: int, idle: int, streams: int = 0
    ):
        """`most` connections; `idle`: nanoseconds without a request, until one closes; `streams`:
        that HTTP/2 may open on one connection, 0: it is not spoken.
        """
        self.loop, self.most, self.idle, self.streams = loop, most, idle, streams
        self.conns: set[Connection] = set()
        self.address, self.listener = listen, None
        self.open()

    def open(self) -> None:
        if not self.listener:
            self.listener = Listener(self.loop, self.address, self.accepted, lambda: True)
            self.address = self.listener.address()

    def close(self) -> None:
        """As a process that dies: what is open is reset."""
        if self.listener:
            self.listener.close()
            self.listener = None
        for conn in list(self.conns):
            reset(conn)

    def accepted(self, conn: Connection) -> None:
        self.conns.add(conn)
        self.loop.spawn(self.serve, conn, len(self.conns) > self.most)

    def serve(self, conn: Connection, over: bool) -> None:
        try:
            data = conn.recv(self.idle)
            if self.streams and not over and data.startswith(PREFACE):
                self.speak2(conn, data)
            elif data:
                self.speak1(conn, data, over)
        except MalformedMessageError as err:
            conn.send(encode_response(err.status, [], str(err).encode(), close=True), SECOND)
        except ReadInterrupted:
            return
        finally:
            self.conns.discard(conn)
            conn.close()

    def speak2(self, conn: Connection, data: bytes) -> None:
        Http2Connection(self, conn).run(data, self.idle)

    def speak1(self, conn: Connection, data: bytes, over: bool) -> None:
        messages = MessageParser(max_body=LARGEST)
        parts = messages.feed(data)
        while True:
            head, body = None, b""
            while True:
                for part in parts:
                    head = part if isinstance(part, Head) else head
                    body += part.data if isinstance(part, Body) else b""
                if messages.state == "end":
                    break
                if not (data := conn.recv(self.idle)):
                    return None
                parts = messages.feed(data)
            if over:
                return conn.send(
                    encode_response(503, [("X-Not-Processed", "1")], b"", close=True), SECOND
                )
            self.one(Http1Exchange(self.loop, head, body, conn))
            if not head.keeps_alive() or conn.closed:
                return None
            parts = messages.next()

    def one(self, ask: Exchange) -> None:
        raise NotImplementedError
