"""Whether a request that arrives during a shutdown can be answered before the process ends.

A process that stops is killed at a time that it knows. A request is taken on only if its answer can
end before that. The upper bound of an answer's duration is the length that the request allows, at
the pace of its class: the target of the settings, or a slower pace that was measured. Measured
answers may lower the bound once there are enough of them.

An engine may hang after all, or be slower than expected: what is still under way shortly before
the kill is ended by this process, so that its client can tell. This module does no I/O and reads no
clock; times are nanoseconds.
"""

from __future__ import annotations

from collections import deque

from ..interface import RequestClass

# Answers of a class that are kept as measurements; older ones are dropped.
MAX_MEASURED_ANSWERS = 256
# From this number on, measured answers may lower the bound of the settings.
MIN_ANSWERS_FOR_LOWER_BOUND = 64
# Multiple of the slowest measured answer that such a bound is.
MEASURED_BOUND_MARGIN = 1.5
# An engine whose stream pauses for less is not taken for silent.
MIN_SILENCE_NS = 300_000_000
FIRST_TOKEN_GAIN = 0.1  # weight of a new measurement of the time to the first token


class AnswerTimes:
    """Measurements of the answers of one class of requests."""

    def __init__(self) -> None:
        # Duration of each answer divided by the number of tokens that its request allowed, in ns.
        self.paces: deque[float] = deque(maxlen=MAX_MEASURED_ANSWERS)
        # The longest pause between events of each answer, in ns.
        self.pauses: deque[int] = deque(maxlen=MAX_MEASURED_ANSWERS)
        self.first_token_time = 0.0  # a moving average, in ns; 0: nothing was measured

    def record_first_token(self, elapsed: int) -> None:
        """Record the time from a request's arrival to its first token."""
        gain = FIRST_TOKEN_GAIN if self.first_token_time else 1.0
        self.first_token_time += gain * (elapsed - self.first_token_time)

    def record_answer(self, max_output_tokens: int, duration: int, pause: int = 0) -> None:
        """Record a complete answer.

        Args:
            max_output_tokens: The length that its request allowed; 0: unknown.
            duration: From its first token to its end.
            pause: The longest time between two of its events.
        """
        self.pauses.append(pause)
        if max_output_tokens > 0:
            self.paces.append(duration / max_output_tokens)

    def longest_pause(self) -> int:
        """Return the longest pause within an answer of the class so far."""
        return max(self.pauses, default=0)

    def pace_bound(self, objective: int) -> float | None:
        """Return the slowest pace to expect, in ns per allowed token; None if it is unknown.

        `objective`: the class's token interval of the settings; 0: none.
        """
        slowest = max(self.paces, default=0.0)
        if len(self.paces) >= MIN_ANSWERS_FOR_LOWER_BOUND:
            return MEASURED_BOUND_MARGIN * slowest
        return max(float(objective), slowest) if objective else None


class ShutdownAdmission:
    """Limits what a stopping process takes on to what can end before it is killed."""

    def __init__(self) -> None:
        self.answer_times: dict[str, AnswerTimes] = {}  # by the name of the class
        self.restricted_from = 0  # requests that arrive later are restricted; 0: not stopping
        self.counted_from = 0  # requests that arrive later must not be under way at the kill
        self.ends_at = 0  # when every answer has to have ended

    def start(self, restricted_from: int, ends_at: int, counted_from: int = 0) -> None:
        """Note when the shutdown ends, and from when on what arrives has to end before that."""
        self.restricted_from = restricted_from
        self.counted_from = max(restricted_from, counted_from)
        self.ends_at = ends_at

    def times_of(self, class_name: str) -> AnswerTimes:
        """Return the measurements of a class."""
        return self.answer_times.setdefault(class_name, AnswerTimes())

    def record_first_token(self, class_name: str, elapsed: int) -> None:
        """Record the time from a request's arrival to its first token."""
        self.times_of(class_name).record_first_token(elapsed)

    def record_answer(
        self, class_name: str, max_output_tokens: int, duration: int, pause: int
    ) -> None:
        """Record a complete answer; see AnswerTimes.record_answer()."""
        self.times_of(class_name).record_answer(max_output_tokens, duration, pause)

    def is_silent(self, class_name: str, silent_for: int) -> bool:
        """Return whether a stream has brought nothing for longer than any of its class paused."""
        return silent_for > max(MIN_SILENCE_NS, self.times_of(class_name).longest_pause())

    def must_end(self, class_name: str, arrived_at: int, silent_for: int) -> bool:
        """Return whether an answer that is under way shortly before the kill is to be ended.

        What arrived early keeps the rest of the time: the kill may cut it off, and until then it
        may end well. Between `restricted_from` and `counted_from` it is not certain whether the
        request counts as early: its stream is ended only if no event of it is arriving any more.

        Args:
            class_name: The class of the request.
            arrived_at: When its last byte arrived.
            silent_for: For how long its stream has brought nothing.
        """
        if not self.ends_at or arrived_at < self.restricted_from:
            return False
        return arrived_at >= self.counted_from or self.is_silent(class_name, silent_for)

    def answer_bound(
        self, request_class: RequestClass | None, max_output_tokens: int
    ) -> int | None:
        """Return the longest time from an answer's first token to its end; None if unknown.

        An answer that is not streamed is sent as a whole.
        """
        if request_class is None:
            return None
        if not request_class.streaming:
            return 0
        times = self.times_of(request_class.name)
        pace = times.pace_bound(request_class.token_interval_objective)
        if pace is None or not max_output_tokens:
            return None
        return round(pace * max_output_tokens)

    def time_for_first_token(
        self,
        request_class: RequestClass | None,
        max_output_tokens: int,
        time_left: int,
        arrived_at: int,
        now: int,
    ) -> int:
        """Return for how long a request may wait for its first token, from now on.

        Returns 0 if it must not be taken on. What begins by then ends in time, however long the
        request has waited and however many attempts it took.

        Args:
            request_class: The class of the request; None: unknown.
            max_output_tokens: The length of the answer that it allows; 0: unknown.
            time_left: For how long its client still waits for the first token.
            arrived_at: When its last byte arrived.
            now: The present time.
        """
        if not self.ends_at:
            return time_left
        remaining = self.ends_at - now
        if arrived_at < self.restricted_from:
            return max(0, min(time_left, remaining))
        bound = self.answer_bound(request_class, max_output_tokens)
        if request_class is None or bound is None:
            return 0
        wait = min(time_left, remaining - bound)
        expected = self.times_of(request_class.name).first_token_time
        return wait if wait > expected else 0
