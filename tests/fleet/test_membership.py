"""Who is there: in virtual time, up to 200 members and a network that delays, loses, doubles and
cuts."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from claycross.fleet.codec import (
    ACK,
    CLAIM,
    HEAD,
    INCARNATION_RANGE,
    JOIN,
    MAX_DATAGRAM,
    MAX_UPDATES,
    PING,
    PING_REQUEST,
    PING_REQUEST_ACK,
    TABLE,
    MembershipMessage,
    decode,
    encode,
    is_message,
    newer,
    pack,
    unpack,
)
from claycross.fleet.membership import (
    ALIVE,
    DEAD,
    LEAVING,
    MS,
    SECOND,
    SUSPECT,
    UNKNOWN,
    Membership,
    MembershipConfig,
    MemberUpdate,
)
from tests.fleet.simulated_network import SimulatedFleet

CLAIMS = st.lists(
    st.builds(
        MemberUpdate,
        st.integers(0, 4095),
        st.sampled_from([ALIVE, SUSPECT, DEAD]),
        st.integers(0, INCARNATION_RANGE - 1),
    ),
    max_size=MAX_UPDATES,
)
MESSAGES = st.builds(
    MembershipMessage,
    st.integers(1, 7),
    st.integers(0, INCARNATION_RANGE - 1),
    st.integers(0, 255),
    st.one_of(st.none(), st.integers(0, 250).map(lambda n: n * 100 * MS)),
    st.integers(0, 65535),
    st.integers(0, 65535),
    CLAIMS,
)
KEYS = [(), (b"first",), (b"first", b"second")]


# ------------------------------------------------------------ the form


@pytest.mark.parametrize("keys", KEYS)
@given(message=MESSAGES, sender=st.integers(0, 4095))
def test_a_message_comes_back_as_it_was_said(keys, message, sender):
    payload = encode(message, sender, keys)
    assert len(payload) <= MAX_DATAGRAM and is_message(payload)
    assert decode(payload, sender, keys) == message
    for at in range(0, len(payload), 2):  # to those who know notes only: ends of work never told of
        assert payload[at] < 0x40


@given(st.binary(max_size=260))
def test_junk_is_no_message_and_raises_nothing(junk):
    decode(junk, 1)
    decode(pack(junk[:200]), 1)
    assert decode(junk, 1, (b"key",)) is None


@given(st.binary(min_size=1, max_size=222))
def test_what_is_packed_comes_back(content):
    assert unpack(pack(content))[: len(content)] == content


@given(message=MESSAGES, at=st.integers(2, 255), flip=st.integers(1, 63))
def test_a_changed_byte_or_another_sender_breaks_the_seal(message, at, flip):
    payload = bytearray(encode(message, 3, (b"key",)))
    assert decode(bytes(payload), 4, (b"key",)) is None
    assert decode(bytes(payload), 3, (b"other",)) is None
    assert decode(bytes(payload), 3, (b"other", b"key")) == message  # while keys change
    payload[at % len(payload)] ^= flip
    found = decode(bytes(payload), 3, (b"key",))
    assert found is None or found == message  # the last bits of a datagram carry nothing


@given(st.integers(0, INCARNATION_RANGE - 1), st.integers(1, INCARNATION_RANGE // 2 - 1))
def test_incarnations_go_round(a, more):
    b = (a + more) % INCARNATION_RANGE
    assert newer(b, a) and not newer(a, b) and not newer(a, a)


# ------------------------------------------------------------ claims, one member at a time


def one(me=0, nodes=5, now=100 * SECOND, **spec):
    return Membership(me, nodes, 1000, 0, now, random.Random(me).random, MembershipConfig(**spec))


ORDER = st.lists(
    st.tuples(st.sampled_from([ALIVE, SUSPECT, LEAVING, DEAD]), st.integers(990, 1010)),
    min_size=1,
    max_size=12,
)


@given(ORDER, st.randoms())
def test_what_is_believed_in_the_end_does_not_hang_on_the_order_of_claims(claims, draw):
    a, b = one(), one()
    for m, these in (
        (a, claims),
        (b, draw.sample(claims, len(claims)) + claims[:3]),
    ):  # and some doubled
        for state, incarnation in these:
            m.apply_update(
                m.began, MemberUpdate(2, state, incarnation, SECOND if state == LEAVING else 0)
            )
    assert (a.members[2].state, a.members[2].incarnation) == (
        b.members[2].state,
        b.members[2].incarnation,
    )
    newest = max(i for _, i in claims)
    assert a.members[2].incarnation == newest
    assert a.members[2].state == max(s for s, i in claims if i == newest)


@pytest.mark.parametrize(
    "late",
    [
        MemberUpdate(2, DEAD, 1000),
        MemberUpdate(2, SUSPECT, 1000),
        MemberUpdate(2, LEAVING, 1000, SECOND),
    ],
)
def test_a_rumour_of_the_earlier_process_does_nothing_to_the_one_that_started_since(late):
    m = one()
    m.apply_update(m.began, MemberUpdate(2, ALIVE, 1001))
    m.apply_update(m.began, late)
    assert m.members[2].state == ALIVE and m.members[2].incarnation == 1001


@pytest.mark.parametrize("said", [SUSPECT, DEAD])
@pytest.mark.parametrize("ahead", [0, 5])
def test_what_is_said_wrongly_of_oneself_is_refuted_with_a_newer_incarnation(said, ahead):
    m = one()
    m.apply_update(m.began, MemberUpdate(0, said, 1000 + ahead))
    assert m.incarnation == 1001 + ahead and not m.superseded
    told = [
        c
        for to, payload in m.outgoing(m.began)
        for c in decode(payload, 0).updates
        if c.member == 0
    ]
    assert told and told[0].state == ALIVE and told[0].incarnation == m.incarnation


def test_what_is_said_of_an_earlier_self_needs_no_word():
    m = one()
    m.apply_update(m.began, MemberUpdate(0, DEAD, 999))
    assert m.incarnation == 1000 and m.counts["refuted"] == 0


def test_a_newer_process_of_the_same_number_takes_over_the_voice():
    """An upgrade: two processes, one member. The older one hears half of the answers and accuses
    nobody; its stop is its own and not the member's."""
    m = one()
    m.apply_update(m.began, MemberUpdate(0, ALIVE, 1005))
    assert m.superseded and not m.may_accuse(m.began, 2)
    m.leave(m.began, m.began + SECOND)
    assert m.members[0].state == ALIVE
    other = one(me=1)
    other.apply_update(other.began, MemberUpdate(0, ALIVE, 1005))
    other.apply_update(other.began, MemberUpdate(0, LEAVING, 1000, SECOND))
    assert other.members[0].state == ALIVE


