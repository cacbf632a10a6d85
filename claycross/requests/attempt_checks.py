"""Whether an attempt may begin and be sent, and whether a request may be answered as rejected.

The router applies the rules of preconditions.py before it decides. They are applied again here,
right before the action is taken, to what this gateway knows by then.
"""

from __future__ import annotations

from collections.abc import Iterator

from .. import interface as i
from ..invariant import invariant
from . import preconditions
from .endpoint_directory import EndpointDirectory
from .protocols import Clock
from .records import Attempt, Request
from .request_metrics import RequestMetrics


class AttemptChecks:
    """Creates attempts and checks them against the preconditions."""

    def __init__(
        self,
        settings: i.Settings,
        clock: Clock,
        directory: EndpointDirectory,
        metrics: RequestMetrics,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.directory = directory
        self.metrics = metrics

    def new_attempt(self, request: Request, action: i.StartAttempt) -> Attempt:
        """Create the record of an attempt that the router asks for."""
        now = self.clock.now()
        endpoint = self.directory.endpoints.get(action.engine)
        role = self.settings.roles.get(endpoint.machine_kind) if endpoint else None
        time_left = request.deadline - now
        return Attempt(
            request=request,
            number=len(request.attempts),
            engine=action.engine,
            is_read=role == i.EngineRole.READER,
            started_at=now,
            timeout=max(0, min(action.timeout or time_left, time_left)),
            latest_arrival=action.not_after,
            predicted_latency=action.predicted_latency,
            predicted_cached_tokens=action.predicted_cached_tokens,
            endpoint=endpoint,
            needs_state=role == i.EngineRole.WRITER and not self.settings.writers_can_read,
        )

    def check_start(self, attempt: Attempt) -> preconditions.Denial | None:
        """Return why a new attempt may not begin; None: it may.

        A denial that the router should have foreseen is reported as a violated invariant.
        """
        request = attempt.request
        facts = preconditions.StartFacts(
            request_over=request.finished,
            streaming=request.streaming_attempt is not None,
            time_left=attempt.timeout,
            attempts=len(request.attempts),
            max_attempts=self.settings.max_attempts,
            others_in_flight=request.unreported_attempts,
            may_hedge=self.settings.may_hedge,
        )
        denial = preconditions.check_start(facts)
        hedge_denied = denial is preconditions.Denial.HEDGE_NOT_ALLOWED
        invariant(not hedge_denied, "one-copy", f"request {request.key}")
        spec = self.settings.classes.get(request.class_name)
        if denial or not spec or not attempt.endpoint:
            return denial
        earlier = self.effective_attempts(request)
        now = attempt.started_at
        denial = preconditions.check_retry(spec, earlier, attempt.endpoint, now, 0)
        detail = f"request {request.key} at {attempt.engine}: {denial}"
        invariant(not denial, "may-repeat", detail)
        return denial

    def may_send(self, attempt: Attempt) -> bool:
        """Tell whether the first byte of an attempt may be sent; called right before it is sent.

        While the attempt was connecting, its engine may have begun to drain, its client may have
        disconnected, or the window in which the request may be retried may have ended.
        """
        request = attempt.request
        facts = preconditions.SendFacts(
            attempt_over=attempt.finished,
            request_over=request.finished,
            client_left=request.reply.client_disconnected(),
            engine=self.directory.endpoints.get(attempt.engine),
            latest_arrival=attempt.latest_arrival,
            now=self.clock.now(),
            state_held=not attempt.needs_state or request.states.state_may_exist(),
        )
        denial = preconditions.check_send(facts)
        if denial:
            self.metrics.request_denied(request, "send", denial)
        return denial is None

    def may_reject(self, request: Request) -> bool:
        """Tell whether a request may be answered as rejected; if not, an invariant is violated."""
        spec = self.settings.classes.get(request.class_name)
        denial = None
        if spec:
            denial = preconditions.check_rejection(spec, self.effective_attempts(request))
        return invariant(not denial, "may-refuse", f"request {request.key}: {denial}")

    def latest_arrival(self, attempt: Attempt) -> int:
        """Return by when an attempt has to arrive, as others may have run; 0: no limit."""
        spec = self.settings.classes.get(attempt.request.class_name)
        if spec is None:
            return attempt.latest_arrival
        others = self.effective_attempts(attempt.request, excluded=attempt)
        end = preconditions.window_end(spec, others)
        limits = [end - self.settings.tick if end else 0, attempt.latest_arrival]
        return min((limit for limit in limits if limit), default=0)

    def effective_attempts(
        self, request: Request, excluded: Attempt | None = None
    ) -> Iterator[preconditions.EarlierAttempt]:
        """Return the attempts of a request that may have run, as far as this gateway knows."""
        for attempt in request.attempts:
            if attempt is excluded or not attempt.endpoint or attempt.connecting():
                continue
            if preconditions.may_have_run(attempt.is_read, attempt.result):
                yield preconditions.EarlierAttempt(
                    attempt.started_at, attempt.endpoint.zone, attempt.endpoint.cell
                )
