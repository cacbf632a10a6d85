"""The HTTP/2 client for engines, by prior knowledge: many requests on few connections.

TLS would be added in `Http2Client.connect()`, which would return the connection once ALPN has
chosen HTTP/2.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from ..interface import AttemptResult
from ..invariant import invariant
from ..net import http2 as wire
from ..net.address import Endpoint
from ..net.http1 import MalformedMessageError
from ..net.loop import MS, Connection, ConnectionClosedError, EventLoop
from ..requests.manager import Attempt
from .connection_pool import ConnectionPool
from .http1 import CALL_TIMEOUT_NS
from .http2_connection import Http2Connection
from .http2_peer import Peer
from .http2_stream import Headers, Stream, StreamRequest
from .interface import (
    CONNECT_FAILED,
    RESET,
    AttemptEnd,
    CallResponse,
    ProtocolNotSupportedError,
    always,
)
from .responses import MAX_UNFORWARDED_BYTES, ResponseReader
from .stream_records import ConnectionLimits, EndReason, StreamFailed, StreamOutcome

URGENT_TICK_INTERVAL_NS = 20 * MS  # while a short timeout is pending at a peer
TICK_INTERVAL_NS = 200 * MS
# Reasons of unprocessed streams that mean that the server has no capacity for the request.
NO_CAPACITY_REASONS = (EndReason.NO_FREE_STREAM, EndReason.QUEUE_FULL, EndReason.REFUSED)
ACCOUNT_METRICS = ("answered", "never", "maybe")  # counts of the accounts among the metrics


class Http2Client:
    """The client of HTTP/2 (`client.EngineClient`)."""

    def __init__(
        self,
        loop: EventLoop,
        pool: ConnectionPool,
        may_send: Callable[[Attempt], bool],
        log: Callable[[str], None],
        limits: ConnectionLimits,
        window: int,
        body_timeout: int,
        background: bool = False,
    ):
        """`window` is the flow-control window of a stream in bytes.

        `body_timeout` is the time in nanoseconds for which a server's flow control may block a
        request body. `may_send` is evaluated right before an attempt is written.
        """
        self.loop = loop
        self.pool = pool
        self.may_send = may_send
        self.log = log
        self.limits = limits
        self.window = window
        self.body_timeout = body_timeout
        self.background = background
        self.peers: dict[Endpoint, Peer] = {}
        self.removed_peers: list[Peer] = []  # not listed any more, with open connections
        self.past_counts: Counter[str] = Counter()  # of removed peers without connections
        self.dialled = 0
        self.is_tick_urgent = False
        self.timer = loop.call_later(TICK_INTERVAL_NS, self.tick)

    def connect(self, endpoint: Endpoint) -> Connection:
        """Return a connection that carries HTTP/2 from the first byte on."""
        return self.pool.dial(endpoint.address)

    def peer(self, endpoint: Endpoint) -> Peer:
        """Return the peer of an endpoint.

        Raises:
            ProtocolNotSupportedError: If the engine is assumed not to support HTTP/2.
        """
        peer = self.peers.get(endpoint)
        if peer is None:
            peer = Peer(self, endpoint)
            self.peers[endpoint] = peer
        if not peer.account.supports_http2(self.loop.now()):
            raise ProtocolNotSupportedError
        return peer

    def all_peers(self) -> list[Peer]:
        """Return the listed peers, and removed ones with open connections."""
        return [*self.peers.values(), *self.removed_peers]

    def endpoint_removed(self, endpoint: Endpoint) -> None:
        """Note that the endpoint list no longer has this process at the endpoint."""
        peer = self.peers.pop(endpoint, None)
        if peer:
            peer.account.removed_from_list()
            self.removed_peers.append(peer)
            peer.run_actions()

    def endpoint_updated(self, endpoint: Endpoint) -> None:
        """Note that an update of the endpoint list has this endpoint again."""
        peer = self.peers.get(endpoint)
        if peer:
            peer.account.listed_again()

    def tick(self) -> None:
        """Handle the expired timeouts of the peers."""
        now = self.loop.now()
        for peer in self.all_peers():
            if peer.connections or peer.account.waiting_count:
                peer.tick(now)
        for peer in [peer for peer in self.removed_peers if not peer.connections]:
            self.removed_peers.remove(peer)
            self.past_counts += peer.account.counts
        self.is_tick_urgent = any(peer.is_urgent() for peer in self.peers.values())
        interval = URGENT_TICK_INTERVAL_NS if self.is_tick_urgent else TICK_INTERVAL_NS
        self.timer = self.loop.call_later(interval, self.tick)

    def expedite_tick(self) -> None:
        """Schedule the next tick soon."""
        if not self.is_tick_urgent:
            self.timer.cancel()
            self.is_tick_urgent = True
            self.timer = self.loop.call_later(URGENT_TICK_INTERVAL_NS, self.tick)

    # ------------------------------------------------------------ attempts and calls

    def attempt(self, attempt: Attempt, endpoint: Endpoint, reader: ResponseReader) -> AttemptEnd:
        """Send the request of an attempt and feed its response to the reader."""
        outgoing = reader.outgoing

        def headers() -> Headers:
            time_left = attempt.timeout - (self.loop.now() - attempt.started_at)
            return [*outgoing.headers, ("X-Timeout-Ms", str(max(1, time_left // MS)))]

        def may_send() -> bool:
            return self.may_send(attempt)

        peer = self.peer(endpoint)
        request = StreamRequest(outgoing.method, outgoing.target, headers, outgoing.body, may_send)
        stream = Stream(peer, request)
        attempt.abort = stream.cancel
        attempt.has_arrived = stream.is_sent
        peer.start(stream, is_call=False, max_wait=self.limits.request_wait)
        try:
            return self.read_response(stream, reader)
        except ConnectionClosedError:
            return RESET
        except MalformedMessageError as error:
            reader.log_malformed(error)
            return RESET
        finally:
            stream.cancel()

    def read_response(self, stream: Stream, reader: ResponseReader) -> AttemptEnd:
        """Feed a response to the reader until it ends."""
        trailers: dict[str, str] = {}
        while True:
            part = stream.next_part(reader.idle_timeout(False))
            match part:
                case None:
                    raise MalformedMessageError(502, "idle timeout")
                case wire.ResponseHead(_, status, headers):
                    # Not earlier: this task learns from the response, or from the outcome of
                    # the stream, that the request was sent.
                    reader.request_sent()
                    reader.head(status, headers)
                case wire.Data(_, data, counted):
                    if data:
                        # This may wait for a slow client, and fills only this stream's window.
                        reader.data(data)
                    stream.data_consumed(counted)
                case wire.Trailers(_, headers):
                    trailers = headers
                case wire.Ended():
                    return reader.end(trailers)
                case StreamFailed(_, outcome, reason):
                    return self.incomplete_end(outcome, reason, reader)

    def incomplete_end(
        self, outcome: StreamOutcome, reason: str, reader: ResponseReader
    ) -> AttemptEnd:
        """Return the result of an attempt whose stream ended without a complete response."""
        if outcome is not StreamOutcome.NOT_PROCESSED:
            reader.request_sent()
            return RESET
        if reason == EndReason.NOT_SUPPORTED:
            raise ProtocolNotSupportedError
        if reason in NO_CAPACITY_REASONS:
            return AttemptEnd(AttemptResult.ENGINE_FULL)
        return CONNECT_FAILED

    def call(
        self,
        endpoint: Endpoint,
        method: str,
        target: str,
        is_wanted: Callable[[], bool] = always,
    ) -> CallResponse | None:
        """Make a small idempotent call; None if there is no response."""
        peer = self.peer(endpoint)
        stream = Stream(peer, StreamRequest(method, target, list, b"", is_wanted))
        peer.start(stream, is_call=True, max_wait=CALL_TIMEOUT_NS)
        try:
            return self.read_small_response(stream)
        finally:
            stream.cancel()

    def read_small_response(self, stream: Stream) -> CallResponse | None:
        """Read a small response as a whole."""
        deadline = self.loop.now() + 2 * CALL_TIMEOUT_NS  # one for the stream, one for the response
        status = 0
        body = b""
        while len(body) <= MAX_UNFORWARDED_BYTES:
            part = stream.next_part(max(MS, deadline - self.loop.now()))
            match part:
                case wire.ResponseHead():
                    status = part.status
                case wire.Data():
                    body += part.data
                    stream.data_consumed(part.flow_controlled_bytes)
                case wire.Ended():
                    return CallResponse(status, body)
                case StreamFailed(_, StreamOutcome.NOT_PROCESSED, EndReason.NOT_SUPPORTED):
                    raise ProtocolNotSupportedError
                case StreamFailed() | None:
                    return None
        return None

    # ------------------------------------------------------------ checks and metrics

    def check(self) -> None:
        """Check the invariants of the accounts, and of the connections against them."""
        for peer in self.all_peers():
            peer.account.check()
            for connection in peer.connections.values():
                self.check_connection(peer, connection)

    def check_connection(self, peer: Peer, connection: Http2Connection) -> None:
        """Check that a connection and the account have the same streams on it."""
        actual = set(connection.streams)
        accounted = set(connection.record.streams)
        invariant(
            connection.closed or actual == accounted,
            "streams-counted",
            f"engine {peer.endpoint} wire {sorted(actual)[:9]} account {sorted(accounted)[:9]}",
        )

    def metrics(self) -> dict[str, int]:
        """Return the client's counts for the log, by name."""
        peers = self.all_peers()
        connections = [connection for peer in peers for connection in peer.connections.values()]
        metrics = {
            "h2_links": len(connections),
            "h2_streams": sum(len(connection.streams) for connection in connections),
            "h2_waiting": sum(peer.account.waiting_count for peer in self.peers.values()),
            "h2_dialled": self.dialled,
        }
        for name in ACCOUNT_METRICS:
            current = sum(peer.account.counts[name] for peer in peers)
            metrics[f"h2_{name}"] = self.past_counts[name] + current
        return metrics
