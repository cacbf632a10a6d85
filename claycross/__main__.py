"""Entry point of `python -m claycross`.

Signals are blocked while a gateway starts, until its event loop runs. A reload requested after the
configuration was read then still takes effect, and a stop is graceful. Unblocked, SIGHUP and
SIGTERM would kill a process whose socket may already accept connections. For the same reason no
slow module is imported before the signals are blocked.
"""

from __future__ import annotations

import signal
import sys

# EventLoop.on_signals unblocks them.
BLOCKED_DURING_START = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)


def main() -> None:
    """Run the command line, with signals blocked if it starts a gateway."""
    if sys.argv[1:2] == ["serve"]:
        signal.pthread_sigmask(signal.SIG_BLOCK, BLOCKED_DURING_START)
    from .cli import app

    app(prog_name="claycross")


if __name__ == "__main__":
    main()
