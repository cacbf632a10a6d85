"""The membership protocol: its codec, one member alone, and up to 200 in a simulated network."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from claycross.fleet.codec import (
    ACK,
    HEADER_BYTES,
    INCARNATION_RANGE,
    JOIN,
    MAX_DATAGRAM_BYTES,
    MAX_UPDATES,
    PING,
    PING_REQUEST,
    PING_REQUEST_ACK,
    TABLE,
    UPDATE_BYTES,
    WORD_BYTES,
    MembershipMessage,
    decode,
    encode,
    is_message,
    newer,
    pack,
    unpack,
)
from claycross.fleet.member_state import Isolation
from claycross.fleet.membership import (
    ALIVE,
    ALL_GATEWAYS,
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

UPDATES = st.lists(
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
    st.one_of(st.none(), st.integers(0, 250).map(lambda tenths: tenths * 100 * MS)),
    st.integers(0, 65535),
    st.integers(0, 65535),
    UPDATES,
)
KEYS = [(), (b"first",), (b"first", b"second")]


# ------------------------------------------------------------ codec


@pytest.mark.parametrize("keys", KEYS)
@given(message=MESSAGES, sender=st.integers(0, 4095))
def test_an_encoded_message_is_decoded_to_its_content(keys, message, sender):
    payload = encode(message, sender, keys)
    assert len(payload) <= MAX_DATAGRAM_BYTES
    assert is_message(payload)
    assert decode(payload, sender, keys) == message
    # A process that knows only load gossip reads ends of work that was never announced.
    for start in range(0, len(payload), WORD_BYTES):
        assert payload[start] < 0x40


@given(st.binary(max_size=260))
def test_random_bytes_are_decoded_without_an_exception(payload):
    decode(payload, 1)
    decode(pack(payload[:200]), 1)
    assert decode(payload, 1, (b"key",)) is None


@given(st.binary(min_size=1, max_size=222))
def test_packed_content_is_unpacked(content):
    assert unpack(pack(content))[: len(content)] == content


@given(message=MESSAGES, at=st.integers(2, 255), flip=st.integers(1, 63))
def test_a_signature_covers_content_and_sender(message, at, flip):
    payload = bytearray(encode(message, 3, (b"key",)))
    assert decode(bytes(payload), 4, (b"key",)) is None
    assert decode(bytes(payload), 3, (b"other",)) is None
    assert decode(bytes(payload), 3, (b"other", b"key")) == message  # during a key rotation
    payload[at % len(payload)] ^= flip
    decoded = decode(bytes(payload), 3, (b"key",))
    assert decoded is None or decoded == message  # the last bits of a datagram are padding


@given(st.integers(0, INCARNATION_RANGE - 1), st.integers(1, INCARNATION_RANGE // 2 - 1))
def test_incarnations_wrap_around(older, difference):
    later = (older + difference) % INCARNATION_RANGE
    assert newer(later, older)
    assert not newer(older, later)
    assert not newer(older, older)


# ------------------------------------------------------------ one member alone


def new_membership(number=0, gateway_count=5, now=100 * SECOND):
    draw = random.Random(number).random
    return Membership(number, gateway_count, 1000, 0, now, draw, MembershipConfig())


STATES_AND_INCARNATIONS = st.lists(
    st.tuples(st.sampled_from([ALIVE, SUSPECT, LEAVING, DEAD]), st.integers(990, 1010)),
    min_size=1,
    max_size=12,
)


@given(STATES_AND_INCARNATIONS, st.randoms())
def test_the_final_state_does_not_depend_on_the_order_of_updates(updates, draw):
    ordered, shuffled = new_membership(), new_membership()
    shuffled_updates = draw.sample(updates, len(updates)) + updates[:3]  # some of them twice
    for membership, received in ((ordered, updates), (shuffled, shuffled_updates)):
        for state, incarnation in received:
            time_left = SECOND if state == LEAVING else 0
            membership.apply_update(
                membership.started_at, MemberUpdate(2, state, incarnation, time_left)
            )
    member = ordered.members[2]
    other = shuffled.members[2]
    assert (member.state, member.incarnation) == (other.state, other.incarnation)
    newest = max(incarnation for _, incarnation in updates)
    assert member.incarnation == newest
    assert member.state == max(state for state, number in updates if number == newest)


@pytest.mark.parametrize(
    "late_update",
    [
        MemberUpdate(2, DEAD, 1000),
        MemberUpdate(2, SUSPECT, 1000),
        MemberUpdate(2, LEAVING, 1000, SECOND),
    ],
)
def test_a_late_update_about_an_earlier_process_does_not_affect_the_new_one(late_update):
    membership = new_membership()
    membership.apply_update(membership.started_at, MemberUpdate(2, ALIVE, 1001))
    membership.apply_update(membership.started_at, late_update)
    assert membership.members[2].state == ALIVE
    assert membership.members[2].incarnation == 1001


@pytest.mark.parametrize("state", [SUSPECT, DEAD])
@pytest.mark.parametrize("ahead", [0, 5])
def test_a_wrong_update_about_itself_is_refuted_with_a_newer_incarnation(state, ahead):
    membership = new_membership()
    now = membership.started_at
    membership.apply_update(now, MemberUpdate(0, state, 1000 + ahead))
    assert membership.incarnation == 1001 + ahead
    assert not membership.superseded
    sent = [
        update
        for _, payload in membership.outgoing(now)
        for update in decode(payload, 0).updates
        if update.member == 0
    ]
    assert sent
    assert sent[0].state == ALIVE
    assert sent[0].incarnation == membership.incarnation


def test_an_update_about_its_own_earlier_process_is_not_refuted():
    membership = new_membership()
    membership.apply_update(membership.started_at, MemberUpdate(0, DEAD, 999))
    assert membership.incarnation == 1000
    assert membership.counts["refuted"] == 0


def test_a_newer_process_of_the_same_number_supersedes_this_one():
    """During an upgrade two processes are one member. The older one receives half of the answers,
    so it suspects nobody, and that it stops does not mean that the member leaves."""
    membership = new_membership()
    now = membership.started_at
    membership.apply_update(now, MemberUpdate(0, ALIVE, 1005))
    assert membership.superseded
    assert not membership.may_suspect(now, 2)
    membership.leave(now, now + SECOND)
    assert membership.members[0].state == ALIVE
    other = new_membership(number=1)
    other.apply_update(now, MemberUpdate(0, ALIVE, 1005))
    other.apply_update(now, MemberUpdate(0, LEAVING, 1000, SECOND))
    assert other.members[0].state == ALIVE


def test_a_leaving_member_is_dead_after_its_announced_stop():
    membership = new_membership()
    start = membership.started_at
    membership.apply_update(start, MemberUpdate(2, LEAVING, 1000, 3 * SECOND))
    member = membership.members[2]
    assert member.deadline == start + 3 * SECOND
    assert 2 in membership.view(start).present
    for elapsed_ms in range(0, 3000, 200):
        list(membership.outgoing(start + elapsed_ms * MS))
    assert member.state == LEAVING
    assert membership.dead_for(2, start) is None
    for elapsed_ms in range(3000, 4200, 200):
        list(membership.outgoing(start + elapsed_ms * MS))
    assert member.state == DEAD
    assert 0 < membership.dead_for(2, start + 4 * SECOND) <= SECOND


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
def test_invalid_datagrams_are_counted_and_change_nothing(payload):
    membership = new_membership()
    now = membership.started_at
    membership.receive(now, 2, payload)
    membership.receive(now, 99, encode(MembershipMessage(PING, 5), 99))
    membership.receive(now, 0, encode(MembershipMessage(PING, 5), 0))
    assert membership.counts["junk"] == 3
    assert all(member.state == UNKNOWN for member in membership.members[1:])


@given(st.lists(st.tuples(st.integers(0, 6), MESSAGES), max_size=60), st.integers(1, 40))
@settings(max_examples=60, deadline=None)
def test_any_messages_leave_its_state_bounded_and_its_reports_on_itself_alive(received, size):
    membership = Membership(0, max(2, size), 1000, 0, SECOND, random.Random(1).random)
    now = SECOND
    for sender, message in received:
        now += 40 * MS
        membership.receive(now, sender, encode(message, sender))
        assert len(membership.outbox) <= 256
        assert len(membership.probes) <= 64
        assert len(membership.updates_to_gossip) <= membership.gateway_count
        for recipient, payload in membership.outgoing(now):
            sent = decode(payload, 0)
            assert len(payload) <= MAX_DATAGRAM_BYTES
            assert recipient != 0
            assert sent.time_left is None
            assert all(update.member != 0 or update.state == ALIVE for update in sent.updates)


def test_adopted_updates_are_gossiped_a_bounded_number_of_times():
    membership = new_membership(gateway_count=40)
    now = membership.started_at
    membership.apply_update(now, MemberUpdate(7, DEAD, 3))
    membership.apply_update(now, MemberUpdate(8, ALIVE, 3))
    transmissions = 0
    for _ in range(200):
        now += 200 * MS
        membership.receive(now, 8, encode(MembershipMessage(PING, 3, sequence=9), 8))
        transmissions += sum(
            update.member == 7
            for _, payload in membership.outgoing(now)
            for update in decode(payload, 0).updates
        )
    assert 6 <= transmissions <= 40
    assert not membership.updates_to_gossip


def test_a_full_datagram_holds_the_updates_that_were_transmitted_least_often():
    membership = new_membership(gateway_count=200)
    now = membership.started_at
    for number in range(1, 200):
        membership.apply_update(now, MemberUpdate(number, ALIVE, 5))
    first = {update.member for update in membership.select_updates(now, 3)}
    second = {update.member for update in membership.select_updates(now, 3)}
    assert len(first) == len(second) == MAX_UPDATES
    assert not first & second
    assert HEADER_BYTES + UPDATE_BYTES * MAX_UPDATES <= 222


def test_load_gossip_is_a_sign_of_life():
    membership = new_membership(gateway_count=3)
    now = membership.started_at
    membership.apply_update(now, MemberUpdate(1, ALIVE, 5))
    membership.apply_update(now, MemberUpdate(2, ALIVE, 5))
    for _ in range(40):
        now += 100 * MS
        membership.record_sign_of_life(now, 1)
        for recipient, payload in membership.outgoing(now):
            sent = decode(payload, 0)
            if recipient == 1:
                kind = ACK if sent.kind == PING else PING_REQUEST_ACK
                answer = MembershipMessage(kind, 5, sequence=sent.sequence, subject=sent.subject)
                membership.receive(now, 1, encode(answer, 1))
    assert membership.members[1].state == ALIVE
    assert membership.members[2].state >= SUSPECT


@pytest.mark.parametrize("kind", [PING_REQUEST, JOIN, TABLE, ACK])
def test_messages_with_unknown_subject_and_sequence_are_handled(kind):
    membership = new_membership()
    now = membership.started_at + 5 * SECOND
    message = MembershipMessage(kind, 5, subject=4000, sequence=77)
    membership.receive(now, 2, encode(message, 2))
    for recipient, _ in membership.outgoing(now):
        assert 0 <= recipient < 5 or recipient == ALL_GATEWAYS


# ------------------------------------------------------------ a fleet


def converged_fleet(size, seed=1, **options):
    fleet = SimulatedFleet(size, seed, **options)
    fleet.run(SECOND)
    fleet.run_until(fleet.has_converged, 20 * SECOND)
    return fleet


def isolation_of(fleet, number):
    return fleet.members[number].isolation(fleet.clock(number))


def nobody_is_isolated(fleet):
    return all(not isolation_of(fleet, member.gateway_number) for member in fleet.alive())


def heal(fleet):
    fleet.is_blocked = lambda sender, receiver: False


@pytest.mark.parametrize("size", [2, 4, 12, 40, 200])
def test_a_killed_gateway_and_no_other_is_suspected_and_then_dead_everywhere(size):
    fleet = converged_fleet(size)
    fleet.run(3 * SECOND)
    fleet.kill(1)
    remaining = [member.gateway_number for member in fleet.alive()]
    suspected_after = fleet.run_until(
        lambda: any(member.members[1].state >= SUSPECT for member in fleet.alive()), 8 * SECOND
    )
    dead_after = fleet.run_until(lambda: fleet.all_see(1, DEAD), 20 * SECOND)
    assert suspected_after <= 4 * SECOND
    assert dead_after <= 14 * SECOND
    assert all(fleet.all_see(number, ALIVE) for number in remaining)
    assert nobody_is_isolated(fleet)


def test_a_restart_before_the_stop_was_detected_is_seen_as_a_new_process():
    fleet = converged_fleet(40)
    before = fleet.members[5].incarnation
    fleet.kill(5)
    fleet.run(200 * MS)
    fleet.start(5)
    fleet.run_until(fleet.has_converged, 6 * SECOND)
    assert newer(fleet.members[5].incarnation, before)
    assert fleet.members[5].view(fleet.clock(5)).known_share == 1
    fleet.run(15 * SECOND)
    assert fleet.has_converged()


def test_a_process_whose_clock_was_set_back_before_its_start_can_join():
    fleet = converged_fleet(12)
    old = fleet.members[4].incarnation
    fleet.kill(4)
    fleet.run(20 * SECOND)
    assert fleet.all_see(4, DEAD)
    fleet.start(4, incarnation=old - 60_000)  # ten minutes back
    fleet.run_until(fleet.has_converged, 15 * SECOND)
    assert newer(fleet.members[4].incarnation, old)


def test_a_process_that_was_paused_suspects_nobody_and_refutes_its_suspicion():
    fleet = converged_fleet(40)
    fleet.pause(7)
    fleet.run(5 * SECOND)
    assert any(member.members[7].state == SUSPECT for member in fleet.alive())
    fleet.resume(7)
    resumed = fleet.members[7]

    def assert_suspects_nobody(_):
        assert all(member.state in (ALIVE, SUSPECT) for member in resumed.members)
        assert not any(member.suspected_here for member in resumed.members)
        assert not isolation_of(fleet, 7)

    fleet.after_event = assert_suspects_nobody
    fleet.run_until(fleet.has_converged, 8 * SECOND)


@pytest.mark.parametrize(("blocks_receiving", "blocks_sending"), [(True, False), (False, True)])
def test_loss_in_one_direction_affects_only_the_member_concerned(blocks_receiving, blocks_sending):
    """A member that receives nothing knows that it is isolated and suspects nobody. One whose
    messages are all lost is dead for the others, and receives that they say so."""
    fleet = converged_fleet(40)
    fleet.is_blocked = lambda sender, receiver: (
        (blocks_receiving and receiver == 3) or (blocks_sending and sender == 3)
    )
    fleet.run(20 * SECOND)
    assert all(fleet.all_see(number, ALIVE) for number in range(40) if number != 3)
    if blocks_receiving:
        assert isolation_of(fleet, 3) == Isolation.ALL
    if blocks_sending:
        assert fleet.all_see(3, DEAD, SUSPECT)
    heal(fleet)
    fleet.run_until(fleet.has_converged, 15 * SECOND)


@pytest.mark.parametrize("size", [4, 12, 40, 200])
def test_an_isolated_member_detects_that_within_two_seconds_and_declares_nobody_dead(size):
    fleet = converged_fleet(size)
    fleet.run(2 * SECOND)
    fleet.is_blocked = lambda sender, receiver: 2 in (sender, receiver)
    elapsed = fleet.run_until(lambda: isolation_of(fleet, 2) == Isolation.ALL, 5 * SECOND)
    assert elapsed <= 2 * SECOND + 100 * MS, elapsed / SECOND
    fleet.run(15 * SECOND)
    assert all(member.state != DEAD for member in fleet.members[2].members)
    assert fleet.all_see(2, DEAD)
    heal(fleet)
    fleet.run_until(fleet.has_converged, 15 * SECOND)


@pytest.mark.parametrize("size", [12, 40])
def test_an_isolated_zone_detects_that_and_declares_nobody_dead(size):
    fleet = converged_fleet(size)
    fleet.run(2 * SECOND)
    fleet.is_blocked = lambda sender, receiver: (sender % 3 == 1) != (receiver % 3 == 1)
    zone = [number for number in range(size) if number % 3 == 1]
    fleet.run_until(lambda: all(isolation_of(fleet, number) for number in zone), 5 * SECOND)
    fleet.run(15 * SECOND)
    for number in range(size):
        states = {member.number: member.state for member in fleet.members[number].members}
        if number in zone:
            assert isolation_of(fleet, number) == Isolation.OTHER_ZONES
            assert DEAD not in states.values()
        else:
            assert not isolation_of(fleet, number)
            assert {other for other, state in states.items() if state == DEAD} == set(zone)
    heal(fleet)
    fleet.run_until(fleet.has_converged, 20 * SECOND)


@pytest.mark.parametrize("size", [12, 200])
def test_the_halves_of_a_partition_carry_on_and_converge_after_it_has_healed(size):
    fleet = converged_fleet(size, zones=1)
    fleet.is_blocked = lambda sender, receiver: sender % 2 != receiver % 2

    def each_half_is_alone():
        return all(
            len(member.view(fleet.clock(member.gateway_number)).present) == size // 2
            for member in fleet.alive()
        )

    fleet.run_until(each_half_is_alone, 30 * SECOND, step=SECOND)
    assert nobody_is_isolated(fleet)
    heal(fleet)
    fleet.run_until(fleet.has_converged, (15 if size == 12 else 40) * SECOND, step=SECOND)


@pytest.mark.parametrize("loss", [0.2, 0.3])
def test_loss_duplication_and_reordering_make_no_member_dead(loss):
    fleet = converged_fleet(40, max_delay=120 * MS)
    fleet.loss = loss
    fleet.duplication = 0.2
    declared_dead = []
    for _ in range(240):
        fleet.run(500 * MS)
        declared_dead += [
            member.number
            for observer in fleet.alive()
            for member in observer.members
            if member.state == DEAD
        ]
    assert not declared_dead


def test_a_rolling_restart_of_two_at_a_time_is_seen_by_all():
    fleet = converged_fleet(12)
    for first in range(0, 12, 2):
        restarted = (first, first + 1)
        for number in restarted:
            now = fleet.clock(number)
            fleet.members[number].leave(now, now + SECOND)
            fleet.set_timer(number)
        fleet.run(300 * MS)
        others = {member.gateway_number for member in fleet.alive()} - set(restarted)
        assert all(fleet.all_see(number, LEAVING, observers=others) for number in restarted)
        fleet.run(700 * MS)
        for number in restarted:
            fleet.kill(number)
        fleet.run(300 * MS)
        for number in restarted:
            fleet.start(number)
        fleet.run(1500 * MS)
        assert all(fleet.all_see(number, ALIVE, observers=others) for number in restarted)
    fleet.run_until(fleet.has_converged, 5 * SECOND)


def test_two_hundred_that_start_at_once_converge_with_few_datagrams():
    fleet = SimulatedFleet(200, simultaneous=True)
    elapsed = fleet.run_until(fleet.has_converged, 20 * SECOND)
    fleet.run(SECOND)
    assert elapsed <= 3 * SECOND
    assert fleet.bytes / 200 < 60_000
    delivered_before = fleet.delivered
    fleet.kill(9)
    fleet.run(500 * MS)
    fleet.start(9)
    fleet.run(400 * MS)
    fleet.run_until(lambda: fleet.members[9].view(fleet.clock(9)).known_share == 1, 3 * SECOND)
    assert fleet.delivered - delivered_before < 200 + 2 * 200 * 4 + 100


def test_clocks_that_differ_by_minutes_change_nothing():
    fleet = converged_fleet(12, clock_skew=300 * SECOND)
    fleet.kill(3)
    fleet.run_until(lambda: fleet.all_see(3, DEAD), 14 * SECOND)
    assert all(fleet.all_see(number, ALIVE) for number in range(12) if number != 3)


@pytest.mark.parametrize("size", [4, 40, 200])
def test_the_traffic_of_each_member_does_not_grow_with_the_fleet(size):
    fleet = converged_fleet(size)
    fleet.run(40 * SECOND)
    delivered_before = fleet.delivered
    bytes_before = fleet.bytes
    fleet.run(20 * SECOND)
    assert (fleet.delivered - delivered_before) / size / 20 <= 2.2
    assert (fleet.bytes - bytes_before) / size / 20 <= 80


def test_memory_and_traffic_stay_constant_for_an_hour():
    fleet = converged_fleet(4)
    fleet.run(300 * SECOND)

    def most_records():
        return max(
            len(member.probes)
            + len(member.updates_to_gossip)
            + len(member.outbox)
            + len(member.probe_targets.order)
            for member in fleet.alive()
        )

    def bytes_in_five_minutes():
        before = fleet.bytes
        fleet.run(300 * SECOND)
        return fleet.bytes - before

    records_before = most_records()
    traffic_before = bytes_in_five_minutes()
    fleet.run(2700 * SECOND)
    assert bytes_in_five_minutes() <= 1.05 * traffic_before
    assert fleet.has_converged()
    assert most_records() <= records_before + 4
