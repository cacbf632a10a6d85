"""The engines of the endpoint list, and memoized values over many of them."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from ..interface import EngineRole, EngineState
from .candidate_sampling import EngineIndex, RendezvousOrders
from .engine import Engine

MS = 1_000_000  # ns
# Enumeration members used for each engine or request, bound here to save attribute lookups.
READY = EngineState.READY

# In a larger fleet, a decision considers a sample of the engines instead of all.
LARGE_FLEET_ENGINES = 256
# Time for which a value over all engines of a large fleet is reused.
MEMO_LIFETIME_NS = 100 * MS


class EnginePool:
    """All engines by id, and in a large fleet an index of the ready ones."""

    def __init__(self) -> None:
        self.engines: dict[str, Engine] = {}
        self.large = False
        self.index: EngineIndex[Engine] = EngineIndex()
        self.orders = RendezvousOrders(self.index, EngineRole.READER)
        self.now = 0  # time of this batch of events
        self._memo: dict[tuple[str, str], Any] = {}  # values of this batch, by name and role
        # Time of computation and value, by name and role.
        self._brief_memo: dict[tuple[str, str], tuple[int, Any]] = {}

    def begin_batch(self, now: int) -> None:
        """Start a new batch of events."""
        self.now = now
        self._memo = {}

    def update(self, changed: list[Engine]) -> None:
        """Update the index for added, changed and removed engines."""
        self._memo = {}
        was_large = self.large
        self.large = len(self.engines) > LARGE_FLEET_ENGINES
        if self.large and was_large:
            self.index.update(changed)
        elif self.large:
            self.index.rebuild(self.engines.values())

    def ready(self, role: str) -> list[Engine]:
        """Return the ready engines of a role."""
        if self.large:
            return self.index.ready(role)

        def ready_engines() -> list[Engine]:
            return [
                engine
                for engine in self.engines.values()
                if engine.role == role and engine.entry.state == READY
            ]

        ready: list[Engine] = self.memoize("ready", role, ready_engines)
        return ready

    def memoize(self, name: str, role: str, compute: Callable[[], Any]) -> Any:
        """Return a value that is computed once a batch.

        Rankings use it for each engine; computing it each time would make the cost of a decision
        quadratic in the size of the fleet.
        """
        key = (name, role)
        if key not in self._memo:
            self._memo[key] = compute()
        return self._memo[key]

    def memoize_briefly(self, name: str, role: str, compute: Callable[[], Any]) -> Any:
        """Return a value that is computed once a batch, or for a large fleet less often.

        There it is reused for MEMO_LIFETIME_NS.
        """
        if not self.large:
            return self.memoize(name, role, compute)
        computed_at, value = self._brief_memo.get((name, role), (-MEMO_LIFETIME_NS, None))
        if self.now - computed_at >= MEMO_LIFETIME_NS:
            value = compute()
            self._brief_memo[name, role] = (self.now, value)
        return value

    def invalidate(self, name: str, role: str) -> None:
        """Discard a value of this batch whose inputs have changed."""
        self._memo.pop((name, role), None)
