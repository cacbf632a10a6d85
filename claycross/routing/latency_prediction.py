"""Predicts the latency of reads, with a correction learned from recent prediction errors."""

from __future__ import annotations

from ..interface import EngineRole
from .engine import Engine
from .load_estimation import LoadEstimator
from .outlier_detection import INITIAL_READ_PACE_NS, OutlierDetector
from .request_state import Request

# Enumeration members used for each engine or request, bound here to save attribute lookups.
READER = EngineRole.READER
WRITER = EngineRole.WRITER

READ_OVERHEAD_TOKENS = 300  # fixed cost of a read (network, one engine step) in tokens
ERROR_QUANTILE_GAIN = 0.1  # step of a quantile estimate for each read
# Quantiles of the ratio of the measured to the predicted latency of reads.
ERROR_QUANTILES = (0.5, 0.8)
LIKELY_QUANTILE = 0  # index; a read that would be late at this quantile is shed
SAFE_QUANTILE = 1  # index; a read that would be late at this quantile waits
INITIAL_HOME_CACHE_SHARE = 0.5  # share of a prompt assumed to be cached at its home at first
HOME_CACHE_SHARE_GAIN = 0.1  # weight of a new sample of that share


class LatencyPredictor:
    """Predicts latencies and keeps statistics of their error."""

    def __init__(self, health: OutlierDetector, loads: LoadEstimator):
        self.health = health
        self.loads = loads
        self.error_quantiles = [1.0, 1.0]  # estimates, in the order of ERROR_QUANTILES
        self.home_cache_share = INITIAL_HOME_CACHE_SHARE

    def read_latency(self, engine: Engine, tokens: float, now: int) -> float:
        """Return the time until the engine has read so many tokens of a new request."""
        pace = self.health.typical_pace(READER) * self.health.slowness(engine)
        return pace * (self.loads.tokens_ahead(engine, now) + tokens + READ_OVERHEAD_TOKENS)

    def in_place_latency(self, engine: Engine, prompt_tokens: int) -> float:
        """Return the time to the first token at an engine that also reads the prompt."""
        return self.health.typical_pace(engine.role) + INITIAL_READ_PACE_NS * (
            prompt_tokens + READ_OVERHEAD_TOKENS
        )

    def meets_objective(
        self,
        request: Request,
        read_latency: float,
        quantile: int,
        now: int,
        first_tokens: float = 1.0,
    ) -> bool:
        """Return whether the request meets its latency objective at a prediction error quantile.

        The prediction errors account for work of other gateways that this one does not know of. For
        the write, `first_tokens` times the typical time to the first token is added.
        """
        read_latency *= max(1.0, self.error_quantiles[quantile])
        write_latency = first_tokens * self.health.typical_pace(WRITER)
        return now + read_latency + write_latency <= request.objective_at

    def record_read(self, elapsed: int, predicted: float) -> None:
        """Update the prediction error quantiles by the latency of a read."""
        self.error_quantiles = [
            factor * (1 + ERROR_QUANTILE_GAIN * (quantile - (elapsed <= predicted * factor)))
            for factor, quantile in zip(self.error_quantiles, ERROR_QUANTILES, strict=True)
        ]

    def record_home_read(self, cached_tokens: int, prompt_tokens: int) -> None:
        """Update the share of a prompt that is cached at its home."""
        share = min(1.0, cached_tokens / prompt_tokens)
        self.home_cache_share += HOME_CACHE_SHARE_GAIN * (share - self.home_cache_share)
