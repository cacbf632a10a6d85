"""Starts a gateway with the deploy file's command, and records what a case sees."""

from __future__ import annotations

import contextlib
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from pathlib import Path
from typing import Any, NamedTuple

ROOT = Path(__file__).resolve().parents[2]
SECOND = 1_000_000_000  # ns
MS = 1_000_000  # ns
# Makes a descriptor the third, then becomes the given command, as the platform does on upgrades.
PASS_SOCKET = "import os, sys; os.dup2(int(sys.argv[1]), 3); os.execv(sys.argv[2], sys.argv[2:])"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def settings(**changes: Any) -> dict[str, Any]:
    """Return the settings of a small deployment, with these top-level keys updated."""
    values: dict[str, Any] = {
        "balancers": 1,
        "me": 0,
        "tick": 4 * MS,
        "zone": "kigali",
        "zones": ["kigali", "huye", "musanze"],
        "membership-mode": "push",
        "family": "twostage",
        "categories": [
            {
                "name": "browse",
                "effect": "safe",
                "group": "all",
                "importance": 1.0,
                "slo": 1_500 * MS,
                "give-up": 6 * SECOND,
                "key-ttl": 5 * SECOND,
                "late-worth": 0.3,
                "streaming": True,
            },
            {
                "name": "licence",
                "effect": "unsafe",
                "group": "all",
                "importance": 2.0,
                "slo": 3 * SECOND,
                "give-up": 15 * SECOND,
                "key-ttl": 5 * SECOND,
                "late-worth": 0.2,
                "streaming": True,
            },
        ],
        "host-types": ["prefill", "decode"],
        "tenants": [],
        "report": {"columns": [], "how": "off"},
        "family-info": {
            "kind-role": ["read", "write"],
            "kv-tokens": [193_925, 205_691],
            "release-within": 300 * MS,
            "aim-us-per-1000-prompt-tokens": [40_000.0, 40_000.0],
            "token-aim": [60 * MS, 80 * MS],
            "may-reserve": True,
            "writers-read": False,
            "resume": False,
        },
        "permissions": {
            "conn-idle": 15 * SECOND,
            "dial-timeout": 250 * MS,
            "max-retry-after": SECOND,
            "may-cancel": True,
            "may-duplicate": False,
            "may-probe": True,
            "peers": False,
            "retry-after": True,
            "send-cap": 5,
        },
        "safety": {
            "answer-slack": 16 * MS,
            "ask-within": 10 * SECOND,
            "cold-from": 0.26,
            "fall": 3 * SECOND,
            "fall-multiple": 4.0,
            "stop-sending-within": 250 * MS,
            "warm-after": 12 * SECOND,
        },
    }
    for key, change in changes.items():
        name = key.replace("_", "-")
        if isinstance(change, dict):
            values[name] |= change
        else:
            values[name] = change
    return values


def free_port() -> int:
    """Return a loopback port that was free a moment ago."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        port: int = sock.getsockname()[1]
        return port


class Record:
    """Writes the lines of a case's `record.txt`, with the seconds since the start."""

    def __init__(self, path: Path):
        self.file = path.open("w", encoding="utf-8")
        self.lock = threading.Lock()
        self.started_at = time.monotonic()
        self.write(f"trouble={int(TROUBLE)}")

    def write(self, text: str, at: float | None = None) -> None:
        """Write one line; `at`: the monotonic time that it is about, now if left out."""
        seconds = (time.monotonic() if at is None else at) - self.started_at
        with self.lock:
            if not self.file.closed:
                self.file.write(f"{seconds:8.3f} {text}\n")
                self.file.flush()

    def close(self) -> None:
        """Close the file."""
        with self.lock:
            self.file.close()


