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
from .stream_accounting import StreamAccount
from .stream_records import (
    STARTED_STAGES,
    EndReason,
    StreamFailed,
    StreamOutcome,
    StreamRecord,
    StreamStage,
)

Headers = list[tuple[str, str]]
# A part of a response; StreamFailed: the stream ended without a complete one.
ResponsePart = wire.Event | StreamFailed

# A waiting part of a response body is not extended by the next data from this size on.
MERGE_LIMIT_BYTES = 4096


class ClientContext(Protocol):
    """The interface of the client to its streams and connections."""

    loop: EventLoop
    pool: ConnectionPool
    window: int
    background: bool

    @property
    def log(self) -> Callable[[str], None]:
        """The function that writes a line to the log."""
        ...

    def connect(self, endpoint: Endpoint) -> Connection:
        """Return a connection that carries HTTP/2 from the first byte on."""
        ...

    def expedite_tick(self) -> None:
        """Schedule the next tick soon."""
        ...


class PeerContext(Protocol):
    """The interface of an engine's peer to its streams and connections."""

    endpoint: Endpoint
    account: StreamAccount

    @property
    def client(self) -> ClientContext:
        """The client that the peer belongs to."""
        ...

    def run_actions(self) -> None:
        """Execute the account's actions."""
        ...


class StreamConnection(Protocol):
    """The interface of a connection to its streams."""

    closed: bool
    session: wire.Session

    def flush(self) -> None:
        """Write the session's output."""
        ...

    def remove_stream(self, stream: Stream, complete: bool = False) -> None:
        """Remove a stream; reset it, unless it is complete."""
        ...


@dataclass(frozen=True, slots=True)
class StreamRequest:
    """The request that a stream carries."""

    method: str
    target: str
    headers: Callable[[], Headers]  # evaluated when the request is sent
    body: bytes
    may_send: Callable[[], bool]  # evaluated right before the request is sent, and while it waits


class Stream:
    """A request or call: its record, the rest of its body, and the parts of its response."""

    def __init__(self, peer: PeerContext, request: StreamRequest):
        self.peer = peer
        self.request = request
        self.body_size = len(request.body)
        self.unsent_body = memoryview(request.body)
        self.connection: StreamConnection | None = None
        self.signal = Signal(peer.client.loop)
        self.parts: deque[ResponsePart] = deque()
        self.stalled_since = 0  # when flow control first blocked the body; 0: not blocked
        self.record: StreamRecord

    @property
    def stream_id(self) -> int:
        """The stream's id on its connection."""
        return self.record.stream_id

    def add_part(self, part: ResponsePart) -> None:
        """Add a part of the response for the task that waits.

        Small pieces of data are merged: otherwise a window that is filled a byte at a time would
        take an object for each.
        """
        last = self.parts[-1] if self.parts else None
        if (
            isinstance(part, wire.Data)
            and isinstance(last, wire.Data)
            and len(last.data) < MERGE_LIMIT_BYTES
        ):
            self.parts[-1] = wire.Data(
                part.stream,
                last.data + part.data,
                last.flow_controlled_bytes + part.flow_controlled_bytes,
            )
        else:
            self.parts.append(part)
        self.signal.set()

    def next_part(self, timeout: int) -> ResponsePart | None:
        """Wait for the next part.

        Returns None if there is none within `timeout` nanoseconds (0: no timeout).
        """
        while not self.parts:
            if not self.signal.wait(timeout):
                return None
        return self.parts.popleft()

    def data_consumed(self, counted: int) -> None:
        """Give `counted` bytes of the flow-control window back to the server."""
        if self.connection and not self.connection.closed:
            self.connection.session.acknowledge_data(self.stream_id, counted)
            self.connection.flush()

    def is_sent(self) -> bool:
        """Return whether the system has taken the request's last byte, or the stream is over."""
        return self.record.stage in (StreamStage.END_SENT, StreamStage.FINISHED)

    def cancel(self) -> bool:
        """End the stream, by RST_STREAM if it was started; return whether it may have run."""
        record = self.record
        if record.stage is StreamStage.FINISHED:
            return record.outcome is not StreamOutcome.NOT_PROCESSED
        is_started = record.stage in STARTED_STAGES
        outcome = self.peer.account.withdraw(record, self.peer.client.loop.now())
        self.unsent_body = memoryview(b"")
        if is_started and self.connection:
            self.connection.remove_stream(self)
        self.add_part(StreamFailed(record, outcome, EndReason.CANCELLED))
        self.peer.run_actions()
        return outcome is not StreamOutcome.NOT_PROCESSED
