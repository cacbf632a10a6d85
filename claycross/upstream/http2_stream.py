"""One HTTP/2 stream to an engine, as the task that waits for its response sees it."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from ..net import http2 as wire
from ..net.address import Endpoint
from ..net.loop import Connection, EventLoop, Signal
from .connection_pool import ConnectionPool
from .stream_accounting import ON_A_STREAM, StreamAccount
from .stream_records import Over, StreamOutcome, StreamStage, Ticket

Headers = list[tuple[str, str]]
Part = wire.Event | Over  # of a response; Over: the stream ended without a complete one

# Bytes of a response that wait for their task, from which on the next ones are kept apart.
MERGE_LIMIT = 4096


class ClientContext(Protocol):
    """What the streams and connections need of the client."""

    loop: EventLoop
    pool: ConnectionPool
    window: int
    background: bool

    @property
    def log(self) -> Callable[[str], None]:
        """Writes a line of the log."""
        ...

    def opened(self, endpoint: Endpoint) -> Connection:
        """Return a connection on which HTTP/2 is spoken from its first byte."""
        ...

    def hurry(self) -> None:
        """Let the next tick come soon."""
        ...


class PeerContext(Protocol):
    """What the streams and connections need of the engine that they belong to."""

    endpoint: Endpoint
    account: StreamAccount

    @property
    def client(self) -> ClientContext:
        """The client."""
        ...

    def work(self) -> None:
        """Carry out the account's orders."""
        ...


class StreamConnection(Protocol):
    """What a stream needs of its connection."""

    closed: bool
    session: wire.Session

    def flush(self) -> None:
        """Write what the session has to send."""
        ...

    def drop(self, stream: Stream, complete: bool = False) -> None:
        """Remove a stream."""
        ...


@dataclass(frozen=True, slots=True)
class StreamRequest:
    """The request that a stream carries."""

    method: str
    target: str
    headers: Callable[[], Headers]  # asked when the request is sent
    body: bytes
    may_send: Callable[[], bool]  # asked when the request could be sent


class Stream:
    """A request or call: its ticket, the rest of its body, and the parts of its response."""

    def __init__(self, peer: PeerContext, request: StreamRequest):
        self.peer = peer
        self.request = request
        self.size = len(request.body)
        self.body = memoryview(request.body)  # what is not written yet
        self.connection: StreamConnection | None = None
        self.signal = Signal(peer.client.loop)
        self.parts: deque[Part] = deque()
        self.stalled = 0  # since when the server takes nothing of the body
        self.ticket: Ticket

    @property
    def number(self) -> int:
        """The stream's id on its connection."""
        return self.ticket.stream

    def add(self, part: Part) -> None:
        """Add a part of the response for the task that waits.

        Small parts are merged: a window that is filled a byte at a time would take an object for
        each.
        """
        last = self.parts[-1] if self.parts else None
        if (
            isinstance(part, wire.Data)
            and isinstance(last, wire.Data)
            and len(last.data) < MERGE_LIMIT
        ):
            self.parts[-1] = wire.Data(
                part.stream,
                last.data + part.data,
                last.flow_controlled_bytes + part.flow_controlled_bytes,
            )
        else:
            self.parts.append(part)
        self.signal.set()

    def next(self, span: int) -> Part | None:
        """Wait for the next part; None if there is none within `span` (0: for ever)."""
        while not self.parts:
            if not self.signal.wait(span):
                return None
        return self.parts.popleft()

    def took(self, counted: int) -> None:
        """Return bytes of the window to the server, as they have been consumed."""
        if self.connection and not self.connection.closed:
            self.connection.session.acknowledge_data(self.number, counted)
            self.connection.flush()

    def leave(self) -> bool:
        """End it wherever it stands, by RST_STREAM; return whether it may have run."""
        ticket = self.ticket
        if ticket.stage is StreamStage.OVER:
            return ticket.outcome is not StreamOutcome.NOT_PROCESSED
        has_begun = ticket.stage in ON_A_STREAM
        outcome = self.peer.account.withdraw(ticket, self.peer.client.loop.now())
        self.body = memoryview(b"")
        if has_begun and self.connection:
            self.connection.drop(self)
        self.add(Over(ticket, outcome, "left"))
        self.peer.work()
        return outcome is not StreamOutcome.NOT_PROCESSED
