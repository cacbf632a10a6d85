"""An engine as one gateway knows it, and the attempts that it sent there."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from ..interface import EngineEndpoint, EngineRole, LoadReport

MAX_RECORDED_SENDS = 1000  # recent sends kept for the slow start budget


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a request at one engine."""

    number: int  # index among the attempts of the request
    engine: Engine
    is_read: bool  # it only reads the prompt; a writer fetches the state later
    in_place: bool  # the engine reads the prompt and writes the answer in one call
    sent_at: int
    uncached_tokens: float  # prompt tokens that the engine has to read, as predicted
    predicted_latency: float  # ns to its result or first token
    credited_tokens: int  # prompt tokens that the prefix cache index credits to the engine
    at_home: bool  # sent to a home of the prompt, as no reader of its session is recorded
    response_timeout: int  # ns after which an engine without any response is unresponsive
    tokens_ahead: float = 0.0  # prompt tokens to be read before those of this attempt
    connection_checked: bool = False  # a check was requested since the last one failed
    failed_connection_checks: int = 0
    reported_unresponsive: bool = False  # counted as a failure of its engine, but not cancelled
    cancelled: bool = False
    result: str = ""  # an AttemptResult once the attempt is over


class Engine:
    """One engine: its endpoint, this gateway's load on it, its last load report and its health."""

    def __init__(self, entry: EngineEndpoint, role: EngineRole, memory: int):
        self.id = entry.engine
        self.entry = entry
        self.role = role
        self.memory = memory  # tokens of KV state that fit
        # Attempts without a first token or result, by request and attempt number.
        self.pending: dict[tuple[int, int], Attempt] = {}
        self.streams: dict[int, float] = {}  # request -> expected memory in tokens
        # Time and weight of recent sends, oldest first.
        self.recent_sends: deque[tuple[int, float]] = deque(maxlen=MAX_RECORDED_SENDS)
        self.reading_tokens = 0.0  # prompt tokens of this gateway's reads in flight
        self.reset()

    def reset(self) -> None:
        """Discard all measurements, because the engine has restarted."""
        self.report: LoadReport | None = None
        self.report_at = 0
        self.last_response = 0
        self.ejected_until = 0
        self.full_until = 0
        self.pace = 0.0  # ns a token for readers, ns to the first token for others
        self.samples = 0  # measurements in the pace
        self.consecutive_failures = 0
        self.ejections = 0  # since the engine last succeeded after an ejection
        self.consecutive_cache_misses = 0  # reads that found far less cached than was credited

    @property
    def memory_share(self) -> float | None:
        """The last reported share of memory in use; None if unknown."""
        return self.report.memory_share if self.report else None

    @property
    def reported_waiting_tokens(self) -> float | None:
        """The last reported number of prompt tokens waiting to be read; None if unknown."""
        return self.report.waiting_tokens if self.report else None
