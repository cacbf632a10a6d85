"""Defences, by symptom."""

from claycross.interface import CheckConnection, ConnectionChecked, TenantQuota, WatchEndpoints
from tests.routing.router_harness import (
    MS,
    READERS,
    SECOND,
    WRITERS,
    CancelAttempt,
    EndpointListUpdate,
    LoadReport,
    RejectRequest,
    RequestArrived,
    RouterHarness,
    kinds,
    sends,
)


def test_every_first_attempt_has_a_timeout_well_inside_its_deadline():
    d = RouterHarness()
    assert 0 < sends(d.ask(1))[0].timeout < 3 * SECOND


def test_a_request_at_an_unresponsive_reader_is_retried_at_another():
    d = RouterHarness()
    first = sends(d.ask(1))[0]
    d.now += first.timeout
    again = sends(d.reply(1, "timeout"))
    assert again and again[0].engine != first.engine


def test_an_engine_that_fails_fast_draws_no_more_traffic():
    d = RouterHarness()
    bad = sends(d.ask(0, prefix="p", prefix_tokens=900))[0].engine
    d.reply(0, "reset")
    d.reply(0, "read")
    tries = 0
    for n in range(1, 30):
        d.now += 20 * MS
        if sends(d.ask(n, session=f"s{n}"))[0].engine == bad:
            tries += 1
            d.reply(n, "reset")
        d.reply(n, "read")
        d.begin(n)
        d.reply(n, "ok", ended=True)
    assert tries <= 2


def _paces(d, slow):
    """Reads whose time a token is `slow` times as long at r1; how many of the later ones went
    there."""
    there = 0
    for n in range(240):
        for a in sends(d.ask(n, session=f"s{n}")):
            there += n >= 120 and a.engine == "r1"
            d.now += 20 * MS
            d.reply(n, "read", took=(100 * slow if a.engine == "r1" else 100) * MS)
            d.begin(n)
            d.reply(n, "ok", ended=True)
    return there


def test_an_engine_far_slower_than_its_peers_is_ejected():
    assert _paces(RouterHarness(), slow=20) <= 3
    assert 15 < _paces(RouterHarness(), slow=1) < 45


def test_a_fleet_wide_slowdown_ejects_nobody():
    d = RouterHarness()
    for n in range(120):
        if sends(d.ask(n, session=f"s{n}")):
            d.now += 20 * MS
            d.reply(n, "read", took=(2000 if n > 60 else 100) * MS)
            d.begin(n)
            d.reply(n, "ok", ended=True)
    assert not any(e.ejections for e in d.router.health.engines.values())


def test_an_ejected_engine_comes_back_half_open():
    d = RouterHarness(engines=["r1", "r2", "r3", "w1"])
    e = d.router.health.engines["r1"]
    d.router.health.eject(e, d.now)
    assert e not in d.router.health.candidates("read", d.now)
    d.now = e.ejected_until
    d.handle()  # a new batch: who may be chosen is settled once in each
    assert e in d.router.health.candidates("read", d.now)
    while not e.pending:
        d.ask(d.now)
        d.now += 1
    assert e not in d.router.health.candidates("read", d.now)  # one request at a time


def test_when_most_engines_are_ejected_ejections_are_not_believed():
    d = RouterHarness()
    for name in READERS:
        d.router.health.eject(d.router.health.engines[name], d.now)
    assert sends(d.ask(1))


def test_the_retry_budget_ends_a_storm():
    d = RouterHarness()
    total = 0
    for n in range(200):
        total += len(sends(d.ask(n)))
        while any(r == n for r, _ in d.in_flight):
            total += len(sends(d.reply(n, "error")))
    assert total < 200 * 1.4


