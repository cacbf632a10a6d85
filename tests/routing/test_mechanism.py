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
        assert homes == {max(READERS, key=lambda engine, p=prefix: rank(p, engine))}


def test_a_known_prefix_that_outweighs_the_rest_goes_to_its_holder():
    harness = RouterHarness()
    holder, _ = harness.serve(1, session="a", prompt_tokens=1000)  # explored: no prefix yet
    harness.prefix_cache.record_read(_arrival(prefix="p", prefix_tokens=900), holder, harness.now)
    for n in range(2, 6):
        assert harness.serve(n, prefix="p", prefix_tokens=900)[0] == holder


def test_a_hot_prefix_is_read_at_the_same_few_homes_by_nodes_that_see_little_of_it():
    readers = {f"r{n}" for n in range(1, 13)}
    used = []
    for gateway_number in range(10):
        harness = RouterHarness(
            engines=[*sorted(readers), "w1", "w2"],
            seed=gateway_number,
            gateway_count=10,
            gateway_number=gateway_number,
        )
        for n in range(16):  # one arrival in four, spread over half a minute
            hot = n % 4 == 0
            prefix = "hot" if hot else f"p{gateway_number} {n}"
            reader, _ = harness.serve(
                n, session=f"{gateway_number} {n}", prefix=prefix, prefix_tokens=900
            )
            used += [reader] if hot else []
            harness.now += 2 * SECOND
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
    harness = RouterHarness()
    now = harness.now
    harness.prefix_cache.record_read(_arrival(prefix="p", prefix_tokens=600), "r1", now)
    harness.prefix_cache.record_read(_arrival(session="s"), "r2", now)
    assert (
        sends(harness.ask(1, prefix="p", prefix_tokens=600, session="s", prompt_tokens=1200))[
            0
        ].engine
        == "r2"
    )


def test_a_credit_ages_out():
    harness = RouterHarness()
    harness.prefix_cache.record_read(_arrival(prefix="p", prefix_tokens=900), "r1", harness.now)
    assert (
        harness.prefix_cache.matches(
            _arrival(prefix="p", prefix_tokens=900), harness.now + 31 * SECOND
        )
        == {}
    )
    harness.prefix_cache.age(harness.now + 31 * SECOND, SECOND)
    assert not harness.prefix_cache.prefixes and harness.prefix_cache.credited_tokens["r1"] == 0


def test_a_short_match_is_explored_by_load():
    harness = RouterHarness()
    harness.prefix_cache.record_read(_arrival(prefix="p", prefix_tokens=100), "r1", harness.now)
    harness.health.engines["r1"].reading_tokens = 5000.0
    assert sends(harness.ask(1, prefix="p", prefix_tokens=100))[0].engine != "r1"


def test_a_holder_loaded_past_twice_the_mean_is_not_exploited():
    harness = RouterHarness()
    harness.prefix_cache.record_read(_arrival(prefix="p", prefix_tokens=900), "r1", harness.now)
    for n in range(2, 5):
        harness.health.engines[f"r{n}"].reading_tokens = 4000.0
    harness.health.engines["r1"].reading_tokens = 4500.0
    assert sends(harness.ask(1, prefix="p", prefix_tokens=900))[0].engine == "r1"
    harness.health.engines["r1"].reading_tokens = 40_000.0
    assert sends(harness.ask(2, prefix="p", prefix_tokens=900))[0].engine != "r1"


def test_a_busy_holder_keeps_its_prefix_while_its_queue_is_shorter_than_reading_anew():
    """In an almost idle fleet every reader at work lies over twice the mean load."""
    harness = RouterHarness()
    harness.prefix_cache.record_read(_arrival(prefix="p", prefix_tokens=900), "r1", harness.now)
    for n, (queued, kept_there) in enumerate(((800.0, True), (1200.0, False))):
        harness.health.engines["r1"].reading_tokens = queued
        assert (
            sends(harness.ask(n, prefix="p", prefix_tokens=900))[0].engine == "r1"
        ) is kept_there


def test_a_prefix_whose_home_is_overloaded_goes_to_the_next_reader_in_its_order():
    """From all gateways that know the loads: the overflow is read at one more place, not
    everywhere."""
    names = [f"r{n}" for n in range(1, 13)]
    order = sorted(names, key=lambda engine: -rank("p", engine))
    used = set()
    for gateway_number in range(6):
        harness = RouterHarness(
            engines=[*names, "w1"],
            seed=gateway_number,
            gateway_number=gateway_number,
            gateway_count=60,
            gossip_allowed=True,
        )
        for engine in harness.health.engines.values():
            if engine.role == "read":
                engine.reading_tokens = (
                    9000.0
                    if engine.id == order[0]
                    else 50.0 * (gateway_number + 1)
                    if engine.id == order[1]
                    else 0.0
                )
        used.add(
            sends(
                harness.ask(
                    1 + gateway_number, prefix="p", prefix_tokens=900, session=f"s{gateway_number}"
                )
            )[0].engine
        )
    assert used == {order[1]}


