"""One HTTP/2 connection to an engine: its socket, its session and its streams."""

from __future__ import annotations

from ..net import http2 as wire
from ..net.http1 import MalformedMessageError
from ..net.loop import Connection, ConnectionClosedError
from .http2_stream import PeerContext, Stream
from .stream_records import ConnectFailure, ConnectionPhase, ConnectionRecord, EndReason

# Output that waits for the socket. Above this, the connection of an engine that requires responses
# (to PING or SETTINGS) without reading them is closed.
MAX_UNSENT_BYTES = 524_288
BODY_BUFFER_BYTES = 65_536  # output that waits for the socket, from which on no body is added


class Http2Connection:
    """A connection with a task that reads, and another that writes while the socket is full.

    The account decides which streams it carries, and when it is closed.
    """

    def __init__(self, peer: PeerContext, record: ConnectionRecord):
        self.peer = peer
        self.record = record
        self.loop = peer.client.loop
        self.session = wire.Session(peer.client.window)
        self.streams: dict[int, Stream] = {}  # by id
        self.sending: dict[int, Stream] = {}  # by id, those with an unsent part of their body
        self.socket: Connection | None = None
        self.closed = False
        self.write_blocked = False  # a task waits until the socket takes bytes again

    # ------------------------------------------------------------ from dialling to the end

    def run(self) -> None:
        """Dial, and read until the end."""
        client = self.peer.client
        try:
            socket = client.connect(self.peer.endpoint)
        except ConnectionClosedError:
            self.closed = True
            self.peer.account.connect_failed(self.record, ConnectFailure.REFUSED, self.loop.now())
            self.peer.run_actions()
            return
        if self.closed:  # by the account, while it was dialled
            client.pool.drop(socket)
            return
        self.socket = socket
        reason: str = EndReason.BROKEN
        failure = ConnectFailure.CLOSED
        try:
            self.flush()
            self.read(socket)
        except MalformedMessageError as error:
            if isinstance(error, wire.Http1ResponseError):
                failure = ConnectFailure.OTHER_PROTOCOL
            reason = f"junk: {error}"
            self.send_last()
        except ConnectionClosedError:
            pass
        self.end(reason, failure)

    def read(self, socket: Connection) -> None:
        """Read and handle bytes until the server closes its side."""
        while True:
            data = socket.recv()
            if not data:
                return
            events = self.session.feed(data)
            overhead_frames = self.session.take_control_frame_count()
            self.peer.account.bytes_received(self.record, self.loop.now(), overhead_frames)
            for event in events:
                self.handle(event)
            self.write_bodies()
            self.flush()
            if len(self.session.send_buffer) > MAX_UNSENT_BYTES:
                raise MalformedMessageError(
                    502, "the server does not read the responses it asks for"
                )
            self.peer.run_actions()

    def end(self, reason: str, failure: ConnectFailure) -> None:
        """Report to the account that the connection has ended.

        `failure` is reported if the server's SETTINGS have not arrived, `reason` otherwise.
        """
        if not self.closed:
            self.closed = True
            now = self.loop.now()
            account = self.peer.account
            if self.record.phase is ConnectionPhase.OPENING:
                account.connect_failed(self.record, failure, now)
            else:
                if self.streams or reason != EndReason.BROKEN:
                    self.log_closed(reason)
                account.connection_lost(self.record, now, reason)
        if self.socket:
            self.peer.client.pool.drop(self.socket)
            self.socket = None
        self.peer.run_actions()

    def close(self, reason: str, error: bool) -> None:
        """Close the connection at the account's request."""
        if self.closed:
            return
        self.closed = True
        if reason != EndReason.IDLE:
            self.log_closed(reason)
        if self.socket is None:
            return  # it is being dialled: run() ends it
        if not error:
            self.session.send_goaway()
        self.send_last()
        self.socket.close()  # this wakes run(), which gives it back to the pool

    def log_closed(self, reason: str) -> None:
        """Log why the connection was closed."""
        self.log(f"http2-closed engine={self.peer.endpoint} streams={len(self.streams)} {reason}")

    def log(self, line: str) -> None:
        """Write a line to the log."""
        self.peer.client.log(line)

    def send_last(self) -> None:
        """Send the session's output before the end, as far as the socket takes it at once."""
        try:
            if self.socket and not self.write_blocked:
                self.socket.send_some(self.session.pending())
        except ConnectionClosedError:
            pass

    # ------------------------------------------------------------ received events

    def handle(self, event: wire.Event) -> None:
        """Report an event to the account, or add a part of a response to its stream."""
        account = self.peer.account
        now = self.loop.now()
        match event:
            case wire.SettingsReceived(limit):
                account.settings_received(self.record, limit, now)
                allowed = self.record.stream_limit
                self.log(f"http2-ready engine={self.peer.endpoint} streams={allowed}")
            case wire.StreamLimitChanged(limit):
                account.limit_changed(self.record, limit)
                self.log(
                    f"http2-limit engine={self.peer.endpoint} streams={self.record.stream_limit} "
                    f"open={self.record.open_streams}"
                )
            case wire.GoAway(last_stream_id, code, text):
                self.log(
                    f"http2-goaway engine={self.peer.endpoint} last={last_stream_id} code={code} "
                    f"streams={len(self.streams)} {text}".rstrip()
                )
                account.goaway_received(self.record, last_stream_id, code, now)
            case wire.Reset(stream_id, code):
                account.stream_reset(self.record, stream_id, code == wire.REFUSED_STREAM, now)
            case wire.WindowUpdated():
                pass  # write_bodies() follows
            case _:
                self.handle_response_part(event, now)

    def handle_response_part(
        self, event: wire.ResponseHead | wire.Data | wire.Trailers | wire.Ended, now: int
    ) -> None:
        """Add a part of a response to its stream, or discard it if the stream was removed."""
        stream = self.streams.get(event.stream)
        if stream:
            self.peer.account.response_started(self.record, event.stream)
            if isinstance(event, wire.Ended):
                self.peer.account.response_completed(stream.record, now)
                self.remove_stream(stream, complete=not stream.unsent_body)
            stream.add_part(event)
        elif isinstance(event, wire.Data):
            self.session.acknowledge_data(event.stream, event.flow_controlled_bytes)

    def remove_stream(self, stream: Stream, complete: bool = False) -> None:
        """Remove a stream; reset it, unless it is complete."""
        self.streams.pop(stream.stream_id, None)
        self.sending.pop(stream.stream_id, None)
        if not complete and not self.closed:
            self.session.reset(stream.stream_id)
            self.flush()

    # ------------------------------------------------------------ writing

    def start_stream(self, stream: Stream) -> None:
        """Write the headers, and as much of the body as the windows allow."""
        stream.connection = self
        request = stream.request
        authority = str(self.peer.endpoint)
        stream_id = self.session.send_head(
            request.method, request.target, authority, request.headers(), stream.body_size
        )
        self.peer.account.headers_queued(stream.record, stream_id)
        self.streams[stream_id] = stream
        if stream.body_size:
            self.sending[stream_id] = stream
        else:
            self.peer.account.end_queued(stream.record)
        self.write_bodies()
        self.flush()

    def write_bodies(self) -> None:
        """Write as much of the bodies as the server's windows allow, a piece of each in turn."""
        progress = True
        while progress and self.sending and len(self.session.send_buffer) < BODY_BUFFER_BYTES:
            progress = False
            for stream in list(self.sending.values()):
                progress = self.write_body_piece(stream) or progress

    def write_body_piece(self, stream: Stream) -> bool:
        """Write a piece of a body; return whether the windows allowed any."""
        stream_id = stream.stream_id
        size = min(self.session.send_window(stream_id), wire.MAX_FRAME, len(stream.unsent_body))
        if not size:
            stream.stalled_since = stream.stalled_since or self.loop.now()
            self.peer.client.expedite_tick()
            return False
        stream.stalled_since = 0
        is_last = size == len(stream.unsent_body)
        self.session.send_body(stream_id, stream.unsent_body[:size], is_last)
        stream.unsent_body = stream.unsent_body[size:]
        if is_last:
            del self.sending[stream_id]
            self.peer.account.end_queued(stream.record)
        return True

    def flush(self) -> None:
        """Write the session's output, as far as the socket takes it."""
        if self.write_blocked or self.closed or self.socket is None:
            return
        try:
            while True:
                data = self.session.pending()
                if not data:
                    return
                count = self.socket.send_some(data)
                if not count:
                    self.write_blocked = True
                    self.peer.account.set_blocked(self.record, True)
                    self.loop.spawn(self.resume_writing, self.socket)
                    return
                for stream_id in self.session.mark_sent(count):
                    self.peer.account.end_sent(self.record, stream_id)
                if not self.session.send_buffer:
                    self.write_bodies()
        except ConnectionClosedError:
            self.socket.close()  # run() ends then

    def resume_writing(self, socket: Connection) -> None:
        """Wait until the socket takes bytes again, and go on writing.

        This wait has no timeout: a server that never reads is detected by PING.
        """
        if socket.closed:  # before this task ran for the first time
            return
        try:
            socket.wait(False)
        except ConnectionClosedError:
            return
        self.write_blocked = False
        self.flush()
        if not self.write_blocked:
            self.peer.account.set_blocked(self.record, False)
            self.peer.run_actions()
