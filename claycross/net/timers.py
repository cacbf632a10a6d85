"""A hashed timer wheel (Varghese and Lauck, 1987) with coarse ticks."""

from __future__ import annotations

from collections.abc import Callable

from .clock import MS

TICK_NS = 2 * MS  # resolution of the wheel
SLOT_COUNT = 512  # one revolution of the wheel takes about a second


class Timer:
    """A callback that is due at a tick of the wheel."""

    __slots__ = ("call", "due_tick")

    def __init__(self, due_tick: int, call: Callable[[], None]):
        self.due_tick = due_tick
        self.call: Callable[[], None] | None = call  # None once the timer is cancelled

    def cancel(self) -> None:
        """Cancel the timer: its callback is not called any more."""
        self.call = None


class TimerWheel:
    """Timers by the slot of their tick.

    A timer that is due later than one revolution stays in its slot for several.
    """

    def __init__(self, now: int):
        self.slots: list[list[Timer]] = [[] for _ in range(SLOT_COUNT)]
        self.tick = now // TICK_NS  # the last tick that expire() has processed

    def add(self, due: int, call: Callable[[], None]) -> Timer:
        """Add a timer that is due at a time in nanoseconds; it may expire late, never early."""
        due_tick = -(-due // TICK_NS)  # rounded up
        timer = Timer(max(due_tick, self.tick + 1), call)
        self.slots[timer.due_tick % SLOT_COUNT].append(timer)
        return timer

    def next_due_tick(self) -> int:
        """Return the tick of the next timer, at most one revolution from the current tick."""
        for tick in range(self.tick + 1, self.tick + SLOT_COUNT):
            if any(
                timer.due_tick <= tick and timer.call for timer in self.slots[tick % SLOT_COUNT]
            ):
                return tick
        return self.tick + SLOT_COUNT

    def expire(self, now: int) -> list[Timer]:
        """Remove the timers that are due at this time and return them, the earliest first."""
        last_tick = now // TICK_NS
        due: list[Timer] = []
        # One revolution covers every slot, however long ago the last call was.
        for tick in range(max(self.tick + 1, last_tick - SLOT_COUNT + 1), last_tick + 1):
            slot = self.slots[tick % SLOT_COUNT]
            if slot:
                due += [timer for timer in slot if timer.due_tick <= last_tick and timer.call]
                slot[:] = [timer for timer in slot if timer.due_tick > last_tick and timer.call]
        self.tick = max(self.tick, last_tick)
        return sorted(due, key=lambda timer: timer.due_tick)
