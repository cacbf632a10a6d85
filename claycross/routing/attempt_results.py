"""Learns from the results of attempts: engine health, reachability, caches and latencies."""

from __future__ import annotations

from ..interface import AttemptFinished, AttemptResult, StreamStarted
from .engine import Attempt, Engine
from .latency_prediction import OVERHEAD_TOKENS
from .request_state import Request, RequestStage
from .shared_state import SharedState

MS = 1_000_000
# For which a writer that said it is full gets no work.
ENGINE_FULL_PAUSE = 150 * MS
# Reads in a row that found less than MISS_SHARE of their credited tokens: the cache was flushed.
MAX_CACHE_MISSES = 2
MISS_SHARE = 1 / 4

GAVE_NO_RESULT = (AttemptResult.TIMEOUT, AttemptResult.CONNECT_FAILED, AttemptResult.CANCELLED)
STOPPED_WAITING = (AttemptResult.TIMEOUT, AttemptResult.CANCELLED)
FAILED_AT_ENGINE = (AttemptResult.RESET, AttemptResult.ERROR)


class AttemptResultRecorder:
    """Records what the end of an attempt says of its engine."""

    def __init__(self, state: SharedState):
        self.settings = state.settings
        self.health = state.health
        self.reachability = state.reachability
        self.load_gossip = state.load_gossip
        self.prefix_cache = state.prefix_cache
        self.predictor = state.predictor

    def record_response(self, engine: Engine, now: int) -> None:
        """The engine gave a sign of life."""
        engine.last_response = now
        self.reachability.zones.engine_responded(engine.entry.zone)

    def record_stream_start(
        self, request: Request, attempt: Attempt, event: StreamStarted, now: int
    ) -> None:
        """The first token of an answer has come."""
        engine = attempt.engine
        self.record_response(engine, now)
        engine.pending.pop((request.id, attempt.number), None)
        self.health.record_success(engine)
        self.health.slow_start.record_served(engine, now)
        if not attempt.in_place:
            self.health.record_pace(engine, event.elapsed, now)

    def record(self, request: Request, attempt: Attempt, event: AttemptFinished, now: int) -> None:
        """An attempt is over."""
        engine = attempt.engine
        streamed = (request.id, attempt.number) not in engine.pending
        no_response = engine.last_response < attempt.sent_at
        self._remove_load(request, attempt, event, now)
        if event.result in STOPPED_WAITING and not streamed and not attempt.in_place:
            self._sample_unfinished(attempt, event, no_response, now)
        if event.result == AttemptResult.LOCAL_ERROR:
            return  # this machine had no socket or route: it says nothing of the engine
        if event.result == AttemptResult.CONNECT_FAILED:
            self.reachability.record_connect_failure(now)
            engine.last_response = 0
        if event.result in GAVE_NO_RESULT:
            self._record_no_result(request, engine, event, no_response, now)
            return
        self.record_response(engine, now)
        if event.result in FAILED_AT_ENGINE:
            self.health.record_failure(engine, now)
        elif event.result == AttemptResult.ENGINE_FULL:
            engine.full_until = now + ENGINE_FULL_PAUSE
        elif event.result == AttemptResult.READ:
            self.health.record_success(engine)
            self._record_read(request, attempt, event, now)
        elif event.result == AttemptResult.OK:
            self.health.record_success(engine)
            if not streamed and not attempt.in_place:
                self.health.record_pace(engine, event.elapsed, now)

    def _remove_load(
        self, request: Request, attempt: Attempt, event: AttemptFinished, now: int
    ) -> None:
        """Subtract the attempt from the load of its engine, and keep the engine's report."""
        engine = attempt.engine
        engine.pending.pop((request.id, attempt.number), None)
        engine.streams.pop(request.id, None)
        if event.result != AttemptResult.READ:  # else the write takes its place
            self.load_gossip.work_ended(request.id)
        if attempt.is_read:
            engine.reading = max(0.0, engine.reading - attempt.uncached_tokens)
        if event.load_report is not None:
            engine.report = event.load_report
            engine.report_at = now

    def _sample_unfinished(
        self, attempt: Attempt, event: AttemptFinished, no_response: bool, now: int
    ) -> None:
        """The result took at least as long as it was waited for.

        Without this sample timeouts would stay short while all engines are slow, and each attempt
        would be dropped just before its turn: a retry storm. Clients leave early, too.
        """
        engine = attempt.engine
        work = 1.0
        if attempt.is_read:
            work = attempt.tokens_ahead + attempt.uncached_tokens + OVERHEAD_TOKENS
        self.health.record_pace(engine, max(engine.pace, event.elapsed / work), now, no_response)

    def _record_no_result(
        self,
        request: Request,
        engine: Engine,
        event: AttemptFinished,
        no_response: bool,
        now: int,
    ) -> None:
        """The engine gave no result; it may be unreachable."""
        connect_failed = event.result == AttemptResult.CONNECT_FAILED
        refused = connect_failed and event.elapsed < self.settings.connect_timeout
        unresponsive = connect_failed or (request.stage != RequestStage.ENDED and no_response)
        if not unresponsive:
            return
        if not refused:
            self.reachability.zones.engine_unresponsive(engine.entry.zone, engine.id, now)
            request.unresponsive_zones.add(engine.entry.zone)
        self.health.record_failure(engine, now, unresponsive=True)

    def _record_read(
        self, request: Request, attempt: Attempt, event: AttemptFinished, now: int
    ) -> None:
        """Learn from a finished read its pace, and what was cached."""
        engine = attempt.engine
        prompt_tokens = request.arrival.prompt_tokens
        self.health.slow_start.record_served(engine, now)
        self.predictor.record_read(event.elapsed, attempt.predicted_latency)
        uncached = max(0, prompt_tokens - event.cached_tokens)
        work = attempt.tokens_ahead + uncached + OVERHEAD_TOKENS
        self.health.record_pace(engine, event.elapsed / work, now)
        if attempt.at_home and prompt_tokens:
            self.predictor.record_home_read(event.cached_tokens, prompt_tokens)
        missed = event.cached_tokens < attempt.credited_tokens * MISS_SHARE
        engine.misses = engine.misses + 1 if missed else 0
        if engine.misses >= MAX_CACHE_MISSES:
            # Its cache was flushed: its other credits are as doubtful.
            self.prefix_cache.forget_reader(engine.id)
        self.prefix_cache.record_read(request.arrival, engine.id, now)
