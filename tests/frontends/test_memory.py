"""A gateway stays under its limit on memory, whatever its clients send, and serves others.

Guards against review case 7: pieces of unfinished requests were kept as objects of their own and
added up without a bound, so that a few dozen clients had the gateway killed.
"""

import contextlib
import re
import threading
import time
from pathlib import Path
from types import SimpleNamespace

import pytest

from claycross.frontends.base import ClientLimits, Frontend
from claycross.frontends.exchange import AcceptedRequest, Exchange
from claycross.frontends.inbox import Inbox
from claycross.frontends.request_reader import RequestReader
from claycross.net.clock import MS, SECOND
from claycross.net.http1 import MalformedMessageError
from claycross.net.loop import EventLoop, TimeoutExpired
from claycross.requests.memory_account import MEGABYTE, MemoryAccount, MemoryKind
from standins.servers import Engine, chat, eventually, passes
from tests.frontends.test_pipelining import request
from tests.gateway.test_fairness import read_on

MEMORY_MB = 96
LIMITS = {"limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": 1024}}
ORDINARY_REQUESTS = 8
ORDINARY_TIMEOUT_S = 10.0


def start_of(number, framing):
    head = request(f"bad-{number}", body=b"", cls="browse")
    return head.replace(b"Content-Length: 0", framing.encode())


def small_chunks(number):
    return start_of(number, "Transfer-Encoding: chunked") + b"2\r\nab\r\n" * 130_000 + b"0\r\n\r\n"


def many_headers(number):
    headers = "\r\n".join(f"{n:x}:" for n in range(2400))
    return start_of(number, f"Content-Length: 9\r\n{headers}")


def almost_whole_body(number):
    return start_of(number, "Content-Length: 261120") + b"x" * 261_000


def large_requests(number):
    return b"".join(
        request(f"large-{number}-{n}", body=b"x" * 250_000, cls="browse") for n in range(4)
    )


# What a client sends, how many there are, and for how many seconds.
CLIENTS = {
    "chunks of two bytes": (small_chunks, 60, 8.0),
    "many short headers": (many_headers, 150, 3.0),
    "bodies without their end": (almost_whole_body, 400, 3.0),
    "large requests at once": (large_requests, 300, 3.0),
}


def send_until(over, gateway, data):
    while not over.is_set():
        with contextlib.suppress(OSError), gateway.client() as client:
            client.sock.sendall(data)
            read_on(client.sock, over)


def anonymous_mb(pid):
    """The memory that a process has for itself, in MB."""
    found = re.search(r"RssAnon:\s+(\d+) kB", Path(f"/proc/{pid}/status").read_text())
    return int(found[1]) * 1024 / MEGABYTE


def status_of_ordinary_request(gateway):
    """Sends one, and again when it is told to: whole requests of the others keep engines busy.

    A rejection for lack of memory has no Retry-After, and is final.
    """
    end = time.monotonic() + ORDINARY_TIMEOUT_S
    while True:
        with gateway.client() as client:
            answer = client.rest(chat(client).status())
        retry_after = answer["retry-after"]
        if retry_after is None or time.monotonic() > end:
            return answer.status
        passes(float(retry_after))


@pytest.mark.parametrize("name", CLIENTS)
def test_memory_stays_under_its_limit_and_ordinary_requests_are_served(site, name):
    make, count, flood_s = CLIENTS[name]
    gateway = site(Engine("p"), Engine("d"), release=True, door=True, more=LIMITS)
    over = threading.Event()
    clients = [
        threading.Thread(target=send_until, args=(over, gateway, make(n)), daemon=True)
        for n in range(count)
    ]
    for thread in clients:
        thread.start()
    statuses, peak = [], 0.0
    end = time.monotonic() + flood_s

    def ask():
        statuses.extend(status_of_ordinary_request(gateway) for _ in range(ORDINARY_REQUESTS))

    asking = threading.Thread(target=ask, daemon=True)
    asking.start()
    while time.monotonic() < end or asking.is_alive():
        peak = max(peak, anonymous_mb(gateway.process.pid))
        time.sleep(0.01)
    over.set()
    for thread in clients:
        thread.join(8)
    assert peak < MEMORY_MB
    assert statuses == [200] * ORDINARY_REQUESTS
    eventually(lambda: 'gateway_memory_held_bytes{kind="unfinished"} 0.0' in gateway.call("vars"))


