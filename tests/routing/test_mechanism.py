"""Engine selection: prefix cache index, prefix homes, E2, load bound, writers, mixed engines."""

from collections import Counter

from claycross.interface import RequestArrived
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


def arrival_of(**fields) -> RequestArrived:
    return RequestArrived(0, "ask", SECOND, prompt_tokens=1000, **fields)


def credit_prefix(harness: RouterHarness, prefix: str, tokens: int, reader: str = "r1") -> None:
    """Record that a reader has read a prefix."""
    arrival = arrival_of(prefix=prefix, prefix_tokens=tokens)
    harness.prefix_cache.record_read(arrival, reader, harness.now)


def test_an_unknown_prefix_goes_to_its_rendezvous_home_at_every_gateway():
    for n in range(12):
        prefix = f"p{n}"
        homes = {
            sends(RouterHarness(seed=seed).ask(1, prefix=prefix, prefix_tokens=900))[0].engine
            for seed in (1, 2)
        }
        assert homes == {max(READERS, key=lambda engine, p=prefix: rank(p, engine))}


def test_a_known_prefix_of_most_of_the_prompt_goes_to_its_holder():
    harness = RouterHarness()
    holder, _ = harness.serve(1, session="a", prompt_tokens=1000)  # explored: it has no prefix
    credit_prefix(harness, "p", 900, reader=holder)
    for n in range(2, 6):
        assert harness.serve(n, prefix="p", prefix_tokens=900)[0] == holder


def test_gateways_that_see_little_of_a_hot_prefix_read_it_at_the_same_few_homes():
    readers = {f"r{n}" for n in range(1, 13)}
    used_readers = []
    for gateway_number in range(10):
        harness = RouterHarness(
            engines=[*sorted(readers), "w1", "w2"],
            seed=gateway_number,
            gateway_count=10,
            gateway_number=gateway_number,
        )
        for n in range(16):  # one arrival in four is of the hot prefix, over half a minute
            is_hot = n % 4 == 0
            prefix = "hot" if is_hot else f"p{gateway_number} {n}"
            reader, _ = harness.serve(
                n, session=f"{gateway_number} {n}", prefix=prefix, prefix_tokens=900
            )
            used_readers += [reader] if is_hot else []
            harness.now += 2 * SECOND
    assert 2 <= len(set(used_readers)) <= 4
    assert max(Counter(used_readers).values()) < len(used_readers) * 0.85


def test_a_session_unknown_to_this_gateway_goes_where_other_gateways_send_it():
    """Among many gateways, the next request of a session arrives at another one. A session without
    a prefix has a home by its own key.
    """
    homes = {RouterHarness(seed=n, gateway_number=n).serve(n, session="s")[0] for n in range(6)}
    assert len(homes) == 1


def test_the_longer_match_of_session_and_prefix_is_used():
    harness = RouterHarness()
    credit_prefix(harness, "p", 600)
    harness.prefix_cache.record_read(arrival_of(session="s"), "r2", harness.now)
    actions = harness.ask(1, prefix="p", prefix_tokens=600, session="s", prompt_tokens=1200)
    assert sends(actions)[0].engine == "r2"


def test_a_credit_expires():
    harness = RouterHarness()
    credit_prefix(harness, "p", 900)
    arrival = arrival_of(prefix="p", prefix_tokens=900)
    assert harness.prefix_cache.matches(arrival, harness.now + 31 * SECOND) == {}
    harness.prefix_cache.age(harness.now + 31 * SECOND, SECOND)
    assert not harness.prefix_cache.prefixes and harness.prefix_cache.credited_tokens["r1"] == 0


def test_a_short_match_is_explored_by_load():
    harness = RouterHarness()
    credit_prefix(harness, "p", 100)
    harness.health.engines["r1"].reading_tokens = 5000.0
    assert sends(harness.ask(1, prefix="p", prefix_tokens=100))[0].engine != "r1"


