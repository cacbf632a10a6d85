"""The interface through which the requests package calls engines."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from .records import Attempt


class EngineCalls(Protocol):
    """The calls to engines; none of them blocks until the engine responds."""

    def start(self, attempt: Attempt) -> None:
        """Start the attempt; one call of `attempt_done` follows, unless it is aborted first."""

    def abort(self, attempt: Attempt) -> bool:
        """Abort the attempt without a result; False: none of it was sent, so it never ran."""
        ...

    def release(
        self,
        engine: str,
        key: str,
        finished: Callable[[bool], None],
        is_wanted: Callable[[], bool],
        /,
    ) -> None:
        """Ask the engine to release the request's state.

        `is_wanted` is called right before the call is written, and cancels it by returning False;
        `finished` receives whether the engine acknowledged the call.
        """

    def check_connection(self, engine: str, finished: Callable[[bool], None], /) -> None:
        """Open and close a connection; `finished` receives whether it was established."""
