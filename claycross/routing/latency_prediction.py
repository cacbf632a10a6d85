"""Predicts how long a read takes, and corrects itself by how wrong it was of late."""

from __future__ import annotations

from ..interface import EngineRole
from .engine import Engine
from .load_estimation import LoadEstimator
from .outlier_detection import INITIAL_READ_PACE_NS, OutlierDetector
from .request_state import Request

# Enumeration members used for each engine or request, bound here to save attribute lookups.
READER = EngineRole.READER
WRITER = EngineRole.WRITER

READ_OVERHEAD_TOKENS = 300  # fixed cost of a read (network, one engine step), as tokens
ERROR_QUANTILE_GAIN = 0.1  # step of the estimate of a prediction error quantile, for each read
# Quantiles of the factor by which reads outlast their prediction.
ERROR_QUANTILES = (0.5, 0.8)
LIKELY_QUANTILE = 0  # index of the quantile that must be met, or else the request is rejected
SAFE_QUANTILE = 1  # index of the quantile that must be met, or else the request waits
INITIAL_HOME_CACHE_SHARE = 0.5  # of a prompt, taken to be cached at its home until reads show it
HOME_CACHE_SHARE_GAIN = 0.1  # weight of a new sample of that share


class LatencyPredictor:
    """Predicted read latencies, and what was learned of their error."""

    def __init__(self, health: OutlierDetector, loads: LoadEstimator):
        self.health = health
        self.loads = loads
        self.error_quantiles = [1.0, 1.0]  # as ERROR_QUANTILES
        self.home_cache_share = INITIAL_HOME_CACHE_SHARE

    def read_latency(self, engine: Engine, tokens: float, now: int) -> float:
        """The time until the engine has read so many tokens of a new request."""
        pace = self.health.typical_pace(READER) * self.health.slowness(engine)
        return pace * (self.loads.tokens_ahead(engine, now) + tokens + READ_OVERHEAD_TOKENS)

    def in_place_latency(self, engine: Engine, prompt_tokens: int) -> float:
        """The time until the first token of an engine that also reads the prompt."""
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
        """Whether the first token comes in time, at a quantile of the recent prediction errors.

        The errors stand for the work of other gateways, which this one does not see. The time of
        `first_tokens` usual first tokens is kept free for the writer.
        """
        read_latency *= max(1.0, self.error_quantiles[quantile])
        writing = first_tokens * self.health.typical_pace(WRITER)
        return now + read_latency + writing <= request.objective_at

    def record_read(self, elapsed: int, predicted: float) -> None:
        """Learn from the latency of a read how wrong predictions are."""
        self.error_quantiles = [
            factor * (1 + ERROR_QUANTILE_GAIN * (quantile - (elapsed <= predicted * factor)))
            for factor, quantile in zip(self.error_quantiles, ERROR_QUANTILES, strict=True)
        ]

    def record_home_read(self, cached_tokens: int, prompt_tokens: int) -> None:
        """Learn how much of a prompt is cached at its home."""
        share = min(1.0, cached_tokens / prompt_tokens)
        self.home_cache_share += HOME_CACHE_SHARE_GAIN * (share - self.home_cache_share)
