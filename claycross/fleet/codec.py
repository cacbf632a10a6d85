"""Wire codec of the membership datagrams.

A datagram is a sequence of 16-bit words, most significant byte first, each with its two upper bits
clear and 14 bits of content below them. A gateway of a version that knows only load gossip reads
such words as ends of work that was never announced, and ignores them, so processes of both versions
run side by side during an upgrade. The first word is MAGIC. The content:

    version (1 byte), kind (1), sender's incarnation (3), zone hash (1), time left until the sender
    leaves, in tenths of a second plus one, or 0 while it stays (1), sequence (2), subject (2),
    number of updates (1), updates of 6 bytes: member and state (2: 12 and 4 bits), incarnation (3),
    time left (1); signature (8), if any

The signature is a keyed BLAKE2b hash of everything before it and of the sender's number. Two keys
may be valid at once: the first signs, either verifies, so keys can be rotated without a moment in
which gateways can't understand each other.

Decoding never raises: it returns None for an invalid datagram.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field
from enum import IntEnum

MAGIC = 0x3FFE  # the first word; the work numbers of load gossip stay below it
VERSION = 1
MAX_DATAGRAM_BYTES = 256
WORD_BYTES = 2
WORD_BITS = 14  # bits of content in a word
WORD_MASK = (1 << WORD_BITS) - 1
UPPER_BITS_MASK = 0xC0  # in a word's first byte: always clear
HEADER_BYTES = 12  # of content, before the updates
UPDATE_BYTES = 6
SIGNATURE_BYTES = 8
MAX_CONTENT_BYTES = (MAX_DATAGRAM_BYTES // WORD_BYTES - 1) * WORD_BITS // 8
MAX_UPDATES = (MAX_CONTENT_BYTES - HEADER_BYTES - SIGNATURE_BYTES) // UPDATE_BYTES
INCARNATION_RANGE = 1 << 24  # incarnations wrap around at this number
NO_SUBJECT = 0xFFFF  # subject of a message that names no member
TENTH_OF_SECOND_NS = 100_000_000
MAX_TENTHS_LEFT = 254  # tenths of a second until a leave, at most: it takes one byte
STATE_BITS = 4  # in the 16 bits of a member's number and state
STATE_MASK = (1 << STATE_BITS) - 1


class MessageKind(IntEnum):
    """The kinds of membership messages, by their number on the wire."""

    PING = 1
    ACK = 2
    PING_REQUEST = 3
    PING_REQUEST_ACK = 4
    JOIN = 5
    TABLE = 6
    LEAVE = 7


class MemberState(IntEnum):
    """A member's state, by its number on the wire.

    Of two updates on one incarnation the higher state wins.
    """

    UNKNOWN = 0
    ALIVE = 1
    SUSPECT = 2
    LEAVING = 3
    DEAD = 4


PING = MessageKind.PING
ACK = MessageKind.ACK
PING_REQUEST = MessageKind.PING_REQUEST
PING_REQUEST_ACK = MessageKind.PING_REQUEST_ACK
JOIN = MessageKind.JOIN
TABLE = MessageKind.TABLE
LEAVE = MessageKind.LEAVE
UNKNOWN = MemberState.UNKNOWN
ALIVE = MemberState.ALIVE
SUSPECT = MemberState.SUSPECT
LEAVING = MemberState.LEAVING
DEAD = MemberState.DEAD


@dataclass(slots=True, frozen=True)
class MemberUpdate:
    """What a gateway reports of one member's state."""

    member: int
    state: int
    incarnation: int
    time_left: int = 0  # nanoseconds until a leaving member stops


@dataclass(slots=True)
class MembershipMessage:
    """The content of one membership datagram."""

    kind: int
    incarnation: int  # the sender's
    zone: int = 0
    time_left: int | None = None  # nanoseconds until the sender leaves; None: it stays
    sequence: int = 0
    subject: int = NO_SUBJECT
    updates: list[MemberUpdate] = field(default_factory=list)


def newer(left: int, right: int, modulus: int = INCARNATION_RANGE) -> bool:
    """Return whether `left` comes after `right` in serial number arithmetic (RFC 1982)."""
    return left != right and (left - right) % modulus < modulus // 2


