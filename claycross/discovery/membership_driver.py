"""Runs the membership protocol on the event loop: its datagrams, its timer and its log lines.

The decisions on which gateways are alive are made in fleet/membership.py only. Nothing here waits
for a gateway.
"""

from __future__ import annotations

import hashlib
import random
from collections.abc import Callable

from ..fleet.codec import is_message
from ..fleet.member_state import STATE_NAMES, Isolation, Member, MembershipConfig, View
from ..fleet.membership import Membership
from ..net.datagrams import DatagramSocket
from ..net.loop import MS, EventLoop, Timer

# Incarnations are start times in this unit; they wrap around in 46 hours.
INCARNATION_UNIT_NS = 10 * MS
# Changes of state that are logged in one iteration of the event loop; of more, only their number.
MAX_LOGGED_CHANGES = 12
# The values of the metric are the indices.
ISOLATION_LEVELS = (Isolation.NONE, Isolation.OTHER_ZONES, Isolation.ALL)


class MembershipDriver:
    """Connects a `Membership` to the datagram socket and the event loop.

    The other gateways receive a hash of one byte of the name of this gateway's zone.
    """

    def __init__(
        self,
        loop: EventLoop,
        peers: DatagramSocket,
        gateway_number: int,
        gateway_count: int,
        zone: str,
        seed: int,
        config: MembershipConfig,
        log: Callable[[str], None],
    ):
        self.loop = loop
        self.peers = peers
        self.log = log
        now = loop.now()
        zone_hash = hashlib.blake2b(zone.encode(), digest_size=1).digest()[0]
        draw = random.Random(seed).random
        self.membership = Membership(
            gateway_number,
            gateway_count,
            now // INCARNATION_UNIT_NS,
            zone_hash,
            now,
            draw,
            config,
        )
        self.logged_states = [member.state for member in self.membership.members]
        self.logged_isolation = Isolation.NONE
        # Whether anything was received or sent since changes were last logged.
        self.may_have_changed = True
        self.timer: Timer | None = None
        loop.after_iteration.append(self.after_iteration)
        self.send_due()

    def receive(self, sender: int, payload: bytes) -> bool:
        """Handle a datagram; False: it is load gossip, which only shows that the sender lives."""
        if not is_message(payload):
            self.membership.record_sign_of_life(self.loop.now(), sender)
            return False
        self.membership.receive(self.loop.now(), sender, payload)
        self.may_have_changed = True
        return True

    def stop(self, within: int) -> None:
        """Announce that this process shuts down, and will have stopped within that time."""
        now = self.loop.now()
        self.membership.leave(now, now + within)

    def view(self) -> View:
        """Return the members as this gateway sees them now."""
        return self.membership.view(self.loop.now())

    def send_due(self) -> None:
        """Send the datagrams that are due, and set the timer for the next ones."""
        self.may_have_changed = True
        for addressee, payload in self.membership.outgoing(self.loop.now()):
            self.peers.send_to_gateway(payload, addressee)
        if self.timer:
            self.timer.cancel()
        self.timer = self.loop.call_later(self.membership.wait(self.loop.now()), self.send_due)

    def after_iteration(self) -> None:
        """Send answers and log changes after each iteration of the event loop.

        Since it compares all members, it looks for changes only after something was received or
        sent.
        """
        if self.membership.outbox:
            self.send_due()
        if not self.may_have_changed:
            return
        self.may_have_changed = False
        self.log_member_changes()
        self.log_isolation_change()

    def log_member_changes(self) -> None:
        """Log the members whose state has changed."""
        changed = [
            member
            for member, logged_state in zip(
                self.membership.members, self.logged_states, strict=True
            )
            if member.state != logged_state
        ]
        for member in changed[:MAX_LOGGED_CHANGES]:
            self.log_member_change(member)
        if len(changed) > MAX_LOGGED_CHANGES:
            self.log(f"members changed={len(changed)}")
        for member in changed:
            self.logged_states[member.number] = member.state

    def log_member_change(self, member: Member) -> None:
        """Log one member's state and the one before."""
        state = STATE_NAMES[member.state]
        was = STATE_NAMES[self.logged_states[member.number]]
        self.log(
            f"member number={member.number} state={state} was={was} "
            f"incarnation={member.incarnation}"
        )

    def log_isolation_change(self) -> None:
        """Log when this gateway becomes isolated, or is no longer."""
        isolation = self.membership.isolation(self.loop.now())
        if isolation == self.logged_isolation:
            return
        was = self.logged_isolation
        self.log(f"isolation-changed from={isolation or 'nobody'} was={was or 'nobody'}")
        self.logged_isolation = isolation

    def metrics(self) -> dict[str, int]:
        """Return the members by state, the isolation, and the counts of messages since the start.

        Isolation is 0 for none, 1 from other zones, 2 from all.
        """
        view = self.view()
        metrics = {f"members_{name}": count for name, count in view.counts.items()}
        metrics["members_cut"] = ISOLATION_LEVELS.index(view.isolation)
        for name, count in self.membership.counts.items():
            metrics[f"messages_{name}"] = count
        return metrics
