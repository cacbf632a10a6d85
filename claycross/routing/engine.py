"""What one gateway knows of an engine and of the attempts that it sent there."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from ..interface import EngineEndpoint, EngineRole, LoadReport

MAX_RECORDED_SENDS = 1000  # of an engine, for its slow start budget


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a request at one engine."""

    number: int  # among the attempts of its request, from 0
    engine: Engine
    is_read: bool  # it only reads the prompt; a writer fetches the state later
    in_place: bool  # the engine reads the prompt and writes the answer in one call
    sent_at: int
    uncached_tokens: float  # of the prompt, predicted: those that the engine has to read
    predicted_latency: float
    credited_tokens: int  # of the prompt, that the prefix cache index credits to the engine
    at_home: bool  # sent to a home of a prompt whose cache this gateway does not know
    response_timeout: int  # after which an engine without any sign of life is unresponsive
    tokens_ahead: float = 0.0  # that were to be read before it
    connection_checked: bool = False  # a check was asked for since the last one failed
    failed_connection_checks: int = 0
    reported_unresponsive: bool = False  # counted against its engine, and still waited for
    cancelled: bool = False
    result: str = ""  # an AttemptResult once it is over


class Engine:
    """One engine: its endpoint, this gateway's work there, its last load report and its health."""

    def __init__(self, entry: EngineEndpoint, role: EngineRole, memory: int):
        self.id = entry.engine
        self.entry = entry
        self.role = role
        self.memory = memory  # tokens of KV state that fit
        self.pending: dict[tuple[int, int], Attempt] = {}  # by request and attempt number
        self.streams: dict[int, float] = {}  # request -> memory that it is expected to take
        self.recent_sends: deque[tuple[int, float]] = deque(maxlen=MAX_RECORDED_SENDS)
        self.reading = 0.0  # prompt tokens that this gateway has sent there to be read
        self.reset()

    def reset(self) -> None:
        """Forget what was learned; the process of the engine is a new one."""
        self.report: LoadReport | None = None
        self.report_at = 0
        self.last_response = 0
        self.ejected_until = 0
        self.full_until = 0
        self.pace = 0.0  # ns a token for readers, ns to the first token for others
        self.samples = 0  # of the pace
        self.consecutive_failures = 0  # failures in a row
        self.ejections = 0  # since it last answered after an ejection
        self.consecutive_cache_misses = (
            0  # reads in a row that found far less in the cache than was credited
        )

    @property
    def memory_share(self) -> float | None:
        """The share of its memory in use, as last reported; None if unknown."""
        return self.report.memory_share if self.report else None

    @property
    def reported_waiting_tokens(self) -> float | None:
        """Prompt tokens waiting to be read, as last reported; None if unknown."""
        return self.report.waiting_tokens if self.report else None
