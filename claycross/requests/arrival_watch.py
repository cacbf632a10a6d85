"""Ends attempts whose last byte has not arrived when it may not arrive any more.

Bytes that were handed to the system can reach an engine long after they were written: an engine may
accept a connection and read nothing for seconds. An attempt counts once its last byte has arrived,
so what bounds a send also bounds its arrival. The request's deadline, the attempt's timeout, its
cancellation and its client's disconnect abort an attempt at once, whatever has arrived of it; the
window in which engines deduplicate repeats is watched here, until the last byte is acknowledged.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from .attempt_checks import AttemptChecks
from .protocols import Clock
from .records import Attempt, Request


class ArrivalWatch:
    """Holds the latest arrival of each attempt, and ends those that have not arrived by then."""

    def __init__(
        self, clock: Clock, checks: AttemptChecks, end_attempt: Callable[[Attempt], None]
    ) -> None:
        self.clock = clock
        self.checks = checks
        self.end_attempt = end_attempt

    def update(self, request: Request) -> None:
        """Limit the arrival of a request's attempts by the others that may have run by now."""
        for attempt in request.attempts:
            if attempt.finished or attempt.streaming:
                continue
            latest = self.checks.latest_arrival(attempt)
            if not latest or (attempt.arrival_timer and latest >= attempt.latest_arrival):
                continue
            attempt.latest_arrival = latest
            if attempt.arrival_timer:
                attempt.arrival_timer.cancel()
            attempt.arrival_timer = self.clock.call_later(
                max(0, latest - self.clock.now()), partial(self._expire, attempt)
            )

    def _expire(self, attempt: Attempt) -> None:
        """End an attempt that has not arrived; one that is connecting is denied its first byte."""
        if attempt.finished or attempt.streaming or attempt.connecting():
            return
        if attempt.has_arrived is None or not attempt.has_arrived():
            self.end_attempt(attempt)
