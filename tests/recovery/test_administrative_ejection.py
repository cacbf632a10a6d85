"""An engine that an operator ejected is never listed as ready until the operator enables it."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from claycross.interface import EndpointListUpdate, EngineEndpoint
from claycross.recovery.administrative_ejection import AdministrativeEjections

ENGINES = [f"s-{index}" for index in range(6)]
endpoint_entries = st.builds(
    EngineEndpoint,
    st.sampled_from(ENGINES),
    st.just("p"),
    st.sampled_from(["ready", "ready", "draining", "gone"]),
    started_at=st.integers(0, 3),
)
list_updates = st.builds(
    EndpointListUpdate,
    st.sampled_from(["full", "changes", "saved"]),
    st.lists(endpoint_entries, max_size=6),
)
update_or_command = st.one_of(
    list_updates, st.tuples(st.sampled_from(["down", "up"]), st.sampled_from([*ENGINES, "s-never"]))
)


def apply_update(states, update):
    for entry in update.entries:
        if entry.state == "gone":
            states.pop(entry.engine, None)
        else:
            states[entry.engine] = entry.state


@settings(max_examples=300, deadline=None)
@given(st.lists(update_or_command, max_size=40))
def test_list_differs_from_discovery_only_by_ejections(steps):
    ejections = AdministrativeEjections()
    visible, discovered = {}, {}  # engine -> state, with and without ejections
    ejected, ever_listed = set(), set()
    for step in steps:
        if isinstance(step, EndpointListUpdate):
            if step.kind != "changes":
                visible, discovered = {}, {}
            apply_update(visible, ejections.apply(step))
            apply_update(discovered, step)
            ever_listed |= {entry.engine for entry in step.entries}
        else:
            command, engine = step
            result = ejections.disable(engine, 1) if command == "down" else ejections.enable(engine)
            assert result.succeeded == (engine in ever_listed or engine in ejected)
            if result.succeeded and command == "down":
                ejected.add(engine)
            elif result.succeeded:
                ejected.discard(engine)
            if result.update:
                apply_update(visible, result.update)
        for engine, discovered_state in discovered.items():
            expected = (
                "draining"
                if engine in ejected and discovered_state == "ready"
                else discovered_state
            )
            assert visible[engine] == expected, (engine, visible, discovered, ejected)
        assert visible.keys() == discovered.keys()
        assert set(ejections.ejected_and_listed()) == ejected & discovered.keys()


@pytest.mark.parametrize("relisted_as", ["Ready", "restarted cold"])
def test_ejection_lasts_when_discovery_lists_the_engine_again(relisted_as):
    ejections = AdministrativeEjections()
    ejections.apply(
        EndpointListUpdate(
            "full", [EngineEndpoint("s-1", "p", "ready"), EngineEndpoint("s-2", "p", "ready")]
        )
    )
    result = ejections.disable("s-1", 5)
    assert result.succeeded and [entry.state for entry in result.update.entries] == ["draining"]
    ejections.apply(EndpointListUpdate("changes", [EngineEndpoint("s-1", "p", "gone")]))
    started_at = 7 if relisted_as == "restarted cold" else 0
    update = ejections.apply(
        EndpointListUpdate("changes", [EngineEndpoint("s-1", "p", "ready", started_at=started_at)])
    )
    assert [(entry.state, entry.started_at) for entry in update.entries] == [
        ("draining", started_at)
    ]
    enabled = ejections.enable("s-1")
    assert enabled.succeeded and [
        (entry.state, entry.started_at) for entry in enabled.update.entries
    ] == [("ready", started_at)]


@pytest.mark.parametrize(
    ("first", "second", "message"),
    [("down", "down", "out already"), ("up", "up", "in already"), ("down", "up", "back")],
)
def test_repeated_commands_succeed_without_an_update(first, second, message):
    ejections = AdministrativeEjections()
    ejections.apply(EndpointListUpdate("full", [EngineEndpoint("s-1", "p", "ready")]))
    if first == "down":
        ejections.disable("s-1", 1)
    else:
        ejections.enable("s-1")
    result = ejections.disable("s-1", 2) if second == "down" else ejections.enable("s-1")
    assert result.succeeded and message in result.message
    assert (result.update is None) == (first == second)


def test_commands_for_an_engine_never_listed_fail():
    ejections = AdministrativeEjections()
    ejections.apply(EndpointListUpdate("full", [EngineEndpoint("s-1", "p", "ready")]))
    assert not ejections.disable("s-9", 1).succeeded and not ejections.enable("s-9").succeeded
    assert ejections.ejected_and_listed() == [] and ejections.state() == {}


def test_remembered_ids_are_bounded_and_include_ejected_engines():
    ejections = AdministrativeEjections(remembered=10)
    ejections.apply(EndpointListUpdate("full", [EngineEndpoint("s-ejected", "p", "ready")]))
    ejections.disable("s-ejected", 1)
    for index in range(1000):
        added = EngineEndpoint(f"s-{index}", "p", "ready")
        removed = EngineEndpoint(f"s-{index}", "p", "gone")
        ejections.apply(EndpointListUpdate("changes", [added, removed]))
    assert (
        len(ejections.known) <= 10 and "s-ejected" in ejections.known and "s-999" in ejections.known
    )
    assert not ejections.disable("s-0", 1).succeeded  # dropped, so it counts as never listed


@given(
    st.dictionaries(st.sampled_from(ENGINES), st.integers(0, 9)),
    st.dictionaries(st.sampled_from(ENGINES), st.integers(0, 9)),
)
def test_adopted_state_replaces_the_ejections(before, after):
    ejections = AdministrativeEjections()
    ejections.apply(
        EndpointListUpdate("full", [EngineEndpoint(engine, "p", "ready") for engine in ENGINES])
    )
    ejections.adopt(before)
    updates = ejections.adopt(after)
    assert ejections.state().keys() == after.keys()
    changed = {entry.engine: entry.state for update in updates for entry in update.entries}
    assert changed == {engine: "draining" for engine in after.keys() - before.keys()} | {
        engine: "ready" for engine in before.keys() - after.keys()
    }
