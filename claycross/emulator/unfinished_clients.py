"""Clients of the soak test that send all of a large request but its last bytes, and stay."""

from __future__ import annotations

import selectors
import socket
import time
from contextlib import ExitStack, suppress

CLIENTS = 400
BODY_BYTES = 261_120
MISSING_BYTES = 120
CONNECT_TIMEOUT_S = 2.0
POLL_INTERVAL_S = 0.05
HEAD = (
    b"POST /v1/chat/completions HTTP/1.1\r\nHost: origin.svc\r\nX-Request-ID: unfinished\r\n"
    b"X-Priority-Class: browse\r\nX-Route-Key: unfinished\r\nX-Timeout-Ms: 5000\r\n"
    b"Content-Length: %d\r\n\r\n" % BODY_BYTES
)
REQUEST_START = memoryview(HEAD + b"x" * (BODY_BYTES - MISSING_BYTES))


def send_unfinished(port: int, duration_s: float) -> None:
    """Send the start of a large request on many connections at once, and keep them open."""
    until = time.monotonic() + duration_s
    with ExitStack() as stack, suppress(OSError):
        selector = stack.enter_context(selectors.DefaultSelector())
        for _ in range(CLIENTS):
            sock = socket.create_connection(("127.0.0.1", port), CONNECT_TIMEOUT_S)
            stack.enter_context(sock)
            sock.setblocking(False)
            selector.register(sock, selectors.EVENT_WRITE, REQUEST_START)
        send_all(selector, until)
        time.sleep(max(0.0, until - time.monotonic()))


def send_all(selector: selectors.BaseSelector, until: float) -> None:
    """Send what is left of each registered socket's data, until the given time at most."""
    while selector.get_map() and time.monotonic() < until:
        for key, _ in selector.select(POLL_INTERVAL_S):
            sock = key.fileobj
            assert isinstance(sock, socket.socket)
            try:
                rest = key.data[sock.send(key.data) :]
            except OSError:  # the gateway has ended the connection
                rest = b""
            if rest:
                selector.modify(sock, selectors.EVENT_WRITE, rest)
            else:
                selector.unregister(sock)
