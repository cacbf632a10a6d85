"""Datagrams between gateways, as release f8ec737 wrote them: the same content, the same bytes.

Gateways of two versions share a fleet during an upgrade, so the bytes of each kind are fixed.
"""

import json
import pathlib

import pytest

from claycross.fleet import codec, load_aggregation, load_gossip

GOLDEN = json.loads((pathlib.Path(__file__).parent / "golden" / "datagrams.json").read_text())

KEYS = (b"first-key-16-bytes", b"second-key-16-byte")
SENDER = 3
CLAIMS = [
    codec.MemberUpdate(1, codec.ALIVE, 5),
    codec.MemberUpdate(700, codec.SUSPECT, 0xABCDEF),
    codec.MemberUpdate(4095, codec.LEAVING, 77, 1_500_000_000),
    codec.MemberUpdate(9, codec.DEAD, 12),
]
MEMBERSHIP = {
    "ping": codec.MembershipMessage(codec.PING, 1234, zone=7, sequence=900),
    "ack": codec.MembershipMessage(codec.ACK, 1234, zone=7, sequence=900, subject=17),
    "ping_request": codec.MembershipMessage(
        codec.PING_REQUEST, 99, zone=200, sequence=65535, subject=4
    ),
    "ping_request_ack": codec.MembershipMessage(
        codec.PING_REQUEST_ACK, 99, zone=200, sequence=65535, subject=4
    ),
    "join": codec.MembershipMessage(codec.JOIN, 0xFFFFFF),
    "table": codec.MembershipMessage(codec.TABLE, 8, zone=1, updates=CLAIMS),
    "stop": codec.MembershipMessage(
        codec.LEAVE, 8, zone=1, time_left=2_300_000_000, updates=CLAIMS[:1]
    ),
}
NOTES = {
    "read": (load_gossip.READ, 17, 0xBEEF, 3000.0),
    "write": (load_gossip.WRITE, 16382, 1, 250_000.0),
    "over": (load_gossip.WORK_ENDED, 17, 0, 0.0),
    "forget": (load_gossip.WORK_ENDED, load_gossip.SENDER_STARTED, 0, 0.0),
    "bad": (load_gossip.ENGINE_FAILED, 0, 0xFFFF, 1.0),
}
LOADS = {
    "snapshot": (load_aggregation.SNAPSHOT, 0, 7, [(1, 90), (0xFFFF, 255)], [(2, 100)], [5, 6]),
    "asking": (load_aggregation.SUMS_REQUEST, 1, 255, [], [(40000, 3)], []),
    "sums": (
        load_aggregation.SUMS,
        2,
        0,
        [(n, n) for n in range(30)],
        [(n, 0) for n in range(20)],
        [9],
    ),
    "fresh": (load_aggregation.LEASE_TAKEN, 0, 1, [], [], []),
    "leaving": (load_aggregation.LEASE_RELEASED, 0, 2, [], [], []),
}


def encoded():
    """Every datagram by name, in hexadecimal digits."""
    found = {}
    for name, message in MEMBERSHIP.items():
        found[f"membership {name}"] = codec.encode(message, SENDER).hex()
        found[f"membership {name} sealed"] = codec.encode(message, SENDER, KEYS).hex()
    for name, note in NOTES.items():
        found[f"note {name}"] = load_gossip.encode(*note).hex()
    for name, load in LOADS.items():
        found[f"load {name}"] = load_aggregation.encode(*load).hex()
    return found


@pytest.mark.parametrize("name", sorted(GOLDEN))
def test_each_datagram_is_encoded_to_the_recorded_bytes(name):
    assert encoded()[name] == GOLDEN[name]


def test_every_kind_is_recorded():
    assert encoded().keys() == GOLDEN.keys()


@pytest.mark.parametrize("name", sorted(MEMBERSHIP))
@pytest.mark.parametrize("keys", [(), KEYS, KEYS[::-1]], ids=["plain", "sealed", "keys turned"])
def test_a_recorded_membership_message_is_decoded_to_its_content(name, keys):
    payload = bytes.fromhex(GOLDEN[f"membership {name} sealed" if keys else f"membership {name}"])
    assert codec.decode(payload, SENDER, keys) == MEMBERSHIP[name]


@pytest.mark.parametrize("name", sorted(NOTES))
def test_a_recorded_note_is_decoded_to_its_content(name):
    kind, number, tag, size = NOTES[name]
    ((found_kind, found_number, found_tag, found_size),) = load_gossip.decode(
        bytes.fromhex(GOLDEN[f"note {name}"])
    )
    assert (found_kind, found_number, found_tag) == (kind, number, tag)
    assert found_size == pytest.approx(size, rel=0.05)


@pytest.mark.parametrize("name", sorted(LOADS))
def test_recorded_loads_are_decoded_to_their_content(name):
    kind, slot, sequence, reads, writes, blamed = LOADS[name]
    found = load_aggregation.decode(bytes.fromhex(GOLDEN[f"load {name}"]))
    assert (found.kind, found.shard, found.sequence) == (kind, slot, sequence)
    work = {(load_gossip.READ, tag): size for tag, size in reads}
    work |= {(load_gossip.WRITE, tag): size for tag, size in writes}
    assert found.work == work
    assert list(found.failed_engines) == blamed
