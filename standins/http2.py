"""An engine that speaks HTTP/2 without TLS, on the library h2's server side, and misbehaves on
command.

Its plans are those of `servers.py`: a `Stream` has the methods of a `Wire`. What the library would
not send (a GOAWAY that rises, frames on streams that were never opened, floods) is written as raw
frames.
"""

import contextlib
import socket
import threading

import h2.config
import h2.connection
import h2.errors
import h2.events
import h2.exceptions
import h2.settings
from hyperframe.frame import GoAwayFrame

from standins.servers import Engine, Message, Speaker

LIMIT = h2.settings.SettingCodes.MAX_CONCURRENT_STREAMS


class Gone(ConnectionError):
    """The stream or its connection is over."""


class Stream(Speaker):
    """One request as a plan sees it."""

    def __init__(self, wire, number):
        self.wire, self.number, self.over = wire, number, threading.Event()
        self.headers, self.body = {}, b""

    def head(self, status, headers=(), end=False):
        fields = [(":status", str(status)), *((n.lower(), v) for n, v in headers)]
        self.wire.do(lambda c: c.send_headers(self.number, fields, end_stream=end))

    def data(self, data, end=False):
        """Waits for the window where it has to."""
        while data or end:
            with self.wire.lock:
                if self.over.is_set():
                    raise Gone
                size = min(len(data), self.wire.h2.local_flow_control_window(self.number), 16_384)
                if size or not data:
                    piece, last = data[:size], end and size == len(data)
                    self.wire.do(
                        lambda c, p=piece, last=last: c.send_data(self.number, p, end_stream=last)
                    )
                    data, end = data[size:], end and not last
                    continue
                self.wire.room.wait(0.2)

    def reply(self, status, *headers, body=b""):
        pairs = [tuple(h.split(": ", 1)) for h in headers]
        self.head(status, [*pairs, ("content-length", str(len(body)))], end=not body)
        if body:
            self.data(body, end=True)

    def begin(self):
        self.head(200, [("content-type", "text/event-stream")])

    def event(self, data):
        self.data(data)

    def end(self, trailers=()):
        if trailers:
            self.wire.do(lambda c: c.send_headers(self.number, list(trailers), end_stream=True))
        else:
            self.data(b"", end=True)

    def reset(self, code=h2.errors.ErrorCodes.INTERNAL_ERROR):
        self.wire.do(lambda c: c.reset_stream(self.number, code))
        raise Gone

    def refuse(self):
        self.reset(h2.errors.ErrorCodes.REFUSED_STREAM)

    def gone(self):
        """Waits until the gateway has ended this stream."""
        self.over.wait(20)


