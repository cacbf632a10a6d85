"""A client connection: HTTP/1.1 requests and the parts of their answers."""

from __future__ import annotations

import json
import socket
from types import TracebackType
from typing import NamedTuple

LAST_CHUNK_SIZE = 0


class ClosedError(Exception):
    """The gateway ended the connection before an answer was complete."""


class Answer(NamedTuple):
    """An answer as its client met it."""

    status: int
    body: bytes
    complete: bool


def chat_request(key: str, class_name: str, timeout_ms: int, session: str) -> bytes:
    """Return a chat request in the form of the page PROTOCOL."""
    body = json.dumps(
        {
            "model": "chat",
            "stream": True,
            "max_tokens": 200,
            "messages": [{"role": "user", "content": "tense drums, no vocals"}],
        }
    ).encode()
    lines = [
        "POST /v1/chat/completions HTTP/1.1",
        "Host: origin.svc",
        f"X-Request-ID: {key}",
        f"X-Priority-Class: {class_name}",
        f"X-Route-Key: {session}",
        f"X-Timeout-Ms: {timeout_ms}",
        "X-Attrs: prompt_len=800,prefix_len=0,max_out=200",
        f"Content-Length: {len(body)}",
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Client:
    """One connection to a gateway; a context manager."""

    def __init__(self, address: str, timeout: float) -> None:
        """Connect; `timeout` in seconds applies to each wait."""
        host, port = address.rsplit(":", 1)
        self.sock = socket.create_connection((host, int(port)), timeout=timeout)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.file = self.sock.makefile("rb")

    def __enter__(self) -> Client:
        """Return the client."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Close the connection."""
        self.close()

    def close(self) -> None:
        """Close the connection."""
        self.file.close()
        self.sock.close()

    def send(self, data: bytes) -> None:
        """Send all of the data."""
        self.sock.sendall(data)

    def read_head(self) -> tuple[int, dict[str, str]]:
        """Read the status and the headers of an answer."""
        line = self.file.readline()
        if not line:
            raise ClosedError
        status = int(line.split()[1])
        headers = {}
        while line := self.file.readline().strip():
            name, _, value = line.decode("latin-1").partition(":")
            headers[name.lower()] = value.strip()
        return status, headers

    def read_answer(self) -> Answer:
        """Read an answer to its end, or to the end of the connection."""
        status, headers = self.read_head()
        if "chunked" not in headers.get("transfer-encoding", ""):
            length = int(headers.get("content-length", 0))
            body = self.file.read(length)
            return Answer(status, body, len(body) == length)
        body = b""
        try:
            while line := self.file.readline():
                size = int(line, 16)
                if size == LAST_CHUNK_SIZE:
                    self.file.readline()
                    return Answer(status, body, True)
                body += self.file.read(size)
                self.file.readline()
        except ConnectionError:
            pass
        return Answer(status, body, False)
