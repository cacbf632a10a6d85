"""Rendezvous hashing: all gateways compute the same ranking of engines without communication."""

from __future__ import annotations

from hashlib import blake2b

# Bytes of the digest in a weight; a float represents integers of 6 bytes exactly.
WEIGHT_BYTES = 6
WEIGHT_VALUES = 1 << 8 * WEIGHT_BYTES
TAG_VALUES = 1 << 16


def rank(key: str, engine: str) -> float:
    """Return the weight of an engine for a key, from 0 to 1; the same at every gateway."""
    digest = blake2b(f"{key}|{engine}".encode(), digest_size=WEIGHT_BYTES).digest()
    return int.from_bytes(digest, "big") / WEIGHT_VALUES


def tag(engine: str) -> int:
    """Return the 16-bit hash that stands for an engine in messages between gateways."""
    return int(rank("tag", engine) * TAG_VALUES)
