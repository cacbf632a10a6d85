"""A client that sends many requests at once and goes, and what is begun for it afterwards."""

from __future__ import annotations

import socket
import sys
import time
from pathlib import Path

from deployment import TROUBLE, ChatRequest, Gateway, Record
from deployment import settings as small_settings
from fleet import EngineGroup, EngineProcess, discovery_of, run_case

RECORD = Path(__file__).with_name("record.txt")
READERS, WRITERS = 2, 2
READ_S = 1.0  # of a reader for a prompt
FOLLOW_AT_S = 0.3  # after the `licence` request
FOLLOWING = 400  # small requests
ALLOWED_S = 0.1  # after the client has closed
SLACK_S = 0.3  # 0.05 s of the protocol page, 0.15 s for a gateway that is held up, and our own
KEY = "9b1f03aa5c7e2d41"
PROMPT = "tense drums, no vocals. " * 200


def send_and_go(address: tuple[str, int], record: Record) -> float:
    """Send a `licence` request, then many small ones, and close; return when it was closed."""
    licence = ChatRequest(KEY, "licence", PROMPT, 50, timeout_ms=15_000)
    following = b"".join(
        ChatRequest(f"{number + 1:016x}", "browse", "quiet piano " * 150, 20).encode()
        for number in range(FOLLOWING)
    )
    sock = socket.create_connection(address, timeout=10)
    sock.sendall(licence.encode())
    record.write(f"client sends {KEY}")
    time.sleep(FOLLOW_AT_S)
    if TROUBLE:
        sock.sendall(following)
        record.write(f"client sends {FOLLOWING} requests, {len(following)} bytes")
    sock.close()
    record.write("client closes its connection")
    return time.monotonic()


def judge(record: Record, engines: list[EngineProcess], closed_at: float) -> int:
    """Return 1 if an engine got the request, whole, later than the rule allows."""
    runs = sorted(
        (run["first"] - closed_at, engine.uid)
        for engine in engines
        for run in engine.runs()
        if run["key"] == KEY
    )
    for seconds, uid in runs:
        record.write(f"attempt at {uid} {seconds:+.3f} s after the close")
    late = [(seconds, uid) for seconds, uid in runs if seconds > ALLOWED_S + SLACK_S]
    if late:
        record.write(f"BROKEN: {len(late)} attempts began after the client had gone: {late}")
        return 1
    record.write("held: no attempt began after the client had gone")
    return 0


def play(record: Record, engines: list[EngineProcess]) -> int:
    """Let the client send and go, and look at the engines for some seconds."""
    discovery = discovery_of(engines)
    known = {"rev": 1, "all": True, "targets": [engine.target() for engine in engines]}
    gateway = Gateway(
        record,
        {"discovery": discovery.address, "known": known, "settings": small_settings()},
    )
    try:
        gateway.start()
        time.sleep(0.5)
        closed_at = send_and_go(gateway.address, record)
        time.sleep(6)
        return judge(record, engines, closed_at)
    finally:
        gateway.stop()
        discovery.close()


if __name__ == "__main__":
    groups = [
        EngineGroup("prefill", "read", READ_S, READERS),
        EngineGroup("decode", "write", 0.05, WRITERS),
    ]
    sys.exit(run_case(RECORD, groups, play))
