"""Fault handling of the router: timeouts, retries, ejections, admission and backoff."""

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
    harness = RouterHarness()
    assert 0 < sends(harness.ask(1))[0].timeout < 3 * SECOND


def test_a_request_at_an_unresponsive_reader_is_retried_at_another():
    harness = RouterHarness()
    first = sends(harness.ask(1))[0]
    harness.now += first.timeout
    again = sends(harness.reply(1, "timeout"))
    assert again and again[0].engine != first.engine


def test_an_engine_that_fails_fast_gets_no_more_traffic():
    harness = RouterHarness()
    failing = sends(harness.ask(0, prefix="p", prefix_tokens=900))[0].engine
    harness.reply(0, "reset")
    harness.reply(0, "read")
    attempts = 0
    for n in range(1, 30):
        harness.now += 20 * MS
        if sends(harness.ask(n, session=f"s{n}"))[0].engine == failing:
            attempts += 1
            harness.reply(n, "reset")
        harness.reply(n, "read")
        harness.begin(n)
        harness.reply(n, "ok", ended=True)
    assert attempts <= 2


def later_reads_at_slow_reader(slowness: int) -> int:
    """Serve 240 reads, of which r1 takes `slowness` times as long; count the last 120 at r1."""
    harness = RouterHarness()
    reads_at_r1 = 0
    for n in range(240):
        for action in sends(harness.ask(n, session=f"s{n}")):
            reads_at_r1 += n >= 120 and action.engine == "r1"
            harness.now += 20 * MS
            harness.reply(n, "read", took=(100 * slowness if action.engine == "r1" else 100) * MS)
            harness.begin(n)
            harness.reply(n, "ok", ended=True)
    return reads_at_r1


def test_an_engine_far_slower_than_its_peers_is_ejected():
    assert later_reads_at_slow_reader(slowness=20) <= 3
    assert 15 < later_reads_at_slow_reader(slowness=1) < 45


def test_a_fleet_wide_slowdown_ejects_no_engine():
    harness = RouterHarness()
    for n in range(120):
        if sends(harness.ask(n, session=f"s{n}")):
            harness.now += 20 * MS
            harness.reply(n, "read", took=(2000 if n > 60 else 100) * MS)
            harness.begin(n)
            harness.reply(n, "ok", ended=True)
    assert not any(engine.ejections for engine in harness.health.engines.values())


def test_an_ejected_engine_comes_back_half_open():
    harness = RouterHarness(engines=["r1", "r2", "r3", "w1"])
    engine = harness.health.engines["r1"]
    harness.health.eject(engine, harness.now)
    assert engine not in harness.health.candidates("read", harness.now)
    harness.now = engine.ejected_until
    harness.handle()  # starts a new batch: candidates are memoized within one
    assert engine in harness.health.candidates("read", harness.now)
    while not engine.pending:
        harness.ask(harness.now)
        harness.now += 1
    # A half-open engine gets one request at a time.
    assert engine not in harness.health.candidates("read", harness.now)


def test_ejections_are_ignored_while_most_engines_are_ejected():
    harness = RouterHarness()
    for name in READERS:
        harness.health.eject(harness.health.engines[name], harness.now)
    assert sends(harness.ask(1))


def test_the_retry_budget_limits_a_retry_storm():
    harness = RouterHarness()
    attempts = 0
    for n in range(200):
        attempts += len(sends(harness.ask(n)))
        while any(request == n for request, _ in harness.in_flight):
            attempts += len(sends(harness.reply(n, "error")))
    assert attempts < 200 * 1.4


def test_no_read_is_started_while_writers_are_full():
    harness = RouterHarness()
    for name in WRITERS:
        engine = harness.health.engines[name]
        engine.report, engine.report_at = LoadReport(memory_share=0.99), harness.now
    assert not sends(harness.ask(1))
    assert RejectRequest in kinds(harness.wait(4 * SECOND))
    harness.health.engines["w1"].report = LoadReport(memory_share=0.1)
    assert sends(harness.ask(2))