def test_no_read_is_started_while_writers_are_full():
    d = RouterHarness()
    for name in WRITERS:
        e = d.router.health.engines[name]
        e.report, e.report_at = LoadReport(memory_share=0.99), d.now
    assert not sends(d.ask(1))
    assert RejectRequest in kinds(d.wait(4 * SECOND))
    d.router.health.engines["w1"].report = LoadReport(memory_share=0.1)
    assert sends(d.ask(2))


def test_the_higher_priority_goes_first_when_writers_have_memory_again():
    d = RouterHarness(engines=["r1", "w1"])
    e = d.router.health.engines["w1"]
    e.report, e.report_at = LoadReport(memory_share=0.99), d.now
    d.ask(1, "low", prompt_tokens=9000)
    d.ask(2, "ask", prompt_tokens=9000)
    e.report = LoadReport(memory_share=0.6)
    assert [a.request for a in sends(d.wait(100 * MS))] == [2]


def test_free_memory_at_a_writer_on_trial_admits_no_reads():
    d = RouterHarness(engines=["r1", "w1", "w3"])
    full = d.router.health.engines["w1"]
    full.report, full.report_at = LoadReport(memory_share=0.99), d.now
    assert sends(d.ask(1))  # w3 has room
    dead = d.router.health.engines["w3"]
    d.router.health.eject(dead, d.now)
    d.now = dead.ejected_until + 1  # its trial is due, nothing shows that it is back
    assert not sends(d.ask(2))


def test_prompts_that_wait_at_a_writer_take_up_its_memory():
    d = RouterHarness(engines=["r1", "w1"])
    e = d.router.health.engines["w1"]
    e.report, e.report_at = LoadReport(memory_share=0.5, waiting_tokens=60_000), d.now
    assert not sends(d.ask(1))


def test_timeouts_grow_with_a_slowdown_of_the_whole_fleet():
    d = RouterHarness()
    before = d.router.health.typical_pace("write")
    for n in range(40):
        d.ask(n)
        d.now += 20 * MS
        while not sends(d.reply(n, "read")):
            d.now += 200 * MS
        d.now += 2 * SECOND
        for _ in range(2):
            if any(r == n for r, _ in d.in_flight):
                d.reply(n, "timeout", took=2 * SECOND)
    assert d.router.health.typical_pace("write") > 3 * before


def checks(actions) -> list[CheckConnection]:
    return [a for a in actions if isinstance(a, CheckConnection)]


def test_an_overdue_attempt_is_cancelled_after_two_failed_connection_checks():
    d = RouterHarness(may_check_connections=True)
    first = sends(d.ask(1, prompt_tokens=8000, left=30 * SECOND))[0].engine
    assert not checks(d.wait(500 * MS))  # foretold: 0.65 s
    assert [c.engine for c in checks(d.wait(400 * MS))] == [first]
    once = d.handle(
        ConnectionChecked(first, False)
    )  # connections may come up late: it is asked again
    assert [c.engine for c in checks(once)] == [first] and CancelAttempt not in kinds(once)
    twice = d.handle(ConnectionChecked(first, False))
    assert CancelAttempt in kinds(twice) and not checks(twice)
    assert sends(d.reply(1, "cancelled"))[0].engine != first


def test_an_engine_that_can_be_reached_is_waited_for_and_checked_once():
    d = RouterHarness(may_check_connections=True)
    first = sends(d.ask(1, prompt_tokens=8000, left=30 * SECOND))[0].engine
    assert len(checks(d.wait(SECOND))) == 1
    d.handle(ConnectionChecked(first, True))
    actions = d.wait(SECOND)
    assert not checks(actions) and CancelAttempt not in kinds(actions)
    assert CancelAttempt in kinds(d.wait(2 * SECOND))  # its patience still ends


def test_a_write_that_must_not_run_twice_is_waited_for_at_an_unreachable_engine():
    d = RouterHarness(may_check_connections=True)
    d.ask(1, "once", left=30 * SECOND)
    writer = sends(d.reply(1, "read"))[0].engine
    assert [c.engine for c in checks(d.wait(600 * MS))] == [writer]
    for _ in range(2):
        assert CancelAttempt not in kinds(d.handle(ConnectionChecked(writer, False)))
    assert not d.router.health.is_healthy(
        d.router.health.engines[writer], d.now
    )  # nobody else waits there
    assert not sends(d.wait(5 * SECOND))


