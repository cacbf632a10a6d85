"""What the calls to engines and the clients of each protocol have in common."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

from ..interface import AttemptResult, LoadReport

UNLIMITED = 1 << 62  # bytes
# Headers that are not forwarded: those of one hop (RFC 9110, 7.6.1), and those that each request to
# an engine has anew.
UNFORWARDED_HEADERS = {
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "host",
    "content-length",
    "expect",
    "x-timeout-ms",
}


def any_body_is_complete(_: bytes) -> bool:
    """Take every body for complete, as the length of the message says so."""
    return True


@dataclass(slots=True)
class OutgoingRequest:
    """A request as its client sent it."""

    method: str
    target: str
    headers: list[tuple[str, str]] = field(default_factory=list)
    body: bytes = b""
    streams: bool = True  # whether its response is a stream of events
    max_response_bytes: int = UNLIMITED
    background: bool = False  # whether its tasks run in the background
    # Whether a response that is not a stream is complete.
    is_complete: Callable[[bytes], bool] = any_body_is_complete


class AttemptEnd(NamedTuple):
    """How an attempt ended."""

    result: AttemptResult
    cached_tokens: int = 0  # tokens of the prompt that the engine found in its cache
    load_report: LoadReport | None = None


# Nothing of the request ran there.
CONNECT_FAILED = AttemptEnd(AttemptResult.CONNECT_FAILED)
# Nor did anything leave this machine, which had no socket for it or held it back: this is no fault
# of the engine.
NOT_SENT = AttemptEnd(AttemptResult.LOCAL_ERROR)
RESET = AttemptEnd(AttemptResult.RESET)  # it may have run
ERROR = AttemptEnd(AttemptResult.ERROR)


class CallResponse(NamedTuple):
    """The response to a call that carries no request."""

    status: int
    body: bytes


class ProtocolNotSupportedError(Exception):
    """The engine does not speak this protocol; nothing of the request was sent."""


def always() -> bool:
    """Let a call be made in any case."""
    return True
