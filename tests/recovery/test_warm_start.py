"""Measurements of a router are restored in the next process, except for restarted engines."""

import copy
import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from claycross.recovery import warm_start
from claycross.recovery.snapshot_file import MAX_FILE_BYTES, SnapshotFile, wrap_within
from claycross.recovery.state_files import StateFiles, unwrap
from claycross.recovery.warm_start_snapshot import MAX_CREDITS, MAX_SESSIONS
from claycross.routing.prefix_cache import Credit, SessionRecord
from tests.routing.router_harness import (
    MS,
    READERS,
    SECOND,
    WRITERS,
    EndpointListUpdate,
    RouterHarness,
    entry,
)

CLOCK_ID = "a boot of the machine"


def restored_router(restarted=()):
    """Serve requests with a router, and restore its snapshot, passed through JSON, into a new one.

    Returns:
        The old and the new harness, and the number of engines that have not restarted.
    """
    old = RouterHarness()
    for index in range(1, 40):
        old.serve(index, session=f"s{index % 7}", prefix=f"p{index % 3}", prefix_tokens=400)
        old.now += 100 * MS
    snapshot = warm_start.decode(
        json.loads(json.dumps(warm_start.capture(old.router, old.now, CLOCK_ID).encode())),
        old.now,
        CLOCK_ID,
    )
    new = RouterHarness()
    new.now = old.now + SECOND
    current_list = [
        entry(name, started_at=new.now if name in restarted else 0) for name in READERS + WRITERS
    ]
    new.handle(EndpointListUpdate("full", current_list))
    unchanged_count = warm_start.restore(new.router, snapshot, new.now)
    return old, new, unchanged_count


def test_new_router_predicts_as_the_old_one():
    old, new, unchanged_count = restored_router()
    assert unchanged_count == len(
        [engine for engine in old.router.health.engines.values() if engine.samples]
    )
    for role in ("read", "write"):
        assert new.router.health.typical_pace(role) == pytest.approx(
            old.router.health.typical_pace(role)
        )
    assert new.router.prediction_error_quantiles == old.router.prediction_error_quantiles
    assert new.router.home_cache_share == old.router.home_cache_share
    assert new.router.prefix_cache.sessions == old.router.prefix_cache.sessions
    assert new.router.prefix_cache.prefixes == old.router.prefix_cache.prefixes
    assert new.router.prefix_cache.credited_tokens == {
        reader: tokens
        for reader, tokens in old.router.prefix_cache.credited_tokens.items()
        if tokens
    }


def test_nothing_is_restored_for_a_restarted_engine():
    old, new, _ = restored_router(restarted={"r1", "w1"})
    for engine in ("r1", "w1"):
        assert new.router.health.engines[engine].samples == 0
    assert all(reader != "r1" for reader, _, _ in new.router.prefix_cache.sessions.values())
    assert all("r1" not in readers for readers in new.router.prefix_cache.prefixes.values())
    # The old router had something to restore.
    assert "r1" in {reader for reader, _, _ in old.router.prefix_cache.sessions.values()}


def test_own_measurements_of_a_router_are_not_replaced():
    old, new, _ = restored_router()
    measured = RouterHarness()
    measured.now = new.now
    measured.handle(EndpointListUpdate("full", [entry(name) for name in READERS + WRITERS]))
    measured.serve(1, session="mine")
    own_paces = {
        engine.id: (engine.pace, engine.samples)
        for engine in measured.router.health.engines.values()
        if engine.samples
    }
    own_quantiles = list(measured.router.prediction_error_quantiles)
    warm_start.restore(
        measured.router, warm_start.capture(old.router, old.now, CLOCK_ID), measured.now
    )
    assert {
        engine: (
            measured.router.health.engines[engine].pace,
            measured.router.health.engines[engine].samples,
        )
        for engine in own_paces
    } == own_paces
    assert measured.router.prediction_error_quantiles == own_quantiles


RECORDED_NAMES = st.text(min_size=1, max_size=3).map(lambda text: text * 60)


@settings(max_examples=60, deadline=None)
@given(
    st.dictionaries(RECORDED_NAMES, RECORDED_NAMES, max_size=30),
    st.dictionaries(RECORDED_NAMES, st.sets(RECORDED_NAMES, max_size=8), max_size=30),
    st.integers(0, 60_000),
)
def test_a_snapshot_that_is_captured_fits_its_file_and_can_be_restored(sessions, prefixes, limit):
    """Guards against a file that one process writes and the next one rejects (review case 8)."""
    router = RouterHarness().router
    index = router.prefix_cache
    index.sessions = {name: SessionRecord(reader, 5, 7) for name, reader in sessions.items()}
    index.prefixes = {
        name: {reader: Credit(5, 7) for reader in readers} for name, readers in prefixes.items()
    }
    snapshot = warm_start.capture(router, 9, CLOCK_ID)
    data = wrap_within(snapshot, limit)
    assert len(data) <= limit or warm_start.decode(unwrap(data), 9, CLOCK_ID).is_empty()
    restored = warm_start.decode(unwrap(data), 9, CLOCK_ID)
    newest = list(snapshot.sessions)[len(snapshot.sessions) - len(restored.sessions) :]
    assert set(restored.sessions) == set(newest)