def test_the_higher_priority_goes_first_when_writers_have_memory_again():
    harness = RouterHarness(engines=["r1", "w1"])
    engine = harness.health.engines["w1"]
    engine.report, engine.report_at = LoadReport(memory_share=0.99), harness.now
    harness.ask(1, "low", prompt_tokens=9000)
    harness.ask(2, "ask", prompt_tokens=9000)
    engine.report = LoadReport(memory_share=0.6)
    assert [action.request for action in sends(harness.wait(100 * MS))] == [2]


def test_free_memory_of_a_writer_that_was_ejected_admits_no_reads():
    harness = RouterHarness(engines=["r1", "w1", "w3"])
    full = harness.health.engines["w1"]
    full.report, full.report_at = LoadReport(memory_share=0.99), harness.now
    assert sends(harness.ask(1))  # w3 has free memory
    dead = harness.health.engines["w3"]
    harness.health.eject(dead, harness.now)
    harness.now = dead.ejected_until + 1  # the ejection is over, but w3 has not succeeded since
    assert not sends(harness.ask(2))


def test_prompts_that_wait_at_a_writer_count_towards_its_memory():
    harness = RouterHarness(engines=["r1", "w1"])
    engine = harness.health.engines["w1"]
    engine.report = LoadReport(memory_share=0.5, waiting_tokens=60_000)
    engine.report_at = harness.now
    assert not sends(harness.ask(1))


def test_timeouts_grow_with_a_slowdown_of_the_whole_fleet():
    harness = RouterHarness()
    before = harness.health.typical_pace("write")
    for n in range(40):
        harness.ask(n)
        harness.now += 20 * MS
        while not sends(harness.reply(n, "read")):
            harness.now += 200 * MS
        harness.now += 2 * SECOND
        for _ in range(2):
            if any(request == n for request, _ in harness.in_flight):
                harness.reply(n, "timeout", took=2 * SECOND)
    assert harness.health.typical_pace("write") > 3 * before


def connection_checks(actions) -> list[CheckConnection]:
    return [action for action in actions if isinstance(action, CheckConnection)]


def test_an_overdue_attempt_is_cancelled_after_two_failed_connection_checks():
    harness = RouterHarness(may_check_connections=True)
    first = sends(harness.ask(1, prompt_tokens=8000, left=30 * SECOND))[0].engine
    assert not connection_checks(harness.wait(500 * MS))  # the predicted latency is 0.65 s
    assert [check.engine for check in connection_checks(harness.wait(400 * MS))] == [first]
    # A connection may be established late, so that a failed check is repeated once.
    actions = harness.handle(ConnectionChecked(first, False))
    assert [check.engine for check in connection_checks(actions)] == [first]
    assert CancelAttempt not in kinds(actions)
    actions = harness.handle(ConnectionChecked(first, False))
    assert CancelAttempt in kinds(actions) and not connection_checks(actions)
    assert sends(harness.reply(1, "cancelled"))[0].engine != first


def test_an_engine_that_can_be_reached_is_waited_for_and_checked_once():
    harness = RouterHarness(may_check_connections=True)
    first = sends(harness.ask(1, prompt_tokens=8000, left=30 * SECOND))[0].engine
    assert len(connection_checks(harness.wait(SECOND))) == 1
    harness.handle(ConnectionChecked(first, True))
    actions = harness.wait(SECOND)
    assert not connection_checks(actions) and CancelAttempt not in kinds(actions)
    assert CancelAttempt in kinds(harness.wait(2 * SECOND))  # the response timeout still ends


def test_a_write_that_must_not_run_twice_is_waited_for_at_an_unreachable_engine():
    harness = RouterHarness(may_check_connections=True)
    harness.ask(1, "once", left=30 * SECOND)
    writer = sends(harness.reply(1, "read"))[0].engine
    assert [check.engine for check in connection_checks(harness.wait(600 * MS))] == [writer]
    for _ in range(2):
        assert CancelAttempt not in kinds(harness.handle(ConnectionChecked(writer, False)))
    # Other requests are not sent there.
    assert not harness.health.is_healthy(harness.health.engines[writer], harness.now)
    assert not sends(harness.wait(5 * SECOND))


