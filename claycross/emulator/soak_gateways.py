"""The gateway processes of a soak test."""

from __future__ import annotations

import json
import pathlib
import signal
import socket
from contextlib import suppress
from typing import Any

from .fault_proxy import PortReservation
from .fault_scenario import FaultScenario, ScenarioFile
from .system_faults import SystemFaults

SOCKETS = 1024  # descriptors of each gateway
MEMORY_LIMIT_MB = 96  # of each gateway


class GatewayProcesses(FaultScenario):
    """Gateways whose system calls can fail, with an admin socket and two addresses of discovery."""

    words = ("--trace",)

    def __init__(self, folder: pathlib.Path, file: ScenarioFile, cooperation: str):
        super().__init__(folder, file, not cooperation, cooperation)
        self.shims = [SystemFaults(folder, f"g{n}") for n in range(file.gateways)]
        self.doors: list[str] = []  # addresses of the admin sockets
        self.listens: list[int] = []  # the gateways' own ports, without a proxy before them
        # The addresses of two proxies to the one discovery, for each gateway.
        self.discoveries: list[tuple[str, str]] = []
        self.deadline = 0.0  # of all classes; 0: the usual ones

    def settings(self, n: int) -> dict[str, object]:
        """Return the settings of one gateway, with the deadline of this run."""
        made: dict[str, Any] = super().settings(n)
        if self.deadline:
            spans = {"give-up": int(self.deadline * 1e9), "slo": int(self.deadline * 0.5e9)}
            made["categories"] = [category | spans for category in made["categories"]]
        return made

    def environment(self, n: int) -> dict[str, str]:
        """Return the environment that loads the library whose system calls fail."""
        return self.shims[n].environment()

    def configured(
        self, n: int, config: dict[str, object], spare: PortReservation
    ) -> dict[str, object]:
        """Return the configuration with an admin socket, limits and a second way to discovery."""
        party = self.party(n)
        lists = self.net.endpoints(party, n, self.engine_party)
        port = int(self.discovery.rpartition(":")[2])
        other = self.net.do(lambda: self.net.tcp(party, frozenset(("discovery",)), port, lists))
        self.discoveries.append((str(config["discovery"]), f"127.0.0.1:{other}"))
        self.doors.append(f"127.0.0.1:{spare.port(socket.SOCK_STREAM)}")
        self.listens.append(int(str(config["listen"]).rpartition(":")[2]))
        limits = {"sockets": SOCKETS, "memory_mb": MEMORY_LIMIT_MB}
        return config | {"admin": self.doors[n], "limits": limits}

    def reload(self, n: int) -> None:
        """Give a gateway the other address of discovery, and send SIGHUP."""
        path = self.folder / f"g{n}.json"
        config = json.loads(path.read_text())
        first, second = self.discoveries[n]
        config["discovery"] = second if config["discovery"] == first else first
        fresh = path.with_suffix(".fresh")
        fresh.write_text(json.dumps(config))
        fresh.replace(path)
        process = self.gateways[n].process
        assert process is not None, "the gateway was started"
        process.send_signal(signal.SIGHUP)

    def call(self, n: int, line: str) -> str:
        """Return the answer of a gateway's admin socket; blank if there is none."""
        host, port = self.doors[n].split(":")
        with suppress(OSError), socket.create_connection((host, int(port)), timeout=2) as sock:
            sock.sendall(line.encode() + b"\n")
            return sock.makefile("rb").readline().decode().strip()
        return ""
