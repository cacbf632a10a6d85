"""What a module learned goes to the next process of the gateway, never to an engine that restarted
since."""

import copy
import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from claycross.recovery import warm_start
from tests.routing.router_harness import (
    READERS,
    SECOND,
    WRITERS,
    EndpointListUpdate,
    RouterHarness,
    entry,
)

CLOCK = "the machine's run"


def taught(restarted=()):
    """A desk that served a day, its lessons through JSON, and a new desk taught them under today's
    list."""
    old = RouterHarness()
    for n in range(1, 40):
        old.serve(n, session=f"s{n % 7}", prefix=f"p{n % 3}", prefix_tokens=400)
        old.now += 100 * 1_000_000
    found = warm_start.decode(
        json.loads(json.dumps(warm_start.capture(old.router, old.now, CLOCK).encode())),
        old.now,
        CLOCK,
    )
    new = RouterHarness()
    new.now = old.now + SECOND
    today = [entry(n, started_at=new.now if n in restarted else 0) for n in READERS + WRITERS]
    new.handle(EndpointListUpdate("full", today))
    named = warm_start.restore(new.router, found, new.now)
    return old, new, named


def test_a_new_module_foretells_as_the_old_one_did():
    old, new, named = taught()
    assert named == len([e for e in old.router.health.engines.values() if e.samples])
    for role in ("read", "write"):
        assert new.router.health.typical_pace(role) == pytest.approx(
            old.router.health.typical_pace(role)
        )
    assert new.router.prediction_error_quantiles == old.router.prediction_error_quantiles
    assert new.router.home_cache_share == old.router.home_cache_share
    assert new.router.prefix_cache.sessions == old.router.prefix_cache.sessions
    assert new.router.prefix_cache.prefixes == old.router.prefix_cache.prefixes
    assert new.router.prefix_cache.credited_tokens == {
        r: c for r, c in old.router.prefix_cache.credited_tokens.items() if c
    }


def test_an_engine_that_restarted_since_keeps_nothing_of_its_earlier_process():
    old, new, _ = taught(restarted={"r1", "w1"})
    for engine in ("r1", "w1"):
        assert new.router.health.engines[engine].samples == 0
    assert all(reader != "r1" for reader, _, _ in new.router.prefix_cache.sessions.values())
    assert all("r1" not in held for held in new.router.prefix_cache.prefixes.values())
    assert "r1" in {
        reader for reader, _, _ in old.router.prefix_cache.sessions.values()
    }  # it had some to lose


def test_a_module_that_learned_for_itself_keeps_its_own():
    old, new, _ = taught()
    again = RouterHarness()
    again.now = new.now
    again.handle(EndpointListUpdate("full", [entry(n) for n in READERS + WRITERS]))
    again.serve(1, session="mine")
    own = {e.id: (e.pace, e.samples) for e in again.router.health.engines.values() if e.samples}
    lags = list(again.router.prediction_error_quantiles)
    warm_start.restore(again.router, warm_start.capture(old.router, old.now, CLOCK), again.now)
    assert {
        e: (again.router.health.engines[e].pace, again.router.health.engines[e].samples)
        for e in own
    } == own
    assert again.router.prediction_error_quantiles == lags


@pytest.mark.parametrize(
    ("spoil", "why"),
    [
        (lambda f: f | {"at": f["at"] - 31 * SECOND}, "ago"),
        (lambda f: f | {"at": f["at"] + SECOND}, "ago"),
        (lambda f: f | {"lags": [1.0]}, "lags"),
        (lambda f: f | {"home_kept": 3.0}, "home_kept"),
        (lambda f: f | {"recent": {"read": []}}, "recent"),
        (lambda f: f | {"engines": {"r1": [1.0, True, 0]}}, "engines"),
        (lambda f: f | {"engines": {"r1": [1.0, float("inf"), 0]}}, "engines"),
        (lambda f: f | {"rates": {"read": [1.0, 10**400]}}, "rates"),
        (lambda f: f | {"engines": {f"e{n}": [1.0, 1, 0] for n in range(600)}}, "engines"),
        (lambda f: f | {"sessions": {"s": [5, 1, 1]}}, "sessions"),
        (lambda f: f | {"prefixes": {"p": {"r1": [1]}}}, "prefixes"),
        (lambda f: f | {"clock": "another run"}, "another clock"),
        (lambda f: {k: v for k, v in f.items() if k != "clock"}, "another clock"),
        (lambda f: [f], "no lessons"),
    ],
)
def test_lessons_out_of_kind_bound_or_time_are_not_taught(spoil, why):
    old = RouterHarness()
    old.serve(1, session="s")
    found = warm_start.capture(old.router, old.now, CLOCK).encode()
    with pytest.raises(warm_start.InvalidSnapshotError, match=why):
        warm_start.decode(spoil(copy.deepcopy(found)), old.now, CLOCK)


def test_lessons_are_of_no_use_where_the_clock_has_no_name():
    found = warm_start.capture(RouterHarness().router, 0, "").encode()
    with pytest.raises(warm_start.InvalidSnapshotError, match="another clock"):
        warm_start.decode(found, 0, "")


@settings(max_examples=200, deadline=None)
@given(
    st.recursive(
        st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
        lambda inner: st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=5), inner, max_size=4),
        max_leaves=20,
    ),
    st.sampled_from(
        ["lags", "recent", "rates", "engines", "sessions", "prefixes", "home_kept", "at"]
    ),
)
def test_whatever_a_field_holds_the_lessons_are_judged_or_unfit_and_teaching_holds(junk, field):
    old = RouterHarness()
    old.serve(1, session="s", prefix="p", prefix_tokens=100)
    found = warm_start.capture(old.router, old.now, CLOCK).encode() | {field: junk}
    try:
        judged = warm_start.decode(json.loads(json.dumps(found)), old.now, CLOCK)
    except (warm_start.InvalidSnapshotError, ValueError):
        return
    new = RouterHarness()
    new.now = old.now
    warm_start.restore(new.router, judged, new.now)
    new.serve(2, session="s", prefix="p", prefix_tokens=100)
