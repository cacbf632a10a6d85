"""The release of states that engines reserve for requests.

A read creates a state at its engine, which reserves it for the write that follows. If no write
follows, the engine has to be asked to release it within a time given by the settings. The
coordinator owns the releases in flight and the timers of reservations. state_release.py decides
which engines are called and when; reservation_timer.py computes when a reservation expires.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from .. import interface as i
from . import preconditions
from .endpoint_directory import EndpointDirectory
from .engine_protocol import EngineCalls
from .protocols import Clock, ScheduledCall
from .records import Attempt, Request
from .request_metrics import RequestMetrics
from .state_release import StateRelease

MS = 1_000_000  # ns
# The longest that a read waits until the state of an earlier read has been released.
RELEASE_BEFORE_READ_TIMEOUT_NS = 100 * MS
# An uncertain state is released a second time after this delay, as the interrupted read may have
# completed while the first release call was in flight.
SECOND_RELEASE_DELAY_NS = 60 * MS
# Results of attempts that this gateway abandoned.
ABANDONED_RESULTS = frozenset((i.AttemptResult.CANCELLED, i.AttemptResult.TIMEOUT))
MAX_RELEASES_IN_FLIGHT = 4096  # bounds the memory


@dataclass(eq=False)
class ReleaseCoordinator:
    """Owns the releases in flight and the timers of reservations."""

    settings: i.Settings
    clock: Clock
    log: Callable[[str], None]
    directory: EndpointDirectory
    metrics: RequestMetrics
    find_request: Callable[[str], Request | None]  # by its key
    engine_calls: EngineCalls = field(init=False)  # set once the engine side is built
    # Release in flight -> the timer of its next calls, if one is set.
    releases: dict[StateRelease, ScheduledCall | None] = field(init=False, default_factory=dict)

    # ------------------------------------------------------------ reservations

    def attempt_finished(self, attempt: Attempt) -> None:
        """Update which engines hold states for the request by the result of an attempt."""
        request = attempt.request
        result = attempt.result
        reserved_at = request.reserved_at
        if attempt.is_read:
            if result in preconditions.NO_STATE_LEFT:
                reserved_at.pop(attempt.engine, None)
            elif result != i.AttemptResult.READ and attempt.engine in reserved_at:
                reserved_at[attempt.engine] = True
        elif result in ABANDONED_RESULTS and not attempt.streaming:
            request.write_abandoned = True
        if result not in preconditions.NOT_SENT:
            request.reservation.restart(self.clock.now())
        if result == i.AttemptResult.READ:
            request.reservation.state_created()
        self.start_reservation_timer(request)

    def release_request(self, request: Request) -> None:
        """Release the state at every engine that may hold one for the request.

        Where that is uncertain, an engine is asked twice: an interrupted read may have completed
        after the first call, and an engine ignores that call while an abandoned write still waits
        for the state. Both releases are in flight from now on, so that a stopping gateway waits
        for both.
        """
        for engine, uncertain in request.reserved_at.items():
            self.advance(self.create(engine, request.key, uncertain))
            if uncertain or request.write_abandoned:
                self.schedule(
                    self.create(engine, request.key, uncertain, delay=SECOND_RELEASE_DELAY_NS)
                )
        self.clear_reservations(request)

    def release_before_read(
        self, attempt: Attempt, engines: list[str], start_read: Callable[[], None]
    ) -> None:
        """Release the states of earlier reads, then start the read.

        A release during the read would also apply to the state that the read creates. A release
        after the read might be late, as the read may never arrive while the reservation expires.
        The read waits for RELEASE_BEFORE_READ_TIMEOUT_NS at most.
        """
        pending = set(engines)
        started = False

        def start_once() -> None:
            nonlocal started
            timer.cancel()
            if not started and not attempt.finished:
                started = True
                start_read()

        def released(engine: str) -> None:
            if engine != attempt.engine:
                attempt.request.reserved_at.pop(engine, None)
            pending.discard(engine)
            if not pending:
                start_once()

        timer = self.clock.call_later(RELEASE_BEFORE_READ_TIMEOUT_NS, start_once)
        for engine in engines:
            release = self.create(engine, attempt.request.key, uncertain=False, urgent=True)
            release.on_acknowledged = partial(released, engine)
            self.advance(release)

    def clear_reservations(self, request: Request) -> None:
        """Record that no state is reserved for the request, except those being released."""
        request.reserved_at.clear()
        self.stop_reservation_timer(request)

    def stop_reservation_timer(self, request: Request) -> None:
        """Cancel the timer of the request's reservation."""
        if request.reservation_timer:
            request.reservation_timer.cancel()
            request.reservation_timer = None

    def start_reservation_timer(self, request: Request, due: int = 0) -> None:
        """Set the timer of the request's reservation; `due`: when it expires, 0: by its record."""
        self.stop_reservation_timer(request)
        if not request.reserved_at or request.is_decided():
            return
        wait = max(0, (due or request.reservation.due()) - self.clock.now())
        request.reservation_timer = self.clock.call_later(
            wait, partial(self.reservation_expired, request)
        )

    def reservation_expired(self, request: Request) -> None:
        """Release the states of a request whose reservation has expired.

        The engines stay in `reserved_at`: one with a write that waits for the state ignores the
        release, and is asked again when the request ends.
        """
        request.reservation_timer = None
        if request.is_decided() or not request.reserved_at or request.read_in_flight():
            return
        due_while_connecting = request.reservation.due_while_connecting()
        write_connecting = any(
            attempt.connecting() and not attempt.is_read for attempt in request.attempts
        )
        if write_connecting and self.clock.now() < due_while_connecting:
            self.start_reservation_timer(request, due_while_connecting)
            return
        request.reservation.mark_released(write_in_flight=request.attempt_in_flight())
        self.metrics.reservation_expired(request, self.clock.now())
        for engine, uncertain in list(request.reserved_at.items()):
            self.advance(self.create(engine, request.key, uncertain, urgent=True))

    # ------------------------------------------------------------ releases

    def create(
        self, engine: str, key: str, uncertain: bool, *, delay: int = 0, urgent: bool = False
    ) -> StateRelease:
        """Create a release of the state that the engine holds for the request with this key."""
        endpoint = self.directory.endpoints.get(engine)
        while len(self.releases) >= MAX_RELEASES_IN_FLIGHT:
            self.metrics.count("release-dropped")
            self.end(next(iter(self.releases)))
        request = self.find_request(key)
        release = StateRelease(
            key,
            engine,
            endpoint.zone if endpoint else "",
            self.settings.release_within,
            self.clock.now() + delay,
            uncertain,
            urgent,
            request.reservation.state_count if request else 0,
        )
        self.releases[release] = None
        return release

    def end(self, release: StateRelease) -> None:
        """End a release: no further call is made for it."""
        release.finished = True
        timer = self.releases.pop(release, None)
        if timer:
            timer.cancel()

    def advance(self, release: StateRelease) -> None:
        """Make the calls that are due now, and set the timer for the next ones."""
        if release.finished:
            return
        for engine in release.next_calls(self.clock.now(), self.directory.relay_candidates()):
            self.call(release, engine)
        self.schedule(release)

    def schedule(self, release: StateRelease) -> None:
        """Set the timer for the next calls of a release."""
        timer = self.releases.get(release)
        if timer:
            timer.cancel()
        wait = release.time_to_next_call(self.clock.now())
        if wait is not None:
            self.releases[release] = self.clock.call_later(wait, partial(self.resume, release))

    def resume(self, release: StateRelease) -> None:
        """Continue a release, or end it if the request has been read again and needs its state."""
        if not release.finished and self.is_state_needed(release):
            self.end(release)
            return
        self.advance(release)

    def call(self, release: StateRelease, engine: str) -> None:
        """Call one engine, the holder or a relay, to release the state."""
        if engine != release.engine or release.holder_calls > 1:
            self.metrics.count("release-retry")
        self.engine_calls.release(
            engine,
            release.key,
            partial(self.call_finished, release, engine, self.clock.now()),
            lambda: not release.finished and not self.is_stale(release),
        )

    def call_finished(
        self, release: StateRelease, engine: str, called_at: int, acknowledged: bool
    ) -> None:
        """Process the end of a call, which the engine has acknowledged or not."""
        now = self.clock.now()
        if self.metrics.trace:
            self.metrics.trace(
                f"release-call request={release.key} holder={release.engine} at={engine} "
                f"heard={acknowledged} doubt={release.uncertain} "
                f"ms={(now - called_at) / MS:.1f} since_ms={(now - release.first_call_at) / MS:.1f}"
            )
        if release.finished:
            return
        if acknowledged:
            self.directory.engine_responded(engine, now)
            release.on_acknowledged()
        is_listed = release.engine in self.directory.endpoints
        release.call_finished(engine, acknowledged, self.clock.now(), is_listed)
        if release.failed:
            self.log(
                f"release-failed engine={release.engine} request={release.key} "
                f"relays={len(release.relays)}"
            )
        if release.finished:
            self.end(release)
        elif not acknowledged:
            self.resume(release)

    def is_state_needed(self, release: StateRelease) -> bool:
        """Tell whether a release that continues now would hit a state that the request needs.

        A call releases the request's states at all engines. This keeps repeated calls of a release
        from hitting the state of a later read; after the first token the engines have released
        everything. An attempt that is still connecting holds no state, and the reservation keeps
        running meanwhile. An urgent release does not wait for a write in flight.
        """
        request = self.find_request(release.key)
        if not request or request.finished:
            return False
        if not self.would_release_needed_state(request, release):
            if release.urgent:
                return False
            connecting = {attempt.engine for attempt in request.attempts if attempt.connecting()}
            if not request.reserved_at.keys() - connecting:
                return False
        if not request.streaming_attempt and release.engine not in request.reserved_at:
            request.reserved_at[release.engine] = True  # released when the request ends
            self.start_reservation_timer(request)
        return True

    def is_state_needed_now(self, key: str, engine: str) -> bool:
        """Tell the same of a release at this engine that would be created now."""
        request = self.find_request(key)
        release = StateRelease(
            key=key,
            engine=engine,
            zone="",
            release_within=self.settings.release_within,
            first_call_at=self.clock.now(),
            uncertain=True,
            state_count=request.reservation.state_count if request else 0,
        )
        return self.is_state_needed(release)

    def is_stale(self, release: StateRelease) -> bool:
        """Tell whether a call that is written now would hit a newer state of the request."""
        request = self.find_request(release.key)
        if not request or request.finished:
            return False
        return self.would_release_needed_state(request, release)

    def would_release_needed_state(self, request: Request, release: StateRelease) -> bool:
        """Tell whether the request has a newer state than the release is for, or needs this one."""
        if request.streaming_attempt or request.reservation.state_count > release.state_count:
            return True
        if request.read_in_flight():
            return True
        return not release.urgent and request.attempt_in_flight()

    def pending(self) -> int:
        """Return how many releases a stopping gateway has to wait for."""
        now = self.clock.now()
        return sum(release.is_pending(now) for release in self.releases)
