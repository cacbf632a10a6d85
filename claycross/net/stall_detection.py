"""Detects that the process did not run when it should have.

Data that is found ready after a stall may have arrived as early as the moment at which the process
stopped polling, and the time limits of its sender have run since then. The module does no I/O and
reads no clock: times are passed in, in nanoseconds.
"""

from __future__ import annotations

STALL_THRESHOLD_NS = 40_000_000  # shorter delays are usual for processes on a busy machine


def earliest_ready_time(
    last_poll_at: int, poll_started_at: int, poll_timeout: int, poll_ended_at: int
) -> int:
    """Return the earliest time at which what a poll found ready may have become ready.

    The result is later than the true time by at most STALL_THRESHOLD_NS plus `poll_timeout`.

    Args:
        last_poll_at: When the previous poll returned.
        poll_started_at: When this poll was called.
        poll_timeout: Its timeout.
        poll_ended_at: When it returned.
    """
    working = poll_started_at - last_poll_at
    overdue = max(0, poll_ended_at - poll_started_at - poll_timeout)
    stalled = working + overdue > STALL_THRESHOLD_NS
    return last_poll_at if stalled else poll_ended_at
