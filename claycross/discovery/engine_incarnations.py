"""Incarnations of the engines: when each started, on this process's own clock.

Discovery announces start times by other machines' wall clocks. Such a time identifies a process:
any difference, either way, is another incarnation. As an age it counts only as far as this
gateway's own observations allow: an engine that restarts, or that appears later, can't have started
before discovery's previous message, which didn't announce it, nor before the engine last responded
as the earlier incarnation. A time far before that comes from a clock that was stepped, and the
engine counts as starting now, as does one that starts in the future. In the first full list after
this process's own start there are no observations, and the announced time is accepted unless it is
in the future.

So no engine is taken for older than it can be, or warms up for longer than the settings' time after
it was first seen. No I/O and no clock: times are nanoseconds and come in as arguments.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from ..interface import EndpointListUpdate, EngineEndpoint, EngineState, UpdateKind

SECOND = 1_000_000_000  # nanoseconds in a second
MS = 1_000_000  # nanoseconds in a millisecond
ANNOUNCEMENT_DELAY_NS = 6 * SECOND  # a change is announced this much late at most
MAX_REMOVED = 4_096  # engines that left the list and are kept
LONG_AGO = 0  # as `EngineEndpoint.started_at`
NOT_ANNOUNCED = 0  # as `EngineEndpoint.incarnation`
UNKNOWN = -1  # as `EngineEndpoint.incarnation`: announced, but no possible time


@dataclass(slots=True)
class Incarnation:
    """One process of an engine."""

    identity: int  # the start time as announced
    started_at: int  # on this process's clock, or LONG_AGO


def never_responded(_engine: str) -> int:
    """Return 0, where no responses are recorded."""
    return 0


class EngineIncarnations:
    """The incarnations of all engines in the list, and of some that were removed from it.

    `last_response` returns when an engine last responded to this gateway; 0 for never.
    """

    def __init__(self, last_response: Callable[[str], int] = never_responded):
        self.last_response = last_response
        self.listed: dict[str, Incarnation] = {}
        self.removed: dict[str, Incarnation] = {}
        self.implausible = 0  # announced start times that were rejected
        self.log_messages: list[str] = []  # the caller logs and clears them

    def apply(
        self, update: EndpointListUpdate, now: int, wall_time: int, previous_message_at: int
    ) -> EndpointListUpdate:
        """Return the update with each engine's start on this process's clock.

        Args:
            update: The update as discovery announced it.
            now: The time on this process's clock.
            wall_time: The Unix time.
            previous_message_at: When discovery's message before this update came; 0: it is the
                first.
        """
        if update.kind == UpdateKind.FAILED:
            return update
        listed_before = self.listed
        if update.kind != UpdateKind.CHANGES:
            listed_before = dict(self.listed)
            self.remove(set(self.listed) - {entry.engine for entry in update.entries})
        entries = []
        for entry in update.entries:
            if entry.state == EngineState.REMOVED:
                self.remove({entry.engine})
                entries.append(entry)
                continue
            known = listed_before.get(entry.engine) or self.removed.pop(entry.engine, None)
            incarnation = self.incarnation_of(entry, known, now, wall_time, previous_message_at)
            self.listed[entry.engine] = incarnation
            entries.append(
                entry.copy(started_at=incarnation.started_at, incarnation=incarnation.identity)
            )
        return EndpointListUpdate(update.kind, entries)

    def remove(self, engines: set[str]) -> None:
        """Move engines from the list to those removed; the oldest of these are forgotten."""
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
        wall_time: int,
        previous_message_at: int,
    ) -> Incarnation:
        """Return the incarnation of one entry, given the one that was known before."""
        identity = entry.incarnation
        # A missing or impossible time is no evidence of a restart.
        if known and identity in (known.identity, NOT_ANNOUNCED, UNKNOWN):
            return known
        if identity == UNKNOWN:
            return Incarnation(identity, self.reject_start(entry, now, "no time"))
        if identity == NOT_ANNOUNCED:
            return Incarnation(identity, LONG_AGO)
        started_at = self.announced_start(entry, now, wall_time - identity, previous_message_at)
        return Incarnation(identity, started_at)

    def announced_start(
        self, entry: EngineEndpoint, now: int, age: int, previous_message_at: int
    ) -> int:
        """Return the start, on this process's clock, of a new incarnation of that announced age."""
        if not previous_message_at:
            return now - age if age >= 0 else self.reject_start(entry, now, "in the future")
        max_age = now - max(previous_message_at, self.last_response(entry.engine))
        if age < 0 or age > max_age + ANNOUNCEMENT_DELAY_NS:
            return self.reject_start(entry, now, f"age_ms={age // MS}")
        return now - min(age, max_age)

    def reject_start(self, entry: EngineEndpoint, now: int, reason: str) -> int:
        """Return `now` as the start, and log why the announced one was rejected."""
        self.implausible += 1
        self.log_messages.append(
            f"engine-start-implausible engine={entry.engine} boot={entry.incarnation} why={reason}"
        )
        return now
