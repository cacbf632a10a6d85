"""The steps of DESIGN: prefix table, session record, homes, E2, the imbalance test, the writer
rule."""

from collections import Counter

from claycross.routing.router import Request, rank
from tests.routing.router_harness import (
    MS,
    READERS,
    SECOND,
    WRITERS,
    EndpointListUpdate,
    LoadReport,
    RouterHarness,
    entry,
    sends,
)


def test_an_unknown_prefix_goes_to_its_rendezvous_home_at_every_node():
    for n in range(12):
        prefix = f"p{n}"
        homes = {
            sends(RouterHarness(seed=seed).ask(1, prefix=prefix, prefix_tokens=900))[0].engine
            for seed in (1, 2)
        }
        assert homes == {max(READERS, key=lambda e, p=prefix: rank(p, e))}


def test_a_known_prefix_that_outweighs_the_rest_goes_to_its_holder():
    d = RouterHarness()
    holder, _ = d.serve(1, session="a", prompt_tokens=1000)  # explored: no prefix yet
    d.router.prefix_cache.record_read(_arrival(prefix="p", prefix_tokens=900), holder, d.now)
    for n in range(2, 6):
        assert d.serve(n, prefix="p", prefix_tokens=900)[0] == holder


def test_a_hot_prefix_is_read_at_the_same_few_homes_by_nodes_that_see_little_of_it():
    readers = {f"r{n}" for n in range(1, 13)}
    used = []
    for me in range(10):
        d = RouterHarness(
            engines=[*sorted(readers), "w1", "w2"], seed=me, gateway_count=10, gateway_number=me
        )
        for n in range(16):  # one arrival in four, spread over half a minute
            hot = n % 4 == 0
            prefix = "hot" if hot else f"p{me} {n}"
            reader, _ = d.serve(n, session=f"{me} {n}", prefix=prefix, prefix_tokens=900)
            used += [reader] if hot else []
            d.now += 2 * SECOND
    assert 2 <= len(set(used)) <= 4
    assert max(used.count(r) for r in used) < len(used) * 0.85


def test_a_session_new_to_this_node_goes_where_other_nodes_send_it():
    """At many nodes its next turn comes to another one: without a prefix its own key has a home."""
    homes = {RouterHarness(seed=n, gateway_number=n).serve(n, session="s")[0] for n in range(6)}
    assert len(homes) == 1


def _arrival(**fields):
    from claycross.interface import RequestArrived

    return RequestArrived(0, "ask", SECOND, prompt_tokens=1000, **fields)


def test_the_longer_match_wins_between_session_and_prefix():
    d = RouterHarness()
    now = d.now
    d.router.prefix_cache.record_read(_arrival(prefix="p", prefix_tokens=600), "r1", now)
    d.router.prefix_cache.record_read(_arrival(session="s"), "r2", now)
    assert (
        sends(d.ask(1, prefix="p", prefix_tokens=600, session="s", prompt_tokens=1200))[0].engine
        == "r2"
    )


def test_a_credit_ages_out():
    d = RouterHarness()
    d.router.prefix_cache.record_read(_arrival(prefix="p", prefix_tokens=900), "r1", d.now)
    assert (
        d.router.prefix_cache.matches(_arrival(prefix="p", prefix_tokens=900), d.now + 31 * SECOND)
        == {}
    )
    d.router.prefix_cache.age(d.now + 31 * SECOND, SECOND)
    assert not d.router.prefix_cache.prefixes and d.router.prefix_cache.credited_tokens["r1"] == 0


def test_a_short_match_is_explored_by_load():
    d = RouterHarness()
    d.router.prefix_cache.record_read(_arrival(prefix="p", prefix_tokens=100), "r1", d.now)
    d.router.health.engines["r1"].reading_tokens = 5000.0
    assert sends(d.ask(1, prefix="p", prefix_tokens=100))[0].engine != "r1"


