"""Membership of the gateways: which of them are alive, by probes and gossip.

The protocol is SWIM (Das, Gupta and Motivala, 2002) with three changes. The gateway that suspects a
member probes it directly, once a period, until the suspicion ends; all others only adopt its
decision. Helpers acknowledge at once that they were asked for an indirect probe, so a gateway that
gets no answer at all detects that it is isolated itself, and suspects nobody while it is (as in
Lifeguard, Dadgar, Phillips and Currey, 2018). And a process whose clock has jumped was paused: it
restarts the timeouts that ended meanwhile, since it could not have received an answer.

Views are not consistent: they differ while messages are in transit or lost. Code that divides work
by a view has to tolerate that (docs/fleet.md says for how long).
"""

from __future__ import annotations

from collections.abc import Callable, Iterator

from ..interface import ALL_GATEWAYS
from .codec import (
    ACK,
    ALIVE,
    DEAD,
    INCARNATION_RANGE,
    JOIN,
    LEAVE,
    LEAVING,
    MAX_UPDATES,
    PING,
    PING_REQUEST,
    PING_REQUEST_ACK,
    SUSPECT,
    TABLE,
    UNKNOWN,
    MembershipMessage,
    MemberUpdate,
    decode,
    encode,
    newer,
)
from .isolation import IsolationDetector
from .member_state import (
    MS,
    SECOND,
    Isolation,
    Member,
    MembershipConfig,
    Probe,
    ProbeRequester,
    View,
    supersedes,
    update_about,
    update_about_sender,
    view_of,
)
from .probe_targets import ProbeTargets

__all__ = [
    "ALIVE",
    "ALL_GATEWAYS",
    "DEAD",
    "LEAVING",
    "MS",
    "SECOND",
    "SUSPECT",
    "UNKNOWN",
    "MemberUpdate",
    "Membership",
    "MembershipConfig",
]

MAX_GATEWAYS = 4096  # a member's number takes 12 bits on the wire
LEAVE_GRACE_NS = 500 * MS  # from its announced stop until a leaving member is declared dead
JOIN_RESPONDERS = 3  # expected number of gateways that respond to a join
MAX_JOINS = 3  # sent while nobody responds
MAX_PROBES = 64  # pings without an ack yet, this gateway's own and those for others
MAX_OUTBOX = 4 * MAX_PROBES  # messages to be sent
SEQUENCE_RANGE = 1 << 16  # sequence numbers of probes wrap around at this number


