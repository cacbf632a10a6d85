"""What is harmless at one gateway and harmful at forty: without sockets, in virtual time."""

from __future__ import annotations

import heapq
from itertools import count

import pytest

from claycross import interface as i
from claycross.fleet import load_aggregation
from claycross.fleet.load_gossip import ENGINE_FAILED, READ, decode
from claycross.net.loop import Timer
from claycross.requests.manager import RequestManager
from claycross.routing.router import rank
from tests.routing.router_harness import (
    MS,
    READERS,
    SECOND,
    WRITERS,
    AttemptFinished,
    ReleaseState,
    RouterHarness,
    entry,
    kinds,
    sends,
    settings,
)


class VirtualClock:
    """A clock with timers that moves when it is told to."""

    def __init__(self):
        self.at = 100 * SECOND
        self.timers = []
        self.order = count()

    def now(self):
        return self.at

    def call_later(self, span, call):
        timer = Timer(0, call)
        heapq.heappush(self.timers, (self.at + span, next(self.order), timer))
        return timer

    def pass_by(self, span, manager):
        """Let time pass, with the timers that come due."""
        until = self.at + span
        while self.timers and self.timers[0][0] <= until:
            self.at, _, timer = heapq.heappop(self.timers)
            if timer.call:
                timer.call()
            manager.process_events()
        self.at = until


class FakeEngineCalls:
    """The engine side of a request manager, which records what it is asked to do.

    Args:
        deaf: engines at which no release arrives.
        unmade: engines to which no connection comes up; releases then wait for `written()`.
    """

    def __init__(self, deaf=(), unmade=()):
        self.started = []
        self.released = []
        self.deaf = deaf
        self.unmade = unmade
        self.calls = []  # releases that wait to be written

    def written(self):
        """Send the releases that were asked for in this iteration, if they are still wanted."""
        while self.calls:
            engine, key, report, still_wanted = self.calls.pop(0)
            if still_wanted():
                self.released.append((engine, key))
            report(still_wanted() and engine not in self.deaf)

    def start(self, attempt):
        self.started.append(attempt)
        if attempt.engine not in self.unmade:
            attempt.abort = lambda: True  # it was written

    def abort(self, attempt):
        return True

    def release(self, engine, key, report, still_wanted):
        if self.unmade:
            self.calls.append((engine, key, report, still_wanted))
            return
        self.released.append((engine, key))
        report(engine not in self.deaf)


class FakeReply:
    """The client side of a request, which ignores all that it is told."""

    def __getattr__(self, name):
        return lambda *_: None


def accept_request(manager):
    """A request whose first read is in flight, and that read."""
    arrival = i.RequestArrived(0, "ask", 6 * SECOND, prompt_tokens=1000, max_output_tokens=100)
    request = manager.accept(arrival, "k1", None, FakeReply())
    manager.process_events()
    return request, manager.engine_calls.started[-1]


def gateway(**over):
    """A request manager with its clock and engine calls; releases at readers are not heard."""
    clock = VirtualClock()
    manager = RequestManager(settings(**over), 1, clock, lambda text: None)
    manager.engine_calls = FakeEngineCalls(deaf=READERS)
    entries = [entry(name) for name in READERS + WRITERS]
    manager.update_endpoints(i.EndpointListUpdate(i.UpdateKind.FULL, entries))
    manager.process_events()
    return manager, clock, manager.engine_calls


def test_repeated_releases_spare_the_state_that_was_read_since():
    manager, clock, engine_calls = gateway()
    _, first = accept_request(manager)
    manager.attempt_done(first, "reset")
    manager.process_events()
    second = engine_calls.started[-1]
    assert second is not first and second.is_read
    clock.pass_by(600 * MS, manager)
    assert not engine_calls.released  # it would let go of what the second read makes, too
    manager.attempt_done(second, "read")
    manager.process_events()
    assert engine_calls.started[-1].engine in WRITERS and not engine_calls.released
    manager.stream_started(engine_calls.started[-1])
    manager.attempt_done(engine_calls.started[-1], "ok")
    manager.process_events()
    clock.pass_by(5 * SECOND, manager)
    assert not engine_calls.released and not manager.requests  # the first token let go of all


