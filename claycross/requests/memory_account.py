"""The account of the memory that requests of all clients and their responses hold, by kind.

Each kind has a share of the process's limit. A holder is charged for what it keeps before it keeps
more, and gives it back in one call. The module does no I/O and reads no clock.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Any, NamedTuple

from ..invariant import invariant

MEGABYTE = 1_000_000  # bytes
# What the process needs for itself: the interpreter, the program, the endpoint list, connections.
PROCESS_BYTES = 40 * MEGABYTE
UNLIMITED_BYTES = 1 << 62
MIN_BUDGET_PART = 0.25  # of the limit, where the process itself would leave less


class MemoryKind(StrEnum):
    """What memory is held for; the values are names of gauges."""

    UNFINISHED = "unfinished"  # requests that have arrived in part
    READ_AHEAD = "read_ahead"  # what clients sent behind a request that is under way
    REQUESTS = "requests"  # complete requests until they are over
    RESPONSES = "responses"  # what engines sent and was not forwarded yet


# Of the budget for clients. The rest is for copies on their way, for answers, and for what the
# allocator does not return to the system.
SHARES = {
    MemoryKind.UNFINISHED: 0.2,
    MemoryKind.READ_AHEAD: 0.1,
    MemoryKind.REQUESTS: 0.3,
    MemoryKind.RESPONSES: 0.2,
}

# Holders with more than LARGE_HOLDER_BYTES leave the rest of a share to the others.
LARGE_HOLDER_BYTES = 65_536
LARGE_HOLDERS_PART = 0.75


class KindUsage(NamedTuple):
    """What is held of one kind, in bytes."""

    kind: MemoryKind
    held: int
    share: int


class MemoryAccount:
    """Bounds what requests hold by shares of one limit.

    Holders are told apart by identity. Those that may be discarded have a method `discard`, which
    frees what they hold; the account has already taken it back then.
    """

    def __init__(self, limit: int) -> None:
        """`limit`: of the process, in bytes."""
        budget = max(limit - PROCESS_BYTES, int(limit * MIN_BUDGET_PART))
        self.shares = {kind: int(budget * part) for kind, part in SHARES.items()}
        self.held = dict.fromkeys(MemoryKind, 0)
        self.holdings: dict[MemoryKind, dict[Any, int]] = {kind: {} for kind in MemoryKind}
        self.refusals = dict.fromkeys(MemoryKind, 0)
        self.discarded = 0  # holders whose memory was freed for others

    def fits(self, kind: MemoryKind, growth: int, size: int = 0) -> bool:
        """Return whether a holder that then has `size` bytes may have `growth` bytes more."""
        part = LARGE_HOLDERS_PART if size > LARGE_HOLDER_BYTES else 1.0
        return self.held[kind] + growth <= self.shares[kind] * part

    def charge(self, kind: MemoryKind, holder: object, size: int) -> bool:
        """Set what a holder has in total to `size` bytes; False: it has what it had before.

        Less than before always fits.
        """
        holdings = self.holdings[kind]
        growth = size - holdings.get(holder, 0)
        if growth > 0 and not self.fits(kind, growth, size):
            self.refusals[kind] += 1
            return False
        self.held[kind] += growth
        holdings[holder] = size
        return True

    def charge_by_discarding(self, kind: MemoryKind, holder: object, size: int) -> bool:
        """Charge as charge() does; larger holders are discarded while the share has no room.

        False: no other holder has as much as this one would have.
        """
        while not self.charge(kind, holder, size):
            largest = max(self.holdings[kind].items(), key=lambda item: item[1], default=None)
            if largest is None or largest[0] is holder or largest[1] < size:
                return False
            self.give_back(kind, largest[0])
            self.discarded += 1
            largest[0].discard()
        return True

    def holds(self, kind: MemoryKind, holder: object) -> bool:
        """Return whether a holder was charged and has not given back."""
        return holder in self.holdings[kind]

    def give_back(self, kind: MemoryKind, holder: object) -> None:
        """Take back all that a holder has; one that has nothing is ignored."""
        self.held[kind] -= self.holdings[kind].pop(holder, 0)
        invariant(self.held[kind] >= 0, "memory-given-back", f"{kind} {self.held[kind]}")

    def usage(self) -> list[KindUsage]:
        """Return what is held of each kind."""
        return [KindUsage(kind, self.held[kind], self.shares[kind]) for kind in MemoryKind]
