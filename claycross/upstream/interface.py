"""Types that the calls to engines share with the client of each protocol."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

from ..interface import AttemptResult, LoadReport

UNLIMITED_BYTES = 1 << 62
# Request headers that are not forwarded: the hop-by-hop headers (RFC 9110, 7.6.1), and those that
# the clients here write anew for each request to an engine.
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
    """Accept every body as complete: the framing of the message ensures it."""
    return True


REQUEST_BYTES = 8192  # the records of a request and of its attempts, and its connection's task
HEADER_BYTES = 170  # the objects of one header field, beside its text
# Of a body that are copied to be sent in one piece with the head; the rest is sent as it is.
JOINED_BODY_BYTES = 16_384


@dataclass(slots=True)
class OutgoingRequest:
    """A client's request as it is forwarded to engines."""

    method: str
    target: str
    headers: list[tuple[str, str]] = field(default_factory=list)
    body: bytes = b""
    streams: bool = True  # whether its response is an event stream
    max_response_bytes: int = UNLIMITED_BYTES
    background: bool = False  # whether its tasks run at background priority
    # Whether the body of a response that is not an event stream is complete.
    is_complete: Callable[[bytes], bool] = any_body_is_complete

    def held_bytes(self) -> int:
        """Return how much memory is held for it, with one attempt that is being sent."""
        fields = sum(len(name) + len(value) + HEADER_BYTES for name, value in self.headers)
        encoded_head = sum(len(name) + len(value) for name, value in self.headers)
        joined = min(len(self.body), JOINED_BODY_BYTES)
        return REQUEST_BYTES + len(self.body) + fields + encoded_head + joined


class AttemptEnd(NamedTuple):
    """The result of an attempt."""

    result: AttemptResult
    cached_tokens: int = 0  # tokens of the prompt that the engine found in its cache
    load_report: LoadReport | None = None


# The engine ran nothing of the request.
CONNECT_FAILED = AttemptEnd(AttemptResult.CONNECT_FAILED)
# Nothing left this machine, which had no socket for the request or withheld it. The engine is not
# to blame.
NOT_SENT = AttemptEnd(AttemptResult.LOCAL_ERROR)
RESET = AttemptEnd(AttemptResult.RESET)  # the engine may have run the request
ERROR = AttemptEnd(AttemptResult.ERROR)


class CallResponse(NamedTuple):
    """The response to a call that carries no client's request."""

    status: int
    body: bytes


class ProtocolNotSupportedError(Exception):
    """The engine does not support the protocol; nothing of the request was sent."""


def always() -> bool:
    """Return True: the default condition of a call that is made in any case."""
    return True
