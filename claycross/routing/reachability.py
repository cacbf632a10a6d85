"""Prefers engines that this gateway can reach: zones that respond, and open connections."""

from __future__ import annotations

from collections import deque

from ..fleet.zone_reachability import ZoneReachability
from ..requests import preconditions
from .engine import Engine
from .request_state import Request

SECOND = 1_000_000_000  # ns
MIN_CONNECT_FAILURES = 2  # so many within the window: only open connections are used
CONNECT_FAILURE_WINDOW_NS = 2 * SECOND


class Reachability:
    """Which engines can be reached, by the recent results of this gateway."""

    def __init__(self, connection_idle_timeout: int):
        self.connection_idle_timeout = connection_idle_timeout
        self.zones = ZoneReachability()
        self.connect_failures = deque[int](maxlen=MIN_CONNECT_FAILURES)  # when the last ones were

    def record_connect_failure(self, now: int) -> None:
        """A new connection did not come up."""
        self.connect_failures.append(now)

    def connections_fail(self, now: int) -> bool:
        """Whether new connections keep failing at this gateway."""
        failures = self.connect_failures
        if len(failures) < MIN_CONNECT_FAILURES:
            return False
        return now - failures[0] < CONNECT_FAILURE_WINDOW_NS

    def prefer_reachable(self, request: Request, engines: list[Engine], now: int) -> list[Engine]:
        """The engines in reachable zones; while connections fail, those with an open one.

        Each condition is dropped if no engine meets it. This protects requests from cut links, slow
        connection setup and full connection tables; it could crowd the few open connections.
        """
        engines = [
            engine for engine in engines if not self.zones.is_suspect(engine.entry.zone, now)
        ] or engines
        engines = [
            engine for engine in engines if engine.entry.zone not in request.unresponsive_zones
        ] or engines
        all_sent = all(attempt.result not in preconditions.NOT_SENT for attempt in request.attempts)
        if all_sent and not self.connections_fail(now):
            return engines
        return [
            engine
            for engine in engines
            if now - engine.last_response < self.connection_idle_timeout
        ] or engines
