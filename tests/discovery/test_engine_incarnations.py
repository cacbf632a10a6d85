"""What a gateway believes of an engine's start, which another machine's wall clock tells."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from claycross.discovery.engine_incarnations import (
    ANNOUNCEMENT_DELAY,
    LONG_AGO,
    MAX_REMOVED,
    UNKNOWN,
    EngineIncarnations,
)
from claycross.discovery.watch import read_boot, read_targets
from claycross.interface import EndpointListUpdate, EngineEndpoint
from tests.routing.router_harness import SECOND

NOW, WALL, HOUR = 10**18, 1_800_000_000 * SECOND, 3600 * SECOND


def told(starts, boot, kind="changes", now=NOW, word_before=NOW - SECOND, condition="ready"):
    """What the module is told of the start of r1."""
    found = EndpointListUpdate(kind, [EngineEndpoint("r1", "p", condition, incarnation=boot)])
    (entry,) = starts.apply(found, now, WALL, word_before).entries
    return entry.started_at


@pytest.mark.parametrize("boot", [0, 5 * SECOND, WALL - HOUR, WALL + HOUR])
def test_a_start_told_again_is_the_same_process(boot):
    starts = EngineIncarnations()
    first = told(starts, boot, "full", word_before=0)
    assert told(starts, boot, now=NOW + 5 * SECOND, word_before=NOW + 4 * SECOND) == first
    assert told(starts, boot, condition="draining", now=NOW + 6 * SECOND) == first


@pytest.mark.parametrize("step", [-HOUR, -10 * SECOND, 10 * SECOND, HOUR])
def test_any_other_start_is_another_process_that_starts_now(step):
    starts = EngineIncarnations()
    told(starts, WALL - 60 * SECOND, "full", word_before=0)
    assert told(starts, WALL + step) == NOW
    assert (
        starts.implausible == 1 and "engine-start-implausible engine=r1" in starts.log_messages[0]
    )


def test_a_claim_is_believed_as_far_as_it_was_not_contradicted():
    """Discovery spoke a second ago and told of no such process."""
    assert told(EngineIncarnations(), WALL - SECOND // 2) == NOW - SECOND // 2
    assert told(EngineIncarnations(), WALL - 4 * SECOND) == NOW - SECOND
    assert (
        told(EngineIncarnations(), WALL - 4 * SECOND, word_before=NOW - 9 * SECOND)
        == NOW - 4 * SECOND
    )


def test_an_answer_of_the_process_before_bounds_the_age_of_the_next():
    starts = EngineIncarnations(answered=lambda engine: NOW - SECOND // 10)
    told(starts, 0, "full", word_before=0)
    assert told(starts, WALL - SECOND // 2) == NOW - SECOND // 10


@pytest.mark.parametrize(
    ("boot", "start"),
    [
        (0, LONG_AGO),
        (WALL - 2 * SECOND, NOW - 2 * SECOND),
        (WALL - HOUR, NOW - HOUR),
        (WALL + HOUR, NOW),
        (UNKNOWN, NOW),
    ],
)
def test_in_the_first_list_what_is_told_is_believed_but_no_start_in_the_future(boot, start):
    assert told(EngineIncarnations(), boot, "full", word_before=0) == start


@pytest.mark.parametrize("boot", [0, UNKNOWN])
def test_a_time_that_is_missing_makes_no_restart(boot):
    starts = EngineIncarnations()
    first = told(starts, WALL - 2 * SECOND, "full", word_before=0)
    assert told(starts, boot) == first


def test_an_engine_that_left_and_is_back_with_its_start_is_the_same_process():
    starts = EngineIncarnations()
    first = told(starts, WALL - 2 * SECOND, "full", word_before=0)
    told(starts, 0, condition="gone")
    assert (
        told(starts, WALL - 2 * SECOND, now=NOW + 8 * SECOND, word_before=NOW + 7 * SECOND) == first
    )


def test_engines_that_left_are_remembered_within_a_bound():
    starts = EngineIncarnations()
    for n in range(MAX_REMOVED + 50):
        for condition in ("ready", "gone"):
            starts.apply(
                EndpointListUpdate("changes", [EngineEndpoint(f"e{n}", "p", condition)]),
                NOW,
                WALL,
                NOW - 1,
            )
    assert len(starts.removed) == MAX_REMOVED and not starts.listed


@given(
    st.lists(
        st.tuples(
            st.integers(0, 8),
            st.sampled_from(["ready", "gone", "draining"]),
            st.integers(-4000, 4000) | st.sampled_from([None, "zero", "junk"]),
        ),
        max_size=30,
    )
)
def test_no_engine_is_older_than_it_can_be_nor_cold_for_longer_than_since_it_was_first_seen(steps):
    starts, now, identity, first = EngineIncarnations(), NOW, None, 0
    for wait, condition, step in steps:
        before, now = now, now + (wait + 1) * SECOND
        boot = {None: 0, "zero": 0, "junk": UNKNOWN}.get(step)
        boot = WALL + step * SECOND if boot is None else boot
        found = EndpointListUpdate(
            "changes", [EngineEndpoint("r1", "p", condition, incarnation=boot)]
        )
        (entry,) = starts.apply(found, now, WALL, before).entries
        if condition == "gone":
            continue
        if entry.incarnation != identity:  # another process, be it one whose start was told before
            identity, first = entry.incarnation, now
        assert entry.started_at <= first, "cold for longer than since it was first seen"
        if entry.started_at not in (LONG_AGO, now) and first == now and boot > 0:
            assert (
                now - entry.started_at <= max(now - before, 0) <= now - before + ANNOUNCEMENT_DELAY
            )


@pytest.mark.parametrize(
    ("told_ms", "boot"),
    [
        (None, 0),
        (0, 0),
        (1_700_000_000_000, 1_700_000_000_000_000_000),
        (1_700_000_000_000.0, 17 * 10**17),
        (-1, UNKNOWN),
        (0.5, UNKNOWN),
        (10**18, UNKNOWN),
        (float("nan"), UNKNOWN),
        (float("inf"), UNKNOWN),
    ],
)
def test_a_start_that_is_no_time_spoils_nothing_else(told_ms, boot):
    assert read_boot(told_ms) == boot
    message = {
        "rev": 1,
        "targets": [{"uid": "a", "endpoint": "127.0.0.1:1", "state": "Ready", "boot_ms": told_ms}],
    }
    found = read_targets(message)
    assert not found.error and [e.incarnation for e in found.update.entries] == [boot]
