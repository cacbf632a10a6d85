"""Zones that a gateway can't reach: detected by unresponsive engines, and soon tried again."""

from hypothesis import given
from hypothesis import strategies as st

from claycross.fleet.zone_reachability import (
    MAX_SUSPICION_NS,
    MIN_SUSPICION_NS,
    ZoneReachability,
)
from tests.routing.router_harness import (
    MS,
    SECOND,
    CancelAttempt,
    EndpointListUpdate,
    RouterHarness,
    entry,
    kinds,
    sends,
)

ZONES = ("north", "south", "west")
ENGINES = tuple(f"e{number}" for number in range(4))
EVENTS = st.lists(
    st.tuples(
        st.sampled_from(["unresponsive", "responded"]),
        st.sampled_from(ZONES),
        st.sampled_from(ENGINES),
        st.integers(0, 3 * SECOND),
    ),
    max_size=60,
)


def test_two_unresponsive_engines_make_a_zone_suspect_and_one_does_not():
    zones = ZoneReachability()
    for _ in range(5):
        zones.engine_unresponsive("north", "e1", 0)
    assert not zones.is_suspect("north", 0)
    zones.engine_unresponsive("north", "e2", 0)
    assert zones.is_suspect("north", 0)
    assert not zones.is_suspect("south", 0)
    assert not zones.is_suspect("north", MIN_SUSPICION_NS)  # it is tried again


def test_each_further_unresponsive_engine_prolongs_a_suspicion_until_one_responds():
    zones = ZoneReachability()
    zones.engine_unresponsive("north", "e1", 0)
    zones.engine_unresponsive("north", "e2", 0)
    now = MIN_SUSPICION_NS
    durations = []
    for _ in range(5):
        zones.engine_unresponsive("north", "e3", now)
        durations.append(
            next(
                duration
                for duration in range(0, MAX_SUSPICION_NS + 2, MS)
                if not zones.is_suspect("north", now + duration)
            )
        )
        now += durations[-1]
    assert durations == sorted(durations)
    assert durations[0] > MIN_SUSPICION_NS
    assert durations[-1] == MAX_SUSPICION_NS
    zones.engine_responded("north")
    zones.engine_unresponsive("north", "e3", now)
    assert not zones.is_suspect("north", now)


@given(EVENTS)
def test_a_suspicion_needs_two_unresponsive_engines_and_always_ends(events):
    zones = ZoneReachability()
    now = 0
    unresponsive = {zone: set() for zone in ZONES}  # since the zone's last response
    for kind, zone, engine, elapsed in events:
        now += elapsed
        if kind == "unresponsive":
            zones.engine_unresponsive(zone, engine, now)
            unresponsive[zone].add(engine)
        else:
            zones.engine_responded(zone)
            unresponsive[zone].clear()
        for other in ZONES:
            assert not zones.is_suspect(other, now) or len(unresponsive[other]) >= 2
            assert not zones.is_suspect(other, now + MAX_SUSPICION_NS)


def new_router(**settings):
    """A router with six readers in each of three zones, and writers in the first."""
    readers = [entry(f"r{number}", zone=ZONES[number % 3]) for number in range(18)]
    return RouterHarness(
        engines=[*readers, entry("w1", zone="north"), entry("w3", zone="north")],
        gateway_count=60,
        **settings,
    )


def zone_of(router, engine):
    return router.router.health.engines[engine].entry.zone


def test_the_attempt_after_an_unresponsive_one_is_made_in_another_zone():
    for result in ("connect_failed", "cancelled"):
        for request in range(12):
            router = new_router()
            sent = sends(router.ask(request, session=f"s{request}", left=30 * SECOND))
            first = sent[0].engine
            if result == "cancelled":
                assert CancelAttempt in kinds(router.wait(4 * SECOND))
            second = sends(router.reply(request, result, took=250 * MS))[0].engine
            assert zone_of(router, second) != zone_of(router, first)


def test_an_unreachable_zone_gets_no_attempts_for_a_while_and_is_then_tried_again():
    router = new_router()
    start = router.now
    for request in range(40):
        for send in sends(router.ask(request, session=f"s{request}", left=30 * SECOND)):
            if zone_of(router, send.engine) == "south":
                router.reply(request, "connect_failed", took=250 * MS)
        router.now += 10 * MS
    engines = [
        action.engine for at, action in router.log if sends([action]) and at > start + 300 * MS
    ]
    assert engines
    assert not any(zone_of(router, engine) == "south" for engine in engines)
    router.now += MAX_SUSPICION_NS
    later_engines = [
        send.engine
        for request in range(100, 160)
        for send in sends(router.ask(request, session=f"t{request}"))
    ]
    assert any(zone_of(router, engine) == "south" for engine in later_engines)


def test_one_failing_engine_in_each_zone_makes_none_suspect():
    router = new_router()
    failing = {"r0", "r1", "r2"}
    for request in range(60):
        for send in sends(router.ask(request, session=f"s{request}", left=30 * SECOND)):
            if send.engine in failing:
                router.reply(request, "connect_failed", took=250 * MS)
            else:
                router.reply(request, "read", took=50 * MS)
        router.now += 20 * MS
    assert not any(router.router.zones.is_suspect(zone, router.now) for zone in ZONES)


def test_where_every_zone_is_suspect_attempts_are_still_made():
    router = new_router()
    for zone in ZONES:
        for engine in ("a", "b"):
            router.router.zones.engine_unresponsive(zone, engine, router.now)
    assert sends(router.ask(1, session="s"))


def test_without_zones_no_reader_is_excluded():
    readers = [entry(f"r{number}", zone="-") for number in range(1, 9)]
    router = RouterHarness(engines=[*readers, entry("w1", zone="-")])
    router.handle(EndpointListUpdate("changes", []))
    first = sends(router.ask(1, session="s", left=30 * SECOND))[0].engine
    assert sends(router.reply(1, "connect_failed", took=250 * MS))[0].engine != first
