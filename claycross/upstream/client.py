"""The interface of the client of each protocol."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from ..net.address import Endpoint
from ..requests.manager import Attempt
from .interface import AttemptEnd, CallResponse, always
from .responses import ResponseReader


class EngineClient(Protocol):
    """The client of one protocol; attempt() and call() run, and wait, in a task of their own."""

    def attempt(self, attempt: Attempt, endpoint: Endpoint, reader: ResponseReader) -> AttemptEnd:
        """Send the request of an attempt and feed its response to the reader.

        Meanwhile `attempt.abort()` ends it, and returns whether a part of it may have run.

        Raises:
            ProtocolNotSupportedError: If the engine does not speak this protocol.
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

        Returns None without a response, or where `is_wanted` denies it before it is written.

        Raises:
            ProtocolNotSupportedError: If the engine does not speak this protocol.
        """
        ...

    def forget(self, endpoint: Endpoint) -> None:
        """Note that the process there has left the list, or is another one now."""
        ...

    def endpoint_updated(self, endpoint: Endpoint) -> None:
        """Note that the list named this endpoint again."""
        ...

    def check(self) -> None:
        """Check the invariants of its connections."""
        ...

    def metrics(self) -> dict[str, int]:
        """Return its counts for the log, by name."""
        ...