class Membership:
    """One gateway's view of all others.

    `draw` returns random numbers from 0 up to 1. Times are nanoseconds and never go back.
    """

    def __init__(
        self,
        gateway_number: int,
        gateway_count: int,
        incarnation: int,
        zone: int,
        now: int,
        draw: Callable[[], float],
        config: MembershipConfig | None = None,
    ):
        if not 0 <= gateway_number < gateway_count <= MAX_GATEWAYS:
            raise ValueError(
                f"gateway {gateway_number} of {gateway_count}: gateways are numbered from 0, and "
                f"there are {MAX_GATEWAYS} at most"
            )
        self.gateway_number = gateway_number
        self.gateway_count = gateway_count
        self.zone = zone
        self.draw = draw
        self.config = config or MembershipConfig()
        self.incarnation = incarnation % INCARNATION_RANGE
        self.members = [Member(number) for number in range(gateway_count)]
        self.own_record = self.members[gateway_number]
        self.own_record.state = ALIVE
        self.own_record.incarnation = self.incarnation
        self.own_record.zone = zone
        self.own_record.state_since = now
        self.started_at = now
        self.last_run_at = now
        self.leaves_at: int | None = None  # when this gateway stops, once it is leaving
        self.superseded = False  # a newer process with this gateway's number is running
        self.probes: dict[int, Probe] = {}  # by sequence
        self.sequence = 0
        self.joins_sent = 0
        self.next_probe_at = now
        self.updates_to_gossip: dict[int, int] = {}  # member -> times still to be gossiped
        self.isolation_detector = IsolationDetector(
            self.members, zone, self.config.isolation_timeout, now
        )
        self.probe_targets = ProbeTargets(self.members, gateway_number, zone, draw)
        self.outbox: list[tuple[int, MembershipMessage]] = []
        self.counts = {"sent": 0, "heard": 0, "junk": 0, "bytes": 0, "refuted": 0}

    # ------------------------------------------------------------ queries

    def isolation(self, now: int) -> Isolation:
        """Return from whom this gateway is isolated."""
        return self.isolation_detector.isolation(now)

    def may_suspect(self, now: int, member: int) -> bool:
        """Return whether this gateway may suspect that member.

        Not while it is isolated from the member, or while another process has its number and
        receives part of the answers.
        """
        if self.superseded:
            return False
        isolation = self.isolation(now)
        if isolation == Isolation.ALL:
            return False
        return isolation != Isolation.OTHER_ZONES or self.members[member].zone == self.zone

    def view(self, now: int) -> View:
        """Return the members as this gateway sees them now."""
        return view_of(self.members, self.gateway_count, self.isolation(now))

    def dead_for(self, member: int, now: int) -> int | None:
        """Return the nanoseconds since the member was declared dead; None if it is not dead.

        Code that takes over its work has to add the longest time for which its process may go on
        running unnoticed.
        """
        record = self.members[member]
        return now - record.state_since if record.state == DEAD else None

    # ------------------------------------------------------------ events

    def record_sign_of_life(self, now: int, sender: int) -> None:
        """Record a message of any kind from that member itself, which shows that it is alive."""
        if not 0 <= sender < self.gateway_count or sender == self.gateway_number:
            return
        self.members[sender].last_heard_at = now
        answered_probes = [
            sequence
            for sequence, probe in self.probes.items()
            if probe.target == sender and probe.requester is None
        ]
        for sequence in answered_probes:
            del self.probes[sequence]
        self.extend_suspicion(now, sender)

    def leave(self, now: int, leaves_at: int) -> None:
        """Announce to all gateways that this one shuts down and will have stopped at that time."""
        if self.superseded:
            return
        self.leaves_at = leaves_at
        self.own_record.state = LEAVING
        self.own_record.state_since = now
        self.own_record.deadline = leaves_at
        self.queue_update(self.gateway_number)
        self.send(ALL_GATEWAYS, MembershipMessage(LEAVE, self.incarnation))

    def receive(self, now: int, sender: int, payload: bytes) -> None:
        """Handle one datagram from the member of that number."""
        message = decode(payload, sender, self.config.keys)
        is_other_member = 0 <= sender < self.gateway_count and sender != self.gateway_number
        if message is None or not is_other_member:
            self.counts["junk"] += 1
            return
        self.counts["heard"] += 1
        member = self.members[sender]
        was_known = member.state != UNKNOWN and member.incarnation == message.incarnation
        member.zone = message.zone
        self.apply_update(now, update_about_sender(sender, message))
        is_current = member.incarnation == message.incarnation
        if is_current or newer(message.incarnation, member.incarnation):
            self.record_sign_of_life(now, sender)
        for update in message.updates:
            self.apply_update(now, update)
        if message.kind == JOIN and was_known:
            return  # a repeated join: the responses to the first are in transit
        self.handle(now, sender, message)

    def handle(self, now: int, sender: int, message: MembershipMessage) -> None:
        """Handle a message by its kind."""
        if message.kind in (ACK, PING_REQUEST_ACK, TABLE):
            self.isolation_detector.record_answer(now, sender)
        if message.kind == PING:
            ack = MembershipMessage(ACK, self.incarnation, sequence=message.sequence)
            self.send(sender, ack)
        elif message.kind == ACK:
            self.handle_ack(now, sender, message)
        elif message.kind == PING_REQUEST:
            self.handle_ping_request(now, sender, message)
        elif message.kind == JOIN:
            self.handle_join(now, sender)

    def handle_ack(self, now: int, sender: int, message: MembershipMessage) -> None:
        """Handle an ack, and forward it if another gateway requested the probe."""
        probe = self.probes.pop(message.sequence, None)
        if probe is None:
            return
        if probe.requester is not None:
            ack = MembershipMessage(
                ACK, self.incarnation, sequence=probe.requester.sequence, subject=probe.target
            )
            self.send(probe.requester.gateway, ack)
        elif message.subject == probe.target and probe.target != sender:
            self.extend_suspicion(now, probe.target)

    def handle_ping_request(self, now: int, sender: int, message: MembershipMessage) -> None:
        """Probe a member for the sender, and acknowledge the request itself at once."""
        subject = message.subject
        if subject >= self.gateway_count or subject in (self.gateway_number, sender):
            return
        ack = MembershipMessage(
            PING_REQUEST_ACK, self.incarnation, sequence=message.sequence, subject=subject
        )
        self.send(sender, ack)
        self.ping(now, subject, ProbeRequester(sender, message.sequence))

    def handle_join(self, now: int, sender: int) -> None:
        """Send all members, with a probability that lets a few gateways respond to each join."""
        serving = len(self.view(now).serving)
        if self.draw() >= JOIN_RESPONDERS / max(1, serving - 1):
            return
        known = [
            update_about(now, member)
            for member in self.members
            if member.state != UNKNOWN and member.number != sender
        ]
        for start in range(0, len(known), MAX_UPDATES):
            updates = known[start : start + MAX_UPDATES]
            self.send(sender, MembershipMessage(TABLE, self.incarnation, updates=updates))

    def extend_suspicion(self, now: int, target: int) -> None:
        """Restart the suspicion of a member that this gateway or a helper has heard.

        It stays suspect, since the other gateways must get the refutation from the member itself.
        """
        member = self.members[target]
        if member.state == SUSPECT:
            deadline = self.suspicion_deadline(now, raised_here=member.suspected_here)
            member.deadline = max(member.deadline, deadline)

    # ------------------------------------------------------------ updates

    def apply_update(self, now: int, update: MemberUpdate) -> None:
        """Adopt an update that supersedes the member's record, and gossip it.

        A newer incarnation supersedes any state, a worse state one of the same incarnation.
        """
        if not 0 <= update.member < self.gateway_count:
            return
        if update.member == self.gateway_number:
            self.apply_own_update(update)
            return
        member = self.members[update.member]
        if not supersedes(update, member):
            return
        member.state = update.state
        member.incarnation = update.incarnation
        member.state_since = now
        member.suspected_here = False
        member.deadline = 0
        if update.state == LEAVING:
            member.deadline = now + update.time_left
        elif update.state == SUSPECT:
            member.deadline = self.suspicion_deadline(now, raised_here=False)
        self.queue_update(update.member)

    def apply_own_update(self, update: MemberUpdate) -> None:
        """Refute a wrong update about this gateway with a newer incarnation."""
        if newer(update.incarnation, self.incarnation) and update.state in (ALIVE, LEAVING):
            # Sent by the process that takes over from this one, or by a second one by mistake.
            self.superseded = True
            return
        is_outdated = newer(self.incarnation, update.incarnation)
        if self.superseded or is_outdated or update.state <= self.own_record.state:
            return
        self.incarnation = (update.incarnation + 1) % INCARNATION_RANGE
        self.own_record.incarnation = self.incarnation
        self.counts["refuted"] += 1
        self.queue_update(self.gateway_number)

    def queue_update(self, member: int) -> None:
        """Attach an update about a member to the next messages."""
        self.updates_to_gossip[member] = self.config.transmissions(self.gateway_count)

    # ------------------------------------------------------------ sending

    def outgoing(self, now: int) -> Iterator[tuple[int, bytes]]:
        """Yield the datagrams to be sent now, with their addressees (a number or ALL_GATEWAYS)."""
        delay = now - self.last_run_at - self.config.probe_period
        if delay > self.config.probe_period:
            self.resume(now, delay)
        self.last_run_at = now
        self.expire(now)
        if now >= self.next_probe_at:
            self.next_probe_at = now + self.config.probe_period
            self.join_or_probe(now)
        outbox = self.outbox
        self.outbox = []
        for addressee, message in outbox:
            yield addressee, self.encode_message(now, addressee, message)

    def encode_message(self, now: int, addressee: int, message: MembershipMessage) -> bytes:
        """Add this gateway's own state and queued updates to a message, and encode it."""
        message.zone = self.zone
        message.time_left = None if self.leaves_at is None else max(0, self.leaves_at - now)
        if message.kind != TABLE:
            message.updates = self.select_updates(now, addressee)
        payload = encode(message, self.gateway_number, self.config.keys)
        self.counts["sent"] += 1
        self.counts["bytes"] += len(payload)
        return payload

    def wait(self, now: int) -> int:
        """Return the nanoseconds until `outgoing` has to be called again."""
        if self.outbox:
            return 0
        next_event_at = self.next_probe_at
        for probe in self.probes.values():
            next_event_at = min(next_event_at, probe.sent_at + self.config.ack_timeout)
        return max(MS, next_event_at - now)

    def send(self, addressee: int, message: MembershipMessage) -> None:
        """Queue a message, or drop it if too many are queued."""
        if len(self.outbox) < MAX_OUTBOX:
            self.outbox.append((addressee, message))

    def select_updates(self, now: int, addressee: int) -> list[MemberUpdate]:
        """Select the queued updates that were transmitted least often so far.

        Where the addressee is suspected or dead, the update about it comes first, so that it can
        refute.
        """
        updates = []
        if addressee != ALL_GATEWAYS and self.members[addressee].state in (SUSPECT, DEAD):
            updates.append(update_about(now, self.members[addressee]))
        others = [number for number in self.updates_to_gossip if number != addressee]
        others.sort(key=self.updates_to_gossip.__getitem__, reverse=True)
        for number in others[: MAX_UPDATES - len(updates)]:
            updates.append(update_about(now, self.members[number]))
            self.updates_to_gossip[number] -= 1
            if self.updates_to_gossip[number] <= 0:
                del self.updates_to_gossip[number]
        return updates

    # ------------------------------------------------------------ probing

    def join_or_probe(self, now: int) -> None:
        """Start a period with a probe, or with a join while no other member is known."""
        nobody_known = all(
            member.state == UNKNOWN
            for member in self.members
            if member.number != self.gateway_number
        )
        if nobody_known and self.joins_sent < MAX_JOINS:
            self.joins_sent += 1
            self.send(ALL_GATEWAYS, MembershipMessage(JOIN, self.incarnation))
        else:
            self.probe(now)

    def ping(self, now: int, target: int, requester: ProbeRequester | None = None) -> None:
        """Send a ping, for another gateway if one requested it."""
        if len(self.probes) >= MAX_PROBES:
            return
        self.sequence = (self.sequence + 1) % SEQUENCE_RANGE
        self.probes[self.sequence] = Probe(target, now, requester=requester)
        self.send(target, MembershipMessage(PING, self.incarnation, sequence=self.sequence))
        if requester is None:
            self.isolation_detector.record_probe(target)

    def probe(self, now: int) -> None:
        """Ping the round's next member, those suspected here, and sometimes a lost one."""
        next_target = self.probe_targets.next_in_round()
        if next_target is not None:
            self.ping(now, next_target)
        self.ping_suspects(now)
        lost_member = self.probe_targets.lost_member()
        if lost_member is not None:
            self.ping(now, lost_member)

    def ping_suspects(self, now: int) -> None:
        """Ping the members that this gateway itself suspects, once a period."""
        targets = {probe.target for probe in self.probes.values()}
        for member in self.members:
            if member.state == SUSPECT and member.suspected_here and member.number not in targets:
                self.ping(now, member.number)

    def request_indirect_probe(self, sequence: int, probe: Probe) -> bool:
        """Ask helpers to ping the target; return whether there are any."""
        probe.helpers = self.probe_targets.helpers(probe.target, self.config.helpers)
        for helper in probe.helpers:
            self.isolation_detector.record_probe(helper)
            request = MembershipMessage(
                PING_REQUEST, self.incarnation, sequence=sequence, subject=probe.target
            )
            self.send(helper, request)
        return bool(probe.helpers)

    # ------------------------------------------------------------ timeouts

    def expire(self, now: int) -> None:
        """Handle the timeouts of probes, suspicions and leaving members."""
        for sequence, probe in list(self.probes.items()):
            if now - probe.sent_at >= self.config.ack_timeout:
                self.expire_probe(now, sequence, probe)
        for member in self.members:
            if member.state == SUSPECT:
                self.expire_suspicion(now, member)
            elif member.state == LEAVING:
                self.expire_leave(now, member)

    def expire_probe(self, now: int, sequence: int, probe: Probe) -> None:
        """Handle a ping without an ack: first by an indirect probe, then by a suspicion."""
        member = self.members[probe.target]
        if probe.requester is not None or member.state in (DEAD, UNKNOWN, LEAVING):
            del self.probes[sequence]
            return
        elapsed = now - probe.sent_at
        may_ask_helpers = not probe.helpers and elapsed < 2 * self.config.ack_timeout
        if may_ask_helpers and self.request_indirect_probe(sequence, probe):
            return
        if elapsed >= 3 * self.config.ack_timeout or not probe.helpers:
            del self.probes[sequence]
            self.suspect(now, member)

    def expire_suspicion(self, now: int, member: Member) -> None:
        """Declare a suspect dead that did not refute in time.

        A suspicion that came by gossip, and that no other gateway has decided since, first becomes
        this gateway's own, so that the suspect is probed from here before it is declared dead.
        """
        if now < member.deadline or not self.may_suspect(now, member.number):
            return
        if member.suspected_here:
            self.declare(now, member, DEAD)
        else:
            member.suspected_here = True
            member.deadline = self.suspicion_deadline(now, raised_here=True)

    def expire_leave(self, now: int, member: Member) -> None:
        """Declare a leaving member dead after its announced stop."""
        if member.number != self.gateway_number and now >= member.deadline + LEAVE_GRACE_NS:
            self.declare(now, member, DEAD)

    def suspect(self, now: int, member: Member) -> None:
        """Suspect a member after this gateway's own probe of it failed."""
        if member.state != ALIVE or not self.may_suspect(now, member.number):
            return
        self.declare(now, member, SUSPECT)
        member.suspected_here = True
        member.deadline = self.suspicion_deadline(now, raised_here=True)

    def suspicion_deadline(self, now: int, *, raised_here: bool) -> int:
        """Return when a suspect that is suspected now will be declared dead."""
        return now + self.config.suspicion_timeout(self.gateway_count, raised_here=raised_here)

    def declare(self, now: int, member: Member, state: int) -> None:
        """Change a member's state by this gateway's own decision, and gossip it."""
        member.state = state
        member.state_since = now
        member.suspected_here = False
        self.queue_update(member.number)

    def resume(self, now: int, delay: int) -> None:
        """Restart all timeouts after a pause of the process: answers may wait in its socket."""
        self.probes.clear()
        self.isolation_detector.reset(now)
        self.next_probe_at = now
        for member in self.members:
            if member.state == SUSPECT:
                member.deadline += delay
