"""A planned restart while an engine hangs in the midst of streams taken during the shutdown."""

from __future__ import annotations

import signal
import socket
import sys
import threading
import time
from pathlib import Path

from deployment import TROUBLE, ChatRequest, Gateway, Record, is_complete
from deployment import settings as small_settings
from fleet import EngineGroup, EngineProcess, discovery_of, run_case

RECORD = Path(__file__).with_name("record.txt")
READERS, WRITERS = 2, 2
CLIENTS = 8
CONNECT_AT_S = 0.2  # after SIGTERM; the page: new connections arrive for 0.2 to 0.4 s
SEND_AT_S = 0.9  # over 0.7 s after SIGTERM
HANG_AT_S = 1.2  # one of the four engines
KILL_AT_S = 3.7  # 3 s, as the longest deadline counts, and 0.7 s
MAX_OUT = 12  # tokens
PACE_S = 0.05  # of an engine for a token; the class's aim is 0.06 s
EXCUSED_S = 0.7  # requests that came earlier are excused


class Client:
    """One client, which connects during the restart and sends its request a little later."""

    def __init__(self, number: int, address: tuple[str, int]):
        self.key = f"{number + 1:016x}"
        self.address = address
        self.sent_at = 0.0
        self.ended_at = 0.0  # the answer, or the connection
        self.status = 0
        self.complete = False

    def run(self, terminated_at: float, record: Record) -> None:
        """Connect, send, and read to the end."""
        data = b""
        sleep_until(terminated_at + CONNECT_AT_S)
        try:
            with socket.create_connection(self.address, timeout=10) as sock:
                sleep_until(terminated_at + SEND_AT_S)
                request = ChatRequest(self.key, "browse", "tense drums " * 60, MAX_OUT)
                sock.sendall(request.encode())
                self.sent_at = time.monotonic()
                while not self.complete and (part := sock.recv(65536)):
                    data += part
                    self.complete = is_complete(data)
        except OSError as error:
            record.write(f"client {self.key}: {type(error).__name__}")
        self.ended_at = time.monotonic()
        if data.startswith(b"HTTP/1.1 "):
            self.status = int(data[9:12])
        record.write(
            f"client {self.key} got {self.status} complete={self.complete} "
            f"events={data.count(b'data: ')}"
        )


def sleep_until(at: float) -> None:
    """Sleep until this monotonic time."""
    time.sleep(max(0.0, at - time.monotonic()))


def judge(record: Record, clients: list[Client], terminated_at: float, killed_at: float) -> int:
    """Return 1 if SIGKILL has found a request without its whole answer that is not excused."""
    lost = [
        client.key
        for client in clients
        if client.sent_at > terminated_at + EXCUSED_S
        and not client.complete
        and killed_at
        and client.ended_at >= killed_at
    ]
    record.write(f"{sum(client.complete for client in clients)} of {len(clients)} answered")
    if lost:
        record.write(f"BROKEN: SIGKILL found {len(lost)} requests under way: {lost}")
        return 1
    record.write("held: SIGKILL found no request under way")
    return 0


def play(record: Record, engines: list[EngineProcess]) -> int:
    """Restart the gateway as the platform does, and let a writer hang meanwhile."""
    discovery = discovery_of(engines)
    known = {"rev": 1, "all": True, "targets": [engine.target() for engine in engines]}
    gateway = Gateway(
        record,
        {"discovery": discovery.address, "known": known, "settings": small_settings()},
    )
    try:
        gateway.start()
        time.sleep(0.5)
        assert gateway.process is not None
        terminated_at = time.monotonic()
        gateway.process.send_signal(signal.SIGTERM)
        record.write("SIGTERM")
        clients = [Client(number, gateway.address) for number in range(CLIENTS)]
        tasks = [
            threading.Thread(target=client.run, args=(terminated_at, record), daemon=True)
            for client in clients
        ]
        for task in tasks:
            task.start()
        sleep_until(terminated_at + HANG_AT_S)
        if TROUBLE:
            engines[-1].process.send_signal(signal.SIGSTOP)
            record.write(f"engine {engines[-1].uid} hangs")
        sleep_until(terminated_at + KILL_AT_S)
        killed_at = 0.0
        if gateway.process.poll() is None:
            killed_at = time.monotonic()
            gateway.process.send_signal(signal.SIGKILL)
            record.write("SIGKILL")
        else:
            record.write("the gateway has ended before SIGKILL")
        for task in tasks:
            task.join(12)
        return judge(record, clients, terminated_at, killed_at)
    finally:
        gateway.stop()
        discovery.close()


if __name__ == "__main__":
    groups = [
        EngineGroup("prefill", "read", 0.03, READERS),
        EngineGroup("decode", "write", 0.03, WRITERS, PACE_S),
    ]
    sys.exit(run_case(RECORD, groups, play))
