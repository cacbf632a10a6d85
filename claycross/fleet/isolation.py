"""Detection that this gateway itself is isolated, rather than the other gateways being down."""

from __future__ import annotations

from .codec import DEAD, UNKNOWN
from .member_state import Isolation, Member

# Members that must be silent for this gateway to count as isolated, or all if there are fewer.
MIN_UNANSWERED = 3


class IsolationDetector:
    """Records which members were probed and which answered; times are nanoseconds.

    After `isolation_timeout` without an answer this gateway counts as isolated.
    """

    def __init__(self, members: list[Member], zone: int, isolation_timeout: int, now: int):
        self.members = members
        self.zone = zone
        self.isolation_timeout = isolation_timeout
        self.unanswered: set[int] = set()  # members probed since anyone answered
        self.unanswered_remote: set[int] = set()  # the same, of other zones
        self.last_answer_at = now
        self.last_remote_answer_at = now

    def isolation(self, now: int) -> Isolation:
        """Return from whom this gateway is isolated.

        With one other member isolation can't be told from that member's failure, and counts as
        such.
        """
        if self.is_isolated_from_all(now):
            return Isolation.ALL
        if self.is_isolated_from_other_zones(now):
            return Isolation.OTHER_ZONES
        return Isolation.NONE

    def is_isolated_from_all(self, now: int) -> bool:
        """Return whether nobody has answered for the timeout, though several were probed."""
        gateway_count = len(self.members)
        if gateway_count <= 2 or now - self.last_answer_at < self.isolation_timeout:
            return False
        return len(self.unanswered) >= min(MIN_UNANSWERED, gateway_count - 1)

    def is_isolated_from_other_zones(self, now: int) -> bool:
        """Return whether the same holds for the members of other zones."""
        remote_members = sum(
            member.zone not in (None, self.zone) and member.state not in (DEAD, UNKNOWN)
            for member in self.members
        )
        if remote_members <= 1 or now - self.last_remote_answer_at < self.isolation_timeout:
            return False
        return len(self.unanswered_remote) >= min(MIN_UNANSWERED, remote_members)

    def record_probe(self, target: int) -> None:
        """Count the target as unanswered until anyone answers.

        The silence of a member that was dead before says nothing about this gateway.
        """
        member = self.members[target]
        if member.state in (DEAD, UNKNOWN):
            return
        self.unanswered.add(target)
        if member.zone not in (None, self.zone):
            self.unanswered_remote.add(target)

    def record_answer(self, now: int, sender: int) -> None:
        """Record an answer, which shows that this gateway is not isolated from the sender."""
        self.last_answer_at = now
        self.unanswered.clear()
        if self.members[sender].zone not in (None, self.zone):
            self.last_remote_answer_at = now
            self.unanswered_remote.clear()

    def reset(self, now: int) -> None:
        """Forget unanswered probes, after the process was paused."""
        self.unanswered.clear()
        self.unanswered_remote.clear()
        self.last_answer_at = now
        self.last_remote_answer_at = now
