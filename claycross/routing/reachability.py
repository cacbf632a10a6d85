"""Prefers engines that this gateway can probably reach, by zone and by open connections."""

from __future__ import annotations

from collections import deque

from ..fleet.zone_reachability import ZoneReachability
from ..requests import preconditions
from .engine import Engine
from .request_state import Request

SECOND = 1_000_000_000  # ns
# Failures of new connections within the window after which open connections are preferred.
MIN_CONNECT_FAILURES = 2
CONNECT_FAILURE_WINDOW_NS = 2 * SECOND


class Reachability:
    """Tracks which engines can be reached, by the recent attempts of this gateway."""

    def __init__(self, connection_idle_timeout: int):
        self.connection_idle_timeout = connection_idle_timeout
        self.zones = ZoneReachability()
        self.connect_failures = deque[int](maxlen=MIN_CONNECT_FAILURES)  # times

    def record_connect_failure(self, now: int) -> None:
        """Record that a new connection was not established."""
        self.connect_failures.append(now)

    def connections_fail(self, now: int) -> bool:
        """Return whether new connections of this gateway have failed repeatedly of late."""
        failures = self.connect_failures
        if len(failures) < MIN_CONNECT_FAILURES:
            return False
        return now - failures[0] < CONNECT_FAILURE_WINDOW_NS

    def prefer_reachable(self, request: Request, engines: list[Engine], now: int) -> list[Engine]:
        """Return the engines in reachable zones and, while connections fail, with an open one.

        A condition that no engine meets is ignored. This protects requests from cut links, slow
        connection setup and full connection tables. Its risk is to crowd the few engines with an
        open connection.
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
