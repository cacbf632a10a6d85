"""What the calls to engines and the clients of each wire have in common.

Owns the form of a request on its way to an engine and the interface of a wire's client. It must never name a
wire, read or write.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple, Protocol

from .. import interface as i
from ..net.address import Endpoint

if TYPE_CHECKING:
    from ..core import Try
    from .answers import Answer

STREAM = 1 << 62
HOP = {"connection", "keep-alive", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade",
       "host", "content-length", "expect", "x-timeout-ms"}


@dataclass(slots=True)
class Outgoing:
    """A request as its client sent it."""

    method: str
    target: str
    headers: list[tuple[str, str]] = field(default_factory=list)
    body: bytes = b""
    streams: bool = True
    largest: int = STREAM  # of its answer, bytes
    background: bool = False
    whole: Callable[[bytes], bool] = lambda _: True  # whether an answer that does not stream is all of it


class Result(NamedTuple):
    """How an attempt ended, in the module's words (`interface.Outcome`)."""

    result: str
    kept: int = 0  # prompt tokens found kept
    report: i.LoadReport | None = None


NEVER_WENT = Result("connect_failed")  # nothing of it ran there
CUT_OFF = Result("reset")  # it may have run


class Small(NamedTuple):
    """The answer to a call that carries no request."""

    status: int
    body: bytes


class NotSpoken(Exception):
    """That wire is not spoken at the engine; nothing of the request has gone out."""


class Client(Protocol):
    """One wire. Both methods run in a task of their own, and wait in it."""

    def attempt(self, t: Try, endpoint: Endpoint, answer: Answer) -> Result:
        """Sends the request and feeds `answer` with what comes. While it is out, `t.call` ends it: that
        returns False where nothing of it can have run. May raise NotSpoken."""

    def call(self, endpoint: Endpoint, method: str, target: str,
             still: Callable[[], bool] = lambda: True) -> Small | None:
        """One small call that does no harm twice; None without an answer, or where `still` says no before it
        is written. May raise NotSpoken."""

    def forget(self, endpoint: Endpoint) -> None:
        """What listened there has left the list, or is another process now."""

    def anew(self, endpoint: Endpoint) -> None:
        """The list has told of it anew."""

    def check(self) -> None:
        """States what must hold of its connections."""

    def figures(self) -> dict[str, int]:
        """For the log: `engines` connections open, `dialled`, `reused`."""
