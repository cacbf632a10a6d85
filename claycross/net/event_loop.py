"""The event loop: schedules greenlets over select.poll and a timer wheel.

The loop owns the clock, the only blocking poll call and all timers of the process, and measures
its own lag. An exception in one task is logged and does not end the loop.

Scheduling is cooperative, with a budget: a task that has run for TURN_BUDGET_NS without parking is
suspended at its next read from a socket, so that a peer which sends without a pause can't keep
signals, timers, the poll and other tasks waiting.
"""

from __future__ import annotations

import select
import signal
import socket
import sys
import time
import traceback
from collections import deque
from collections.abc import Callable
from typing import Any

from greenlet import getcurrent, greenlet  # type: ignore[import-untyped]

from ..invariant import log_line
from .clock import CLOCK_OFFSET_NS, MS, monotonic_clock_id
from .errors import ConnectionClosedError
from .lag_histogram import LagHistogram
from .stall_detection import earliest_ready_time
from .timers import TICK_NS, Timer, TimerWheel

# Longest wait of one poll. A poll that returns much later shows that the process was stopped, and
# for how long.
MAX_POLL_WAIT_NS = 100 * MS
# A longer iteration, or a timer that expires later than this, is counted, and logged if traced.
LATE_THRESHOLD_NS = 40 * MS
# After this time without parking, a task is suspended at its next call of end_turn_if_due().
TURN_BUDGET_NS = 1 * MS
# Tasks that were suspended run while an iteration is younger than this; one of them always runs.
ITERATION_BUDGET_NS = 4 * MS
# A task or callback that runs longer is counted and logged with its name.
SLOW_CALL_THRESHOLD_NS = 40 * MS
SLOW_CALL_LOG_INTERVAL_NS = 1000 * MS  # between two log lines of slow calls
POLL_RETRY_DELAY_S = 0.002  # after poll() failed
WAKEUP_READ_BYTES = 512  # read at once from the wakeup socket, which holds one byte per signal
TRACEBACK_FRAME_COUNT = 4  # innermost frames in the log line of an unexpected exception
STDERR_DESCRIPTOR = 2


class Task:
    """A greenlet of the loop. Waking a parked task more than once has the same effect as once."""

    __slots__ = ("background", "greenlet", "name", "parked")

    def __init__(self, task_greenlet: greenlet, background: bool, name: str):
        self.greenlet = task_greenlet
        self.background = background
        self.name = name
        self.parked = True


