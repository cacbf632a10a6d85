"""Chooses the writer of a request: least projected memory, near the reader that has its state."""

from __future__ import annotations

from collections import Counter

from ..interface import EngineEndpoint, EngineRole, Settings
from .candidate_sampling import sample_evenly
from .engine import Engine
from .load_estimation import LoadEstimator
from .outlier_detection import OutlierDetector
from .rendezvous import rank
from .request_state import Request

# Enumeration members used for each engine or request, bound here to save attribute lookups.
READER = EngineRole.READER
WRITER = EngineRole.WRITER
MIXED = EngineRole.MIXED

# By how much of its memory a nearer writer may be fuller and still be chosen.
OTHER_CELL_PENALTY = 0.10
OTHER_ZONE_PENALTY = 0.15
# Engines near the reader that are considered before others of a large fleet.
MAX_SAMPLED_NEARBY = 16


class WriterSelector:
    """Ranks writers, and mixed engines, for a request."""

    def __init__(self, settings: Settings, health: OutlierDetector, loads: LoadEstimator):
        self.settings = settings
        self.health = health
        self.loads = loads

    def all_candidates(self, now: int) -> list[Engine]:
        """The writers that can be chosen; of a large fleet a sample, the same for one batch."""
        if not self.health.pool.large:
            return self._all_writers(now)
        found: list[Engine] = self.health.pool.memoize(
            "writers", "", lambda: self._sample(str(now), None, now)
        )
        return found

    def candidates(self, request: Request, near: EngineEndpoint | None, now: int) -> list[Engine]:
        """The writers that can be chosen; of a large fleet a sample with those near an engine."""
        if not self.health.pool.large:
            return self._all_writers(now)
        return self._sample(str(request.id), near, now)

    def _all_writers(self, now: int) -> list[Engine]:
        writers = self.health.candidates(WRITER, now)
        return writers + self.health.candidates(MIXED, now)

    def _sample(self, salt: str, near: EngineEndpoint | None, now: int) -> list[Engine]:
        index = self.health.pool.index
        found: list[Engine] = []
        for role in (WRITER, MIXED):
            preferred = []
            if near:
                in_cell = index.ready_in(role, near.zone, near.cell)
                in_zone = index.ready_in(role, near.zone)
                preferred = [
                    list(sample_evenly(in_cell, salt, MAX_SAMPLED_NEARBY)),
                    list(sample_evenly(in_zone, salt, MAX_SAMPLED_NEARBY)),
                ]
            found += self.health.sample_candidates(role, now, salt, preferred)
        return found

    def pick(
        self, request: Request, holder: Engine | None, candidates: list[Engine], now: int
    ) -> Engine | None:
        """The writer with the least projected memory share, or None.

        Writers in the cell of the engine that holds the state come first, then those in its zone,
        unless they are clearly fuller.
        """
        zone = holder.entry.zone if holder else self.settings.zone
        cell = holder.entry.cell if holder else None
        if holder and self._exceeds_cell_writers(request, holder.entry.cell):
            cell = None
            candidates = self._with_spare_capacity(request, candidates) or candidates

        if not candidates:
            return None

        def cost(engine: Engine) -> float:
            penalty = OTHER_CELL_PENALTY * (cell not in (None, engine.entry.cell))
            penalty += OTHER_ZONE_PENALTY * (engine.entry.zone != zone)
            jitter = self.loads.jitter(request, engine, now) * request.writer_memory
            memory = self.loads.projected_memory(engine) + jitter
            return memory / max(1, engine.memory) * self.health.slowness(engine) + penalty

        return min(candidates, key=lambda engine: (cost(engine), -rank(str(request.id), engine.id)))

    def _exceeds_cell_writers(self, request: Request, cell: int) -> bool:
        """Whether this request is of the part that the cell's own writers can't take."""
        balance = self._share_ratio(cell, WRITER, READER)
        return rank(str(request.id), "near") >= balance

    def _with_spare_capacity(self, request: Request, candidates: list[Engine]) -> list[Engine]:
        """Candidates of cells that have more writers than their own readers need."""
        spare = {
            engine.id: 1 - self._share_ratio(engine.entry.cell, READER, WRITER)
            for engine in candidates
        }
        return [
            engine for engine in candidates if rank(engine.id, str(request.id)) < spare[engine.id]
        ]

    def _share_ratio(self, cell: int, role: EngineRole, other: EngineRole) -> float:
        """The cell's share of one role over its share of the other, by the endpoint list.

        What a cell's writers can't take of its readers' work goes to cells with writers to spare.
        Otherwise near writers fill while far ones idle, unseen by gateways that rarely send to any
        one of them.
        """
        of_role = self._engines_by_cell(role)
        of_other = self._engines_by_cell(other)
        return of_role[cell] * of_other.total() / max(1, of_other[cell] * of_role.total())

    def _engines_by_cell(self, role: EngineRole) -> Counter[int]:
        def count() -> Counter[int]:
            return Counter(engine.entry.cell for engine in self.health.pool.ready(role))

        found: Counter[int] = self.health.pool.memoize_briefly("cells", role, count)
        return found
