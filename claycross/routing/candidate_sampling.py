"""A large fleet's engines by role, place and rendezvous order, and bounded samples of them.

A decision that walks the whole endpoint list costs as much as the fleet has engines. Of thousands,
the best of a few dozen sampled evenly is as good as the best of all, and better where many gateways
choose alike by what they received a moment ago. Rendezvous order can't be sampled, because all
gateways have to agree on it; so it is kept for each key, and a change of the list costs only what
was added since.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Callable, Iterable, Iterator
from math import gcd
from typing import Generic, Protocol, TypeVar

from .rendezvous import rank

# Golden ratio: with this share of the list as its step, a spread is even at any length.
GOLDEN_RATIO_CONJUGATE = 0.6180339887
# Engines kept of each key's order.
MAX_ORDER_LENGTH = 16
# With fewer of them left, the order is made anew.
MIN_ORDER_LENGTH = 6
# Keys whose order is kept.
MAX_ORDERED_KEYS = 4096
# Additions of engines that an order may be behind.
MAX_RECORDED_ADDITIONS = 256
# Versions of the list that an order may be behind.
MAX_VERSIONS_BEHIND = 10_000

READY = "ready"


class Endpoint(Protocol):
    """What the index needs to know of an endpoint."""

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
    """What the index needs to know of an engine."""

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
    """An unordered list that engines join and leave at a cost that does not grow with it."""

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
        """Remove an engine, if it is there; the last one takes its position."""
        position = self.positions.pop(engine_id, None)
        if position is None:
            return
        last = self.engines.pop()
        if position < len(self.engines):
            self.engines[position] = last
            self.positions[last.id] = position

    def get(self, engine_id: str) -> EngineT | None:
        """The engine with this id, or None."""
        position = self.positions.get(engine_id)
        return None if position is None else self.engines[position]


class EngineIndex(Generic[EngineT]):
    """The ready engines of the endpoint list, by role and place."""

    def __init__(self) -> None:
        self.version = 0
        self.groups: dict[GroupKey, EngineGroup[EngineT]] = {}
        self.group_keys_by_engine: dict[
            str, tuple[GroupKey, ...]
        ] = {}  # engine id -> groups it is in
        # Version, role and ids of engines that became ready, oldest first.
        self.additions: deque[tuple[int, str, list[str]]] = deque(maxlen=MAX_RECORDED_ADDITIONS)

    def rebuild(self, engines: Iterable[EngineT]) -> None:
        """Index all engines anew."""
        self.version += MAX_VERSIONS_BEHIND + 1  # so that no order is updated from before
        self.groups = {}
        self.group_keys_by_engine = {}
        self.additions.clear()
        self.change(engines)

    def change(self, engines: Iterable[EngineT]) -> None:
        """Update the index for engines that came, went or have another endpoint."""
        self.version += 1
        added: dict[str, list[str]] = {}
        for engine in engines:
            former = self.group_keys_by_engine.pop(engine.id, ())
            current = group_keys(engine)
            if current and former == current and self._is_indexed(engine):
                self.group_keys_by_engine[engine.id] = former
                continue
            for key in former:
                self.groups[key].remove(engine.id)
            if not current:
                continue
            for key in current:
                self.groups.setdefault(key, EngineGroup()).add(engine)
            self.group_keys_by_engine[engine.id] = current
            if engine.role not in former:
                added.setdefault(engine.role, []).append(engine.id)
        for role, engine_ids in added.items():
            self.additions.append((self.version, role, engine_ids))

    def _is_indexed(self, engine: EngineT) -> bool:
        """Whether it is this object that the group of its role has."""
        return self.groups[engine.role].get(engine.id) is engine

    def ready(self, role: str) -> list[EngineT]:
        """All ready engines of a role."""
        return self.members(role).engines

    def near(self, role: str, zone: str, cell: int | None = None) -> list[EngineT]:
        """The ready engines of a role in a zone, or in one of its cells."""
        return self.members((role, zone) if cell is None else (role, zone, cell)).engines

    def members(self, key: GroupKey) -> EngineGroup[EngineT]:
        """The group with this key; an empty one if no engine is in it."""
        return self.groups.get(key) or EngineGroup()

    def added_since(self, role: str, version: int) -> list[str] | None:
        """Engines that became ready since a version; None if it is too long ago to say."""
        full = len(self.additions) == MAX_RECORDED_ADDITIONS
        oldest = self.additions[0][0] if full else 0
        if version < oldest or version < self.version - MAX_VERSIONS_BEHIND:
            return None
        return [
            engine_id
            for added_at, added_role, engine_ids in self.additions
            if added_at > version and added_role == role
            for engine_id in engine_ids
        ]


def group_keys(engine: IndexedEngine) -> tuple[GroupKey, ...]:
    """The groups that an engine belongs to; none if it is not ready."""
    entry = engine.entry
    if entry.state != READY:
        return ()
    role = engine.role
    return (role, (role, entry.zone), (role, entry.zone, entry.cell))


def sample_evenly(items: list[ItemT], salt: str, limit: int) -> Iterator[ItemT]:
    """Up to `limit` items, evenly over the list, in another order for each salt; none twice."""
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
    """The first engines of one key by rank, as of a version of the index."""

    def __init__(self, version: int, ranks: list[tuple[float, str]], complete: bool):
        self.version = version
        self.ranks = ranks  # rank and engine id, highest first
        self.complete = complete  # there are no others


class RendezvousOrders(Generic[EngineT]):
    """The first engines of each key, exactly as a walk over all of them would give."""

    def __init__(self, index: EngineIndex[EngineT], role: str):
        self.index = index
        self.role = role
        self.orders: OrderedDict[str, RendezvousOrder] = OrderedDict()  # least recently used first

    def first(self, key: str) -> Iterator[EngineT]:
        """The engines of highest rank, in order; MAX_ORDER_LENGTH at most."""
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
        """Bring an order up to the present list; False if it has to be made anew."""
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
        # Below the last one kept the order is not known: others, never kept, may lie there.
        lowest = 0.0 if order.complete else remaining[-1][0]
        ranks = sorted(remaining + [pair for pair in new if pair[0] > lowest], reverse=True)
        order.complete = order.complete and len(ranks) <= MAX_ORDER_LENGTH
        order.ranks = ranks[:MAX_ORDER_LENGTH]
        order.version = self.index.version
        return True


def collect_accepted(
    groups: Iterable[Iterable[EngineT]], accept: Callable[[EngineT], bool], limit: int
) -> list[EngineT]:
    """The accepted engines of one group after the other, none twice and `limit` in all."""
    found: dict[str, EngineT] = {}
    for group in groups:
        for engine in group:
            if len(found) >= limit:
                return list(found.values())
            if engine.id not in found and accept(engine):
                found[engine.id] = engine
    return list(found.values())
