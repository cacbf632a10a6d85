"""The releases in flight: makes their calls to engines, repeats them and reports their results.

state_release.py decides which engines are called for one release, and when.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Protocol

from .endpoint_directory import EndpointDirectory
from .engine_protocol import EngineCalls
from .protocols import Clock, ScheduledCall
from .request_metrics import RequestMetrics
from .state_release import StateRelease

MS = 1_000_000  # ns
MAX_RELEASES = 4096  # bounds the memory


class ReleaseOwner(Protocol):
    """The owner of the states that are released."""

    def is_stale(self, release: StateRelease) -> bool:
        """Tell whether a call that is made now would hit a state that the request needs."""
        ...

    def state_count(self, key: str) -> int:
        """Return how many states were created for the request with this key."""
        ...

    def release_acknowledged(self, key: str, engine: str, called_at: int) -> None:
        """Process that an engine has acknowledged a release that was called at this time."""

    def holder_removed(self, key: str, engine: str) -> None:
        """Process that the holder of a state does not acknowledge and is no longer listed."""


@dataclass(eq=False)
class ReleasesInFlight:
    """Owns the releases in flight and the timers of their calls."""

    release_within: int
    clock: Clock
    log: Callable[[str], None]
    directory: EndpointDirectory
    metrics: RequestMetrics
    owner: ReleaseOwner
    engine_calls: EngineCalls = field(init=False)  # set once the engine side is built
    # Release -> the timer of its next calls, if one is set.
    releases: dict[StateRelease, ScheduledCall | None] = field(init=False, default_factory=dict)
    # (key, holder) -> the release that was started last.
    latest: dict[tuple[str, str], StateRelease] = field(init=False, default_factory=dict)

    def start(self, engine: str, key: str, may_be_silent: bool, *, urgent: bool = False) -> None:
        """Start a release, in place of an earlier one of the same state."""
        self.end_latest(key, engine)
        release = self.create(engine, key, may_be_silent, urgent=urgent)
        self.latest[key, engine] = release
        self.advance(release)

    def create(
        self, engine: str, key: str, may_be_silent: bool, *, delay: int = 0, urgent: bool = False
    ) -> StateRelease:
        """Create a release of the state that the engine holds for the request with this key."""
        endpoint = self.directory.endpoints.get(engine)
        while len(self.releases) >= MAX_RELEASES:
            self._drop_one()
        release = StateRelease(
            key,
            engine,
            endpoint.zone if endpoint else "",
            self.release_within,
            self.clock.now() + delay,
            may_be_silent,
            urgent,
            self.owner.state_count(key),
        )
        self.releases[release] = None
        return release

    def _drop_one(self) -> None:
        """End the oldest release that has been acknowledged or is too late, or else the oldest."""
        now = self.clock.now()
        settled = (release for release in self.releases if not release.is_pending(now))
        dropped = next(settled, None)
        if dropped is None:
            self.metrics.count("release-dropped")
            dropped = next(iter(self.releases))
        self.end(dropped)

    def end(self, release: StateRelease) -> None:
        """End a release: no further call is made for it."""
        release.finished = True
        timer = self.releases.pop(release, None)
        if timer:
            timer.cancel()
        if self.latest.get((release.key, release.engine)) is release:
            del self.latest[release.key, release.engine]

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
        """Continue a release, or end it if its calls would hit a state that the request needs."""
        if not release.finished and self.owner.is_stale(release):
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
            lambda: not release.finished and not self.owner.is_stale(release),
        )

    def call_finished(
        self, release: StateRelease, engine: str, called_at: int, acknowledged: bool
    ) -> None:
        """Process the end of a call, which the engine has acknowledged or not."""
        now = self.clock.now()
        if self.metrics.trace:
            self.metrics.trace(
                f"release-call request={release.key} holder={release.engine} at={engine} "
                f"heard={acknowledged} doubt={release.may_be_silent} "
                f"ms={(now - called_at) / MS:.1f} since_ms={(now - release.first_call_at) / MS:.1f}"
            )
        if acknowledged:
            self.directory.engine_responded(engine, now)
            self.owner.release_acknowledged(release.key, engine, called_at)
        if release.finished:
            return
        is_listed = release.engine in self.directory.endpoints
        release.call_finished(engine, acknowledged, now, is_listed)
        if release.failed:
            self.log(
                f"release-failed engine={release.engine} request={release.key} "
                f"relays={len(release.relays)}"
            )
        if release.finished:
            self.end(release)
            if not is_listed:
                self.owner.holder_removed(release.key, release.engine)
        elif not acknowledged:
            self.resume(release)

    def repeat(self, engine: str, key: str, may_be_silent: bool, delay: int) -> None:
        """Start a further release after this time; it is in flight from now on."""
        self.schedule(self.create(engine, key, may_be_silent, delay=delay))

    def end_latest(self, key: str, engine: str) -> None:
        """End the release that was started last for this state."""
        release = self.latest.get((key, engine))
        if release:
            self.end(release)

    def calls_made(self, key: str, engine: str) -> int:
        """Return how many calls were made for a state whose release is in flight."""
        release = self.latest.get((key, engine))
        return release.calls() if release else 0

    def pending(self) -> int:
        """Return how many releases a stopping gateway has to wait for."""
        now = self.clock.now()
        return sum(release.is_pending(now) for release in self.releases)
