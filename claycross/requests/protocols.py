"""The interfaces that the requests package depends on: a clock, and the reply to a client.

Both are injected, so that tests can run the package in virtual time and without sockets.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol


class ScheduledCall(Protocol):
    """A call that a clock will make later."""

    def cancel(self) -> None:
        """Cancel the call; without effect once it was made."""


class Clock(Protocol):
    """A monotonic clock in nanoseconds, which also schedules calls."""

    def now(self) -> int:
        """Return the current time."""
        ...

    def call_later(self, span: int, call: Callable[[], None]) -> ScheduledCall:
        """Schedule the call for `span` nanoseconds from now."""
        ...


class Reply(Protocol):
    """The reply to the client of one request; `write` and `finish` may block on a slow client."""

    def write(self, data: bytes) -> None:
        """Forward a chunk of the stream."""

    def finish(self, complete: bool) -> None:
        """End the stream; `complete`: nothing of it is missing."""

    def reject(self, retry_after: int) -> None:
        """Answer that the request was rejected and may be retried after `retry_after` ns."""

    def fail(self) -> None:
        """Answer that the request failed."""

    def client_disconnected(self) -> bool:
        """Tell whether the client has closed its connection by now."""
        ...
