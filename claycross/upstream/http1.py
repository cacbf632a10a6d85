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
    encode_request_head,
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
    JOINED_BODY_BYTES,
    NOT_SENT,
    RESET,
    AttemptEnd,
    CallResponse,
    OutgoingRequest,
    always,
)
from .responses import MAX_UNFORWARDED_BYTES, OK_STATUS, ResponseReader

__all__ = ["CALL_TIMEOUT_NS", "REUSE_DELAY_NS", "ConnectionPool", "Http1Client"]

CALL_TIMEOUT_NS = 400 * MS  # for each read of the response to a call
CALL_ATTEMPTS = 2  # the second one replaces a reused connection that turned out to be broken
MAX_CHUNK_BYTES = 1 << 20  # of a chunked response that may be larger than MAX_BODY


class SmallResponse(NamedTuple):
    """A response that was read as a whole, and whether its connection may be reused."""

    head: Head
    body: bytes
    reusable: bool


class Http1Client:
    """The client of HTTP/1.1 (`client.EngineClient`)."""

    def __init__(self, loop: EventLoop, pool: ConnectionPool, may_send: Callable[[Attempt], bool]):
        """`may_send` is evaluated right before the first byte of an attempt is written."""
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
            # While connecting, the engine began to drain or the request was given up.
            self.pool.give(endpoint.address, connection)
            return NOT_SENT

        def abort() -> bool:
            connection.abort()  # bytes that the engine has not received must not arrive later
            return True

        def has_arrived() -> bool:
            return reader.is_sent and not connection.unacknowledged_bytes()

        attempt.abort = abort
        attempt.has_arrived = has_arrived
        try:
            head = self.encode_head(attempt, endpoint, reader.outgoing)
            body = memoryview(reader.outgoing.body)
            connection.send(head + body[:JOINED_BODY_BYTES])
            connection.send(body[JOINED_BODY_BYTES:])
        except ConnectionClosedError:
            self.pool.drop(connection)
            return CONNECT_FAILED
        reader.request_sent()
        return self.receive(connection, endpoint, reader)

    def encode_head(self, attempt: Attempt, endpoint: Endpoint, outgoing: OutgoingRequest) -> bytes:
        """Return the head of an attempt's request, with its remaining time as a header."""
        time_left = attempt.timeout - (self.loop.now() - attempt.started_at)
        timeout = ("X-Timeout-Ms", str(max(1, time_left // MS)))
        headers = [("Host", str(endpoint)), *outgoing.headers, timeout]
        return encode_request_head(outgoing.method, outgoing.target, headers, len(outgoing.body))

    def receive(
        self, connection: Connection, endpoint: Endpoint, reader: ResponseReader
    ) -> AttemptEnd:
        """Feed a response to the reader; return the connection to the pool if it is reusable."""
        limit = reader.outgoing.max_response_bytes
        parser = MessageParser(
            responses=True, max_body=limit, max_chunk=max(MAX_BODY, min(limit, MAX_CHUNK_BYTES))
        )
        try:
            end = self.read_response(connection, parser, reader)
        except ConnectionClosedError:
            end = RESET
        except MalformedMessageError as error:
            reader.log_malformed(error)
            end = RESET
        if parser.state is MessageState.END and not parser.buffer and parser.head.keeps_alive():
            self.pool.give(endpoint.address, connection)
        else:
            self.pool.drop(connection)
        return end

    def read_response(
        self, connection: Connection, parser: MessageParser, reader: ResponseReader
    ) -> AttemptEnd:
        """Feed a response to the reader until it ends."""
        while True:
            partial = not parser.at_boundary()
            try:
                data = connection.recv(reader.idle_timeout(partial))
            except TimeoutExpired:
                message = "timeout within a head or chunk" if partial else "idle timeout"
                raise MalformedMessageError(502, message) from None
            is_complete = self.take_parts(parser.feed(data) if data else parser.eof(), reader)
            # A successful response that ends by closing the connection is not taken for complete:
            # the engine may have died.
            if is_complete and (data or reader.status != OK_STATUS):
                return reader.end()
            if not data:
                raise ConnectionClosedError("connection closed before the end of the response")
            del data  # not to be held while more is awaited

    def take_parts(self, parts: list[Head | Body | End], reader: ResponseReader) -> bool:
        """Pass parts of a response to the reader; return whether the response is complete."""
        for part in parts:
            if isinstance(part, Head):
                reader.head(part.status, part.headers)
            elif isinstance(part, Body):
                reader.data(part.data)
            else:
                return True
        return False

    def call(
        self,
        endpoint: Endpoint,
        method: str,
        target: str,
        is_wanted: Callable[[], bool] = always,
    ) -> CallResponse | None:
        """Make a small idempotent call; None if there is no response."""
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
                connection.send(request, CALL_TIMEOUT_NS)
                response = self.read_small_response(connection)
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

    def accepts_connection(self, endpoint: Endpoint) -> bool | None:
        """Return whether a new connection is established within the dial timeout.

        None if this machine had no capacity to try.
        """
        try:
            connection = self.pool.dial(endpoint.address)
        except NoLocalSocketError:
            return None
        except ConnectionClosedError:
            return False
        self.pool.drop(connection)
        return True

    def read_small_response(self, connection: Connection) -> SmallResponse:
        """Read a small response as a whole."""
        parser = MessageParser(responses=True, max_body=MAX_UNFORWARDED_BYTES)
        head = Head()
        body = b""
        while True:
            data = connection.recv(CALL_TIMEOUT_NS)
            if not data:
                raise ConnectionClosedError("connection closed before the end of the response")
            for part in parser.feed(data):
                if isinstance(part, Head):
                    head = part
                elif isinstance(part, Body):
                    body += part.data
                elif isinstance(part, End):
                    reusable = head.keeps_alive() and not parser.buffer
                    return SmallResponse(head, body, reusable)

    def endpoint_removed(self, endpoint: Endpoint) -> None:
        """Do nothing: the pool checks each connection before it is reused."""

    def endpoint_updated(self, endpoint: Endpoint) -> None:
        """Do nothing: every engine supports HTTP/1.1."""

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
