"""Bytes of a response that its client does not take are charged to the account of memory.

Guards against the class of review case 7 on the way to clients: a response that waited for its
client was not counted, and not freed when its memory was given to others.
"""

import socket
from types import SimpleNamespace

import pytest

from claycross.frontends.embeddings import BufferedExchange
from claycross.frontends.exchange import Exchange
from claycross.net.loop import Connection, EventLoop
from claycross.requests.memory_account import MemoryAccount, MemoryKind

LIMIT_BYTES = 96_000_000
SHARE_BYTES = MemoryAccount(LIMIT_BYTES).shares[MemoryKind.RESPONSES]
UNREAD_BYTES = b"x" * (SHARE_BYTES // 6)  # of one response
SYSTEM_BUFFER_BYTES = 65_536
MOST_SENT_BYTES = 8 * SYSTEM_BUFFER_BYTES  # taken by the system without a client that reads


class Site:
    """Exchanges on real connections, without a frontend."""

    def __init__(self):
        self.loop, self.memory, self.gone = EventLoop(), MemoryAccount(LIMIT_BYTES), []
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.sockets = [self.listener]

    def exchange(self, name, data=UNREAD_BYTES):
        """An exchange that sends a response, and the socket of its client."""
        client = socket.create_connection(self.listener.getsockname())
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SYSTEM_BUFFER_BYTES)
        ours, _ = self.listener.accept()
        ours.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SYSTEM_BUFFER_BYTES)
        self.sockets += [client, ours]
        frontend = SimpleNamespace(memory=self.memory, is_last_response=lambda inbox: False)
        exchange = Exchange(frontend, Connection(self.loop, ours), close=False)
        exchange.on_disconnect = lambda: self.gone.append(name)
        self.loop.spawn(exchange.write, data)
        self.loop.run_iteration()
        return exchange, client

    def held(self):
        return self.memory.held[MemoryKind.RESPONSES]


@pytest.fixture
def site():
    made = Site()
    yield made
    for sock in made.sockets:
        sock.close()


def test_what_a_client_does_not_read_is_charged_until_it_is_sent(site):
    exchange, client = site.exchange("slow")
    assert site.held() >= len(UNREAD_BYTES) - MOST_SENT_BYTES
    client.setblocking(False)
    received = 0
    while received < len(UNREAD_BYTES):
        site.loop.run_iteration()
        try:
            received += len(client.recv(1 << 20))
        except BlockingIOError:
            continue
    site.loop.run_iteration()
    assert not site.held() and not site.gone and not exchange.connection.closed


def test_unread_responses_are_ended_when_there_is_no_room(site):
    exchanges = []
    while len(exchanges) * len(UNREAD_BYTES) <= SHARE_BYTES:
        exchanges.append(site.exchange(len(exchanges))[0])
        assert site.held() <= SHARE_BYTES
    site.loop.run_iteration()
    assert site.gone
    assert [n for n, each in enumerate(exchanges) if each.connection.closed] == sorted(site.gone)


def test_a_response_that_is_discarded_is_not_waited_for(site):
    exchange, _ = site.exchange("slow")
    exchange.discard()
    site.loop.run_iteration()
    assert site.gone == ["slow"] and not site.held()


def test_a_response_for_which_the_system_has_room_is_not_charged(site):
    exchange, _ = site.exchange("small", b"x" * 1000)
    assert not site.memory.holds(MemoryKind.RESPONSES, exchange) and not site.held()


def test_a_whole_answer_that_its_client_does_not_read_gives_way_to_another(site):
    """Guards against a holder of memory that can't be discarded: the account then failed."""
    exchange, _ = site.exchange("slow", b"")
    whole = BufferedExchange(exchange.frontend, exchange.connection, close=False, deadline=0)
    whole.write(UNREAD_BYTES)
    assert site.held() == len(UNREAD_BYTES)
    others = [Exchange(exchange.frontend, None, close=False) for _ in range(4)]
    size = len(UNREAD_BYTES) - 1
    assert all(
        site.memory.charge_by_discarding(MemoryKind.RESPONSES, other, size) for other in others
    )
    assert exchange.connection.closed
