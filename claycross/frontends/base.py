"""The base class of all frontends: a listening address and its client connections.

Connections are limited in number and time, so that slow, silent or greedy clients do not delay
others. Subclasses interpret the requests.
"""

from __future__ import annotations

import contextlib
from functools import partial
from typing import ClassVar, NamedTuple

from ..interface import RequestArrived
from ..invariant import invariant
from ..net.address import Address
from ..net.http1 import (
    MalformedMessageError,
    encode_response,
)
from ..net.loop import (
    MS,
    SECOND,
    Connection,
    ConnectionClosedError,
    EventLoop,
    Listener,
    ReadInterrupted,
)
from ..requests import preconditions
from ..requests.manager import Request, RequestManager
from ..requests.memory_account import MemoryAccount, MemoryKind
from ..requests.request_metrics import ReplyStatus
from ..upstream.interface import OutgoingRequest
from .client_state import (
    EVICTED_WITH_UNREAD_BYTES,
    EVICTION_GRACE_NS,
    EVICTION_ORDER,
    ClientEntry,
    ClientState,
)
from .errors import CapacityError, ErrorContent, RequestError, plain_text
from .exchange import SEND_TIMEOUT_NS, AcceptedRequest, ClientRequest, Exchange
from .inbox import Inbox
from .read_ahead import keep, may_read_ahead
from .request_reader import PartialRequest, RequestReader

# Limits on reading after the sending side was shut down.
LINGER_TIMEOUT_NS = 300 * MS
MAX_LINGER_BYTES = 1 << 20
# Delay of the error response to the second malformed request in a row on a connection; it doubles
# with each further one.
ERROR_DELAY_NS = 200 * MS
MAX_ERROR_DELAY_NS = 1600 * MS
MAX_CONSECUTIVE_ERRORS = 8  # more do not change the delay
ERROR_SEND_TIMEOUT_NS = SECOND  # for the client to take an error response
TOO_MANY_REQUESTS = 429
REJECTION_BATCH_SIZE = 64  # rejections of requests that were not kept, sent at once
UNREAD_CHECK_INTERVAL_NS = 25 * MS  # between checks of the number of unread bytes


class ClientLimits(NamedTuple):
    """What bounds the clients of a frontend."""

    max_connections: int
    memory: MemoryAccount  # shared by all frontends


