"""Capture and restore of the warm-start snapshot.

A new process of a gateway starts with the measurements of the previous one: paces of engines and
roles, prediction error, request rates, and which reader has which session and prefix cached. A
record about an engine is restored only if the engine's start time has not changed since it was
measured, as a restarted engine has an empty cache, and only into a router that has no measurement
of that engine yet. This module does no I/O and reads no clock.
"""

from __future__ import annotations

from itertools import islice
from typing import TypeVar

from ..routing.outlier_detection import TRUSTED_PACE_SAMPLES
from ..routing.prefix_cache import CREDIT_LIFETIME_NS, Credit
from ..routing.router import Router
from .warm_start_snapshot import (
    MAX_CREDITS,
    MAX_ENGINES,
    MAX_ID_LENGTH,
    MAX_PREFIXES,
    MAX_SESSIONS,
    ROLES,
    EngineRecord,
    InvalidSnapshotError,
    RateRecord,
    WarmStartSnapshot,
    decode,
)

Value = TypeVar("Value")

__all__ = ["InvalidSnapshotError", "WarmStartSnapshot", "capture", "decode", "restore"]


def capture(router: Router, now: int, clock: str) -> WarmStartSnapshot:
    """Copy what the router has measured, within the snapshot's bounds.

    Args:
        router: The router to copy from.
        now: The current monotonic time in ns.
        clock: The name of the clock that `now` was read from.
    """
    health = router.health
    prefix_cache = router.prefix_cache
    measured = {
        engine.id: EngineRecord(engine.pace, engine.samples, engine.entry.identity)
        for engine in health.engines.values()
        if engine.samples
    }
    return WarmStartSnapshot(
        at=now,
        clock=clock,
        prediction_error_quantiles=list(router.prediction_error_quantiles),
        home_cache_share=router.home_cache_share,
        recent_paces={role: list(health.recent_paces[role]) for role in ROLES},
        rates={role: RateRecord(total, at) for role, (total, at) in health.rates.items()},
        engines=newest(dict(islice(measured.items(), MAX_ENGINES)), MAX_ENGINES),
        sessions=newest(prefix_cache.sessions, MAX_SESSIONS),
        prefixes=newest_prefixes(prefix_cache.prefixes),
    )


def newest(table: dict[str, Value], limit: int) -> dict[str, Value]:
    """Return the last entries of a table whose names can be stored, at most `limit` of them."""
    last = islice(reversed(table.items()), limit)
    kept = [(name, value) for name, value in last if len(name) <= MAX_ID_LENGTH]
    return dict(reversed(kept))


def newest_prefixes(prefixes: dict[str, dict[str, Credit]]) -> dict[str, dict[str, Credit]]:
    """Return the last prefixes with their readers, at most MAX_CREDITS of these in all."""
    kept: dict[str, dict[str, Credit]] = {}
    credits_left = MAX_CREDITS
    for prefix, readers in reversed(newest(prefixes, MAX_PREFIXES).items()):
        kept[prefix] = newest(readers, min(credits_left, MAX_ENGINES))
        credits_left -= len(kept[prefix])
        if not credits_left:
            break
    return dict(reversed(kept.items()))


def restore(router: Router, snapshot: WarmStartSnapshot, now: int) -> int:
    """Restore a snapshot into a router that has its endpoint list.

    Returns:
        The number of engines in the snapshot that have not restarted since it was taken.
    """
    unchanged = unchanged_engines(router, snapshot)
    if not any(engine.samples for engine in router.health.engines.values()):
        restore_role_measurements(router, snapshot)
    restore_engines(router, snapshot, unchanged)
    restore_sessions(router, snapshot, unchanged, now)
    restore_prefixes(router, snapshot, unchanged, now)
    return len(unchanged)


def unchanged_engines(router: Router, snapshot: WarmStartSnapshot) -> set[str]:
    """Return the engines of the snapshot that run the same process as when it was taken."""
    engines = router.health.engines
    return {
        name
        for name, record in snapshot.engines.items()
        if name in engines and engines[name].entry.identity == record.identity
    }


def restore_role_measurements(router: Router, snapshot: WarmStartSnapshot) -> None:
    """Restore the measurements of whole roles and of the router's predictions."""
    health = router.health
    router.prediction_error_quantiles = list(snapshot.prediction_error_quantiles)
    router.home_cache_share = snapshot.home_cache_share
    for role, paces in snapshot.recent_paces.items():
        health.recent_paces[role].extend(paces)
    for role, rate in snapshot.rates.items():
        health.rates.setdefault(role, (rate.total, rate.at))


def restore_engines(router: Router, snapshot: WarmStartSnapshot, unchanged: set[str]) -> None:
    """Restore the pace of engines that this router has not measured yet."""
    for name in unchanged:
        engine = router.health.engines[name]
        if engine.samples:
            continue
        record = snapshot.engines[name]
        engine.pace = record.pace
        engine.samples = min(record.samples, TRUSTED_PACE_SAMPLES)


def restore_sessions(
    router: Router, snapshot: WarmStartSnapshot, unchanged: set[str], now: int
) -> None:
    """Restore the readers of sessions that are still cached."""
    sessions = router.prefix_cache.sessions
    for session, record in snapshot.sessions.items():
        cached = record.reader in unchanged and now - record.at < CREDIT_LIFETIME_NS
        if cached and session not in sessions:
            sessions[session] = record


def restore_prefixes(
    router: Router, snapshot: WarmStartSnapshot, unchanged: set[str], now: int
) -> None:
    """Restore the readers of prefixes that are still cached."""
    prefix_cache = router.prefix_cache
    for prefix, readers in snapshot.prefixes.items():
        cached = cached_credits(readers, unchanged, now)
        if not cached or prefix in prefix_cache.prefixes:
            continue
        prefix_cache.prefixes[prefix] = cached
        for reader, credit in cached.items():
            credited = prefix_cache.credited_tokens.get(reader, 0)
            prefix_cache.credited_tokens[reader] = credited + credit.tokens


def cached_credits(readers: dict[str, Credit], unchanged: set[str], now: int) -> dict[str, Credit]:
    """Return the credits of readers that still have a prefix cached."""
    return {
        reader: credit
        for reader, credit in readers.items()
        if reader in unchanged and now - credit.at < CREDIT_LIFETIME_NS
    }
