"""Time that requests spend waiting for a stalled process counts against their time limits.

Most tests stall the process with SIGSTOP.
"""

import contextlib
import os
import pathlib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from claycross.emulator.system_faults import Field, SystemFaults
from claycross.net.clock import MS
from claycross.net.stall_detection import STALL_THRESHOLD_NS, earliest_ready_time
from standins.servers import Engine, chat, eventually, passes
from tests.frontends.test_pipelining import request
from tests.gateway.test_crossings import dialling, full_queue, stopped

REQUEST_TIMEOUT_MS = 6000  # the default of request()
TOLERANCE_MS = 150


@pytest.mark.parametrize("stall", [0.5, 1.5])
def test_the_timeout_sent_to_an_engine_excludes_the_time_of_a_stall(site, stall):
    writer = Engine("d")
    gateway = site(Engine("p"), writer, release=True)
    assert gateway.chat(cls="licence").status == 200
    with gateway.client() as client:
        with stopped(gateway.process):
            client.sock.sendall(request("waits"))
            passes(stall)
        assert client.answer().status == 200
    assert int(writer.asked[1]["x-timeout-ms"]) <= REQUEST_TIMEOUT_MS - 1000 * stall + TOLERANCE_MS


def test_time_in_the_listen_queue_counts_while_accepting_fails(site, tmp_path):
    faults = SystemFaults(tmp_path, "n0")
    writer = Engine("d")
    gateway = site(Engine("p"), writer, release=True, environment=faults.environment())
    assert gateway.chat(cls="licence").status == 200
    faults.set(Field.ACCEPT, 1000)
    with gateway.client() as client:
        client.sock.sendall(request("waits"))
        passes(1.0)
        faults.clear()
        assert client.answer().status == 200
    assert int(writer.asked[1]["x-timeout-ms"]) <= REQUEST_TIMEOUT_MS - 1000 + TOLERANCE_MS


def test_a_request_that_expires_during_a_stall_is_rejected_as_usual(site):
    """The router's deadline and the request manager's fallback come due in the same iteration. The
    router must respond first: the fallback breaks the invariant `answered-in-time`."""
    gateway = site(
        Engine("p", plan=lambda engine, message, wire: wire.gone()), Engine("d"), release=True
    )
    with gateway.client() as client:
        client.sock.sendall(request("waits", cls="browse", timeout=700))
        eventually(lambda: gateway.engines[0].asked)
        passes(0.4)
        with stopped(gateway.process):
            passes(0.5)
        assert client.answer().status == 503
    assert "answered-in-time" not in gateway.log()


@given(
    st.lists(st.tuples(st.integers(0, 300), st.integers(0, 100), st.integers(0, 400)), max_size=20),
    st.data(),
)
def test_the_ready_time_is_later_than_the_arrival_by_a_bounded_time(iterations, data):
    """Each iteration has the duration of its work, the timeout of its poll and the duration of the
    poll, in milliseconds. Bytes arrive at any time since the previous poll returned."""
    last_poll_at, now = 0, 0
    for work, timeout, poll_duration in iterations:
        poll_started_at = now + work * MS
        now = poll_started_at + poll_duration * MS
        arrived_at = data.draw(st.integers(last_poll_at, now))
        assert (
            earliest_ready_time(last_poll_at, poll_started_at, timeout * MS, now)
            <= arrived_at + STALL_THRESHOLD_NS + timeout * MS
        )
        last_poll_at = now


def test_without_a_stall_the_ready_time_is_the_end_of_the_poll():
    assert earliest_ready_time(0, 1 * MS, 100 * MS, 90 * MS) == 90 * MS


@pytest.mark.parametrize("extra_bytes", [b"", b"P"])
def test_no_request_is_sent_for_a_client_that_closed_while_the_connection_was_established(
    site, extra_bytes
):
    """After a stall one poll reports both that the client closed and that the connection to the
    engine is established. Which is handled first depends on the order in which their sockets were
    registered; more bytes from the client change that order."""
    reader = Engine(
        "p", backlog=0, plan=lambda engine, message, wire: passes(0.7) or wire.reply(202)
    )
    gateway = site(reader, Engine("d"))
    assert gateway.chat().status == 200
    listener, fillers = full_queue(reader)
    client = gateway.client()
    chat(client, key="gone01")
    eventually(lambda: dialling(gateway, reader))
    client.sock.sendall(extra_bytes)
    passes(0.1)
    with stopped(gateway.process):
        for filler in fillers:
            filler.close()
        connections = until_connected(listener, gateway.process.pid)
        client.__exit__()
    with gateway.client() as other_client:
        assert other_client.send("GET", "/-/ready").answer().status in (200, 503)
    passes(0.3)
    sent = b"".join(received(connection) for connection in connections)
    listener.close()
    assert b"POST" not in sent


def until_connected(listener, pid):
    """Accept connections until one of this process is among them; return all of them."""
    listener.settimeout(4)
    connections = []
    while True:
        connection, peer = listener.accept()
        connections.append(connection)
        if owns(pid, peer[1]):
            return connections


def owns(pid, port):
    """Return whether a TCP socket of the process has this local port."""
    descriptors = {os.readlink(entry) for entry in pathlib.Path(f"/proc/{pid}/fd").iterdir()}
    for line in pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        if int(fields[1].rpartition(":")[2], 16) == port and f"socket:[{fields[9]}]" in descriptors:
            return True
    return False


def received(connection):
    connection.settimeout(0.5)
    data = b""
    with contextlib.suppress(OSError):
        while piece := connection.recv(65_536):
            data += piece
    connection.close()
    return data
