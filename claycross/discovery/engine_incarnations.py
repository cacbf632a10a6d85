"""Incarnations of the engines: when each started, on this process's own clock.

Start times are announced by other machines' wall clocks. Such a time identifies a process: any
difference, either way, is another incarnation. As evidence of age it counts only as far as this
gateway's own observations bear it out: an engine that is seen to restart, or that appears later,
can't have started before discovery last spoke without announcing it, nor before the engine last
answered as the earlier incarnation. A time that claims far more than that came from a clock that
was stepped, and the engine counts as starting now; so does one that starts in the future. In the
first full list after this process's own start nothing else is known, and the announced time is
believed, except a start in the future.

So no engine is taken for older than can be shown, or warms up for longer than the settings' time
after it was first seen. No I/O and no clock: times are nanoseconds and come in as arguments.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from ..interface import EndpointListUpdate, EngineEndpoint, EngineState, UpdateKind

SECOND = 1_000_000_000  # nanoseconds in a second
MS = 1_000_000  # nanoseconds in a millisecond
ANNOUNCEMENT_DELAY = 6 * SECOND  # by which a change may be late: no claim beyond is believed
MAX_REMOVED = 4_096  # engines that left the list and are remembered
LONG_AGO = 0  # as `EngineEndpoint.started_at`
NOT_ANNOUNCED = 0  # as `EngineEndpoint.incarnation`
UNKNOWN = -1  # as `EngineEndpoint.incarnation`: announced, but not a possible time


@dataclass(slots=True)
class Incarnation:
    """What is known of one engine's process."""

    identity: int  # the start time as it was announced
    started_at: int  # on this process's clock, or LONG_AGO


def never_answered(_engine: str) -> int:
    """The time of an engine's last answer, where none is recorded."""
    return 0


class EngineIncarnations:
    """The incarnations of all engines that are listed, and of some that were.

    `answered` returns when an engine last answered this gateway; 0 for never.
    """

    def __init__(self, answered: Callable[[str], int] = never_answered):
        self.last_response = answered
        self.listed: dict[str, Incarnation] = {}
        self.removed: dict[str, Incarnation] = {}
        self.implausible = 0  # announced times that were not believed
        self.log_messages: list[str] = []  # of them; taken by the caller

    def apply(
        self, found: EndpointListUpdate, now: int, wall: int, word_before: int
    ) -> EndpointListUpdate:
        """The update with each engine's start on this process's clock.

        `wall` is the Unix time now, `word_before` when discovery spoke last before this update; 0
        if it had not.
        """
        if found.kind == UpdateKind.FAILED:
            return found
        before = self.listed
        if found.kind != UpdateKind.CHANGES:
            before = dict(self.listed)
            self.remove(set(self.listed) - {entry.engine for entry in found.entries})
        entries = []
        for entry in found.entries:
            if entry.state == EngineState.REMOVED:
                self.remove({entry.engine})
                entries.append(entry)
                continue
            known = before.get(entry.engine) or self.removed.pop(entry.engine, None)
            incarnation = self.incarnation_of(entry, known, now, wall, word_before)
            self.listed[entry.engine] = incarnation
            entries.append(
                entry.copy(started_at=incarnation.started_at, incarnation=incarnation.identity)
            )
        return EndpointListUpdate(found.kind, entries)

    def remove(self, engines: set[str]) -> None:
        """They are listed no longer; their identities are remembered for a while."""
        for engine in sorted(engines & self.listed.keys()):
            self.removed[engine] = self.listed.pop(engine)
        while len(self.removed) > MAX_REMOVED:
            oldest = next(iter(self.removed))
            del self.removed[oldest]

    def incarnation_of(
        self,
        entry: EngineEndpoint,
        known: Incarnation | None,
        now: int,
        wall: int,
        word_before: int,
    ) -> Incarnation:
        """What is believed of one entry, given the incarnation known before."""
        identity = entry.incarnation
        if known and identity in (known.identity, NOT_ANNOUNCED, UNKNOWN):
            return known  # the same process, or nothing that says otherwise
        if identity == UNKNOWN:
            return Incarnation(identity, self.reject_start(entry, now, "no time"))
        if identity == NOT_ANNOUNCED:
            return Incarnation(identity, LONG_AGO)
        started_at = self.announced_start(entry, now, wall - identity, word_before)
        return Incarnation(identity, started_at)

    def announced_start(self, entry: EngineEndpoint, now: int, age: int, word_before: int) -> int:
        """The start on this process's clock of a new incarnation of that announced age."""
        if not word_before:
            return now - age if age >= 0 else self.reject_start(entry, now, "in the future")
        max_age = now - max(word_before, self.last_response(entry.engine))
        if age < 0 or age > max_age + ANNOUNCEMENT_DELAY:
            return self.reject_start(entry, now, f"age_ms={age // MS}")
        return now - min(age, max_age)

    def reject_start(self, entry: EngineEndpoint, now: int, why: str) -> int:
        """The engine counts as starting now, and the reason is logged once per announcement."""
        self.implausible += 1
        self.log_messages.append(
            f"engine-start-implausible engine={entry.engine} boot={entry.incarnation} why={why}"
        )
        return now
