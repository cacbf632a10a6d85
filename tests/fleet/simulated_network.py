"""Simulation in virtual time of many gateways and of the network between them.

The network delays, loses, duplicates and blocks datagrams.
"""

from __future__ import annotations

import heapq
import random
from itertools import count

from claycross.fleet.codec import ALIVE
from claycross.fleet.membership import ALL_GATEWAYS, MS, SECOND, Membership

START_TIME = 1_000 * SECOND
INCARNATION_UNIT_NS = 10 * MS


class SimulatedNetwork:
    """Virtual time, and datagrams between `size` gateways.

    `loss` and `duplication` are probabilities; `is_blocked(sender, receiver)` tells whether all
    that the one sends to the other is lost.
    """

    def __init__(self, size, seed, loss, duplication, max_delay):
        self.random = random.Random(seed)
        self.size = size
        self.max_delay = max_delay
        self.loss = loss
        self.duplication = duplication
        self.now = START_TIME
        self.event_numbers = count()  # events at the same time happen in this order
        self.events = []
        self.is_blocked = lambda sender, receiver: False

    def schedule(self, at, *event):
        heapq.heappush(self.events, (at, next(self.event_numbers), event))

    def next_event(self):
        """Remove and return the next event, and set the time to it."""
        self.now, _, event = heapq.heappop(self.events)
        return event

    def send(self, sender, recipient, payload):
        """Send a datagram to one gateway or to ALL_GATEWAYS."""
        for receiver in range(self.size) if recipient == ALL_GATEWAYS else [recipient]:
            if receiver == sender or self.is_blocked(sender, receiver):
                continue
            if self.random.random() < self.loss:
                continue
            copies = 1 + (self.random.random() < self.duplication)
            for _ in range(copies):
                arrival = self.now + self.random.randrange(MS, self.max_delay + 1)
                self.schedule(arrival, "datagram", receiver, sender, payload)


class SimulatedFleet(SimulatedNetwork):
    """Members of the membership protocol.

    Args:
        size: The number of members.
        seed: Of all random numbers.
        loss: The probability that a datagram is lost.
        duplication: The probability that a datagram arrives twice.
        max_delay: The longest delay of a datagram, in nanoseconds.
        clock_skew: Each member's clock differs from virtual time by up to this.
        zones: The members are spread evenly over so many zones.
        config: The configuration of the protocol.
        simultaneous: Whether all members start at the same time, not within a second.
        member_class: The class of the members.
    """

    def __init__(
        self,
        size,
        seed=1,
        loss=0.0,
        duplication=0.0,
        max_delay=5 * MS,
        clock_skew=0,
        zones=3,
        config=None,
        simultaneous=False,
        member_class=Membership,
    ):
        super().__init__(size, seed, loss, duplication, max_delay)
        self.config = config
        self.zones = zones
        self.member_class = member_class
        self.clock_offsets = [
            self.random.randrange(-clock_skew, clock_skew + 1) if clock_skew else 0
            for _ in range(size)
        ]
        self.members: list[Membership | None] = [None] * size
        self.paused: dict[int, list] = {}  # member -> the datagrams that wait in its socket
        self.timer_numbers = [0] * size  # of each member's current timer: earlier ones are void
        self.starts = [0] * size
        self.expected = set(range(size))  # members that are running or about to start
        self.delivered = 0
        self.bytes = 0
        self.after_event = lambda fleet: None
        for member in range(size):
            start_at = self.now if simultaneous else self.now + self.random.randrange(SECOND)
            self.start(member, at=start_at)

    def clock(self, member):
        """Return the time by that member's clock."""
        return self.now + self.clock_offsets[member]

    def start(self, member, at=None, incarnation=None):
        """Start a new process of that member; an earlier one, if any, is killed."""
        self.members[member] = None
        self.expected.add(member)
        self.schedule(self.now if at is None else at, "start", member, incarnation)

    def kill(self, member):
        self.members[member] = None
        self.expected.discard(member)

    def pause(self, member):
        self.paused[member] = []

    def resume(self, member):
        """Continue a paused process, which then receives what waits in its socket."""
        waiting = self.paused.pop(member)
        self.set_timer(member)
        for sender, payload in waiting:
            self.members[member].receive(self.clock(member), sender, payload)

    def set_timer(self, member, wait=0):
        self.timer_numbers[member] += 1
        self.schedule(self.now + wait, "timer", member, self.timer_numbers[member])

    def run(self, duration):
        end = self.now + duration
        while self.events and self.events[0][0] <= end:
            kind, member, *arguments = self.next_event()
            if kind == "start":
                self.start_process(member, *arguments)
            elif self.members[member] is None:
                continue
            elif kind == "datagram":
                self.deliver(member, *arguments)
            else:
                self.run_timer(member, *arguments)
            self.after_event(self)
        self.now = end

    def start_process(self, member, incarnation):
        self.starts[member] += 1
        if incarnation is None:
            incarnation = self.clock(member) // INCARNATION_UNIT_NS
        self.members[member] = self.member_class(
            member,
            self.size,
            incarnation,
            member % self.zones,
            self.clock(member),
            random.Random(f"{member}.{self.starts[member]}").random,
            self.config,
        )
        self.set_timer(member)

    def deliver(self, member, sender, payload):
        self.delivered += 1
        self.bytes += len(payload)
        if member in self.paused:
            self.paused[member].append((sender, payload))
            return
        membership = self.members[member]
        membership.receive(self.clock(member), sender, payload)
        if membership.outbox:
            self.set_timer(member)

    def run_timer(self, member, timer_number):
        if member in self.paused or timer_number != self.timer_numbers[member]:
            return
        membership = self.members[member]
        for recipient, payload in membership.outgoing(self.clock(member)):
            self.send(member, recipient, payload)
        self.set_timer(member, membership.wait(self.clock(member)))

    def run_until(self, condition, timeout, step=50 * MS):
        """Run until the condition holds; return how long that took."""
        start = self.now
        while not condition():
            assert self.now - start < timeout, f"not within {timeout / SECOND} s"
            self.run(step)
        return self.now - start

    def alive(self):
        return [member for member in self.members if member is not None]

    def all_see(self, target, *states, observers=None):
        """Return whether all others, or all observers, see the target in one of the states."""
        return all(
            member.members[target].state in states
            for member in self.alive()
            if member.gateway_number != target
            and (observers is None or member.gateway_number in observers)
        )

    def has_converged(self):
        """Return whether all see each running member as serving, with its true incarnation."""
        return self.expected == {member.gateway_number for member in self.alive()} and all(
            observer.members[member.gateway_number].state == ALIVE
            and observer.members[member.gateway_number].incarnation == member.incarnation
            for observer in self.alive()
            for member in self.alive()
        )
