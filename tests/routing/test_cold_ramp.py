"""Slow start of a reader: the limit holds for what all gateways together send to it."""

from __future__ import annotations

import heapq
import math
from dataclasses import dataclass, field

import pytest

from claycross.interface import EndpointListUpdate, StartAttempt
from tests.routing.router_harness import MS, SECOND, WRITERS, RouterHarness, entry, sends

READERS = [f"r{n}" for n in range(1, 17)]
WARMING = "r5"  # the reader in slow start
INITIAL_CAPACITY = 0.3  # share of its full capacity
SLOW_START_DURATION = 10 * SECOND
ARRIVAL_RATE = 40  # requests a second at all gateways together
UTILIZATION = 0.45  # share of the readers' capacity that the arrivals use
READ_TIME = 250 * MS
START = 100 * SECOND
RESTARTED_AT = 110 * SECOND  # start of the process of the warming reader


@dataclass
class SimulatedFleet:
    """Gateways that serve a load while one reader is in slow start.

    The reader is new or, with `was_listed`, known to the gateways before it restarted. One second
    after its start, the arrival rate is 1.5 times as high for three seconds. When the gateways
    learn of the reader, the first `restarted_gateways` of them have just been restarted.
    """

    gateway_count: int
    overload_window: int
    overload_multiple: float
    was_listed: bool
    restarted_gateways: int
    gateways: list[RouterHarness] = field(default_factory=list)
    # Due time, request and gateway of the results of reads, as a heap.
    results: list[tuple[int, int, int]] = field(default_factory=list)
    sent_at: list[int] = field(default_factory=list)  # attempts at the warming reader

    def __post_init__(self) -> None:
        self.gateways = [self.new_gateway(number) for number in range(self.gateway_count)]

    def new_gateway(self, number: int) -> RouterHarness:
        listed = [entry(name) for name in READERS if self.was_listed or name != WARMING]
        return RouterHarness(
            engines=[*listed, *WRITERS],
            seed=number,
            gateway_number=number,
            gateway_count=self.gateway_count,
            gossip_allowed=False,
            slow_start_initial=INITIAL_CAPACITY,
            slow_start_duration=SLOW_START_DURATION,
            overload_window=self.overload_window,
            overload_multiple=self.overload_multiple,
        )

    def run(self) -> None:
        """Serve the load until the slow start is over."""
        now = START
        request = 0
        announced = False
        while now < RESTARTED_AT + SLOW_START_DURATION:
            is_burst = RESTARTED_AT + SECOND <= now < RESTARTED_AT + 4 * SECOND
            now += int(SECOND / ARRIVAL_RATE / (1.5 if is_burst else 1.0))
            self.finish_reads(now)
            if now >= RESTARTED_AT and not announced:
                announced = True
                self.announce_warming_reader(now)
            request += 1
            self.arrive(request, now)

    def announce_warming_reader(self, now: int) -> None:
        """Restart some gateways, and add the warming reader to the endpoint list of all."""
        for number in range(self.restarted_gateways):
            self.gateways[number] = self.new_gateway(number)
        for gateway in self.gateways:
            gateway.wait(max(0, now - gateway.now))
            warming = entry(WARMING, started_at=RESTARTED_AT)
            gateway.handle(EndpointListUpdate("changes", [warming]))

    def arrive(self, request: int, now: int) -> None:
        """Let a request arrive at one of the gateways."""
        number = request * 7 % self.gateway_count
        gateway = self.gateways[number]
        gateway.wait(max(0, now - gateway.now))
        actions = gateway.ask(
            request,
            session=f"s{request}",
            prefix=f"p{request % 97}",
            prefix_tokens=800,
            prompt_tokens=2000,
        )
        for attempt in sends(actions):
            if attempt.engine == WARMING and now >= RESTARTED_AT:
                self.sent_at.append(now)
            heapq.heappush(self.results, (now + READ_TIME, request, number))

    def finish_reads(self, until: int) -> None:
        """End the reads whose results are due, and serve their writes at once."""
        while self.results and self.results[0][0] <= until:
            due, request, number = heapq.heappop(self.results)
            gateway = self.gateways[number]
            gateway.wait(max(0, due - gateway.now))
            if not any(owner == request for owner, _ in gateway.in_flight):
                continue  # the gateway was restarted
            for write in sends(gateway.reply(request, "read", took=READ_TIME)):
                self.finish_write(gateway, write)

    def finish_write(self, gateway: RouterHarness, write: StartAttempt) -> None:
        gateway.begin(write.request)
        gateway.reply(write.request, "ok", SECOND, ended=True)


@pytest.mark.parametrize("gateway_count", [4, 20, 30, 200])
@pytest.mark.parametrize(("window", "multiple"), [(3 * SECOND, 4.0), (3 * SECOND // 2, 2.5)])
@pytest.mark.parametrize("was_listed", [False, True], ids=["new", "restarted"])
def test_all_gateways_together_keep_the_budget_of_a_warming_reader(
    gateway_count, window, multiple, was_listed
):
    fleet = SimulatedFleet(gateway_count, window, multiple, was_listed, gateway_count // 2)
    fleet.run()
    assert fleet.sent_at, "the warming reader gets no reads"
    full_capacity = ARRIVAL_RATE / len(READERS) / UTILIZATION
    for begin in fleet.sent_at:
        age = begin - RESTARTED_AT
        capacity_share = INITIAL_CAPACITY + (1 - INITIAL_CAPACITY) * age / SLOW_START_DURATION
        budget = multiple * full_capacity * capacity_share * window / SECOND
        sent = sum(begin <= at < begin + window for at in fleet.sent_at)
        assert sent <= budget + 2 * math.sqrt(budget) + 2, (sent, budget, age / SECOND)
