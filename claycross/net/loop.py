"""Re-exports the event loop, its connections, timers and errors for other packages."""

from __future__ import annotations

from .clock import MS, SECOND, monotonic_clock_id
from .connection import Connection
from .errors import ConnectionClosedError, NoLocalSocketError, ReadInterrupted, TimeoutExpired
from .event_loop import EventLoop, Task
from .listener import Listener
from .task_signal import Signal
from .timers import Timer

__all__ = [
    "MS",
    "SECOND",
    "Connection",
    "ConnectionClosedError",
    "EventLoop",
    "Listener",
    "NoLocalSocketError",
    "ReadInterrupted",
    "Signal",
    "Task",
    "TimeoutExpired",
    "Timer",
    "monotonic_clock_id",
]
