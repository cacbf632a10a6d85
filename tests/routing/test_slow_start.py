"""Slow start: capacity and budgets of engines that have just started."""

import pytest

from claycross.interface import EngineRole
from claycross.routing.engine import Engine
from claycross.routing.engine_pool import EnginePool
from claycross.routing.rate_estimation import HALF_LIFE_NS, RateEstimator
from claycross.routing.slow_start import SlowStart
from tests.routing.router_harness import SECOND, entry, settings

NOW = 100 * SECOND


def pool_with(*names: str, warming_up: str = "") -> EnginePool:
    """A pool of writers; `warming_up` names one that started a second ago."""
    pool = EnginePool()
    for name in names:
        started_at = NOW - SECOND if name == warming_up else 0
        pool.engines[name] = Engine(entry(name, started_at=started_at), EngineRole.WRITER, 1000)
    pool.begin_batch(NOW)
    return pool


def test_a_warm_engine_has_its_full_capacity_and_an_unlimited_budget():
    pool = pool_with("w1")
    slow_start = SlowStart(settings(), pool)
    assert slow_start.capacity_share(pool.engines["w1"]) == 1.0
    assert slow_start.budget(pool.engines["w1"], NOW) == float("inf")


def test_the_capacity_of_a_warming_engine_grows_from_its_initial_share():
    pool = pool_with("w1", warming_up="w1")
    slow_start = SlowStart(settings(slow_start_initial=0.25, slow_start_duration=10 * SECOND), pool)
    assert slow_start.capacity_share(pool.engines["w1"]) == pytest.approx(0.25 + 0.75 * 0.1)


def test_sends_use_up_the_budget_of_their_window():
    pool = pool_with("w1", "w2", warming_up="w1")
    slow_start = SlowStart(settings(), pool)
    warming, warm = pool.engines["w1"], pool.engines["w2"]
    for _ in range(1000):
        slow_start.record_served(warm, NOW)
    before = slow_start.budget(warming, NOW)
    assert 0 < before < float("inf")
    warming.recent_sends.append((NOW, 1.0))
    assert slow_start.budget(warming, NOW) == before - 1
    assert slow_start.budget(warm, NOW) == float("inf")


def test_attempts_served_by_a_warming_engine_do_not_count_towards_the_rate():
    pool = pool_with("w1", warming_up="w1")
    slow_start = SlowStart(settings(), pool)
    slow_start.record_served(pool.engines["w1"], NOW)
    assert slow_start.rates.rate(EngineRole.WRITER, NOW) == 0.0


def test_rates_are_halved_in_their_half_life():
    rates = RateEstimator()
    for _ in range(8):
        rates.count("key", NOW)
    assert rates.rate("key", NOW + HALF_LIFE_NS) == pytest.approx(rates.rate("key", NOW) / 2)
    assert rates.rate("other", NOW) == 0.0