def test_a_capture_is_bounded_and_holds_what_was_used_last():
    router = RouterHarness().router
    index = router.prefix_cache
    index.sessions = {f"s{number}": SessionRecord("r1", 5, 7) for number in range(3000)}
    index.prefixes = {
        f"p{number}": {f"r{reader}": Credit(5, 7) for reader in range(100)} for number in range(600)
    }
    snapshot = warm_start.capture(router, 9, CLOCK_ID)
    assert list(snapshot.sessions) == [f"s{number}" for number in range(3000 - MAX_SESSIONS, 3000)]
    assert sum(map(len, snapshot.prefixes.values())) == MAX_CREDITS
    assert list(snapshot.prefixes) == [f"p{number}" for number in range(600 - 82, 600)]


def test_failed_writes_of_a_snapshot_in_a_row_are_logged_once():
    logged = []
    file = SnapshotFile(StateFiles("/nowhere", "n0", logged.append), logged.append)
    for _ in range(3):
        file.write(warm_start.capture(RouterHarness().router, 9, CLOCK_ID))
    assert len(logged) == 1 and "warm-start-write-failed" in logged[0]


@pytest.mark.parametrize(
    "data", [b"", b"{}", b"x" * (MAX_FILE_BYTES + 1)], ids=["empty", "no envelope", "too large"]
)
def test_a_snapshot_file_that_can_not_be_used_is_logged_and_replaced(tmp_path, data):
    logged = []
    file = SnapshotFile(StateFiles(str(tmp_path), "n0", logged.append), logged.append)
    assert file.read() is None and not logged
    (tmp_path / "claycross-n0.snapshot").write_bytes(data)
    assert file.read() is None and "warm-start-rejected" in logged[0]
    snapshot = warm_start.capture(RouterHarness().router, 9, CLOCK_ID)
    file.write(snapshot)
    assert warm_start.decode(file.read(), 9, CLOCK_ID) == snapshot and len(logged) == 1
    assert [path.name for path in tmp_path.iterdir()] == ["claycross-n0.snapshot"]


@pytest.mark.parametrize(
    ("corrupt", "reason"),
    [
        (lambda fields: fields | {"at": fields["at"] - 31 * SECOND}, "ago"),
        (lambda fields: fields | {"at": fields["at"] + SECOND}, "ago"),
        (lambda fields: fields | {"lags": [1.0]}, "lags"),
        (lambda fields: fields | {"home_kept": 3.0}, "home_kept"),
        (lambda fields: fields | {"recent": {"read": []}}, "recent"),
        (lambda fields: fields | {"engines": {"r1": [1.0, True, 0]}}, "engines"),
        (lambda fields: fields | {"engines": {"r1": [1.0, float("inf"), 0]}}, "engines"),
        (lambda fields: fields | {"rates": {"read": [1.0, 10**400]}}, "rates"),
        (
            lambda fields: fields | {"engines": {f"e{index}": [1.0, 1, 0] for index in range(600)}},
            "engines",
        ),
        (lambda fields: fields | {"sessions": {"s": [5, 1, 1]}}, "sessions"),
        (lambda fields: fields | {"prefixes": {"p": {"r1": [1]}}}, "prefixes"),
        (lambda fields: fields | {"clock": "another run"}, "another clock"),
        (
            lambda fields: {name: value for name, value in fields.items() if name != "clock"},
            "another clock",
        ),
        (lambda fields: [fields], "not an object"),
    ],
)
def test_invalid_or_old_snapshot_is_rejected(corrupt, reason):
    old = RouterHarness()
    old.serve(1, session="s")
    snapshot = warm_start.capture(old.router, old.now, CLOCK_ID).encode()
    with pytest.raises(warm_start.InvalidSnapshotError, match=reason):
        warm_start.decode(corrupt(copy.deepcopy(snapshot)), old.now, CLOCK_ID)


def test_snapshot_without_a_clock_name_is_rejected():
    snapshot = warm_start.capture(RouterHarness().router, 0, "").encode()
    with pytest.raises(warm_start.InvalidSnapshotError, match="another clock"):
        warm_start.decode(snapshot, 0, "")


@settings(max_examples=200, deadline=None)
@given(
    st.recursive(
        st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
        lambda inner: st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=5), inner, max_size=4),
        max_leaves=20,
    ),
    st.sampled_from(
        ["lags", "recent", "rates", "engines", "sessions", "prefixes", "home_kept", "at"]
    ),
)
def test_arbitrary_field_is_rejected_or_can_be_restored(value, field):
    old = RouterHarness()
    old.serve(1, session="s", prefix="p", prefix_tokens=100)
    snapshot = warm_start.capture(old.router, old.now, CLOCK_ID).encode() | {field: value}
    try:
        decoded = warm_start.decode(json.loads(json.dumps(snapshot)), old.now, CLOCK_ID)
    except (warm_start.InvalidSnapshotError, ValueError):
        return
    new = RouterHarness()
    new.now = old.now
    warm_start.restore(new.router, decoded, new.now)
    new.serve(2, session="s", prefix="p", prefix_tokens=100)