def test_a_holder_loaded_past_twice_the_mean_is_not_exploited():
    d = RouterHarness()
    d.router.prefix_cache.record_read(_arrival(prefix="p", prefix_tokens=900), "r1", d.now)
    for n in range(2, 5):
        d.router.health.engines[f"r{n}"].reading_tokens = 4000.0
    d.router.health.engines["r1"].reading_tokens = 4500.0
    assert sends(d.ask(1, prefix="p", prefix_tokens=900))[0].engine == "r1"
    d.router.health.engines["r1"].reading_tokens = 40_000.0
    assert sends(d.ask(2, prefix="p", prefix_tokens=900))[0].engine != "r1"


def test_a_busy_holder_keeps_its_prefix_while_its_queue_is_shorter_than_reading_anew():
    """In an almost idle fleet every reader at work lies over twice the mean load."""
    d = RouterHarness()
    d.router.prefix_cache.record_read(_arrival(prefix="p", prefix_tokens=900), "r1", d.now)
    for n, (queued, kept_there) in enumerate(((800.0, True), (1200.0, False))):
        d.router.health.engines["r1"].reading_tokens = queued
        assert (sends(d.ask(n, prefix="p", prefix_tokens=900))[0].engine == "r1") is kept_there


def test_a_prefix_whose_home_is_overloaded_goes_to_the_next_reader_in_its_order():
    """From all gateways that know the loads: the overflow is read at one more place, not
    everywhere."""
    names = [f"r{n}" for n in range(1, 13)]
    order = sorted(names, key=lambda e: -rank("p", e))
    used = set()
    for me in range(6):
        d = RouterHarness(
            engines=[*names, "w1"],
            seed=me,
            gateway_number=me,
            gateway_count=60,
            gossip_allowed=True,
        )
        for e in d.router.health.engines.values():
            if e.role == "read":
                e.reading_tokens = (
                    9000.0 if e.id == order[0] else 50.0 * (me + 1) if e.id == order[1] else 0.0
                )
        used.add(sends(d.ask(1 + me, prefix="p", prefix_tokens=900, session=f"s{me}"))[0].engine)
    assert used == {order[1]}


def test_a_prompt_that_would_be_late_at_every_reader_does_not_overflow_to_a_busier_one():
    """Overloaded, the least loaded reader serves it soonest; its prefix is nowhere else anyway."""
    names = [f"r{n}" for n in range(1, 5)]
    order = sorted(names, key=lambda e: -rank("p", e))
    d = RouterHarness(engines=[*names, "w1"], gateway_count=60, gossip_allowed=True)
    for e, queued in zip(order, (90_000.0, 30_000.0, 30_000.0, 17_500.0), strict=True):
        d.router.health.engines[e].reading_tokens = queued
    d.router.prediction_error_quantiles = [
        1.0,
        3.0,
    ]  # late for certain nowhere, and nowhere surely in time
    r = d.router
    r.health.pool.begin_batch(d.now)
    asked = Request(_arrival(prefix="p", prefix_tokens=900), r.settings.classes["ask"], d.now, 0)
    readers = [r.health.engines[e] for e in names]
    assert r.dispatcher.reader_selector.pick(asked, readers, d.now).engine.id == order[3]


def test_a_reader_without_a_report_counts_as_average():
    d = RouterHarness()
    for n, waiting in ((1, 8000), (2, 100), (3, 9000)):
        e = d.router.health.engines[f"r{n}"]
        e.report, e.report_at = LoadReport(waiting_tokens=waiting), d.now
    assert sends(d.ask(1))[0].engine == "r2"


def test_eviction_weighs_when_loads_are_equal():
    d = RouterHarness(engines=["r1", "r2", "w1"])
    for n in range(30):
        d.router.prefix_cache.record_read(_arrival(prefix=f"p{n}", prefix_tokens=5000), "r1", d.now)
    assert sends(d.ask(1))[0].engine == "r2"


