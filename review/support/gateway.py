"""A gateway: the project's program, started with the command of the deploy file."""

from __future__ import annotations

import json
import os
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from pathlib import Path
from typing import Any

from support.clients import Client, ClosedError
from support.record import CaseError, Record

ROOT = Path(__file__).resolve().parents[2]
READY_TIMEOUT_S = 15.0


def free_address() -> str:
    """Return a loopback address whose port is free now."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{sock.getsockname()[1]}"


def run_command() -> str:
    """Return the command that starts a gateway."""
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))
    return str(deploy["run"])


class Gateway:
    """One gateway process."""

    def __init__(
        self, record: Record, settings: dict[str, Any], discovery: str, known: dict[str, Any]
    ) -> None:
        """Start the process; `known` is the list of engines as it had it last."""
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.address = free_address()
        config = {
            "name": "n0",
            "listen": self.address,
            "discovery": discovery,
            "seed": os.urandom(8).hex(),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": known,
            "settings": settings,
        }
        path = self.folder / "config.json"
        path.write_text(json.dumps(config), encoding="utf-8")
        state = self.folder / "tmp"
        state.mkdir()
        environment = {k: v for k, v in os.environ.items() if not k.startswith("PROXY_")}
        environment |= {
            "PROXY_NAME": "n0",
            "PROXY_LISTEN": self.address,
            "PROXY_DISCOVERY": discovery,
            "PROXY_CONFIG": str(path),
            "TMPDIR": str(state),
        }
        self.log = (self.folder / "log").open("w", encoding="utf-8")
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", run_command()],
            cwd=ROOT,
            env=environment,
            stdout=self.log,
            stderr=self.log,
        )
        record.write(f"gateway pid={self.process.pid} listen={self.address}")

    def wait_until_ready(self) -> None:
        """Wait until the gateway has answered GET /-/ready with 200."""
        deadline = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline:
            if self.process.poll() is not None:
                raise CaseError(f"the gateway ended with {self.process.returncode}")
            try:
                with Client(self.address, 1.0) as client:
                    client.send(b"GET /-/ready HTTP/1.1\r\nHost: origin.svc\r\n\r\n")
                    if client.read_head()[0] == 200:
                        self.record.write("gateway ready")
                        return
            except (OSError, ClosedError):
                pass
            time.sleep(0.05)
        raise CaseError("the gateway was not ready in time")

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self.record.write(f"gateway gets {number.name}")
        if self.process.poll() is None:
            self.process.send_signal(number)

    def end(self) -> None:
        """End the process, add its log to the record and remove its files."""
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self.log.close()
        for line in (self.folder / "log").read_text(encoding="utf-8").splitlines()[-40:]:
            self.record.write(f"gateway's log: {line}")
        shutil.rmtree(self.folder, ignore_errors=True)
