"""Pipelined requests: each has its own time limit and its own response."""

import signal
import threading
import time

import pytest
from hypothesis import given
from hypothesis import strategies as st

from claycross.net.receive_timestamps import MAX_RECORDS, ReceiveTimestamps
from standins.servers import Engine, eventually, passes

REQUEST_TIMEOUT_MS = 6000
WAIT_S = 2
BAD_CLIENT_WITHIN_S = 3.0  # the pages' limit for the response to a malformed request
# Longest timeout that an engine may get after that wait, with a tolerance of 150 ms.
REMAINING_MS = REQUEST_TIMEOUT_MS - 1000 * WAIT_S + 150


def request(key, body=b'{"model":"chat"}', cls="licence", timeout=REQUEST_TIMEOUT_MS):
    head = (
        f"POST /v1/chat/completions HTTP/1.1\r\nHost: origin.svc\r\nX-Request-ID: {key}\r\n"
        f"X-Priority-Class: {cls}\r\nX-Timeout-Ms: {timeout}\r\nX-Attrs: "
        f"prompt_len=800,max_out=50\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


class HeldWriter(Engine):
    """Delays the response to the request with id `only`, by default all, until `go_on` is set."""

    def __init__(self, only=""):
        super().__init__("d", plan=HeldWriter.answer)
        self.go_on, self.only = threading.Event(), only

    def answer(self, message, wire):
        if self.only in ("", message["x-request-id"]):
            self.go_on.wait(8)
        wire.stream()


@pytest.fixture
def writer():
    engine = HeldWriter("first")
    yield engine
    engine.go_on.set()


def test_time_spent_behind_another_request_counts_towards_the_timeout(site, writer):
    """The engine gets at most the time that the client has left, with 0.15 s of tolerance."""
    gateway = site(Engine("p"), writer, release=True)
    with gateway.client() as client:
        client.sock.sendall(request("first") + request("second"))
        eventually(lambda: writer.asked)
        passes(WAIT_S)
        writer.go_on.set()
        assert [client.answer().status, client.answer().status] == [200, 200]
    assert int(writer.asked[1]["x-timeout-ms"]) <= REMAINING_MS


def test_an_accepted_request_is_answered_however_much_follows_it(site, writer):
    """Closing the connection with unread bytes would reset it and lose the response."""
    gateway = site(Engine("p"), writer, release=True)
    with gateway.client() as client:
        client.sock.sendall(request("first"))
        eventually(lambda: writer.asked)
        client.sock.sendall(request("second", body=b"x" * 200_000))
        passes(0.3)
        writer.go_on.set()
        assert [client.answer().status, client.answer().status] == [200, 200]


def test_requests_behind_one_that_is_answered_with_an_error_are_answered(site):
    """Guards against a close over requests that were read: they got no answer, and were lost."""
    gateway = site(Engine("p"), Engine("d"), release=True)
    no_id = request("").replace(b"X-Request-ID: \r\n", b"")
    with gateway.client() as client:
        client.sock.sendall(no_id + request("second") + no_id + request("fourth") + no_id * 9)
        sent_at = time.monotonic()
        assert [client.answer().status for _ in range(4)] == [400, 200, 400, 200]
        assert [client.answer().status for _ in range(9)] == [400] * 9
        assert time.monotonic() - sent_at < BAD_CLIENT_WITHIN_S
        client.sock.sendall(request("sixth"))
        assert client.answer().status == 200


def test_requests_behind_errors_are_answered_by_a_gateway_that_stops(site, writer):
    gateway = site(Engine("p"), writer, release=True)
    no_id = request("").replace(b"X-Request-ID: \r\n", b"")
    with gateway.client() as client:
        client.sock.sendall(request("first") + no_id * 6 + request("last"))
        eventually(lambda: writer.asked)
        gateway.process.send_signal(signal.SIGTERM)
        eventually(lambda: " stopping " in gateway.log())
        writer.go_on.set()
        answers = [client.answer() for _ in range(8)]
        assert [answer.status for answer in answers] == [200] + [400] * 6 + [200]
        assert [answer["connection"] for answer in answers if answer["connection"]] == ["close"]
    assert gateway.process.wait(5) == 0


def test_time_that_bytes_waited_unread_counts_towards_the_timeout(site, writer):
    """More follows than is read ahead: the rest waits in the gateway's socket."""
    gateway = site(Engine("p"), writer, release=True)
    with gateway.client() as client:
        client.sock.sendall(
            request("first")
            + request("second", body=b"x" * 60_000)
            + request("third", body=b"x" * 90_000)
            + request("fourth")
        )
        eventually(lambda: writer.asked)
        passes(WAIT_S)
        writer.go_on.set()
        assert [client.answer().status for _ in range(4)] == [200] * 4
    timeouts = [int(message["x-timeout-ms"]) for message in writer.asked[1:]]
    assert len(timeouts) == 3 and max(timeouts) <= REMAINING_MS


def test_the_disconnect_of_a_client_behind_many_unread_bytes_is_noticed(site, writer):
    """The bytes that follow its request are not all read, yet no engine call is made for them."""
    readers = [Engine("p")]
    gateway = site(*readers, writer, release=True)
    client = gateway.client()
    client.sock.sendall(request("first"))
    eventually(lambda: writer.asked)
    client.sock.sendall(request("second", body=b"x" * 200_000))
    passes(0.2)
    client.__exit__()
    eventually(lambda: all(wire.ended for wire in writer.wires))
    passes(0.3)
    assert [message["x-request-id"] for message in readers[0].asked] == ["first"]


@given(
    reads=st.lists(st.tuples(st.integers(1, 50), st.integers(0, 5)), max_size=60), data=st.data()
)
def test_no_byte_gets_a_receive_time_later_than_its_own(reads, data):
    timestamps, true_times, now = ReceiveTimestamps(), [], 0
    for size, wait in reads:
        now += wait + 1
        timestamps.add(size, now)
        true_times += [now] * size
        pending = data.draw(st.integers(0, len(true_times)))
        true_times = true_times[len(true_times) - pending :]
        assert timestamps.oldest(pending) == (true_times[0] if true_times else 0)


def test_records_of_many_small_reads_are_limited_and_merged_into_earlier_ones():
    timestamps = ReceiveTimestamps()
    for received_at in range(1, 3 * MAX_RECORDS):
        timestamps.add(1, received_at)
    assert len(timestamps.records) == MAX_RECORDS and timestamps.oldest(1) <= MAX_RECORDS