def test_a_prompt_that_would_be_late_at_every_reader_does_not_overflow_to_a_busier_one():
    """Overloaded, the least loaded reader serves it soonest; its prefix is nowhere else anyway."""
    names = [f"r{n}" for n in range(1, 5)]
    order = sorted(names, key=lambda engine: -rank("p", engine))
    harness = RouterHarness(engines=[*names, "w1"], gateway_count=60, gossip_allowed=True)
    for engine, queued in zip(order, (90_000.0, 30_000.0, 30_000.0, 17_500.0), strict=True):
        harness.health.engines[engine].reading_tokens = queued
    harness.router.prediction_error_quantiles = [
        1.0,
        3.0,
    ]  # late for certain nowhere, and nowhere surely in time
    r = harness.router
    r.health.pool.begin_batch(harness.now)
    asked = Request(
        _arrival(prefix="p", prefix_tokens=900), r.settings.classes["ask"], harness.now, 0
    )
    readers = [r.health.engines[engine] for engine in names]
    assert r.dispatcher.reader_selector.pick(asked, readers, harness.now).engine.id == order[3]


def test_a_reader_without_a_report_counts_as_average():
    harness = RouterHarness()
    for n, waiting in ((1, 8000), (2, 100), (3, 9000)):
        engine = harness.health.engines[f"r{n}"]
        engine.report, engine.report_at = LoadReport(waiting_tokens=waiting), harness.now
    assert sends(harness.ask(1))[0].engine == "r2"


def test_eviction_weighs_when_loads_are_equal():
    harness = RouterHarness(engines=["r1", "r2", "w1"])
    for n in range(30):
        harness.prefix_cache.record_read(
            _arrival(prefix=f"p{n}", prefix_tokens=5000), "r1", harness.now
        )
    assert sends(harness.ask(1))[0].engine == "r2"


def test_the_writer_of_lowest_projected_memory_is_chosen_after_the_read():
    harness = RouterHarness(engines=["r1", "w1", "w3"])
    engine = harness.health.engines["w1"]
    engine.report, engine.report_at = LoadReport(memory_share=0.6), harness.now
    assert harness.serve(1)[1] == "w3"


def test_a_cell_with_few_writers_sends_the_rest_of_its_reads_where_writers_are_to_spare():
    """Each of many nodes sends to a near writer but seldom, so nobody sees it fill while far ones
    idle."""
    cells = {"r1": 0, "r2": 0, "r3": 0, "r4": 1, "w1": 0, "w2": 1, "w3": 1, "w4": 1}
    used = []
    for gateway_number in range(20):
        harness = RouterHarness(
            engines=[entry(engine, zone="north", cell=c) for engine, c in cells.items()],
            seed=gateway_number,
            gateway_number=gateway_number,
            gateway_count=20,
        )
        for n in range(10):
            reader, writer = harness.serve(
                100 * gateway_number + n, session=f"{gateway_number} {n}"
            )
            used += [(cells[reader], writer)]
    home = [w for cell, w in used if cell == 0]
    assert (
        0.2 < home.count("w1") / len(home) < 0.5
    )  # its writer can take a third of three readers' work
    assert all(w != "w1" for cell, w in used if cell == 1)
    assert max(Counter(w for _, w in used).values()) < 0.4 * len(used)


def test_a_near_writer_is_preferred_unless_clearly_fuller():
    harness = RouterHarness(
        engines=["r1", "w1", "w2"]
    )  # w1 shares the cell of r1, w2 lies in the other zone
    harness.handle(
        EndpointListUpdate("changes", [entry("r2")])
    )  # so that each cell has a reader to its writer
    harness.prefix_cache.record_read(_arrival(session="s"), "r1", harness.now)
    near = harness.health.engines["w1"]
    near.report, near.report_at = LoadReport(memory_share=0.15), harness.now
    assert harness.serve(1, session="s") == ("r1", "w1")
    near.report = LoadReport(memory_share=0.7)
    assert harness.serve(2, session="s") == ("r1", "w2")


def test_mixed_servers_take_short_prompts_and_readers_long_ones():
    harness = RouterHarness(engines=["r1", "w1", "m1"])
    assert sends(harness.ask(1, prompt_tokens=200))[0].engine == "m1"
    assert sends(harness.ask(2, prompt_tokens=5000))[0].engine == "r1"


def test_mixed_servers_alone_serve_everything():
    harness = RouterHarness(engines=["m1", "m2"])
    assert sends(harness.ask(1, prompt_tokens=9000))


def test_a_writer_reads_only_when_there_are_no_readers_and_it_can():
    assert sends(RouterHarness(engines=WRITERS, writers_can_read=True).ask(1))
    assert not sends(RouterHarness(engines=WRITERS, writers_can_read=False).ask(1))


def test_a_restarted_reader_has_lost_its_credits():
    harness = RouterHarness()
    harness.prefix_cache.record_read(_arrival(prefix="p", prefix_tokens=900), "r1", harness.now)
    harness.handle(
        EndpointListUpdate("changes", [entry("r1", started_at=harness.now - 60 * SECOND)])
    )
    assert harness.prefix_cache.matches(_arrival(prefix="p", prefix_tokens=900), harness.now) == {}


def test_two_cache_misses_in_a_row_discredit_the_reader():
    harness = RouterHarness()
    for prefix in ("p", "q"):
        harness.prefix_cache.record_read(
            _arrival(prefix=prefix, prefix_tokens=900), "r1", harness.now
        )
    for n, q_is_credited in ((1, True), (2, False)):
        harness.ask(n, prefix="p", prefix_tokens=900)
        harness.now += 50 * MS
        harness.reply(n, "read", cached_tokens=0)
        assert (
            "q" in harness.prefix_cache.prefixes
        ) is q_is_credited and "p" in harness.prefix_cache.prefixes
