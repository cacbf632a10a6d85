"""An attempt that is abandoned before its engine has received it never reaches the engine later."""

import threading

import pytest

from standins.servers import Engine, eventually, passes
from tests.frontends.test_pipelining import request

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
