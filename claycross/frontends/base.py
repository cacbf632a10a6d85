"""What all frontends share: a listening address and its client connections.

Connections are bounded in number and time, so that slow, silent or greedy clients do not hold up
others. What a request means is up to the subclasses.
"""

from __future__ import annotations

import contextlib

from ..invariant import invariant
from ..net.address import Address
from ..net.http1 import (
    MAX_BODY,
    MAX_HEAD,
    Body,
    End,
    Head,
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
    TimeoutExpired,
)
from ..requests import preconditions
from ..requests.manager import RequestManager
from .client_state import (
    EVICTED_WITH_UNREAD_BYTES,
    EVICTION_GRACE,
    EVICTION_ORDER,
    ClientEntry,
    ClientState,
)
from .errors import ErrorContent, RequestError, plain_text
from .exchange import SEND_TIMEOUT, AcceptedRequest, ClientRequest, Exchange, PartialRequest
from .inbox import MAX_READ_AHEAD, Inbox

# A connection without a request is closed then: thousands of clients ask once and stay.
IDLE_TIMEOUT = 2100 * MS
# From the first byte (of the first request: from connecting) until a request is complete.
REQUEST_TIMEOUT = 2200 * MS
# Reading on after the sending side was shut down is bounded in time and in bytes.
LINGER_TIMEOUT = 300 * MS
MAX_LINGER_BYTES = 1 << 20
# Delay of the error responses to malformed requests in a row on a connection; doubles.
ERROR_DELAY = 200 * MS
MAX_ERROR_DELAY = 1600 * MS
MAX_COUNTED_ERRORS = 8  # in a row; more make no difference to the delay
ERROR_SEND_TIMEOUT = SECOND  # for an error response to be taken
TOO_MANY_REQUESTS = 429
# Once as much as UNREAD_LIMIT waits in the socket behind a request that is under way, the end of
# what the client sends could stand behind it unseen. Then one more whole request is read ahead, as
# long as all connections together have read less than MAX_READ_AHEAD_TOTAL so.
UNREAD_LIMIT = 16_384
MAX_FLOODED_READ_AHEAD = MAX_READ_AHEAD + MAX_HEAD + MAX_BODY
MAX_READ_AHEAD_TOTAL = 16 << 20
UNREAD_CHECK_INTERVAL = 25 * MS  # between looks at how much waits unread
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class Frontend:
    """A listening address and its clients; subclasses handle the requests of one protocol."""

    background = False  # whether the connections' tasks run in the background

    def __init__(
        self,
        loop: EventLoop,
        manager: RequestManager,
        listen: Address,
        limit: int,
        inherited_descriptor: int | None = None,
    ):
        """Listen on an address, or an inherited socket, for at most `limit` connections."""
        self.loop = loop
        self.manager = manager
        self.limit = limit
        self.draining = False  # every response says that its connection closes
        self.shedding = False  # and a connection between two requests is closed
        self.clients: dict[Connection, ClientEntry] = {}  # by their last change, the oldest first
        # The last exchange of each connection, for the check when it ends.
        self.exchanges: dict[Connection, Exchange] = {}
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

        Clients that make requests are protected against hundreds that connect and say nothing,
        send half a request, or send malformed requests again and again.
        """
        if len(self.clients) < self.limit:
            return True
        connection = self.connection_to_evict()
        if connection is None:
            return False
        del self.clients[connection]
        self.manager.count("made-way")
        connection.close()
        return True

    def connection_to_evict(self) -> Connection | None:
        """Return the connection that is of least use, if one may be evicted."""
        now = self.loop.now()
        for state in EVICTION_ORDER:
            grace = EVICTION_GRACE[state]
            unread_allowed = state in EVICTED_WITH_UNREAD_BYTES
            for connection, entry in self.clients.items():
                if entry.state is not state or now - entry.since < grace:
                    continue
                if unread_allowed or connection.is_idle():
                    return connection
        return None

    def set_state(self, connection: Connection, state: ClientState) -> None:
        """Note what a connection is doing from now on."""
        self.clients.pop(connection, None)
        self.clients[connection] = ClientEntry(state, self.loop.now())

    def connection_accepted(self, connection: Connection) -> None:
        """Start the task of a new connection."""
        self.set_state(connection, ClientState.SILENT)
        self.loop.spawn(self.serve, connection, background=self.background)

    # ------------------------------------------------------------ draining

    def start_draining(self) -> None:
        """Announce in every response that its connection closes; new ones are still accepted."""
        self.draining = True

    def ends_connections(self, inbox: Inbox | None) -> bool:
        """Return whether a response that is sent now is the last on its connection.

        A request that was read behind the one it answers needs a response of its own. While
        draining nothing is read ahead, so that this comes to an end.
        """
        return self.draining and (inbox is None or inbox.empty())

    def close_idle_connections(self) -> None:
        """Start draining and close connections between requests.

        A new connection is given the time for its first request.
        """
        self.start_draining()
        self.shedding = True
        self.interrupt_idle()

    def stop_draining(self) -> None:
        """Keep connections between requests again, as long as new ones are accepted."""
        if self.listener.open:
            self.draining = False
            self.shedding = False

    def close(self, within: int = 0) -> None:
        """Accept no further connections and close those between requests.

        One that was accepted is given the time for its first request: closed at once, it would be
        answered by nobody. One that waits to be accepted is accepted as soon as there is capacity,
        within this time.
        """
        self.close_idle_connections()
        self.listener.close(within)

    def interrupt_idle(self) -> None:
        """Let the tasks of idle connections look for a request once more, or else end."""
        idle = [
            connection
            for connection, entry in self.clients.items()
            if entry.state is ClientState.IDLE
        ]
        for connection in idle:
            connection.interrupt()

    # ------------------------------------------------------------ the task of one connection

    def serve(self, connection: Connection) -> None:
        """Serve the requests of a connection, one after the other, until it ends."""
        inbox = Inbox()
        errors = 0  # in a row
        try:
            while not connection.closed:
                try:
                    if not self.serve_request(
                        connection, inbox, first=not inbox.messages.head_count
                    ):
                        break
                    errors = 0
                except RequestError as error:
                    if not self.answer_error(connection, inbox, error, errors):
                        break
                    errors = min(errors + 1, MAX_COUNTED_ERRORS)
        except MalformedMessageError as error:
            self.manager.count("malformed")
            self.send_error(connection, RequestError(error.status, str(error)))
        finally:
            self.end(connection)

    def answer_error(
        self, connection: Connection, inbox: Inbox, error: RequestError, errors: int
    ) -> bool:
        """Answer a malformed request after `errors` others; return whether to keep the connection.

        A client that sends the same again as soon as it has the response would take many turns of
        the loop: therefore the response to all but the first is delayed.
        """
        messages = inbox.messages
        self.manager.count("malformed")
        self.manager.count_frontend_rejection(
            messages.head.get("x-priority-class") if messages.head else ""
        )
        if errors and error.status != TOO_MANY_REQUESTS:
            self.set_state(connection, ClientState.REJECTED)
            self.loop.sleep(min(ERROR_DELAY << (errors - 1), MAX_ERROR_DELAY))
        close = not messages.head.keeps_alive() or self.draining or bool(messages.buffer)
        self.send_error(connection, error, close)
        return not close

    def send_error(self, connection: Connection, error: RequestError, close: bool = True) -> None:
        """Send an error response."""
        headers, body = self.format_error(error.status, str(error), **error.details)
        response = encode_response(error.status, headers + error.headers, body, close)
        with contextlib.suppress(ConnectionClosedError):
            connection.send(response, ERROR_SEND_TIMEOUT)

    def end(self, connection: Connection) -> None:
        """Close a connection; this alone does it in an orderly way.

        Nothing more is sent, and what still arrives is read for a moment, up to a bound: closing
        over unread bytes would reset a response that is under way. A request that arrives now is
        not accepted, as the end of the connection tells its client.
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
            connection.close()

    def linger(self, connection: Connection) -> None:
        """Read and discard what arrives after the sending side was shut down."""
        until = self.loop.now() + LINGER_TIMEOUT
        bytes_left = MAX_LINGER_BYTES
        while bytes_left > 0:
            time_left = until - self.loop.now()
            if time_left <= 0:
                return
            try:
                data = connection.recv(time_left)
            except ReadInterrupted:  # left over from the response before
                continue
            if not data:
                return
            bytes_left -= len(data)

    # ------------------------------------------------------------ one request

    def serve_request(self, connection: Connection, inbox: Inbox, first: bool) -> bool:
        """Read and answer one request; return whether the connection is kept.

        Raises:
            RequestError: If the request is answered with an error.
        """
        request = self.read(connection, inbox, first)
        if request is None:
            return False
        self.set_state(connection, ClientState.BUSY)
        accepted = self.handle_request(connection, request)
        if accepted is None:
            return not (request.closes or self.ends_connections(inbox))
        exchange = accepted.exchange
        exchange.inbox = inbox
        self.exchanges[connection] = exchange
        self.wait(connection, inbox, accepted)
        # Where the response did not announce that the connection closes, the next request counts.
        return not exchange.close_after and not connection.closed

    def read(self, connection: Connection, inbox: Inbox, first: bool) -> ClientRequest | None:
        """Read the next request; None when the connection is to be closed."""
        messages = inbox.messages
        start = self.loop.now()
        partial = PartialRequest(inbox.since())
        parts = inbox.next()
        waiting = ClientState.SILENT if first else ClientState.IDLE
        self.set_state(connection, waiting if messages.idle() else ClientState.REQUESTING)
        while True:
            request = self.assemble(connection, partial, parts)
            if request is not None:
                return request
            idle = partial.head is None and messages.idle()
            if idle and self.shedding and not first and connection.is_idle():
                self.manager.count("closed-draining")
                return None
            # The time of a request that waited for its turn runs from then on.
            since = start if first else max(start, partial.received_at)
            try:
                data = self.receive(connection, since, idle)
            except ReadInterrupted:  # left over from the response before
                parts = []
                continue
            if data is None:
                return None
            if not data:
                self.manager.count("closed-by-client")
                messages.eof()
                return None
            if not partial.received_at:
                partial.received_at = connection.received_at
                self.set_state(connection, ClientState.REQUESTING)
            parts = inbox.feed(data, connection.received_at)

    def assemble(
        self, connection: Connection, partial: PartialRequest, parts: list[Head | Body | End]
    ) -> ClientRequest | None:
        """Add parts to a request; return it once it is complete."""
        for part in parts:
            if isinstance(part, Head):
                partial.head = part
                self.send_continue(connection, part)
            elif isinstance(part, Body):
                partial.body.append(part.data)
            elif partial.head is not None:
                received_at = partial.received_at or self.loop.now()
                return ClientRequest(partial.head, b"".join(partial.body), received_at)
        return None

    def send_continue(self, connection: Connection, head: Head) -> None:
        """Ask for the body of a request whose client waits for that (RFC 9110, 10.1.1)."""
        if head.get("expect").lower() == "100-continue":
            connection.send(CONTINUE, SEND_TIMEOUT)

    def receive(self, connection: Connection, since: int, idle: bool) -> bytes | None:
        """Return bytes of a request; None if an idle connection's time is over.

        Raises:
            MalformedMessageError: If the time of a request that has begun is over.
        """
        timeout = IDLE_TIMEOUT if idle else REQUEST_TIMEOUT
        try:
            return connection.recv(max(MS, since + timeout - self.loop.now()))
        except TimeoutExpired:
            if idle:
                self.manager.count("closed-idle")
                return None
            self.manager.count("closed-half-request")
            raise MalformedMessageError(408, "the request did not arrive in time") from None

    def wait(self, connection: Connection, inbox: Inbox, accepted: AcceptedRequest) -> None:
        """Wait until the response is sent; if the client ends its sending, it has gone.

        Only a bounded part of what follows the request is read: the rest waits in the socket, and
        holds up its sender.
        """
        exchange = accepted.exchange
        inbox.look_ahead()
        try:
            while not exchange.finished:
                try:
                    self.read_behind(connection, inbox)
                except ReadInterrupted:
                    continue
            if exchange.out:
                connection.send(exchange.out, SEND_TIMEOUT)
        except ConnectionClosedError:
            connection.close()
            self.manager.client_disconnected(accepted.request)

    def read_behind(self, connection: Connection, inbox: Inbox) -> None:
        """Read some bytes behind a request that is under way, or wait where that is enough."""
        if not self.reads_ahead(connection, inbox):
            connection.wait_for_hang_up(UNREAD_CHECK_INTERVAL)
            return
        data = connection.recv()
        if not data:
            raise ConnectionClosedError("the client left")
        inbox.keep(data, connection.received_at)

    def reads_ahead(self, connection: Connection, inbox: Inbox) -> bool:
        """Return whether to read on while a request is under way."""
        if inbox.ahead.malformed or not (inbox.full() or self.draining):
            return True
        # Once so much waited, all of it has to be read: TCP tells the sender of more room only
        # when the queue is empty.
        inbox.flooded = inbox.flooded or connection.unread_bytes() >= UNREAD_LIMIT
        if not inbox.flooded:
            return False
        total = sum(exchange.inbox.size() for exchange in self.exchanges.values() if exchange.inbox)
        return inbox.size() < MAX_FLOODED_READ_AHEAD and total < MAX_READ_AHEAD_TOTAL

    def handle_request(
        self, connection: Connection, request: ClientRequest
    ) -> AcceptedRequest | None:
        """Hand a request to the request manager; None if it was answered here.

        Raises:
            RequestError: If the request is answered with an error.
        """
        raise NotImplementedError
