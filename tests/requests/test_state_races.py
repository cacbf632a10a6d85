"""Two processes of one gateway change its state at the same time: no acknowledged change is lost.

The older process is suspended (SIGSTOP) while the newer one changes the state, so that it acts
before it has read the newer one's file."""

import signal
import socket

import pytest

from standins.servers import Engine, eventually
from tests.gateway.test_crossings import stopped


@pytest.fixture
def upgraded_gateway(site, tmp_path):
    """A gateway with two running processes that share the listening socket, and three readers.

    Returns:
        The gateway, its older process, the admin address of that, and the readers.
    """
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(64)
    folder = tmp_path / "state"
    folder.mkdir()
    readers = [Engine("p", f"p-{index}") for index in range(3)]
    gateway = site(*readers, Engine("d"), door=True, passed=listener, tmp=folder, release=True)
    eventually(lambda: gateway.call("check").startswith("ok"))
    old_process, old_admin_address = gateway.process, gateway.door_address
    gateway.start("log.new")
    eventually(lambda: gateway.call("check").startswith("ok"))
    yield gateway, old_process, old_admin_address, readers
    for process in (old_process, gateway.process):
        if process.poll() is None:
            process.kill()
        process.wait()
    listener.close()


def assert_successor_avoids(gateway, readers, *ejected):
    """Kill the newer process and check that the next one sends no request to ejected engines."""
    gateway.process.kill()
    gateway.process.wait()
    gateway.start("log.next")
    eventually(lambda: gateway.call("check").startswith("ok"))
    requests_before = [len(engine.asked) for engine in readers]
    assert [gateway.chat(X_Route_Key=f"k{index}").status for index in range(24)] == [200] * 24
    used = [
        engine.uid
        for engine, before in zip(readers, requests_before, strict=True)
        if len(engine.asked) > before
    ]
    assert not set(used) & set(ejected), gateway.log()


def test_ending_older_process_keeps_the_ejection_by_the_newer_one(upgraded_gateway):
    gateway, old_process, _, readers = upgraded_gateway
    with stopped(old_process):
        assert gateway.call("set-down p-1").startswith("ok")
        old_process.send_signal(signal.SIGTERM)
    assert old_process.wait(8) == 0
    assert_successor_avoids(gateway, readers, "p-1")


def test_simultaneous_ejections_by_both_processes_both_persist(upgraded_gateway):
    gateway, old_process, old_admin_address, readers = upgraded_gateway
    with stopped(old_process):
        assert gateway.call("set-down p-1").startswith("ok")
        host, port = old_admin_address.split(":")
        admin_connection = socket.create_connection((host, int(port)), timeout=5)
        admin_connection.sendall(b"set-down p-2\n")
    assert admin_connection.recv(100).startswith(b"ok")
    admin_connection.close()
    old_process.send_signal(signal.SIGTERM)
    assert old_process.wait(8) == 0
    assert_successor_avoids(gateway, readers, "p-1", "p-2")
