"""Measures what makes iterations of the event loop slow.

Times the callbacks and tasks of each iteration and the garbage collector, and compares the
duration with the CPU time. Used by `serve --trace`; it costs nothing unless it is attached.
"""

from __future__ import annotations

import gc
import time
from collections.abc import Callable
from typing import Any, NamedTuple

from .clock import MS
from .event_loop import LATE_THRESHOLD_NS, EventLoop, Task

MAX_DURATIONS = 65_536  # iterations recorded for the quantiles of one summary
QUANTILES = {"p50": 0.5, "p99": 0.99, "p999": 0.999, "worst": 1.0}
REPLACED_METHODS = ("guard", "switch", "work")  # of the loop, while LoopMetrics is attached


class TimedCall(NamedTuple):
    """A callback or task of the loop and how long it ran."""

    duration: int  # ns
    name: str


NO_CALL = TimedCall(0, "")


class LoopMetrics:
    """Times each iteration of a loop and the calls in it.

    `log` gets a line for each slow iteration, with times in milliseconds: its duration, its lag,
    the CPU time of the thread (cpu_ms; for the rest it slept or waited for a CPU), the time spent
    in the garbage collector (gc_ms), and the longest call.
    """

    def __init__(self, loop: EventLoop, log: Callable[[str], None]):
        self.loop = loop
        self.log = log
        self.durations: list[int] = []  # ns; of the iterations since the last summary
        self.gc_time = 0  # ns spent in the garbage collector in this iteration
        self.gc_started_at = 0  # 0 while no collection runs
        self.longest_call = NO_CALL  # of this iteration
        self.loop_guard = loop.guard
        self.loop_switch = loop.switch
        self.loop_work = loop.work
        loop.guard = self.guard  # type: ignore[method-assign]
        loop.switch = self.switch  # type: ignore[method-assign]
        loop.work = self.work  # type: ignore[method-assign]
        gc.callbacks.append(self.gc_callback)

    def detach(self) -> None:
        """Restore the methods of the loop and stop timing."""
        gc.callbacks.remove(self.gc_callback)
        for name in REPLACED_METHODS:
            delattr(self.loop, name)

    def gc_callback(self, phase: str, _: dict[str, int]) -> None:
        """Time a garbage collection; called at its start and at its end."""
        if phase == "start":
            self.gc_started_at = time.monotonic_ns()
        elif self.gc_started_at:
            self.gc_time += time.monotonic_ns() - self.gc_started_at
            self.gc_started_at = 0

    def time_call(self, name: str, call: Callable[..., Any], *args: Any) -> None:
        """Call `call` and record it if it is the longest call of the iteration so far."""
        start = time.monotonic_ns()
        call(*args)
        duration = time.monotonic_ns() - start
        if duration > self.longest_call.duration:
            self.longest_call = TimedCall(duration, name)

    def guard(self, call: Callable[..., None], *args: Any) -> None:
        """Call EventLoop.guard() and time it."""
        self.time_call(getattr(call, "__qualname__", "call"), self.loop_guard, call, *args)

    def switch(self, task: Task) -> None:
        """Call EventLoop.switch() and time it."""
        self.time_call("task", self.loop_switch, task)

    def work(self, ready: list[tuple[int, int]]) -> int:
        """Call EventLoop.work() and time it; return the lag, as that does."""
        self.gc_time = 0
        self.longest_call = NO_CALL
        cpu_start = time.thread_time_ns()
        start = time.monotonic_ns()
        lag = self.loop_work(ready)
        duration = time.monotonic_ns() - start
        if len(self.durations) < MAX_DURATIONS:
            self.durations.append(duration)
        if max(duration, lag) > LATE_THRESHOLD_NS:
            cpu_time = time.thread_time_ns() - cpu_start
            self.log(
                f"slow-iteration ms={duration / MS:.1f} late_ms={lag / MS:.1f} "
                f"cpu_ms={cpu_time / MS:.1f} gc_ms={self.gc_time / MS:.1f} "
                f"ready={len(ready)} longest={self.longest_call.name} "
                f"longest_ms={self.longest_call.duration / MS:.1f}"
            )
        return lag

    def summary(self) -> str:
        """Return the number of iterations since the last summary, and quantiles of their time."""
        durations = sorted(self.durations)
        self.durations = []
        if not durations:
            return "rounds=0"
        fields = [f"rounds={len(durations)}"]
        for name, quantile in QUANTILES.items():
            index = min(len(durations) - 1, int(len(durations) * quantile))
            fields.append(f"{name}_ms={durations[index] / MS:.2f}")
        return " ".join(fields)
