"""Indexes a large fleet's engines by role and location, and draws bounded samples of them.

The cost of a decision that visits the whole endpoint list grows with the fleet. Among thousands of
engines, the best of a few dozen sampled evenly is as good as the best of all, and better where many
gateways decide by the same load information. Rendezvous order can't be sampled, because all
gateways have to agree on it. It is cached for each key, and updating it after a change of the list
costs only as much as engines were added.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Callable, Iterable, Iterator
from math import gcd
from typing import Generic, Protocol, TypeVar

from .rendezvous import rank

# Step of an even sample, as a share of the list: this one gives low discrepancy at any length.
GOLDEN_RATIO_CONJUGATE = 0.6180339887
# Engines cached of each key's order.
MAX_ORDER_LENGTH = 16
# Engines left of a cached order below which it is computed anew.
MIN_ORDER_LENGTH = 6
# Keys whose order is cached.
MAX_ORDERED_KEYS = 4096
# Recorded additions of engines; a cached order that lacks more of them is computed anew.
MAX_RECORDED_ADDITIONS = 256
# Versions of the index that a cached order may be behind.
MAX_VERSIONS_BEHIND = 10_000

READY = "ready"


class Endpoint(Protocol):
    """The attributes of an endpoint that the index uses."""

    @property
    def state(self) -> str:
        """The state of the engine in the endpoint list."""

    @property
    def zone(self) -> str:
        """The engine's zone."""

    @property
    def cell(self) -> int:
        """The engine's cell in its zone."""


class IndexedEngine(Protocol):
    """The attributes of an engine that the index uses."""

    @property
    def id(self) -> str:
        """The engine's identifier."""

    @property
    def role(self) -> str:
        """The engine's role."""

    @property
    def entry(self) -> Endpoint:
        """The engine's endpoint."""


EngineT = TypeVar("EngineT", bound=IndexedEngine)
ItemT = TypeVar("ItemT")
# A role, a role in a zone, or a role in a cell of a zone.
GroupKey = str | tuple[str, str] | tuple[str, str, int]


class EngineGroup(Generic[EngineT]):
    """An unordered list of engines with addition, removal and lookup in constant time."""

    def __init__(self) -> None:
        self.engines: list[EngineT] = []
        self.positions: dict[str, int] = {}  # engine id -> index in the list

    def add(self, engine: EngineT) -> None:
        """Add an engine, or replace the one with the same id."""
        position = self.positions.get(engine.id)
        if position is None:
            self.positions[engine.id] = len(self.engines)
            self.engines.append(engine)
        else:
            self.engines[position] = engine

    def remove(self, engine_id: str) -> None:
        """Remove an engine if it is in the group; the last engine takes its position."""
        position = self.positions.pop(engine_id, None)
        if position is None:
            return
        last = self.engines.pop()
        if position < len(self.engines):
            self.engines[position] = last
            self.positions[last.id] = position

    def get(self, engine_id: str) -> EngineT | None:
        """Return the engine with this id, or None."""
        position = self.positions.get(engine_id)
        return None if position is None else self.engines[position]


class EngineIndex(Generic[EngineT]):
    """The ready engines of the endpoint list by role, zone and cell."""

    def __init__(self) -> None:
        self.version = 0
        self.groups: dict[GroupKey, EngineGroup[EngineT]] = {}
        self.group_keys_by_engine: dict[str, tuple[GroupKey, ...]] = {}  # by engine id
        # Version, role and engine ids of recent additions, oldest first.
        self.additions: deque[tuple[int, str, list[str]]] = deque(maxlen=MAX_RECORDED_ADDITIONS)

    def rebuild(self, engines: Iterable[EngineT]) -> None:
        """Replace the whole index."""
        self.version += MAX_VERSIONS_BEHIND + 1  # invalidates all cached orders
        self.groups = {}
        self.group_keys_by_engine = {}
        self.additions.clear()
        self.update(engines)

    def update(self, engines: Iterable[EngineT]) -> None:
        """Update the index for engines that were added, removed or have a new endpoint."""
        self.version += 1
        added: dict[str, list[str]] = {}
        for engine in engines:
            previous = self.group_keys_by_engine.pop(engine.id, ())
            current = group_keys(engine)
            if current and previous == current and self._is_indexed(engine):
                self.group_keys_by_engine[engine.id] = previous
                continue
            for key in previous:
                self.groups[key].remove(engine.id)
            if not current:
                continue
            for key in current:
                self.groups.setdefault(key, EngineGroup()).add(engine)
            self.group_keys_by_engine[engine.id] = current
            if engine.role not in previous:
                added.setdefault(engine.role, []).append(engine.id)
        for role, engine_ids in added.items():
            self.additions.append((self.version, role, engine_ids))

    def _is_indexed(self, engine: EngineT) -> bool:
        """Return whether the group of the engine's role holds this very object."""
        return self.groups[engine.role].get(engine.id) is engine

    def ready(self, role: str) -> list[EngineT]:
        """Return all ready engines of a role."""
        return self.members(role).engines

    def ready_in(self, role: str, zone: str, cell: int | None = None) -> list[EngineT]:
        """Return the ready engines of a role in a zone, or in one of its cells."""
        return self.members((role, zone) if cell is None else (role, zone, cell)).engines

    def members(self, key: GroupKey) -> EngineGroup[EngineT]:
        """Return the group with this key, or an empty one."""
        return self.groups.get(key) or EngineGroup()

    def added_since(self, role: str, version: int) -> list[str] | None:
        """Return the ids of engines that became ready since a version.

        Returns None if the record does not go back so far.
        """
        is_full = len(self.additions) == MAX_RECORDED_ADDITIONS
        oldest_version = self.additions[0][0] if is_full else 0
        if version < oldest_version or version < self.version - MAX_VERSIONS_BEHIND:
            return None
        return [
            engine_id
            for added_at, added_role, engine_ids in self.additions
            if added_at > version and added_role == role
            for engine_id in engine_ids
        ]


