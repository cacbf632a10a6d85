"""Chooses the writer of a request by projected memory and distance from the state's holder."""

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

# Memory share by which a writer in the same cell or zone may be fuller and still be preferred.
OTHER_CELL_PENALTY = 0.10
OTHER_ZONE_PENALTY = 0.15
# Writers of the holder's cell, and of its zone, in the sample of a large fleet.
MAX_SAMPLED_NEARBY = 16


class WriterSelector:
    """Selects the writer of a request among writers and mixed engines."""

    def __init__(self, settings: Settings, health: OutlierDetector, loads: LoadEstimator):
        self.settings = settings
        self.health = health
        self.loads = loads

    def all_candidates(self, now: int) -> list[Engine]:
        """Return the writers that can be chosen; of a large fleet one sample for each batch."""
        if not self.health.pool.large:
            return self._all_writers(now)
        writers: list[Engine] = self.health.pool.memoize(
            "writers", "", lambda: self._sample(str(now), None, now)
        )
        return writers

    def candidates(
        self, request: Request, holder_endpoint: EngineEndpoint | None, now: int
    ) -> list[Engine]:
        """Return the writers that can be chosen; of a large fleet a sample with nearby ones."""
        if not self.health.pool.large:
            return self._all_writers(now)
        return self._sample(str(request.id), holder_endpoint, now)

    def _all_writers(self, now: int) -> list[Engine]:
        writers = self.health.candidates(WRITER, now)
        return writers + self.health.candidates(MIXED, now)

    def _sample(self, salt: str, holder_endpoint: EngineEndpoint | None, now: int) -> list[Engine]:
        index = self.health.pool.index
        writers: list[Engine] = []
        for role in (WRITER, MIXED):
            preferred = []
            if holder_endpoint:
                in_cell = index.ready_in(role, holder_endpoint.zone, holder_endpoint.cell)
                in_zone = index.ready_in(role, holder_endpoint.zone)
                preferred = [
                    list(sample_evenly(in_cell, salt, MAX_SAMPLED_NEARBY)),
                    list(sample_evenly(in_zone, salt, MAX_SAMPLED_NEARBY)),
                ]
            writers += self.health.sample_candidates(role, now, salt, preferred)
        return writers

    def pick(
        self, request: Request, holder: Engine | None, candidates: list[Engine], now: int
    ) -> Engine | None:
        """Return the writer with the least projected memory share; None without candidates.

        Writers in the cell of the engine that holds the state are preferred, then those in its
        zone, unless they are fuller by more than the penalties.
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
        """Return whether the request is in the share that the cell's writers can't take."""
        return rank(str(request.id), "near") >= self._share_ratio(cell, WRITER, READER)

    def _with_spare_capacity(self, request: Request, candidates: list[Engine]) -> list[Engine]:
        """Return candidates in cells that have more writers than their own readers need."""
        spare_shares = {
            engine.id: 1 - self._share_ratio(engine.entry.cell, READER, WRITER)
            for engine in candidates
        }
        return [
            engine
            for engine in candidates
            if rank(engine.id, str(request.id)) < spare_shares[engine.id]
        ]

    def _share_ratio(self, cell: int, role: EngineRole, other: EngineRole) -> float:
        """Return the cell's share of one role divided by its share of the other.

        Reads of a cell that exceed the capacity of its writers continue in cells with spare
        writers. Otherwise nearby writers fill up while distant ones are idle, unnoticed by gateways
        that seldom send to any one of them.
        """
        role_counts = self._engines_by_cell(role)
        other_counts = self._engines_by_cell(other)
        return (
            role_counts[cell]
            * other_counts.total()
            / max(1, other_counts[cell] * role_counts.total())
        )

    def _engines_by_cell(self, role: EngineRole) -> Counter[int]:
        def count() -> Counter[int]:
            return Counter(engine.entry.cell for engine in self.health.pool.ready(role))

        counts: Counter[int] = self.health.pool.memoize_briefly("cells", role, count)
        return counts