@pytest.mark.parametrize("deaf", [False, True])
def test_a_state_is_released_though_the_next_read_is_still_connecting(deaf):
    """zone+mass, 200 gateways, a zone cut off: two dials to writers failed after a read, and the
    word that its state may go, given with the next read, was kept back while that was dialling for
    250 ms, too."""
    manager, clock, engine_calls = gateway()
    engine_calls.deaf = ()
    request, first = accept_request(manager)
    manager.attempt_done(first, "read")
    engine_calls.unmade = {*READERS, *WRITERS}
    manager.process_events()
    read_at = clock.at
    engine_calls.deaf = (first.engine,) if deaf else ()
    while clock.at - read_at < 900 * MS and not [
        e for e, _ in engine_calls.released if e not in engine_calls.deaf
    ]:
        clock.pass_by(10 * MS, manager)
        engine_calls.written()
        for attempt in engine_calls.started:
            if not attempt.finished and clock.at - attempt.started_at >= 250 * MS:
                manager.attempt_done(attempt, "connect_failed")
                manager.process_events()
        engine_calls.written()
    assert not request.finished and any(
        t.abort is None and t.is_read and not t.finished for t in request.attempts
    )
    assert clock.at - read_at <= 600 * MS, "let go too late"


def test_a_repeated_release_waits_while_the_request_has_a_read_in_flight():
    manager, clock, engine_calls = gateway()
    request, first = accept_request(manager)
    manager.attempt_done(first, "reset")
    manager.process_events()
    assert manager.is_reserved_again("k1", first.engine)
    assert (
        not engine_calls.released and request.reserved_at[first.engine]
    )  # it is let go of with what follows
    manager.client_disconnected(request)
    manager.process_events()
    manager.attempt_done(engine_calls.started[-1], "reset")
    manager.process_events()
    assert {engine for engine, _ in engine_calls.released} >= {
        first.engine,
        engine_calls.started[-1].engine,
    }


@pytest.mark.parametrize("result", ["reset", "error", "timeout"])
def test_the_next_read_is_sent_with_nothing_released_before_it(result):
    d = RouterHarness()
    d.ask(1)
    actions = d.reply(1, result)
    assert sends(actions) and ReleaseState not in kinds(actions)


def test_a_state_is_released_in_time_while_no_reader_takes_the_request():
    d = RouterHarness(engines=["r1", *WRITERS])
    d.ask(1)
    d.router.health.engines["r1"].ejected_until = d.now + 10 * SECOND
    d.do(i.EndpointListUpdate("changes", [entry("r1", "draining")]))
    n = min(n for r, n in d.out if r == 1)
    settled = d.now
    d.do(AttemptFinished(1, n, d.out.pop((1, n)).engine, "reset", 50 * MS))
    d.wait(290 * MS)
    assert [at for at, a in d.log if isinstance(a, ReleaseState)] and d.log[-1][
        0
    ] - settled <= 300 * MS


FLEET = 40
COLD = {
    "slow_start_initial": 0.26,
    "slow_start_duration": 12 * SECOND,
    "overload_window": 3 * SECOND,
    "overload_multiple": 4.0,
}


def fleet(engines, restarted=0, **over):
    """Forty routers with one list; the last of them have just started."""
    harnesses = [
        RouterHarness(
            engines=engines, seed=n, gateway_count=FLEET, gateway_number=n, **COLD, **over
        )
        for n in range(FLEET)
    ]
    for d in harnesses[: FLEET - restarted]:
        d.router.health.rates.update(
            {"": (12.0, d.now), "read": (12.0, d.now), "write": (12.0, d.now)}
        )
    return harnesses


