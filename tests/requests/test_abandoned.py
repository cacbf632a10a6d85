"""An attempt that is abandoned before its engine has received it never reaches the engine later."""

import threading

import pytest

from standins.servers import Engine, eventually, passes
from tests.frontends.test_pipelining import request

KEY_TTL_S = 2.0
KEYED = {
    "name": "keyed",
    "slo": 10**9,
    "give-up": 8 * 10**9,
    "effect": "keyed",
    "group": "all",
    "key-ttl": int(KEY_TTL_S * 10**9),
    "streaming": True,
}
LARGE_BODY = b"x" * 250_000  # more than a socket buffers while the engine does not read


class SlowReader(Engine):
    """Accepts connections, and reads nothing from them until `may_read` is set."""

    def __init__(self, kind):
        super().__init__(kind)
        self.may_read = threading.Event()

    def talk(self, wire):
        self.may_read.wait(10)
        super().talk(wire)


@pytest.fixture(params=["p", "d"])
def slow_engine(request):
    engine = SlowReader(request.param)
    yield engine
    engine.may_read.set()


def test_request_does_not_arrive_after_its_client_disconnected(site, slow_engine):
    """The kernel keeps sending the buffered data of a closed connection unless it is discarded."""
    other = Engine({"p": "d", "d": "p"}[slow_engine.kind])
    gateway = site(slow_engine, other, release=True)
    client = gateway.client()
    client.sock.sendall(request("leaves", body=LARGE_BODY, cls="licence"))
    eventually(lambda: slow_engine.wires)
    passes(0.2)  # the request is written to the kernel by then
    client.__exit__()
    passes(0.3)
    slow_engine.may_read.set()
    eventually(lambda: all(wire.ended for wire in slow_engine.wires))
    assert not slow_engine.asked, [message.start for message in slow_engine.asked]


def test_request_does_not_arrive_after_its_timeout(site):
    slow_engine = SlowReader("d")
    gateway = site(Engine("p"), slow_engine, release=True)
    with gateway.client() as client:
        client.sock.sendall(request("late", body=LARGE_BODY, cls="licence", timeout=700))
        assert client.answer().status in (502, 503)
    slow_engine.may_read.set()
    eventually(lambda: all(wire.ended for wire in slow_engine.wires))
    assert not slow_engine.asked, [message.start for message in slow_engine.asked]


@pytest.mark.parametrize("abandoned_by", ["disconnect", "timeout"])
def test_state_of_an_abandoned_write_is_released_a_second_time(site, abandoned_by):
    """Engines ignore a release for a state that an attempt waits for, and the writer may not have
    noticed yet that the attempt has ended."""
    reader, writer = Engine("p"), Engine("d", plan=lambda engine, message, wire: wire.gone())
    gateway = site(reader, writer, release=True)
    client = gateway.client()
    client.sock.sendall(request("given-up", cls="licence", timeout=800))
    eventually(lambda: writer.asked)
    if abandoned_by == "disconnect":
        client.__exit__()
    else:
        assert client.answer().status == 502
    deletes = eventually(
        lambda: [message for engine in (reader, writer) for message in engine.calls][1:]
    )
    assert {message.start for message in deletes} == {"DELETE /kv/leases/given-up HTTP/1.1"}


class WriterThatBreaks(Engine):
    """Resets the first request that it gets; from then on no connection is read for a while.

    Engines with the same `shared` events behave as one.
    """

    def __init__(self, ran, may_read):
        super().__init__("d", plan=WriterThatBreaks.answer)
        self.ran, self.may_read = ran, may_read

    def talk(self, wire):
        if self.ran.is_set():
            self.may_read.wait(10)
        super().talk(wire)

    def answer(self, message, wire):
        if self.ran.is_set():
            wire.stream()
            return
        self.ran.set()
        wire.reset()


def test_a_repeat_does_not_arrive_after_the_window_of_its_key(site):
    """Guards against review case 6: the rest of a keyed request's repeat waited in the gateway's
    socket and reached its engine, which ran it, after repeats were no longer dropped."""
    ran, may_read = threading.Event(), threading.Event()
    writers = [WriterThatBreaks(ran, may_read) for _ in range(2)]
    gateway = site(Engine("p"), *writers, release=True, classes=[KEYED])
    try:
        with gateway.client() as client:
            body = request("keyed", body=LARGE_BODY, cls="keyed", timeout=8000)
            client.sock.sendall(body.replace(b"prompt_len=800", b"prompt_len=60000"))
            eventually(ran.is_set)
            eventually(lambda: sum(len(writer.wires) for writer in writers) > 1)
            passes(KEY_TTL_S + 0.3)
            may_read.set()
            client.answer()
        passes(0.5)
    finally:
        may_read.set()
    assert sum(len(writer.asked) for writer in writers) == 1
