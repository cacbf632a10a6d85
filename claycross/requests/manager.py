"""The state machines of requests and attempts, which execute the router's decisions.

The manager alone makes the transitions of requests and attempts (docs/lifecycles.md), and
`finish_request` and `finish_attempt` are the only ways into their terminal states. The router
(routing/router.py) decides where a request goes and whether it is rejected. Frontends, engine calls
and the clock are injected; this package uses no protocol and no socket.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from functools import partial
from typing import Any

from .. import interface as i
from ..invariant import invariant
from . import preconditions
from .arrival_watch import ArrivalWatch
from .arrivals import ArrivalControl
from .attempt_checks import AttemptChecks
from .endpoint_directory import EndpointDirectory
from .engine_protocol import EngineCalls
from .memory_account import UNLIMITED_BYTES, MemoryAccount
from .protocols import Clock, Reply
from .records import Attempt, Request, RequestEnd
from .release_coordinator import ReleaseCoordinator, ReleaseGauges
from .request_metrics import ReplyStatus, RequestMetrics
from .request_registry import RequestRegistry
from .reserved_states import ReservationStatus, ReservedStates
from .router_driver import RouterDriver

__all__ = ["Attempt", "Request", "RequestManager"]

MS = 1_000_000  # ns
SECOND = 1_000_000_000  # ns
# From the deadline of a request until it is failed here if the router has not answered it.
DEADLINE_GUARD_NS = 20 * MS
# A stream without data for this time counts as broken. A client may wait at most 5 s after the last
# event; where clients resume streams, resuming is faster than waiting for a silent engine.
IDLE_TIMEOUT_NS = 4500 * MS
RESUMABLE_IDLE_TIMEOUT_NS = 4 * SECOND


class RequestManager(RouterDriver):
    """Manages the requests of one service from their arrival to their single answer."""

    def __init__(
        self,
        settings: i.Settings,
        seed: int,
        clock: Clock,
        log: Callable[[str], None],
        name: str = "chat",
    ) -> None:
        super().__init__(settings, seed, clock, log)
        self.settings = settings
        self.name = name
        generator = random.Random(seed)
        self.registry = RequestRegistry(generator)
        self.requests = self.registry.requests
        self.arrivals = ArrivalControl(settings, clock, self.enqueue, self._reject_unsent)
        self.metrics = RequestMetrics(settings.classes, clock, log)
        self.counts = self.metrics.counts
        self.reply_counts = self.metrics.reply_counts
        self.memory = MemoryAccount(UNLIMITED_BYTES)  # replaced by that of the process
        self.directory = EndpointDirectory(generator)
        self.endpoints = self.directory.endpoints
        self.last_response = self.directory.last_response
        self.checks = AttemptChecks(settings, clock, self.directory, self.metrics)
        self.arrival_watch = ArrivalWatch(clock, self.checks, self.attempt_timed_out)
        self.state_releases = ReleaseCoordinator(
            settings, clock, log, self.directory, self.metrics, self.registry.find
        )
        self.actions |= {
            i.StartAttempt: self.start_attempt,
            i.ReleaseState: self.release_state,
            i.CancelAttempt: self.cancel_attempt,
            i.RejectRequest: self.reject_request,
            i.FailRequest: self.fail_request,
        }

    # ------------------------------------------------------------ used by other packages

    @property
    def engine_calls(self) -> EngineCalls:
        """The engine side; set once it is built."""
        return self.state_releases.in_flight.engine_calls

    @engine_calls.setter
    def engine_calls(self, engine_calls: EngineCalls) -> None:
        self.state_releases.in_flight.engine_calls = engine_calls

    @property
    def stops_at(self) -> int:
        """When a stopping gateway has answered everything; 0: it is not stopping."""
        return self.arrivals.shutdown.ends_at

    @property
    def attempts_sent(self) -> int:
        """Attempts that were completely written to engines."""
        return self.metrics.attempts_sent

    @property
    def last_number(self) -> int:
        """The number of the request that was accepted last."""
        return self.registry.last_number

    @property
    def trace(self) -> Callable[[str], None] | None:
        """The writer of the trace lines of attempts and requests; None: no trace."""
        return self.metrics.trace

    @trace.setter
    def trace(self, trace: Callable[[str], None] | None) -> None:
        self.metrics.trace = trace

    def count(self, name: str, number: int = 1) -> None:
        """Add to a counter."""
        self.metrics.count(name, number)

    def count_frontend_rejection(self, name: str, status: ReplyStatus = ReplyStatus.ERROR) -> None:
        """Count a request of this class that a frontend answered before it was accepted."""
        self.metrics.count_frontend_rejection(name, status)

    def ejected_engines(self) -> list[str]:
        """Return the engines that the router has ejected as outliers at present."""
        now = self.clock.now()
        engines = self.router.health.engines.values()
        return [engine.id for engine in engines if engine.ejected_until > now]

    def pending_releases(self) -> int:
        """Return how many releases a stopping gateway has to wait for."""
        return self.state_releases.pending()

    def release_gauges(self) -> ReleaseGauges:
        """Return the present obligations to release states at engines."""
        return self.state_releases.gauges(self.requests.values())

    def unanswered(self) -> int:
        """Return how many accepted requests are not answered yet."""
        return sum(not request.finished for request in self.requests.values())

    def is_in_flight(self, key: str) -> bool:
        """Tell whether a request with this key is still tracked."""
        return key in self.registry.numbers_by_key

    def check(self) -> None:
        """Check that each attempt which the router counts as in flight exists here."""
        if not self.events:  # a queued event may be the end of an attempt
            self.registry.check_in_flight(self.router.health.engines)

    def attempt_reported(self, event: i.AttemptFinished) -> None:
        """Record that the result of an attempt is about to be reported to the router."""
        self.requests[event.request].unreported_attempts -= 1

    def start_shutdown(self, unrestricted_for: int, ends_in: int, counted_after: int) -> None:
        """Take on only what can be answered in time; see ArrivalControl.start_shutdown()."""
        self.arrivals.start_shutdown(unrestricted_for, ends_in, counted_after)
        self.enqueue(i.ShutdownStarted())

    # ------------------------------------------------------------ the client's side

    def accept(
        self,
        arrival: i.RequestArrived,
        key: str,
        payload: Any,
        reply: Reply,
        received_at: int = 0,
    ) -> Request:
        """Accept a request from a frontend; its single answer goes to `reply`.

        `received_at`: when its last byte arrived; 0: now.
        """
        now = self.clock.now()
        received_at = received_at or now
        fits = self.arrivals.fits(arrival, received_at)
        arrival.request = self.registry.next_number()
        request = Request(
            number=arrival.request,
            key=key,
            payload=payload,
            reply=reply,
            deadline=now + arrival.time_left,
            states=ReservedStates(self.settings.release_within),
            class_name=arrival.class_name,
            prompt_tokens=arrival.prompt_tokens,
            max_output_tokens=arrival.max_output_tokens,
            arrived_at=now,
            received_at=received_at,
        )
        self.registry.add(request)
        self.metrics.request_arrived(request, arrival)
        if fits:
            self.arrivals.admit(request, arrival)
        else:
            # Later, as the frontend does not know the request before this returns.
            self.clock.call_later(0, partial(self.arrivals.reject_during_shutdown, request))
        # Ensures an answer in time even if the router fails to answer the request.
        request.deadline_timer = self.clock.call_later(
            arrival.time_left + DEADLINE_GUARD_NS, partial(self.deadline_passed, request)
        )
        return request

    def admit_waiting(self) -> None:
        """If the endpoint list is fresh, report the requests that waited for it to the router."""
        self.arrivals.admit_waiting()

    def _reject_unsent(self, request: Request, counter: str, retry_after: int) -> None:
        """Reject a request of which nothing has run."""
        self.count(counter)
        self.metrics.request_rejected(request, counter, retry_after)
        self.finish_request(request, RequestEnd.REJECTED)
        request.reply.reject(retry_after)
        self.enqueue(i.RequestAbandoned(request.number))

    def deadline_passed(self, request: Request) -> None:
        """Fail a request that the router has not answered by its deadline.

        In a process that was suspended this may be due before the router has set its own timer, or
        at the same time as that, so the deadline is first reported to the router.
        """
        if not request.is_decided():
            timer = i.Timer(i.TimerKind.REQUEST_DEADLINE, request.number)
            self.enqueue(i.TimerFired(timer))
        self.process_events()
        if request.is_decided():
            return
        self.finish_request(request, RequestEnd.DEADLINE_EXCEEDED)
        request.reply.fail()
        self.enqueue(i.RequestAbandoned(request.number))
        detail = f"request {request.key} was not answered by its deadline"
        invariant(False, "answered-in-time", detail)

    def client_disconnected(self, request: Request) -> None:
        """End a request whose client has disconnected."""
        if request.finished:
            return
        self.finish_request(request, RequestEnd.CLIENT_DISCONNECTED)
        self.enqueue(i.RequestAbandoned(request.number))
        attempt = request.streaming_attempt
        if attempt and not attempt.finished:
            self.engine_calls.abort(attempt)
            self.finish_attempt(attempt, i.AttemptResult.CANCELLED)

    def reject_request(self, action: i.RejectRequest) -> None:
        """Answer a request as rejected if a retry of it is safe; otherwise as failed."""
        request = self.requests.get(action.request)
        if not request or request.is_decided():
            return
        reason = action.reason or "time"
        self.metrics.request_rejected(request, reason, action.retry_after)
        if not self.checks.may_reject(request):
            self.finish_request(request, RequestEnd.FAILED)
            request.reply.fail()
            return
        self.count(f"refused-{reason}")
        self.finish_request(request, RequestEnd.REJECTED)
        request.reply.reject(action.retry_after)

    def fail_request(self, action: i.FailRequest) -> None:
        """Answer a request as failed."""
        request = self.requests.get(action.request)
        if request and not request.is_decided():
            self.finish_request(request, RequestEnd.FAILED)
            request.reply.fail()

    def end_stream(self, attempt: Attempt) -> None:
        """End a stream before its last chunk, so that its client knows that it is not complete."""
        if not attempt.finished:
            self.engine_calls.abort(attempt)
            self.attempt_done(attempt, i.AttemptResult.CANCELLED)

    # ------------------------------------------------------------ the engines' side

    def update_endpoints(self, event: i.EndpointListUpdate) -> None:
        """Apply the endpoint list, or changes to it, and report it to the router."""
        self.directory.update(event)
        self.enqueue(event)

    def engine_responded(self, engine: str) -> None:
        """Record a response of the engine, which shows that it runs and is reachable."""
        self.directory.engine_responded(engine, self.clock.now())

    def start_attempt(self, action: i.StartAttempt) -> None:
        """Start an attempt unless a precondition denies it by now."""
        request = self.requests[action.request]
        attempt = self.checks.new_attempt(request, action)
        denial = self.checks.check_start(attempt)
        request.attempts.append(attempt)
        request.unreported_attempts += 1
        if denial:
            self.metrics.request_denied(request, "attempt", denial)
            self.finish_attempt(attempt, i.AttemptResult.CANCELLED_BEFORE_SEND)
            return
        if not self.may_send(attempt):
            self.finish_attempt(attempt, i.AttemptResult.LOCAL_ERROR)
            return
        attempt.timer = self.clock.call_later(
            attempt.timeout, partial(self.attempt_timed_out, attempt)
        )
        self.arrival_watch.update(request)
        if attempt.is_read:
            begin = partial(self.engine_calls.start, attempt)
            self.state_releases.start_read(attempt, begin)
        else:
            self.engine_calls.start(attempt)

    def may_send(self, attempt: Attempt) -> bool:
        """Tell whether the first byte of an attempt may be sent; called right before it is sent."""
        return self.checks.may_send(attempt)

    def attempt_sent(self, attempt: Attempt) -> None:
        """The last byte of an attempt was sent; a write gets time to arrive before a release."""
        self.metrics.attempts_sent += 1
        attempt.sent_at = self.clock.now()
        self.arrival_watch.update(attempt.request)
        self.state_releases.attempt_sent(attempt)

    def stream_started(self, attempt: Attempt) -> bool:
        """The first token of an attempt arrived. False: the request no longer waits for it."""
        request = attempt.request
        if attempt.finished or request.is_decided():
            return False
        now = self.clock.now()
        request.streaming_attempt = attempt
        attempt.streaming = True
        attempt.last_event_at = now
        request.time_to_first_token = now - request.arrived_at
        self.engine_responded(attempt.engine)
        self.state_releases.answer_started(request)
        if attempt.timer:
            attempt.timer.cancel()
        self.arrivals.shutdown.record_first_token(request.class_name, request.time_to_first_token)
        elapsed = now - attempt.started_at
        self.enqueue(i.StreamStarted(request.number, attempt.number, attempt.engine, elapsed))
        return True

    def forward(self, attempt: Attempt, data: bytes) -> None:
        """Forward a chunk of a stream to the client."""
        if attempt.finished:
            return
        now = self.clock.now()
        attempt.longest_pause = max(attempt.longest_pause, now - attempt.last_event_at)
        attempt.last_event_at = now
        attempt.request.reply.write(data)

    def idle_timeout(self, attempt: Attempt) -> int:
        """Return the stream's idle timeout; 0: not started, so the attempt's timeout applies."""
        if not attempt.streaming:
            return 0
        return RESUMABLE_IDLE_TIMEOUT_NS if self.settings.clients_resume else IDLE_TIMEOUT_NS

    def rejected_by_engine(self, attempt: Attempt, status: int) -> None:
        """Fail a request that an engine rejects as invalid; that is no failure of the engine."""
        request = attempt.request
        if request.is_decided():
            return
        self.log(
            f"engine-rejected-request engine={attempt.engine} request={request.key} status={status}"
        )
        self.finish_request(request, RequestEnd.REJECTED_BY_ENGINE)
        request.reply.fail()
        self.enqueue(i.RequestAbandoned(request.number))

    def attempt_timed_out(self, attempt: Attempt) -> None:
        """End an attempt whose timeout, or whose time to arrive, has expired."""
        if not attempt.finished:
            self._abort_attempt(attempt, i.AttemptResult.TIMEOUT)

    def cancel_attempt(self, action: i.CancelAttempt) -> None:
        """Cancel an attempt that has not started to stream."""
        request = self.requests.get(action.request)
        if not request or action.attempt >= len(request.attempts):
            return
        attempt = request.attempts[action.attempt]
        if not attempt.finished and not attempt.streaming:
            self._abort_attempt(attempt, i.AttemptResult.CANCELLED)

    def _abort_attempt(self, attempt: Attempt, result: i.AttemptResult) -> None:
        was_sent = self.engine_calls.abort(attempt)
        self.finish_attempt(attempt, result if was_sent else i.AttemptResult.CANCELLED_BEFORE_SEND)

    def attempt_done(
        self,
        attempt: Attempt,
        result: i.AttemptResult,
        cached_tokens: int = 0,
        report: i.LoadReport | None = None,
    ) -> None:
        """Finish an attempt that the engine side reports as ended, and its stream if it has one."""
        if attempt.finished:
            return
        request = attempt.request
        if not attempt.streaming or request.finished:
            self.finish_attempt(attempt, result, cached_tokens, report)
            return
        is_complete = result == i.AttemptResult.OK
        if is_complete:
            duration = self.clock.now() - request.arrived_at - request.time_to_first_token
            self.arrivals.shutdown.record_answer(
                request.class_name, request.max_output_tokens, duration, attempt.longest_pause
            )
        self.finish_request(request, RequestEnd.SERVED if is_complete else RequestEnd.STREAM_BROKEN)
        self.finish_attempt(attempt, result, cached_tokens, report)
        request.reply.finish(is_complete)

    # ------------------------------------------------------------ the terminal states

    def finish_request(self, request: Request, end: RequestEnd) -> None:
        """Make a request terminal; the only way into that state.

        Attempts that are still connecting are finished too: where the settings permit no
        cancelling, they would otherwise be sent for a client that has disconnected.
        """
        if not invariant(not request.finished, "one-end", f"request {request.key} {end}"):
            return
        request.finished = True
        self.arrivals.forget(request)
        self.metrics.request_finished(request, end, self.clock.now())
        for attempt in request.attempts:
            if attempt.connecting():
                self.finish_attempt(attempt, i.AttemptResult.CANCELLED_BEFORE_SEND)

    def finish_attempt(
        self,
        attempt: Attempt,
        result: i.AttemptResult,
        cached_tokens: int = 0,
        report: i.LoadReport | None = None,
    ) -> None:
        """Make an attempt terminal and report it to the router; the only way into that state."""
        request = attempt.request
        detail = f"request {request.key} attempt {attempt.number}"
        if not invariant(not attempt.finished, "one-outcome", detail):
            return
        attempt.finished = True
        attempt.result = result
        attempt.abort = attempt.has_arrived = None  # they keep the request's body
        for timer in (attempt.timer, attempt.arrival_timer):
            if timer:
                timer.cancel()
        self.state_releases.attempt_finished(attempt)
        self.count(result)
        if result not in preconditions.NO_RESPONSE:
            self.engine_responded(attempt.engine)
        now = self.clock.now()
        self.metrics.attempt_finished(attempt, cached_tokens, now)
        state_uncertain = request.states.status is ReservationStatus.UNCERTAIN
        self.enqueue(
            i.AttemptFinished(
                request.number,
                attempt.number,
                attempt.engine,
                result,
                now - attempt.started_at,
                cached_tokens,
                request.finished,
                report,
                not attempt.is_read and state_uncertain,
            )
        )

    def release_state(self, action: i.ReleaseState) -> None:
        """Release the states that engines hold for a request."""
        request = self.requests.get(action.request)
        if request:
            self.state_releases.release_request(request)

    def forget_request(self, number: int) -> None:
        """Remove a finished request once the router knows the results of its attempts."""
        request = self.requests.get(number)
        if not request or not request.finished or request.unreported_attempts:
            return
        self.registry.remove(request)
        # Frees memory early: requests, attempts and timers refer to each other, so that bodies of
        # finished requests would stay until a garbage collection or their deadlines.
        if request.deadline_timer:
            request.deadline_timer.cancel()
        request.payload = None
        request.attempts.clear()
        if request.on_forgotten:
            request.on_forgotten()
            request.on_forgotten = None
        detail = f"request {request.key} ended with states at {list(request.states.holders())}"
        released = not request.states.states or request.states_released
        invariant(released or request.streaming_attempt is not None, "let-go", detail)
        self.state_releases.request_forgotten(request)
