"""Notes between gateways: their form, their sums, and what loss, repeats and junk may do to
them."""

import socket

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from claycross.fleet.load_gossip import (
    ENGINE_FAILED,
    MOST,
    OUTSTANDING,
    READ,
    READ_LIFE,
    SENDER_STARTED,
    WORK_ENDED,
    WRITE,
    WRITE_LIFE,
    LoadGossip,
    decode,
    encode,
)
from standins.servers import Engine, Site, eventually
from tests.routing.router_harness import SECOND

ENGINES = ["e1", "e2", "e3"]


def board(nodes=3):
    return LoadGossip(nodes, lambda engine: ENGINES.index(engine) + 7)


@given(st.integers(0, 3), st.integers(0, SENDER_STARTED), st.integers(0, 65535), st.floats(1, 4e9))
def test_a_note_comes_back_as_it_was_told(kind, number, tag, size):
    (found,) = decode(encode(kind, number, tag, size))
    assert found[:2] == (kind, number)
    if kind != WORK_ENDED:
        assert found[2] == tag and found[3] == pytest.approx(size, rel=0.05, abs=1)


STEPS = st.lists(
    st.tuples(st.integers(0, 30), st.sampled_from(ENGINES), st.integers(1, 30000)), max_size=60
)


@settings(max_examples=60)
@given(STEPS)
def test_sums_are_what_the_sender_has_in_hand(steps):
    mine, other, open_work = board(), board(), {}
    for work, engine, size in steps:
        key = work
        if key in open_work:
            mine.work_ended(key)
            del open_work[key]
        else:
            mine.work_started(READ if size % 2 else WRITE, key, engine, size)
            open_work[key] = (READ if size % 2 else WRITE, engine, size)
        for _, payload in mine.outgoing(0):  # the word of an end waits for company
            assert len(payload) <= MOST
            other.receive(0, 1, payload)
    for _, payload in mine.outgoing(SECOND):
        other.receive(0, 1, payload)
    for kind in (READ, WRITE):
        for engine in ENGINES:
            true = sum(s for k, e, s in open_work.values() if (k, e) == (kind, engine))
            assert other.load_of_others(kind, engine) == pytest.approx(true, rel=0.05, abs=40)
    for key in open_work:
        mine.work_ended(key)
    for _, payload in mine.outgoing(2 * SECOND):
        other.receive(0, 1, payload)
    assert not other.sums and not mine.mine


@settings(max_examples=60)
@given(st.lists(st.tuples(st.integers(-2, 5), st.binary(max_size=256)), max_size=30), st.randoms())
def test_junk_repeats_and_losses_are_bounded_and_forgotten(payloads, order):
    b = board()
    payloads += payloads
    order.shuffle(payloads)
    for sender, payload in payloads:
        b.receive(0, sender, payload)
    assert all(total > 0 for total in b.sums.values()) and set(b.updates) <= {0, 1, 2}
    b.age((max(READ_LIFE, WRITE_LIFE) + 1) * SECOND)
    assert not b.sums and not b.failure_reports and not any(b.updates.values())


def test_one_sender_fills_no_more_than_its_bound():
    b = board()
    for n in range(4 * OUTSTANDING):
        b.receive(0, 1, encode(READ, n, 7, 100))
    assert len(b.updates[1]) == OUTSTANDING


def test_a_gateway_that_started_anew_voids_what_it_told_before():
    old, new, other = board(), board(), board()
    old.work_started(READ, 1, "e1", 5000)
    for _, payload in old.outgoing(0):
        other.receive(0, 2, payload)
    assert other.load_of_others(READ, "e1")
    for _, payload in new.outgoing(0):
        other.receive(1, 2, payload)
    assert not other.load_of_others(READ, "e1")


def test_blame_counts_each_sender_once_and_fades():
    b = board()
    for sender in (0, 0, 2):
        b.receive(SECOND, sender, encode(ENGINE_FAILED, 0, 7, 1))
    assert b.reporters("e1", SECOND) == 2 and b.reporters("e2", SECOND) == 0
    assert b.reporters("e1", 9 * SECOND) == 0


def test_silence_is_told_from_idleness():
    b = board()
    assert not b.is_reliable(0)
    b.receive(SECOND, 1, encode(WORK_ENDED, SENDER_STARTED))
    assert b.is_reliable(2 * SECOND) and not b.is_reliable(60 * SECOND)


def test_gateways_speak_over_datagrams_and_strangers_are_passed_over(tmp_path):
    """The real program; this test is the other gateway, and a stranger."""

    def datagrams():
        s = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        s.bind(("127.0.0.1", 0))
        s.settimeout(8)
        return s

    with datagrams() as other, datagrams() as stranger, datagrams() as place:
        mine = place.getsockname()
        place.close()
        peers = ["{}:{}".format(*a) for a in (mine, other.getsockname())]
        more = {"peer_listen": peers[0], "peers": peers, "peers_all": peers[1]}
        with Site(tmp_path, [Engine("p"), Engine("d")], settings={"peers": True}, more=more) as s:
            assert list(decode(other.recv(512)))[0][:2] == (WORK_ENDED, SENDER_STARTED)
            for sender in (stranger, other):
                sender.sendto(b"\xff" * 300, mine)
                sender.sendto(encode(READ, 1, 7, 100), mine)
            assert s.chat(X_Attrs="prompt_len=5000,max_out=50").status == 200
            told = []
            while len(told) < 3:  # a read, the write in its place, its end
                told += decode(other.recv(512))
            assert [kind for kind, *_ in told] == [READ, WRITE, WORK_ENDED] and len(
                {n for _, n, *_ in told}
            ) == 1
            assert told[0][3] == pytest.approx(2500, rel=0.05)  # half is likely kept at its home
            eventually(lambda: s.chat().status == 200)
