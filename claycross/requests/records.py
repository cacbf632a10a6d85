"""The records of requests and of their attempts, and how a request can end.

The records hold state only. `RequestManager.finish_request` and `RequestManager.finish_attempt`
are the only places that make them terminal (docs/lifecycles.md).
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any, NamedTuple

from .. import interface as i
from .protocols import Reply, ScheduledCall
from .reserved_states import ReservedStates


class RequestEnd(StrEnum):
    """How a request ended; the values are names of counters and appear in the trace."""

    SERVED = "served"
    REJECTED = "refused"  # before it ran, so that a retry is safe
    FAILED = "failed"
    DEADLINE_EXCEEDED = "overdue"  # the router left it unanswered at its deadline
    REJECTED_BY_ENGINE = "rejected"
    STREAM_BROKEN = "broken"
    CLIENT_DISCONNECTED = "left"


@dataclass(eq=False, slots=True)
class Request:
    """One request that has not finished, or some of whose attempts have not."""

    number: int
    key: str
    payload: Any  # opaque here; passed on to the engine side
    reply: Reply
    deadline: int
    states: ReservedStates
    class_name: str
    prompt_tokens: int
    max_output_tokens: int  # the longest answer that the client allows; 0: unknown
    arrived_at: int  # when it was accepted
    received_at: int  # when its last byte arrived
    time_to_first_token: int = 0  # ns from the arrival
    attempts: list[Attempt] = field(default_factory=list)
    finished: bool = False  # terminal: answered, failed, rejected or disconnected
    streaming_attempt: Attempt | None = None  # the attempt whose output the client receives
    # A write was abandoned; its engine may keep waiting for the state until it notices that.
    write_abandoned: bool = False
    states_released: bool = False  # the router has released its states since the last read
    unreported_attempts: int = 0  # attempts whose result was not reported to the router yet
    deadline_timer: ScheduledCall | None = None
    release_timer: ScheduledCall | None = None  # when its states have to be released
    waiting_read: WaitingRead | None = None
    on_forgotten: Callable[[], None] | None = None  # called once it is not tracked any more

    def attempts_in_flight(self) -> list[Attempt]:
        """Return the attempts that may be at engines."""
        return [attempt for attempt in self.attempts if attempt.in_flight()]

    def is_decided(self) -> bool:
        """Tell whether it has finished or streams its answer, so that no other can be sent."""
        return self.finished or self.streaming_attempt is not None


@dataclass(eq=False, slots=True)
class Attempt:
    """One attempt of a request; it is connecting, sent, streaming or finished."""

    request: Request
    number: int
    engine: str
    is_read: bool
    started_at: int
    timeout: int
    latest_arrival: int  # latest time at which its last byte may arrive; 0: no limit
    predicted_latency: int  # by the router, for the trace
    predicted_cached_tokens: int  # by the router, for the trace
    endpoint: i.EngineEndpoint | None  # of its engine, as listed when the attempt started
    needs_state: bool  # its engine can't read, so it needs the state of an earlier read
    timer: ScheduledCall | None = None
    arrival_timer: ScheduledCall | None = None
    sent_at: int = 0  # when its last byte was written; 0: not yet
    finished: bool = False
    streaming: bool = False
    last_event_at: int = 0  # when the last part of its stream arrived
    longest_pause: int = 0  # between two parts of its stream, in ns
    result: str = ""  # an `AttemptResult` once it has finished
    # Set by the engine side once the first byte is sent; aborts the attempt, and returns False if
    # it never ran.
    abort: Callable[[], bool] | None = None
    # Set with `abort`; returns whether the engine's machine has received all of it.
    has_arrived: Callable[[], bool] | None = None

    def connecting(self) -> bool:
        """Tell whether its engine can't have received any part of it yet."""
        return not self.finished and not self.streaming and self.abort is None

    def in_flight(self) -> bool:
        """Tell whether its engine may have received a part of it, and it has not finished."""
        return not self.finished and not self.connecting()


class WaitingRead(NamedTuple):
    """A read that waits until earlier states have been released."""

    attempt: Attempt
    start: Callable[[], None]
