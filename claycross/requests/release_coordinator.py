"""The release of states that engines reserve for requests.

A read leaves a state at its engine, which holds it for the write that follows. If no write comes,
the engine has to be asked to release it within a time that the settings give. The coordinator
owns the releases in flight and the timers of reservations. Which engines are called, and when
again, is decided in state_release.py, the time of a reservation in reservation_timer.py.
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

MS = 1_000_000
# A read waits no longer than this until the state of an earlier read has been released.
RELEASE_BEFORE_READ_TIMEOUT = 100 * MS
# An uncertain state is released a second time after this: the read that was cut off may have
# completed while the first release call was in flight.
SECOND_RELEASE_DELAY = 60 * MS
# Results of attempts that were given up here.
GIVEN_UP = frozenset((i.AttemptResult.CANCELLED, i.AttemptResult.TIMEOUT))
MAX_RELEASES = 4096  # in flight at once; a bound on memory


@dataclass(eq=False)
class ReleaseCoordinator:
    """Owns the releases in flight, and the timers of the states that are reserved."""

    settings: i.Settings
    clock: Clock
    log: Callable[[str], None]
    directory: EndpointDirectory
    metrics: RequestMetrics
    find_request: Callable[[str], Request | None]  # by its key
    engine_calls: EngineCalls = field(init=False)  # set once the engine side is built
    # The releases in flight and the timer of each, if one is set.
    releases: dict[StateRelease, ScheduledCall | None] = field(init=False, default_factory=dict)

    # ------------------------------------------------------------ reservations

    def attempt_finished(self, attempt: Attempt) -> None:
        """Note what the end of an attempt says of the states that engines hold."""
        request = attempt.request
        result = attempt.result
        reserved_at = request.reserved_at
        if attempt.is_read:
            if result in preconditions.NO_STATE_LEFT:
                reserved_at.pop(attempt.engine, None)
            elif result != i.AttemptResult.READ and attempt.engine in reserved_at:
                reserved_at[attempt.engine] = True
        elif result in GIVEN_UP and not attempt.streaming:
            request.write_abandoned = True
        if result not in preconditions.NOT_SENT:
            request.reservation.restart(self.clock.now())
        if result == i.AttemptResult.READ:
            request.reservation.read()
        self.start_reservation_timer(request)

    def release_request(self, request: Request) -> None:
        """Release the state at every engine that may hold one for the request.

        In doubt an engine is asked twice: a read that was cut off may have completed behind the
        first call, and a write that was given up may have waited for the state then, which spares
        it. Both releases are in flight from now on, so that a gateway that stops waits for both.
        """
        for engine, uncertain in request.reserved_at.items():
            self.advance(self.create(engine, request.key, uncertain))
            if uncertain or request.write_abandoned:
                self.schedule(
                    self.create(engine, request.key, uncertain, delay=SECOND_RELEASE_DELAY)
                )
        self.clear_reservations(request)

    def release_before_read(
        self, attempt: Attempt, engines: list[str], begin_read: Callable[[], None]
    ) -> None:
        """Release the states of earlier reads, then begin the read.

        Not beside the read, for its engine would apply the release to what it reads; and not after
        it, for the read may arrive nowhere while the time of the reservation runs on. The read
        waits for a bounded time only.
        """
        pending = set(engines)
        begun = False

        def begin() -> None:
            nonlocal begun
            timer.cancel()
            if not begun and not attempt.finished:
                begun = True
                begin_read()

        def released(engine: str) -> None:
            if engine != attempt.engine:
                attempt.request.reserved_at.pop(engine, None)
            pending.discard(engine)
            if not pending:
                begin()

        timer = self.clock.call_later(RELEASE_BEFORE_READ_TIMEOUT, begin)
        for engine in engines:
            release = self.create(engine, attempt.request.key, uncertain=False, urgent=True)
            release.on_acknowledged = partial(released, engine)
            self.advance(release)

    def clear_reservations(self, request: Request) -> None:
        """Note that nothing is reserved for the request beyond what is being released."""
        request.reserved_at.clear()
        self.stop_reservation_timer(request)

    def stop_reservation_timer(self, request: Request) -> None:
        """Cancel the timer of what is reserved for the request."""
        if request.reservation_timer:
            request.reservation_timer.cancel()
            request.reservation_timer = None

    def start_reservation_timer(self, request: Request, due: int = 0) -> None:
        """Set the timer of what is reserved: by the last result, unless a later time is given."""
        self.stop_reservation_timer(request)
        if not request.reserved_at or request.is_decided():
            return
        wait = max(0, (due or request.reservation.due()) - self.clock.now())
        request.reservation_timer = self.clock.call_later(
            wait, partial(self.reservation_expired, request)
        )

    def reservation_expired(self, request: Request) -> None:
        """Release what has been reserved for as long as it may.

        The engines stay noted as holders: where a write had arrived, the state that it waits for
        is spared, and is released with what follows.
        """
        request.reservation_timer = None
        if request.is_decided() or not request.reserved_at or request.read_in_flight():
            return
        due_connecting = request.reservation.due_connecting()
        write_connecting = any(a.connecting() and not a.is_read for a in request.attempts)
        if write_connecting and self.clock.now() < due_connecting:
            self.start_reservation_timer(request, due_connecting)
            return
        request.reservation.release(write_out=request.attempt_in_flight())
        self.metrics.reservation_expired(request, self.clock.now())
        for engine, uncertain in list(request.reserved_at.items()):
            self.advance(self.create(engine, request.key, uncertain, urgent=True))

    # ------------------------------------------------------------ releases

    def create(
        self, engine: str, key: str, uncertain: bool, *, delay: int = 0, urgent: bool = False
    ) -> StateRelease:
        """A new release of what the engine holds for the request with this key."""
        endpoint = self.directory.endpoints.get(engine)
        while len(self.releases) >= MAX_RELEASES:
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
            request.reservation.states if request else 0,
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
        wait = release.wait(self.clock.now())
        if wait is not None:
            self.releases[release] = self.clock.call_later(wait, partial(self.resume, release))

    def resume(self, release: StateRelease) -> None:
        """Go on with a release some time after it began; the request may have been read anew."""
        if not release.finished and self.must_keep(release):
            self.end(release)
            return
        self.advance(release)

    def call(self, release: StateRelease, engine: str) -> None:
        """Ask one engine, the holder or a relay, to release the state."""
        if engine != release.engine or release.attempts > 1:
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
        """A call has ended, acknowledged by the engine or not."""
        now = self.clock.now()
        if self.metrics.trace:
            self.metrics.trace(
                f"release-call request={release.key} holder={release.engine} at={engine} "
                f"heard={acknowledged} doubt={release.uncertain} "
                f"ms={(now - called_at) / MS:.1f} since_ms={(now - release.began) / MS:.1f}"
            )
        if release.finished:
            return
        if acknowledged:
            self.directory.engine_responded(engine, now)
            release.on_acknowledged()
        is_listed = release.engine in self.directory.endpoints
        release.call_finished(engine, acknowledged, self.clock.now(), is_listed)
        if release.lost:
            self.log(
                f"release-failed engine={release.engine} request={release.key} "
                f"relays={len(release.relays)}"
            )
        if release.finished:
            self.end(release)
        elif not acknowledged:
            self.resume(release)

    def must_keep(self, release: StateRelease) -> bool:
        """Whether a release that goes on now would take a state that the request still needs.

        A state is released at every engine at once. Guards the state of a read that was sent since
        against the repeated calls of an earlier one; the first token releases everything. An
        attempt that is still connecting has left nothing anywhere, and the time of the reservation
        runs on beside it. An urgent release waits for no write that is in flight.
        """
        request = self.find_request(release.key)
        if not request or request.finished:
            return False
        if not self.would_take_newer_state(request, release):
            if release.urgent:
                return False
            connecting = {a.engine for a in request.attempts if a.connecting()}
            if not request.reserved_at.keys() - connecting:
                return False
        if not request.streaming_attempt and release.engine not in request.reserved_at:
            request.reserved_at[release.engine] = True  # released with what follows
            self.start_reservation_timer(request)
        return True

    def must_keep_now(self, key: str, engine: str) -> bool:
        """The same for a release at this engine that would be made now."""
        request = self.find_request(key)
        release = StateRelease(
            key=key,
            engine=engine,
            zone="",
            release_within=self.settings.release_within,
            began=self.clock.now(),
            uncertain=True,
            states=request.reservation.states if request else 0,
        )
        return self.must_keep(release)

    def is_stale(self, release: StateRelease) -> bool:
        """Whether a call that is written now would take what the request has gained since."""
        request = self.find_request(release.key)
        if not request or request.finished:
            return False
        return self.would_take_newer_state(request, release)

    def would_take_newer_state(self, request: Request, release: StateRelease) -> bool:
        """Whether the request has a newer state than the release is for, or needs this one."""
        if request.streaming_attempt or request.reservation.states > release.states:
            return True
        if request.read_in_flight():
            return True
        return not release.urgent and request.attempt_in_flight()

    def pending(self) -> int:
        """How many releases a gateway that stops has to wait for."""
        now = self.clock.now()
        return sum(release.is_pending(now) for release in self.releases)
