"""Measures what makes iterations of the event loop late.

It times the calls of an iteration, and the part of the garbage collector and of other processes.
Used by `serve --trace`; it costs nothing where it is not attached.
"""

from __future__ import annotations

import gc
import time
from collections.abc import Callable
from typing import Any, NamedTuple

from .clock import MS
from .event_loop import LATE, EventLoop, Task

MAX_SPANS = 65_536  # iterations kept for the quantiles of one line
QUANTILES = {"p50": 0.5, "p99": 0.99, "p999": 0.999, "worst": 1.0}
REPLACED_METHODS = ("guard", "switch", "work")  # of the loop, while this is attached


class TimedCall(NamedTuple):
    """A call and how long it took."""

    span: int
    name: str


NO_CALL = TimedCall(0, "")


class LoopMetrics:
    """Times each iteration of a loop and its calls.

    `log` gets a line for each late iteration: how long it took, how much of that this process ran
    (cpu_ms; the rest of the time the machine kept it waiting), how much was spent in the garbage
    collector (gc_ms) and how much in the longest call. Times are in milliseconds.
    """

    def __init__(self, loop: EventLoop, log: Callable[[str], None]):
        self.loop = loop
        self.log = log
        self.late = LATE
        self.spans: list[int] = []  # of the iterations since the last summary
        self.collected = 0  # time of the collector in this iteration
        self.collection_begun = 0
        self.longest = NO_CALL  # of this iteration
        self.loop_guard = loop.guard
        self.loop_switch = loop.switch
        self.loop_work = loop.work
        loop.guard = self.guard  # type: ignore[method-assign]
        loop.switch = self.switch  # type: ignore[method-assign]
        loop.work = self.work  # type: ignore[method-assign]
        gc.callbacks.append(self.collecting)

    def detach(self) -> None:
        """Leave the loop as it was."""
        gc.callbacks.remove(self.collecting)
        for name in REPLACED_METHODS:
            delattr(self.loop, name)

    def collecting(self, phase: str, _: dict[str, int]) -> None:
        """Time a collection, as the garbage collector begins and ends it."""
        if phase == "start":
            self.collection_begun = time.monotonic_ns()
        elif self.collection_begun:
            self.collected += time.monotonic_ns() - self.collection_begun
            self.collection_begun = 0

    def timed(self, name: str, call: Callable[..., Any], *args: Any) -> None:
        """Make a call and note it if it is the longest of the iteration."""
        start = time.monotonic_ns()
        call(*args)
        span = time.monotonic_ns() - start
        if span > self.longest.span:
            self.longest = TimedCall(span, name)

    def guard(self, call: Callable[..., None], *args: Any) -> None:
        """Time EventLoop.guard()."""
        self.timed(getattr(call, "__qualname__", "call"), self.loop_guard, call, *args)

    def switch(self, task: Task) -> None:
        """Time EventLoop.switch()."""
        self.timed("task", self.loop_switch, task)

    def work(self, ready: list[tuple[int, int]]) -> int:
        """Run one iteration after its poll; return its lag, as EventLoop.work() does."""
        self.collected = 0
        self.longest = NO_CALL
        cpu_start = time.thread_time_ns()
        start = time.monotonic_ns()
        lag = self.loop_work(ready)
        span = time.monotonic_ns() - start
        if len(self.spans) < MAX_SPANS:
            self.spans.append(span)
        if max(span, lag) > self.late:
            cpu = time.thread_time_ns() - cpu_start
            self.log(
                f"slow-iteration ms={span / MS:.1f} late_ms={lag / MS:.1f} "
                f"cpu_ms={cpu / MS:.1f} gc_ms={self.collected / MS:.1f} "
                f"ready={len(ready)} longest={self.longest.name} "
                f"longest_ms={self.longest.span / MS:.1f}"
            )
        return lag

    def summary(self) -> str:
        """Return the number of iterations since the last summary, and quantiles of their time."""
        spans = sorted(self.spans)
        self.spans = []
        if not spans:
            return "rounds=0"
        fields = [f"rounds={len(spans)}"]
        for name, quantile in QUANTILES.items():
            index = min(len(spans) - 1, int(len(spans) * quantile))
            fields.append(f"{name}_ms={spans[index] / MS:.2f}")
        return " ".join(fields)
