"""The times of a stop lie in order before the kill, and nothing late is under way at it."""

import contextlib
import json
import signal
import threading
import time

import pytest
from hypothesis import given
from hypothesis import strategies as st

from claycross.recovery.shutdown_schedule import (
    KILL_AFTER_DEADLINE_NS,
    MAX_COUNTED_DEADLINE_NS,
    ShutdownSchedule,
)
from standins.servers import EVENTS, Client, Engine, chat, eventually
from tests.routing.router_harness import MS, SECOND

KILL_S = 3.7  # after SIGTERM, for these deadlines
SENT_S = (0.8, 1.0, 1.4)  # after SIGTERM


@given(st.lists(st.integers(0, 60 * SECOND), max_size=6))
def test_all_is_done_before_the_earliest_kill(deadlines):
    times = ShutdownSchedule.for_deadlines(deadlines)
    kill = (
        min(max(deadlines, default=MAX_COUNTED_DEADLINE_NS), MAX_COUNTED_DEADLINE_NS)
        + KILL_AFTER_DEADLINE_NS
    )
    assert 0 < times.accepts <= times.accepts_queued <= times.answered <= kill - 300 * MS
    assert 0 < times.unrestricted <= min(times.answered, 550 * MS)
    assert 0 < times.hand_back < times.answered
    assert times.answered <= times.cut_off <= kill - 250 * MS


def test_usual_deadlines_have_the_usual_times():
    assert ShutdownSchedule.for_deadlines([6 * SECOND, 15 * SECOND]) == ShutdownSchedule(
        500 * MS, 550 * MS, 3000 * MS, 2400 * MS, 3300 * MS, 700 * MS, 3450 * MS
    )


class HangingWriter(Engine):
    """Sends some events of each stream, or none, and then nothing until it is closed."""

    def __init__(self, events):
        super().__init__("d", plan=HangingWriter.answer)
        self.events, self.closing = events, threading.Event()

    def answer(self, message, wire):
        if self.events:
            wire.begin()
            for event in EVENTS[: self.events]:
                wire.event(event)
        self.closing.wait(10)


@pytest.mark.parametrize("events", [0, 1, len(EVENTS)], ids=["none", "first", "all but the end"])
def test_nothing_that_came_late_is_under_way_at_the_kill_beside_an_engine_that_hangs(site, events):
    """Guards against review case 9: streams taken 0.9 s after SIGTERM waited for their engine
    until SIGKILL."""
    writer = HangingWriter(events)
    gateway = site(Engine("p"), writer, release=True, family={"token-aim": [10 * MS]})
    clients = [gateway.client().__enter__() for _ in SENT_S]
    terminated_at = time.monotonic()
    gateway.process.send_signal(signal.SIGTERM)
    ended_at = []

    def ask(client, sent_s):
        time.sleep(max(0.0, terminated_at + sent_s - time.monotonic()))
        chat(client, X_Attrs="prompt_len=100,max_out=8")
        with contextlib.suppress(OSError, AssertionError, ValueError, AttributeError):
            client.rest(client.status())
        ended_at.append(time.monotonic() - terminated_at)
        client.__exit__()

    asking = [
        threading.Thread(target=ask, args=(client, sent_s), daemon=True)
        for client, sent_s in zip(clients, SENT_S, strict=True)
    ]
    try:
        for thread in asking:
            thread.start()
        eventually(lambda: gateway.process.poll() is not None, within=KILL_S + 4)
        took = time.monotonic() - terminated_at
        for thread in asking:
            thread.join(8)
        assert writer.asked, "no request was taken on"
        assert max(ended_at) < KILL_S and took < KILL_S
    finally:
        writer.closing.set()


def test_an_embeddings_request_that_came_late_is_answered_beside_an_engine_that_hangs(site):
    """A response that is not streamed ends by its deadline, which lies before the kill."""
    closing = threading.Event()

    def hang(engine, message, wire):
        wire.sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{")
        closing.wait(10)

    engine = Engine("embed", plan=hang)
    gateway = site(Engine("p"), Engine("d"), engine, embeddings={}, release=True)
    with Client(gateway.embeddings_address) as client:
        terminated_at = time.monotonic()
        gateway.process.send_signal(signal.SIGTERM)
        time.sleep(0.9)
        body = json.dumps({"model": "m", "input": ["text"]}).encode()
        client.send("POST", "/v1/embeddings", body)
        try:
            status = client.answer().status
            took = time.monotonic() - terminated_at
            eventually(lambda: gateway.process.poll() is not None, within=8)
            ended_after = time.monotonic() - terminated_at
        finally:
            closing.set()
    assert engine.asked and status in (502, 503, 504)
    assert took < KILL_S and ended_after < KILL_S
