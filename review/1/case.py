"""One answer of an engine never ends: the other requests of the gateway stay without an answer.

The spoilt answer consists of valid events, written as fast as the connection takes them, and its
client reads them as they come. Meanwhile other clients send ordinary requests.
"""

from __future__ import annotations

import multiprocessing
import os
import socket
import threading
import time
from dataclasses import dataclass
from pathlib import Path

from support.clients import Client, ClosedError, chat_request
from support.gateway import Gateway
from support.record import CaseError, Record, run_case
from support.servers import (
    READER_KIND,
    WRITER_KIND,
    Discovery,
    Engine,
    Request,
    begin_stream,
    chunk,
    event,
    short_stream,
    stream,
)
from support.settings import inanga_chat

SPOILT_SESSION = "spoilt"
EVENTS_PER_WRITE = 500
SPOILT_FOR_S = 12.0  # then the client of the spoilt answer leaves
REQUESTS = 20
REQUEST_INTERVAL_S = 0.25
TIMEOUT_MS = 3000
LATE_S = 0.5  # STANDING: up to half a second after its time a request only earns nothing
MEASURING_S = 0.25  # for this script, beyond all bounds of the rule
CLIENT_WAIT_S = 14.0
READ_BYTES = 1 << 20


def endless_stream(sock: socket.socket, request: Request) -> None:
    """Send events of the request's answer without an end."""
    begin_stream(sock, "text/event-stream")
    block = chunk(event(f"{request.key}/more ")) * EVENTS_PER_WRITE
    while True:
        sock.sendall(block)


def long_stream(sock: socket.socket, request: Request) -> None:
    """Send a stream of 200 events at the usual pace."""
    stream(sock, request, 200, 0.06)


@dataclass
class Outcome:
    """What a client met."""

    key: str
    sent_at: float = 0.0
    begun_at: float = 0.0  # 0: no answer began
    result: str = "nothing"


def make_engines(record: Record, trouble: bool) -> list[Engine]:
    """Return two readers and two writers."""

    def answer(sock: socket.socket, request: Request) -> None:
        if request.headers.get("x-route-key") != SPOILT_SESSION:
            short_stream(sock, request)
        elif trouble:
            record.write(f"the answer to {request.key} is spoilt: it never ends")
            endless_stream(sock, request)
        else:
            long_stream(sock, request)

    readers = [Engine(record, f"prefill-{n}", READER_KIND) for n in range(2)]
    return readers + [Engine(record, f"decode-{n}", WRITER_KIND, answer) for n in range(2)]


def serve_engines(engines: list[Engine]) -> None:
    """Serve in a process of its own, until that is ended or the script is."""
    script = os.getppid()
    for engine in engines:
        engine.start()
    while os.getppid() == script:
        time.sleep(1)


def ask(record: Record, gateway: Gateway, outcome: Outcome) -> None:
    """Send one request on a new connection and read its answer."""
    try:
        with Client(gateway.address, CLIENT_WAIT_S) as client:
            client.send(chat_request(outcome.key, "browse", TIMEOUT_MS, outcome.key))
            outcome.sent_at = record.now()
            record.write(f"client sent {outcome.key}")
            client.file.peek(1)
            outcome.begun_at = record.now()
            answer = client.read_answer()
            outcome.result = f"{answer.status} complete={answer.complete}"
    except (OSError, ClosedError) as error:
        outcome.result = f"{type(error).__name__} {error}"
    waited = record.now() - outcome.sent_at
    record.write(f"client {outcome.key} got {outcome.result} after {waited:.2f} s")


def read_spoilt(record: Record, gateway: Gateway) -> None:
    """Send the request whose answer is spoilt, read what comes, and leave after a while."""
    received = 0
    with Client(gateway.address, 1.0) as client:
        client.send(chat_request("5b01700000000001", "browse", 6000, SPOILT_SESSION))
        record.write("client sent 5b01700000000001, which it reads as it comes")
        until = time.monotonic() + SPOILT_FOR_S
        while time.monotonic() < until:
            try:
                data = client.sock.recv(READ_BYTES)
            except TimeoutError:
                continue
            if not data:
                break
            received += len(data)
    record.write(f"client 5b01700000000001 left after {received} bytes")


def check_readiness(record: Record, gateway: Gateway) -> None:
    """Record whether the gateway still answers the platform's readiness check."""
    try:
        with Client(gateway.address, 2.0) as client:
            client.send(b"GET /-/ready HTTP/1.1\r\nHost: origin.svc\r\n\r\n")
            record.write(f"in the end GET /-/ready is answered {client.read_head()[0]}")
    except (OSError, ClosedError) as error:
        record.write(f"in the end GET /-/ready is not answered within 2 s: {error}")


def breaches_of(outcomes: list[Outcome]) -> list[str]:
    """Return the requests that got no final answer in time."""
    bound = TIMEOUT_MS / 1000 + LATE_S + MEASURING_S
    return [
        f"lost: {outcome.key} of {TIMEOUT_MS} ms: {outcome.result}, "
        + (f"begun after {outcome.begun_at - outcome.sent_at:.2f} s" if outcome.begun_at else "")
        for outcome in outcomes
        if not outcome.begun_at or outcome.begun_at - outcome.sent_at > bound
    ]


def play(record: Record, trouble: bool) -> list[str]:
    """Play the case; return the breaches of the rule."""
    engines = make_engines(record, trouble)
    process = multiprocessing.get_context("fork").Process(target=serve_engines, args=(engines,))
    process.start()
    try:
        return play_with_engines(record, engines)
    finally:
        process.kill()
        process.join()


def play_with_engines(record: Record, engines: list[Engine]) -> list[str]:
    """Play the case at engines that are served; return the breaches of the rule."""
    discovery = Discovery(record)
    discovery.targets = {engine.uid: engine.target() for engine in engines}
    discovery.start()
    gateway = Gateway(record, inanga_chat(), discovery.address, discovery.message())
    try:
        gateway.wait_until_ready()
        first = Outcome("a000000000000000")
        ask(record, gateway, first)
        if first.result != "200 complete=True":
            raise CaseError(f"the fleet does not serve: {first.result}")
        spoilt = threading.Thread(target=read_spoilt, args=(record, gateway))
        spoilt.start()
        time.sleep(1)
        outcomes = [Outcome(f"c{number:015x}") for number in range(REQUESTS)]
        threads = []
        for outcome in outcomes:
            threads.append(threading.Thread(target=ask, args=(record, gateway, outcome)))
            threads[-1].start()
            time.sleep(REQUEST_INTERVAL_S)
        for thread in (*threads, spoilt):
            thread.join()
        check_readiness(record, gateway)
        return breaches_of(outcomes)
    finally:
        gateway.end()


if __name__ == "__main__":
    run_case(Path(__file__).with_name("record.txt"), play)
