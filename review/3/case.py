"""A request that came 1.5 s after SIGTERM is streamed until SIGKILL cuts it off.

Its client connects 0.3 s after SIGTERM and writes slowly. The answer is an ordinary one of 90
tokens; clients of this deployment don't resume streams.
"""

from __future__ import annotations

import signal
import socket
import threading
import time
from pathlib import Path
from typing import NamedTuple

from support.clients import Client, ClosedError, chat_request
from support.gateway import Gateway
from support.record import CaseError, Record, run_case
from support.servers import READER_KIND, WRITER_KIND, Discovery, Engine, Request, stream
from support.settings import fukuoka_points

CONNECTS_AT_S = 0.3  # PROTOCOL: new connections keep arriving for 0.2 to 0.4 s after SIGTERM
WRITES_FOR_S = 1.2  # DAYS: some need 2 s to write
PIECES = 12
BINDS_AFTER_S = 0.7  # requests that come later must not be under way at SIGKILL
COUNTED_DEADLINE_S = 3.0
KILL_AFTER_S = COUNTED_DEADLINE_S + 0.7
KILL_MARGIN_S = 0.1  # "no sooner than": this case kills a little later
EVENTS = 45  # of two tokens each: 90 tokens, in the middle of the answers of member-chat
EVENT_INTERVAL_S = 0.14  # at the pace of the site: 70 ms for each token
TIMEOUT_MS = 10_000
CLIENT_WAIT_S = 20.0


class Outcome(NamedTuple):
    """What the client met."""

    last_byte_at: float
    text: str
    is_final: bool


def ordinary_stream(sock: socket.socket, request: Request) -> None:
    """Send an answer of an ordinary length at the ordinary pace."""
    stream(sock, request, EVENTS, EVENT_INTERVAL_S)


def ask_slowly(record: Record, gateway: Gateway, key: str) -> Outcome:
    """Send a request in pieces on a new connection, and read its answer."""
    data = chat_request(key, "member-chat", TIMEOUT_MS, key)
    last_byte_at = 0.0
    try:
        with Client(gateway.address, CLIENT_WAIT_S) as client:
            record.write(f"client connected for {key}")
            step = -(-len(data) // PIECES)
            for start in range(0, len(data), step):
                time.sleep(WRITES_FOR_S / PIECES)
                client.send(data[start : start + step])
            last_byte_at = record.now()
            record.write(f"client wrote the last byte of {key}")
            answer = client.read_answer()
    except (OSError, ClosedError) as error:
        text = f"{type(error).__name__} {error}"
        record.write(f"client {key} got no answer: {text}")
        return Outcome(last_byte_at, text, False)
    events = answer.body.count(b'"content"')
    text = f"{answer.status} with {events} events, complete={answer.complete}"
    record.write(f"client {key} got {text}")
    return Outcome(last_byte_at, text, answer.complete)


def end_process(record: Record, gateway: Gateway) -> float:
    """Send SIGTERM now, and SIGKILL later from a thread; return when SIGTERM was sent."""
    gateway.signal(signal.SIGTERM)
    terminated_at = record.now()

    def kill() -> None:
        time.sleep(KILL_AFTER_S + KILL_MARGIN_S)
        if gateway.process.poll() is None:
            gateway.signal(signal.SIGKILL)
        else:
            record.write(f"gateway has ended with {gateway.process.returncode}")

    threading.Thread(target=kill, daemon=True).start()
    return terminated_at


def play(record: Record, trouble: bool) -> list[str]:
    """Play the case; return the breaches of the rule."""
    engines = [Engine(record, f"prefill-{n}", READER_KIND) for n in range(2)]
    engines += [Engine(record, f"decode-{n}", WRITER_KIND, ordinary_stream) for n in range(2)]
    discovery = Discovery(record)
    for engine in engines:
        engine.start()
        discovery.targets[engine.uid] = engine.target()
    discovery.start()
    gateway = Gateway(record, fukuoka_points(), discovery.address, discovery.message())
    try:
        gateway.wait_until_ready()
        if not ask_slowly(record, gateway, "a000000000000000").is_final:
            raise CaseError("the fleet does not serve")
        terminated_at = end_process(record, gateway) if trouble else record.now()
        time.sleep(CONNECTS_AT_S)
        outcome = ask_slowly(record, gateway, "c000000000000001")
        came_after = outcome.last_byte_at - terminated_at
        if trouble and not (BINDS_AFTER_S < came_after < KILL_AFTER_S):
            raise CaseError(f"the request was written {came_after:.2f} s after SIGTERM")
        if outcome.is_final:
            return []
        return [f"lost: came {came_after:.2f} s after SIGTERM, client got {outcome.text}"]
    finally:
        gateway.end()


if __name__ == "__main__":
    run_case(Path(__file__).with_name("record.txt"), play)
