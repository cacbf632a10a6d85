"""Runtime checks of invariants, and non-blocking output of log lines.

A debug build raises an error if an invariant does not hold; a release build (`python -O`) counts
and logs the violation and continues. Writing a log line never blocks: a line that does not fit into
the log's pipe is dropped and counted.
"""

from __future__ import annotations

import os
import select
from collections import Counter

# Below PIPE_BUF: a pipe that polls as writable accepts a line of this size without blocking.
MAX_LINE_BYTES = 4000
# Of one invariant, the first violations are all logged, then one in VIOLATIONS_PER_LOG_LINE.
FIRST_LOGGED_VIOLATIONS = 10
VIOLATIONS_PER_LOG_LINE = 100
# File descriptors.
STDOUT = 1
STDERR = 2

violations: Counter[str] = Counter()  # by name of the invariant
dropped_lines: Counter[int] = Counter()  # log lines dropped, by descriptor


class InvariantError(AssertionError):
    """An invariant does not hold; raised by debug builds only."""


def log_line(text: str, descriptor: int = STDOUT) -> None:
    """Write one log line, or drop it if the log's reader is stuck or gone."""
    line = text.replace("\n", " ").encode(errors="replace")[:MAX_LINE_BYTES] + b"\n"
    try:
        if is_writable(descriptor):
            os.write(descriptor, line)
            return
    except OSError:
        pass  # the log's reader is gone: the line counts as dropped
    dropped_lines[descriptor] += 1


def is_writable(descriptor: int) -> bool:
    """Return whether the descriptor can be written without blocking."""
    poll = select.poll()
    poll.register(descriptor, select.POLLOUT)
    return any(events & select.POLLOUT for _, events in poll.poll(0))


def invariant(holds: object, name: str, detail: str = "") -> bool:
    """Check an invariant.

    Returns:
        Whether the invariant holds; False in release builds (`-O`) only.

    Raises:
        InvariantError: The invariant does not hold, in a debug build.
    """
    if holds:
        return True
    if __debug__:
        raise InvariantError(f"{name}: {detail}" if detail else name)
    violations[name] += 1
    count = violations[name]
    if count <= FIRST_LOGGED_VIOLATIONS or count % VIOLATIONS_PER_LOG_LINE == 0:
        log_line(f"invariant name={name} count={count} {detail}".rstrip(), STDERR)
    return False