def test_a_holder_with_more_than_twice_the_mean_load_is_not_exploited():
    harness = RouterHarness()
    credit_prefix(harness, "p", 900)
    for n in range(2, 5):
        harness.health.engines[f"r{n}"].reading_tokens = 4000.0
    harness.health.engines["r1"].reading_tokens = 4500.0
    assert sends(harness.ask(1, prefix="p", prefix_tokens=900))[0].engine == "r1"
    harness.health.engines["r1"].reading_tokens = 40_000.0
    assert sends(harness.ask(2, prefix="p", prefix_tokens=900))[0].engine != "r1"


def test_a_busy_holder_keeps_its_prefix_while_its_queue_costs_less_than_reading_anew():
    """In an almost idle fleet, every busy reader has more than twice the mean load."""
    harness = RouterHarness()
    credit_prefix(harness, "p", 900)
    for n, (queued_tokens, stays) in enumerate(((800.0, True), (1200.0, False))):
        harness.health.engines["r1"].reading_tokens = queued_tokens
        chosen = sends(harness.ask(n, prefix="p", prefix_tokens=900))[0].engine
        assert (chosen == "r1") is stays


def test_a_prefix_whose_home_is_overloaded_goes_to_the_next_reader_in_its_order():
    """All gateways that know the loads send the overflow to the same single reader."""
    names = [f"r{n}" for n in range(1, 13)]
    order = sorted(names, key=lambda engine: -rank("p", engine))
    used_readers = set()
    for gateway_number in range(6):
        harness = RouterHarness(
            engines=[*names, "w1"],
            seed=gateway_number,
            gateway_number=gateway_number,
            gateway_count=60,
            gossip_allowed=True,
        )
        harness.health.engines[order[0]].reading_tokens = 9000.0
        harness.health.engines[order[1]].reading_tokens = 50.0 * (gateway_number + 1)
        actions = harness.ask(
            1 + gateway_number, prefix="p", prefix_tokens=900, session=f"s{gateway_number}"
        )
        used_readers.add(sends(actions)[0].engine)
    assert used_readers == {order[1]}


def test_a_prompt_that_would_be_late_at_every_reader_does_not_overflow_to_a_busier_one():
    """While all readers are overloaded, the least loaded one serves the prompt first, and no other
    has cached the prefix.
    """
    names = [f"r{n}" for n in range(1, 5)]
    order = sorted(names, key=lambda engine: -rank("p", engine))
    harness = RouterHarness(engines=[*names, "w1"], gateway_count=60, gossip_allowed=True)
    for name, queued_tokens in zip(order, (90_000.0, 30_000.0, 30_000.0, 17_500.0), strict=True):
        harness.health.engines[name].reading_tokens = queued_tokens
    # At no reader the prompt is in time by the safe quantile.
    harness.router.prediction_error_quantiles = [1.0, 3.0]
    harness.health.pool.begin_batch(harness.now)
    arrival = arrival_of(prefix="p", prefix_tokens=900)
    request = Request(arrival, harness.settings.classes["ask"], harness.now, 0)
    readers = [harness.health.engines[name] for name in names]
    selector = harness.router.dispatcher.reader_selector
    assert selector.pick(request, readers, harness.now).engine.id == order[3]


def test_a_reader_without_a_load_report_counts_as_average():
    harness = RouterHarness()
    for n, waiting in ((1, 8000), (2, 100), (3, 9000)):
        engine = harness.health.engines[f"r{n}"]
        engine.report, engine.report_at = LoadReport(waiting_tokens=waiting), harness.now
    assert sends(harness.ask(1))[0].engine == "r2"


def test_the_eviction_cost_decides_between_equal_loads():
    harness = RouterHarness(engines=["r1", "r2", "w1"])
    for n in range(30):
        credit_prefix(harness, f"p{n}", 5000)
    assert sends(harness.ask(1))[0].engine == "r2"