def test_a_stop_is_believed_until_its_end_and_then_the_member_is_gone():
    m = one()
    m.apply_update(m.began, MemberUpdate(2, LEAVING, 1000, 3 * SECOND))
    assert m.members[2].until == m.began + 3 * SECOND and 2 in m.view(m.began).there
    for at in range(0, 3000, 200):
        list(m.outgoing(m.began + at * MS))
    assert m.members[2].state == LEAVING and m.dead_for(2, m.began) is None
    for at in range(3000, 4200, 200):
        list(m.outgoing(m.began + at * MS))
    assert m.members[2].state == DEAD and 0 < m.dead_for(2, m.began + 4 * SECOND) <= SECOND


@pytest.mark.parametrize(
    "payload",
    [
        b"",
        b"\x3f\xfe",
        b"\x3f\xfe" + b"\x00" * 40,
        b"\xc0\x00\x12\x34\x01",
        bytes(256),
        pack(b"\x02" + bytes(20)),
    ],
)
def test_a_liars_junk_is_counted_and_changes_nothing(payload):
    m = one()
    m.receive(m.began, 2, payload)
    m.receive(m.began, 99, encode(MembershipMessage(PING, 5), 99))
    m.receive(m.began, 0, encode(MembershipMessage(PING, 5), 0))
    assert m.counts["junk"] == 3 and all(x.state == UNKNOWN for x in m.members[1:])


