"""Slow start: limits what all gateways together send to an engine that has just started."""

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
# Share of the load limit of a warming engine that is used.
BUDGET_SAFETY_FACTOR = 0.8
# Share of this gateway's arrivals assumed to be served by a role while its rate is unknown.
ASSUMED_SERVED_SHARE = 0.3
# Key of the arrival rate; the other keys are roles.
ARRIVALS = ""


class SlowStart:
    """Computes the budgets of warming engines from the rates that warm engines serve."""

    def __init__(self, settings: Settings, pool: EnginePool):
        self.settings = settings
        self.pool = pool
        self.rates = RateEstimator()

    def record_arrival(self, now: int) -> None:
        """Count an arrival."""
        self.rates.count(ARRIVALS, now)

    def arrival_rate(self, now: int) -> float:
        """Return the rate of arrivals a nanosecond."""
        return self.rates.rate(ARRIVALS, now)

    def record_served(self, engine: Engine, now: int) -> None:
        """Count an attempt that was served, if by a warm engine."""
        self.rates.count(engine.role, now, 0 if self.is_warming_up(engine, now) else 1)

    def is_warming_up(self, engine: Engine, now: int) -> bool:
        """Return whether the engine started less than the slow start duration ago."""
        started_at = engine.entry.started_at
        return started_at > 0 and now - started_at < self.settings.slow_start_duration

    def capacity_share(self, engine: Engine) -> float:
        """Return the share of its full capacity that an engine has at least."""
        if not self.is_warming_up(engine, self.pool.now):
            return 1.0
        initial = self.settings.slow_start_initial
        age = self.pool.now - engine.entry.started_at
        return initial + (1 - initial) * age / self.settings.slow_start_duration

    def budget(self, engine: Engine, now: int) -> float:
        """Return the sends that an engine may still get in this window; no limit if it is warm.

        A budget of less than one send a window becomes a whole send in some windows, in which
        gateways take turns: a minimum of one send each would add up to the number of gateways. The
        risk is to starve an engine while few gateways have traffic.
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
        past_windows = (now - engine.entry.started_at) // window
        allowed = int((past_windows + 1) * budget + offset) - int(past_windows * budget + offset)
        if engine.role == READER:
            # Prefix homes already limit the sends of all gateways to a reader; with turns, the
            # gateways would disagree on the homes.
            allowed = max(1, allowed)
        return allowed - sum(weight for _, weight in engine.recent_sends)

    def _rate_of_warm_engine(self, role: str, now: int) -> float:
        """Return the rate at which one warm engine of a role serves attempts of this gateway.

        It is this gateway's share of the engine's capacity. Served attempts are counted instead of
        sends, because a retry storm is no sign of capacity. While the rate is unknown, it is
        estimated from the arrivals.
        """
        ready = self.pool.ready(role)

        def count_warm() -> int:
            return sum(not self.is_warming_up(engine, now) for engine in ready)

        warm_count: int = self.pool.memoize_briefly("warm", role, count_warm)
        served = self.rates.rate(role, now) / max(1, warm_count)
        assumed = self.arrival_rate(now) * ASSUMED_SERVED_SHARE / len(ready)
        return max(served, assumed)