def encode_time_left(time_left: int | None) -> int:
    """Encode nanoseconds as tenths of a second plus one, rounded up and bounded; None as 0."""
    if time_left is None:
        return 0
    rounded_up = -(-time_left // TENTH_OF_SECOND_NS)
    return min(MAX_TENTHS_LEFT, max(0, rounded_up)) + 1


def decode_time_left(encoded: int) -> int | None:
    """Decode the result of `encode_time_left`, in nanoseconds."""
    if encoded == 0:
        return None
    return (encoded - 1) * TENTH_OF_SECOND_NS


def sign(content: bytes, sender: int, key: bytes) -> bytes:
    """Return the signature of a message's content from that sender."""
    signed = content + sender.to_bytes(2)
    return hashlib.blake2b(signed, key=key, digest_size=SIGNATURE_BYTES).digest()


def pack(content: bytes, magic: int = MAGIC) -> bytes:
    """Spread content over 16-bit words with their two upper bits clear, after the magic word."""
    bits = int.from_bytes(content)
    size = len(content) * 8
    words = -(-size // WORD_BITS)
    bits <<= words * WORD_BITS - size
    packed = bytearray(magic.to_bytes(WORD_BYTES))
    for index in reversed(range(words)):
        word = bits >> WORD_BITS * index & WORD_MASK
        packed += word.to_bytes(WORD_BYTES)
    return bytes(packed)


def unpack(payload: bytes, magic: int = MAGIC) -> bytes | None:
    """Return the content that was packed, up to one zero byte longer; None if it is invalid."""
    if not WORD_BYTES < len(payload) <= MAX_DATAGRAM_BYTES or len(payload) % WORD_BYTES:
        return None
    if int.from_bytes(payload[:WORD_BYTES]) != magic:
        return None
    bits = 0
    for start in range(WORD_BYTES, len(payload), WORD_BYTES):
        if payload[start] & UPPER_BITS_MASK:
            return None
        bits = bits << WORD_BITS | int.from_bytes(payload[start : start + WORD_BYTES])
    size = (len(payload) // WORD_BYTES - 1) * WORD_BITS
    return (bits >> size % 8).to_bytes(size // 8)


def is_message(payload: bytes) -> bool:
    """Return whether the datagram is a membership message rather than load gossip."""
    return payload[:WORD_BYTES] == MAGIC.to_bytes(WORD_BYTES)


def encode(message: MembershipMessage, sender: int, keys: tuple[bytes, ...] = ()) -> bytes:
    """Encode a message; updates beyond MAX_UPDATES are left out."""
    updates = message.updates[:MAX_UPDATES]
    content = bytearray((VERSION, message.kind))
    content += message.incarnation.to_bytes(3)
    content.append(message.zone)
    content.append(encode_time_left(message.time_left))
    content += message.sequence.to_bytes(2)
    content += message.subject.to_bytes(2)
    content.append(len(updates))
    for update in updates:
        content += encode_update(update)
    if keys:
        content += sign(bytes(content), sender, keys[0])
    return pack(bytes(content))


def encode_update(update: MemberUpdate) -> bytes:
    """Encode one update."""
    time_left = update.time_left if update.state == LEAVING else None
    member_and_state = update.member << STATE_BITS | update.state
    return (
        member_and_state.to_bytes(2)
        + update.incarnation.to_bytes(3)
        + bytes([encode_time_left(time_left)])
    )


def decode(payload: bytes, sender: int, keys: tuple[bytes, ...] = ()) -> MembershipMessage | None:
    """Decode a datagram; None if it is invalid, of another version, or wrongly signed."""
    content = unpack(payload)
    if content is None or len(content) < HEADER_BYTES or content[0] != VERSION:
        return None
    if not PING <= content[1] <= LEAVE:
        return None
    update_count = content[11]
    end = HEADER_BYTES + UPDATE_BYTES * update_count
    size = end + (SIGNATURE_BYTES if keys else 0)
    # Unpacking may leave one byte more than was packed.
    if not size <= len(content) <= size + 1:
        return None
    if keys and not is_signed(content[:end], content[end:size], sender, keys):
        return None
    updates = decode_updates(content[HEADER_BYTES:end])
    if updates is None:
        return None
    return MembershipMessage(
        kind=MessageKind(content[1]),
        incarnation=int.from_bytes(content[2:5]),
        zone=content[5],
        time_left=decode_time_left(content[6]),
        sequence=int.from_bytes(content[7:9]),
        subject=int.from_bytes(content[9:11]),
        updates=updates,
    )


def is_signed(content: bytes, signature: bytes, sender: int, keys: tuple[bytes, ...]) -> bool:
    """Return whether any of the keys verifies the signature."""
    return signature in [sign(content, sender, key) for key in keys]


def decode_updates(content: bytes) -> list[MemberUpdate] | None:
    """Decode the updates of a message; None if the state of one is invalid."""
    updates = []
    for start in range(0, len(content), UPDATE_BYTES):
        member_and_state = int.from_bytes(content[start : start + 2])
        state = member_and_state & STATE_MASK
        if not ALIVE <= state <= DEAD:
            return None
        updates.append(
            MemberUpdate(
                member=member_and_state >> STATE_BITS,
                state=MemberState(state),
                incarnation=int.from_bytes(content[start + 2 : start + 5]),
                time_left=decode_time_left(content[start + 5]) or 0,
            )
        )
    return updates
