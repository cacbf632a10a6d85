"""The account of memory: never over its shares, and all that is given back was taken."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from claycross.requests.memory_account import (
    LARGE_HOLDER_BYTES,
    LARGE_HOLDERS_PART,
    MEGABYTE,
    SHARES,
    MemoryAccount,
    MemoryKind,
)

KINDS = st.sampled_from(list(MemoryKind))


class Holding:
    """Holds memory that the account may free."""

    def __init__(self):
        self.discards = 0

    def discard(self):
        self.discards += 1


class AccountMachine(RuleBasedStateMachine):
    """Compares the account with what each holder was charged."""

    def __init__(self):
        super().__init__()
        self.account = MemoryAccount(41 * MEGABYTE)
        self.holders = [Holding() for _ in range(6)]
        self.charged = {kind: {} for kind in MemoryKind}
        self.discarded = 0

    @rule(kind=KINDS, number=st.integers(0, 5), size=st.integers(0, 4 * MEGABYTE))
    def charge(self, kind, number, size):
        holder = self.holders[number]
        before = self.charged[kind].get(holder, 0)
        others = sum(self.charged[kind].values()) - before
        accepted = self.account.charge(kind, holder, size)
        large = size > LARGE_HOLDER_BYTES
        limit = self.account.shares[kind] * (LARGE_HOLDERS_PART if large else 1)
        assert accepted == (size <= before or others + size <= limit)
        if accepted:
            self.charged[kind][holder] = size

    @rule(kind=KINDS, number=st.integers(0, 5), size=st.integers(1, 4 * MEGABYTE))
    def charge_by_discarding(self, kind, number, size):
        holder = self.holders[number]
        discards = {other: other.discards for other in self.holders}
        accepted = self.account.charge_by_discarding(kind, holder, size)
        for other in self.holders:
            if other.discards > discards[other]:
                # Only one that had as much as this one would have, and never this one.
                assert other is not holder and self.charged[kind].pop(other) >= size
                self.discarded += 1
        if accepted:
            self.charged[kind][holder] = size
        else:  # nobody waits for ever: only the one that would have most is refused
            others = [held for other, held in self.charged[kind].items() if other is not holder]
            assert all(held < size for held in others)

    @rule(kind=KINDS, number=st.integers(0, 5))
    def give_back(self, kind, number):
        self.account.give_back(kind, self.holders[number])
        self.charged[kind].pop(self.holders[number], None)

    @invariant()
    def the_account_is_right_and_within_its_shares(self):
        for usage in self.account.usage():
            assert usage.held == sum(self.charged[usage.kind].values())
            assert 0 <= usage.held <= usage.share
        assert self.account.discarded == self.discarded


TestAccount = AccountMachine.TestCase
TestAccount.settings = settings(max_examples=60, stateful_step_count=30, deadline=None)


def test_large_holders_leave_a_part_of_each_share_to_the_others():
    """Guards against a crowd of large requests for which an ordinary one was rejected."""
    account = MemoryAccount(96 * MEGABYTE)
    for kind in MemoryKind:
        while account.charge(kind, Holding(), 4 * LARGE_HOLDER_BYTES):
            pass
        assert account.charge(kind, Holding(), LARGE_HOLDER_BYTES)


def test_the_shares_are_parts_of_what_the_process_leaves():
    assert sum(SHARES.values()) < 1
    for limit in (24, 96, 192, 2048):
        account = MemoryAccount(limit * MEGABYTE)
        assert 0 < sum(account.shares.values()) < limit * MEGABYTE