class Gateway:
    """One gateway process, started by the `run` command of the deploy file."""

    def __init__(
        self,
        record: Record,
        config: dict[str, Any],
        options: str = "",
        passed: socket.socket | None = None,
    ):
        """Prepare a process; `passed`: the clients' listening socket, where the platform has it."""
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="claycross-review-"))
        self.config = {
            "name": "n0",
            "listen": f"127.0.0.1:{free_port()}",
            "seed": f"{time.time_ns():x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            **config,
        }
        if passed is not None:
            self.config["listen"] = "{}:{}".format(*passed.getsockname())
        self.options = options
        self.passed = passed
        self.state_folder = self.folder / "tmp"
        self.admin = "" if passed is None else f"127.0.0.1:{free_port()}"
        self.address: tuple[str, int] = ("127.0.0.1", int(self.config["listen"].split(":")[1]))
        self.process: subprocess.Popen[bytes] | None = None

    def write_file(self, name: str, text: str) -> str:
        """Write a configuration file into the gateway's folder; return its path."""
        path = self.folder / name
        path.write_text(text, encoding="utf-8")
        return str(path)

    def start(self) -> None:
        """Start the process and wait until it can serve."""
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        command += self.options
        config_path = self.write_file("config.json", json.dumps(self.config))
        self.state_folder.mkdir(exist_ok=True)
        environment = {k: v for k, v in os.environ.items() if not k.startswith("PROXY_")}
        environment |= {
            "PROXY_CONFIG": config_path,
            "PROXY_NAME": self.config["name"],
            "PROXY_LISTEN": self.config["listen"],
            "PROXY_DISCOVERY": self.config["discovery"],
            "TMPDIR": str(self.state_folder),
        }
        arguments = ["/bin/sh", "-c", command]
        descriptors: tuple[int, ...] = ()
        if self.passed is not None:
            descriptors = (self.passed.fileno(),)
            arguments = [sys.executable, "-c", PASS_SOCKET, str(descriptors[0]), *arguments]
            environment |= {"PROXY_PASSED_SOCKET": "3", "PROXY_ADMIN": self.admin}
        with (self.folder / "log").open("wb") as log:
            self.process = subprocess.Popen(
                arguments,
                cwd=ROOT,
                env=environment,
                pass_fds=descriptors,
                stdout=log,
                stderr=log,
            )
        deadline = time.monotonic() + 20
        while not self.is_ready():
            if time.monotonic() > deadline or self.process.poll() is not None:
                raise RuntimeError(f"the gateway does not start: {self.log()[-500:]}")
            time.sleep(0.05)
        self.record.write("gateway ready")

    def is_ready(self) -> bool:
        """Return whether this process says that it can serve."""
        try:
            if self.admin:
                return self.call("check").startswith("ok")
            with socket.create_connection(self.address, timeout=1) as sock:
                sock.sendall(b"GET /-/ready HTTP/1.1\r\nHost: o\r\nConnection: close\r\n\r\n")
                return sock.recv(64).startswith(b"HTTP/1.1 200")
        except OSError:
            return False

    def call(self, line: str) -> str:
        """Make one call at the operators' door; return its reply."""
        host, _, port = self.admin.rpartition(":")
        with socket.create_connection((host, int(port)), timeout=1) as sock:
            sock.sendall(line.encode() + b"\n")
            reply = b""
            while data := sock.recv(65536):
                reply += data
        return reply.decode()

    def log(self) -> str:
        """Return the gateway's log."""
        return (self.folder / "log").read_text(errors="replace")

    def anonymous_memory_mb(self) -> float:
        """Return the memory that the process has for itself alone, in MB; 0 if it has ended."""
        try:
            status = Path(f"/proc/{self.pid}/status").read_text()
        except OSError:
            return 0.0
        found = re.search(r"RssAnon:\s+(\d+) kB", status)
        return int(found[1]) * 1024 / 1e6 if found else 0.0

    @property
    def pid(self) -> int:
        """The id of the process."""
        assert self.process is not None
        return self.process.pid

    def stop(self) -> None:
        """End the process and remove its folder."""
        if self.process is not None:
            if self.process.poll() is None:
                self.process.send_signal(signal.SIGKILL)
            self.process.wait()
        for line in self.log().splitlines() if (self.folder / "log").exists() else []:
            if "stats" not in line:
                shown = line.replace(str(self.state_folder), "TMPDIR")
                self.record.write(f"gateway log: {shown[:300]}")
        shutil.rmtree(self.folder, ignore_errors=True)


class ChatAnswer:
    """What a client got for one chat request."""

    def __init__(self) -> None:
        self.status = 0  # 0: the connection ended without an answer
        self.complete = False
        self.body = b""
        self.error = ""


class ChatRequest(NamedTuple):
    """A chat request in the platform's form."""

    key: str
    class_name: str
    prompt: str
    max_out: int  # tokens
    timeout_ms: int = 6000
    session: str = ""  # the key, if blank
    prefix: str = ""

    def encode(self) -> bytes:
        """Return the request's bytes."""
        body = json.dumps(
            {
                "model": "chat",
                "stream": True,
                "max_tokens": self.max_out,
                "messages": [{"role": "user", "content": self.prompt}],
            }
        ).encode()
        tokens = max(1, len(self.prompt) // 4)
        shared = f"prefix={self.prefix},prefix_len={tokens}" if self.prefix else "prefix_len=0"
        head = (
            "POST /v1/chat/completions HTTP/1.1\r\nHost: origin.svc\r\n"
            f"X-Request-ID: {self.key}\r\nX-Priority-Class: {self.class_name}\r\n"
            f"X-Route-Key: {self.session or self.key}\r\nX-Timeout-Ms: {self.timeout_ms}\r\n"
            f"X-Attrs: {shared},prompt_len={tokens},max_out={self.max_out}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        return head.encode() + body


def chat(address: tuple[str, int], request: ChatRequest, wait: float) -> ChatAnswer:
    """Send one request on a new connection and read its answer to the end."""
    answer = ChatAnswer()
    data = b""
    try:
        with socket.create_connection(address, timeout=wait) as sock:
            sock.sendall(request.encode())
            while part := sock.recv(65536):
                data += part
                if is_complete(data):
                    answer.complete = True
                    break
    except OSError as error:
        answer.error = type(error).__name__
    if data.startswith(b"HTTP/1.1 "):
        answer.status = int(data[9:12])
        answer.body = data.partition(b"\r\n\r\n")[2]
    return answer


def is_complete(data: bytes) -> bool:
    """Return whether the bytes hold a whole response."""
    head, separator, body = data.partition(b"\r\n\r\n")
    if not separator:
        return False
    lengths = re.search(rb"(?i)content-length: (\d+)", head)
    if lengths:
        return len(body) >= int(lengths[1])
    return body.endswith(b"0\r\n\r\n")


def end_process(process: subprocess.Popen[Any]) -> None:
    """End a process that this script has started."""
    with contextlib.suppress(OSError):
        process.send_signal(signal.SIGCONT)
        process.send_signal(signal.SIGKILL)
    process.wait()
