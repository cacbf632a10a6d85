"""The engines of the endpoint list, and values over many of them that are computed seldom."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from ..interface import EngineRole, EngineState
from .candidate_sampling import EngineIndex, RendezvousOrders
from .engine import Engine

MS = 1_000_000  # ns
# Enumeration members used for each engine or request, bound here to save attribute lookups.
READY = EngineState.READY

# Engines above which a decision looks at a sample of the list, not at all of it.
LARGE_FLEET_ENGINES = 256
# For which a value over all engines of a large fleet is used again.
MEMO_LIFETIME_NS = 100 * MS


class EnginePool:
    """All engines by id, with an index of the ready ones of a large fleet."""

    def __init__(self) -> None:
        self.engines: dict[str, Engine] = {}
        self.large = False
        self.index: EngineIndex[Engine] = EngineIndex()
        self.orders = RendezvousOrders(self.index, EngineRole.READER)
        self.now = 0  # of this batch of events
        self._memo: dict[tuple[str, str], Any] = {}  # of this batch
        self._brief_memo: dict[tuple[str, str], tuple[int, Any]] = {}  # computed at, and value

    def begin_batch(self, now: int) -> None:
        """Start a new batch of events."""
        self.now = now
        self._memo = {}

    def update(self, changed: list[Engine]) -> None:
        """The endpoint list has changed by these engines, some of them removed."""
        self._memo = {}
        was_large = self.large
        self.large = len(self.engines) > LARGE_FLEET_ENGINES
        if self.large and was_large:
            self.index.change(changed)
        elif self.large:
            self.index.rebuild(self.engines.values())

    def ready(self, role: str) -> list[Engine]:
        """The ready engines of a role."""
        if self.large:
            return self.index.ready(role)

        def ready_engines() -> list[Engine]:
            return [
                engine
                for engine in self.engines.values()
                if engine.role == role and engine.entry.state == READY
            ]

        found: list[Engine] = self.memoize("ready", role, ready_engines)
        return found

    def memoize(self, name: str, role: str, compute: Callable[[], Any]) -> Any:
        """A value that is computed once a batch.

        Rankings ask for it for each engine; computing it anew would cost the square of the fleet.
        """
        key = (name, role)
        if key not in self._memo:
            self._memo[key] = compute()
        return self._memo[key]

    def memoize_briefly(self, name: str, role: str, compute: Callable[[], Any]) -> Any:
        """A value that is computed once a batch, or for a large fleet once in MEMO_LIFETIME_NS."""
        if not self.large:
            return self.memoize(name, role, compute)
        computed_at, value = self._brief_memo.get((name, role), (-MEMO_LIFETIME_NS, None))
        if self.now - computed_at >= MEMO_LIFETIME_NS:
            value = compute()
            self._brief_memo[name, role] = (self.now, value)
        return value

    def invalidate(self, name: str, role: str) -> None:
        """Forget a value of this batch, because what it is computed from has changed."""
        self._memo.pop((name, role), None)
