"""Rates of events that are averaged over a time with exponential decay."""

from __future__ import annotations

SECOND = 1_000_000_000  # ns
# In which the weight of an event is halved.
HALF_LIFE_NS = 8 * SECOND
LN_2 = 0.693


class RateEstimator:
    """The recent rate of events by key."""

    def __init__(self) -> None:
        self.totals: dict[str, tuple[float, int]] = {}  # key -> decayed count, when it was

    def rate(self, key: str, now: int) -> float:
        """Events a nanosecond."""
        total, updated_at = self.totals.get(key, (0.0, now))
        remaining: float = 0.5 ** ((now - updated_at) / HALF_LIFE_NS)
        return total * remaining / (HALF_LIFE_NS / LN_2)

    def count(self, key: str, now: int, events: int = 1) -> None:
        """Count events."""
        total, updated_at = self.totals.get(key, (0.0, now))
        decayed = total * 0.5 ** ((now - updated_at) / HALF_LIFE_NS)
        self.totals[key] = (decayed + events, now)
