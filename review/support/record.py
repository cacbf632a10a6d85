"""The record of a case, and its run with the exit statuses that the issue sets."""

from __future__ import annotations

import os
import signal
import sys
import threading
import time
import traceback
from collections.abc import Callable
from pathlib import Path
from types import FrameType

HELD = 0
BROKEN = 1
COULD_NOT_RUN = 2
MAX_DURATION_S = 110  # of a run; the issue allows 120 s


class Record:
    """Writes what was sent, answered and run to record.txt, with the time since the start."""

    def __init__(self, path: Path) -> None:
        """Start an empty record."""
        self.started_at = time.monotonic()
        self.lock = threading.Lock()
        self.file = path.open("w", encoding="utf-8")

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self.started_at

    def write(self, text: str) -> None:
        """Write one line."""
        with self.lock:
            self.file.write(f"{self.now():8.3f} {text}\n")
            self.file.flush()


class CaseError(Exception):
    """The case could not run, so that nothing is known of the rule."""


def with_trouble() -> bool:
    """Return whether the disruption is part of this run."""
    return os.environ.get("TROUBLE", "1") != "0"


def stop_case(number: int, _frame: FrameType | None) -> None:
    """End the case early, so that it ends all processes that it has started."""
    raise CaseError(f"ended by {signal.Signals(number).name}")


def run_case(path: Path, play: Callable[[Record, bool], list[str]]) -> None:
    """Play a case and exit: `play` returns what broke the rule, one text for each breach.

    `path`: of the case's record.txt.
    """
    name = path.resolve().parent.name
    record = Record(path)
    trouble = with_trouble()
    record.write(f"case {name} trouble={trouble}")
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGALRM):
        signal.signal(number, stop_case)
    signal.alarm(MAX_DURATION_S)
    try:
        breaches = play(record, trouble)
    except Exception:  # whatever went wrong, nothing is known of the rule
        record.write(f"could not run: {traceback.format_exc()}")
        traceback.print_exc()
        status = COULD_NOT_RUN
    else:
        for breach in breaches:
            record.write(f"BROKEN {breach}")
        status = BROKEN if breaches else HELD
        verdict = f"broken {len(breaches)} times" if breaches else "held"
        record.write(f"the rule was {verdict}")
        print(f"case {name} trouble={trouble}: {verdict}")
        for breach in breaches[:5]:
            print(f"  {breach}")
    sys.stdout.flush()
    # Threads of stand-ins may still wait on sockets.
    os._exit(status)