def started(names, cold, at):
    return [entry(n, started_at=at if n in cold else 0) for n in names]


@pytest.mark.parametrize("age", [0, 3, 8])
def test_forty_gateways_find_one_home_for_a_session_though_most_readers_are_cold(age):
    names = [f"r{n}" for n in range(1, 17)]
    cold = names[6:]
    found = {}
    for n in range(30):
        for d in fleet([*started(names, cold, (100 - age) * SECOND), *WRITERS]):
            fields = {"session": f"s{n}", "prefix": f"p{n % 5}", "prefix_tokens": 800}
            found.setdefault(n, set()).add(sends(d.ask(n, **fields))[0].engine)
    assert all(len(readers) == 1 for readers in found.values())
    chosen = [next(iter(readers)) for readers in found.values()]
    assert set(chosen) & set(cold) and set(chosen) - set(cold)


@pytest.mark.parametrize("hot", [0.0, 0.2])
def test_forty_gateways_together_keep_the_budget_of_a_cold_reader(hot):
    """A tenth of them just restarted; a fifth of all traffic may share one beginning, at home
    there."""
    names, rate = [f"r{n}" for n in range(1, 17)], 40
    home = next(f"h{n}" for n in range(99) if max(names, key=lambda e: rank(f"h{n}", e)) == "r5")
    harnesses = fleet([*started(names, ["r5"], 99 * SECOND), *WRITERS], restarted=FLEET // 10)
    at = []
    for n in range(rate * 12):
        now = 100 * SECOND + n * SECOND // rate
        d = harnesses[n * 7 % FLEET]
        d.wait(now - d.now)
        prefix = home if n % 100 < hot * 100 else f"p{n % 97}"
        for a in sends(d.ask(n, session=f"s{n}", prefix=prefix, prefix_tokens=800)):
            at += [now] if a.engine == "r5" else []
            d.now += 1
            d.reply(n, "read")
    capacity = (
        rate / len(names) / 0.35
    )  # requests a second: readers carry about a third of what they can
    for begin in at:
        age = begin - 99 * SECOND
        present = capacity * (0.26 + 0.74 * age / (12 * SECOND))
        assert sum(begin <= t < begin + 3 * SECOND for t in at) <= 4 * present * 3
    assert len(at) >= 12  # nor does it stand idle: its share of all, once warm, would be 30


def together(harnesses, now):
    """Hands every gateway's new messages to all others."""
    for d in harnesses:
        for _, a in d.log[d.__dict__.setdefault("told", 0) :]:
            if isinstance(a, i.SendGossip):
                for other in harnesses:
                    if other is not d:
                        other.now = max(other.now, now)
                        other.do(i.GossipReceived(d.settings.gateway_number, a.payload))
        d.told = len(d.log)


@pytest.mark.parametrize("peers", [True, False])
def test_forty_gateways_that_gossip_do_not_pile_up_on_one_reader(peers):
    """Long prompts that nobody has read, all of one beginning: alone, each gateway sees an idle
    home."""
    names = [f"r{n}" for n in range(1, 17)]
    harnesses = fleet([*names, *WRITERS], gossip_allowed=peers)
    sent = []
    for n, d in enumerate(harnesses):
        d.now = 100 * SECOND + n * 20 * MS
        actions = d.ask(n, session=f"s{n}", prefix="p", prefix_tokens=3000, prompt_tokens=6000)
        sent += [a.engine for a in sends(actions)]
        together(harnesses, d.now)
    worst = max(map(sent.count, names))
    assert len(sent) == FLEET and (worst <= 8 if peers else worst == FLEET)
    for d in harnesses:  # no gateway takes what it has in hand itself for another's
        own = sum(e.reading for e in d.router.health.engines.values())
        others = sum(d.router.load_gossip.load_of_others(READ, e) for e in names)
        assert not peers or own + others == pytest.approx(
            sum(e.reading for x in harnesses for e in x.router.health.engines.values()), rel=0.1
        )


@pytest.mark.parametrize("result", ["error", "reset"])
def test_an_engine_that_fails_fast_is_met_by_few_of_forty_gateways(result):
    """It looks the emptiest, so that each gateway in turn sent there until it had seen two
    failures."""
    met = {}
    for peers in (True, False):
        harnesses, met[peers] = fleet(["r1", "r2", *WRITERS], gossip_allowed=peers), 0
        for n in range(3 * FLEET):
            d, now = harnesses[n % FLEET], 100 * SECOND + n * 25 * MS
            d.wait(now - d.now)
            d.ask(n, cls="low", session=f"s{n}", prompt_tokens=800)
            for a in sends(d.reply(n, "read")):
                if a.engine == "w1":
                    met[peers] += 1
                    d.reply(n, result)
                else:
                    d.begin(n)
                    d.reply(n, "ok", SECOND, ended=True)
            together(harnesses, now)
    assert met[True] <= 6 and met[False] >= 3 * met[True]


def test_one_reporter_or_slowness_ejects_no_engine_for_others():
    harnesses = fleet(["r1", "r2", *WRITERS], gossip_allowed=True)
    health = harnesses[0].router.health
    health.record_failure(health.engines["w1"], harnesses[0].now)
    for d in harnesses[1:3]:
        health = d.router.health
        health.eject(health.engines["w2"], d.now)  # as for a pace out of the ordinary
    for d in harnesses[:3]:
        d.do()
    together(harnesses, 100 * SECOND)
    for d in harnesses[3:]:
        assert not any(e.ejected_until for e in d.router.health.engines.values())


def test_no_gossip_is_kept_where_gateways_may_not_gossip():
    d = RouterHarness(gateway_count=FLEET)
    before = len(d.router.load_gossip.queue)
    for n in range(20):
        if sends(d.ask(n)):
            d.reply(n, "error")
    assert (
        len(d.router.load_gossip.queue) == before
        and not d.router.load_gossip.later
        and not d.router.load_gossip.mine
    )


@pytest.mark.parametrize(("started_at", "told"), [(99 * SECOND, False), (0, True)])
def test_unresponsiveness_is_reported_of_warm_engines_only(started_at, told):
    """Cold readers that were slow to answer were put out by the whole fleet, which then refused
    requests."""
    d = RouterHarness(
        engines=[entry("r1", started_at=started_at), *WRITERS],
        gateway_count=FLEET,
        gossip_allowed=True,
        **COLD,
    )
    d.ask(1)
    actions = d.reply(1, "timeout")
    notes = [n for a in actions if isinstance(a, i.SendGossip) for n in decode(a.payload)]
    assert any(kind == ENGINE_FAILED for kind, *_ in notes) == told


@pytest.mark.parametrize("nodes", [FLEET, FLEET + 1, 198])
def test_load_is_sent_to_all_among_few_and_to_the_aggregator_among_many(nodes):
    """Each piece of work told to 197 others cost more than it brought: 0.090 of G on the herd day
    at 198. With nothing told the days of replaced engines fell: join+mass 0.76 to 0.18."""
    d = RouterHarness(gateway_count=nodes, gossip_allowed=True, gateway_number=1)
    tells = []
    for n in range(30):
        d.wait(20 * MS)
        actions = [
            *d.ask(n, session=f"s{n}", prompt_tokens=3000),
            *d.reply(n, "read"),
            *d.begin(n),
            *d.reply(n, "ok", SECOND, ended=True),
        ]
        tells += [a for a in actions if isinstance(a, i.SendGossip)]
    tells += [a for a in d.do() if isinstance(a, i.SendGossip)]
    if nodes > FLEET:
        collector = d.router.load_gossip.shards[0].lease.holder
        assert (
            collector != 1 and {a.recipient for a in tells} == {collector} and len(tells) < 4 * 30
        )
        assert not d.router.load_gossip.work
    else:
        assert {a.recipient for a in tells} == {i.ALL_GATEWAYS} and not d.router.load_gossip.mine


@pytest.mark.parametrize("nodes", [FLEET, 198])
def test_failures_are_reported_among_any_number(nodes):
    d = RouterHarness(gateway_count=nodes, gossip_allowed=True)
    d.ask(99)
    d.now += 10 * MS
    told = [a.payload for a in d.reply(99, "error") if isinstance(a, i.SendGossip)]
    blamed = (
        [tag for p in told for kind, _, tag, _ in decode(p) if kind == ENGINE_FAILED]
        if nodes == FLEET
        else [
            tag for p in told if (said := load_aggregation.decode(p)) for tag in said.failed_engines
        ]
    )
    assert blamed == [
        d.router.load_gossip.tag(e.id)
        for e in d.router.health.engines.values()
        if e.fails or e.ejections
    ]


@pytest.mark.parametrize("peers", [True, False])
def test_one_stream_is_not_taken_for_two_hundred_where_no_load_is_received(peers):
    """Writers have room until they say they are full; else reads wait for room that is there."""
    d = RouterHarness(gateway_count=198, gossip_allowed=peers)
    for n in range(12):
        assert sends(d.ask(n, prompt_tokens=6000)), n
        d.reply(n, "read")
        d.begin(n)


@pytest.mark.parametrize(("cls", "called_off"), [("once", False), ("low", True)])
def test_a_write_that_may_not_run_twice_is_waited_for_to_its_deadline(cls, called_off):
    """Called off, it is lost for certain: 306 writes of a calm day with 198 gateways, each a
    licence."""
    d = RouterHarness()
    d.ask(1, cls=cls)
    d.reply(1, "read")
    actions = []
    for _ in range(50):
        actions += d.wait(100 * MS)
        if called_off and any(isinstance(a, i.CancelAttempt) for a in actions):
            break
    assert any(isinstance(a, i.CancelAttempt) for a in actions) == called_off
    if not called_off:
        assert (
            d.sent_at[1, 1] + d.out[1, 1].timeout > 105 * SECOND
        )  # its deadline, but for a margin
        silent = d.router.health.engines[d.out[1, 1].engine]
        assert silent.fails or silent.ejections  # others are told, and don't wait there, too
        d.begin(1)
        assert d.router.requests[1].stage == "streaming"


def test_gateways_that_have_taken_as_many_requests_do_not_all_choose_the_same_writer():
    """They numbered requests from one each, and ties are broken by a hash of the number: with
    nothing told between 198 gateways, first tokens at the writers that all of them chose took over
    a second."""
    for n in range(5):  # the n-th request of each
        chosen = {}
        for me in range(FLEET):
            clock = VirtualClock()
            manager = RequestManager(
                settings(gateway_number=me, gateway_count=FLEET), me, clock, lambda text: None
            )
            manager.engine_calls = FakeEngineCalls()
            manager.update_endpoints(
                i.EndpointListUpdate(
                    "full",
                    [entry("r1"), *(entry(f"w{k}", cell=0, zone="north") for k in range(1, 11))],
                )
            )
            for k in range(n + 1):
                manager.accept(
                    i.RequestArrived(
                        0, "ask", 6 * SECOND, prompt_tokens=1000, max_output_tokens=100
                    ),
                    f"k{k}",
                    None,
                    FakeReply(),
                )
                manager.process_events()
                manager.attempt_done(manager.engine_calls.started[-1], "read")
                manager.process_events()
            writer = manager.engine_calls.started[-1].engine
            chosen[writer] = chosen.get(writer, 0) + 1
        assert len(chosen) >= 7 and max(chosen.values()) <= 12, chosen  # 4 each in the mean
