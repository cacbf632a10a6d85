"""An HTTP client on a raw socket, for tests and benches of gateways.

Unlike a plain client it can leave early, send requests in a row without waiting for answers, and
send malformed ones. An answer that ends early is never taken for a complete one.
"""

from __future__ import annotations

import re
import socket
import time
from dataclasses import dataclass
from typing import BinaryIO

REFUSALS = (429, 503)
# The time at which an emulated engine on this machine sent an event (`encode_event`).
SENT_AT = re.compile(rb'"at":([0-9.]+)')
LINE_END = b"\r\n"


class ConnectionBrokenError(OSError):
    """The connection ended before or within an answer."""


@dataclass(slots=True)
class Answer:
    """One answer: "served", "refused" or "failed", or "broken" if it ended early."""

    how: str
    first: float  # when its head was complete, by the monotonic clock, in seconds
    delay: float = 0.0  # the longest of its events' ways, in seconds, if events hold their time


class Connection:
    """One connection to a gateway on this machine.

    Args:
        port: The gateway's port.
        timeout: Seconds of each wait.
    """

    def __init__(self, port: int, timeout: float):
        self.sock = socket.create_connection(("127.0.0.1", port), timeout=timeout)
        self.port = self.sock.getsockname()[1]  # this side's
        self.file: BinaryIO = self.sock.makefile("rb")
        self.delay = 0.0  # of the present answer, as in Answer
        self.ends = False  # whether the last answer announced the end of the connection

    def __enter__(self) -> Connection:
        return self

    def __exit__(self, *_: object) -> None:
        self.file.close()
        self.sock.close()

    def send(self, data: bytes) -> None:
        """Send all of the data."""
        self.sock.sendall(data)

    def answer(self) -> Answer:
        """Read the next answer.

        Raises:
            OSError: If no answer begins.
        """
        status_line = self.read_line().split()
        first = time.monotonic()
        self.delay = 0.0
        if len(status_line) < 2 or not status_line[1].isdigit():
            raise ConnectionBrokenError("no status line")
        try:
            headers = self.read_headers()
            self.ends = headers.get("connection", "").lower() == "close"
            self.read_body(headers)
        except OSError:
            return Answer("broken", first, self.delay)
        status = int(status_line[1])
        how = "served" if status == 200 else "refused" if status in REFUSALS else "failed"
        return Answer(how, first, self.delay)

    def read_line(self) -> bytes:
        """Read a line, with its end."""
        line = self.file.readline()
        if not line.endswith(b"\n"):
            raise ConnectionBrokenError("the connection ended within a line")
        return line

    def read_headers(self) -> dict[str, str]:
        """Read the headers; names in lower case."""
        headers = {}
        while line := self.read_line().strip():
            name, _, value = line.decode("latin-1").partition(":")
            headers[name.lower()] = value.strip()
        return headers

    def read_body(self, headers: dict[str, str]) -> None:
        """Read the body and record the longest delay of its events."""
        if "chunked" not in headers.get("transfer-encoding", ""):
            self.read_exactly(int(headers.get("content-length", 0)))
            return
        while size := int(self.read_line(), 16):
            data = self.read_exactly(size + len(LINE_END))
            now = time.monotonic()
            for sent_at in SENT_AT.findall(data):
                self.delay = max(self.delay, now - float(sent_at))
        self.read_line()

    def read_exactly(self, size: int) -> bytes:
        """Read this many bytes."""
        data = self.file.read(size)
        if len(data) != size:
            raise ConnectionBrokenError("the connection ended within a body")
        return data


def request(
    key: str, cls: str, session: str, prompt: int, span: float, body: bytes, prefix: str = ""
) -> bytes:
    """Return the bytes of one chat request.

    Args:
        key: Its id.
        cls: Its priority class.
        session: Its routing key.
        prompt: Tokens of its prompt.
        span: Its timeout in seconds.
        body: Its body.
        prefix: The name of a prefix that it shares with others, half of the prompt; empty: none.
    """
    shared = f",prefix={prefix},prefix_len={prompt // 2}" if prefix else ""
    lines = [
        "POST /v1/chat/completions HTTP/1.1",
        "Host: origin.svc",
        f"X-Request-ID: {key}",
        f"X-Priority-Class: {cls}",
        f"X-Route-Key: {session}",
        f"X-Timeout-Ms: {int(span * 1000)}",
        f"X-Attrs: prompt_len={prompt},max_out=60{shared}",
        f"Content-Length: {len(body)}",
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body
