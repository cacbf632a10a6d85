"""Clients that send much at once in small chunks, and the memory that the gateway may use."""

from __future__ import annotations

import signal
import socket
import sys
import threading
import time
from pathlib import Path

from deployment import TROUBLE, ChatAnswer, ChatRequest, Gateway, Record, chat
from deployment import settings as small_settings
from fleet import EngineGroup, EngineProcess, discovery_of, run_case

RECORD = Path(__file__).with_name("record.txt")
MEMORY_MB = 192  # the page: "at most 192 MB and 1,024 descriptors"
SOCKETS = 1024
BAD_CLIENTS = 60  # the page: "many bad clients, also such that send much at once and go"
BODY_BYTES = 255 * 1024  # of each bad client's request; the page allows 256 KiB
CHUNK = b"ab"  # of its body
READERS, WRITERS = 3, 3
LOAD_S = 70.0 if TROUBLE else 30.0
LOAD_INTERVAL_S = 0.2  # between two requests of the good clients
TROUBLE_AT_S = 3.0
WAIT_S = 9.0  # of a good client, over the class's 6 s


def chunked_request(number: int) -> bytes:
    """Return a whole chat request whose body comes in small chunks."""
    head = (
        "POST /v1/chat/completions HTTP/1.1\r\nHost: origin.svc\r\n"
        f"X-Request-ID: bad{number:013x}\r\nX-Priority-Class: browse\r\n"
        "X-Timeout-Ms: 6000\r\nX-Attrs: prompt_len=60000,prefix_len=0,max_out=50\r\n"
        "Transfer-Encoding: chunked\r\n\r\n"
    )
    chunk = b"%x\r\n%b\r\n" % (len(CHUNK), CHUNK)
    return head.encode() + chunk * (BODY_BYTES // len(CHUNK)) + b"0\r\n\r\n"


class Platform(threading.Thread):
    """Kills the gateway when it is over its limit on memory, as the deployment page says."""

    def __init__(self, gateway: Gateway, record: Record):
        super().__init__(daemon=True)
        self.gateway = gateway
        self.record = record
        self.peak = 0.0
        self.killed = False
        self.done = False

    def run(self) -> None:
        """Look at the process twenty times a second."""
        last_line_at = 0.0
        while not self.done and not self.killed:
            used = self.gateway.anonymous_memory_mb()
            self.peak = max(self.peak, used)
            if time.monotonic() - last_line_at > 0.5:
                last_line_at = time.monotonic()
                self.record.write(f"memory {used:.1f} MB")
            if used > MEMORY_MB:
                self.killed = True
                self.record.write(f"memory {used:.1f} MB, over {MEMORY_MB} MB: killed")
                self.gateway.process.send_signal(signal.SIGKILL)
            time.sleep(0.05)


class GoodClients:
    """A steady load of chat requests."""

    def __init__(self, address: tuple[str, int], record: Record):
        self.address = address
        self.record = record
        self.answers: list[ChatAnswer] = []
        self.tasks: list[threading.Thread] = []

    def send(self, number: int) -> None:
        """Send one request and record its answer."""
        class_name = "licence" if number % 3 == 0 else "browse"
        request = ChatRequest(f"{number:016x}", class_name, "tense drums " * 60, 50)
        answer = chat(self.address, request, WAIT_S)
        self.answers.append(answer)
        self.record.write(
            f"client {number:016x} got {answer.status} complete={answer.complete} {answer.error}"
        )

    def run(self, platform: Platform) -> None:
        """Send requests at a fixed rate until the gateway is killed, and wait for the answers."""
        for number in range(int(LOAD_S / LOAD_INTERVAL_S)):
            if platform.killed:
                break
            self.tasks.append(threading.Thread(target=self.send, args=(number,), daemon=True))
            self.tasks[-1].start()
            time.sleep(LOAD_INTERVAL_S)
        for task in self.tasks:
            task.join(WAIT_S)


def bad_client(address: tuple[str, int], number: int, record: Record) -> None:
    """Send one request as fast as the gateway takes it, and go."""
    try:
        with socket.create_connection(address, timeout=60) as sock:
            sock.sendall(chunked_request(number))
            record.write(f"bad client {number} has sent everything")
            sock.recv(1024)
    except OSError as error:
        record.write(f"bad client {number}: {type(error).__name__}")


def play(record: Record, engines: list[EngineProcess]) -> int:
    """Put a steady load on the gateway, and the bad clients beside it."""
    discovery = discovery_of(engines)
    known = {"rev": 1, "all": True, "targets": [engine.target() for engine in engines]}
    gateway = Gateway(
        record,
        {
            "discovery": discovery.address,
            "known": known,
            "settings": small_settings(),
            "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS},
        },
    )
    try:
        gateway.start()
        platform = Platform(gateway, record)
        platform.start()
        clients = GoodClients(gateway.address, record)
        load = threading.Thread(target=clients.run, args=(platform,), daemon=True)
        load.start()
        time.sleep(TROUBLE_AT_S)
        for number in range(BAD_CLIENTS if TROUBLE else 0):
            task = (gateway.address, number, record)
            threading.Thread(target=bad_client, args=task, daemon=True).start()
        load.join()
        platform.done = True
        served = sum(answer.complete for answer in clients.answers)
        record.write(f"peak {platform.peak:.1f} MB; {served} of {len(clients.answers)} answered")
        if platform.killed or gateway.process.poll() is not None:
            record.write("BROKEN: the gateway went over its limit on memory and was killed")
            return 1
        record.write("held: the gateway stayed within its limit")
        return 0
    finally:
        gateway.stop()
        discovery.close()


if __name__ == "__main__":
    groups = [
        EngineGroup("prefill", "read", 0.05, READERS),
        EngineGroup("decode", "write", 0.1, WRITERS),
    ]
    sys.exit(run_case(RECORD, groups, play))