@given(st.lists(st.tuples(st.integers(0, 6), MESSAGES), max_size=60), st.integers(1, 40))
@settings(max_examples=60, deadline=None)
def test_whatever_is_heard_state_stays_bounded_and_it_never_speaks_ill_of_itself(heard, nodes):
    m = Membership(0, max(2, nodes), 1000, 0, SECOND, random.Random(1).random)
    now = SECOND
    for sender, message in heard:
        now += 40 * MS
        m.receive(now, sender, encode(message, sender))
        assert (
            len(m.outbox) <= 256
            and len(m.probes) <= 64
            and len(m.updates_to_gossip) <= m.gateway_count
        )
        for to, payload in m.outgoing(now):
            said = decode(payload, 0)
            assert len(payload) <= MAX_DATAGRAM and to != 0
            assert said.time_left is None and not [
                c for c in said.updates if c.member == 0 and c.state != ALIVE
            ]


def test_claims_that_are_believed_are_told_on_a_bounded_number_of_times():
    m = one(nodes=40)
    m.apply_update(m.began, MemberUpdate(7, DEAD, 3))
    m.apply_update(m.began, MemberUpdate(8, ALIVE, 3))
    told, now = 0, m.began
    for _ in range(200):
        now += 200 * MS
        m.receive(now, 8, encode(MembershipMessage(PING, 3, sequence=9), 8))
        told += sum(
            c.member == 7 for _, payload in m.outgoing(now) for c in decode(payload, 0).updates
        )
    assert 6 <= told <= 40 and not m.updates_to_gossip


def test_a_full_datagram_holds_the_claims_told_least_often():
    m = one(nodes=200)
    for n in range(1, 200):
        m.apply_update(m.began, MemberUpdate(n, ALIVE, 5))
    first = {c.member for c in m.gossip(m.began, 3)}
    second = {c.member for c in m.gossip(m.began, 3)}
    assert len(first) == len(second) == MAX_UPDATES and not first & second
    assert HEAD + CLAIM * MAX_UPDATES <= 222


# ------------------------------------------------------------ many of them


def crowd(size, seed=1, **over):
    c = SimulatedFleet(size, seed, **over)
    c.run(SECOND)
    c.run_until(c.has_converged, 20 * SECOND)
    return c


@pytest.mark.parametrize("size", [2, 4, 12, 40, 200])
def test_a_killed_gateway_is_suspected_and_gone_everywhere_and_nobody_else(size):
    c = crowd(size)
    c.run(3 * SECOND)
    c.kill(1)
    rest = [m.gateway_number for m in c.alive()]
    suspected = c.run_until(
        lambda: any(m.members[1].state >= SUSPECT for m in c.alive()), 8 * SECOND
    )
    gone = c.run_until(lambda: c.all_see(1, DEAD), 20 * SECOND)
    assert suspected <= 4 * SECOND and gone <= 14 * SECOND
    assert all(c.all_see(n, ALIVE) for n in rest)
    assert all(not m.cut(c.clock(m.gateway_number)) for m in c.alive())


def test_a_restart_with_the_same_number_before_anyone_noticed_is_a_new_process_to_all():
    c = crowd(40)
    before = c.members[5].incarnation
    c.kill(5)
    c.run(200 * MS)
    c.start(5)
    c.run_until(c.has_converged, 6 * SECOND)
    assert newer(c.members[5].incarnation, before) and c.members[5].view(c.clock(5)).known == 1
    c.run(15 * SECOND)
    assert c.has_converged()


def test_a_clock_set_back_before_a_restart_does_not_keep_the_new_process_out():
    c = crowd(12)
    old = c.members[4].incarnation
    c.kill(4)
    c.run(20 * SECOND)
    assert c.all_see(4, DEAD)
    c.start(4, incarnation=old - 60_000)  # ten minutes back
    c.run_until(c.has_converged, 15 * SECOND)
    assert newer(c.members[4].incarnation, old)


