"""The schedule of a graceful shutdown, from SIGTERM to the platform's kill.

All times derive from the earliest time at which the platform may kill the process: the longest
request deadline of the deployment, counted as MAX_COUNTED_DEADLINE_NS at most, plus
KILL_AFTER_DEADLINE_NS. No reply and no end of a stream is scheduled later than that. This module
does no I/O and reads no clock; times are nanoseconds.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

MS = 1_000_000  # ns
# Longer deadlines count as this one.
MAX_COUNTED_DEADLINE_NS = 3000 * MS
KILL_AFTER_DEADLINE_NS = 700 * MS
# From the end of all replies to the kill, as the process may stall and clients may read slowly.
ANSWER_MARGIN_NS = 400 * MS
# From the end of answers that are still under way to the kill. The signal may have been handled
# late, and the process may be held up once more before what it ends has reached its clients.
CUT_OFF_MARGIN_NS = 250 * MS
# What arrives later must not be under way at the kill. The platform allows 700 ms; the rest is for
# a signal that is handled late, and for bytes that are taken for earlier ones after a stall.
UNRESTRICTED_TIME_NS = 550 * MS
COUNTED_AFTER_NS = 700 * MS  # the platform's own figure
# The clients' load balancer needs up to 400 ms to notice that this process is draining.
ACCEPT_TIME_NS = 500 * MS
# From the last accept of connections in the kernel's queue to the end of all replies.
QUEUE_MARGIN_NS = 300 * MS
# Streams that still run are ended one after the other over this time before the end.
HAND_BACK_SPAN_NS = 900 * MS
# The largest share of the time until the end of all replies that HAND_BACK_SPAN_NS may take.
MAX_HAND_BACK_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class ShutdownSchedule:
    """The steps of a shutdown, in ns after SIGTERM."""

    accepts: int  # new connections are accepted until then
    unrestricted: int  # requests that arrive later are accepted only if their answers can end
    accepts_queued: int  # connections in the kernel's queue are accepted until then
    hand_back: int  # streams that still run are ended from then on
    answered: int  # every request is answered and every stream has ended by then
    counted: int  # requests that arrive later must not be under way at the kill
    cut_off: int  # what has not ended then, and must not be under way at the kill, is ended

    @staticmethod
    def for_deadlines(deadlines: Iterable[int]) -> ShutdownSchedule:
        """Return the schedule for the deadlines of a deployment's request classes.

        Without any deadline MAX_COUNTED_DEADLINE_NS applies.
        """
        longest = min(max(deadlines, default=MAX_COUNTED_DEADLINE_NS), MAX_COUNTED_DEADLINE_NS)
        answered = longest + KILL_AFTER_DEADLINE_NS - ANSWER_MARGIN_NS
        accepts = min(ACCEPT_TIME_NS, answered)
        hand_back_span = min(HAND_BACK_SPAN_NS, int(MAX_HAND_BACK_SHARE * answered))
        return ShutdownSchedule(
            accepts=accepts,
            unrestricted=min(UNRESTRICTED_TIME_NS, answered),
            accepts_queued=max(accepts, answered - QUEUE_MARGIN_NS),
            hand_back=answered - hand_back_span,
            answered=answered,
            counted=COUNTED_AFTER_NS,
            cut_off=answered + ANSWER_MARGIN_NS - CUT_OFF_MARGIN_NS,
        )
