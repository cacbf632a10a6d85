"""Wakes one task of the event loop from another (unrelated to operating system signals)."""

from __future__ import annotations

from .event_loop import EventLoop, Task


class Signal:
    """An event that one task waits for; wait() returns at once if it is already set."""

    def __init__(self, loop: EventLoop):
        self.loop = loop
        self.task: Task | None = None
        self.is_set = False

    def set(self) -> None:
        """Set the signal and wake the waiting task, if there is one."""
        self.is_set = True
        self.loop.wake(self.task)

    def wait(self, timeout: int = 0) -> bool:
        """Wait until the signal is set, and clear it; return whether it was set.

        Args:
            timeout: The longest wait in nanoseconds; 0 means no limit.
        """
        if not self.is_set:
            self._park(timeout)
        was_set = self.is_set
        self.is_set = False
        return was_set

    def _park(self, timeout: int) -> None:
        """Park the current task until set() or the timeout wakes it."""
        task = self.loop.current_task()
        self.task = task
        timer = self.loop.call_later(timeout, lambda: self.loop.wake(task)) if timeout else None
        self.loop.park()
        self.task = None
        if timer:
            timer.cancel()
