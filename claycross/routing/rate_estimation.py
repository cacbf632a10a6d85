"""Estimates rates of events with exponentially decaying counts."""

from __future__ import annotations

SECOND = 1_000_000_000  # ns
# Time in which the weight of an event is halved.
HALF_LIFE_NS = 8 * SECOND
LN_2 = 0.693


class RateEstimator:
    """Estimates the recent rate of events by key."""

    def __init__(self) -> None:
        self.totals: dict[str, tuple[float, int]] = {}  # key -> decayed count and its time

    def rate(self, key: str, now: int) -> float:
        """Return the rate of events a nanosecond."""
        total, updated_at = self.totals.get(key, (0.0, now))
        remaining: float = 0.5 ** ((now - updated_at) / HALF_LIFE_NS)
        return total * remaining / (HALF_LIFE_NS / LN_2)

    def count(self, key: str, now: int, events: int = 1) -> None:
        """Add events that happened now."""
        total, updated_at = self.totals.get(key, (0.0, now))
        decayed = total * 0.5 ** ((now - updated_at) / HALF_LIFE_NS)
        self.totals[key] = (decayed + events, now)
