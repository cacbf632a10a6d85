"""Choice of the members that are probed next, and of the helpers for indirect probes."""

from __future__ import annotations

from collections.abc import Callable
from itertools import zip_longest

from .codec import ALIVE, DEAD, UNKNOWN
from .member_state import Member

# Share of the periods in which a dead or unknown member is probed, too.
LOST_PROBE_SHARE = 0.25
# With fewer members left in the round, dead or unknown ones are probed more often.
LOST_PROBE_BACKLOG = 4


class ProbeTargets:
    """Selects probe targets for the gateway `own_number`.

    `draw` returns random numbers from 0 up to 1.
    """

    def __init__(
        self, members: list[Member], own_number: int, zone: int, draw: Callable[[], float]
    ):
        self.members = members
        self.own_number = own_number
        self.zone = zone
        self.draw = draw
        self.order: list[int] = []  # members left in this round, the next one last

    def next_in_round(self) -> int | None:
        """Return the next member of a random order, which is drawn again for each round."""
        while self.order and self.members[self.order[-1]].state in (DEAD, UNKNOWN):
            self.order.pop()
        if not self.order:
            others = [
                member.number
                for member in self.members
                if member.number != self.own_number and member.state not in (DEAD, UNKNOWN)
            ]
            self.order = self.shuffled(others)
        return self.order.pop() if self.order else None

    def lost_member(self) -> int | None:
        """Return a lost member (dead or unknown), in one period of four, or more often among few.

        Without this, nobody would probe such a member after a partition has healed.
        """
        lost = [member.number for member in self.members if member.state in (DEAD, UNKNOWN)]
        if not lost:
            return None
        probability = max(LOST_PROBE_SHARE, 1 - len(self.order) / LOST_PROBE_BACKLOG)
        if self.draw() >= probability:
            return None
        return lost[int(self.draw() * len(lost)) % len(lost)]

    def helpers(self, target: int, count: int) -> list[int]:
        """Select members for an indirect probe, alternately of other zones and of this one.

        Those of other zones may reach the target by another route; whether those of this zone
        answer shows from whom this gateway is isolated.
        """
        alive = [
            member.number
            for member in self.members
            if member.number not in (self.own_number, target) and member.state == ALIVE
        ]
        candidates = self.shuffled(alive)
        local = [number for number in candidates if self.members[number].zone == self.zone]
        remote = [number for number in candidates if self.members[number].zone != self.zone]
        alternating = [
            number for pair in zip_longest(remote, local) for number in pair if number is not None
        ]
        return alternating[:count]

    def shuffled(self, numbers: list[int]) -> list[int]:
        """Return the numbers in a random order."""
        return sorted(numbers, key=lambda _: self.draw())
