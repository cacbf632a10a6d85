"""Freshness of the endpoint list: whether this process may send requests based on it.

The list is saved (a process starts with the list of an earlier one), confirmed (discovery has
responded to this process), or unheard (discovery has been silent for so long that the saved list is
used). While it is saved, requests wait for a bounded time, and discovery is polled at short
intervals.

Changes that discovery's agent on this machine has received count as delivered to the gateway from
the process's start on, whether it has polled or not, and sends to a draining engine must end within
the drain grace. The agent responds at once with all it has, so a process that sends only after the
first response stays within the grace. A request is never held so long that no other gateway could
serve it, and none is held once the list is confirmed.

No I/O and no clock: times are nanoseconds and come in as arguments.
"""

from __future__ import annotations

from dataclasses import dataclass

from ..interface import Settings

SAVED = "saved"
CONFIRMED = "confirmed"
UNHEARD = "unheard"
# Drain graces to wait for the first response: an agent that runs needs less than one.
UNHEARD_AFTER_GRACES = 8
# Shares of the drain grace: for one attempt to connect to the agent, and between two attempts.
CONNECT_TIMEOUT_SHARE = 0.5
PAUSE_SHARE = 0.4
# Share of a request's time left for which it is held: later, another gateway has too little time.
HOLD_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class FreshnessTiming:
    """Times in nanoseconds, all derived from the drain grace."""

    unheard_after: int  # from the process's start until the saved list is used without a response
    connect_timeout: int  # of an attempt to connect to discovery's agent
    pause: int  # between two attempts


def freshness_timing(settings: Settings) -> FreshnessTiming:
    """Derive the timing from the drain grace of the settings."""
    grace = max(1, settings.drain_grace)
    return FreshnessTiming(
        unheard_after=UNHEARD_AFTER_GRACES * grace,
        connect_timeout=int(CONNECT_TIMEOUT_SHARE * grace),
        pause=int(PAUSE_SHARE * grace),
    )


class ListFreshness:
    """The freshness of the list of one process, which started at `started_at`."""

    def __init__(self, started_at: int, timing: FreshnessTiming):
        self.started_at = started_at
        self.timing = timing
        self.confirmed = False

    def discovery_responded(self) -> bool:
        """Record a response of discovery to this process; return whether it is the first."""
        is_first = not self.confirmed
        self.confirmed = True
        return is_first

    def status(self, now: int) -> str:
        """Return SAVED, CONFIRMED or UNHEARD."""
        if self.confirmed:
            return CONFIRMED
        if now - self.started_at < self.timing.unheard_after:
            return SAVED
        return UNHEARD

    def may_send(self, now: int) -> bool:
        """Return whether requests may be sent based on the list."""
        return self.status(now) != SAVED

    def remaining(self, now: int) -> int:
        """Return the time until requests may be sent even if discovery stays silent; 0: now."""
        if self.may_send(now):
            return 0
        return self.started_at + self.timing.unheard_after - now

    def wait(self, now: int, time_left: int) -> int:
        """Return for how long a request with that time left is to be held; 0 for not at all.

        If that ends before the list may be used, the request is rejected, to be retried at another
        gateway, or here after `remaining`.
        """
        return min(self.remaining(now), max(1, int(time_left * HOLD_SHARE)))
