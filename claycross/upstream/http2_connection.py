"""One HTTP/2 connection to an engine: its socket, its session and its streams."""

from __future__ import annotations

from ..net import http2 as wire
from ..net.http1 import MalformedMessageError
from ..net.loop import Connection, ConnectionClosedError
from .http2_stream import PeerContext, Stream
from .stream_records import ConnectionRecord, Phase

# Bytes that wait for a socket: an engine that makes us respond again and again, and reads nothing,
# is cut off.
MAX_UNSENT = 524_288
MAX_PENDING = 65_536  # bytes that wait for a socket, from which on bodies wait too
UNLOGGED_REASONS = {"no longer used", "left the list"}  # ordinary ends of connections


class Http2Connection:
    """A connection with a task that reads, and another that writes while the socket is full.

    The account decides where a stream goes; this carries it out.
    """

    def __init__(self, peer: PeerContext, record: ConnectionRecord):
        self.peer = peer
        self.record = record
        self.loop = peer.client.loop
        self.session = wire.Session(peer.client.window)
        self.streams: dict[int, Stream] = {}  # by id
        self.bodies: dict[int, Stream] = {}  # those with a part of their body left, in turn
        self.socket: Connection | None = None
        self.closed = False
        self.writing = False

    # ------------------------------------------------------------ from dialling to the end

    def run(self) -> None:
        """Dial, and read until the end."""
        client = self.peer.client
        try:
            socket = client.opened(self.peer.endpoint)
        except ConnectionClosedError:
            self.closed = True
            self.peer.account.unopened(self.record, "refused", self.loop.now())
            self.peer.work()
            return
        if self.closed:  # nobody wants it any more
            client.pool.drop(socket)
            return
        self.socket = socket
        why = "broken"
        how = "closed"
        try:
            self.flush()
            self.read(socket)
        except MalformedMessageError as error:
            how = "junk" if isinstance(error, wire.Http1ResponseError) else "closed"
            why = f"junk: {error}"
            self.send_last()
        except ConnectionClosedError:
            pass
        self.end(why, how)

    def read(self, socket: Connection) -> None:
        """Read and handle what arrives, until the server ends its sending."""
        while True:
            data = socket.recv()
            if not data:
                return
            events = self.session.feed(data)
            self.peer.account.heard(
                self.record, self.loop.now(), self.session.take_control_frame_count()
            )
            for event in events:
                self.handle(event)
            self.push()
            self.flush()
            if len(self.session.send_buffer) > MAX_UNSENT:
                raise MalformedMessageError(502, "it reads nothing of what it asks for")
            self.peer.work()

    def end(self, why: str, how: str) -> None:
        """Report to the account that the connection is closed."""
        if not self.closed:
            self.closed = True
            now = self.loop.now()
            account = self.peer.account
            if self.record.phase is Phase.OPENING:
                account.unopened(self.record, how, now)
            else:
                if self.streams or why != "broken":
                    self.log_closed(why)
                account.broken(self.record, now, why)
        if self.socket:
            self.peer.client.pool.drop(self.socket)
            self.socket = None
        self.peer.work()

    def close(self, why: str, error: bool) -> None:
        """Close the connection on the account's order."""
        if self.closed:
            return
        self.closed = True
        if why not in UNLOGGED_REASONS:
            self.log_closed(why)
        if self.socket is None:
            return  # it is being dialled: run() ends it
        if not error:
            self.session.send_goaway()
        self.send_last()
        self.socket.close()  # this wakes run(), which gives it back to the pool

    def log_closed(self, why: str) -> None:
        """Log why the connection was closed."""
        self.log(f"http2-closed engine={self.peer.endpoint} streams={len(self.streams)} {why}")

    def log(self, line: str) -> None:
        """Write a line of the log."""
        self.peer.client.log(line)

    def send_last(self) -> None:
        """Send what the session has to say before the end, if the socket takes it."""
        try:
            if self.socket and not self.writing:
                self.socket.send_some(self.session.pending())
        except ConnectionClosedError:
            pass

    # ------------------------------------------------------------ what arrives

    def handle(self, event: wire.Event) -> None:
        """Report an event to the account, and a part of a response to its stream."""
        account = self.peer.account
        now = self.loop.now()
        match event:
            case wire.SettingsReceived(limit):
                account.ready(self.record, limit, now)
                self.log(f"http2-ready engine={self.peer.endpoint} streams={self.record.limit}")
            case wire.StreamLimitChanged(limit):
                account.limited(self.record, limit)
                self.log(
                    f"http2-limit engine={self.peer.endpoint} streams={self.record.limit} "
                    f"open={self.record.open}"
                )
            case wire.GoAway(last_id, code, text):
                self.log(
                    f"http2-goaway engine={self.peer.endpoint} last={last_id} code={code} "
                    f"streams={len(self.streams)} {text}".rstrip()
                )
                account.goaway(self.record, last_id, code, now)
            case wire.Reset(number, code):
                account.reset(self.record, number, code == wire.REFUSED_STREAM, now)
            case wire.WindowUpdated():
                pass  # push() follows
            case _:
                self.handle_part(event, now)

    def handle_part(
        self, event: wire.ResponseHead | wire.Data | wire.Trailers | wire.Ended, now: int
    ) -> None:
        """Hand a part of a response to its stream; one that nobody waits for is discarded."""
        stream = self.streams.get(event.stream)
        if stream:
            self.peer.account.answering(self.record, event.stream)
            if isinstance(event, wire.Ended):
                self.peer.account.answered(stream.ticket, now)
                self.drop(stream, complete=not stream.body)
            stream.add(event)
        elif isinstance(event, wire.Data):
            self.session.acknowledge_data(event.stream, event.flow_controlled_bytes)

    def drop(self, stream: Stream, complete: bool = False) -> None:
        """Remove a stream; reset it, unless it is complete."""
        self.streams.pop(stream.number, None)
        self.bodies.pop(stream.number, None)
        if not complete and not self.closed:
            self.session.reset(stream.number)
            self.flush()

    # ------------------------------------------------------------ what is written

    def begin(self, stream: Stream) -> None:
        """Write the headers, and as much of the body as the windows allow."""
        stream.connection = self
        request = stream.request
        authority = str(self.peer.endpoint)
        number = self.session.send_head(
            request.method, request.target, authority, request.headers(), stream.size
        )
        self.peer.account.begun(stream.ticket, number)
        self.streams[number] = stream
        if stream.size:
            self.bodies[number] = stream
        else:
            self.peer.account.committed(stream.ticket)
        self.push()
        self.flush()

    def push(self) -> None:
        """Write of the bodies what the server's windows allow, a piece of each in turn."""
        moved = True
        while moved and self.bodies and len(self.session.send_buffer) < MAX_PENDING:
            moved = False
            for stream in list(self.bodies.values()):
                moved = self.push_piece(stream) or moved

    def push_piece(self, stream: Stream) -> bool:
        """Write a piece of a body; return whether the windows allowed any."""
        number = stream.number
        size = min(self.session.send_window(number), wire.MAX_FRAME, len(stream.body))
        if not size:
            stream.stalled = stream.stalled or self.loop.now()
            self.peer.client.hurry()
            return False
        stream.stalled = 0
        is_last = size == len(stream.body)
        self.session.send_body(number, stream.body[:size], is_last)
        stream.body = stream.body[size:]
        if is_last:
            del self.bodies[number]
            self.peer.account.committed(stream.ticket)
        return True

    def flush(self) -> None:
        """Write what the session has to send, as far as the socket takes it."""
        if self.writing or self.closed or self.socket is None:
            return
        try:
            while True:
                data = self.session.pending()
                if not data:
                    return
                count = self.socket.send_some(data)
                if not count:
                    self.writing = True
                    self.peer.account.set_blocked(self.record, True)
                    self.loop.spawn(self.write, self.socket)
                    return
                for number in self.session.mark_sent(count):
                    self.peer.account.sent(self.record, number)
                if not self.session.send_buffer:
                    self.push()
        except ConnectionClosedError:
            self.socket.close()  # run() sees it

    def write(self, socket: Connection) -> None:
        """Wait until the socket takes bytes again, and go on writing.

        A server that never reads is detected by its silence (PING).
        """
        if socket.closed:  # meanwhile, before this task had its first turn
            return
        try:
            socket.wait(False)
        except ConnectionClosedError:
            return
        self.writing = False
        self.flush()
        if not self.writing:
            self.peer.account.set_blocked(self.record, False)
            self.peer.work()
