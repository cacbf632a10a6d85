"""Which accepted requests are reported to the router, and when.

A request waits until the endpoint list is fresh; while the process stops, its time for the first
token is limited so that its answer ends before the process does. What can't be taken on is rejected
here, before anything of it has run.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import NamedTuple

from .. import interface as i
from ..discovery.list_freshness import ListFreshness
from .protocols import Clock
from .records import Request
from .shutdown_admission import ShutdownAdmission

# Rejects a request of which nothing has run: the request, the counter, and the time in ns after
# which it may be retried.
RejectUnsent = Callable[[Request, str, int], None]


class WaitingArrival(NamedTuple):
    """A request that arrived before the endpoint list was fresh."""

    request: Request
    arrival: i.RequestArrived


class ArrivalControl:
    """Reports arrivals to the router, or rejects them."""

    def __init__(
        self,
        settings: i.Settings,
        clock: Clock,
        report: Callable[[i.RequestArrived], None],
        reject: RejectUnsent,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.report = report
        self.reject = reject
        self.list_freshness: ListFreshness | None = None  # None: the list is always fresh
        self.waiting: dict[int, WaitingArrival] = {}  # by the number of the request
        self.shutdown = ShutdownAdmission()

    def start_shutdown(self, unrestricted_for: int, ends_in: int, counted_after: int) -> None:
        """Take on only what can be answered within `ends_in` nanoseconds.

        What arrives within `unrestricted_for` nanoseconds may be cut off then, and so may what
        arrives later where clients resume streams. What arrives after `counted_after` nanoseconds
        certainly may not.
        """
        now = self.clock.now()
        restricted_after = ends_in if self.settings.clients_resume else unrestricted_for
        self.shutdown.start(now + restricted_after, now + ends_in, now + counted_after)

    def fits(self, arrival: i.RequestArrived, received_at: int) -> bool:
        """Limit the time for the first token to what a shutdown leaves; False: that is too short.

        `received_at`: when the last byte of the request arrived.
        """
        if not self.shutdown.ends_at:
            return True
        spec = self.settings.classes.get(arrival.class_name)
        time_left = self.shutdown.time_for_first_token(
            spec, arrival.max_output_tokens, arrival.time_left, received_at, self.clock.now()
        )
        fits = time_left > 0 or arrival.time_left <= 0
        arrival.time_left = time_left
        return fits

    def admit(self, request: Request, arrival: i.RequestArrived) -> None:
        """Report the arrival to the router, now or once the endpoint list is fresh."""
        wait = 0
        if self.list_freshness:
            wait = self.list_freshness.wait(self.clock.now(), arrival.time_left)
        if not wait:
            self.report(arrival)
            return
        self.waiting[request.number] = WaitingArrival(request, arrival)
        self.clock.call_later(wait, partial(self.wait_expired, request))

    def admit_waiting(self) -> None:
        """If the endpoint list is fresh, report the requests that waited for it to the router."""
        if not self.waiting or not self.list_freshness:
            return
        if not self.list_freshness.may_send(self.clock.now()):
            return
        waiting = self.waiting
        self.waiting = {}
        for request, arrival in waiting.values():
            arrival.time_left = max(0, request.deadline - self.clock.now())
            self.report(arrival)

    def wait_expired(self, request: Request) -> None:
        """Reject a request that has waited for a fresh endpoint list for as long as it may."""
        self.admit_waiting()
        if not self.waiting.pop(request.number, None):
            return
        retry_after = 0
        if self.settings.sends_retry_after and self.list_freshness:
            remaining = self.list_freshness.remaining(self.clock.now())
            retry_after = min(remaining, self.settings.max_retry_after)
        self.reject(request, "unconfirmed", retry_after)

    def reject_during_shutdown(self, request: Request) -> None:
        """Reject a request that arrived too late to be answered before this process ends."""
        if not request.finished:
            self.reject(request, "refused-stopping", 0)

    def forget(self, request: Request) -> None:
        """Forget a request that is over."""
        self.waiting.pop(request.number, None)
