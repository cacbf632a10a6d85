"""Requests that a client sends behind one that is under way: each has its own time, and its own answer."""

import threading

import pytest

from standins.servers import Engine, eventually, passes


def request(key, body=b'{"model":"chat"}', cls="licence", timeout=6000):
    head = (f"POST /v1/chat/completions HTTP/1.1\r\nHost: origin.svc\r\nX-Request-ID: {key}\r\n"
            f"X-Priority-Class: {cls}\r\nX-Timeout-Ms: {timeout}\r\nX-Attrs: prompt_len=800,max_out=50\r\n"
            f"Content-Length: {len(body)}\r\n\r\n")
    return head.encode() + body


class HeldWriter(Engine):
    """Answers the request named "first" once it is told to, all others at once."""

    def __init__(self):
        super().__init__("d", plan=HeldWriter.answer)
        self.go_on = threading.Event()

    def answer(self, message, wire):
        if message["x-request-id"] == "first":
            self.go_on.wait(8)
        wire.stream()


@pytest.fixture
def writer():
    engine = HeldWriter()
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
