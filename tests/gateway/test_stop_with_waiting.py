"""What the gateway's machine has taken when it is told to stop is answered, even in a crowd."""

import signal
import threading

import pytest

from claycross.emulator.system_faults import Field, SystemFaults
from standins.servers import EVENTS, Engine, eventually, passes
from tests.frontends.test_pipelining import HeldWriter, request


@pytest.fixture
def writer():
    engine = HeldWriter()
    yield engine
    engine.go_on.set()


def test_a_request_that_waits_to_be_accepted_without_room_is_answered(site):
    """All places are taken by requests under way; one more waits in the listening socket as SIGTERM
    comes."""
    go_on = threading.Event()

    def read_later(engine, message, wire):
        go_on.wait(8)
        wire.reply(202, body=b"{}")

    readers = [Engine("p", plan=read_later) for _ in range(6)]
    s = site(*readers, Engine("d"), release=True, sockets=80)
    clients = [s.client() for _ in range(16)]  # as many as 80 descriptors allow
    for n, c in enumerate(clients):
        c.sock.sendall(request(f"busy-{n}"))
    eventually(lambda: sum(len(reader.asked) for reader in readers) == len(clients))
    with s.client() as late:
        late.sock.sendall(request("late"))
        s.process.send_signal(signal.SIGTERM)
        passes(0.8)
        go_on.set()
        assert {c.answer().status for c in clients} <= {200, 503}
        assert late.answer().status in (200, 503)
    assert s.process.wait(8) == 0


def test_requests_behind_another_are_answered_before_the_process_ends(site, writer):
    """They were received before the signal, so the answer to the first must not end their
    connection."""
    s = site(Engine("p"), writer, release=True)
    with s.client() as c:
        c.sock.sendall(request("first") + request("second") + request("third"))
        eventually(lambda: writer.asked)
        s.process.send_signal(signal.SIGTERM)
        passes(0.7)
        writer.go_on.set()
        assert [c.answer().status for _ in range(3)] == [200] * 3
    assert s.process.wait(8) == 0


def test_requests_that_are_read_behind_another_during_a_drain_are_answered(site):
    """One that has been read is lost if its connection closes without an answer."""
    s = site(Engine("p"), Engine("d"), release=True, door=True)
    assert s.call("drain-on").startswith("ok")
    with s.client() as c:
        c.sock.sendall(request("first") + request("second") + request("third"))
        assert [c.answer().status for _ in range(3)] == [200] * 3
        assert c.to_end() == b""


def test_an_accept_that_fails_for_a_moment_as_the_listener_closes_loses_nothing(site, tmp_path):
    faults = SystemFaults(tmp_path, "n0")
    s = site(Engine("p"), Engine("d"), release=True, environment=faults.environment())
    faults.set(Field.ACCEPT, 1000)
    clients = [s.client() for _ in range(20)]
    for n, c in enumerate(clients):
        c.sock.sendall(request(f"waits-{n}", cls="browse"))
    s.process.send_signal(signal.SIGTERM)
    passes(0.8)  # the listener has been told to close, and no accept has come through yet
    faults.clear()
    assert {c.answer().status for c in clients} <= {200, 503}
    assert s.process.wait(8) == 0


@pytest.mark.parametrize(("allowed", "status"), [(60, 503), (4, 200)])
def test_a_request_that_comes_late_is_taken_on_only_if_its_answer_can_end(site, allowed, status):
    """Guards against a stream that is taken on during the shutdown and cut off by the kill: review
    case 3. Its first byte comes before the signal, its last one 0.9 s after it."""

    def write_slowly(engine, message, wire):
        wire.begin()
        for _ in range(allowed):
            wire.event(EVENTS[0])
            passes(0.06)
        wire.event(EVENTS[-1])
        wire.end()

    writer = Engine("d", plan=write_slowly)
    s = site(Engine("p"), writer, release=True, family={"token-aim": [60_000_000] * 2})
    message = request("late").replace(b"max_out=50", b"max_out=%d" % allowed)
    with s.client() as c:
        c.sock.sendall(message[:50])
        passes(0.1)
        s.process.send_signal(signal.SIGTERM)
        passes(0.9)
        c.sock.sendall(message[50:])
        answer = c.answer()
        assert (answer.status, answer.whole) == (status, True)
        assert answer["connection"] == "close" and c.to_end() == b""
    assert len(writer.asked) == (status == 200)
    assert s.process.wait(8) == 0
