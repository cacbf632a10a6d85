"""A histogram of the event loop's lag, with fixed buckets. It does no I/O and reads no clock."""

from __future__ import annotations

from bisect import bisect_left

from .clock import MS, SECOND

# Upper bounds of the buckets, in ns; a last bucket has no bound.
LAG_BUCKETS_NS = tuple(bound * MS for bound in (1, 2, 5, 10, 20, 50, 100, 200, 500, 1000))


class LagHistogram:
    """Counts iterations of the event loop by their lag."""

    def __init__(self) -> None:
        self.counts = [0] * (len(LAG_BUCKETS_NS) + 1)
        self.total = 0  # ns

    def record(self, lag: int) -> None:
        """Count one iteration, with its lag in nanoseconds."""
        self.counts[bisect_left(LAG_BUCKETS_NS, lag)] += 1
        self.total += lag

    def cumulative(self) -> list[tuple[str, int]]:
        """Return the number of iterations up to each bound, which is given in seconds as text."""
        bounds = [str(bound / SECOND) for bound in LAG_BUCKETS_NS] + ["+Inf"]
        buckets = []
        count = 0
        for bound, count_in_bucket in zip(bounds, self.counts, strict=True):
            count += count_in_bucket
            buckets.append((bound, count))
        return buckets
