"""The HTTP/1.1 client for engines: one request at a time on a connection."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from ..net.address import Endpoint
from ..net.http1 import (
    MAX_BODY,
    Body,
    End,
    Head,
    MalformedMessageError,
    MessageParser,
    MessageState,
    encode_request,
)
from ..net.loop import (
    MS,
    Connection,
    ConnectionClosedError,
    EventLoop,
    NoLocalSocketError,
    TimeoutExpired,
)
from ..requests.manager import Attempt
from .connection_pool import REUSE_DELAY_NS, ConnectionPool
from .interface import (
    CONNECT_FAILED,
    NOT_SENT,
    RESET,
    AttemptEnd,
    CallResponse,
    OutgoingRequest,
    always,
)
from .responses import OK, SMALL, ResponseReader

__all__ = ["CALL_WAIT", "REUSE_DELAY_NS", "ConnectionPool", "Http1Client"]

CALL_WAIT = 400 * MS  # for the response to a call that carries no request
CALL_ATTEMPTS = 2  # a connection that was used before and broke is replaced once
MAX_CHUNK = 1 << 20  # bytes of a chunk of a large response


class SmallResponse(NamedTuple):
    """A response that was read as a whole, and whether its connection may be used again."""

    head: Head
    body: bytes
    reusable: bool


class Http1Client:
    """The client of this protocol (`client.EngineClient`)."""

    def __init__(self, loop: EventLoop, pool: ConnectionPool, may_send: Callable[[Attempt], bool]):
        """`may_send` is asked at the moment of an attempt's first byte."""
        self.loop = loop
        self.pool = pool
        self.may_send = may_send

    def attempt(self, attempt: Attempt, endpoint: Endpoint, reader: ResponseReader) -> AttemptEnd:
        """Send the request of an attempt and feed its response to the reader."""
        try:
            connection = self.pool.get(endpoint.address)
        except NoLocalSocketError:
            return NOT_SENT
        except ConnectionClosedError:
            return CONNECT_FAILED
        if not self.may_send(attempt):
            # While it was connecting the engine began to drain, or nobody waits any more.
            self.pool.give(endpoint.address, connection)
            return NOT_SENT

        def abort() -> bool:
            connection.abort()  # what its engine has not received must not arrive later
            return True

        attempt.abort = abort
        try:
            connection.send(self.encode(attempt, endpoint, reader.outgoing))
        except ConnectionClosedError:
            self.pool.drop(connection)
            return CONNECT_FAILED
        reader.request_sent()
        return self.receive(connection, endpoint, reader)

    def encode(self, attempt: Attempt, endpoint: Endpoint, outgoing: OutgoingRequest) -> bytes:
        """Return the bytes of an attempt's request, with the time that is left for it."""
        time_left = attempt.timeout - (self.loop.now() - attempt.started_at)
        timeout = ("X-Timeout-Ms", str(max(1, time_left // MS)))
        headers = [("Host", str(endpoint)), *outgoing.headers, timeout]
        return encode_request(outgoing.method, outgoing.target, headers, outgoing.body)

    def receive(
        self, connection: Connection, endpoint: Endpoint, reader: ResponseReader
    ) -> AttemptEnd:
        """Feed a response to the reader and give the connection back, if it may be used again."""
        limit = reader.outgoing.max_response_bytes
        messages = MessageParser(
            responses=True, max_body=limit, max_chunk=max(MAX_BODY, min(limit, MAX_CHUNK))
        )
        try:
            end = self.read(connection, messages, reader)
        except ConnectionClosedError:
            end = RESET
        except MalformedMessageError as error:
            reader.log_malformed(error)
            end = RESET
        if (
            messages.state is MessageState.END
            and not messages.buffer
            and messages.head.keeps_alive()
        ):
            self.pool.give(endpoint.address, connection)
        else:
            self.pool.drop(connection)
        return end

    def read(
        self, connection: Connection, messages: MessageParser, reader: ResponseReader
    ) -> AttemptEnd:
        """Feed a response to the reader until it ends."""
        while True:
            partial = not messages.between()
            try:
                data = connection.recv(reader.idle_timeout(partial))
            except TimeoutExpired:
                message = "the rest does not come" if partial else "the stream stands still"
                raise MalformedMessageError(502, message) from None
            for part in messages.feed(data) if data else messages.eof():
                if isinstance(part, Head):
                    reader.head(part.status, part.headers)
                elif isinstance(part, Body):
                    reader.data(part.data)
                elif data or reader.status != OK:
                    # A stream that merely stops is not known to be complete.
                    return reader.end()
            if not data:
                raise ConnectionClosedError("ended before its answer")

    def call(
        self,
        endpoint: Endpoint,
        method: str,
        target: str,
        is_wanted: Callable[[], bool] = always,
    ) -> CallResponse | None:
        """Make a small idempotent call; None without a response."""
        for _ in range(CALL_ATTEMPTS):
            reused_before = self.pool.reused
            try:
                connection = self.pool.get(endpoint.address)
            except ConnectionClosedError:
                return None
            is_new = reused_before == self.pool.reused
            if not is_wanted():
                self.pool.give(endpoint.address, connection)
                return None
            try:
                request = encode_request(method, target, [("Host", str(endpoint))])
                connection.send(request, CALL_WAIT)
                response = self.read_small(connection)
            except (ConnectionClosedError, MalformedMessageError):
                self.pool.drop(connection)
                if is_new:
                    return None
                continue
            if response.reusable:
                self.pool.give(endpoint.address, connection)
            else:
                self.pool.drop(connection)
            return CallResponse(response.head.status, response.body)
        return None

    def reaches(self, endpoint: Endpoint) -> bool | None:
        """Return whether a new connection is established within the dial timeout.

        None where there was no capacity to try.
        """
        try:
            connection = self.pool.dial(endpoint.address)
        except NoLocalSocketError:
            return None
        except ConnectionClosedError:
            return False
        self.pool.drop(connection)
        return True

    def read_small(self, connection: Connection) -> SmallResponse:
        """Read a small response as a whole."""
        messages = MessageParser(responses=True, max_body=SMALL)
        head = Head()
        body = b""
        while True:
            data = connection.recv(CALL_WAIT)
            if not data:
                raise ConnectionClosedError("no answer")
            for part in messages.feed(data):
                if isinstance(part, Head):
                    head = part
                elif isinstance(part, Body):
                    body += part.data
                elif isinstance(part, End):
                    reusable = head.keeps_alive() and not messages.buffer
                    return SmallResponse(head, body, reusable)

    def forget(self, endpoint: Endpoint) -> None:
        """Do nothing: each connection is checked before it is used."""

    def endpoint_updated(self, endpoint: Endpoint) -> None:
        """Do nothing: this protocol is spoken everywhere."""

    def check(self) -> None:
        """Check the invariants of the pool."""
        self.pool.check()

    def metrics(self) -> dict[str, int]:
        """Return the counts of the pool for the log, by name."""
        return {
            "engines": self.pool.open,
            "dialled": self.pool.dialled,
            "reused": self.pool.reused,
        }
