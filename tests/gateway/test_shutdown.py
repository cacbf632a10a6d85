"""The times of a stop lie in order before the kill, whatever the deadlines."""

from hypothesis import given
from hypothesis import strategies as st

from claycross.recovery.shutdown_schedule import (
    KILL_AFTER_DEADLINE_NS,
    MAX_COUNTED_DEADLINE_NS,
    ShutdownSchedule,
)
from tests.routing.router_harness import MS, SECOND


@given(st.lists(st.integers(0, 60 * SECOND), max_size=6))
def test_all_is_done_before_the_earliest_kill(deadlines):
    times = ShutdownSchedule.for_deadlines(deadlines)
    kill = (
        min(max(deadlines, default=MAX_COUNTED_DEADLINE_NS), MAX_COUNTED_DEADLINE_NS)
        + KILL_AFTER_DEADLINE_NS
    )
    assert 0 < times.accepts <= times.accepts_queued <= times.answered <= kill - 300 * MS
    assert 0 < times.unrestricted <= min(times.answered, 550 * MS)
    assert 0 < times.hand_back < times.answered


def test_usual_deadlines_have_the_usual_times():
    assert ShutdownSchedule.for_deadlines([6 * SECOND, 15 * SECOND]) == ShutdownSchedule(
        500 * MS, 550 * MS, 3000 * MS, 2400 * MS, 3300 * MS
    )
