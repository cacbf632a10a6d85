"""Reads the next request of a client's connection, within its time and its memory."""

from __future__ import annotations

import sys
from dataclasses import dataclass, field
from typing import ClassVar, Protocol

from ..net.http1 import Body, End, Head, MalformedMessageError
from ..net.loop import MS, Connection, EventLoop, ReadInterrupted, TimeoutExpired
from ..requests.manager import RequestManager
from ..requests.memory_account import MemoryAccount, MemoryKind
from .client_state import ClientState
from .errors import CapacityError
from .exchange import SEND_TIMEOUT_NS, ClientRequest
from .inbox import Inbox

# Idle connections are closed early: thousands of clients send one request and stay connected.
IDLE_TIMEOUT_NS = 2100 * MS
# From the first byte of a request, or from connecting for the first one, until it is complete.
REQUEST_TIMEOUT_NS = 2200 * MS
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"


class ReaderOwner(Protocol):
    """The interface through which requests are read for a frontend."""

    loop: EventLoop
    manager: RequestManager
    memory: MemoryAccount
    closing_idle: bool
    overloaded: ClassVar[dict[str, str]]

    def set_state(self, connection: Connection, state: ClientState) -> None:
        """Record the new state of a connection."""
        ...


@dataclass(slots=True, eq=False)
class PartialRequest:
    """The part of a request that has arrived so far."""

    connection: Connection
    inbox: Inbox
    received_at: int  # when its first byte was received; 0 before that
    head: Head | None = None
    body: bytearray = field(default_factory=bytearray)
    discarded: bool = False
    # Bytes that had arrived by the end of the request's time and may still be read; None before.
    bytes_in_time: int | None = None

    def held_bytes(self) -> int:
        """Return how much memory is held for it."""
        head_size = len(self.head.fields) if self.head else 0
        return sys.getsizeof(self.body) + head_size + self.inbox.held_bytes()

    def discard(self) -> None:
        """Free what has arrived; the connection's task then rejects the request."""
        self.discarded = True
        self.head = None
        self.body = bytearray()
        self.inbox.discard()
        self.connection.interrupt()


class RequestReader:
    """Reads the requests of one frontend's connections, one after another."""

    def __init__(self, owner: ReaderOwner):
        self.owner = owner
        self.loop = owner.loop
        self.manager = owner.manager
        self.memory = owner.memory

    def read(self, connection: Connection, inbox: Inbox, first: bool) -> ClientRequest | None:
        """Read the next request; None when the connection is to be closed.

        Raises:
            MalformedMessageError: If it is malformed, or not complete in time.
            CapacityError: If there is no memory for it.
        """
        partial = PartialRequest(connection, inbox, inbox.oldest_received_at())
        try:
            return self.read_parts(partial, first)
        finally:
            self.memory.give_back(MemoryKind.UNFINISHED, partial)

    def read_parts(self, partial: PartialRequest, first: bool) -> ClientRequest | None:
        """Read until the request is complete, as read() does."""
        connection, inbox = partial.connection, partial.inbox
        parser = inbox.parser
        start = self.loop.now()
        is_buffered = True  # as a whole: nothing was read for it
        parts = inbox.next()
        waiting_state = ClientState.SILENT if first else ClientState.IDLE
        self.owner.set_state(connection, waiting_state if inbox.idle() else ClientState.REQUESTING)
        while True:
            request = self.assemble(partial, parts)
            parts = []  # nothing is to be held twice while more is awaited
            if request is not None:
                request.completed_at = (
                    inbox.last_received_at() if is_buffered else connection.received_at
                )
                return request
            if inbox.pieces:
                self.loop.end_turn_if_due()
                parts = inbox.next_piece()
                continue
            is_buffered = False
            idle = partial.head is None and parser.idle()
            if idle and self.owner.closing_idle and not first and connection.is_idle():
                self.manager.count("closed-draining")
                return None
            if not idle:
                self.charge(partial)
            # The time limit of a pipelined request runs from when its turn came.
            since = start if first else max(start, partial.received_at)
            try:
                data = self.receive(partial, since, idle)
            except ReadInterrupted:  # discarded, or left over from the response before
                self.check_discarded(partial)
                continue
            self.check_discarded(partial)
            if data is None:
                return None
            if not data:
                self.manager.count("closed-by-client")
                parser.eof()
                return None
            if not partial.received_at:
                partial.received_at = connection.received_at
                self.owner.set_state(connection, ClientState.REQUESTING)
            parts = inbox.feed(data, connection.received_at)
            data = None

    def assemble(
        self, partial: PartialRequest, parts: list[Head | Body | End]
    ) -> ClientRequest | None:
        """Add parsed parts to a request; return it once it is complete."""
        for part in parts:
            if isinstance(part, Head):
                partial.head = part
                if part.expects_continue:  # before the body (RFC 9110, 10.1.1)
                    partial.connection.send(CONTINUE_RESPONSE, SEND_TIMEOUT_NS)
            elif isinstance(part, Body):
                partial.body += part.data
            elif partial.head is not None:
                received_at = partial.received_at or self.loop.now()
                return ClientRequest(partial.head, bytes(partial.body), received_at)
        return None

    def charge(self, partial: PartialRequest) -> None:
        """Charge the account for what has arrived of a request that is not complete.

        Where there is no room, the largest such request of all clients is rejected.
        """
        size = partial.held_bytes()
        if not self.memory.charge_by_discarding(MemoryKind.UNFINISHED, partial, size):
            partial.discard()
            raise self.capacity_error()

    def check_discarded(self, partial: PartialRequest) -> None:
        """Reject a request that was discarded for others."""
        if partial.discarded:
            raise self.capacity_error()

    def capacity_error(self) -> CapacityError:
        """Return the error that rejects a request which has arrived in part."""
        self.manager.count("ended-for-memory")
        return CapacityError(
            "too much has arrived at once: it may be sent again", self.owner.overloaded, closes=True
        )

    def receive(self, partial: PartialRequest, since: int, idle: bool) -> bytes | None:
        """Return bytes of a request; None if the connection's idle timeout has expired.

        Raises:
            MalformedMessageError: If a request that has begun did not become complete in time.
        """
        timeout_ns = IDLE_TIMEOUT_NS if idle else REQUEST_TIMEOUT_NS
        time_left = since + timeout_ns - self.loop.now()
        try:
            if time_left <= 0 and not idle:
                return self.receive_late(partial)
            return partial.connection.recv(max(MS, time_left))
        except TimeoutExpired:
            if idle:
                self.manager.count("closed-idle")
                return None
            self.manager.count("closed-half-request")
            raise MalformedMessageError(408, "the request did not arrive in time") from None

    def receive_late(self, partial: PartialRequest) -> bytes:
        """Return bytes that had arrived when the request's time was over.

        A process that was stopped meanwhile has not read them; a client that goes on sending gets
        no more time for that.
        """
        if partial.bytes_in_time is None:
            partial.bytes_in_time = partial.connection.unread_bytes()
        if partial.bytes_in_time <= 0:
            raise TimeoutExpired("the request did not become complete in time")
        data = partial.connection.recv(MS)
        partial.bytes_in_time -= len(data)
        return data