def test_connections_are_not_checked_where_that_is_not_permitted():
    d = RouterHarness()
    d.ask(1, prompt_tokens=8000, left=30 * SECOND)
    assert not checks(d.wait(2 * SECOND))


def test_timeouts_at_unreachable_engines_leave_the_typical_pace_while_others_respond():
    """They made a gateway foretell ten times too long, and refuse whatever came for half a
    minute."""
    d = RouterHarness(engines=[f"r{n}" for n in range(1, 61)] + ["w1", "w2"], gateway_count=100)
    for n in range(24):  # two of three reads go to engines that are cut off
        d.ask(n, session=f"s{n}", left=30 * SECOND)
        d.now += 100 * MS
        if n % 3:
            d.now += 2 * SECOND
            d.reply(n, "timeout", took=2 * SECOND)
            if n in d.router.requests:
                d.router.finisher.end(d.router.requests[n], None)
        else:
            d.reply(n, "read", took=100 * MS)
            d.begin(n)
            d.reply(n, "ok", SECOND, ended=True)
    assert d.router.health.typical_pace("read") < 100_000


def test_timeouts_in_a_row_lengthen_further_ones_until_a_response_comes():
    d = RouterHarness()
    spans = []
    for n in range(4):
        if n:
            d.reply(n, "timeout", took=SECOND)
            d.router.finisher.end(d.router.requests[n], None)
        first = sends(d.ask(n + 1, session=f"s{n}", left=60 * SECOND))[0]
        spans.append(first.timeout)
    assert spans == sorted(set(spans))
    d.reply(4, "read")
    assert sends(d.ask(9, session="new", left=60 * SECOND))[0].timeout < spans[-1]


def test_a_request_that_would_be_late_goes_to_an_idle_reader_or_is_rejected():
    for idle in (True, False):
        d = RouterHarness()
        for e in d.router.health.engines.values():
            if e.role == "read" and not (idle and e.id == "r3"):
                e.reading_tokens = 30_000.0 if e.id == "r1" else 90_000.0
        arrival = RequestArrived(
            0, "ask", SECOND, prompt_tokens=40_000, prefix="p", prefix_tokens=21_000
        )
        d.router.prefix_cache.record_read(arrival, "r1", d.now)
        actions = d.ask(1, prompt_tokens=40_000, left=20 * SECOND, prefix="p", prefix_tokens=21_000)
        assert [a.engine for a in sends(actions)] == (["r3"] if idle else [])
        assert idle or RejectRequest in kinds(actions)


def test_attempts_at_an_unresponsive_engine_are_cancelled_and_retried_elsewhere():
    d = RouterHarness()
    silent = sends(d.ask(1))[0].engine
    actions = d.wait(3 * SECOND)
    assert CancelAttempt in kinds(actions)
    assert sends(d.reply(1, "cancelled"))[0].engine != silent


def test_an_overdue_attempt_at_an_engine_that_gives_signs_of_life_is_left_there():
    d = RouterHarness(engines=["r1", "w1"])
    d.ask(1)
    d.now += 10 * MS
    d.ask(2)
    for _ in range(6):
        d.wait(300 * MS)
        d.router.health.engines["r1"].last_response = d.now
    assert not any(isinstance(a, CancelAttempt) for _, a in d.log)


