"""Zones that a gateway can't reach: judged by silence alone, and tried again soon."""

from hypothesis import given
from hypothesis import strategies as st

from claycross.fleet.zone_reachability import LONGEST_SUSPICION, SUSPICION, ZoneReachability
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

ZONES, ENGINES = ("north", "south", "west"), tuple(f"e{n}" for n in range(4))
EVENTS = st.lists(
    st.tuples(
        st.sampled_from(["silent", "answered"]),
        st.sampled_from(ZONES),
        st.sampled_from(ENGINES),
        st.integers(0, 3 * SECOND),
    ),
    max_size=60,
)


def test_two_silent_engines_make_a_zone_suspect_and_one_does_not():
    zones = ZoneReachability()
    for _ in range(5):
        zones.engine_silent("north", "e1", 0)
    assert not zones.is_suspect("north", 0)
    zones.engine_silent("north", "e2", 0)
    assert zones.is_suspect("north", 0) and not zones.is_suspect("south", 0)
    assert not zones.is_suspect("north", SUSPICION)  # tried again


def test_an_answer_clears_a_zone_and_silence_prolongs_its_suspicion():
    zones = ZoneReachability()
    zones.engine_silent("north", "e1", 0)
    zones.engine_silent("north", "e2", 0)
    now, spans = SUSPICION, []
    for _ in range(5):  # each trial fails at one engine
        zones.engine_silent("north", "e3", now)
        spans.append(
            next(
                span
                for span in range(0, LONGEST_SUSPICION + 2, MS)
                if not zones.is_suspect("north", now + span)
            )
        )
        now += spans[-1]
    assert spans == sorted(spans) and spans[0] > SUSPICION and spans[-1] == LONGEST_SUSPICION
    zones.engine_responded("north")
    zones.engine_silent("north", "e3", now)
    assert not zones.is_suspect("north", now)


@given(EVENTS)
def test_suspicion_rests_on_silence_since_the_last_answer_and_always_ends(events):
    zones, now = ZoneReachability(), 0
    silent = {zone: set() for zone in ZONES}
    for kind, zone, engine, span in events:
        now += span
        if kind == "silent":
            zones.engine_silent(zone, engine, now)
            silent[zone].add(engine)
        else:
            zones.engine_responded(zone)
            silent[zone].clear()
        for z in ZONES:
            assert not zones.is_suspect(z, now) or len(silent[z]) >= 2
            assert not zones.is_suspect(z, now + LONGEST_SUSPICION)


def fleet(**over):
    """Six readers in each of three zones, writers in the first."""
    readers = [entry(f"r{n}", zone=ZONES[n % 3]) for n in range(18)]
    return RouterHarness(
        engines=[*readers, entry("w1", zone="north"), entry("w3", zone="north")],
        gateway_count=60,
        **over,
    )


def zone_of(desk, engine):
    return desk.router.health.engines[engine].entry.zone


def test_after_a_silent_attempt_the_next_one_goes_to_another_zone():
    for how in ("connect_failed", "cancelled"):
        for n in range(12):
            d = fleet()
            first = sends(d.ask(n, session=f"s{n}", left=30 * SECOND))[0].engine
            if how == "cancelled":
                assert CancelAttempt in kinds(d.wait(4 * SECOND))
            again = sends(d.reply(n, how, took=250 * MS))[0].engine
            assert zone_of(d, again) != zone_of(d, first)


def test_a_cut_off_zone_gets_nothing_for_a_while_and_is_then_tried_again():
    d = fleet()
    now = d.now
    for n in range(40):
        for send in sends(d.ask(n, session=f"s{n}", left=30 * SECOND)):
            if zone_of(d, send.engine) == "south":
                d.reply(n, "connect_failed", took=250 * MS)
        d.now += 10 * MS
    sent = [a.engine for at, a in d.log if sends([a]) and at > now + 300 * MS]
    assert sent and not any(zone_of(d, e) == "south" for e in sent)
    d.now += LONGEST_SUSPICION
    later = [s.engine for n in range(100, 160) for s in sends(d.ask(n, session=f"t{n}"))]
    assert any(zone_of(d, e) == "south" for e in later)


def test_one_bad_engine_in_each_zone_makes_none_suspect():
    d = fleet()
    bad = {"r0", "r1", "r2"}
    for n in range(60):
        for send in sends(d.ask(n, session=f"s{n}", left=30 * SECOND)):
            failed = send.engine in bad
            d.reply(n, "connect_failed" if failed else "read", took=250 * MS if failed else 50 * MS)
        d.now += 20 * MS
    assert not any(d.router.zones.is_suspect(z, d.now) for z in ZONES)


def test_where_every_zone_is_silent_work_still_goes_somewhere():
    d = fleet()
    for zone in ZONES:
        for engine in ("a", "b"):
            d.router.zones.engine_silent(zone, engine, d.now)
    assert sends(d.ask(1, session="s"))


def test_fleets_without_zones_are_not_narrowed():
    d = RouterHarness(
        engines=[entry(f"r{n}", zone="-") for n in range(1, 9)] + [entry("w1", zone="-")]
    )
    d.handle(EndpointListUpdate("changes", []))
    first = sends(d.ask(1, session="s", left=30 * SECOND))[0].engine
    assert sends(d.reply(1, "connect_failed", took=250 * MS))[0].engine != first