def test_connections_are_not_checked_where_that_is_not_permitted():
    harness = RouterHarness()
    harness.ask(1, prompt_tokens=8000, left=30 * SECOND)
    assert not connection_checks(harness.wait(2 * SECOND))


def test_timeouts_at_unreachable_engines_leave_the_typical_pace_while_others_respond():
    """Such timeouts made a gateway predict ten times too long latencies, and so reject all requests
    for half a minute.
    """
    harness = RouterHarness(
        engines=[f"r{n}" for n in range(1, 61)] + ["w1", "w2"], gateway_count=100
    )
    for n in range(24):  # two of three reads go to unreachable engines
        harness.ask(n, session=f"s{n}", left=30 * SECOND)
        harness.now += 100 * MS
        if n % 3:
            harness.now += 2 * SECOND
            harness.reply(n, "timeout", took=2 * SECOND)
            if n in harness.router.requests:
                harness.router.finisher.end(harness.router.requests[n], None)
        else:
            harness.reply(n, "read", took=100 * MS)
            harness.begin(n)
            harness.reply(n, "ok", SECOND, ended=True)
    assert harness.health.typical_pace("read") < 100_000


def test_consecutive_timeouts_lengthen_further_ones_until_a_response():
    harness = RouterHarness()
    timeouts = []
    for n in range(4):
        if n:
            harness.reply(n, "timeout", took=SECOND)
            harness.router.finisher.end(harness.router.requests[n], None)
        first = sends(harness.ask(n + 1, session=f"s{n}", left=60 * SECOND))[0]
        timeouts.append(first.timeout)
    assert timeouts == sorted(set(timeouts))
    harness.reply(4, "read")
    assert sends(harness.ask(9, session="new", left=60 * SECOND))[0].timeout < timeouts[-1]


def test_a_request_that_would_be_late_goes_to_an_idle_reader_or_is_rejected():
    for idle in (True, False):
        harness = RouterHarness()
        for engine in harness.health.engines.values():
            if engine.role == "read" and not (idle and engine.id == "r3"):
                engine.reading_tokens = 30_000.0 if engine.id == "r1" else 90_000.0
        arrival = RequestArrived(
            0, "ask", SECOND, prompt_tokens=40_000, prefix="p", prefix_tokens=21_000
        )
        harness.prefix_cache.record_read(arrival, "r1", harness.now)
        actions = harness.ask(
            1, prompt_tokens=40_000, left=20 * SECOND, prefix="p", prefix_tokens=21_000
        )
        assert [action.engine for action in sends(actions)] == (["r3"] if idle else [])
        assert idle or RejectRequest in kinds(actions)


def test_attempts_at_an_unresponsive_engine_are_cancelled_and_retried_elsewhere():
    harness = RouterHarness()
    unresponsive = sends(harness.ask(1))[0].engine
    actions = harness.wait(3 * SECOND)
    assert CancelAttempt in kinds(actions)
    assert sends(harness.reply(1, "cancelled"))[0].engine != unresponsive


def test_an_overdue_attempt_at_a_responsive_engine_is_not_cancelled():
    harness = RouterHarness(engines=["r1", "w1"])
    harness.ask(1)
    harness.now += 10 * MS
    harness.ask(2)
    for _ in range(6):
        harness.wait(300 * MS)
        harness.health.engines["r1"].last_response = harness.now
    assert not any(isinstance(action, CancelAttempt) for _, action in harness.log)


