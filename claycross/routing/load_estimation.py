"""Estimates the load of engines from own work, load gossip and the engines' load reports."""

from __future__ import annotations

from ..fleet.load_gossip import READ, WRITE, LoadGossip
from ..interface import EngineRole, Settings
from .engine import Engine
from .outlier_detection import OutlierDetector
from .rendezvous import rank
from .request_state import Request

# Enumeration members used for each engine or request, bound here to save attribute lookups.
READER = EngineRole.READER

# Largest jitter of an estimated cost, for each send that load gossip does not show yet.
LOAD_JITTER_FACTOR = 2.0
# Share of a writer's memory up to which reads are started for it.
MAX_WRITER_MEMORY_SHARE = 0.85


class LoadEstimator:
    """Estimates the load and the free memory of engines."""

    def __init__(self, settings: Settings, health: OutlierDetector, load_gossip: LoadGossip):
        self.settings = settings
        self.health = health
        self.load_gossip = load_gossip

    def reported_tokens(self, engine: Engine, if_unknown: float, now: int) -> float:
        """Return the prompt tokens waiting by the last report, less what was read since."""
        waiting = engine.reported_waiting_tokens
        if waiting is None:
            return if_unknown
        return max(0.0, waiting - (now - engine.report_at) / self.health.typical_pace(READER))

    def tokens_ahead(self, engine: Engine, now: int) -> float:
        """Return the prompt tokens that the engine reads before those of a new request.

        The larger of the two estimates is taken, since the report includes this gateway's own work.
        """
        known = engine.reading_tokens + self.load_gossip.load_of_others(READ, engine.id)
        return max(known, self.reported_tokens(engine, 0.0, now))

    def reader_load(self, engine: Engine, if_unreported: float, now: int) -> float:
        """Return the prompt tokens waiting at a reader, weighted by its slowness."""
        others = self.load_gossip.load_of_others(READ, engine.id)
        others = others or self.reported_tokens(engine, if_unreported, now)
        return (engine.reading_tokens + others) * self.health.slowness(engine)

    def reader_loads(self, readers: list[Engine], now: int) -> dict[str, float]:
        """Return the load of each reader; one without a report gets the mean of the others."""
        reported = [
            self.reported_tokens(engine, 0.0, now)
            for engine in readers
            if engine.reported_waiting_tokens is not None
        ]
        mean = sum(reported) / len(reported) if reported else 0.0
        return {engine.id: self.reader_load(engine, mean, now) for engine in readers}

    def projected_memory(self, engine: Engine) -> float:
        """Return the memory that a writer's streams are expected to take, in tokens."""
        others = self.load_gossip.load_of_others(WRITE, engine.id)
        return sum(engine.streams.values()) + (
            others or (engine.memory_share or 0.0) * engine.memory
        )

    def jitter(self, request: Request, engine: Engine, now: int) -> float:
        """Return the jitter of an engine's estimated cost, which differs between requests.

        It is proportional to the sends to each engine of the role that load gossip does not show
        yet. Without it, gateways whose gossip is equally late would all choose the engine that was
        the best one when the gossip was sent.
        """

        def unseen_sends() -> float:
            engine_count = len(self.health.pool.ready(engine.role))
            return self.load_gossip.unseen_sends(
                self.health.slow_start.arrival_rate(now), engine_count
            )

        unseen = self.health.pool.memoize("unseen", engine.role, unseen_sends)
        return LOAD_JITTER_FACTOR * unseen * rank(str(request.id), engine.id) if unseen else 0.0

    def gateways_sharing_memory(self, now: int) -> int:
        """Return the number of gateways among which free writer memory is divided.

        It is 1 while load gossip is reliable, since the load of the others is then subtracted.
        """
        return 1 if self.load_gossip.is_reliable(now) else self.settings.gateway_count

    def free_memory(self, engine: Engine, now: int) -> float:
        """Return the estimated free memory of a writer, in tokens.

        Without gossip or a report, each gateway is assumed to use as much memory as this one.
        """
        if now < engine.full_until:
            return 0.0
        own = sum(engine.streams.values())
        usable = MAX_WRITER_MEMORY_SHARE * engine.memory
        if self.load_gossip.is_reliable(now):
            return usable - own - self.load_gossip.load_of_others(WRITE, engine.id)
        share = engine.memory_share
        if share is None:
            return usable - own * self.settings.gateway_count
        waiting = engine.reported_waiting_tokens or 0.0
        return usable - max(own, share * engine.memory + waiting)
