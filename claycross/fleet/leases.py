"""Leases by rendezvous order: one gateway at a time does a job for all the others.

The candidates for a job are in rendezvous order (Thaler and Ravishankar, 1998): every gateway
computes the same order without a message, each gateway holds about as many leases as any other, and
one that joins or leaves does not change the order of the rest. A holder renews its lease by doing
the job, which all gateways receive. The first candidate in the order that is received holds the
lease; one that returns takes its lease back.

A single holder is not guaranteed: while views differ (a partition, a loss, a start) two gateways
may do the job, and for up to the lease duration after a holder's death nobody does. No I/O and no
clock: times are nanoseconds, come in as arguments and never go back.
"""

from __future__ import annotations

import hashlib

MAX_CANDIDATES = 8  # for one job; no other gateway takes its lease
WEIGHT_BYTES = 8  # of the hash that orders the candidates


def rendezvous_order(
    job: str, gateways: range | tuple[int, ...], limit: int = MAX_CANDIDATES
) -> tuple[int, ...]:
    """Return the candidates for a job, first to last: the same on every gateway."""

    def weight(gateway: int) -> bytes:
        return hashlib.blake2b(f"{job}|{gateway}".encode(), digest_size=WEIGHT_BYTES).digest()

    return tuple(sorted(gateways, key=weight)[:limit])


class Lease:
    """The lease on one job, as one gateway sees it.

    A live holder renews it at least once in `duration` nanoseconds. A process that was paused must
    call `expire` before it acts as the holder.
    """

    def __init__(
        self, job: str, gateway_number: int, gateways: range | tuple[int, ...], duration: int
    ):
        self.order = rendezvous_order(job, gateways)
        self.gateway_number = gateway_number
        self.duration = duration
        self.own_rank: int | None = None  # None: this gateway is no candidate
        if gateway_number in self.order:
            self.own_rank = self.order.index(gateway_number)
        self.rank = 0  # the holder's place in the order
        # When the lease was last renewed or passed on; None: `expire` was not called yet.
        self.renewed_at: int | None = None
        self.last_renewals: dict[int, int] = {}  # rank -> when that gateway acted as holder

    @property
    def holder(self) -> int:
        """The gateway that is the holder, as of the last call of a method."""
        return self.order[self.rank]

    @property
    def is_held_here(self) -> bool:
        """Whether this gateway is the holder."""
        return self.holder == self.gateway_number

    def withdraw(self) -> None:
        """Withdraw this gateway's candidature."""
        self.own_rank = None

    def renewed_by(self, sender: int, now: int) -> bool:
        """Record that the sender does the job; return whether the holder has changed.

        The new holder is the sender, or this gateway if it precedes the sender.
        """
        if sender not in self.order:
            return False
        sender_rank = self.order.index(sender)
        self.last_renewals[sender_rank] = now
        if sender_rank > self.rank and self.is_current(now):
            return False  # a later candidate that doesn't know of the holder yet
        new_rank = sender_rank
        if self.own_rank is not None:
            new_rank = min(self.own_rank, sender_rank)
        changed = new_rank != self.rank
        self.rank = new_rank
        self.renewed_at = now
        return changed

    def is_current(self, now: int) -> bool:
        """Return whether the lease has been renewed and has not expired."""
        if self.renewed_at is None:
            return False
        return self.is_held_here or now - self.renewed_at <= self.duration

    def released_by(self, sender: int, now: int) -> bool:
        """Record that the sender no longer does the job; return whether the holder has changed."""
        if sender in self.order:
            self.last_renewals.pop(self.order.index(sender), None)
        if sender != self.holder:
            return False
        self.hand_over(now)
        return True

    def hand_over(self, now: int) -> None:
        """Pass the lease to the first candidate that acted as holder recently.

        It passes to this gateway if that precedes the candidate, and to the next in the order if
        there is no such candidate.
        """
        candidates = [
            rank
            for rank, renewed_at in self.last_renewals.items()
            if now - renewed_at <= self.duration and rank != self.rank
        ]
        if candidates and self.own_rank is not None:
            candidates.append(self.own_rank)
        next_rank = (self.rank + 1) % len(self.order)
        self.rank = min(candidates, default=next_rank)
        self.renewed_at = now

    def expire(self, now: int) -> bool:
        """Pass the lease on if its holder was silent for too long; return whether it did."""
        keeps_lease = self.is_held_here and self.own_rank is not None
        if self.renewed_at is None or keeps_lease:
            self.renewed_at = now
            return False
        if not self.is_held_here and now - self.renewed_at <= self.duration:
            return False
        self.hand_over(now)
        return True