def test_a_holder_that_would_be_late_is_passed_over_only_for_a_reader_in_time():
    harness = RouterHarness(engines=["r1", "r3", "w1"])
    r1, r3 = (harness.health.engines[name] for name in ("r1", "r3"))
    r1.reading_tokens, r3.reading_tokens = 11_000.0, 9000.0  # neither above twice the mean load
    harness.prefix_cache.record_read(
        RequestArrived(0, "ask", SECOND, 1000, prefix="p", prefix_tokens=520), "r1", harness.now
    )
    assert sends(harness.ask(1, prefix="p", prefix_tokens=520))[0].engine == "r1"
    harness.router.prediction_error_quantiles = [1.0, 2.2]
    r1.reading_tokens, r3.reading_tokens = 11_000.0, 8000.0
    assert sends(harness.ask(2, prefix="p", prefix_tokens=520))[0].engine == "r3"
    r1.reading_tokens, r3.reading_tokens = 15_000.0, 14_000.0  # both late: the holder gets it
    harness.ask(3, prefix="p", prefix_tokens=520)
    selector = harness.router.dispatcher.reader_selector
    queued = harness.router.table.queued[3]
    assert selector.pick(queued, [r1, r3], harness.now).engine is r1


def test_a_read_that_would_be_late_is_rejected_early_and_one_that_may_be_is_queued():
    harness = RouterHarness(engines=["r1", "w1"])
    reader = harness.health.engines["r1"]
    reader.reading_tokens = 60_000.0  # 4.9 s at the initial pace; the objective is 2 s
    assert RejectRequest in kinds(harness.ask(1))
    reader.reading_tokens = 15_000.0  # 1.3 s
    harness.router.prediction_error_quantiles = [1.0, 1.9]
    assert not {RejectRequest, *map(type, sends(harness.ask(2)))} & set(kinds(harness.ask(3)))
    reader.reading_tokens = 100.0
    assert [action.request for action in sends(harness.wait(50 * MS))] == [2, 3]


def test_discovery_is_polled_again_with_backoff():
    harness = RouterHarness(polls_endpoint_list=True, engines=["r1", "w1"])
    assert sum(isinstance(action, WatchEndpoints) for _, action in harness.log) == 1
    delays = []
    for _ in range(5):
        start = harness.now
        harness.handle(EndpointListUpdate("failed"))
        while not any(
            isinstance(action, WatchEndpoints) for at, action in harness.log if at > start
        ):
            harness.wait(50 * MS)
        delays.append(harness.now - start)
    assert delays[-1] > 3 * delays[0]
    assert sends(harness.ask(1))  # by the last list


def test_without_load_reports_and_cancellation_an_unresponsive_reader_is_avoided():
    harness = RouterHarness(may_cancel=False)
    first = sends(harness.ask(1))[0]
    harness.wait(first.timeout)
    assert first.timeout < 2 * SECOND
    assert not any(isinstance(action, CancelAttempt) for _, action in harness.log)
    assert sends(harness.reply(1, "timeout"))[0].engine != first.engine


def test_a_gateway_that_seldom_uses_each_engine_still_learns_the_typical_pace():
    """At gateways with little traffic, the median over engines with three samples stayed at its
    initial value. In a slowdown of the whole fleet they cancelled all reads: a retry storm.
    """
    harness = RouterHarness(
        engines=[f"r{n}" for n in range(1, 61)] + ["w1", "w2"], gateway_count=100
    )
    for n in range(12):  # all engines are slow, and few are used twice
        harness.ask(n, session=f"s{n}", prompt_tokens=1000, left=30 * SECOND)
        harness.now += SECOND
        harness.reply(n, "read", took=SECOND)
        harness.begin(n)
        harness.reply(n, "ok", SECOND, ended=True)
    assert 0.5e6 < harness.health.typical_pace("read") < 1.1e6
    engines = harness.health.engines.values()
    assert max(engine.samples for engine in engines if engine.role == "read") < 3
    assert not any(engine.ejections for engine in engines)
    harness.ask(99, session="s99", prompt_tokens=1000, left=30 * SECOND)
    assert not [action for action in harness.wait(2 * SECOND) if isinstance(action, CancelAttempt)]


