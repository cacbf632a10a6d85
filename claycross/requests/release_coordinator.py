"""The release of states that engines reserve for requests.

A read creates a state at its engine, which reserves it for the write that follows. If no write
follows, the engine has to be asked to release it within a time given by the settings. The
coordinator owns the states of all requests, their timers and the reads that wait for a release.
reserved_states.py records which states of one request may exist and computes when they have to be
released; releases_in_flight.py makes the calls.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from functools import partial
from typing import NamedTuple

from .. import interface as i
from . import preconditions
from .endpoint_directory import EndpointDirectory
from .protocols import Clock
from .records import Attempt, Request, WaitingRead
from .releases_in_flight import ReleasesInFlight
from .request_metrics import RequestMetrics
from .reserved_states import ABANDONED_RESULTS, ABANDONED_WRITE_NS
from .state_release import StateRelease

MS = 1_000_000  # ns
# The states of a request that is over have a clock for this multiple of the release time. Then only
# the calls to a silent holder go on.
ENDED_CLOCK_FACTOR = 4
# Before states are due beside a read in flight, its engine is sent liveness checks, these shares of
# the release time earlier. While it runs, the states need not be released.
LIVENESS_CHECK_SHARES = (0.7, 0.4)
MAX_ENDED_REQUESTS = 4096  # bounds the memory


class ReleaseGauges(NamedTuple):
    """The present obligations to release states."""

    states: int  # that engines may hold for requests
    oldest_age: int  # of these, in ns since its read ended; 0: there is none
    releases: int  # in flight


class EndedRequest(NamedTuple):
    """A request that is over but may have left states, and since when."""

    request: Request
    at: int


def _always() -> bool:
    """Tell that a call is wanted."""
    return True


@dataclass(eq=False)
class ReleaseCoordinator:
    """Owns the states that engines may hold for requests, and their timers."""

    settings: i.Settings
    clock: Clock
    log: Callable[[str], None]
    directory: EndpointDirectory
    metrics: RequestMetrics
    find_request: Callable[[str], Request | None]  # by its key
    in_flight: ReleasesInFlight = field(init=False)
    # Requests that are over, by key, and may have left states.
    ended: dict[str, EndedRequest] = field(init=False, default_factory=dict)
    ended_key: str = field(init=False, default="")  # of a request that is over

    def __post_init__(self) -> None:
        """Create the releases in flight, of which there are none."""
        self.in_flight = ReleasesInFlight(
            self.settings.release_within,
            self.clock,
            self.log,
            self.directory,
            self.metrics,
            self,
        )

    # ------------------------------------------------------------ states

    def attempt_finished(self, attempt: Attempt) -> None:
        """Update which engines may hold states for the request by the result of an attempt."""
        request = attempt.request
        result = attempt.result
        states = request.states
        now = self.clock.now()
        if attempt.is_read:
            states.read_ended(attempt.engine, result, now)
            request.states_released = False
        else:
            abandoned = result in ABANDONED_RESULTS and not attempt.streaming
            states.write_ended(now, abandoned)
            if abandoned:
                request.write_abandoned = True
        if result in preconditions.RESPONSES:
            states.attempt_responded(now)
        self.start_timer(request)

    def answer_started(self, request: Request) -> None:
        """Record the first token of the answer: the engines have released all states by now."""
        request.states.answer_started(self.clock.now())
        self.stop_timer(request)

    def release_request(self, request: Request) -> None:
        """Release the state at every engine that may hold one for the request.

        Its states stay on record until acknowledged releases have ended them. An engine ignores
        the first call while an abandoned write still waits for the state there.
        """
        request.states_released = True
        for engine, may_be_silent in request.states.holders().items():
            self.in_flight.start(engine, request.key, may_be_silent)
            if request.finished and request.write_abandoned:
                self.in_flight.repeat(engine, request.key, may_be_silent, ABANDONED_WRITE_NS)

    def request_forgotten(self, request: Request) -> None:
        """Keep the states of a request that is over, until they are released for good."""
        if self.find_request(request.key) is not None:
            self.stop_timer(request)  # the key refers to another request
            return
        if not request.states.states:
            self.stop_timer(request)
            self.ended_key = request.key
            return
        while len(self.ended) >= MAX_ENDED_REQUESTS:
            self.metrics.count("release-dropped")
            self._forget_ended(next(iter(self.ended.values())).request)
        self.ended[request.key] = EndedRequest(request, self.clock.now())

    def _forget_ended(self, request: Request) -> None:
        """Stop the clocks of a request that is over; releases in flight go on."""
        self.ended.pop(request.key, None)
        self.stop_timer(request)

    def _ended_long_ago(self, request: Request) -> bool:
        """Tell whether the states of a request that is over need no clock any longer."""
        ended = self.ended.get(request.key)
        if not ended or ended.request is not request:
            return False
        limit = ENDED_CLOCK_FACTOR * self.settings.release_within
        replaced = self.find_request(request.key) is not None
        return replaced or self.clock.now() - ended.at > limit

    def _find(self, key: str) -> Request | None:
        """Return the request with this key, also if it is over and has states on record."""
        request = self.find_request(key)
        if request is None and key in self.ended:
            return self.ended[key].request
        return request

    def start_read(self, attempt: Attempt, start: Callable[[], None]) -> None:
        """Start a read once releases cover all states that earlier reads may have left.

        A release during the read would also apply to the state that the read creates. A release
        after the read might be late, as the read may never arrive while its engine is silent. If no
        engine acknowledges a release until the states are due, the read starts nevertheless, and
        the releases go on beside it.
        """
        request = attempt.request
        holders = request.states.uncovered_holders()
        if not holders:
            start()
            return
        request.waiting_read = WaitingRead(attempt, start)
        for engine, may_be_silent in holders.items():
            self.in_flight.start(engine, request.key, may_be_silent, urgent=True)
        self.start_timer(request)

    def _start_waiting_read(self, request: Request) -> None:
        """Start the read that waits for releases, if there is one that is still wanted."""
        waiting = request.waiting_read
        request.waiting_read = None
        if waiting and not waiting.attempt.finished:
            waiting.start()

    def stop_timer(self, request: Request) -> None:
        """Cancel the timer of the request's states."""
        if request.release_timer:
            request.release_timer.cancel()
            request.release_timer = None

    def start_timer(self, request: Request, due: int | None = None) -> None:
        """Set the timer of the request's states; `due`: when it expires, None: by their records.

        While an answer is streamed, its attempt is at a running engine and no state is due.
        """
        self.stop_timer(request)
        if not request.states.states or (request.streaming_attempt and not request.finished):
            return
        if due is None:
            due = request.states.due()
        if due is None:
            return
        now = self.clock.now()
        wake_at = due
        if self._may_check_liveness(request):
            wake_at = next((at for at in self._liveness_check_times(due) if at > now), due)
        wait = max(0, wake_at - now)
        request.release_timer = self.clock.call_later(wait, partial(self._wake, request, due))

    def _liveness_check_times(self, due: int) -> list[int]:
        """Return when the engines of reads in flight are checked before states are due."""
        return [due - int(share * self.settings.release_within) for share in LIVENESS_CHECK_SHARES]

    def _wake(self, request: Request, due: int) -> None:
        """Check the engines of reads in flight, or release the states that are due."""
        request.release_timer = None
        self._note_running_reads(request)
        now = self.clock.now()
        if now >= due:
            self.states_due(request)
        elif self._was_postponed(request, due):
            self.start_timer(request)
        else:
            self._check_liveness(request, now)
            self.start_timer(request, due)

    def _was_postponed(self, request: Request, due: int) -> bool:
        """Tell whether the clocks were restarted since the timer was set for this time."""
        present = request.states.due()
        return present is None or present > due

    def attempt_sent(self, attempt: Attempt) -> None:
        """Give a write whose last byte was sent time to arrive before its state is released."""
        request = attempt.request
        if not request.release_timer:
            return
        due = None if attempt.is_read else request.states.due_after_send(self.clock.now())
        self.start_timer(request, due)

    def _may_check_liveness(self, request: Request) -> bool:
        """Tell whether a response of the engine of a read in flight could postpone releases."""
        return (
            self.settings.may_probe
            and self.ended_key != ""
            and any(attempt.is_read and attempt.sent_at for attempt in request.attempts_in_flight())
            and not request.states.uncovered_holders()
        )

    def _check_liveness(self, request: Request, now: int) -> None:
        """Ask the engines of reads in flight for any response that does not wait in their queues.

        The call is the release of a request that is over: it has no effect, and each engine that
        runs answers it at once, whereas a health check may wait behind the requests of the engine.
        """
        for attempt in request.attempts_in_flight():
            if attempt.is_read:
                self.metrics.count("liveness-check")
                finished = partial(self._liveness_check_finished, attempt, now)
                self.in_flight.engine_calls.release(
                    attempt.engine, self.ended_key, finished, _always
                )

    def _liveness_check_finished(self, attempt: Attempt, sent_at: int, acknowledged: bool) -> None:
        """Restart the clocks if the read is still in flight: its engine ran after this time."""
        if not acknowledged:
            return
        self.directory.engine_responded(attempt.engine, self.clock.now())
        if attempt.in_flight() and self.directory.is_same_process(attempt.endpoint):
            attempt.request.states.attempt_seen_running(sent_at)
            self.start_timer(attempt.request)

    def _note_running_reads(self, request: Request) -> None:
        """Record the latest response of the engine of each read in flight since it was sent."""
        for attempt in request.attempts_in_flight():
            same_process = self.directory.is_same_process(attempt.endpoint)
            if attempt.is_read and attempt.sent_at and same_process:
                responded_at = self.directory.last_response.get(attempt.engine, 0)
                if responded_at > attempt.sent_at:
                    request.states.attempt_seen_running(responded_at)

    def states_due(self, request: Request) -> None:
        """Release the states of a request whose time is over, whatever attempt is in flight.

        A write that has arrived is not affected. A read that has completed meanwhile loses its
        state, and the write that follows is rejected as never run.
        """
        states = request.states
        now = self.clock.now()
        due, due_while_connecting = states.due(), states.due_while_connecting()
        if due is None or due_while_connecting is None:
            return
        if now < due and any(attempt.is_read for attempt in request.attempts_in_flight()):
            self.start_timer(request)
            return
        write_connecting = any(
            attempt.connecting() and not attempt.is_read for attempt in request.attempts
        )
        if write_connecting and now < due_while_connecting:
            self.start_timer(request, due_while_connecting)
            return
        if self._ended_long_ago(request):
            self._forget_ended(request)
            return
        if request.key not in self.ended:
            calls = {
                engine: self.in_flight.calls_made(request.key, engine)
                for engine in states.holders()
            }
            self.metrics.states_due(request, self.directory.last_response, calls, now)
        states.expire(now, bool(request.attempts_in_flight()))
        for engine, may_be_silent in states.holders().items():
            self.in_flight.start(engine, request.key, may_be_silent, urgent=True)
        self._start_waiting_read(request)
        self.start_timer(request)

    # ------------------------------------------------------------ results of releases

    def state_count(self, key: str) -> int:
        """Return how many states were created for the request with this key."""
        request = self.find_request(key)
        return request.states.state_count if request else 0

    def release_acknowledged(self, key: str, engine: str, called_at: int) -> None:
        """Update the states of the request that was released, and start a waiting read."""
        request = self._find(key)
        if not request:
            return
        write_in_flight = any(not attempt.is_read for attempt in request.attempts_in_flight())
        request.states.release_acknowledged(
            engine, called_at, self.clock.now(), write_in_flight=write_in_flight
        )
        self._states_changed(request)

    def holder_removed(self, key: str, engine: str) -> None:
        """Forget the states of an engine that does not acknowledge and is no longer listed."""
        request = self._find(key)
        if request:
            request.states.holder_removed(engine)
            self._states_changed(request)

    def _states_changed(self, request: Request) -> None:
        """Start a read that has waited for this, and set the timer by the present records."""
        if request.waiting_read and not request.states.uncovered_holders():
            for engine in request.states.holders():
                # Its next calls would hit the state of the read.
                self.in_flight.end_latest(request.key, engine)
            self._start_waiting_read(request)
        if not request.states.states:
            self.ended.pop(request.key, None)
        self.start_timer(request)

    def is_stale(self, release: StateRelease) -> bool:
        """Tell whether a call that is made now would hit a state that the request needs.

        A call releases the request's states at all engines. This keeps repeated calls of a release
        from hitting the state of a later read; after the first token the engines have released
        everything. A release that is due is made in spite of an attempt in flight, and beside a
        read until one engine has acknowledged it. The states that it is for stay on record with a
        clock of their own.
        """
        request = self.find_request(release.key)
        if not request or request.finished:
            return False
        if request.streaming_attempt or request.states.state_count > release.state_count:
            return True
        in_flight = request.attempts_in_flight()
        if any(attempt.is_read for attempt in in_flight):
            return release.relayed or not release.urgent
        return bool(in_flight) and not release.urgent

    def gauges(self, requests: Iterable[Request]) -> ReleaseGauges:
        """Return the present obligations for these requests and for those that are over."""
        tracked = [*requests, *(ended.request for ended in self.ended.values())]
        read_ends = [state.read_ended_at for request in tracked for state in request.states.states]
        oldest_age = self.clock.now() - min(read_ends) if read_ends else 0
        return ReleaseGauges(len(read_ends), oldest_age, len(self.in_flight.releases))

    def pending(self) -> int:
        """Return how many releases and states a stopping gateway has to wait for."""
        return len(self.ended) + self.in_flight.pending()
