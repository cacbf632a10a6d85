"""Requests that a client sends behind one that is under way: each has its own time, and its own
answer."""

import threading

import pytest
from hypothesis import given
from hypothesis import strategies as st

from claycross.net.receive_timestamps import MAX_RECORDS, ReceiveTimestamps
from standins.servers import Engine, eventually, passes


def request(key, body=b'{"model":"chat"}', cls="licence", timeout=6000):
    head = (
        f"POST /v1/chat/completions HTTP/1.1\r\nHost: origin.svc\r\nX-Request-ID: {key}\r\n"
        f"X-Priority-Class: {cls}\r\nX-Timeout-Ms: {timeout}\r\nX-Attrs: "
        f"prompt_len=800,max_out=50\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


class HeldWriter(Engine):
    """Answers the request of that name, or all where none is given, once it is told to; others at
    once."""

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


def test_time_spent_behind_another_request_counts(site, writer):
    """The engine is told at most what is left to the client, with 0.15 s of slack."""
    s = site(Engine("p"), writer, release=True)
    with s.client() as c:
        c.sock.sendall(request("first") + request("second"))
        eventually(lambda: writer.asked)
        passes(2)
        writer.go_on.set()
        assert [c.answer().status, c.answer().status] == [200, 200]
    assert int(writer.asked[1]["x-timeout-ms"]) <= 6000 - 2000 + 150


def test_a_request_that_was_taken_is_answered_however_much_follows_it(site, writer):
    """Closing the connection over what follows would lose it."""
    s = site(Engine("p"), writer, release=True)
    with s.client() as c:
        c.sock.sendall(request("first"))
        eventually(lambda: writer.asked)
        c.sock.sendall(request("second", body=b"x" * 200_000))
        passes(0.3)
        writer.go_on.set()
        assert [c.answer().status, c.answer().status] == [200, 200]


def test_time_that_bytes_waited_unread_counts(site, writer):
    """More follows than is read ahead: the rest has waited in the gateway's own socket."""
    s = site(Engine("p"), writer, release=True)
    with s.client() as c:
        c.sock.sendall(
            request("first")
            + request("second", body=b"x" * 60_000)
            + request("third", body=b"x" * 90_000)
            + request("fourth")
        )
        eventually(lambda: writer.asked)
        passes(2)
        writer.go_on.set()
        assert [c.answer().status for _ in range(4)] == [200] * 4
    assert [int(m["x-timeout-ms"]) <= 6000 - 2000 + 150 for m in writer.asked[1:]] == [True] * 3


def test_a_client_that_leaves_behind_much_unread_is_noticed(site, writer):
    """What follows its request is not read to the end, yet nothing more is sent for it."""
    readers = [Engine("p")]
    s = site(*readers, writer, release=True)
    c = s.client()
    c.sock.sendall(request("first"))
    eventually(lambda: writer.asked)
    c.sock.sendall(request("second", body=b"x" * 200_000))
    passes(0.2)
    c.__exit__()
    eventually(lambda: all(w.ended for w in writer.wires))
    passes(0.3)
    assert [m["x-request-id"] for m in readers[0].asked] == ["first"]


@given(
    reads=st.lists(st.tuples(st.integers(1, 50), st.integers(0, 5)), max_size=60), data=st.data()
)
def test_no_byte_is_said_to_be_younger_than_it_is(reads, data):
    times, true, now = ReceiveTimestamps(), [], 0
    for size, wait in reads:
        now += wait + 1
        times.add(size, now)
        true += [now] * size
        pending = data.draw(st.integers(0, len(true)))
        true = true[len(true) - pending :]
        assert times.oldest(pending) == (true[0] if true else 0)


def test_many_small_reads_are_bounded_and_count_as_older():
    times = ReceiveTimestamps()
    for at in range(1, 3 * MAX_RECORDS):
        times.add(1, at)
    assert len(times.records) == MAX_RECORDS and times.oldest(1) <= MAX_RECORDS