def test_a_holder_that_would_be_late_yields_only_to_a_reader_that_would_not():
    d = RouterHarness(engines=["r1", "r3", "w1"])
    r1, r3 = (d.router.health.engines[name] for name in ("r1", "r3"))
    r1.reading_tokens, r3.reading_tokens = 11_000.0, 9000.0  # neither over twice the mean
    d.router.prefix_cache.record_read(
        RequestArrived(0, "ask", SECOND, 1000, prefix="p", prefix_tokens=520), "r1", d.now
    )
    assert sends(d.ask(1, prefix="p", prefix_tokens=520))[0].engine == "r1"
    d.router.prediction_error_quantiles = [1.0, 2.2]
    r1.reading_tokens, r3.reading_tokens = 11_000.0, 8000.0
    assert sends(d.ask(2, prefix="p", prefix_tokens=520))[0].engine == "r3"
    r1.reading_tokens, r3.reading_tokens = 15_000.0, 14_000.0  # both late: held for its holder
    d.ask(3, prefix="p", prefix_tokens=520)
    assert (
        d.router.dispatcher.reader_selector.pick(d.router.table.queued[3], [r1, r3], d.now).engine
        is r1
    )


def test_a_hopeless_read_is_rejected_early_and_a_doubtful_one_queued():
    d = RouterHarness(engines=["r1", "w1"])
    d.router.health.engines[
        "r1"
    ].reading_tokens = 60_000.0  # 4.9 s at the pace assumed, with an aim of 2 s
    assert RejectRequest in kinds(d.ask(1))
    d.router.health.engines["r1"].reading_tokens = 15_000.0  # 1.3 s
    d.router.prediction_error_quantiles = [1.0, 1.9]
    assert not {RejectRequest, *map(type, sends(d.ask(2)))} & set(kinds(d.ask(3)))
    d.router.health.engines["r1"].reading_tokens = 100.0
    assert [a.request for a in sends(d.wait(50 * MS))] == [2, 3]


def test_discovery_is_polled_again_with_backoff():
    d = RouterHarness(polls_endpoint_list=True, engines=["r1", "w1"])
    assert sum(isinstance(a, WatchEndpoints) for _, a in d.log) == 1
    gaps = []
    for _ in range(5):
        start = d.now
        d.handle(EndpointListUpdate("failed"))
        while not any(isinstance(a, WatchEndpoints) for at, a in d.log if at > start):
            d.wait(50 * MS)
        gaps.append(d.now - start)
    assert gaps[-1] > 3 * gaps[0] and sends(d.ask(1))  # and the last list still serves


def test_without_reports_or_cancel_an_unresponsive_reader_is_still_avoided():
    d = RouterHarness(may_cancel=False)
    first = sends(d.ask(1))[0]
    d.wait(first.timeout)
    assert first.timeout < 2 * SECOND and not any(isinstance(a, CancelAttempt) for _, a in d.log)
    assert sends(d.reply(1, "timeout"))[0].engine != first.engine


def test_a_gateway_that_sees_each_engine_seldom_still_learns_the_typical_pace():
    """A median over engines seen three times each stayed at its starting value at thin nodes, which
    called off reads in every slowdown of the whole fleet: a storm that fed itself."""
    d = RouterHarness(engines=[f"r{n}" for n in range(1, 61)] + ["w1", "w2"], gateway_count=100)
    for n in range(12):  # slow everywhere, and hardly any engine met twice
        d.ask(n, session=f"s{n}", prompt_tokens=1000, left=30 * SECOND)
        d.now += SECOND
        d.reply(n, "read", took=SECOND)
        d.begin(n)
        d.reply(n, "ok", SECOND, ended=True)
    assert 0.5e6 < d.router.health.typical_pace("read") < 1.1e6
    assert max(e.samples for e in d.router.health.engines.values() if e.role == "read") < 3
    assert not any(e.ejections for e in d.router.health.engines.values())
    d.ask(99, session="s99", prompt_tokens=1000, left=30 * SECOND)
    assert not [a for a in d.wait(2 * SECOND) if isinstance(a, CancelAttempt)]


