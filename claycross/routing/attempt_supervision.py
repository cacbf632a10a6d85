"""Supervises attempts in flight: timeouts, connection checks and unresponsive engines."""

from __future__ import annotations

from collections.abc import Iterable

from ..interface import Action, CancelAttempt, CheckConnection, ConnectionChecked, Settings
from .engine import Attempt, Engine
from .outlier_detection import MAX_BACKED_OFF_TIMEOUTS, OutlierDetector
from .request_state import Request
from .retry_rules import may_cancel

MS = 1_000_000  # ns
# Time beyond an attempt's predicted latency after which its engine is checked by a new connection.
CONNECTION_CHECK_DELAY_NS = 100 * MS
# Failed checks after which the engine counts as unresponsive.
MAX_FAILED_CHECKS = 2
# Factor by which timeouts grow for each consecutive timeout at engines of a role.
TIMEOUT_BACKOFF_FACTOR = 1.5
# Timeout of an attempt at an engine that responds, as a multiple of the response timeout.
RESPONSIVE_TIMEOUT_FACTOR = 3.0


class AttemptSupervisor:
    """Sets the timeouts of attempts and checks the engines of overdue ones."""

    def __init__(self, settings: Settings, health: OutlierDetector):
        self.settings = settings
        self.health = health

    def backoff(self, engine: Engine) -> float:
        """Return the factor on timeouts after consecutive timeouts at the engine's role."""
        return TIMEOUT_BACKOFF_FACTOR ** min(
            self.health.timeouts[engine.role], MAX_BACKED_OFF_TIMEOUTS
        )

    def timeout(self, request: Request, attempt: Attempt, now: int) -> int:
        """Return the time after which a new attempt is given up."""
        time_left = request.deadline - now
        if not may_cancel(request, attempt):
            timeout = time_left
        elif self.settings.may_cancel:
            timeout = int(attempt.response_timeout * RESPONSIVE_TIMEOUT_FACTOR)
        else:
            timeout = attempt.response_timeout
        return min(timeout, max(self.settings.tick, time_left))

    def check_all(self, requests: Iterable[Request], now: int) -> list[Action]:
        """Check all attempts of these requests that wait for a first response.

        This runs for each batch of events, and so in a single loop.
        """
        actions: list[Action] = []
        for request in requests:
            if not request.attempts_in_flight:
                continue
            for attempt in request.attempts:
                if attempt.cancelled or attempt.reported_unresponsive:
                    continue
                if (request.id, attempt.number) in attempt.engine.pending:
                    actions += self._check(request, attempt, now)
        return actions

    def _check(self, request: Request, attempt: Attempt, now: int) -> list[Action]:
        """Check the connection of an overdue attempt; cancel it if the engine is unresponsive."""
        engine = attempt.engine
        if not self.health.is_unresponsive(engine, attempt, now):
            if not self._needs_connection_check(attempt, now):
                return []
            attempt.connection_checked = True
            return [CheckConnection(engine.id)]
        if may_cancel(request, attempt):
            attempt.cancelled = True
            return [CancelAttempt(request.id, attempt.number)]
        # The attempt goes on, but other requests must not be sent to this engine.
        attempt.reported_unresponsive = True
        self.health.record_failure(engine, now, unresponsive=True)
        return []

    def _needs_connection_check(self, attempt: Attempt, now: int) -> bool:
        due_at = attempt.sent_at + int(attempt.predicted_latency) + CONNECTION_CHECK_DELAY_NS
        return (
            self.settings.may_check_connections
            and attempt.engine.last_response < attempt.sent_at
            and now >= due_at
            and not attempt.connection_checked
        )

    def connection_checked(self, event: ConnectionChecked) -> None:
        """End the response timeout of attempts at an engine that can't be reached.

        Otherwise they would wait as long as for a slow engine.
        """
        engine = self.health.engines.get(event.engine)
        if event.reachable or engine is None:
            return
        for attempt in engine.pending.values():
            attempt.failed_connection_checks += 1
            attempt.connection_checked = False
            if attempt.failed_connection_checks >= MAX_FAILED_CHECKS:
                attempt.response_timeout = 0
