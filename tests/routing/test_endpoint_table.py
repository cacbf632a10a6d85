"""Updates of the endpoint list."""

import pytest

from claycross.interface import EndpointListUpdate, EngineState, RequestArrived, UpdateKind
from claycross.routing.endpoint_table import EndpointTable
from claycross.routing.outlier_detection import OutlierDetector
from claycross.routing.prefix_cache import PrefixCacheIndex
from claycross.routing.rendezvous import tag
from tests.routing.router_harness import SECOND, entry, settings

NOW = 100 * SECOND


@pytest.fixture
def table() -> EndpointTable:
    chosen = settings()
    made = EndpointTable(chosen, OutlierDetector(chosen, lambda: 0.5), PrefixCacheIndex(), tag)
    made.update(EndpointListUpdate(UpdateKind.FULL, [entry("r1"), entry("r2"), entry("w1")]))
    arrival = RequestArrived(1, "ask", SECOND, 1000, session="s", prefix="p", prefix_tokens=500)
    made.prefix_cache.record_read(arrival, "r1", NOW)
    return made


def known(table: EndpointTable) -> set[str]:
    return set(table.health.engines)


def test_changes_do_not_remove_other_engines(table):
    table.update(EndpointListUpdate(UpdateKind.CHANGES, [entry("r3")]))
    assert known(table) == {"r1", "r2", "r3", "w1"}


@pytest.mark.parametrize("kind", [UpdateKind.FULL, UpdateKind.SAVED])
def test_a_full_list_removes_engines_that_it_does_not_list(table, kind):
    removed = table.health.engines["r1"]
    table.update(EndpointListUpdate(kind, [entry("r2"), entry("w1")]))
    assert known(table) == {"r2", "w1"}
    assert removed.entry.state is EngineState.REMOVED
    assert not table.prefix_cache.sessions and not table.prefix_cache.prefixes


def test_a_drained_engine_is_known_but_not_ready(table):
    table.update(EndpointListUpdate(UpdateKind.CHANGES, [entry("r1", EngineState.DRAINING)]))
    assert known(table) == {"r1", "r2", "w1"}
    assert [engine.id for engine in table.health.pool.ready("read")] == ["r2"]
    assert table.prefix_cache.sessions  # the engine may return with its cache


def test_measurements_of_an_earlier_process_are_discarded(table):
    engine = table.health.engines["r1"]
    engine.samples = engine.consecutive_failures = 5
    table.update(EndpointListUpdate(UpdateKind.CHANGES, [entry("r1", started_at=NOW)]))
    assert table.health.engines["r1"] is engine
    assert engine.samples == engine.consecutive_failures == 0
    assert not table.prefix_cache.sessions


def test_an_engine_of_an_unknown_machine_kind_is_ignored(table):
    unknown = entry("r9")
    unknown.machine_kind = "unknown"
    table.update(EndpointListUpdate(UpdateKind.CHANGES, [unknown]))
    assert known(table) == {"r1", "r2", "w1"}


def test_engines_are_found_by_their_tag(table):
    found = table.engines_with_tag(tag("r2"))
    assert table.health.engines["r2"] in found
    assert table.engines_with_tag(-1) == []
