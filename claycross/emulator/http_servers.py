"""Servers for HTTP/1.1 and, told apart by its first bytes, HTTP/2 without TLS.

This module accepts connections, reads requests and sends answers. Subclasses of Server decide
what an answer holds, and write it to an Exchange without regard to the version of HTTP. Each
stream of an HTTP/2 connection is handled by a task of its own, so that none delays another.
"""

from __future__ import annotations

import socket
import struct
from collections import deque
from typing import Any, cast

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
    MessageState,
    Part,
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

HTTP2_PREFACE = b"PRI * HTTP/2.0"
SEND_TIMEOUT_NS = 20 * SECOND  # after which a client that reads nothing counts as gone
ERROR_SEND_TIMEOUT_NS = SECOND  # for answers after which the connection is closed
MAX_BODY_BYTES = 1 << 20
MAX_HEADER_LIST_BYTES = 16_384
EXTRA_CONNECTION_WINDOW_BYTES = 1 << 24
SEND_BATCH_BYTES = 65_536
# SO_LINGER with a timeout of 0: closing the socket sends RST.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)

Headers = list[tuple[str, str]]


def reset(conn: Connection) -> None:
    """Close the connection with a TCP reset."""
    if not conn.closed:
        conn.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        conn.close()


class Exchange:
    """One request, its answer, and the events that the task that answers it waits for."""

    def __init__(self, loop: EventLoop, head: Head, body: bytes):
        self.head = head
        self.body = body
        self.client_gone = False
        self.events: deque[Any] = deque()
        self.wakeup = Signal(loop)

    def on_client_gone(self) -> None:
        """Record that the client has gone, and wake the task that answers it."""
        self.client_gone = True
        self.wakeup.set()

    def notify(self, event: object) -> None:
        """Queue an event for the task that answers the request."""
        self.events.append(event)
        self.wakeup.set()

    def next_event(self, timeout: int = 0) -> Any:
        """Return the next queued event, or None once the client has gone or the time is over.

        Args:
            timeout: The longest wait in nanoseconds; 0 means no limit.
        """
        while not self.events and not self.client_gone:
            if not self.wakeup.wait(timeout):
                return None
        return self.events.popleft() if self.events and not self.client_gone else None

    def respond(self, status: int, headers: Headers | None = None, body: bytes = b"") -> None:
        """Send a complete answer."""
        raise NotImplementedError

    def begin_stream(self, headers: Headers) -> None:
        """Send the head of an answer of status 200 whose body follows in chunks."""
        raise NotImplementedError

    def send_chunk(self, data: bytes) -> None:
        """Send a chunk of the body."""
        raise NotImplementedError

    def end_stream(self) -> None:
        """End the body."""
        raise NotImplementedError

    def abort(self) -> None:
        """Reset the connection or stream, as if the server's process had died."""
        raise NotImplementedError


class Http1Exchange(Exchange):
    """An exchange over HTTP/1.1, which has its connection to itself."""

    def __init__(self, loop: EventLoop, head: Head, body: bytes, conn: Connection):
        super().__init__(loop, head, body)
        self.conn = conn
        # Until the answer is complete, a closed connection as well as unexpected bytes end it.
        conn.on_idle_event = self.on_client_gone
        conn.watch()

    def send(self, data: bytes) -> None:
        """Send all of the data."""
        self.conn.send(data, SEND_TIMEOUT_NS)

    def respond(self, status: int, headers: Headers | None = None, body: bytes = b"") -> None:
        """Send a complete answer."""
        self.conn.on_idle_event = None
        self.send(encode_response(status, headers, body))

    def begin_stream(self, headers: Headers) -> None:
        """Send the head of an answer whose body follows in chunks."""
        self.send(encode_response(200, headers, None))

    def send_chunk(self, data: bytes) -> None:
        """Send a chunk of the body."""
        self.send(encode_chunk(data))

    def end_stream(self) -> None:
        """Send the last chunk."""
        self.conn.on_idle_event = None
        self.send(LAST_CHUNK)

    def abort(self) -> None:
        """Reset the connection."""
        reset(self.conn)


