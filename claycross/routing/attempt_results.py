"""Learns from the results of attempts: engine health, reachability, caches and latencies."""

from __future__ import annotations

from ..interface import AttemptFinished, AttemptResult, StreamStarted
from .engine import Attempt, Engine
from .latency_prediction import READ_OVERHEAD_TOKENS
from .request_state import Request, RequestStage
from .shared_state import SharedState

MS = 1_000_000  # ns
# Time for which a writer that reported to be full gets no work.
ENGINE_FULL_PAUSE_NS = 150 * MS
# Consecutive cache misses after which a reader's cache is taken to have been flushed.
MAX_CONSECUTIVE_CACHE_MISSES = 2
# A read is a cache miss if it found less than this share of its credited tokens in the cache.
CACHE_MISS_SHARE = 1 / 4

RESULTS_WITHOUT_ANSWER = (
    AttemptResult.TIMEOUT,
    AttemptResult.CONNECT_FAILED,
    AttemptResult.CANCELLED,
)
RESULTS_OF_ENDED_WAIT = (AttemptResult.TIMEOUT, AttemptResult.CANCELLED)
ENGINE_FAILURE_RESULTS = (AttemptResult.RESET, AttemptResult.ERROR)


class AttemptResultRecorder:
    """Updates what is known of an engine from the results of its attempts."""

    def __init__(self, state: SharedState):
        self.settings = state.settings
        self.health = state.health
        self.reachability = state.reachability
        self.load_gossip = state.load_gossip
        self.prefix_cache = state.prefix_cache
        self.predictor = state.predictor

    def record_response(self, engine: Engine, now: int) -> None:
        """Record any response of the engine."""
        engine.last_response = now
        self.reachability.zones.engine_responded(engine.entry.zone)

    def record_stream_start(
        self, request: Request, attempt: Attempt, event: StreamStarted, now: int
    ) -> None:
        """Record the first token of an answer."""
        engine = attempt.engine
        self.record_response(engine, now)
        engine.pending.pop((request.id, attempt.number), None)
        self.health.record_success(engine)
        self.health.slow_start.record_served(engine, now)
        if not attempt.in_place:
            self.health.record_pace(engine, event.elapsed, now)

    def record(self, request: Request, attempt: Attempt, event: AttemptFinished, now: int) -> None:
        """Record the end of an attempt."""
        engine = attempt.engine
        streamed = (request.id, attempt.number) not in engine.pending
        no_response = engine.last_response < attempt.sent_at
        self._remove_load(request, attempt, event, now)
        if event.result in RESULTS_OF_ENDED_WAIT and not streamed and not attempt.in_place:
            self._sample_unfinished(attempt, event, no_response, now)
        if event.result == AttemptResult.LOCAL_ERROR:
            return  # this machine had no socket or route; the engine is not to blame
        if event.result == AttemptResult.CONNECT_FAILED:
            self.reachability.record_connect_failure(now)
            engine.last_response = 0
        if event.result in RESULTS_WITHOUT_ANSWER:
            self._record_no_result(request, engine, event, no_response, now)
            return
        self.record_response(engine, now)
        if event.result in ENGINE_FAILURE_RESULTS:
            self.health.record_failure(engine, now)
        elif event.result == AttemptResult.ENGINE_FULL:
            engine.full_until = now + ENGINE_FULL_PAUSE_NS
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
        """Subtract the attempt from its engine's load and store the engine's load report."""
        engine = attempt.engine
        engine.pending.pop((request.id, attempt.number), None)
        engine.streams.pop(request.id, None)
        if event.result != AttemptResult.READ:  # the write of the request replaces the read
            self.load_gossip.work_ended(request.id)
        if attempt.is_read:
            engine.reading_tokens = max(0.0, engine.reading_tokens - attempt.uncached_tokens)
        if event.load_report is not None:
            engine.report = event.load_report
            engine.report_at = now

    def _sample_unfinished(
        self, attempt: Attempt, event: AttemptFinished, no_response: bool, now: int
    ) -> None:
        """Record the time that an attempt was waited for as a lower bound of its latency.

        Without this sample, timeouts would stay short while all engines are slow: each attempt
        would time out just before it is served, which is a retry storm. Clients that leave early
        have the same effect.
        """
        engine = attempt.engine
        work = 1.0
        if attempt.is_read:
            work = attempt.tokens_ahead + attempt.uncached_tokens + READ_OVERHEAD_TOKENS
        self.health.record_pace(engine, max(engine.pace, event.elapsed / work), now, no_response)

    def _record_no_result(
        self,
        request: Request,
        engine: Engine,
        event: AttemptFinished,
        no_response: bool,
        now: int,
    ) -> None:
        """Count an attempt without a response as a failure of its engine and its zone."""
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
        """Update the engine's pace, the latency prediction and the prefix cache index."""
        engine = attempt.engine
        prompt_tokens = request.arrival.prompt_tokens
        self.health.slow_start.record_served(engine, now)
        self.predictor.record_read(event.elapsed, attempt.predicted_latency)
        uncached = max(0, prompt_tokens - event.cached_tokens)
        work = attempt.tokens_ahead + uncached + READ_OVERHEAD_TOKENS
        self.health.record_pace(engine, event.elapsed / work, now)
        if attempt.at_home and prompt_tokens:
            self.predictor.record_home_read(event.cached_tokens, prompt_tokens)
        missed = event.cached_tokens < attempt.credited_tokens * CACHE_MISS_SHARE
        engine.consecutive_cache_misses = engine.consecutive_cache_misses + 1 if missed else 0
        if engine.consecutive_cache_misses >= MAX_CONSECUTIVE_CACHE_MISSES:
            # Its cache was flushed, so that its other credits are wrong, too.
            self.prefix_cache.forget_reader(engine.id)
        self.prefix_cache.record_read(request.arrival, engine.id, now)