class EndlessEvents(Engine):
    """Sends the start of a large event for each stream, and nothing more."""

    def __init__(self):
        super().__init__("d", plan=EndlessEvents.answer)
        self.closing = threading.Event()

    def answer(self, message, wire):
        wire.begin()
        wire.event(b"data: " + b"x" * 250_000)
        self.closing.wait(10)


def test_memory_stays_under_its_limit_beside_an_engine_whose_events_do_not_end(site):
    """Guards against the class of review case 7 on the engines' side."""
    writer = EndlessEvents()
    ample = {"kv-tokens": [10**9, 10**9]}
    gateway = site(Engine("p"), writer, release=True, more=LIMITS, family=ample)
    over = threading.Event()
    data = [
        request(f"waits-{n}", cls="browse").replace(b"prompt_len=800", b"prompt_len=10")
        for n in range(300)
    ]
    clients = [
        threading.Thread(target=send_until, args=(over, gateway, d), daemon=True) for d in data
    ]
    try:
        for thread in clients:
            thread.start()
        peak, end = 0.0, time.monotonic() + 5.0
        while time.monotonic() < end:
            peak = max(peak, anonymous_mb(gateway.process.pid))
            time.sleep(0.01)
    finally:
        over.set()
        writer.closing.set()
    assert len(writer.asked) >= len(clients) and peak < MEMORY_MB


class Peer:
    """A connection on which bytes are there at each read, and time passes with it."""

    def __init__(self, data, unread=1 << 20):
        self.now, self.data, self.unread, self.received_at = SECOND, data, unread, SECOND
        self.on_read = 20 * MS

    def recv(self, timeout):
        self.now += self.on_read
        if not self.data:
            raise TimeoutExpired("nothing arrived")
        piece, self.data = self.data[:400], self.data[400:]
        return piece

    def unread_bytes(self):
        return min(self.unread, len(self.data))

    def interrupt(self):
        pass


def read_from(peer, memory=None):
    owner = SimpleNamespace(
        loop=SimpleNamespace(now=lambda: peer.now),
        manager=SimpleNamespace(count=lambda name: None),
        memory=memory or MemoryAccount(MEMORY_MB * MEGABYTE),
        closing_idle=False,
        overloaded={},
        set_state=lambda connection, state: None,
    )
    return RequestReader(owner).read(peer, Inbox(), first=True)


def test_a_request_is_ended_in_its_time_although_its_bytes_keep_coming():
    """Guards against a check of the time that comes only where a read finds nothing."""
    peer = Peer(start_of(1, "Transfer-Encoding: chunked") + b"1\r\na\r\n" * 200_000, unread=4000)
    started_at = peer.now
    with pytest.raises(MalformedMessageError) as raised:
        read_from(peer)
    assert raised.value.status == 408 and peer.now - started_at < 3 * SECOND


def test_a_request_that_arrived_while_the_process_was_stopped_is_read():
    peer = Peer(request("whole", body=b"x" * 3000))
    peer.on_read = 3 * SECOND
    assert len(read_from(peer).body) == 3000


def test_what_a_request_was_charged_is_given_back_when_it_is_complete():
    memory = MemoryAccount(MEMORY_MB * MEGABYTE)
    read_from(Peer(request("whole", body=b"x" * 3000)), memory)
    assert not memory.held[MemoryKind.UNFINISHED]


class AcceptingFrontend(Frontend):
    """Accepts each request, and notes what its connection's task holds while it waits."""

    def handle_request(self, connection, request):
        self.request, self.size = request, len(request.body)
        return AcceptedRequest(SimpleNamespace(), Exchange(self, connection, close=True))

    def wait_for_response(self, connection, inbox, accepted):
        self.size_while_waiting = len(self.request.body)
        accepted.exchange.finished = True


def test_a_connection_does_not_hold_the_body_of_the_request_that_it_passed_on():
    """Guards against bodies that outlive their requests, uncharged, until their tasks' turn."""
    peer = Peer(request("whole", body=b"x" * 3000))
    memory = MemoryAccount(MEMORY_MB * MEGABYTE)
    manager = SimpleNamespace(count=lambda name: None, client_disconnected=lambda request: None)
    frontend = AcceptingFrontend(EventLoop(), manager, ("127.0.0.1", 0), ClientLimits(16, memory))
    peer.closed = False
    assert not frontend.serve_request(peer, Inbox(), first=True)
    frontend.listener.close(0)
    assert (frontend.size, frontend.size_while_waiting) == (3000, 0)
