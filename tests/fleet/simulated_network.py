"""Many members in virtual time, and a network between them that delays, loses, doubles and cuts."""

from __future__ import annotations

import heapq
import random
from itertools import count

from claycross.fleet.codec import ALIVE
from claycross.fleet.membership import ALL_GATEWAYS, MS, SECOND, Membership


class SimulatedNetwork:
    """Virtual time, and datagrams between `size` parties. `cut(a, b)`: whether what a sends to b is
    lost."""

    def __init__(self, size, seed, loss, doubled, late):
        self.draw, self.size, self.late = random.Random(seed), size, late
        self.loss, self.doubled = loss, doubled
        self.now, self.order, self.events = 1_000 * SECOND, count(), []
        self.cut = lambda a, b: False

    def push(self, at, *event):
        heapq.heappush(self.events, (at, next(self.order), event))

    def pop(self):
        """The next event, at whose time it is then."""
        self.now, _, event = heapq.heappop(self.events)
        return event

    def send(self, sender, to, payload):
        for n in range(self.size) if to == ALL_GATEWAYS else [to]:
            if n == sender or self.cut(sender, n) or self.draw.random() < self.loss:
                continue
            for _ in range(1 + (self.draw.random() < self.doubled)):
                self.push(
                    self.now + self.draw.randrange(MS, self.late + 1), "hear", n, sender, payload
                )


class SimulatedFleet(SimulatedNetwork):
    """Each member reads a clock of its own, `skew` apart."""

    def __init__(
        self,
        size,
        seed=1,
        loss=0.0,
        doubled=0.0,
        late=5 * MS,
        skew=0,
        zones=3,
        spec=None,
        together=False,
        kind=Membership,
    ):
        super().__init__(size, seed, loss, doubled, late)
        self.spec, self.zones, self.kind = spec, zones, kind
        self.skew = [self.draw.randrange(-skew, skew + 1) if skew else 0 for _ in range(size)]
        self.members: list[Membership | None] = [None] * size
        self.asleep: dict[int, list] = {}
        self.armed = [0] * size  # the number of the last alarm: older ones are void
        self.starts = [0] * size
        self.wanted = set(range(size))  # that run, or are being started
        self.delivered = self.bytes = 0
        self.watch = lambda crowd: None
        for n in range(size):
            self.start(n, at=self.now if together else self.now + self.draw.randrange(SECOND))

    def clock(self, n):
        return self.now + self.skew[n]

    def start(self, n, at=None, incarnation=None):
        """A new process of that number; the one before, if any, is killed."""
        self.members[n] = None
        self.wanted.add(n)
        self.push(self.now if at is None else at, "start", n, incarnation)

    def kill(self, n):
        self.members[n] = None
        self.wanted.discard(n)

    def pause(self, n):
        self.asleep[n] = []

    def wake(self, n):
        waiting = self.asleep.pop(n)
        self.arm(n)
        for sender, payload in waiting:  # what waited in its socket
            self.members[n].receive(self.clock(n), sender, payload)

    def arm(self, n, wait=0):
        self.armed[n] += 1
        self.push(self.now + wait, "due", n, self.armed[n])

    def run(self, span):
        until = self.now + span
        while self.events and self.events[0][0] <= until:
            what, n, *rest = self.pop()
            if what == "start":
                self.starts[n] += 1
                incarnation = rest[0] if rest[0] is not None else self.clock(n) // (10 * MS)
                self.members[n] = self.kind(
                    n,
                    self.size,
                    incarnation,
                    n % self.zones,
                    self.clock(n),
                    random.Random(f"{n}.{self.starts[n]}").random,
                    self.spec,
                )
                self.arm(n)
            elif (m := self.members[n]) is None:
                continue
            elif what == "hear":
                self.delivered += 1
                self.bytes += len(rest[1])
                if n in self.asleep:
                    self.asleep[n].append(rest)
                else:
                    m.receive(self.clock(n), *rest)
                    if m.outbox:
                        self.arm(n)
            elif n not in self.asleep and rest[0] == self.armed[n]:
                for to, payload in m.outgoing(self.clock(n)):
                    self.send(n, to, payload)
                self.arm(n, m.wait(self.clock(n)))
            self.watch(self)
        self.now = until

    def run_until(self, condition, within, step=50 * MS):
        """The time until the condition holds."""
        start = self.now
        while not condition():
            assert self.now - start < within, f"not within {within / SECOND} s"
            self.run(step)
        return self.now - start

    def alive(self):
        return [m for m in self.members if m is not None]

    def all_see(self, n, *states, by=None):
        return all(
            m.members[n].state in states
            for m in self.alive()
            if m.gateway_number != n and (by is None or m.gateway_number in by)
        )

    def has_converged(self):
        """Everyone that runs is seen as serving, with its true incarnation, by everyone that
        runs."""
        return self.wanted == {m.gateway_number for m in self.alive()} and all(
            a.members[b.gateway_number].state == ALIVE
            and a.members[b.gateway_number].incarnation == b.incarnation
            for a in self.alive()
            for b in self.alive()
        )
