"""The HTTP/2 client for engines, by prior knowledge: many requests on few connections.

`Http2Client.opened()` is the place for TLS: once ALPN has chosen HTTP/2, what it returns is the
connection to go on with.
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
from .http1 import CALL_WAIT
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
from .responses import SMALL, ResponseReader
from .stream_records import ConnectionLimits, Over, StreamOutcome

TICK = 20 * MS  # between looks at the accounts, while something waits there
SLOW_TICK = 200 * MS  # and while nothing does
# Reasons for which a stream ended that mean that the server has no capacity for it.
FULL_REASONS = ("no place", "too many wait", "refused")
NOT_SPOKEN_REASON = "not spoken"
COUNTED = ("answered", "never", "maybe")  # counts of the accounts among the metrics


class Http2Client:
    """The client of this protocol (`client.EngineClient`)."""

    def __init__(
        self,
        loop: EventLoop,
        pool: ConnectionPool,
        may_send: Callable[[Attempt], bool],
        log: Callable[[str], None],
        limits: ConnectionLimits,
        window: int,
        body_wait: int,
        background: bool = False,
    ):
        """`window`: of a stream, in bytes; `body_wait`: for the server to take some of a body."""
        self.loop = loop
        self.pool = pool
        self.may_send = may_send
        self.log = log
        self.limits = limits
        self.window = window
        self.body_wait = body_wait
        self.background = background
        self.peers: dict[Endpoint, Peer] = {}
        self.former: list[Peer] = []  # no longer on the list, with connections that are not done
        self.ended_before: Counter[str] = Counter()  # the counts of those that are done
        self.dialled = 0
        self.slow = True
        self.timer = loop.call_later(SLOW_TICK, self.tick)

    def opened(self, endpoint: Endpoint) -> Connection:
        """Return a connection on which HTTP/2 is spoken from its first byte."""
        return self.pool.dial(endpoint.address)

    def peer(self, endpoint: Endpoint) -> Peer:
        """Return the peer of an endpoint.

        Raises:
            ProtocolNotSupportedError: If HTTP/2 is taken not to be spoken there.
        """
        peer = self.peers.get(endpoint)
        if peer is None:
            peer = Peer(self, endpoint)
            self.peers[endpoint] = peer
        if not peer.account.speaks(self.loop.now()):
            raise ProtocolNotSupportedError
        return peer

    def all_peers(self) -> list[Peer]:
        """Return the peers on the list, and former ones that are not done."""
        return [*self.peers.values(), *self.former]

    def forget(self, endpoint: Endpoint) -> None:
        """Note that the process there has left the list, or is another one now."""
        peer = self.peers.pop(endpoint, None)
        if peer:
            peer.account.leave_list(self.loop.now())
            self.former.append(peer)
            peer.work()

    def endpoint_updated(self, endpoint: Endpoint) -> None:
        """Note that the list named this endpoint again."""
        peer = self.peers.get(endpoint)
        if peer:
            peer.account.anew()

    def tick(self) -> None:
        """Do what is due at the peers."""
        now = self.loop.now()
        for peer in self.all_peers():
            if peer.connections or peer.account.waits:
                peer.tick(now)
        for peer in [peer for peer in self.former if not peer.connections]:
            self.former.remove(peer)
            self.ended_before += peer.account.counts
        self.slow = not any(peer.is_urgent() for peer in self.peers.values())
        self.timer = self.loop.call_later(SLOW_TICK if self.slow else TICK, self.tick)

    def hurry(self) -> None:
        """Let the next tick come soon."""
        if self.slow:
            self.timer.cancel()
            self.slow = False
            self.timer = self.loop.call_later(TICK, self.tick)

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
        attempt.abort = stream.leave
        peer.ask(stream, False, self.limits.request_wait)
        try:
            return self.read(stream, reader)
        except ConnectionClosedError:
            return RESET
        except MalformedMessageError as error:
            reader.log_malformed(error)
            return RESET
        finally:
            stream.leave()

    def read(self, stream: Stream, reader: ResponseReader) -> AttemptEnd:
        """Feed a response to the reader until it ends."""
        trailers: dict[str, str] = {}
        while True:
            part = stream.next(reader.idle_timeout(False))
            match part:
                case None:
                    raise MalformedMessageError(502, "the stream stands still")
                case wire.Answered(_, status, headers):
                    # Not before: the response shows whether the end of the body was sent.
                    reader.request_sent()
                    reader.head(status, headers)
                case wire.Data(_, data, counted):
                    if data:
                        # This may wait for a slow client: only this stream's window fills.
                        reader.data(data)
                    stream.took(counted)
                case wire.Trailers(_, headers):
                    trailers = headers
                case wire.Ended():
                    return reader.end(trailers)
                case Over(_, outcome, why):
                    return self.incomplete(outcome, why, reader)

    def incomplete(self, outcome: StreamOutcome, why: str, reader: ResponseReader) -> AttemptEnd:
        """Return how an attempt ended whose stream ended without a complete response."""
        if outcome is not StreamOutcome.NOT_PROCESSED:
            reader.request_sent()
            return RESET
        if why == NOT_SPOKEN_REASON:
            raise ProtocolNotSupportedError
        if why in FULL_REASONS:
            return AttemptEnd(AttemptResult.ENGINE_FULL)
        return CONNECT_FAILED

    def call(
        self,
        endpoint: Endpoint,
        method: str,
        target: str,
        is_wanted: Callable[[], bool] = always,
    ) -> CallResponse | None:
        """Make a small idempotent call; None without a response."""
        peer = self.peer(endpoint)
        stream = Stream(peer, StreamRequest(method, target, list, b"", is_wanted))
        peer.ask(stream, True, CALL_WAIT)
        try:
            return self.read_small(stream)
        finally:
            stream.leave()

    def read_small(self, stream: Stream) -> CallResponse | None:
        """Read a small response as a whole."""
        until = self.loop.now() + 2 * CALL_WAIT  # for its place, and for the response
        status = 0
        body = b""
        while len(body) <= SMALL:
            part = stream.next(max(MS, until - self.loop.now()))
            match part:
                case wire.Answered():
                    status = part.status
                case wire.Data():
                    body += part.data
                    stream.took(part.counted)
                case wire.Ended():
                    return CallResponse(status, body)
                case Over(_, StreamOutcome.NOT_PROCESSED, why) if why == NOT_SPOKEN_REASON:
                    raise ProtocolNotSupportedError
                case Over() | None:
                    return None
        return None

    # ------------------------------------------------------------ for operators

    def check(self) -> None:
        """Check the invariants of the accounts, and of the connections against them."""
        for peer in self.all_peers():
            peer.account.check()
            for connection in peer.connections.values():
                self.check_connection(peer, connection)

    def check_connection(self, peer: Peer, connection: Http2Connection) -> None:
        """Check that a connection and the account have the same streams on it."""
        here = set(connection.streams)
        accounted = set(connection.record.tickets)
        invariant(
            connection.closed or here == accounted,
            "streams-counted",
            f"engine {peer.endpoint} wire {sorted(here)[:9]} account {sorted(accounted)[:9]}",
        )

    def metrics(self) -> dict[str, int]:
        """Return its counts for the log, by name."""
        peers = self.all_peers()
        connections = [connection for peer in peers for connection in peer.connections.values()]
        metrics = {
            "h2_links": len(connections),
            "h2_streams": sum(len(connection.streams) for connection in connections),
            "h2_waiting": sum(peer.account.waits for peer in self.peers.values()),
            "h2_dialled": self.dialled,
        }
        for name in COUNTED:
            ended = sum(peer.account.counts[name] for peer in peers)
            metrics[f"h2_{name}"] = self.ended_before[name] + ended
        return metrics