class H2Wire:
    """One connection."""

    def __init__(self, engine, wire):
        self.engine, self.wire, self.sock = engine, wire, wire.sock
        self.lock = threading.RLock()
        self.room = threading.Condition(self.lock)
        self.streams, self.settled = {}, threading.Event()
        self.acknowledged, self.later = False, []  # the first settings; limits wanted before that
        self.h2 = h2.connection.H2Connection(
            h2.config.H2Configuration(
                client_side=False, header_encoding="latin-1", validate_outbound_headers=False
            )
        )
        codes = h2.settings.SettingCodes
        self.h2.local_settings = h2.settings.Settings(
            client=False,
            initial_values={
                LIMIT: engine.limit,
                codes.INITIAL_WINDOW_SIZE: engine.window,
                codes.MAX_HEADER_LIST_SIZE: 65_536,
            },
        )
        self.shut, self.begun = 2**31 - 1, 0  # the last id that is served, and the last that was
        self.deaf = False  # reads nothing more
        self.mute = False  # writes nothing of its own accord: no acknowledgements, no windows

    def do(self, call):
        with self.lock:
            try:
                call(self.h2)
            except h2.exceptions.ProtocolError as err:
                raise Gone(str(err)) from None
            self.flush()

    def flush(self):
        with self.lock:
            if data := self.h2.data_to_send():
                self.sock.sendall(data)

    def raw(self, data):
        with self.lock:
            self.sock.sendall(data)

    def allow(self, limit):
        """Not before the first settings are acknowledged: the library takes that for the word on
        this limit, too, and finds fault with a stream that was opened before the limit was
        known.
        """
        with self.lock:
            if not self.acknowledged:
                self.later.append(limit)
                return
        self.do(lambda c: c.update_settings({LIMIT: limit}))

    def goaway(self, last, code=0):
        frame = GoAwayFrame(0, last_stream_id=last, error_code=code)
        self.raw(frame.serialize())

    def retire(self, rng):
        """A GOAWAY in two steps, as of a server that restarts in good order: what it has begun ends
        well, and what lies over the last id that it then names is never run.
        """
        self.goaway(2**31 - 1)

        def second():
            with contextlib.suppress(OSError), self.lock:
                self.shut = rng.randint(self.begun, max([self.begun, *self.streams]))
                self.goaway(self.shut)

        threading.Timer(0.03, second).start()

    def cut(self):
        """Both ways, as a process that died."""
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)

    def talk(self):
        with self.lock:
            self.h2.initiate_connection()
            if self.engine.window_whole:
                self.h2.increment_flow_control_window(self.engine.window_whole)
            self.flush()
        try:
            while data := self.sock.recv(65_536):
                if self.deaf:
                    continue
                with self.lock:
                    try:
                        events = self.h2.receive_data(data)
                    except h2.exceptions.ProtocolError as err:
                        self.engine.faults.append(f"{type(err).__name__} {err}")
                        self.flush()
                        return
                    for event in events:
                        self.take(event)
                    self.room.notify_all()
                    if not self.mute:
                        self.flush()
        finally:
            for stream in list(self.streams.values()):
                stream.over.set()
            with self.lock:
                self.room.notify_all()

    def take(self, event):
        match event:
            case h2.events.RequestReceived():
                stream = self.streams[event.stream_id] = Stream(self, event.stream_id)
                stream.headers = dict(event.headers)
                self.engine.heads.append(event.stream_id)
                self.engine.most = max(self.engine.most, len(self.open()))
                if self.engine.at_head:
                    self.engine.at_head(self.engine, stream)
            case h2.events.DataReceived():
                if stream := self.streams.get(event.stream_id):
                    stream.body += event.data
                if not self.mute:
                    self.h2.acknowledge_received_data(event.flow_controlled_length, event.stream_id)
            case h2.events.StreamEnded():
                stream = self.streams[event.stream_id]
                if stream.number > self.shut:
                    return
                self.begun = max(self.begun, stream.number)
                threading.Thread(target=self.serve, args=(stream,), daemon=True).start()
            case h2.events.StreamReset():
                self.engine.resets.append(event.stream_id)
                if stream := self.streams.get(event.stream_id):
                    stream.over.set()
            case h2.events.RemoteSettingsChanged():
                self.settled.set()
            case h2.events.SettingsAcknowledged() if not self.acknowledged:
                self.acknowledged = True
                for limit in self.later:
                    self.h2.update_settings({LIMIT: limit})
            case h2.events.PingReceived():
                self.engine.pings += 1
            case h2.events.ConnectionTerminated():
                self.engine.farewells += 1

    def open(self):
        return [s for s in self.streams.values() if not s.over.is_set()]

    def serve(self, stream):
        headers = {("host" if n == ":authority" else n): v for n, v in stream.headers.items()}
        start = f"{headers.pop(':method')} {headers.pop(':path')} HTTP/2"
        with contextlib.suppress(OSError, ValueError, KeyError):
            self.engine.take(
                Message(start, headers, stream.body, self.sock.getpeername()[1]), stream
            )
        stream.over.set()
        with self.lock:
            self.room.notify_all()


class H2Engine(Engine):
    """`at_head`: called in the reading thread as soon as a head is here, before its body."""

    protocol = "h2c"

    def __init__(self, kind, uid="", plan=None, limit=100, window=65_535, at_head=None, **more):
        super().__init__(kind, uid, plan, **more)
        self.limit, self.window, self.window_whole, self.at_head = limit, window, 1 << 20, at_head
        self.heads, self.resets, self.faults, self.links = [], [], [], []
        self.most = self.pings = self.farewells = 0

    def talk(self, wire):
        link = H2Wire(self, wire)
        self.links.append(link)
        link.talk()

    def live(self):
        return [link for link in self.links if not link.wire.ended]


class EitherEngine(H2Engine):
    """Speaks HTTP/2 to who begins so, HTTP/1.1 to all others."""

    def talk(self, wire):
        if wire.sock.recv(3, socket.MSG_PEEK) == b"PRI":
            return super().talk(wire)
        return Engine.talk(self, wire)
