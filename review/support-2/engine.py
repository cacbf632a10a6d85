"""A stand-in engine in a process of its own: `engine.py ROLE WORK_SECONDS [EVENT_SECONDS]`.

It speaks the protocol page's HTTP/1.1: a reader answers 202, a writer or mixed engine streams, an
embeddings engine answers JSON. It prints its port and then one JSON line for each request whose
last byte has arrived, which is when it starts it. Times are of the monotonic clock.
"""

from __future__ import annotations

import contextlib
import json
import select
import socket
import sys
import threading
import time

TOKEN_EVENT = b'data: {"choices":[{"index":0,"delta":{"content":"oqvh"},"finish_reason":null}]}\n\n'
LAST_EVENTS = (
    b'data: {"choices":[{"index":0,"delta":{"content":"."},"finish_reason":"stop"}]}\n\n',
    b'data: {"choices":[],"usage":{"prompt_tokens":1,"completion_tokens":2,'
    b'"prompt_tokens_details":{"cached_tokens":0}}}\n\n',
    b"data: [DONE]\n\n",
)
LOCK = threading.Lock()


def report(**fields: object) -> None:
    """Print one line for the script."""
    with LOCK:
        print(json.dumps(fields), flush=True)


class Call:
    """One request as it arrived."""

    def __init__(self, head: str, body: bytes, first_byte_at: float):
        self.method, self.target, _ = head.split("\r\n")[0].split(" ")
        self.headers = {
            name.lower(): value.strip()
            for name, _, value in (line.partition(":") for line in head.split("\r\n")[1:])
        }
        self.body = body
        self.first_byte_at = first_byte_at


class EngineConnection:
    """One connection from a gateway, which carries one request at a time."""

    def __init__(self, sock: socket.socket, role: str, work: float, pace: float):
        self.sock = sock
        self.role = role
        self.work = work
        self.pace = pace
        self.buffer = b""

    def serve(self) -> None:
        """Answer requests until the gateway closes the connection."""
        with contextlib.suppress(OSError), self.sock:
            while call := self.receive():
                self.answer(call)

    def receive(self) -> Call | None:
        """Return the next request once its last byte is here; None at the connection's end."""
        first_byte_at = time.monotonic() if self.buffer else 0.0
        while b"\r\n\r\n" not in self.buffer:
            data = self.sock.recv(65536)
            if not data:
                return None
            first_byte_at = first_byte_at or time.monotonic()
            self.buffer += data
        head, _, rest = self.buffer.partition(b"\r\n\r\n")
        call = Call(head.decode("latin-1"), b"", first_byte_at)
        length = int(call.headers.get("content-length", 0))
        while len(rest) < length:
            data = self.sock.recv(65536)
            if not data:
                return None
            rest += data
        call.body, self.buffer = rest[:length], rest[length:]
        return call

    def answer(self, call: Call) -> None:
        """Run one request and answer it."""
        if call.target.startswith("/kv/leases/"):
            self.reply(204)
            return
        key = call.headers.get("x-request-id", "")
        report(
            event="run",
            key=key,
            method=call.method,
            target=call.target,
            first=call.first_byte_at,
            last=time.monotonic(),
        )
        if self.gateway_left(self.work):
            report(event="abandoned", key=key, last=time.monotonic())
            raise OSError("the gateway has abandoned the attempt")
        if self.role == "read":
            self.reply(202, b'{"cached_tokens":0}')
        elif self.role == "embed":
            self.reply(200, embedding(call.body))
        else:
            self.stream(call)
        report(event="answered", key=key, last=time.monotonic())

    def gateway_left(self, seconds: float) -> bool:
        """Work for so long; return whether the gateway closed the connection meanwhile."""
        readable, _, _ = select.select([self.sock], [], [], seconds)
        return bool(readable)

    def reply(self, status: int, body: bytes = b"") -> None:
        """Send a whole response."""
        head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n\r\n"
        if status == 204:
            head = "HTTP/1.1 204 X\r\n\r\n"
        self.sock.sendall(head.encode() + body)

    def stream(self, call: Call) -> None:
        """Send as many tokens as the request allows, one in each event."""
        key = call.headers.get("x-request-id", "")
        tokens = int(call.headers.get("x-attrs", "").partition("max_out=")[2] or 2)
        self.sock.sendall(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n"
        )
        report(event="streams", key=key, last=time.monotonic())
        for event in (*[TOKEN_EVENT] * tokens, *LAST_EVENTS):
            self.sock.sendall(b"%x\r\n%b\r\n" % (len(event), event))
            time.sleep(self.pace)
        self.sock.sendall(b"0\r\n\r\n")


def embedding(body: bytes) -> bytes:
    """Return the answer to a request for embeddings."""
    texts = json.loads(body)["input"]
    count = 1 if isinstance(texts, str) else len(texts)
    data = [{"object": "embedding", "index": n, "embedding": [0.5]} for n in range(count)]
    usage = {"prompt_tokens": count, "total_tokens": count}
    answer = {"object": "list", "model": "embed", "data": data, "usage": usage}
    return json.dumps(answer).encode()


def main() -> None:
    """Accept connections until the process is ended."""
    role, work = sys.argv[1], float(sys.argv[2])
    pace = float(sys.argv[3]) if len(sys.argv) > 3 else 0.002
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(256)
    report(event="listening", port=listener.getsockname()[1])
    while True:
        sock, _ = listener.accept()
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = EngineConnection(sock, role, work, pace)
        threading.Thread(target=connection.serve, daemon=True).start()


if __name__ == "__main__":
    main()
