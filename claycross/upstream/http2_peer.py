"""One engine that is reached over HTTP/2: its stream account and its connections."""

from __future__ import annotations

from typing import Protocol, cast

from ..net.address import Endpoint
from .http2_connection import Http2Connection
from .http2_stream import ClientContext, Stream
from .stream_accounting import StreamAccount
from .stream_records import (
    Action,
    CloseConnection,
    ConnectionLimits,
    ConnectionPhase,
    Dial,
    EndReason,
    SendPing,
    StartStream,
    StreamFailed,
    StreamOutcome,
    StreamRecord,
)


class PeerClient(ClientContext, Protocol):
    """The interface of the client to its peers."""

    limits: ConnectionLimits
    body_timeout: int
    dialled: int


def owner_of(record: StreamRecord) -> Stream:
    """Return the stream that a record belongs to."""
    return cast(Stream, record.owner)


class Peer:
    """Executes the actions of one engine's account."""

    def __init__(self, client: PeerClient, endpoint: Endpoint):
        self.client = client
        self.endpoint = endpoint
        self.account = StreamAccount(client.limits)
        self.connections: dict[int, Http2Connection] = {}  # by the account's numbers
        self.is_running_actions = False
        self.logged_unsupported_until = 0  # value of the account that was logged last

    def start(self, stream: Stream, is_call: bool, max_wait: int) -> None:
        """Start a stream as soon as a connection has a free stream for it."""
        now = self.client.loop.now()
        stream.record = self.account.request_stream(is_call, now, stream, max_wait)
        self.run_actions()

    def run_actions(self) -> None:
        """Execute the account's actions, one at a time, until there is none."""
        if self.is_running_actions:
            return  # the loop below executes the actions that have just been added
        self.is_running_actions = True
        try:
            while True:
                action = self.account.next_action(self.client.loop.now())
                if action is None:
                    break
                self.execute(action)
        finally:
            self.is_running_actions = False
        for number, connection in list(self.connections.items()):
            if connection.closed and not connection.socket:
                del self.connections[number]
        if self.is_urgent():
            self.client.expedite_tick()
        self.log_unsupported()

    def log_unsupported(self) -> None:
        """Log that the engine does not support HTTP/2, each time that this is found out."""
        if self.logged_unsupported_until == self.account.unsupported_until:
            return
        self.logged_unsupported_until = self.account.unsupported_until
        if self.logged_unsupported_until:
            cause = self.account.unsupported_cause
            self.client.log(f"http2-unsupported engine={self.endpoint} proof={cause}")

    def execute(self, action: Action) -> None:
        """Execute one action of the account."""
        match action:
            case StartStream(record):
                self.start_assigned(record)
            case StreamFailed(record):
                stream = owner_of(record)
                if stream.connection:
                    stream.connection.remove_stream(stream)
                stream.add_part(action)
            case Dial(connection_record):
                connection = Http2Connection(self, connection_record)
                self.connections[connection_record.number] = connection
                self.client.dialled += 1
                self.client.loop.spawn(connection.run, background=self.client.background)
            case SendPing(connection_record):
                connection = self.connections[connection_record.number]
                connection.session.ping()
                connection.flush()
            case CloseConnection(connection_record, reason, error):
                closing = self.connections.get(connection_record.number)
                if closing:
                    closing.close(reason, error)

    def start_assigned(self, record: StreamRecord) -> None:
        """Start a stream that is assigned to a connection, if it may still be sent."""
        stream = owner_of(record)
        if record.connection and stream.request.may_send():
            self.connections[record.connection.number].start_stream(stream)
        else:
            self.withdraw(record, self.client.loop.now())

    def withdraw(self, record: StreamRecord, now: int) -> None:
        """End a stream whose engine drains, or whose request was given up."""
        self.account.withdraw(record, now)
        failure = StreamFailed(record, StreamOutcome.NOT_PROCESSED, EndReason.DRAINED)
        owner_of(record).add_part(failure)

    def is_urgent(self) -> bool:
        """Return whether a short timeout is pending: of a wait, an opening or a request body."""
        return bool(self.account.waiting_count) or any(
            connection.sending or connection.record.phase is ConnectionPhase.OPENING
            for connection in self.connections.values()
        )

    def tick(self, now: int) -> None:
        """Handle all timeouts that have expired."""
        for record in [*self.account.waiting_requests, *self.account.waiting_calls]:
            if not owner_of(record).request.may_send():
                self.withdraw(record, now)
        for connection in list(self.connections.values()):
            self.cancel_stalled(connection, now)
        self.account.tick(now)
        self.run_actions()

    def cancel_stalled(self, connection: Http2Connection, now: int) -> None:
        """Cancel the streams whose body the server's flow control has blocked for too long."""
        stalled = [stream for stream in connection.sending.values() if stream.stalled_since]
        for stream in stalled:
            if now - stream.stalled_since >= self.client.body_timeout:
                left = len(stream.unsent_body)
                self.client.log(f"http2-stalled engine={self.endpoint} left={left}")
                stream.cancel()