def test_the_writer_of_lowest_projected_memory_is_chosen_after_the_read():
    harness = RouterHarness(engines=["r1", "w1", "w3"])
    engine = harness.health.engines["w1"]
    engine.report, engine.report_at = LoadReport(memory_share=0.6), harness.now
    assert harness.serve(1)[1] == "w3"


def test_a_cell_with_few_writers_sends_excess_reads_to_cells_with_spare_writers():
    """Each of many gateways seldom sends to any one writer. None of them notices when a nearby
    writer fills up while distant ones are idle.
    """
    cells = {"r1": 0, "r2": 0, "r3": 0, "r4": 1, "w1": 0, "w2": 1, "w3": 1, "w4": 1}
    served = []  # cell of the reader, and writer
    for gateway_number in range(20):
        harness = RouterHarness(
            engines=[entry(name, zone="north", cell=cell) for name, cell in cells.items()],
            seed=gateway_number,
            gateway_number=gateway_number,
            gateway_count=20,
        )
        for n in range(10):
            reader, writer = harness.serve(
                100 * gateway_number + n, session=f"{gateway_number} {n}"
            )
            served.append((cells[reader], writer))
    writers_of_cell_0 = [writer for cell, writer in served if cell == 0]
    # The only writer of the cell can take a third of the work of its three readers.
    assert 0.2 < writers_of_cell_0.count("w1") / len(writers_of_cell_0) < 0.5
    assert all(writer != "w1" for cell, writer in served if cell == 1)
    assert max(Counter(writer for _, writer in served).values()) < 0.4 * len(served)


def test_a_nearby_writer_is_preferred_unless_it_is_clearly_fuller():
    # w1 is in the cell of r1, and w2 in the other zone.
    harness = RouterHarness(engines=["r1", "w1", "w2"])
    # With r2, each cell has one reader and one writer.
    harness.handle(EndpointListUpdate("changes", [entry("r2")]))
    harness.prefix_cache.record_read(arrival_of(session="s"), "r1", harness.now)
    nearby = harness.health.engines["w1"]
    nearby.report, nearby.report_at = LoadReport(memory_share=0.15), harness.now
    assert harness.serve(1, session="s") == ("r1", "w1")
    nearby.report = LoadReport(memory_share=0.7)
    assert harness.serve(2, session="s") == ("r1", "w2")


def test_mixed_engines_take_short_prompts_and_readers_long_ones():
    harness = RouterHarness(engines=["r1", "w1", "m1"])
    assert sends(harness.ask(1, prompt_tokens=200))[0].engine == "m1"
    assert sends(harness.ask(2, prompt_tokens=5000))[0].engine == "r1"


def test_mixed_engines_take_long_prompts_if_there_are_no_readers():
    harness = RouterHarness(engines=["m1", "m2"])
    assert sends(harness.ask(1, prompt_tokens=9000))


def test_a_writer_reads_only_when_there_are_no_readers_and_it_can():
    assert sends(RouterHarness(engines=WRITERS, writers_can_read=True).ask(1))
    assert not sends(RouterHarness(engines=WRITERS, writers_can_read=False).ask(1))


def test_a_restarted_reader_loses_its_credits():
    harness = RouterHarness()
    credit_prefix(harness, "p", 900)
    restarted = entry("r1", started_at=harness.now - 60 * SECOND)
    harness.handle(EndpointListUpdate("changes", [restarted]))
    arrival = arrival_of(prefix="p", prefix_tokens=900)
    assert harness.prefix_cache.matches(arrival, harness.now) == {}


def test_a_reader_loses_its_credits_after_two_consecutive_cache_misses():
    harness = RouterHarness()
    for prefix in ("p", "q"):
        credit_prefix(harness, prefix, 900)
    for n, q_is_credited in ((1, True), (2, False)):
        harness.ask(n, prefix="p", prefix_tokens=900)
        harness.now += 50 * MS
        harness.reply(n, "read", cached_tokens=0)
        assert ("q" in harness.prefix_cache.prefixes) is q_is_credited
        assert "p" in harness.prefix_cache.prefixes
