"""The calls of one request manager to engines: attempts, releases and connection checks."""

from __future__ import annotations

from collections.abc import Callable

from ..interface import EndpointListUpdate, EngineState, UpdateKind
from ..net.address import Endpoint
from ..net.loop import EventLoop
from ..requests.manager import Attempt, RequestManager
from .client import EngineClient
from .http1 import ConnectionPool, Http1Client
from .interface import (
    ERROR,
    NOT_SENT,
    AttemptEnd,
    CallResponse,
    ProtocolNotSupportedError,
    always,
)
from .responses import ResponseReader

HTTP2_PROTOCOL = "h2c"  # protocol of an endpoint whose engine supports HTTP/2 without TLS
MAX_REMOVED_ENGINES = 64  # whose endpoints are kept for releases


class EngineConnections:
    """Makes the calls of one request manager (`requests.engine_protocol.EngineCalls`)."""

    def __init__(self, loop: EventLoop, pool: ConnectionPool, manager: RequestManager):
        self.loop = loop
        self.pool = pool
        self.manager = manager
        self.endpoints: dict[str, Endpoint] = {}  # by engine
        self.removed: dict[str, Endpoint] = {}  # by engine, in the order of their removal
        self.http1 = Http1Client(loop, pool, manager.may_send)
        self.http2: EngineClient | None = None
        self.http2_everywhere = False

    def enable_http2(self, client: EngineClient, everywhere: bool) -> None:
        """Use HTTP/2 for endpoints that offer it.

        If `everywhere`, HTTP/2 is used also for those without a protocol in the endpoint list.
        """
        self.http2 = client
        self.http2_everywhere = everywhere

    def update_endpoints(self, update: EndpointListUpdate, endpoints: dict[str, Endpoint]) -> None:
        """Apply an update of the endpoint list; `endpoints` has its endpoints by engine."""
        before = dict(self.endpoints)
        if update.kind != UpdateKind.CHANGES:
            self.endpoints.clear()
        self.endpoints.update(endpoints)
        for entry in update.entries:
            if entry.state == EngineState.REMOVED:
                self.remove(entry.engine)
        if self.http2:
            self.update_http2(self.http2, update, before, endpoints)

    def remove(self, engine: str) -> None:
        """Remove an engine; its endpoint is kept for a while, for releases."""
        endpoint = self.endpoints.pop(engine, None)
        if endpoint:
            self.removed[engine] = endpoint
        while len(self.removed) > MAX_REMOVED_ENGINES:
            oldest = next(iter(self.removed))
            del self.removed[oldest]

    def update_http2(
        self,
        client: EngineClient,
        update: EndpointListUpdate,
        before: dict[str, Endpoint],
        endpoints: dict[str, Endpoint],
    ) -> None:
        """Notify the HTTP/2 client of the endpoints that were removed or listed again."""
        current = set(self.endpoints.values())
        for endpoint in before.values():
            if endpoint not in current:
                client.endpoint_removed(endpoint)
        for engine, endpoint in endpoints.items():
            if update.kind == UpdateKind.CHANGES or before.get(engine) != endpoint:
                client.endpoint_updated(endpoint)

    def client(self, endpoint: Endpoint) -> EngineClient:
        """Return the client to use for an endpoint."""
        offered = endpoint.protocol == HTTP2_PROTOCOL
        assumed = self.http2_everywhere and not endpoint.protocol
        if self.http2 and (offered or assumed):
            return self.http2
        return self.http1

    def check(self) -> None:
        """Check the invariants of the connections."""
        self.http1.check()
        if self.http2:
            self.http2.check()

    def metrics(self) -> dict[str, int]:
        """Return the counts of the clients for the log, by name."""
        metrics = self.http1.metrics()
        if self.http2:
            metrics |= self.http2.metrics()
        return metrics

    # ------------------------------------------------------------ attempts

    def start(self, attempt: Attempt) -> None:
        """Start an attempt in a task of its own."""
        self.loop.spawn(self.run, attempt, background=attempt.request.payload.background)

    def abort(self, attempt: Attempt) -> bool:
        """End an attempt; return whether the engine may have run a part of it."""
        return attempt.abort is not None and attempt.abort()

    def run(self, attempt: Attempt) -> None:
        """Make an attempt and report its result, also after an unexpected exception."""
        try:
            end = self.attempt(attempt)
        except Exception:
            self.loop.report("attempt")
            end = ERROR
        if not attempt.finished:
            self.manager.attempt_done(attempt, *end)

    def attempt(self, attempt: Attempt) -> AttemptEnd:
        """Make an attempt with a protocol that its engine supports."""
        endpoint = self.endpoints.get(attempt.engine) if self.manager.may_send(attempt) else None
        if endpoint is None:
            return NOT_SENT
        client = self.client(endpoint)
        reader = ResponseReader(self.manager, attempt)
        try:
            return client.attempt(attempt, endpoint, reader)
        except ProtocolNotSupportedError:
            return self.http1.attempt(attempt, endpoint, reader)
        finally:
            reader.release()

    # ------------------------------------------------------------ calls without a client's request

    def call(
        self,
        engine: str,
        method: str,
        target: str,
        on_response: Callable[[CallResponse | None], None],
        is_wanted: Callable[[], bool] = always,
    ) -> None:
        """Make a small idempotent call in a task of its own.

        `is_wanted` is evaluated right before the call is written, as connecting takes time.
        """

        def call_engine() -> None:
            endpoint = self.endpoints.get(engine)
            if endpoint:
                try:
                    response = self.client(endpoint).call(endpoint, method, target, is_wanted)
                except ProtocolNotSupportedError:
                    pass
                else:
                    on_response(response)
                    return
            else:
                endpoint = self.removed.get(engine)
            if endpoint:
                on_response(self.http1.call(endpoint, method, target, is_wanted))
            else:
                on_response(None)

        self.loop.spawn(call_engine)

    def release(
        self,
        engine: str,
        key: str,
        on_result: Callable[[bool], None],
        is_wanted: Callable[[], bool],
    ) -> None:
        """Release the state that an engine holds under this key; report whether it responded."""

        def on_response(response: CallResponse | None) -> None:
            on_result(response is not None)

        self.call(engine, "DELETE", f"/kv/leases/{key}", on_response, is_wanted)

    def check_connection(self, engine: str, on_result: Callable[[bool], None]) -> None:
        """Report whether the engine's machine accepts a new connection.

        Nothing is reported if no connection was tried: for an engine that is not listed, without
        pool capacity, and with HTTP/2, whose few connections are checked by PING.
        """
        endpoint = self.endpoints.get(engine)
        if endpoint is None or self.client(endpoint) is not self.http1:
            return

        def try_connection() -> None:
            accepted = self.http1.accepts_connection(endpoint)
            if accepted is not None:
                on_result(accepted)

        self.loop.spawn(try_connection)
