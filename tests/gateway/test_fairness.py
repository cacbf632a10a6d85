"""A peer that sends without a pause does not keep the gateway's other requests waiting.

Guards against the fault of review case 1: a task that always found bytes to read never gave way, so
that one endless answer, or one client that pipelined, stopped every other request and the timers.
"""

import contextlib
import threading
import time

import pytest
from hyperframe.frame import DataFrame, PingFrame

from standins.http2 import H2Engine
from standins.servers import EVENTS, Engine, chat, eventually

TIMEOUT_MS = 3000
ANSWER_SLACK_S = 0.5  # up to so long after its time an answer only earns nothing
REQUESTS = 8
BLOCK_BYTES = 1 << 18
SPOILT = "spoilt"
READY = b"GET /-/ready HTTP/1.1\r\nHost: origin.svc\r\n\r\n"
READ_BYTES = 1 << 20


def repeated(piece):
    return piece * (BLOCK_BYTES // len(piece))


def as_chunk(data):
    return b"%x\r\n%b\r\n" % (len(data), data)


def read_on(sock, over):
    """Reads what comes until the flood is over."""
    sock.settimeout(0.2)
    with contextlib.suppress(OSError):
        while not over.is_set():
            with contextlib.suppress(TimeoutError):
                if not sock.recv(READ_BYTES):
                    return


def send_on(sock, block, over):
    """Sends as fast as the other side takes it, until the flood is over or the connection ends."""
    with contextlib.suppress(OSError):
        while not over.is_set():
            sock.sendall(block)


def spoils(send):
    """A plan whose answer to the session SPOILT is sent by `send` and never ends."""

    def plan(engine, request, wire):
        if request["x-route-key"] == SPOILT:
            send(wire)
        else:
            wire.stream()

    return plan


def endless_events(over):
    block = repeated(as_chunk(EVENTS[0]))

    def send(wire):
        wire.begin()
        send_on(wire.sock, block, over)

    return Engine("d", plan=spoils(send))


def endless_http2(frame):
    """Sends the stream's frame without an end, and no window limits it: it carries no data."""

    def build(over):
        def send(stream):
            stream.begin()
            with stream.wire.lock:
                send_on(stream.wire.sock, repeated(frame(stream.number)), over)

        return H2Engine("d", plan=spoils(send))

    return build


def flood_from_spoilt_client(gateway, over):
    with gateway.client() as client:
        chat(client, X_Route_Key=SPOILT)
        read_on(client.sock, over)


def flood_by_client(piece):
    block = repeated(piece)

    def flood(gateway, over):
        with gateway.client() as client:
            reading = threading.Thread(target=read_on, args=(client.sock, over), daemon=True)
            reading.start()
            send_on(client.sock, block, over)
            over.wait()

    return flood


def flood_by_discovery(piece):
    block = repeated(as_chunk(piece))

    def flood(gateway, over):
        send_on(gateway.discovery.watches[0].sock, block, over)
        over.wait()

    return flood


def well(over):
    return Engine("d")


FLOODS = {
    "events of an answer": (endless_events, flood_from_spoilt_client),
    "http2 pings": (
        endless_http2(lambda number: PingFrame(0, b"8 octets").serialize()),
        flood_from_spoilt_client,
    ),
    "http2 empty data": (
        endless_http2(lambda number: DataFrame(number).serialize()),
        flood_from_spoilt_client,
    ),
    "pipelined checks": (well, flood_by_client(READY)),
    "empty lines": (well, flood_by_client(b"\r\n")),
    "malformed requests": (well, flood_by_client(b"GET /no HTTP/1.1\r\nHost: x\r\n\r\n")),
    "blank lines of discovery": (well, flood_by_discovery(b"\n")),
    "values of discovery": (well, flood_by_discovery(b'{"rev":1,"all":false,"targets":[]}\n')),
}


def ask(gateway, taken):
    """Records how long a request waited for its answer to begin, and the answer's status."""
    sent_at = time.monotonic()
    with contextlib.suppress(OSError), gateway.client() as client:
        status = chat(client, timeout=TIMEOUT_MS).status()
        taken.append((time.monotonic() - sent_at, client.rest(status).status))


@pytest.mark.parametrize("name", FLOODS)
def test_requests_are_answered_in_time_beside_a_peer_that_sends_without_a_pause(site, name):
    build, flood = FLOODS[name]
    over = threading.Event()
    writer = build(over)
    gateway = site(Engine("p"), writer, release=True, door=True, http2={})
    peer = threading.Thread(target=flood, args=(gateway, over), daemon=True)
    peer.start()
    try:
        time.sleep(0.3)
        taken = []
        asking = [threading.Thread(target=ask, args=(gateway, taken)) for _ in range(REQUESTS)]
        for thread in asking:
            thread.start()
            time.sleep(0.1)
        for thread in asking:
            thread.join()
        assert len(taken) == REQUESTS
        assert max(waited for waited, _ in taken) < TIMEOUT_MS / 1000 + ANSWER_SLACK_S
        assert {status for _, status in taken} <= {200, 503}
    finally:
        over.set()
        peer.join()
    with gateway.client() as client:
        client.sock.sendall(READY)
        assert client.answer().status == 200


def test_an_answer_without_an_end_is_not_read_on_for_a_client_that_has_gone(site):
    """The request ends by that fact; the engine's connection is closed."""
    over = threading.Event()
    writer = endless_events(over)
    gateway = site(Engine("p"), writer, release=True)
    try:
        with gateway.client() as client:
            chat(client, X_Route_Key=SPOILT)
            assert client.status() == 200
        eventually(lambda: all(wire.ended for wire in writer.wires))
    finally:
        over.set()
