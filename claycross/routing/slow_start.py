"""Slow start: what engines that have just started may be sent, by all gateways together."""

from __future__ import annotations

from ..interface import EngineRole, Settings
from .engine import Engine
from .engine_pool import EnginePool
from .rate_estimation import RateEstimator
from .rendezvous import rank

# Enumeration members used for each engine or request, bound here to save attribute lookups.
READER = EngineRole.READER
# The budget of an engine that is not warming up.
UNLIMITED = float("inf")
# Share of the budget of a warming engine that is used.
BUDGET_SAFETY_FACTOR = 0.8
# Share of this gateway's arrivals taken as served, where that is not known.
ASSUMED_SERVED_SHARE = 0.3
# The key of arrivals among the rates; the others are roles.
ARRIVALS = ""


class SlowStart:
    """The budgets of warming engines, and the served rates from which they follow."""

    def __init__(self, settings: Settings, pool: EnginePool):
        self.settings = settings
        self.pool = pool
        self.rates = RateEstimator()

    def record_arrival(self, now: int) -> None:
        """A request has arrived."""
        self.rates.count(ARRIVALS, now)

    def arrival_rate(self, now: int) -> float:
        """Requests that arrive a nanosecond."""
        return self.rates.rate(ARRIVALS, now)

    def record_served(self, engine: Engine, now: int) -> None:
        """An engine has served an attempt; only warm ones count."""
        self.rates.count(engine.role, now, 0 if self.is_warming_up(engine, now) else 1)

    def is_warming_up(self, engine: Engine, now: int) -> bool:
        """Whether the engine started a short while ago."""
        started_at = engine.entry.started_at
        return started_at > 0 and now - started_at < self.settings.slow_start_duration

    def capacity_share(self, engine: Engine) -> float:
        """The share of its capacity that an engine has by now, at least."""
        if not self.is_warming_up(engine, self.pool.now):
            return 1.0
        initial = self.settings.slow_start_initial
        age = self.pool.now - engine.entry.started_at
        return initial + (1 - initial) * age / self.settings.slow_start_duration

    def budget(self, engine: Engine, now: int) -> float:
        """Sends that a warming engine may still get in this window; infinite for a warm one.

        A budget of less than one send a window is given as whole ones in some windows, gateways
        taking turns: a minimum of one each would be as many as there are gateways. This could
        starve an engine while few gateways have traffic.
        """
        if not self.is_warming_up(engine, now):
            return UNLIMITED
        settings = self.settings
        window = settings.overload_window + 2 * settings.tick
        while engine.recent_sends and now - engine.recent_sends[0][0] > window:
            engine.recent_sends.popleft()
        budget = (
            BUDGET_SAFETY_FACTOR
            * settings.slow_start_initial
            * settings.overload_multiple
            * self._rate_of_warm_engine(engine.role, now)
            * settings.overload_window
        )
        offset = rank("turn", engine.id) + settings.gateway_number / settings.gateway_count
        windows = (now - engine.entry.started_at) // window
        share = int((windows + 1) * budget + offset) - int(windows * budget + offset)
        if engine.role == READER:
            # Prefix homes already limit what all gateways send there; with turns, each gateway
            # would have other homes.
            share = max(1, share)
        return share - sum(weight for _, weight in engine.recent_sends)

    def _rate_of_warm_engine(self, role: str, now: int) -> float:
        """What this gateway gets served by one warm engine of a role.

        That is its part of what such an engine carries; sends would not do, because a retry storm
        is not capacity. Where it is not known, part of the arrivals stands in.
        """
        ready = self.pool.ready(role)

        def count_warm() -> int:
            return sum(not self.is_warming_up(engine, now) for engine in ready)

        warm: int = self.pool.memoize_briefly("warm", role, count_warm)
        served = self.rates.rate(role, now) / max(1, warm)
        assumed = self.arrival_rate(now) * ASSUMED_SERVED_SHARE / len(ready)
        return max(served, assumed)
