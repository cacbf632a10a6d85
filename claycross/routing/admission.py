"""Admission control: whether a queued request starts, waits, or is rejected early."""

from __future__ import annotations

from collections.abc import Iterable
from enum import StrEnum

from ..interface import EngineRole, RequestClass, Settings
from .engine import Engine
from .latency_prediction import LIKELY_QUANTILE, SAFE_QUANTILE, LatencyPredictor
from .load_estimation import LoadEstimator
from .outlier_detection import OutlierDetector
from .request_state import Request, RequestStage
from .retry_budget import RetryBudget
from .tenant_quota import TenantQuotas

# Stages of requests that will soon need memory at a writer.
STAGES_RESERVING_WRITER_MEMORY = (RequestStage.READING, RequestStage.AWAITING_WRITER)
# Time kept free for the write when a read is admitted, as a multiple of the typical time to the
# first token.
RESERVED_FIRST_TOKENS = 2.0


class ReadDecision(StrEnum):
    """The decision on a read."""

    START = "start"
    WAIT = "wait"  # it may miss its latency objective
    SHED = "shed"  # it would miss its latency objective and delay other requests


class AdmissionControl:
    """Decides which requests start, by quota, priority, latency objective and writer memory."""

    def __init__(
        self,
        settings: Settings,
        health: OutlierDetector,
        loads: LoadEstimator,
        predictor: LatencyPredictor,
    ):
        self.settings = settings
        self.health = health
        self.loads = loads
        self.predictor = predictor
        self.tenant_quotas = TenantQuotas(settings)
        self.retry_budget = RetryBudget()

    def record_arrival(self, request: Request, now: int) -> None:
        """Count a new request against its tenant's quota and towards the retry budget."""
        request.over_quota = self.tenant_quotas.over_quota(request.arrival.tenant, now)
        self.retry_budget.record_request()

    def priority(self, request: Request) -> float:
        """Return the priority of a queued request; the highest goes first."""
        weight = request.request_class.priority_weight
        return weight * (self.settings.over_quota_weight if request.over_quota else 1.0)

    def in_order(self, queued: Iterable[Request]) -> list[Request]:
        """Sort queued requests by priority, and the oldest first among equals."""
        return sorted(
            queued,
            key=lambda request: (-self.priority(request), request.arrived_at, request.id),
        )

    def free_writer_memory(
        self, writers: list[Engine], requests: Iterable[Request], now: int
    ) -> float:
        """Return this gateway's share of the free writer memory, in tokens.

        What its reads in flight will need is subtracted. Writers that have not served an attempt
        since their ejection don't count: a dead writer looks empty, and reads would pile up.
        """
        trusted = [engine for engine in writers if not engine.ejections] or writers
        free = sum(max(0.0, self.loads.free_memory(engine, now)) for engine in trusted)
        reserved = sum(
            request.writer_memory
            for request in requests
            if request.stage in STAGES_RESERVING_WRITER_MEMORY
        )
        return (
            self._sample_scale(writers) * free / self.loads.gateways_sharing_memory(now) - reserved
        )

    def _sample_scale(self, writers: list[Engine]) -> float:
        """Return the number of writers in the fleet for each one in the sample."""
        if not self.health.pool.large:
            return 1.0
        writer_count = len(self.health.pool.ready(EngineRole.WRITER))
        writer_count += len(self.health.pool.ready(EngineRole.MIXED))
        return max(1.0, writer_count / max(1, len(writers)))

    def decide_read(
        self, request: Request, reader: Engine, predicted_latency: float, now: int
    ) -> ReadDecision:
        """Decide whether a read starts at this reader, waits, or is shed.

        An idle reader takes any read. A read that may miss its latency objective waits in the
        gateway's queue, where it costs no reader anything, until it can be started or shed.
        """
        if not self.loads.tokens_ahead(reader, now):
            return ReadDecision.START
        if self._meets_objective(request, predicted_latency, SAFE_QUANTILE, now):
            return ReadDecision.START
        if self._meets_objective(request, predicted_latency, LIKELY_QUANTILE, now):
            return ReadDecision.WAIT
        return ReadDecision.SHED

    def _meets_objective(self, request: Request, latency: float, quantile: int, now: int) -> bool:
        return self.predictor.meets_objective(
            request, latency, quantile, now, RESERVED_FIRST_TOKENS
        )

    def readers_for_late_request(
        self, request_class: RequestClass, readers: list[Engine], now: int
    ) -> list[Engine]:
        """Return the idle readers if the request's class has a weight for late answers.

        Without this, requests would be rejected during a lasting shortage of readers while some of
        them are idle.
        """
        if not request_class.late_weight:
            return []
        return [engine for engine in readers if not self.loads.tokens_ahead(engine, now)]
