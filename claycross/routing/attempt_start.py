"""Starts attempts that all rules allow, and records them at their request and engine."""

from __future__ import annotations

from dataclasses import dataclass

from ..fleet.load_gossip import READ, WRITE
from ..interface import EngineState, StartAttempt
from ..requests.preconditions import window_end
from .attempt_supervision import AttemptSupervisor
from .engine import Attempt, Engine
from .request_state import Request, RequestStage
from .retry_rules import earlier_attempts, may_send
from .shared_state import SharedState

MS = 1_000_000  # ns
# Response timeout of an attempt: this multiple of its predicted latency ...
RESPONSE_TIMEOUT_FACTOR = 4.0
# ... plus this time.
RESPONSE_TIMEOUT_BASE_NS = 400 * MS
# Smaller reads are not gossiped: they end before other gateways receive the update.
MIN_GOSSIPED_READ_TOKENS = 1000


@dataclass(frozen=True, slots=True)
class AttemptPlan:
    """The kind of a new attempt and the predictions for it; the fields are those of Attempt."""

    is_read: bool
    predicted_latency: float  # ns
    uncached_tokens: float = 0.0
    credited_tokens: int = 0
    at_home: bool = False


class AttemptStarter:
    """Starts all attempts of a router, so that the rules are checked in one place."""

    def __init__(self, state: SharedState, supervisor: AttemptSupervisor):
        self.settings = state.settings
        self.gossips = state.gossips
        self.health = state.health
        self.loads = state.loads
        self.supervisor = supervisor
        self.load_gossip = state.load_gossip
        self.actions = state.actions

    def _may_start(self, request: Request, engine: Engine, now: int) -> bool:
        """Return whether every rule allows the attempt."""
        if request.stage == RequestStage.ENDED or now >= request.deadline:
            return False
        if len(request.attempts) >= self.settings.max_attempts:
            return False
        if request.attempts_in_flight and not self.settings.may_hedge:
            return False
        return (
            engine.entry.state == EngineState.READY
            and self.health.slow_start.budget(engine, now) > 0
            and may_send(request, engine, now, self.settings.tick)
        )

    def start(self, request: Request, engine: Engine, plan: AttemptPlan, now: int) -> bool:
        """Start an attempt; returns False if a rule forbids it."""
        if not self._may_start(request, engine, now):
            return False
        attempt = self._new_attempt(request, engine, plan, now)
        timeout = self.supervisor.timeout(request, attempt, now)
        not_after = self._not_after(request)
        self._record(request, attempt, now)
        cached_tokens = int(request.arrival.prompt_tokens - attempt.uncached_tokens)
        self.actions.add(
            StartAttempt(
                request.id,
                engine.id,
                timeout,
                not_after,
                int(attempt.predicted_latency),
                cached_tokens,
            )
        )
        return True

    def _new_attempt(
        self, request: Request, engine: Engine, plan: AttemptPlan, now: int
    ) -> Attempt:
        latency_factor = RESPONSE_TIMEOUT_FACTOR * self.supervisor.backoff(engine)
        return Attempt(
            number=len(request.attempts),
            engine=engine,
            is_read=plan.is_read,
            in_place=not plan.is_read and request.state_holder is None,
            sent_at=now,
            uncached_tokens=plan.uncached_tokens,
            predicted_latency=plan.predicted_latency,
            credited_tokens=plan.credited_tokens,
            at_home=plan.at_home,
            response_timeout=int(
                latency_factor * plan.predicted_latency + RESPONSE_TIMEOUT_BASE_NS
            ),
        )

    def _not_after(self, request: Request) -> int:
        """Return the time until which the engines surely drop duplicates of an earlier attempt.

        It is 0 if the request has no idempotency key or no earlier attempt may have run.
        """
        expires_at = window_end(request.request_class, earlier_attempts(request))
        return expires_at - self.settings.tick if expires_at else 0

    def _record(self, request: Request, attempt: Attempt, now: int) -> None:
        """Add a new attempt to its request, to its engine's load and to the gossip."""
        engine = attempt.engine
        request.attempts.append(attempt)
        request.attempts_in_flight += 1
        engine.pending[(request.id, attempt.number)] = attempt
        engine.recent_sends.append((now, 1.0))
        if self.gossips:
            self._gossip_work(request, attempt)
        # The attempt may use up the engine's slow start budget; a half-open engine gets only one.
        self.health.pool.invalidate("candidates", engine.role)
        if attempt.is_read:
            attempt.tokens_ahead = self.loads.tokens_ahead(engine, now)
            engine.reading_tokens += attempt.uncached_tokens
            request.stage = RequestStage.READING
            request.may_hold_state = True
        else:
            engine.streams[request.id] = request.writer_memory
            request.stage = RequestStage.WRITING

    def _gossip_work(self, request: Request, attempt: Attempt) -> None:
        engine_id = attempt.engine.id
        if not attempt.is_read:
            self.load_gossip.work_started(WRITE, request.id, engine_id, request.writer_memory)
        elif attempt.uncached_tokens >= MIN_GOSSIPED_READ_TOKENS:
            self.load_gossip.work_started(READ, request.id, engine_id, attempt.uncached_tokens)