def test_the_writer_of_lowest_projected_memory_is_chosen_after_the_read():
    d = RouterHarness(engines=["r1", "w1", "w3"])
    e = d.router.health.engines["w1"]
    e.report, e.report_at = LoadReport(memory_share=0.6), d.now
    assert d.serve(1)[1] == "w3"


def test_a_cell_with_few_writers_sends_the_rest_of_its_reads_where_writers_are_to_spare():
    """Each of many nodes sends to a near writer but seldom, so nobody sees it fill while far ones
    idle."""
    cells = {"r1": 0, "r2": 0, "r3": 0, "r4": 1, "w1": 0, "w2": 1, "w3": 1, "w4": 1}
    used = []
    for me in range(20):
        d = RouterHarness(
            engines=[entry(e, zone="north", cell=c) for e, c in cells.items()],
            seed=me,
            gateway_number=me,
            gateway_count=20,
        )
        for n in range(10):
            reader, writer = d.serve(100 * me + n, session=f"{me} {n}")
            used += [(cells[reader], writer)]
    home = [w for cell, w in used if cell == 0]
    assert (
        0.2 < home.count("w1") / len(home) < 0.5
    )  # its writer can take a third of three readers' work
    assert all(w != "w1" for cell, w in used if cell == 1)
    assert max(Counter(w for _, w in used).values()) < 0.4 * len(used)


def test_a_near_writer_is_preferred_unless_clearly_fuller():
    d = RouterHarness(
        engines=["r1", "w1", "w2"]
    )  # w1 shares the cell of r1, w2 lies in the other zone
    d.handle(
        EndpointListUpdate("changes", [entry("r2")])
    )  # so that each cell has a reader to its writer
    d.router.prefix_cache.record_read(_arrival(session="s"), "r1", d.now)
    near = d.router.health.engines["w1"]
    near.report, near.report_at = LoadReport(memory_share=0.15), d.now
    assert d.serve(1, session="s") == ("r1", "w1")
    near.report = LoadReport(memory_share=0.7)
    assert d.serve(2, session="s") == ("r1", "w2")


def test_mixed_servers_take_short_prompts_and_readers_long_ones():
    d = RouterHarness(engines=["r1", "w1", "m1"])
    assert sends(d.ask(1, prompt_tokens=200))[0].engine == "m1"
    assert sends(d.ask(2, prompt_tokens=5000))[0].engine == "r1"


def test_mixed_servers_alone_serve_everything():
    d = RouterHarness(engines=["m1", "m2"])
    assert sends(d.ask(1, prompt_tokens=9000))


def test_a_writer_reads_only_when_there_are_no_readers_and_it_can():
    assert sends(RouterHarness(engines=WRITERS, writers_can_read=True).ask(1))
    assert not sends(RouterHarness(engines=WRITERS, writers_can_read=False).ask(1))


def test_a_restarted_reader_has_lost_its_credits():
    d = RouterHarness()
    d.router.prefix_cache.record_read(_arrival(prefix="p", prefix_tokens=900), "r1", d.now)
    d.handle(EndpointListUpdate("changes", [entry("r1", started_at=d.now - 60 * SECOND)]))
    assert d.router.prefix_cache.matches(_arrival(prefix="p", prefix_tokens=900), d.now) == {}


def test_two_cache_misses_in_a_row_discredit_the_reader():
    d = RouterHarness()
    for prefix in ("p", "q"):
        d.router.prefix_cache.record_read(_arrival(prefix=prefix, prefix_tokens=900), "r1", d.now)
    for n, q_is_credited in ((1, True), (2, False)):
        d.ask(n, prefix="p", prefix_tokens=900)
        d.now += 50 * MS
        d.reply(n, "read", kept=0)
        assert (
            "q" in d.router.prefix_cache.prefixes
        ) is q_is_credited and "p" in d.router.prefix_cache.prefixes
