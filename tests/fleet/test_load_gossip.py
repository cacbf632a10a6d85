"""Load gossip: its codec, its sums, and the effects of loss, duplicates and invalid payloads."""

import socket

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from claycross.fleet.load_gossip import (
    ENGINE_FAILED,
    MAX_PAYLOAD_BYTES,
    MAX_UPDATES_PER_SENDER,
    READ,
    READ_LIFETIME_NS,
    SENDER_STARTED,
    WORK_ENDED,
    WRITE,
    WRITE_LIFETIME_NS,
    LoadGossip,
    decode,
    encode,
)
from standins.servers import Engine, Site, eventually
from tests.routing.router_harness import SECOND

ENGINES = ["e1", "e2", "e3"]
FIRST_TAG = 7  # the tag of the first engine


def new_gossip():
    return LoadGossip(3, lambda engine: ENGINES.index(engine) + FIRST_TAG)


def exchange(now, sender, receiver, sender_number=1):
    """Deliver all that the one sends now to the other."""
    for _, payload in sender.outgoing(now):
        assert len(payload) <= MAX_PAYLOAD_BYTES
        receiver.receive(now, sender_number, payload)


@given(st.integers(0, 3), st.integers(0, SENDER_STARTED), st.integers(0, 65535), st.floats(1, 4e9))
def test_an_encoded_update_is_decoded_to_its_content(kind, number, tag, size):
    (update,) = decode(encode(kind, number, tag, size))
    assert update[:2] == (kind, number)
    if kind != WORK_ENDED:
        assert update[2] == tag
        assert update[3] == pytest.approx(size, rel=0.05, abs=1)


STEPS = st.lists(
    st.tuples(st.integers(0, 30), st.sampled_from(ENGINES), st.integers(1, 30000)), max_size=60
)


@settings(max_examples=60)
@given(STEPS)
def test_sums_equal_the_work_that_the_sender_has_in_flight(steps):
    """Each step starts a piece of work, or ends it if it is in flight."""
    sender, receiver = new_gossip(), new_gossip()
    in_flight = {}
    for request, engine, size in steps:
        if request in in_flight:
            sender.work_ended(request)
            del in_flight[request]
        else:
            kind = READ if size % 2 else WRITE
            sender.work_started(kind, request, engine, size)
            in_flight[request] = (kind, engine, size)
        exchange(0, sender, receiver)
    exchange(SECOND, sender, receiver)  # ends are sent with a delay
    for kind in (READ, WRITE):
        for engine in ENGINES:
            expected = sum(
                size
                for work_kind, at, size in in_flight.values()
                if (work_kind, at) == (kind, engine)
            )
            load = receiver.load_of_others(kind, engine)
            assert load == pytest.approx(expected, rel=0.05, abs=40)
    for request in in_flight:
        sender.work_ended(request)
    exchange(2 * SECOND, sender, receiver)
    assert not receiver.sums
    assert not sender.numbers


@settings(max_examples=60)
@given(st.lists(st.tuples(st.integers(-2, 5), st.binary(max_size=256)), max_size=30), st.randoms())
def test_invalid_duplicated_and_reordered_payloads_are_bounded_and_expire(payloads, order):
    gossip = new_gossip()
    payloads += payloads
    order.shuffle(payloads)
    for sender, payload in payloads:
        gossip.receive(0, sender, payload)
    assert all(total > 0 for total in gossip.sums.values())
    assert set(gossip.received) <= {0, 1, 2}
    gossip.age(max(READ_LIFETIME_NS, WRITE_LIFETIME_NS) + SECOND)
    assert not gossip.sums
    assert not gossip.failure_reports
    assert not any(gossip.received.values())


def test_the_number_of_updates_kept_of_one_sender_is_bounded():
    gossip = new_gossip()
    for number in range(4 * MAX_UPDATES_PER_SENDER):
        gossip.receive(0, 1, encode(READ, number, FIRST_TAG, 100))
    assert len(gossip.received[1]) == MAX_UPDATES_PER_SENDER


def test_a_restarted_gateway_voids_what_its_earlier_process_announced():
    old, new, receiver = new_gossip(), new_gossip(), new_gossip()
    old.work_started(READ, 1, "e1", 5000)
    exchange(0, old, receiver, sender_number=2)
    assert receiver.load_of_others(READ, "e1")
    exchange(1, new, receiver, sender_number=2)
    assert not receiver.load_of_others(READ, "e1")


def test_failure_reports_count_each_sender_once_and_expire():
    gossip = new_gossip()
    for sender in (0, 0, 2):
        gossip.receive(SECOND, sender, encode(ENGINE_FAILED, 0, FIRST_TAG, 1))
    assert gossip.reporters("e1", SECOND) == 2
    assert gossip.reporters("e2", SECOND) == 0
    assert gossip.reporters("e1", 9 * SECOND) == 0


def test_sums_are_reliable_only_after_recent_updates():
    gossip = new_gossip()
    assert not gossip.is_reliable(0)
    gossip.receive(SECOND, 1, encode(WORK_ENDED, SENDER_STARTED))
    assert gossip.is_reliable(2 * SECOND)
    assert not gossip.is_reliable(60 * SECOND)


def test_gateways_exchange_datagrams_and_ignore_those_of_unknown_senders(tmp_path):
    """The real program runs; this test is the other gateway, and an unknown sender."""

    def datagram_socket():
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.bind(("127.0.0.1", 0))
        sock.settimeout(8)
        return sock

    with datagram_socket() as peer, datagram_socket() as unknown, datagram_socket() as reserved:
        gateway_address = reserved.getsockname()
        reserved.close()
        addresses = ["{}:{}".format(*name) for name in (gateway_address, peer.getsockname())]
        more = {"peer_listen": addresses[0], "peers": addresses, "peers_all": addresses[1]}
        engines = [Engine("p"), Engine("d")]
        with Site(tmp_path, engines, settings={"peers": True}, more=more) as site:
            first_update = next(decode(peer.recv(512)))
            assert first_update[:2] == (WORK_ENDED, SENDER_STARTED)
            for sender in (unknown, peer):
                sender.sendto(b"\xff" * 300, gateway_address)
                sender.sendto(encode(READ, 1, FIRST_TAG, 100), gateway_address)
            assert site.chat(X_Attrs="prompt_len=5000,max_out=50").status == 200
            updates = []
            while len(updates) < 3:
                updates += decode(peer.recv(512))
            # A read, the write that replaces it, and its end, all of the same number.
            assert [kind for kind, *_ in updates] == [READ, WRITE, WORK_ENDED]
            assert len({number for _, number, *_ in updates}) == 1
            # Half of the prompt is expected to be cached at the reader.
            assert updates[0][3] == pytest.approx(2500, rel=0.05)
            eventually(lambda: site.chat().status == 200)
