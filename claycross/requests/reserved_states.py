"""The states that engines may hold for one request, and when each of them has to be released.

A read creates a state at its engine. If its response arrives, the state exists. If the read is
interrupted (its connection breaks, or it is cancelled), a state may exist, or may come to exist
while the engine still runs the read. Either way the state has to be released within a time given by
the settings, unless a write uses it.

Each state has its own record and its own clock. Neither a write nor another read stops the clock by
being sent: sending does not prove that an engine has received anything, as an engine that is
suspended or partitioned receives nothing and its connection shows no error. Only evidence counts:

- a response to an attempt shows that the attempt was at a running engine, and restarts the clocks;
- so does any response of the engine of a read in flight that was sent after the read;
- an acknowledged release ends a state that existed when the release was called, unless a write
  waited for the state at that time: engines ignore a release of such a state;
- an interrupted read may create its state after the release, so its record stays, and its clock
  restarts at the call, until a release is called some time after its engine was seen running;
- a release during a read also ends the state of that read. Before the request is read again all
  records have to be covered by acknowledged releases;
- the first token of an answer shows that all states which exist then have been released.

Reads no clock and does no I/O: times are nanoseconds and come in as arguments.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum, auto

from ..interface import AttemptResult
from .preconditions import NO_STATE_LEFT

MS = 1_000_000  # ns
# Both margins are added to the release time. The protocol allows 300 ms beyond it; the rest of that
# is left for the release call itself and for delays of this process.
ARRIVAL_MARGIN_NS = 50 * MS  # for a write that was sent to arrive
CONNECT_MARGIN_NS = 250 * MS  # for the connection of a write to be established
# Share of the release time within which an engine that runs notices the end of an interrupted read,
# so that the read creates no state later.
LATE_STATE_SHARE = 0.8
# Time within which an engine notices that a write was abandoned, which it keeps a state for.
ABANDONED_WRITE_NS = 60 * MS


# Results of attempts that this gateway abandoned.
ABANDONED_RESULTS = frozenset((AttemptResult.CANCELLED, AttemptResult.TIMEOUT))


class ReservationStatus(Enum):
    """What is known of the state created by the last complete read; the names appear in the log."""

    NONE = auto()  # no read has completed yet
    RESERVED = auto()
    UNCERTAIN = auto()  # released with an attempt in flight; a write keeps it if it had arrived
    RELEASED = auto()  # released while no attempt was in flight


@dataclass(slots=True)
class ReservedState:
    """A state that an engine may hold."""

    engine: str
    result: str  # of the read that created it, an `AttemptResult`
    read_ended_at: int
    clock_started_at: int  # start of the release time
    covered_at: int = 0  # when the latest acknowledged release was called; 0: none counts
    kept_for_write: bool = False  # that release found a write in flight, which may use the state
    holder_ran_at: int = 0  # when its engine first acknowledged a release since; 0: it did not

    @property
    def is_certain(self) -> bool:
        """Tell whether the state existed once its read had ended, and can't come to exist later."""
        return self.result == AttemptResult.READ

    @property
    def holder_may_be_silent(self) -> bool:
        """Tell whether its engine did not respond to the read, so that others are asked as well."""
        return self.result in ABANDONED_RESULTS and not self.holder_ran_at

    def release_time_starts(self) -> int | None:
        """Return the start of its release time; None: it is kept for a write in flight."""
        if self.kept_for_write:
            return None
        return max(self.clock_started_at, self.covered_at)