class Http2Exchange(Exchange):
    """An exchange over one stream of an HTTP/2 connection."""

    def __init__(self, loop: EventLoop, head: Head, link: Http2Connection, stream_id: int):
        super().__init__(loop, head, b"")
        self.link = link
        self.stream_id = stream_id
        self.window_changed = Signal(loop)

    def on_client_gone(self) -> None:
        """Record that the client has gone, and wake the task, also if it waits to send."""
        super().on_client_gone()
        self.window_changed.set()

    def call_h2(self, method: str, *args: Any, **kwargs: Any) -> None:
        """Call a method of the HTTP/2 state machine for this stream, and send what it produces.

        Raises:
            ConnectionClosedError: If the stream is over.
        """
        if self.client_gone:
            raise ConnectionClosedError("the stream is over")
        try:
            getattr(self.link.state_machine, method)(self.stream_id, *args, **kwargs)
        except h2.exceptions.ProtocolError as err:
            raise ConnectionClosedError(str(err)) from None
        self.link.flush()

    def respond(self, status: int, headers: Headers | None = None, body: bytes = b"") -> None:
        """Send a complete answer."""
        fields = [
            (":status", str(status)),
            *lower_names(headers or []),
            ("content-length", str(len(body))),
        ]
        self.call_h2("send_headers", fields, end_stream=not body)
        if body:
            self.write(body, True)

    def begin_stream(self, headers: Headers) -> None:
        """Send the head of an answer whose body follows in chunks."""
        self.call_h2("send_headers", [(":status", "200"), *lower_names(headers)])

    def send_chunk(self, data: bytes) -> None:
        """Send a chunk of the body."""
        self.write(data, False)

    def end_stream(self) -> None:
        """End the stream with an empty DATA frame."""
        self.write(b"", True)

    def write(self, data: bytes, last: bool) -> None:
        """Send DATA frames, as fast as flow control allows.

        Raises:
            ConnectionClosedError: If the client takes nothing for SEND_TIMEOUT_NS, or has gone.
        """
        while data or last:
            size = min(
                len(data),
                self.link.state_machine.local_flow_control_window(self.stream_id),
                self.link.state_machine.max_outbound_frame_size,
            )
            if data and size <= 0:
                if not self.window_changed.wait(SEND_TIMEOUT_NS) or self.client_gone:
                    raise ConnectionClosedError("the client takes nothing")
                continue
            end = last and size == len(data)
            self.call_h2("send_data", data[:size], end_stream=end)
            data = data[size:]
            last = last and not end

    def abort(self) -> None:
        """Reset the stream."""
        if not self.client_gone:
            self.call_h2("reset_stream", h2.errors.ErrorCodes.INTERNAL_ERROR)


def lower_names(headers: Headers) -> Headers:
    """Return the headers with names in lower case, as HTTP/2 requires."""
    return [(name.lower(), value) for name, value in headers]


class Http2Connection:
    """One HTTP/2 connection and its streams."""

    def __init__(self, server: Server, conn: Connection):
        self.server = server
        self.conn = conn
        self.loop = server.loop
        self.streams: dict[int, Http2Exchange] = {}
        self.send_buffer = bytearray()
        self.writer_running = False
        self.state_machine: h2.connection.H2Connection = h2.connection.H2Connection(
            h2.config.H2Configuration(client_side=False, header_encoding="latin-1")
        )
        codes = h2.settings.SettingCodes
        self.state_machine.local_settings = h2.settings.Settings(
            client=False,
            initial_values={
                codes.MAX_CONCURRENT_STREAMS: server.max_streams,
                codes.MAX_HEADER_LIST_SIZE: MAX_HEADER_LIST_BYTES,
            },
        )

    def run(self, data: bytes) -> None:
        """Serve the connection until it ends; `data` are its first bytes."""
        self.state_machine.initiate_connection()
        self.state_machine.increment_flow_control_window(EXTRA_CONNECTION_WINDOW_BYTES)
        try:
            while data:
                try:
                    events = self.state_machine.receive_data(data)
                except h2.exceptions.ProtocolError:
                    self.flush()
                    return
                for event in events:
                    self.handle_event(event)
                self.flush()
                data = self.receive()
        except TimeoutExpired:
            self.state_machine.close_connection()
            self.flush()
        finally:
            for stream in list(self.streams.values()):
                stream.on_client_gone()

    def receive(self) -> bytes:
        """Return some bytes; the idle timeout applies only while no stream is open."""
        while True:
            try:
                return self.conn.recv(0 if self.streams else self.server.idle_timeout)
            except ReadInterrupted:  # the last stream has ended: the idle timeout begins
                continue

    def handle_event(self, event: h2.events.Event) -> None:
        """Apply one event of the HTTP/2 state machine."""
        match event:
            case h2.events.RequestReceived():
                self.open_stream(event)
            case h2.events.DataReceived():
                self.receive_body(event)
            case h2.events.StreamEnded():
                if stream := self.streams.get(event.stream_id):
                    self.loop.spawn(self.answer, stream)
            case h2.events.StreamReset():
                if stream := self.streams.pop(event.stream_id, None):
                    stream.on_client_gone()
            case h2.events.WindowUpdated() | h2.events.RemoteSettingsChanged():
                for stream in self.streams.values():
                    stream.window_changed.set()

    def open_stream(self, event: h2.events.RequestReceived) -> None:
        """Begin an exchange with the request's headers."""
        headers = cast(dict[str, str], dict(event.headers))  # by header_encoding
        method = headers.pop(":method", "")
        path = headers.pop(":path", "")
        head = Head(method, path, parsed=headers)
        self.streams[event.stream_id] = Http2Exchange(self.loop, head, self, event.stream_id)

    def receive_body(self, event: h2.events.DataReceived) -> None:
        """Add data to the request's body; a body that is too large resets the stream."""
        self.state_machine.acknowledge_received_data(event.flow_controlled_length, event.stream_id)
        if stream := self.streams.get(event.stream_id):
            stream.body += event.data
            if len(stream.body) > MAX_BODY_BYTES:
                stream.abort()

    def answer(self, stream: Http2Exchange) -> None:
        """Answer the request of one stream; runs as a task of its own."""
        try:
            self.server.handle(stream)
        finally:
            self.streams.pop(stream.stream_id, None)
            if not self.streams and not self.conn.closed:
                self.conn.interrupt()  # so that the idle timeout applies from now on

    def flush(self) -> None:
        """Send what the state machine has produced; a task sends what the socket does not take."""
        self.send_buffer += self.state_machine.data_to_send()
        if self.writer_running or self.conn.closed:
            return
        try:
            while self.send_buffer:
                count = self.conn.send_some(bytes(self.send_buffer[:SEND_BATCH_BYTES]))
                if not count:
                    self.writer_running = True
                    self.loop.spawn(self.flush_when_writable)
                    return
                del self.send_buffer[:count]
        except ConnectionClosedError:
            self.conn.close()

    def flush_when_writable(self) -> None:
        """Wait until the socket is writable, and flush; runs as a task of its own."""
        self.conn.wait(False, SEND_TIMEOUT_NS)
        self.writer_running = False
        self.flush()


