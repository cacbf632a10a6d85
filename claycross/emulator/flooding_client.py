"""A client of the soak test that sends requests without a pause, and readiness checks beside it."""

from __future__ import annotations

import socket
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager, suppress

from .client import Connection
from .invariant_checkers import ReadinessCheck

READINESS_CHECK = b"GET /-/ready HTTP/1.1\r\nHost: origin.svc\r\n\r\n"
FLOOD_BLOCK = READINESS_CHECK * 2000
READ_BYTES = 65_536
CHECK_INTERVAL_S = 0.05
CHECK_TIMEOUT_S = 6.0


def flood(gateway: int, port: int, duration_s: float) -> list[ReadinessCheck]:
    """Send to a gateway without a pause; return the checks that were made beside that."""
    until = time.monotonic() + duration_s
    checks: list[ReadinessCheck] = []
    checking = threading.Thread(target=check_readiness, args=(gateway, port, until, checks))
    checking.start()
    with suppress(OSError), Connection(port, duration_s) as connection, read_all(connection.sock):
        while time.monotonic() < until:
            connection.sock.sendall(FLOOD_BLOCK)
    checking.join()
    return checks


@contextmanager
def read_all(sock: socket.socket) -> Iterator[None]:
    """Read and discard what comes until the block is left, which ends the connection."""

    def read() -> None:
        with suppress(OSError):
            while sock.recv(READ_BYTES):
                pass

    reading = threading.Thread(target=read)
    reading.start()
    try:
        yield
    finally:
        with suppress(OSError):
            sock.shutdown(socket.SHUT_RDWR)
        reading.join()


def check_readiness(gateway: int, port: int, until: float, checks: list[ReadinessCheck]) -> None:
    """Ask a gateway again and again whether it is ready, each time on a new connection."""
    while time.monotonic() < until:
        check = ReadinessCheck(gateway, time.monotonic())
        with suppress(OSError), Connection(port, CHECK_TIMEOUT_S) as connection:
            connection.send(READINESS_CHECK)
            connection.sock.recv(READ_BYTES)
        check.closed = time.monotonic()
        checks.append(check)
        time.sleep(CHECK_INTERVAL_S)