def test_paused_for_five_seconds_it_blames_nobody_on_waking_and_refutes_what_was_said():
    c = crowd(40)
    c.pause(7)
    c.run(5 * SECOND)
    assert any(m.members[7].state == SUSPECT for m in c.alive())
    c.wake(7)
    mine = c.members[7]

    def blameless(_):
        assert all(m.state in (ALIVE, SUSPECT) for m in mine.members)
        assert not any(m.accuser for m in mine.members) and not mine.cut(c.clock(7))

    c.watch = blameless
    c.run_until(c.has_converged, 8 * SECOND)


@pytest.mark.parametrize(("deaf", "mute"), [(True, False), (False, True)])
def test_loss_in_one_direction_harms_nobody_but_the_one_it_meets(deaf, mute):
    """One that hears nobody knows that it is cut off and accuses nobody. One that nobody hears is
    gone to the others, and hears them say so."""
    c = crowd(40)
    c.cut = lambda a, b: (deaf and b == 3) or (mute and a == 3)
    c.run(20 * SECOND)
    assert all(c.all_see(n, ALIVE) for n in range(40) if n != 3)
    if deaf:
        assert c.members[3].cut(c.clock(3)) == "alone"
    if mute:
        assert c.all_see(3, DEAD, SUSPECT)
    c.cut = lambda a, b: False
    c.run_until(c.has_converged, 15 * SECOND)


@pytest.mark.parametrize("size", [4, 12, 40, 200])
def test_one_that_is_cut_off_knows_it_within_two_seconds_and_accuses_nobody(size):
    c = crowd(size)
    c.run(2 * SECOND)
    c.cut = lambda a, b: 2 in (a, b)
    took = c.run_until(lambda: c.members[2].cut(c.clock(2)) == "alone", 5 * SECOND)
    assert took <= 2 * SECOND + 100 * MS, took / SECOND
    c.run(15 * SECOND)
    assert not [m for m in c.members[2].members if m.state == DEAD] and c.all_see(2, DEAD)
    c.cut = lambda a, b: False
    c.run_until(c.has_converged, 15 * SECOND)


@pytest.mark.parametrize("size", [12, 40])
def test_a_zone_that_is_cut_off_knows_it_and_keeps_its_own(size):
    c = crowd(size)
    c.run(2 * SECOND)
    c.cut = lambda a, b: (a % 3 == 1) != (b % 3 == 1)
    zone = [n for n in range(size) if n % 3 == 1]
    c.run_until(lambda: all(c.members[n].cut(c.clock(n)) for n in zone), 5 * SECOND)
    c.run(15 * SECOND)
    for n in range(size):
        seen = {m.number: m.state for m in c.members[n].members}
        if n in zone:
            assert c.members[n].cut(c.clock(n)) == "zone" and DEAD not in seen.values()
        else:
            assert not c.members[n].cut(c.clock(n))
            assert {k for k, s in seen.items() if s == DEAD} == set(zone)
    c.cut = lambda a, b: False
    c.run_until(c.has_converged, 20 * SECOND)


