"""Embeddings clients that send several commands at once, more than may be open."""

from __future__ import annotations

import json
import re
import socket
import sys
import threading
import time
from pathlib import Path

from deployment import ROOT, TROUBLE, Gateway, Record, free_port
from deployment import settings as small_settings
from fleet import EngineGroup, EngineProcess, discovery_of, run_case

CLIENTS = 40  # of 96 connections that the deploy file allows; 32 requests may be open
COMMANDS = 3  # of each client
WORK_S = 0.4  # of an engine for one request
ENGINES = 2
WAIT_S = 12.0  # over the class's deadline of 5 s and half a second


class EmbeddingsClient:
    """One connection; it counts what it sent and which answers came."""

    def __init__(self, number: int, address: tuple[str, int], record: Record):
        self.number = number
        self.address = address
        self.record = record
        self.statuses: list[int] = []
        self.sent = 0
        self.ended_by_gateway = False
        self.reset = False
        self.announced_close = False
        self.buffer = b""

    def command(self, index: int) -> bytes:
        """Return one command."""
        body = json.dumps({"model": "embed", "input": f"track {self.number}-{index}"}).encode()
        head = (
            "POST /v1/embeddings HTTP/1.1\r\nHost: origin.svc\r\nX-Timeout-Ms: 5000\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        return head.encode() + body

    def run(self) -> None:
        """Send the commands, at once or one after the other, and read the answers."""
        commands = [self.command(index) for index in range(COMMANDS)]
        batches = [b"".join(commands)] if TROUBLE else commands
        with socket.create_connection(self.address, timeout=WAIT_S) as sock:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            try:
                for batch in batches:
                    sock.sendall(batch)
                    self.sent += len(commands) // len(batches)
                    while len(self.statuses) < self.sent and self.receive(sock):
                        pass
                    if self.ended_by_gateway:
                        break
            except ConnectionError:
                self.ended_by_gateway = self.reset = True
            except TimeoutError:
                pass
        self.record.write(
            f"client {self.number} sent {self.sent} answers {self.statuses} "
            f"ended-by-gateway={self.ended_by_gateway} reset={self.reset} "
            f"announced={self.announced_close}"
        )

    def receive(self, sock: socket.socket) -> bool:
        """Read more of the answers; return False at the end of the connection."""
        data = sock.recv(65536)
        if not data:
            self.ended_by_gateway = True
            return False
        self.buffer += data
        while found := re.search(rb"\AHTTP/1\.1 (\d+).*?\r\n\r\n", self.buffer, re.DOTALL):
            length = re.search(rb"(?i)content-length: (\d+)", found[0])
            end = found.end() + (int(length[1]) if length else 0)
            if len(self.buffer) < end:
                break
            self.statuses.append(int(found[1]))
            self.announced_close |= b"connection: close" in found[0].lower()
            self.buffer = self.buffer[end:]
        return True


def judge(record: Record, clients: list[EmbeddingsClient]) -> int:
    """Return 1 if the gateway ended a connection on which a command had no answer."""
    sent = sum(client.sent for client in clients)
    statuses = [status for client in clients for status in client.statuses]
    lost = {
        client.number: client.sent - len(client.statuses)
        for client in clients
        if len(client.statuses) < client.sent
    }
    counts = {status: statuses.count(status) for status in sorted(set(statuses))}
    record.write(f"commands sent {sent}, answered {len(statuses)}: {counts}")
    if lost:
        record.write(f"BROKEN: {sum(lost.values())} commands without an answer, by client: {lost}")
        return 1
    record.write("held: every command got its answer")
    return 0


def play(record: Record, engines: list[EngineProcess]) -> int:
    """Start the gateway and let all clients send at the same moment."""
    discovery = discovery_of(engines)
    known = {"rev": 1, "all": True, "targets": [engine.target() for engine in engines]}
    gateway = Gateway(
        record,
        {"discovery": discovery.address, "known": known, "settings": small_settings()},
    )
    port = free_port()
    deployed = (ROOT / "deploy" / "embeddings.toml").read_text()
    gateway.options = " --embeddings " + gateway.write_file(
        "embeddings.toml", deployed.replace("127.0.0.1:8100", f"127.0.0.1:{port}")
    )
    try:
        gateway.start()
        time.sleep(0.5)
        clients = [EmbeddingsClient(n, ("127.0.0.1", port), record) for n in range(CLIENTS)]
        tasks = [threading.Thread(target=client.run) for client in clients]
        for task in tasks:
            task.start()
        for task in tasks:
            task.join(WAIT_S * COMMANDS)
        return judge(record, clients)
    finally:
        gateway.stop()
        discovery.close()


if __name__ == "__main__":
    groups = [EngineGroup("embed", "embed", WORK_S, ENGINES)]
    sys.exit(run_case(Path(__file__).resolve().parent, groups, play))
