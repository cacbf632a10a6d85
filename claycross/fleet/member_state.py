"""Data types of the membership protocol: its configuration, members, probes and views."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import StrEnum

from .codec import (
    ALIVE,
    LEAVING,
    UNKNOWN,
    MembershipMessage,
    MemberState,
    MemberUpdate,
    newer,
)

MS = 1_000_000  # nanoseconds in a millisecond
SECOND = 1_000_000_000  # nanoseconds in a second
REMOTE_SUSPICION_FACTOR = 2  # how much longer a suspicion lasts that was learned by gossip
# The states' names in the log and in the metrics.
STATE_NAMES: dict[int, str] = {
    MemberState.UNKNOWN: "unknown",
    MemberState.ALIVE: "serving",
    MemberState.SUSPECT: "suspect",
    MemberState.LEAVING: "stopping",
    MemberState.DEAD: "gone",
}


class Isolation(StrEnum):
    """From whom this gateway is isolated, by the names in the log."""

    NONE = ""
    OTHER_ZONES = "zone"
    ALL = "alone"


@dataclass(slots=True, frozen=True)
class MembershipConfig:
    """Configuration of the protocol, from the cooperation file; times are nanoseconds."""

    probe_period: int = SECOND
    ack_timeout: int = 250 * MS  # of a probe, until an indirect probe is requested
    helpers: int = 3  # gateways that are asked for an indirect probe
    suspicion_multiplier: float = 3.0  # periods of a suspicion, for each tenfold of members
    retransmit_multiplier: float = 2.0  # transmissions of an update, for each doubling of members
    isolation_timeout: int = 1500 * MS  # of probing without an ack, until this gateway is isolated
    keys: tuple[bytes, ...] = ()  # the first signs, each verifies

    def suspicion_timeout(self, gateway_count: int, *, raised_here: bool) -> int:
        """Return how long a suspect has to refute.

        That is longer where the suspicion came by gossip, so that the gateway that raised it, which
        goes on probing the suspect, decides first.
        """
        periods = self.suspicion_multiplier * max(1.0, math.log10(gateway_count))
        factor = 1 if raised_here else REMOTE_SUSPICION_FACTOR
        return int(periods * self.probe_period * factor)

    def transmissions(self, gateway_count: int) -> int:
        """Return how many times an update is gossiped."""
        return math.ceil(self.retransmit_multiplier * math.log2(gateway_count + 1))


@dataclass(slots=True)
class Member:
    """One gateway as this process sees it; times are on this process's clock, 0 for never."""

    number: int
    state: int = UNKNOWN
    incarnation: int = 0
    zone: int | None = None
    last_heard_at: int = 0  # last message from the member itself
    state_since: int = 0
    deadline: int = 0  # leaving: when it stops; suspect: when it is declared dead
    suspected_here: bool = False  # suspect because a probe of this gateway failed


@dataclass(slots=True, frozen=True)
class ProbeRequester:
    """The gateway that asked for an indirect probe, and the sequence number it used."""

    gateway: int
    sequence: int


@dataclass(slots=True)
class Probe:
    """A ping that has not been acknowledged yet."""

    target: int
    sent_at: int
    helpers: list[int] = field(default_factory=list)  # gateways asked to probe the target
    requester: ProbeRequester | None = None  # None: this gateway's own probe


@dataclass(slots=True, frozen=True)
class View:
    """The members as this gateway sees them at one moment."""

    counts: dict[str, int]  # name of a state -> number of members
    serving: tuple[int, ...]  # includes this gateway while it is alive
    present: tuple[int, ...]  # alive, suspect or leaving
    known_share: float  # of the configured members, those that were heard of
    isolation: Isolation


def view_of(members: Iterable[Member], gateway_count: int, isolation: Isolation) -> View:
    """Summarise the members' states."""
    counts = dict.fromkeys(STATE_NAMES.values(), 0)
    serving: list[int] = []
    present: list[int] = []
    for member in members:
        counts[STATE_NAMES[member.state]] += 1
        if member.state == MemberState.ALIVE:
            serving.append(member.number)
        if member.state not in (MemberState.UNKNOWN, MemberState.DEAD):
            present.append(member.number)
    known_share = 1 - counts[STATE_NAMES[MemberState.UNKNOWN]] / gateway_count
    return View(counts, tuple(serving), tuple(present), known_share, isolation)


def supersedes(update: MemberUpdate, member: Member) -> bool:
    """Return whether an update is more recent than the member's record."""
    if member.state == UNKNOWN or newer(update.incarnation, member.incarnation):
        return True
    return update.incarnation == member.incarnation and update.state > member.state


def update_about(now: int, member: Member) -> MemberUpdate:
    """Return a member's record as an update."""
    time_left = max(0, member.deadline - now) if member.state == LEAVING else 0
    return MemberUpdate(member.number, member.state, member.incarnation, time_left)


def update_about_sender(sender: int, message: MembershipMessage) -> MemberUpdate:
    """Return what a message says about its sender as an update."""
    if message.time_left is None:
        return MemberUpdate(sender, ALIVE, message.incarnation)
    return MemberUpdate(sender, LEAVING, message.incarnation, message.time_left)
