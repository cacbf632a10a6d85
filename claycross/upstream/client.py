"""The interface of the client of each protocol."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from ..net.address import Endpoint
from ..requests.manager import Attempt
from .interface import AttemptEnd, CallResponse, always
from .responses import ResponseReader


class EngineClient(Protocol):
    """The client of one protocol. attempt() and call() block the task that they run in."""

    def attempt(self, attempt: Attempt, endpoint: Endpoint, reader: ResponseReader) -> AttemptEnd:
        """Send the request of an attempt and feed its response to the reader.

        While this runs, `attempt.abort()` ends it and returns whether the engine may have run a
        part of the request.

        Raises:
            ProtocolNotSupportedError: If the engine does not support this protocol.
        """
        ...

    def call(
        self,
        endpoint: Endpoint,
        method: str,
        target: str,
        is_wanted: Callable[[], bool] = always,
    ) -> CallResponse | None:
        """Make a small idempotent call.

        Returns None if there is no response, or if `is_wanted` returns False right before the call
        is written.

        Raises:
            ProtocolNotSupportedError: If the engine does not support this protocol.
        """
        ...

    def endpoint_removed(self, endpoint: Endpoint) -> None:
        """Note that the endpoint list no longer has this process at the endpoint."""
        ...

    def endpoint_updated(self, endpoint: Endpoint) -> None:
        """Note that an update of the endpoint list has this endpoint again."""
        ...

    def check(self) -> None:
        """Check the invariants of the client's connections."""
        ...

    def metrics(self) -> dict[str, int]:
        """Return the client's counts for the log, by name."""
        ...
