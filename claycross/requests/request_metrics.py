"""Counters of requests and attempts, and the trace: one line for each of their ends."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from enum import StrEnum

from .. import interface as i
from .preconditions import Denial
from .protocols import Clock
from .records import Attempt, Request, RequestEnd

MS = 1_000_000  # ns
SECOND = 1_000_000_000  # ns
MAX_LINES_PER_S = 10  # of states whose time is over


class ReplyStatus(StrEnum):
    """The outcome of an answered request in the per-class counters."""

    SUCCESS = "success"
    OVERLOAD = "overload"
    ERROR = "error"


# A request whose client disconnected was not answered and is not counted.
REPLY_STATUS = {
    RequestEnd.SERVED: ReplyStatus.SUCCESS,
    RequestEnd.REJECTED: ReplyStatus.OVERLOAD,
    RequestEnd.FAILED: ReplyStatus.ERROR,
    RequestEnd.DEADLINE_EXCEEDED: ReplyStatus.ERROR,
    RequestEnd.REJECTED_BY_ENGINE: ReplyStatus.ERROR,
    RequestEnd.STREAM_BROKEN: ReplyStatus.ERROR,
}


class RateLimiter:
    """Admits a number of log lines a second and counts those that are suppressed."""

    def __init__(self, lines_per_s: int) -> None:
        self.lines_per_s = lines_per_s
        self.window_started_at = 0
        self.lines = 0  # in the present second
        self.suppressed = 0  # since the last admitted line

    def admit(self, now: int) -> int | None:
        """Return how many lines were suppressed since the last one; None: suppress this one."""
        if now - self.window_started_at >= SECOND:
            self.window_started_at = now
            self.lines = 0
        if self.lines >= self.lines_per_s:
            self.suppressed += 1
            return None
        self.lines += 1
        suppressed = self.suppressed
        self.suppressed = 0
        return suppressed


class RequestMetrics:
    """Counts and traces the outcomes of requests and attempts since the start of the process."""

    def __init__(
        self, classes: dict[str, i.RequestClass], clock: Clock, log: Callable[[str], None]
    ) -> None:
        self.classes = classes
        self.clock = clock
        self.log = log
        self.log_limiter = RateLimiter(MAX_LINES_PER_S)
        self.counts: dict[str, int] = {}
        self.reply_counts: dict[tuple[str, str], int] = {}  # (class, status) -> requests
        self.attempts_sent = 0  # attempts that were completely written to engines
        self.trace: Callable[[str], None] | None = None  # writes one line; None: no trace

    def count(self, name: str, number: int = 1) -> None:
        """Add to a counter."""
        self.counts[name] = self.counts.get(name, 0) + number

    def count_reply(self, class_name: str, status: ReplyStatus) -> None:
        """Add one to the answered requests of a class."""
        key = (class_name, status.value)
        self.reply_counts[key] = self.reply_counts.get(key, 0) + 1

    def count_frontend_rejection(
        self, class_name: str, status: ReplyStatus = ReplyStatus.ERROR
    ) -> None:
        """Count a request that a frontend answered before it was accepted."""
        if class_name in self.classes:
            self.count_reply(class_name, status)

    def request_arrived(self, request: Request, arrival: i.RequestArrived) -> None:
        """Count and trace an accepted request."""
        self.count("asked")
        if self.trace:
            self.trace(
                f"arrived request={request.key} class={request.class_name} "
                f"session={arrival.session} prefix={arrival.prefix} "
                f"prefix_tokens={arrival.prefix_tokens} prompt={request.prompt_tokens} "
                f"left_ms={arrival.time_left / MS:.1f} repeat={arrival.is_retry}"
            )

    def request_rejected(self, request: Request, reason: str, retry_after: int) -> None:
        """Trace that the router rejected a request."""
        if self.trace:
            self.trace(f"refused request={request.key} why={reason} retry_ms={retry_after // MS}")

    def request_denied(self, request: Request, action: str, denial: Denial) -> None:
        """Count and trace an action that was not taken, and the precondition that denied it."""
        self.count(f"denied-{action}-{denial}")
        if self.trace:
            self.trace(f"denied request={request.key} what={action} why={denial}")

    def request_finished(self, request: Request, end: RequestEnd, now: int) -> None:
        """Count and trace the end of a request."""
        self.count(end.value)
        status = REPLY_STATUS.get(end)
        if status:
            self.count_reply(request.class_name, status)
        if self.trace:
            spec = self.classes.get(request.class_name)
            objective = spec.latency_objective_of(request.prompt_tokens) if spec else 0
            self.trace(
                f"ended request={request.key} how={end} class={request.class_name} "
                f"prompt={request.prompt_tokens} tries={len(request.attempts)} "
                f"ms={(now - request.arrived_at) / MS:.1f} "
                f"began_ms={request.time_to_first_token / MS:.1f} aim_ms={objective / MS:.1f}"
            )

    def attempt_finished(self, attempt: Attempt, cached_tokens: int, now: int) -> None:
        """Trace the end of an attempt."""
        if self.trace:
            request = attempt.request
            stage = "read" if attempt.is_read else "write"
            claimed = attempt.predicted_cached_tokens if attempt.is_read else 0
            self.trace(
                f"attempt request={request.key} n={attempt.number} engine={attempt.engine} "
                f"stage={stage} result={attempt.result} "
                f"ms={(now - attempt.started_at) / MS:.1f} kept={cached_tokens} "
                f"at_ms={(attempt.started_at - request.arrived_at) / MS:.1f} "
                f"expected_ms={attempt.predicted_latency / MS:.1f} "
                f"claimed={claimed} prompt={request.prompt_tokens}"
            )

    def states_due(
        self,
        request: Request,
        last_response: Mapping[str, int],
        calls: Mapping[str, int],
        now: int,
    ) -> None:
        """Count that states are released because their time is over, and log each of them.

        `last_response`: when each engine last responded to this gateway; `calls`: how many calls
        of a release that is still in flight were made, by holder.
        """
        self.count("hold-due")
        in_flight = ",".join(
            f"{'read' if attempt.is_read else 'write'}@{attempt.engine}:"
            f"{_age(attempt.sent_at, now)}:{_age(last_response.get(attempt.engine), now)}"
            for attempt in request.attempts_in_flight()
        )
        for state in request.states.states:
            self.log_limited(
                f"state-due request={request.key} engine={state.engine} "
                f"read={state.result} age_ms={(now - state.read_ended_at) / MS:.0f} "
                f"released_ms={_age(state.covered_at, now)} "
                f"calls_in_flight={calls.get(state.engine, 0)} "
                f"holder_response_ms={_age(last_response.get(state.engine), now)} "
                f"status={request.states.status.name} in_flight={in_flight or 'none'}"
            )

    def log_limited(self, line: str) -> None:
        """Log a line unless there were too many of this kind in the last second."""
        suppressed = self.log_limiter.admit(self.clock.now())
        if suppressed is None:
            return
        if suppressed:
            line = f"{line} suppressed={suppressed}"
        self.log(line)


def _age(at: int | None, now: int) -> str:
    """Format the time since then in ms; `never` for 0 and None."""
    return f"{(now - at) / MS:.0f}" if at else "never"
