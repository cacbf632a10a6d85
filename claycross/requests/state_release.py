"""Decides which engines are called to release a reserved state, and when.

A release call may be sent to any running engine, which relays it to the holder of the state. The
time in which a state has to be released runs from the last result until one engine has received
the call. A partitioned machine sends no error, so a call to it fails only when connecting times
out, and when a whole zone is partitioned, a relay in it is as likely to be silent as the holder.
The holder is therefore called first, and relays are added one after the other without waiting for
the one before, starting with those that responded to this gateway recently.

The number of relays is bounded. The holder itself is called until it has acknowledged or the
retries are used up. Reads no clock and does no I/O: times are nanoseconds and come in as arguments.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from hashlib import blake2b
from typing import NamedTuple

MS = 1_000_000  # ns
# Backoff between the calls to the holder, which is called once more than there are delays.
HOLDER_RETRY_DELAYS_NS = (40 * MS, 80 * MS, 160 * MS, 320 * MS, 640 * MS, 1280 * MS)
# Share of the release time for which a silent engine is waited for before a relay is called.
RELAY_DELAY_SHARE = 0.2
MAX_RELAYS = 6  # engines that are asked to relay one release
# Relays are ranked by the age of their last response, in steps: the more recently an engine has
# responded, the likelier it is to respond again. Ages over RECENT_RESPONSE_NS count alike.
RECENT_RESPONSE_NS = 2000 * MS
RESPONSE_AGE_STEP_NS = 250 * MS
# A stopping gateway waits for a release for this multiple of the release time.
SHUTDOWN_WAIT_FACTOR = 2


class RelayCandidate(NamedTuple):
    """An engine that may be asked to relay a release."""

    engine: str
    zone: str
    last_response: int  # when it last responded to this gateway; 0: never


@dataclass(eq=False, slots=True)
class StateRelease:
    """The release of the state that one engine, the holder, has reserved for one request."""

    key: str  # of the request
    engine: str  # the holder
    zone: str  # of the holder
    release_within: int  # the time within which the state has to be released
    first_call_at: int  # when the first call is due
    may_be_silent: bool  # the holder did not respond to the read
    urgent: bool = False  # the state is due: release even with an attempt in flight
    state_count: int = 0  # states created for the request before this release
    holder_calls: int = 0  # calls to the holder
    relays: list[str] = field(default_factory=list)  # engines that were asked to relay
    relayed: bool = False  # a relay has acknowledged
    finished: bool = False
    failed: bool = False  # finished without an acknowledgement of any engine
    relay_delay: int = field(init=False)  # between the calls to relays
    # When the holder is called next; None: a call to it is in flight.
    next_holder_call: int | None = field(init=False)
    next_relay_call: int | None = field(init=False)  # when the next relay is called; None: no more

    def __post_init__(self) -> None:
        """Set when the first calls are due; a holder that may be silent is not waited for."""
        self.relay_delay = max(1, int(RELAY_DELAY_SHARE * self.release_within))
        self.next_holder_call = self.first_call_at
        self.next_relay_call = (
            self.first_call_at if self.may_be_silent else self.first_call_at + self.relay_delay
        )

    def calls(self) -> int:
        """Return how many calls were made for it."""
        return self.holder_calls + len(self.relays)

    def next_calls(self, now: int, candidates: Iterable[RelayCandidate]) -> list[str]:
        """Return the engines to call now; `call_finished` reports the end of each call.

        `candidates`: the engines that may be called as relays.
        """
        calls: list[str] = []
        if self.finished:
            return calls
        if self.next_holder_call is not None and now >= self.next_holder_call:
            self.next_holder_call = None
            self.holder_calls += 1
            calls.append(self.engine)
        if self.next_relay_call is not None and now >= self.next_relay_call:
            relay = self.next_relay_engine(now, candidates)
            if relay:
                calls.append(relay)
        return calls

    def next_relay_engine(self, now: int, candidates: Iterable[RelayCandidate]) -> str:
        """Choose the next relay and set when the one after it is due; blank: none is left."""
        self.next_relay_call = None
        relay = self.choose_relay(now, candidates)
        if relay:
            self.relays.append(relay)
            if len(self.relays) < MAX_RELAYS:
                self.next_relay_call = now + self.relay_delay
        return relay

    def choose_relay(self, now: int, candidates: Iterable[RelayCandidate]) -> str:
        """Return the best relay that was not called yet; blank: there is none.

        Engines are ranked by the age of their last response, then those of other zones come first,
        then by hash, so that the releases of all gateways do not go to one engine. The age is
        compared in short steps, as the engines of a role or zone that has just failed have
        responded recently, too, but not within the last step.
        """

        def rank(candidate: RelayCandidate) -> tuple[int, bool, bytes]:
            age = RECENT_RESPONSE_NS
            if candidate.last_response > 0:
                age = min(now - candidate.last_response, RECENT_RESPONSE_NS)
            tie_break = blake2b(f"{self.key}|{candidate.engine}".encode()).digest()
            return age // RESPONSE_AGE_STEP_NS, candidate.zone == self.zone, tie_break

        uncalled = [
            candidate
            for candidate in candidates
            if candidate.engine != self.engine and candidate.engine not in self.relays
        ]
        return min(uncalled, key=rank).engine if uncalled else ""

    def call_finished(
        self, engine: str, acknowledged: bool, now: int, holder_listed: bool = True
    ) -> None:
        """Record the end of a call; a holder that is no longer listed is not called again."""
        if engine != self.engine:
            self._relay_call_finished(acknowledged, now)
        elif acknowledged:
            self.finished = True
        elif self.holder_calls > len(HOLDER_RETRY_DELAYS_NS) or not holder_listed:
            self.finished = True
            self.failed = not self.relayed
        else:
            self.next_holder_call = now + HOLDER_RETRY_DELAYS_NS[self.holder_calls - 1]

    def _relay_call_finished(self, acknowledged: bool, now: int) -> None:
        """Record the end of a call to a relay.

        One acknowledgement is enough; after a failed call the next relay is called at once.
        """
        if acknowledged:
            self.relayed = True
            self.next_relay_call = None
        elif self.next_relay_call is not None:
            self.next_relay_call = min(self.next_relay_call, now)

    def time_to_next_call(self, now: int) -> int | None:
        """Return the time until `next_calls` has calls again; None: not before a call ends."""
        times = [at for at in (self.next_holder_call, self.next_relay_call) if at is not None]
        if self.finished or not times:
            return None
        return max(0, min(times) - now)

    def is_pending(self, now: int) -> bool:
        """Tell whether a stopping gateway has to wait for it."""
        if self.finished or self.relayed:
            return False
        return now - self.first_call_at <= SHUTDOWN_WAIT_FACTOR * self.release_within
