"""A keyed request whose retry reaches its engine after the window for repeats has ended."""

from __future__ import annotations

import signal
import sys
import threading
import time
from pathlib import Path

from deployment import SECOND, TROUBLE, ChatAnswer, ChatRequest, Gateway, Record, chat
from deployment import settings as small_settings
from fleet import EngineGroup, EngineProcess, discovery_of, run_case

RECORD = Path(__file__).with_name("record.txt")
ENGINES = 3
WORK_S = 2.6  # until the first token; 50,000 prompt tokens at about 19,000 tokens a second
KEY_TTL_S = 3.0
HANG_FROM_S = 1.6  # after the request has arrived at its first engine
DEATH_AT_S = 2.2  # the first engine's
HANG_UNTIL_S = 4.2
SLACK_S = 0.3  # 0.05 s of the protocol page, 0.15 s for a gateway that is held up, and our own
PROMPT = "tense drums, no vocals. " * 8_400  # 201,600 characters
KEY = "9b1f03aa5c7e2d41"


def licence_settings() -> dict[str, object]:
    """Return settings in which `licence` is keyed, and the engines read and write."""
    values = small_settings(
        host_types=["decode"], family_info={"kind-role": ["both"], "kv-tokens": [205_691]}
    )
    for category in values["categories"]:
        if category["name"] == "licence":
            ttl = int(KEY_TTL_S * SECOND)
            category.update({"effect": "keyed", "group": "all", "key-ttl": ttl})
    return values


def first_run(engines: list[EngineProcess]) -> EngineProcess:
    """Wait for the request's first run; return its engine."""
    deadline = time.monotonic() + 5
    while time.monotonic() < deadline:
        for engine in engines:
            if engine.runs():
                return engine
        time.sleep(0.005)
    raise RuntimeError("no engine got the request")


def sleep_until(at: float) -> None:
    """Sleep until this monotonic time."""
    time.sleep(max(0.0, at - time.monotonic()))


def unacknowledged_bytes(port: int) -> int:
    """Return how many bytes sent to this port have not reached the engine's machine yet."""
    total = 0
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        if int(fields[2].split(":")[1], 16) == port:
            total += int(fields[4].split(":")[0], 16)
    return total


def disturb(record: Record, engines: list[EngineProcess], first: EngineProcess) -> None:
    """Let the other engines hang, kill the first one meanwhile, and let the others go on."""
    arrived_at = first.runs()[0]["last"]
    others = [engine for engine in engines if engine is not first]
    sleep_until(arrived_at + HANG_FROM_S)
    for engine in others:
        engine.process.send_signal(signal.SIGSTOP)
        record.write(f"engine {engine.uid} hangs")
    sleep_until(arrived_at + DEATH_AT_S)
    first.process.send_signal(signal.SIGKILL)
    record.write(f"engine {first.uid} dies")
    sleep_until(arrived_at + KEY_TTL_S + SLACK_S)
    for engine in others:
        unsent = unacknowledged_bytes(engine.port)
        record.write(f"window over: {unsent} bytes for {engine.uid} are still at the gateway")
    sleep_until(arrived_at + HANG_UNTIL_S)
    for engine in others:
        engine.process.send_signal(signal.SIGCONT)
        record.write(f"engine {engine.uid} goes on")


def judge(record: Record, engines: list[EngineProcess]) -> int:
    """Return 1 if the request was run again after its window, as the engines saw it."""
    runs = sorted((run["last"], engine.uid) for engine in engines for run in engine.runs())
    first_at = runs[0][0]
    late = [(at - first_at, uid) for at, uid in runs if at - first_at > KEY_TTL_S + SLACK_S]
    for at, uid in runs:
        record.write(f"run at {uid} {at - first_at:.3f} s after the first")
    if late:
        record.write(f"BROKEN: run twice; key-ttl {KEY_TTL_S} s, repeats after the window: {late}")
        return 1
    record.write("held: no run after the window for repeats")
    return 0


def play(record: Record, engines: list[EngineProcess]) -> int:
    """Send one request, with or without the disruption."""
    discovery = discovery_of(engines)
    known = {"rev": 1, "all": True, "targets": [engine.target() for engine in engines]}
    gateway = Gateway(
        record,
        {"discovery": discovery.address, "known": known, "settings": licence_settings()},
    )
    answers: list[ChatAnswer] = []

    def client() -> None:
        request = ChatRequest(KEY, "licence", PROMPT, 100, timeout_ms=15_000)
        record.write(f"client sends {KEY}, {len(request.encode())} bytes")
        answers.append(chat(gateway.address, request, 20))
        record.write(f"client got {answers[0].status} complete={answers[0].complete}")

    try:
        gateway.start()
        task = threading.Thread(target=client, daemon=True)
        task.start()
        first = first_run(engines)
        if TROUBLE:
            disturb(record, engines, first)
        task.join(25)
        time.sleep(0.5)
        if not answers or (not TROUBLE and answers[0].status != 200):
            return 2
        return judge(record, engines)
    finally:
        gateway.stop()
        discovery.close()


if __name__ == "__main__":
    groups = [EngineGroup("decode", "both", WORK_S, ENGINES)]
    sys.exit(run_case(RECORD, groups, play))