class EventLoop:
    """Runs tasks that were woken, callbacks of ready file descriptors, and timers that are due."""

    def __init__(self) -> None:
        self.unix_offset_ns = time.time_ns() - time.monotonic_ns()
        self.clock_id = monotonic_clock_id()
        self.poller = select.poll()
        self.ready_callbacks: dict[int, Callable[[int], None]] = {}  # by file descriptor
        self.wheel = TimerWheel(self.now())
        self.ready_tasks: deque[Task] = deque()
        self.ready_background_tasks: deque[Task] = deque()
        self.suspended_tasks: deque[Task] = deque()  # their turns were over
        self.turn_started_at = 0  # monotonic time in ns at which the current task was resumed
        self.turns = 0  # tasks resumed so far
        self.hub = getcurrent()  # the greenlet that runs the loop
        self.current: Task | None = None
        self.after_iteration: list[Callable[[], None]] = []
        self.stopping = False
        self.iterations = 0
        self.late_iterations = 0
        self.max_lag = 0  # ns
        self.lag_histogram = LagHistogram()
        self.turns_ended = 0  # tasks suspended by end_turn_if_due()
        self.slow_calls = 0  # tasks and callbacks that ran longer than SLOW_CALL_THRESHOLD_NS
        self.slow_call_logged_at = 0
        self.log: Callable[[str], None] | None = None  # writes a line for a slow call
        self.errors = 0  # exceptions logged by report()
        self.last_poll_at = self.now()
        # What the last poll found ready may have been ready since then.
        self.ready_since = self.last_poll_at
        self.stalls = 0  # polls that showed that the process had not run for a while
        self.longest_stall = 0  # ns

    def now(self) -> int:
        """Return the monotonic time in nanoseconds, for durations and the order of events.

        CLOCK_OFFSET_NS is added, so that 0 is in the distant past even on a machine that has just
        booted.
        """
        return time.monotonic_ns() + CLOCK_OFFSET_NS

    def unix_time(self) -> int:
        """Return the Unix time in nanoseconds, for logs only.

        It is the Unix time at the start plus the monotonic time since, so changes of the system
        clock don't affect it. The code never compares two of these times.
        """
        return time.monotonic_ns() + self.unix_offset_ns

    # ------------------------------------------------------------ tasks and timers

    def spawn(self, work: Callable[..., Any], *args: Any, background: bool = False) -> Task:
        """Start a task, which first runs in a later scheduling pass of the loop."""
        name = getattr(work, "__qualname__", "task")

        def body() -> None:
            try:
                work(*args)
            except ConnectionClosedError:
                pass
            except Exception:
                self.report(name)

        task = Task(greenlet(body, self.hub), background, name)
        self.wake(task)
        return task

    def report(self, where: str) -> None:
        """Log the unexpected exception that is being handled, as one line."""
        self.errors += 1
        error_type, error, trace = sys.exc_info()
        name = "" if error_type is None else error_type.__name__
        frames = traceback.extract_tb(trace)[-TRACEBACK_FRAME_COUNT:]
        at = " < ".join(f"{frame.name}:{frame.lineno}" for frame in reversed(frames))
        log_line(f"unexpected where={where} error={name}: {error} at={at}", STDERR_DESCRIPTOR)

    def wake(self, task: Task | None) -> None:
        """Schedule a parked task; a task that is not parked, and None, are ignored."""
        if task is None or not task.parked:
            return
        task.parked = False
        if task.background:
            self.ready_background_tasks.append(task)
        else:
            self.ready_tasks.append(task)

    def park(self) -> None:
        """Suspend the current task until wake() is called for it."""
        self.current_task().parked = True
        self.hub.switch()

    def end_turn_if_due(self) -> None:
        """Suspend the current task behind the others if it has used up its turn.

        It runs again without being woken. Callbacks of the loop are not suspended.
        """
        task = self.current
        if task is None or time.monotonic_ns() - self.turn_started_at < TURN_BUDGET_NS:
            return
        self.turns_ended += 1
        if task.background:
            self.ready_background_tasks.append(task)
        else:
            self.suspended_tasks.append(task)
        self.hub.switch()

    def current_task(self) -> Task:
        """Return the running task; only a task may wait."""
        assert self.current is not None, "only a task of the event loop may wait"
        return self.current

    def sleep(self, duration: int) -> None:
        """Suspend the current task for `duration` nanoseconds."""
        task = self.current_task()
        self.call_later(duration, lambda: self.wake(task))
        self.park()

    def call_later(self, delay: int, call: Callable[[], None]) -> Timer:
        """Call `call` after `delay` nanoseconds, unless the timer is cancelled before."""
        return self.wheel.add(self.now() + max(0, delay), call)

    # ------------------------------------------------------------ iterations

    def watch(self, descriptor: int, mask: int, ready: Callable[[int], None]) -> None:
        """Call `ready` with the poll events of a descriptor when one in `mask` occurs.

        With a mask of 0 the descriptor is no longer watched.
        """
        if mask:
            self.poller.register(descriptor, mask)
            self.ready_callbacks[descriptor] = ready
        elif self.ready_callbacks.pop(descriptor, None):
            self.poller.unregister(descriptor)

    def stop(self) -> None:
        """Make run() return after the current iteration."""
        self.stopping = True

    def run(self) -> None:
        """Run iterations until stop() is called."""
        while not self.stopping:
            self.run_iteration()

    def run_iteration(self) -> None:
        """Poll once, and run the tasks and callbacks that are ready and the timers that are due."""
        lag = self.work(self.poll(self.poll_timeout_ms()))
        if lag > LATE_THRESHOLD_NS:
            self.late_iterations += 1
        self.max_lag = max(self.max_lag, lag)
        self.lag_histogram.record(lag)

    def poll_timeout_ms(self) -> int:
        """Return for how many milliseconds the next poll may wait."""
        if self.ready_tasks or self.ready_background_tasks or self.suspended_tasks:
            return 0
        until_due = self.wheel.next_due_tick() * TICK_NS - self.now()
        return min(MAX_POLL_WAIT_NS // MS, max(0, -(-until_due // MS)))

    def poll(self, timeout_ms: int) -> list[tuple[int, int]]:
        """Return the descriptors that become ready within the timeout, with their poll events.

        Sets `ready_since` to the earliest time at which they may have become ready.
        """
        started_at = self.now()
        try:
            ready = self.poller.poll(timeout_ms)
        except OSError:  # ENOMEM and the like are temporary and must not end the process
            self.report("poll")
            time.sleep(POLL_RETRY_DELAY_S)
            ready = []
        now = self.now()
        self.ready_since = earliest_ready_time(self.last_poll_at, started_at, timeout_ms * MS, now)
        if now > self.ready_since:
            self.stalls += 1
            self.longest_stall = max(self.longest_stall, now - self.ready_since)
        self.last_poll_at = now
        return ready

    def work(self, ready: list[tuple[int, int]]) -> int:
        """Run the part of an iteration that follows its poll; return its lag in nanoseconds.

        The lag is the delay of the last piece of work: the duration of the iteration, or by how
        much the earliest timer was late, whichever is greater.
        """
        start = self.now()
        for descriptor, mask in ready:
            call = self.ready_callbacks.get(descriptor)
            if call:
                self.guard(call, mask)
        # I/O goes before timers: a response that arrives just as its timeout expires counts.
        self.run_ready_tasks()
        due = self.wheel.expire(start)
        for timer in due:
            if timer.call:
                self.guard(timer.call)
        self.run_ready_tasks()
        # One background task per iteration: other tasks that become ready meanwhile go first.
        if self.ready_background_tasks:
            self.switch(self.ready_background_tasks.popleft())
            self.run_ready_tasks()
        self.run_suspended_tasks(start)
        for callback in self.after_iteration:
            self.guard(callback)
        self.iterations += 1
        timer_lag = start - due[0].due_tick * TICK_NS if due else 0
        return max(self.now() - start, timer_lag)

    def run_ready_tasks(self) -> None:
        """Run the tasks that are ready now, but not those that become ready meanwhile."""
        for _ in range(len(self.ready_tasks)):
            self.switch(self.ready_tasks.popleft())

    def run_suspended_tasks(self, iteration_start: int) -> None:
        """Run tasks whose turns were over, the first in any case, each once at most."""
        for _ in range(len(self.suspended_tasks)):
            self.switch(self.suspended_tasks.popleft())
            if self.now() - iteration_start >= ITERATION_BUDGET_NS:
                return

    def switch(self, task: Task) -> None:
        """Run a task until it parks, is suspended or ends."""
        self.current = task
        self.turns += 1
        started_at = time.monotonic_ns()
        self.turn_started_at = started_at
        task.greenlet.switch()
        self.current = None
        duration = time.monotonic_ns() - started_at
        if duration > SLOW_CALL_THRESHOLD_NS:
            self.note_slow_call(task.name, duration)

    def guard(self, call: Callable[..., None], *args: Any) -> None:
        """Call `call`; an exception is logged and not raised."""
        started_at = time.monotonic_ns()
        try:
            call(*args)
        except Exception:
            self.report(getattr(call, "__qualname__", "call"))
        duration = time.monotonic_ns() - started_at
        if duration > SLOW_CALL_THRESHOLD_NS:
            self.note_slow_call(getattr(call, "__qualname__", "call"), duration)

    def note_slow_call(self, name: str, duration: int) -> None:
        """Count a slow task or callback; log it, unless another was logged just before."""
        self.slow_calls += 1
        now = self.now()
        if self.log and now - self.slow_call_logged_at >= SLOW_CALL_LOG_INTERVAL_NS:
            self.slow_call_logged_at = now
            self.log(f"slow-call name={name} ms={duration / MS:.1f} calls={self.slow_calls}")

    # ------------------------------------------------------------ operating system signals

    def on_signals(self, calls: dict[int, Callable[[], None]]) -> None:
        """Run the callback of each signal in the loop, not in its handler; unblock the signals."""
        self.wakeup = socket.socketpair()
        receiver, sender = self.wakeup
        receiver.setblocking(False)
        sender.setblocking(False)
        signal.set_wakeup_fd(sender.fileno(), warn_on_full_buffer=False)
        for signal_number in calls:
            signal.signal(signal_number, lambda *_: None)

        def ready(_: int) -> None:
            for signal_number in set(receiver.recv(WAKEUP_READ_BYTES)) & calls.keys():
                self.guard(calls[signal_number])

        self.watch(receiver.fileno(), select.POLLIN, ready)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, calls)
