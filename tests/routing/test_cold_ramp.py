"""The ramp of a cold engine holds for the fleet: what all gateways together send it."""

import heapq
import math

import pytest

from claycross import interface as i
from tests.routing.router_harness import MS, SECOND, WRITERS, RouterHarness, entry, sends

READERS = [f"r{n}" for n in range(1, 17)]
COLD_FROM, WARM_AFTER, RATE, USED = (
    0.3,
    10 * SECOND,
    40,
    0.45,
)  # requests a second of all; share of capacity


def play(nodes, window, multiple, back, restarted, peers):
    """When each send to the cold reader went out. It is new, or `back` under the id that it had; a
    burst of half as much again comes 1 s after it, and a part of the gateways has just been
    restarted."""
    rules = {
        "slow_start_initial": COLD_FROM,
        "slow_start_duration": WARM_AFTER,
        "overload_window": window,
        "overload_multiple": multiple,
        "gossip_allowed": peers,
        "gateway_count": nodes,
    }
    began = 110 * SECOND
    warm = [entry(n) for n in READERS if back or n != "r5"]
    desks = [
        RouterHarness(engines=[*warm, *WRITERS], seed=n, gateway_number=n, **rules)
        for n in range(nodes)
    ]
    at, replies, now, n = [], [], 100 * SECOND, 0

    def settle(until):
        while replies and replies[0][0] <= until:
            when, request, d = heapq.heappop(replies)[:3]
            d = desks[d]
            d.wait(max(0, when - d.now))
            if any(r == request for r, _ in d.in_flight):
                for a in sends(d.reply(request, "read", took=READ)):
                    d.begin(a.request)
                    d.reply(a.request, "ok", SECOND, ended=True)

    READ = 250 * MS
    while now < began + WARM_AFTER:
        burst = 1.5 if began + SECOND <= now < began + 4 * SECOND else 1.0
        now += int(SECOND / RATE / burst)
        settle(now)
        if (
            now >= began
            and n >= 0
            and not at
            and not any(
                "r5" in d.router.health.engines and d.router.health.engines["r5"].entry.started_at
                for d in desks
            )
        ):
            for k, d in enumerate(desks):
                if k < restarted:
                    desks[k] = d = RouterHarness(
                        engines=[*warm, *WRITERS], seed=k, gateway_number=k, **rules
                    )
                d.wait(max(0, now - d.now))
                d.handle(i.EndpointListUpdate("changes", [entry("r5", started_at=began)]))
        n += 1
        me = n * 7 % nodes
        d = desks[me]
        d.wait(max(0, now - d.now))
        for a in sends(
            d.ask(n, session=f"s{n}", prefix=f"p{n % 97}", prefix_tokens=800, prompt_tokens=2000)
        ):
            if a.engine == "r5" and now >= began:
                at.append(now)
            heapq.heappush(replies, (now + READ, n, me))
    return at, began


@pytest.mark.parametrize("nodes", [4, 20, 30, 200])
@pytest.mark.parametrize(("window", "multiple"), [(3 * SECOND, 4.0), (3 * SECOND // 2, 2.5)])
@pytest.mark.parametrize("back", [False, True], ids=["new", "back"])
def test_all_gateways_together_keep_the_budget_of_a_warming_reader(nodes, window, multiple, back):
    at, began = play(nodes, window, multiple, back, restarted=nodes // 2, peers=False)
    capacity = RATE / len(READERS) / USED
    for begin in at:
        present = capacity * (COLD_FROM + (1 - COLD_FROM) * (begin - began) / WARM_AFTER)
        budget = multiple * present * window / SECOND
        got = sum(begin <= t < begin + window for t in at)
        assert got <= budget + 2 * math.sqrt(budget) + 2, (got, budget, (begin - began) / SECOND)
    assert at, "it stands idle"