def test_one_slow_sample_does_not_eject_an_engine_but_two_do():
    harness = RouterHarness()
    for n in range(11):
        harness.serve(n, session=f"s{n}")
    engine = harness.health.engines["r1"]
    typical_pace = harness.health.typical_pace("read")
    engine.samples, engine.pace, engine.last_response = 0, 0.0, harness.now
    harness.health.record_pace(engine, 9 * typical_pace, harness.now)
    assert not engine.ejections and harness.health.slowness(engine) > 1.5
    harness.health.record_pace(engine, 9 * typical_pace, harness.now)
    assert engine.ejections


def test_while_connections_fail_a_gateway_uses_open_connections():
    """With slow connection setup every new connection fails while open ones work, and each attempt
    at another engine needs one more new connection.
    """
    harness = RouterHarness(
        engines=[f"r{n}" for n in range(1, 9)] + ["w1", "w2"], connection_idle_timeout=15 * SECOND
    )
    harness.ask(1, session="a")
    harness.reply(1, "read")
    connected = harness.prefix_cache.sessions["a"].reader
    harness.now += SECOND
    names = list(harness.health.engines)
    session_elsewhere = next(
        session
        for session in "bcdefgh"
        if sends(RouterHarness(engines=names).ask(2, session=session))[0].engine != connected
    )
    assert sends(harness.ask(2, session=session_elsewhere))[0].engine != connected
    assert sends(harness.reply(2, "connect_failed", took=250 * MS))[0].engine == connected
    # The second failure in the window, by another request.
    harness.router.reachability.record_connect_failure(harness.now)
    assert {sends(harness.ask(n, session=f"s{n}"))[0].engine for n in range(3, 9)} == {connected}
    # After a network failure of six seconds, a busy gateway used only a few engines for another
    # half a minute.
    harness.now += 3 * SECOND
    assert len({sends(harness.ask(n, session=f"s{n}"))[0].engine for n in range(20, 26)}) > 1


def test_an_ejection_starts_now_and_outlasts_some_arrivals_at_little_traffic():
    """An ejection that started at the engine's last response, half a minute ago, was over at
    once.
    """
    harness = RouterHarness(gateway_count=100)
    for n in range(6):
        harness.serve(n, session=f"s{n}")
        harness.now += 4 * SECOND
    engine = harness.health.engines["r1"]
    engine.last_response = harness.now - 30 * SECOND
    engine.samples = 3
    engine.pace = 1e6 * harness.health.typical_pace("read")
    harness.health.record_pace(engine, engine.pace, harness.now)
    assert engine.ejected_until > harness.now + 3 * SECOND


def test_one_failure_ejects_an_engine_that_is_seldom_used():
    harness = RouterHarness()
    engine = harness.health.engines["r1"]
    engine.last_response = harness.now
    harness.health.record_failure(engine, harness.now + MS)
    assert not engine.ejections
    engine.consecutive_failures, engine.last_response = 0, harness.now - 30 * SECOND
    harness.health.record_failure(engine, harness.now)
    assert engine.ejections


def test_a_tenant_within_its_quota_is_not_over_it_at_a_gateway_that_seldom_serves_it():
    """A burst of two seconds of a gateway's share was less than one request, so that all traffic
    counted as over quota.
    """
    quota = TenantQuota("tenant", quota_per_s=20)  # 0.2 a second at each gateway
    harness = RouterHarness(gateway_count=100, tenants={"tenant": quota})
    quotas = harness.router.admission.tenant_quotas
    over_quota = []
    for _ in range(40):
        harness.now += 6 * SECOND
        over_quota.append(quotas.over_quota("tenant", harness.now))
    assert not any(over_quota)
    over_quota = []
    for _ in range(60):  # at five times the gateway's share
        harness.now += SECOND
        over_quota.append(quotas.over_quota("tenant", harness.now))
    assert sum(over_quota) > 40


def test_a_mixed_engine_that_failed_a_request_does_not_get_it_again_while_there_is_another():
    """The engine that broke off the answer was chosen again, since both engines had the same load
    and the ranks are those of the first attempt.
    """
    harness = RouterHarness(engines=["m1", "m2"])
    first = sends(harness.ask(1, prompt_tokens=9000))[0].engine
    assert sends(harness.reply(1, "reset"))[0].engine != first
