"""A request on a client connection, and the exchange that sends its response."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple, Protocol

from ..net.http1 import LAST_CHUNK, Head, encode_chunk, encode_response
from ..net.loop import SECOND, Connection, ConnectionClosedError, EventLoop
from ..requests.manager import Request
from ..requests.memory_account import MemoryAccount, MemoryKind
from .errors import ErrorContent, Headers
from .inbox import Inbox

SEND_TIMEOUT_NS = 20 * SECOND  # a client that takes no bytes for so long counts as gone
UNREAD_COPIES = 2  # of a part of a stream while it is sent: the events, and their chunk


@dataclass(slots=True)
class ClientRequest:
    """A request as it arrived on a client's connection."""

    head: Head
    body: bytes
    received_at: int  # when its first byte was received
    completed_at: int = 0  # when its last byte was received

    @property
    def path(self) -> str:
        """The request's path without the query."""
        return self.head.target.partition("?")[0]

    @property
    def wants_close(self) -> bool:
        """Whether the client asked for the connection to be closed after the response."""
        return not self.head.keeps_alive()

    def release(self) -> None:
        """Free what was passed on or answered: its connection's task may be kept for long."""
        self.head.compact()
        self.body = b""


class ExchangeOwner(Protocol):
    """The interface through which an exchange uses its frontend."""

    loop: EventLoop
    memory: MemoryAccount

    def format_error(self, status: int, message: str, **details: str) -> ErrorContent:
        """Return the headers and the body of an error response."""
        ...

    def is_last_response(self, inbox: Inbox | None) -> bool:
        """Return whether a response that is sent now is the last on its connection."""
        ...


class Exchange:
    """One request on a client connection; its methods send the response."""

    def __init__(self, frontend: ExchangeOwner, connection: Connection, close: bool):
        self.frontend = frontend
        self.connection = connection
        self.close_after = close
        self.pending_response = b""  # a complete response, sent by the connection's task
        self.finished = False
        self.streaming = False
        self.inbox: Inbox | None = None  # bytes that follow the request
        # Called if a part of a streamed response can't be sent.
        self.on_disconnect: Callable[[], None] | None = None

    def write(self, data: bytes) -> None:
        """Send the next part of a streamed response."""
        chunk = encode_chunk(data)
        if not self.streaming:
            self.streaming = True
            headers = [("Content-Type", "text/event-stream"), ("Cache-Control", "no-store")]
            chunk = encode_response(200, headers, None, self.decide_closing()) + chunk
        self.send_bytes(chunk)

    def finish(self, complete: bool) -> None:
        """End a streamed response; without a last chunk the client learns that it is incomplete."""
        if complete:
            self.send_bytes(LAST_CHUNK)
        else:
            self.close_after = True
        self.close_exchange()

    def send_bytes(self, data: bytes) -> None:
        """Send bytes of a streamed response; end the request if its client has disconnected."""
        try:
            sent_bytes = self.connection.send_some(data)
            if sent_bytes < len(data):
                self.send_unread(data, sent_bytes)
        except ConnectionClosedError:
            self.connection.close()
            if self.on_disconnect:
                self.on_disconnect()

    def send_unread(self, data: bytes, sent_bytes: int) -> None:
        """Send the rest of the data, which is charged until the client has taken it.

        Raises:
            ConnectionClosedError: If the client has disconnected, or there is no memory for them.
        """
        memory = self.frontend.memory
        size = UNREAD_COPIES * len(data)
        if not memory.charge_by_discarding(MemoryKind.RESPONSES, self, size):
            raise ConnectionClosedError("no memory for a response that the client does not read")
        try:
            self.connection.send(memoryview(data)[sent_bytes:], SEND_TIMEOUT_NS)
        finally:
            memory.give_back(MemoryKind.RESPONSES, self)

    def discard(self) -> None:
        """Free what the client has not taken; it learns from its connection that this broke."""
        self.connection.abort()

    def reject(self, retry_after: int) -> None:
        """Respond that the request may be sent again after `retry_after` nanoseconds."""
        headers, body = self.frontend.format_error(503, "refused: it may be sent again")
        headers.append(("Retry-After", f"{retry_after / SECOND:.3f}"))
        self.respond(503, headers, body)

    def fail(self) -> None:
        """Respond that the request failed."""
        headers, body = self.frontend.format_error(502, "failed")
        self.respond(502, headers, body)

    def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """End the exchange with a complete response."""
        self.pending_response = encode_response(status, headers, body, self.decide_closing())
        self.close_exchange()

    def client_disconnected(self) -> bool:
        """Return whether the client has ended its sending, even behind unread bytes."""
        return self.connection.peer_closed()

    def decide_closing(self) -> bool:
        """Decide and return whether the connection is closed after the response."""
        self.close_after = self.close_after or self.frontend.is_last_response(self.inbox)
        return self.close_after

    def close_exchange(self) -> None:
        """Mark the exchange as finished and wake the connection's task."""
        self.finished = True
        self.connection.interrupt()


class AcceptedRequest(NamedTuple):
    """A request that the request manager has accepted, and the exchange that answers it."""

    request: Request
    exchange: Exchange
