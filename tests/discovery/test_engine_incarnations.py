"""Engine incarnations: start times that are announced by another machine's wall clock."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from claycross.discovery.engine_incarnations import (
    ANNOUNCEMENT_DELAY_NS,
    LONG_AGO,
    MAX_REMOVED,
    UNKNOWN,
    EngineIncarnations,
)
from claycross.discovery.watch import read_boot, read_targets
from claycross.interface import EndpointListUpdate, EngineEndpoint
from tests.routing.router_harness import SECOND

NOW = 10**18  # on the gateway's own clock
WALL = 1_800_000_000 * SECOND  # the Unix time at NOW
HOUR = 3600 * SECOND


def accepted_start(
    incarnations, boot, kind="changes", now=NOW, previous_message_at=NOW - SECOND, state="ready"
):
    """Announce the start of r1; return the start that is accepted."""
    update = EndpointListUpdate(kind, [EngineEndpoint("r1", "p", state, incarnation=boot)])
    (entry,) = incarnations.apply(update, now, WALL, previous_message_at).entries
    return entry.started_at


@pytest.mark.parametrize("boot", [0, 5 * SECOND, WALL - HOUR, WALL + HOUR])
def test_a_start_announced_again_is_the_same_process(boot):
    incarnations = EngineIncarnations()
    first = accepted_start(incarnations, boot, "full", previous_message_at=0)
    again = accepted_start(
        incarnations, boot, now=NOW + 5 * SECOND, previous_message_at=NOW + 4 * SECOND
    )
    assert again == first
    assert accepted_start(incarnations, boot, state="draining", now=NOW + 6 * SECOND) == first


@pytest.mark.parametrize("step", [-HOUR, -10 * SECOND, 10 * SECOND, HOUR])
def test_any_other_start_is_another_process_that_starts_now(step):
    incarnations = EngineIncarnations()
    accepted_start(incarnations, WALL - 60 * SECOND, "full", previous_message_at=0)
    assert accepted_start(incarnations, WALL + step) == NOW
    assert incarnations.implausible == 1
    assert "engine-start-implausible engine=r1" in incarnations.log_messages[0]


def test_an_age_is_accepted_up_to_the_previous_message_of_discovery():
    """That message, a second ago, didn't announce this process."""
    assert accepted_start(EngineIncarnations(), WALL - SECOND // 2) == NOW - SECOND // 2
    assert accepted_start(EngineIncarnations(), WALL - 4 * SECOND) == NOW - SECOND
    start = accepted_start(
        EngineIncarnations(), WALL - 4 * SECOND, previous_message_at=NOW - 9 * SECOND
    )
    assert start == NOW - 4 * SECOND


def test_a_response_of_the_earlier_process_bounds_the_age_of_the_next():
    incarnations = EngineIncarnations(last_response=lambda engine: NOW - SECOND // 10)
    accepted_start(incarnations, 0, "full", previous_message_at=0)
    assert accepted_start(incarnations, WALL - SECOND // 2) == NOW - SECOND // 10


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
def test_in_the_first_list_any_start_is_accepted_except_in_the_future(boot, start):
    assert accepted_start(EngineIncarnations(), boot, "full", previous_message_at=0) == start


@pytest.mark.parametrize("boot", [0, UNKNOWN])
def test_a_missing_or_invalid_time_is_no_restart(boot):
    incarnations = EngineIncarnations()
    first = accepted_start(incarnations, WALL - 2 * SECOND, "full", previous_message_at=0)
    assert accepted_start(incarnations, boot) == first


def test_an_engine_that_returns_to_the_list_with_its_start_is_the_same_process():
    incarnations = EngineIncarnations()
    first = accepted_start(incarnations, WALL - 2 * SECOND, "full", previous_message_at=0)
    accepted_start(incarnations, 0, state="gone")
    returned = accepted_start(
        incarnations,
        WALL - 2 * SECOND,
        now=NOW + 8 * SECOND,
        previous_message_at=NOW + 7 * SECOND,
    )
    assert returned == first


def test_the_number_of_removed_engines_that_are_kept_is_bounded():
    incarnations = EngineIncarnations()
    for number in range(MAX_REMOVED + 50):
        for state in ("ready", "gone"):
            incarnations.apply(
                EndpointListUpdate("changes", [EngineEndpoint(f"e{number}", "p", state)]),
                NOW,
                WALL,
                NOW - 1,
            )
    assert len(incarnations.removed) == MAX_REMOVED
    assert not incarnations.listed


@given(
    st.lists(
        st.tuples(
            st.integers(0, 8),  # seconds until the next message, plus one
            st.sampled_from(["ready", "gone", "draining"]),
            # The announced start, in seconds from WALL.
            st.integers(-4000, 4000) | st.sampled_from([None, "zero", "invalid"]),
        ),
        max_size=30,
    )
)
def test_no_engine_is_older_than_it_can_be_or_cold_for_longer_than_since_it_was_first_seen(steps):
    incarnations = EngineIncarnations()
    now = NOW
    identity = None
    first_seen = 0
    for wait, state, step in steps:
        previous_message_at = now
        now += (wait + 1) * SECOND
        boot = {None: 0, "zero": 0, "invalid": UNKNOWN}.get(step)
        boot = WALL + step * SECOND if boot is None else boot
        update = EndpointListUpdate("changes", [EngineEndpoint("r1", "p", state, incarnation=boot)])
        (entry,) = incarnations.apply(update, now, WALL, previous_message_at).entries
        if state == "gone":
            continue
        if entry.incarnation != identity:
            # Another process, or an earlier one again.
            identity = entry.incarnation
            first_seen = now
        assert entry.started_at <= first_seen, "cold for longer than since it was first seen"
        if entry.started_at not in (LONG_AGO, now) and first_seen == now and boot > 0:
            longest = max(now - previous_message_at, 0)
            limit = now - previous_message_at + ANNOUNCEMENT_DELAY_NS
            assert now - entry.started_at <= longest <= limit


@pytest.mark.parametrize(
    ("boot_ms", "boot"),
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
def test_an_invalid_start_time_leaves_the_rest_of_its_entry_valid(boot_ms, boot):
    assert read_boot(boot_ms) == boot
    message = {
        "rev": 1,
        "targets": [{"uid": "a", "endpoint": "127.0.0.1:1", "state": "Ready", "boot_ms": boot_ms}],
    }
    parsed = read_targets(message)
    assert not parsed.error
    assert [entry.incarnation for entry in parsed.update.entries] == [boot]