def group_keys(engine: IndexedEngine) -> tuple[GroupKey, ...]:
    """Return the keys of the groups that an engine belongs to; none if it is not ready."""
    entry = engine.entry
    if entry.state != READY:
        return ()
    role = engine.role
    return (role, (role, entry.zone), (role, entry.zone, entry.cell))


def sample_evenly(items: list[ItemT], salt: str, limit: int) -> Iterator[ItemT]:
    """Yield up to `limit` distinct items, evenly over the list, in an order given by the salt."""
    count = len(items)
    if not count:
        return
    position = int(rank(salt, "spread") * count)
    step = max(1, int(GOLDEN_RATIO_CONJUGATE * count))
    while gcd(step, count) != 1:
        step += 1
    for _ in range(min(limit, count)):
        yield items[position]
        position = (position + step) % count


class RendezvousOrder:
    """The cached first engines of one key by rank, as of a version of the index."""

    def __init__(self, version: int, ranks: list[tuple[float, str]], complete: bool):
        self.version = version
        self.ranks = ranks  # rank and engine id, highest first
        self.complete = complete  # the fleet has no further engines of the role


class RendezvousOrders(Generic[EngineT]):
    """A cache of the first engines of each key in exact rendezvous order."""

    def __init__(self, index: EngineIndex[EngineT], role: str):
        self.index = index
        self.role = role
        self.orders: OrderedDict[str, RendezvousOrder] = OrderedDict()  # least recently used first

    def first(self, key: str) -> Iterator[EngineT]:
        """Return up to MAX_ORDER_LENGTH engines of highest rank, in order."""
        members = self.index.members(self.role)
        positions = members.positions
        order = self.orders.pop(key, None)
        if order is None or not self._update(order, key, positions):
            order = self._new_order(key, positions)
        self.orders[key] = order
        if len(self.orders) > MAX_ORDERED_KEYS:
            self.orders.popitem(last=False)
        return (members.engines[positions[engine_id]] for _, engine_id in order.ranks)

    def _new_order(self, key: str, engine_ids: Iterable[str]) -> RendezvousOrder:
        ranks = sorted(
            ((rank(key, engine_id), engine_id) for engine_id in engine_ids), reverse=True
        )
        return RendezvousOrder(
            self.index.version, ranks[:MAX_ORDER_LENGTH], len(ranks) <= MAX_ORDER_LENGTH
        )

    def _update(self, order: RendezvousOrder, key: str, positions: dict[str, int]) -> bool:
        """Update an order for changes of the index; False if it has to be computed anew."""
        if order.version == self.index.version:
            return True
        added = self.index.added_since(self.role, order.version)
        if added is None:
            return False
        remaining = [pair for pair in order.ranks if pair[1] in positions]
        if not order.complete and len(remaining) < MIN_ORDER_LENGTH:
            return False
        known = {engine_id for _, engine_id in remaining}
        new = [
            (rank(key, engine_id), engine_id)
            for engine_id in added
            if engine_id in positions and engine_id not in known
        ]
        # Below the lowest cached rank the order is unknown: engines that were cut off rank there.
        lowest_rank = 0.0 if order.complete else remaining[-1][0]
        ranks = sorted(remaining + [pair for pair in new if pair[0] > lowest_rank], reverse=True)
        order.complete = order.complete and len(ranks) <= MAX_ORDER_LENGTH
        order.ranks = ranks[:MAX_ORDER_LENGTH]
        order.version = self.index.version
        return True


def collect_accepted(
    groups: Iterable[Iterable[EngineT]], accept: Callable[[EngineT], bool], limit: int
) -> list[EngineT]:
    """Return up to `limit` distinct accepted engines, taking one group after the other."""
    accepted: dict[str, EngineT] = {}
    for group in groups:
        for engine in group:
            if len(accepted) >= limit:
                return list(accepted.values())
            if engine.id not in accepted and accept(engine):
                accepted[engine.id] = engine
    return list(accepted.values())