def test_one_slow_sample_does_not_eject_but_two_that_agree_do():
    d = RouterHarness()
    for n in range(11):
        d.serve(n, session=f"s{n}")
    e, usual = d.router.health.engines["r1"], d.router.health.typical_pace("read")
    e.samples, e.pace, e.last_response = 0, 0.0, d.now
    d.router.health.record_pace(e, 9 * usual, d.now)
    assert not e.ejections and d.router.health.slowness(e) > 1.5
    d.router.health.record_pace(e, 9 * usual, d.now)
    assert e.ejections


def test_while_connections_fail_a_gateway_keeps_to_open_connections():
    """Slow set-up lets every new connection fail, while open ones work: each try elsewhere is one
    more."""
    d = RouterHarness(
        engines=[f"r{n}" for n in range(1, 9)] + ["w1", "w2"], connection_idle_timeout=15 * SECOND
    )
    d.ask(1, session="a")
    d.reply(1, "read")
    known = d.router.prefix_cache.sessions["a"][0]
    d.now += SECOND
    names = list(d.router.health.engines)
    session = next(
        s
        for s in "bcdefgh"
        if sends(RouterHarness(engines=names).ask(2, session=s))[0].engine != known
    )
    assert sends(d.ask(2, session=session))[0].engine != known
    assert sends(d.reply(2, "connect_failed", took=250 * MS))[0].engine == known
    d.router.reachability.record_connect_failure(d.now)  # a second one, of another request
    assert {sends(d.ask(n, session=f"s{n}"))[0].engine for n in range(3, 9)} == {known}
    d.now += (
        3 * SECOND
    )  # a busy gateway kept to a few engines for half a minute after a cut of six seconds
    assert len({sends(d.ask(n, session=f"s{n}"))[0].engine for n in range(20, 26)}) > 1


def test_an_ejection_counts_from_now_and_outlasts_some_arrivals_at_little_traffic():
    """Counted from when the engine was last heard, half a minute ago, it was over before it
    began."""
    d = RouterHarness(gateway_count=100)
    for n in range(6):
        d.serve(n, session=f"s{n}")
        d.now += 4 * SECOND
    e = d.router.health.engines["r1"]
    e.last_response, e.samples, e.pace = (
        d.now - 30 * SECOND,
        3,
        1e6 * d.router.health.typical_pace("read"),
    )
    d.router.health.record_pace(e, e.pace, d.now)
    assert e.ejected_until > d.now + 3 * SECOND


def test_one_failure_ejects_an_engine_that_is_seldom_seen():
    d = RouterHarness()
    e = d.router.health.engines["r1"]
    e.last_response = d.now
    d.router.health.record_failure(e, d.now + MS)
    assert not e.ejections
    e.consecutive_failures, e.last_response = 0, d.now - 30 * SECOND
    d.router.health.record_failure(e, d.now)
    assert e.ejections


def test_a_tenant_within_its_quota_is_not_over_it_at_a_gateway_that_sees_it_seldom():
    """Two seconds of a node's slice never came to one request: all traffic counted as over
    quota."""
    spec = TenantQuota("gin", quota_per_s=20)
    d = RouterHarness(gateway_count=100, tenants={"gin": spec})  # 0.2 a second for this node
    over = []
    for _n in range(40):
        d.now += 6 * SECOND
        over.append(d.router.admission.tenant_quotas.over_quota("gin", d.now))
    assert not any(over)
    over = []
    for _n in range(60):  # five times its slice
        d.now += SECOND
        over.append(d.router.admission.tenant_quotas.over_quota("gin", d.now))
    assert sum(over) > 40


def test_a_mixed_engine_that_failed_a_request_does_not_get_it_again_while_another_is_there():
    """Both look alike: the one that cut the answer off was chosen again by the same rank."""
    d = RouterHarness(engines=["m1", "m2"])
    first = sends(d.ask(1, prompt_tokens=9000))[0].engine
    assert sends(d.reply(1, "reset"))[0].engine != first
