"""Stand-ins for discovery and for the engines, written from the page PROTOCOL."""

from __future__ import annotations

import contextlib
import json
import socket
import threading
import time
from collections.abc import Callable
from typing import Any, BinaryIO, NamedTuple

from support.record import Record

BLANK_LINE_INTERVAL_S = 2.0
READER_KIND = "prefill"
WRITER_KIND = "decode"


class Request(NamedTuple):
    """A request as a server received it."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def key(self) -> str:
        """The id of a client's request."""
        return self.headers.get("x-request-id", "")


def read_request(file: BinaryIO) -> Request | None:
    """Read one request; None at the end of the connection."""
    line = file.readline()
    if not line:
        return None
    method, target, _ = line.decode("latin-1").split()
    headers = {}
    while line := file.readline().strip():
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.lower()] = value.strip()
    return Request(method, target, headers, file.read(int(headers.get("content-length", 0))))


def reply(sock: socket.socket, status: int, body: bytes = b"", header: str = "") -> None:
    """Send a complete answer."""
    lines = [f"HTTP/1.1 {status} Status", f"Content-Length: {len(body)}"]
    if header:
        lines.append(header)
    sock.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + body)


def begin_stream(sock: socket.socket, content_type: str) -> None:
    """Send the head of an answer in chunks."""
    sock.sendall(
        f"HTTP/1.1 200 OK\r\nContent-Type: {content_type}\r\n".encode()
        + b"Transfer-Encoding: chunked\r\n\r\n"
    )


def chunk(data: bytes) -> bytes:
    """Return the data as one chunk."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def event(text: str, finish: str | None = None) -> bytes:
    """Return one event of a stream."""
    choice = {"index": 0, "delta": {"content": text}, "finish_reason": finish}
    return b"data: " + json.dumps({"choices": [choice]}).encode() + b"\n\n"


USAGE_EVENT = (
    b'data: {"choices":[],"usage":{"prompt_tokens":800,"completion_tokens":4,'
    b'"prompt_tokens_details":{"cached_tokens":0}}}\n\n'
)
DONE_EVENT = b"data: [DONE]\n\n"


class Server:
    """Accepts connections, each served by a thread of its own."""

    def __init__(self, record: Record) -> None:
        """Listen on a free port."""
        self.record = record
        self.sock = socket.socket()
        self.sock.bind(("127.0.0.1", 0))
        self.sock.listen(64)
        self.address = f"127.0.0.1:{self.sock.getsockname()[1]}"

    def start(self) -> None:
        """Accept connections from now on."""
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self) -> None:
        """Accept connections for ever."""
        while True:
            sock, _ = self.sock.accept()
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self.serve_quietly, args=(sock,), daemon=True).start()

    def serve_quietly(self, sock: socket.socket) -> None:
        """Serve a connection until either side ends it."""
        with contextlib.suppress(OSError, ValueError):
            self.serve(sock)
        sock.close()

    def serve(self, sock: socket.socket) -> None:
        """Serve the requests of a connection."""
        raise NotImplementedError


class Discovery(Server):
    """Discovery's agent: the list, and watches that tell it and then stay open."""

    def __init__(self, record: Record) -> None:
        """Begin with an empty list."""
        super().__init__(record)
        self.revision = 1
        self.targets: dict[str, dict[str, Any]] = {}
        self.first_answer_delay = 0.0  # seconds that it takes for the first line of each watch

    def message(self) -> dict[str, Any]:
        """Return the whole list in discovery's form."""
        return {"rev": self.revision, "all": True, "targets": list(self.targets.values())}

    def serve(self, sock: socket.socket) -> None:
        """Answer one watch or one call for the list."""
        request = read_request(sock.makefile("rb"))
        if request is None:
            return
        self.record.write(f"discovery is asked {request.target}")
        time.sleep(self.first_answer_delay)
        text = json.dumps(self.message()).encode() + b"\n"
        if "watch=1" not in request.target:
            reply(sock, 200, text)
            return
        begin_stream(sock, "application/json")
        sock.sendall(chunk(text))
        self.record.write(f"discovery tells rev={self.revision}")
        while True:
            time.sleep(BLANK_LINE_INTERVAL_S)
            sock.sendall(chunk(b"\n"))


class Engine(Server):
    """An engine: a reader or a writer by its kind; `answer` sends the answer of a write."""

    def __init__(
        self,
        record: Record,
        uid: str,
        kind: str,
        answer: Callable[[socket.socket, Request], None] | None = None,
    ) -> None:
        """Listen on a free port; without `answer` a short stream is sent."""
        super().__init__(record)
        self.uid = uid
        self.kind = kind
        self.answer = answer or short_stream

    def target(self, state: str = "Ready") -> dict[str, Any]:
        """Return the engine's entry in the list."""
        return {
            "uid": self.uid,
            "endpoint": self.address,
            "az": "musanze",
            "model": self.kind,
            "pod_group": 0,
            "state": state,
            "capacity_hint": 1.0,
            "boot_ms": 0,
        }

    def serve(self, sock: socket.socket) -> None:
        """Serve one request after the other."""
        file = sock.makefile("rb")
        while request := read_request(file):
            if request.target.startswith("/kv/leases/"):
                reply(sock, 204)
            elif request.target.startswith("/-/"):
                reply(sock, 200)
            else:
                self.record.write(f"engine {self.uid} runs {request.key}")
                self.run(sock, request)

    def run(self, sock: socket.socket, request: Request) -> None:
        """Run a client's request."""
        if self.kind == READER_KIND:
            time.sleep(0.01)
            reply(sock, 202, b'{"cached_tokens":0}')
        else:
            self.answer(sock, request)


def stream(sock: socket.socket, request: Request, events: int, interval: float) -> None:
    """Send a stream of so many events, each of which names the request that it is for."""
    begin_stream(sock, "text/event-stream")
    for number in range(events):
        sock.sendall(chunk(event(f"{request.key}/{number} ")))
        time.sleep(interval)
    last = event(f"{request.key}/end", "stop")
    sock.sendall(chunk(last + USAGE_EVENT + DONE_EVENT) + b"0\r\n\r\n")


def short_stream(sock: socket.socket, request: Request) -> None:
    """Send a stream of four events."""
    stream(sock, request, 4, 0.005)