@pytest.mark.parametrize("size", [12, 200])
def test_halves_each_go_on_by_themselves_and_agree_again_after_the_heal(size):
    c = crowd(size, zones=1)
    c.cut = lambda a, b: a % 2 != b % 2
    c.run_until(
        lambda: all(len(m.view(c.clock(m.gateway_number)).there) == size // 2 for m in c.alive()),
        30 * SECOND,
        step=SECOND,
    )
    assert all(not m.cut(c.clock(m.gateway_number)) for m in c.alive())
    c.cut = lambda a, b: False
    c.run_until(c.has_converged, (15 if size == 12 else 40) * SECOND, step=SECOND)


@pytest.mark.parametrize("loss", [0.2, 0.3])
def test_loss_and_doubling_and_reordering_make_nobody_gone(loss):
    c = crowd(40, late=120 * MS)
    c.loss, c.doubled, worst = loss, 0.2, []
    for _ in range(240):
        c.run(500 * MS)
        worst += [x.number for m in c.alive() for x in m.members if x.state == DEAD]
    assert not worst


def test_a_rolling_restart_two_at_a_time_is_seen_by_all_without_a_false_word():
    c = crowd(12)
    for first in range(0, 12, 2):
        for n in (first, first + 1):
            c.members[n].leave(c.clock(n), c.clock(n) + SECOND)
            c.arm(n)
        c.run(300 * MS)
        others = [m.gateway_number for m in c.alive() if m.gateway_number not in (first, first + 1)]
        assert all(c.all_see(n, LEAVING, by=others) for n in (first, first + 1))
        c.run(700 * MS)
        c.kill(first)
        c.kill(first + 1)
        c.run(300 * MS)
        c.start(first)
        c.start(first + 1)
        c.run(1500 * MS)
        assert all(c.all_see(n, ALIVE, by=others) for n in (first, first + 1))
    c.run_until(c.has_converged, 5 * SECOND)


def test_two_hundred_that_start_in_the_same_second_know_each_other_in_few_datagrams():
    c = SimulatedFleet(200, together=True)
    took = c.run_until(c.has_converged, 20 * SECOND)
    c.run(SECOND)
    assert took <= 3 * SECOND and c.bytes / 200 < 60_000
    before = c.delivered
    c.kill(9)
    c.run(500 * MS)
    c.start(9)
    c.run(400 * MS)
    c.run_until(lambda: c.members[9].view(c.clock(9)).known == 1, 3 * SECOND)
    assert c.delivered - before < 200 + 2 * 200 * 4 + 100


def test_clocks_minutes_apart_change_nothing():
    c = crowd(12, skew=300 * SECOND)
    c.kill(3)
    c.run_until(lambda: c.all_see(3, DEAD), 14 * SECOND)
    assert all(c.all_see(n, ALIVE) for n in range(12) if n != 3)


@pytest.mark.parametrize("size", [4, 40, 200])
def test_what_it_costs_at_rest_does_not_grow_with_the_number_of_members(size):
    c = crowd(size)
    c.run(40 * SECOND)
    messages, byte = c.delivered, c.bytes
    c.run(20 * SECOND)
    assert (c.delivered - messages) / size / 20 <= 2.2 and (c.bytes - byte) / size / 20 <= 80


def test_memory_and_bytes_stay_flat_in_an_hour():
    c = crowd(4)
    c.run(300 * SECOND)

    def held():
        return max(
            len(m.probes) + len(m.updates_to_gossip) + len(m.outbox) + len(m.targets.order)
            for m in c.alive()
        )

    most = held()
    before = c.bytes
    c.run(300 * SECOND)
    first = c.bytes - before
    c.run(2700 * SECOND)
    before = c.bytes
    c.run(300 * SECOND)
    assert c.bytes - before <= 1.05 * first and c.has_converged()
    assert held() <= most + 4


def test_notes_heard_are_signs_of_life():
    m = one(nodes=3)
    m.apply_update(m.began, MemberUpdate(1, ALIVE, 5))
    m.apply_update(m.began, MemberUpdate(2, ALIVE, 5))
    now = m.began
    for _ in range(40):
        now += 100 * MS
        m.sign_of_life(now, 1)
        for to, payload in m.outgoing(now):
            said = decode(payload, 0)
            if to == 1:
                kind = ACK if said.kind == PING else PING_REQUEST_ACK
                m.receive(
                    now,
                    1,
                    encode(
                        MembershipMessage(kind, 5, sequence=said.sequence, subject=said.subject), 1
                    ),
                )
    assert m.members[1].state == ALIVE and m.members[2].state >= SUSPECT


@pytest.mark.parametrize("kind", [PING_REQUEST, JOIN, TABLE, ACK])
def test_messages_that_name_nobody_or_nothing_known_are_borne(kind):
    m = one()
    m.receive(
        m.began + 5 * SECOND, 2, encode(MembershipMessage(kind, 5, subject=4000, sequence=77), 2)
    )
    for to, _ in m.outgoing(m.began + 5 * SECOND):
        assert 0 <= to < 5 or to == -1