class ReservedStates:
    """The records of all states that engines may hold for one request."""

    __slots__ = (
        "expired_at",
        "last_write_ended_at",
        "last_write_noticed_at",
        "release_within",
        "state_count",
        "states",
        "status",
    )

    def __init__(self, release_within: int) -> None:
        self.release_within = release_within
        self.states: list[ReservedState] = []
        # How many states were created for the request; identifies which one a release is for.
        self.state_count = 0
        self.status = ReservationStatus.NONE
        self.expired_at = 0  # when states were last released because their time was over; 0: never
        self.last_write_ended_at = 0
        self.last_write_noticed_at = 0  # when its engine has noticed the end, too

    # ------------------------------------------------------------ what happened

    def read_ended(self, engine: str, result: str, now: int) -> None:
        """Record the state that a read may have left."""
        if result in NO_STATE_LEFT:
            return
        self.states.append(ReservedState(engine, result, now, now))
        if result == AttemptResult.READ:
            self.state_count += 1
            self.status = ReservationStatus.RESERVED

    def write_ended(self, now: int, abandoned: bool = False) -> None:
        """Record that a write has ended without a first token.

        A state that was kept for it is held for nobody from now on.
        """
        self.last_write_ended_at = now
        self.last_write_noticed_at = now + ABANDONED_WRITE_NS if abandoned else now
        for state in self.states:
            if state.kept_for_write:
                state.kept_for_write = False
                state.covered_at = 0
                state.clock_started_at = now

    def attempt_responded(self, now: int) -> None:
        """Record a response to an attempt: until now it was at an engine that runs."""
        for state in self.states:
            state.clock_started_at = now

    def attempt_seen_running(self, at: int) -> None:
        """Record that the engine of an attempt in flight was running at this time.

        This restarts the clocks of states that a release covers. Others are due in any case.
        """
        for state in self.states:
            if state.covered_at:
                state.clock_started_at = max(state.clock_started_at, at)

    def answer_started(self, now: int) -> None:
        """Record the first token: no state exists now, but interrupted reads may still run."""
        self.states = [state for state in self.states if not state.is_certain]
        for state in self.states:
            state.covered_at = now

    def release_acknowledged(
        self, engine: str, called_at: int, now: int, *, write_in_flight: bool
    ) -> None:
        """Record that this engine has acknowledged a release that was called at this time.

        `write_in_flight`: a write may be at an engine now, so that the state was kept for it.
        """
        remaining = []
        for state in self.states:
            if called_at < state.read_ended_at:
                remaining.append(state)
            elif state.is_certain:
                if write_in_flight or called_at < self.last_write_noticed_at:
                    self._note_kept(state, called_at, write_in_flight)
                    remaining.append(state)
            elif not self._is_over(state, called_at):
                state.covered_at = max(state.covered_at, called_at)
                if engine == state.engine and not state.holder_ran_at:
                    state.holder_ran_at = now
                remaining.append(state)
        self.states = remaining

    def _note_kept(self, state: ReservedState, called_at: int, write_in_flight: bool) -> None:
        """Record a release that may have found a write which uses the state."""
        if write_in_flight:
            state.kept_for_write = True
            state.covered_at = called_at
        elif called_at >= self.last_write_ended_at:
            state.covered_at = called_at  # the write was abandoned

    def _is_over(self, state: ReservedState, called_at: int) -> bool:
        """Tell whether a release called then ends the state of an interrupted read for good."""
        late_state_time = int(LATE_STATE_SHARE * self.release_within)
        return 0 < state.holder_ran_at <= called_at - late_state_time

    def holder_removed(self, engine: str) -> None:
        """Forget the states of an engine that is no longer listed."""
        self.states = [state for state in self.states if state.engine != engine]

    def expire(self, now: int, attempt_in_flight: bool) -> None:
        """Record that all states are being released because the time of one of them is over."""
        self.expired_at = now
        self.status = ReservationStatus.RELEASED
        if attempt_in_flight:
            self.status = ReservationStatus.UNCERTAIN

    # ------------------------------------------------------------ what follows

    def holders(self) -> dict[str, bool]:
        """Return the engines that may hold a state, and whether each may be silent."""
        return _by_engine(self.states)

    def uncovered_holders(self) -> dict[str, bool]:
        """Return the same of the states that no acknowledged release covers."""
        return _by_engine([state for state in self.states if not state.covered_at])

    def state_may_exist(self) -> bool:
        """Tell whether a write may still find its state."""
        return self.status is not ReservationStatus.RELEASED

    def due(self) -> int | None:
        """Return when the next state has to be released; None: none has to.

        After a release, the next one is due after the release time at the earliest: until then the
        calls of the present one continue.
        """
        earliest: int | None = None
        for state in self.states:
            start = state.release_time_starts()
            if start is not None and (earliest is None or start < earliest):
                earliest = start
        if earliest is None:
            return None
        due = earliest + self.release_within + ARRIVAL_MARGIN_NS
        return max(due, self.expired_at + self.release_within) if self.expired_at else due

    def due_while_connecting(self) -> int | None:
        """Return the same for a write whose connection is not established yet."""
        due = self.due()
        return None if due is None else _while_connecting(due)

    def due_after_send(self, now: int) -> int | None:
        """Return the same for a write whose last byte is sent now."""
        due = self.due()
        if due is None:
            return None
        return max(due, min(_while_connecting(due), now + ARRIVAL_MARGIN_NS))


def _while_connecting(due: int) -> int:
    """Return the time until which a state that is due then is kept for a connecting write."""
    return due + CONNECT_MARGIN_NS - ARRIVAL_MARGIN_NS


def _by_engine(states: Iterable[ReservedState]) -> dict[str, bool]:
    """Return the engines of the states, and whether each may be silent."""
    holders: dict[str, bool] = {}
    for state in states:
        holders[state.engine] = holders.get(state.engine, False) or state.holder_may_be_silent
    return holders
