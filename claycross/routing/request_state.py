"""The state that the router keeps of one accepted request."""

from __future__ import annotations

from enum import StrEnum

from ..interface import RequestArrived, RequestClass
from .engine import Attempt, Engine

# Expected length of an answer without a duration hint, as a share of the output token limit.
DEFAULT_OUTPUT_SHARE = 0.5


class RequestStage(StrEnum):
    """The processing stage of a request."""

    QUEUED = "queued"  # waits for a reader or for free writer memory
    READING = "reading"
    AWAITING_WRITER = "awaiting_writer"  # its prompt was read; the reader holds its state
    WRITING = "writing"
    STREAMING = "streaming"  # the first token was sent to the client
    ENDED = "ended"  # answered; attempts may still be in flight


class Request:
    """One accepted request with its attempts."""

    def __init__(
        self, arrival: RequestArrived, request_class: RequestClass, now: int, deadline_margin: int
    ):
        self.id = arrival.request
        self.arrival = arrival
        self.request_class = request_class
        self.arrived_at = now
        self.deadline = now + max(0, arrival.time_left - deadline_margin)
        self.objective_at = min(
            now + request_class.latency_objective_of(arrival.prompt_tokens), self.deadline
        )
        self.writer_memory = arrival.prompt_tokens + expected_output_tokens(arrival, request_class)
        self.stage = RequestStage.QUEUED
        self.attempts: list[Attempt] = []
        self.attempts_in_flight = 0
        self.state_holder: Engine | None = None  # the reader that holds its state
        self.may_hold_state = False  # an engine may hold its state or reserve memory for it
        self.last_result_at = now  # end of its last attempt that reached an engine
        self.over_quota = False
        self.failed_engines: list[str] = []
        self.unresponsive_zones: set[str] = set()  # zones where an engine did not respond to it


def expected_output_tokens(arrival: RequestArrived, request_class: RequestClass) -> float:
    """Estimate the length of an answer from the client's duration hint or the token limit."""
    if not request_class.token_interval_objective or not arrival.answer_duration_hint:
        return arrival.max_output_tokens * DEFAULT_OUTPUT_SHARE
    hinted = arrival.answer_duration_hint / request_class.token_interval_objective
    return min(hinted, arrival.max_output_tokens or hinted)