class Frontend:
    """A listening address and its clients; subclasses handle the requests of one protocol."""

    background = False  # whether the connections' tasks run at background priority
    overloaded: ClassVar[dict[str, str]] = {}  # details of a rejection for lack of capacity

    def __init__(
        self,
        loop: EventLoop,
        manager: RequestManager,
        listen: Address,
        limits: ClientLimits,
        inherited_descriptor: int | None = None,
    ):
        """Listen on an address or an inherited socket."""
        self.loop = loop
        self.manager = manager
        self.max_connections = limits.max_connections
        self.memory = limits.memory
        self.draining = False  # every response announces that its connection closes
        self.closing_idle = False  # connections between two requests are closed
        self.clients: dict[Connection, ClientEntry] = {}  # ordered by last change, the oldest first
        self.evicted: set[Connection] = set()  # closed; their tasks have not ended
        # The last exchange of each connection, for the check when the connection ends.
        self.exchanges: dict[Connection, Exchange] = {}
        self.reader = RequestReader(self)
        self.listener = Listener(
            loop,
            listen,
            self.connection_accepted,
            self.has_capacity,
            inherited_descriptor=inherited_descriptor,
        )

    @staticmethod
    def format_error(status: int, message: str, **details: str) -> ErrorContent:
        """Return the headers and the body of an error response."""
        return plain_text(status, message, **details)

    # ------------------------------------------------------------ the connections

    def has_capacity(self) -> bool:
        """Return whether a connection can be accepted; at the limit another one is evicted.

        Clients that make requests are thus protected against hundreds that connect and send
        nothing, half a request, or malformed requests again and again.
        """
        if len(self.clients) < self.max_connections:
            return True
        if len(self.evicted) >= self.max_connections:  # their tasks have not ended yet
            return False
        connection = self.connection_to_evict()
        if connection is None:
            return False
        del self.clients[connection]
        self.evicted.add(connection)
        self.manager.count("made-way")
        connection.close()
        return True

    def connection_to_evict(self) -> Connection | None:
        """Return the first connection in eviction order that may be evicted, if any."""
        now = self.loop.now()
        for state in EVICTION_ORDER:
            grace_ns = EVICTION_GRACE_NS[state]
            unread_allowed = state in EVICTED_WITH_UNREAD_BYTES
            for connection, entry in self.clients.items():
                if entry.state is not state or now - entry.since < grace_ns:
                    continue
                if unread_allowed or connection.is_idle():
                    return connection
        return None

    def set_state(self, connection: Connection, state: ClientState) -> None:
        """Record the new state of a connection."""
        self.clients.pop(connection, None)
        self.clients[connection] = ClientEntry(state, self.loop.now())

    def connection_accepted(self, connection: Connection) -> None:
        """Start the task of a new connection."""
        self.set_state(connection, ClientState.SILENT)
        self.loop.spawn(self.serve, connection, background=self.background)

    # ------------------------------------------------------------ draining

    def start_draining(self) -> None:
        """Close each connection after its next response; new connections are still accepted."""
        self.draining = True

    def is_last_response(self, inbox: Inbox | None) -> bool:
        """Return whether a response that is sent now is the last on its connection.

        A pipelined request that has been read ahead still needs a response. While draining, nothing
        more is read ahead, so that the connection does end.
        """
        return self.draining and (inbox is None or inbox.empty())

    def close_idle_connections(self) -> None:
        """Start draining and close connections between requests.

        A new connection still has its time for a first request.
        """
        self.start_draining()
        self.closing_idle = True
        self.interrupt_idle()

    def stop_draining(self) -> None:
        """Keep connections open between requests again, unless the listener is closed."""
        if self.listener.open:
            self.draining = False
            self.closing_idle = False

    def close(self, within: int = 0) -> None:
        """Accept no further connections and close those between requests.

        An accepted connection still has its time for a first request, which would otherwise get no
        response. Connections in the backlog are accepted as capacity permits, for `within`
        nanoseconds.
        """
        self.close_idle_connections()
        self.listener.close(within)

    def interrupt_idle(self) -> None:
        """Wake the tasks of idle connections: each checks for a request once more, or ends."""
        idle = [
            connection
            for connection, entry in self.clients.items()
            if entry.state is ClientState.IDLE
        ]
        for connection in idle:
            connection.interrupt()

    # ------------------------------------------------------------ the task of one connection

    def serve(self, connection: Connection) -> None:
        """Serve the requests of a connection one after another until it ends."""
        inbox = Inbox()
        consecutive_errors = 0
        try:
            while not connection.closed:
                try:
                    if inbox.must_reject():
                        if not self.reject_dropped(connection, inbox):
                            break
                    elif not self.serve_request(
                        connection, inbox, first=not inbox.parser.head_count
                    ):
                        break
                    consecutive_errors = 0
                except CapacityError as error:
                    if not self.answer_overload(connection, inbox, error):
                        break
                except RequestError as error:
                    if not self.answer_error(connection, inbox, error, consecutive_errors):
                        break
                    consecutive_errors = min(consecutive_errors + 1, MAX_CONSECUTIVE_ERRORS)
                # A buffered pipelined request is answered without a read from the socket.
                self.loop.end_turn_if_due()
        except MalformedMessageError as error:
            self.manager.count("malformed")
            self.send_error(connection, RequestError(error.status, str(error)))
        finally:
            self.memory.give_back(MemoryKind.READ_AHEAD, inbox)
            self.end(connection)

    def answer_error(
        self, connection: Connection, inbox: Inbox, error: RequestError, previous_errors: int
    ) -> bool:
        """Answer a request with an error; return whether to keep the connection.

        Requests that were read behind it get their responses, too. A client that repeats the
        request as soon as it has the response would take up many iterations of the event loop: all
        error responses in a row but the first are delayed, unless more requests wait behind them
        or the connection is to end soon.

        Args:
            connection: The client's connection.
            inbox: Its unhandled bytes.
            error: The error to respond with.
            previous_errors: Malformed requests directly before this one.
        """
        parser = inbox.parser
        self.manager.count("malformed")
        self.manager.count_frontend_rejection(
            parser.head.get("x-priority-class") if parser.head else ""
        )
        may_delay = inbox.empty() and not self.draining
        if previous_errors and may_delay and error.status != TOO_MANY_REQUESTS:
            self.set_state(connection, ClientState.REJECTED)
            self.loop.sleep(min(ERROR_DELAY_NS << (previous_errors - 1), MAX_ERROR_DELAY_NS))
        close = not parser.head.keeps_alive() or self.is_last_response(inbox)
        self.send_error(connection, error, close)
        return not close

    def answer_overload(self, connection: Connection, inbox: Inbox, error: CapacityError) -> bool:
        """Reject a request for which there is no memory; return whether to keep the connection."""
        head = inbox.parser.head
        self.manager.count("rejected-for-memory")
        self.manager.count_frontend_rejection(head.get("x-priority-class"), ReplyStatus.OVERLOAD)
        head.compact()
        close = error.closes or not head.keeps_alive() or self.is_last_response(inbox)
        self.send_error(connection, error, close)
        return not close

    def send_error(self, connection: Connection, error: RequestError, close: bool = True) -> None:
        """Send an error response."""
        headers, body = self.format_error(error.status, str(error), **error.details)
        response = encode_response(error.status, headers + error.headers, body, close)
        with contextlib.suppress(ConnectionClosedError):
            connection.send(response, ERROR_SEND_TIMEOUT_NS)

    def end(self, connection: Connection) -> None:
        """Close a connection gracefully.

        The sending side is shut down, and what still arrives is read for a limited time and up to a
        limited size: closing a socket with unread bytes sends a reset, which could discard a
        response in transit. Requests that arrive now are not accepted; the client learns so from
        the end of the connection.
        """
        exchange = self.exchanges.pop(connection, None)
        if exchange:
            denial = preconditions.check_close(exchange.finished, connection.closed)
            invariant(denial is None, "answered-before-close", str(denial))
        try:
            if not connection.closed:
                self.set_state(connection, ClientState.CLOSING)
                connection.end_sending()
                self.linger(connection)
        except ConnectionClosedError:
            pass
        finally:
            self.clients.pop(connection, None)
            self.evicted.discard(connection)
            connection.close()

    def linger(self, connection: Connection) -> None:
        """Read and discard bytes that arrive after the sending side was shut down."""
        deadline = self.loop.now() + LINGER_TIMEOUT_NS
        bytes_left = MAX_LINGER_BYTES
        while bytes_left > 0:
            time_left = deadline - self.loop.now()
            if time_left <= 0:
                return
            try:
                received = len(connection.recv(time_left))
            except ReadInterrupted:  # left over from the response before
                continue
            if not received:
                return
            bytes_left -= received

    # ------------------------------------------------------------ one request

    def serve_request(self, connection: Connection, inbox: Inbox, first: bool) -> bool:
        """Read and answer one request; return whether the connection is kept.

        Raises:
            RequestError: If the request is answered with an error.
        """
        request = self.reader.read(connection, inbox, first)
        if request is None:
            return False
        if self.memory.holds(MemoryKind.READ_AHEAD, inbox):  # less of it than before
            self.memory.charge(MemoryKind.READ_AHEAD, inbox, inbox.held_bytes())
        self.set_state(connection, ClientState.BUSY)
        accepted = self.handle_request(connection, request)
        request.release()
        if accepted is None:
            return not (request.wants_close or self.is_last_response(inbox))
        exchange = accepted.exchange
        exchange.inbox = inbox
        exchange.on_disconnect = partial(self.manager.client_disconnected, accepted.request)
        self.exchanges[connection] = exchange
        self.wait_for_response(connection, inbox, accepted)
        # Unless the response announced that the connection closes, the next request is served.
        return not exchange.close_after and not connection.closed

    def wait_for_response(
        self, connection: Connection, inbox: Inbox, accepted: AcceptedRequest
    ) -> None:
        """Wait until the response is sent, or until the client has ended its sending and thus left.

        Of what follows the request, only a limited number of bytes is kept (see read_ahead.py).
        """
        exchange = accepted.exchange
        inbox.start_read_ahead()
        try:
            while not exchange.finished:
                try:
                    self.read_ahead(connection, inbox, accepted.request)
                except ReadInterrupted:
                    continue
            if exchange.pending_response:
                connection.send(exchange.pending_response, SEND_TIMEOUT_NS)
        except ConnectionClosedError:
            connection.close()
            self.manager.client_disconnected(accepted.request)
        finally:
            exchange.pending_response = b""
            self.memory.give_back(MemoryKind.RESPONSES, exchange)

    def read_ahead(self, connection: Connection, inbox: Inbox, request: Request) -> None:
        """Read bytes that follow the request under way, or only wait if none may be read."""
        awaits_attempts = not request.is_decided()
        if not may_read_ahead(connection, inbox, self.memory, awaits_attempts, self.draining):
            connection.wait_for_hang_up(UNREAD_CHECK_INTERVAL_NS)
            return
        data = connection.recv()
        if not data:
            raise ConnectionClosedError("the client left")
        if not (inbox.malformed() or keep(inbox, len(data), self.memory)):
            for _ in inbox.validate():
                self.loop.end_turn_if_due()
            inbox.drop_further()
            self.memory.charge(MemoryKind.READ_AHEAD, inbox, inbox.held_bytes())
        inbox.buffer_ahead(data, connection.received_at)

    def reject_dropped(self, connection: Connection, inbox: Inbox) -> bool:
        """Reject the requests that were read ahead and not kept; return whether to go on.

        One that has arrived in part is read to its end and rejected, too.
        """
        since = self.loop.now()
        unkept = PartialRequest(connection, inbox, since)
        while True:
            count = inbox.take_dropped()
            is_over = not inbox.malformed() and inbox.stop_dropping()
            self.send_rejections(connection, count, closes=is_over and self.draining)
            if inbox.malformed():
                raise MalformedMessageError(400, "no request")
            if is_over:
                return not self.draining
            try:
                data = self.reader.receive(unkept, since, idle=False)
            except ReadInterrupted:  # left over from the response before
                continue
            if not data:
                return False
            inbox.feed_dropped(data)
            del data  # not to be held while more is awaited

    def send_rejections(self, connection: Connection, count: int, closes: bool) -> None:
        """Send `count` responses that each reject a request of which nothing was kept.

        `closes`: the last one announces that the connection closes.
        """
        headers, body = self.format_error(503, "refused: it may be sent again", **self.overloaded)
        headers.append(("Retry-After", "0"))
        self.manager.count("rejected-read-ahead", count)
        while count > 0:
            batch_size = min(count, REJECTION_BATCH_SIZE)
            count -= batch_size
            last = [encode_response(503, headers, body, close=closes and not count)]
            others = [encode_response(503, headers, body)] * (batch_size - 1)
            connection.send(b"".join(others + last), ERROR_SEND_TIMEOUT_NS)
            self.loop.end_turn_if_due()

    def accept(
        self,
        arrival: RequestArrived,
        outgoing: OutgoingRequest,
        exchange: Exchange,
        key: str,
        received_at: int = 0,
    ) -> AcceptedRequest:
        """Pass a request to the request manager, and charge the account for it until it is over.

        Raises:
            CapacityError: If there is no memory for it.
        """
        if not self.memory.charge(MemoryKind.REQUESTS, exchange, outgoing.held_bytes()):
            raise CapacityError("too many requests are open: it may be sent again", self.overloaded)
        request = self.manager.accept(arrival, key, outgoing, exchange, received_at)
        request.on_forgotten = partial(self.memory.give_back, MemoryKind.REQUESTS, exchange)
        return AcceptedRequest(request, exchange)

    def handle_request(
        self, connection: Connection, request: ClientRequest
    ) -> AcceptedRequest | None:
        """Pass a request to the request manager; None if it was answered here.

        Raises:
            RequestError: If the request is answered with an error.
        """
        raise NotImplementedError
