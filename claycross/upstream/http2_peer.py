"""One engine to which HTTP/2 is spoken: its account and its connections."""

from __future__ import annotations

from typing import Protocol, cast

from ..net.address import Endpoint
from .http2_connection import Http2Connection
from .http2_stream import ClientContext, Stream
from .stream_accounting import StreamAccount
from .stream_records import (
    Close,
    ConnectionLimits,
    Dial,
    Grant,
    Order,
    Over,
    Phase,
    Ping,
    StreamOutcome,
    Ticket,
)


class PeerClient(ClientContext, Protocol):
    """What a peer needs of the client, beside what its connections need."""

    limits: ConnectionLimits
    body_wait: int
    dialled: int


def stream_of(ticket: Ticket) -> Stream:
    """Return the stream that a ticket was asked for by."""
    return cast(Stream, ticket.owner)


class Peer:
    """Carries out the orders of one engine's account."""

    def __init__(self, client: PeerClient, endpoint: Endpoint):
        self.client = client
        self.endpoint = endpoint
        self.account = StreamAccount(client.limits)
        self.connections: dict[int, Http2Connection] = {}  # by the account's numbers
        self.working = False
        self.unspoken = 0  # of the account, as last logged

    def ask(self, stream: Stream, call: bool, wait: int) -> None:
        """Ask for a place for a stream."""
        stream.ticket = self.account.ask(call, self.client.loop.now(), stream, wait)
        self.work()

    def work(self) -> None:
        """Carry out the account's orders, one at a time, until there is none."""
        if self.working:
            return  # the loop below goes on with what has just been added
        self.working = True
        try:
            while True:
                order = self.account.order(self.client.loop.now())
                if order is None:
                    break
                self.carry_out(order)
        finally:
            self.working = False
        for number, connection in list(self.connections.items()):
            if connection.closed and not connection.socket:
                del self.connections[number]
        if self.is_urgent():
            self.client.hurry()
        self.log_unspoken()

    def log_unspoken(self) -> None:
        """Log once that HTTP/2 is not spoken there."""
        if self.unspoken == self.account.unspoken:
            return
        self.unspoken = self.account.unspoken
        if self.unspoken:
            self.client.log(f"http2-unsupported engine={self.endpoint} proof={self.account.proof}")

    def carry_out(self, order: Order) -> None:
        """Carry out one order of the account."""
        match order:
            case Grant(ticket):
                self.grant(ticket)
            case Over(ticket):
                stream = stream_of(ticket)
                if stream.connection:
                    stream.connection.drop(stream)
                stream.add(order)
            case Dial(record):
                connection = Http2Connection(self, record)
                self.connections[record.number] = connection
                self.client.dialled += 1
                self.client.loop.spawn(connection.run, background=self.client.background)
            case Ping(record):
                connection = self.connections[record.number]
                connection.session.ping()
                connection.flush()
            case Close(record, why, error):
                closing = self.connections.get(record.number)
                if closing:
                    closing.close(why, error)

    def grant(self, ticket: Ticket) -> None:
        """Begin the stream of a ticket that has a place, if it is still to be sent."""
        stream = stream_of(ticket)
        if ticket.connection and stream.request.may_send():
            self.connections[ticket.connection.number].begin(stream)
        else:
            self.withdraw(ticket, self.client.loop.now())

    def withdraw(self, ticket: Ticket, now: int) -> None:
        """End a ticket whose engine drains, or for which nobody waits any more."""
        self.account.withdraw(ticket, now)
        stream_of(ticket).add(Over(ticket, StreamOutcome.NOT_PROCESSED, "drained"))

    def is_urgent(self) -> bool:
        """Return whether something waits here that has little time."""
        return bool(self.account.waits) or any(
            connection.bodies or connection.record.phase is Phase.OPENING
            for connection in self.connections.values()
        )

    def tick(self, now: int) -> None:
        """Do what is due at this time."""
        for ticket in [*self.account.requests, *self.account.calls]:
            if not stream_of(ticket).request.may_send():
                self.withdraw(ticket, now)
        for connection in list(self.connections.values()):
            self.end_stalled(connection, now)
        self.account.tick(now)
        self.work()

    def end_stalled(self, connection: Http2Connection, now: int) -> None:
        """End the streams of whose body the server has taken nothing for too long."""
        stalled = [stream for stream in connection.bodies.values() if stream.stalled]
        for stream in stalled:
            if now - stream.stalled >= self.client.body_wait:
                self.client.log(f"http2-stalled engine={self.endpoint} left={len(stream.body)}")
                stream.leave()