class Server:
    """A listening address; subclasses answer its requests in `handle()`.

    Args:
        loop: The event loop that serves it.
        listen: Host and port; port 0 lets the system choose one, which is kept when the server is
            closed and opened again.
        max_connections: Connections beyond these have their first request refused with status 503.
        idle_timeout: Nanoseconds without a request after which a connection is closed.
        max_streams: Concurrent streams of an HTTP/2 connection; 0: the server accepts no HTTP/2.
    """

    def __init__(
        self,
        loop: EventLoop,
        listen: tuple[str, int],
        max_connections: int,
        idle_timeout: int,
        max_streams: int = 0,
    ):
        self.loop = loop
        self.address = listen
        self.max_connections = max_connections
        self.idle_timeout = idle_timeout
        self.max_streams = max_streams
        self.connections: set[Connection] = set()
        self.listener: Listener | None = None
        self.open()

    def open(self) -> None:
        """Listen, unless the server already does."""
        if not self.listener:
            self.listener = Listener(self.loop, self.address, self.accept, lambda: True)
            self.address = self.listener.address()

    def close(self) -> None:
        """Stop listening and reset all connections, as if the server's process had died."""
        if self.listener:
            self.listener.close()
            self.listener = None
        for conn in list(self.connections):
            reset(conn)

    def accept(self, conn: Connection) -> None:
        """Serve a new connection in a task of its own."""
        self.connections.add(conn)
        over_limit = len(self.connections) > self.max_connections
        self.loop.spawn(self.serve, conn, over_limit)

    def serve(self, conn: Connection, over_limit: bool) -> None:
        """Serve one connection until it ends."""
        try:
            data = conn.recv(self.idle_timeout)
            if self.max_streams and not over_limit and data.startswith(HTTP2_PREFACE):
                Http2Connection(self, conn).run(data)
            elif data:
                self.serve_http1(conn, data, over_limit)
        except MalformedMessageError as err:
            answer = encode_response(err.status, [], str(err).encode(), close=True)
            conn.send(answer, ERROR_SEND_TIMEOUT_NS)
        except ReadInterrupted:
            return
        finally:
            self.connections.discard(conn)
            conn.close()

    def serve_http1(self, conn: Connection, data: bytes, over_limit: bool) -> None:
        """Answer the requests of an HTTP/1.1 connection; `data` are its first bytes."""
        parser = MessageParser(max_body=MAX_BODY_BYTES)
        parts = parser.feed(data)
        while request := self.receive_request(conn, parser, parts):
            head, body = request
            if over_limit:
                answer = encode_response(503, [("X-Not-Processed", "1")], b"", close=True)
                conn.send(answer, ERROR_SEND_TIMEOUT_NS)
                return
            self.handle(Http1Exchange(self.loop, head, body, conn))
            if not head.keeps_alive() or conn.closed:
                return
            parts = parser.next()

    def receive_request(
        self, conn: Connection, parser: MessageParser, parts: list[Part]
    ) -> tuple[Head, bytes] | None:
        """Return the head and body of the next request, or None if the connection ends before.

        Args:
            conn: The connection.
            parser: The connection's parser.
            parts: What the parser has already returned of the request.
        """
        head = Head()
        body = b""
        while True:
            for part in parts:
                if isinstance(part, Head):
                    head = part
                elif isinstance(part, Body):
                    body += part.data
            if parser.state is MessageState.END:
                return head, body
            if not (data := conn.recv(self.idle_timeout)):
                return None
            parts = parser.feed(data)

    def handle(self, exchange: Exchange) -> None:
        """Answer one request."""
        raise NotImplementedError
