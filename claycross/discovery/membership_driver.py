"""Runs the membership protocol on the event loop: its datagrams, its timer, its log lines.

Which gateways are alive is judged in fleet/membership.py only. Nothing here waits for a gateway.
"""

from __future__ import annotations

import hashlib
import random
from collections.abc import Callable

from ..fleet.codec import is_message
from ..fleet.membership import NAMES, Member, Membership, MembershipConfig, View
from ..net.datagrams import DatagramSocket
from ..net.loop import MS, EventLoop, Timer

INCARNATION_STEP = 10 * MS  # of a process's start per incarnation: they wrap around in 46 hours
MAX_LOGGED_CHANGES = 12  # changes logged one by one in an event loop iteration; more are counted
CUT_LEVELS = ("", "zone", "alone")  # their places are the values of the metric


class MembershipDriver:
    """Connects a `Membership` to the datagram socket and the event loop.

    `zone` is the name of this gateway's zone, of which the others receive a hash of one byte.
    """

    def __init__(
        self,
        loop: EventLoop,
        peers: DatagramSocket,
        me: int,
        nodes: int,
        zone: str,
        seed: int,
        spec: MembershipConfig,
        log: Callable[[str], None],
    ):
        self.loop = loop
        self.peers = peers
        self.log = log
        now = loop.now()
        zone_hash = hashlib.blake2b(zone.encode(), digest_size=1).digest()[0]
        draw = random.Random(seed).random
        self.members = Membership(me, nodes, now // INCARNATION_STEP, zone_hash, now, draw, spec)
        self.seen = [member.state for member in self.members.members]
        self.cut = ""
        self.stirred = True  # something was received or sent since the last look for changes
        self.timer: Timer | None = None
        loop.after_iteration.append(self.follow)
        self.turn()

    def receive(self, sender: int, payload: bytes) -> bool:
        """Handles a datagram; False: it holds load gossip, which shows that its sender lives."""
        if not is_message(payload):
            self.members.sign_of_life(self.loop.now(), sender)
            return False
        self.members.receive(self.loop.now(), sender, payload)
        self.stirred = True
        return True

    def stop(self, within: int) -> None:
        """This process shuts down, and will be gone within that time."""
        now = self.loop.now()
        self.members.leave(now, now + within)

    def view(self) -> View:
        """The members as seen now."""
        return self.members.view(self.loop.now())

    def turn(self) -> None:
        """Sends what is due, and sets the timer for what comes next."""
        self.stirred = True
        for addressee, payload in self.members.outgoing(self.loop.now()):
            self.peers.send_to_gateway(payload, addressee)
        if self.timer:
            self.timer.cancel()
        self.timer = self.loop.call_later(self.members.wait(self.loop.now()), self.turn)

    def follow(self) -> None:
        """After each event loop iteration: sends answers at once and logs changes.

        Changes are looked for only where something was received or sent, since the look goes over
        all members.
        """
        if self.members.outbox:
            self.turn()
        if not self.stirred:
            return
        self.stirred = False
        self.log_changed_members()
        self.log_changed_cut()

    def log_changed_members(self) -> None:
        """Logs the members whose state has changed since the last look."""
        changed = [
            member
            for member, seen in zip(self.members.members, self.seen, strict=True)
            if member.state != seen
        ]
        for member in changed[:MAX_LOGGED_CHANGES]:
            self.log_changed_member(member)
        if len(changed) > MAX_LOGGED_CHANGES:
            self.log(f"members changed={len(changed)}")
        for member in changed:
            self.seen[member.number] = member.state

    def log_changed_member(self, member: Member) -> None:
        """Logs one member's state and the one before."""
        state = NAMES[member.state]
        was = NAMES[self.seen[member.number]]
        self.log(
            f"member number={member.number} state={state} was={was} "
            f"incarnation={member.incarnation}"
        )

    def log_changed_cut(self) -> None:
        """Logs when this gateway becomes isolated, or is no longer."""
        cut = self.members.cut(self.loop.now())
        if cut != self.cut:
            self.log(f"isolation-changed from={cut or 'nobody'} was={self.cut or 'nobody'}")
            self.cut = cut

    def metrics(self) -> dict[str, int]:
        """Members by state, whether this gateway is isolated, and messages since the start.

        Isolation is 0 for none, 1 from other zones, 2 from all.
        """
        view = self.view()
        metrics = {f"members_{name}": count for name, count in view.counts.items()}
        metrics["members_cut"] = CUT_LEVELS.index(view.cut)
        for name, count in self.members.counts.items():
            metrics[f"messages_{name}"] = count
        return metrics
