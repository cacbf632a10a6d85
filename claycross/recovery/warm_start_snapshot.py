"""The warm-start snapshot: its fields, their JSON form, and their validation.

A snapshot carries the measurements of one process's router to the next process of the same gateway.
Decoding checks the type and bounds of every field and
raises InvalidSnapshotError with the name of the first invalid one. This module does no I/O and
reads no clock.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, replace
from itertools import islice
from typing import Any, TypeGuard, TypeVar

from ..routing.outlier_detection import RECENT_PACES_KEPT
from ..routing.prefix_cache import Credit, SessionRecord

MAX_ENGINES = 512
MAX_SESSIONS = 1_024
MAX_PREFIXES = 512
MAX_CREDITS = 8_192  # of all prefixes
MAX_RATES = 8
MAX_ID_LENGTH = 128
MAX_PREDICTION_ERROR = 100  # ratio of measured to predicted time; exclusive
QUANTILE_COUNT = 2
SECOND = 1_000_000_000  # ns
# A snapshot is rewritten every few seconds; an older one describes a past load.
MAX_AGE_NS = 30 * SECOND
ROLES = ("read", "write", "both")

Number = int | float
Value = TypeVar("Value")


class InvalidSnapshotError(Exception):
    """A snapshot that must not be restored; the message names the field or the reason."""


@dataclass(frozen=True, slots=True)
class EngineRecord:
    """The measurements of one engine."""

    pace: float  # ns per unit of work
    samples: int
    identity: Number  # start time of the engine's process, which changes with a restart


@dataclass(frozen=True, slots=True)
class RateRecord:
    """An exponentially decaying count of one role."""

    total: float
    at: int  # ns, monotonic: the time up to which the total has decayed


@dataclass(frozen=True, slots=True)
class WarmStartSnapshot:
    """A copy of the measurements of a router."""

    at: Number  # ns, on the clock named by `clock`
    clock: str
    prediction_error_quantiles: list[float]
    home_cache_share: float
    recent_paces: dict[str, list[float]]  # by role
    rates: dict[str, RateRecord]  # by role
    engines: dict[str, EngineRecord]
    sessions: dict[str, SessionRecord]
    prefixes: dict[str, dict[str, Credit]]  # prefix -> reader -> cached tokens

    def is_empty(self) -> bool:
        """Return whether it names no engine, session or prefix."""
        return not (self.engines or self.sessions or self.prefixes)

    def newest_half(self) -> WarmStartSnapshot:
        """Return a snapshot without the older half of what is named in this one."""
        return replace(
            self,
            engines=without_older_half(self.engines),
            sessions=without_older_half(self.sessions),
            prefixes=without_older_half(self.prefixes),
        )

    def encode(self) -> dict[str, Any]:
        """Return the stored form, made of JSON types only."""
        return {
            "at": self.at,
            "clock": self.clock,
            "lags": list(self.prediction_error_quantiles),
            "home_kept": self.home_cache_share,
            "recent": {role: list(paces) for role, paces in self.recent_paces.items()},
            "rates": {role: [rate.total, rate.at] for role, rate in self.rates.items()},
            "engines": {
                engine: [record.pace, record.samples, record.identity]
                for engine, record in self.engines.items()
            },
            "sessions": {session: list(record) for session, record in self.sessions.items()},
            "prefixes": {
                prefix: {reader: list(credit) for reader, credit in credits.items()}
                for prefix, credits in self.prefixes.items()
            },
        }


def without_older_half(table: dict[str, Value]) -> dict[str, Value]:
    """Return the later entries of a table, the smaller half of them if their number is odd."""
    return dict(islice(table.items(), (len(table) + 1) // 2, None))


def decode(fields: object, now: int, clock: str) -> WarmStartSnapshot:
    """Decode a snapshot read back from a state file.

    Args:
        fields: The parsed JSON.
        now: The current monotonic time in ns.
        clock: The name of the clock that `now` was read from; blank if it has none.

    Raises:
        InvalidSnapshotError: A field is of the wrong type or out of bounds, the snapshot is too
            old, or its age is unknown because it was taken by another clock.
    """
    if not isinstance(fields, dict) or not is_number(fields.get("at")):
        raise InvalidSnapshotError("not an object with a number as at")
    check_age(fields, now, clock)
    return WarmStartSnapshot(
        at=fields["at"],
        clock=clock,
        prediction_error_quantiles=decode_quantiles(fields.get("lags")),
        home_cache_share=decode_share(fields.get("home_kept")),
        recent_paces=decode_recent_paces(fields.get("recent")),
        rates=decode_rates(fields.get("rates")),
        engines=decode_engines(fields.get("engines")),
        sessions=decode_sessions(fields.get("sessions")),
        prefixes=decode_prefixes(fields.get("prefixes")),
    )


def check_age(fields: dict[str, Any], now: int, clock: str) -> None:
    """Raise InvalidSnapshotError unless the snapshot is recent by the same clock."""
    if not clock or fields.get("clock") != clock:
        raise InvalidSnapshotError("taken by another clock")
    age = now - fields["at"]
    if not 0 <= age <= MAX_AGE_NS:
        raise InvalidSnapshotError(f"taken {age // SECOND} s ago")


def decode_quantiles(value: object) -> list[float]:
    """Decode the quantiles of the prediction error."""
    quantiles = decode_numbers(value, "lags", QUANTILE_COUNT)
    require(all(0 < quantile < MAX_PREDICTION_ERROR for quantile in quantiles), "lags")
    return [float(quantile) for quantile in quantiles]


def decode_share(value: object) -> float:
    """Decode the share of a prompt found cached at its home reader."""
    if not is_number(value) or not 0 <= value <= 1:
        raise InvalidSnapshotError("home_kept")
    return float(value)


def decode_recent_paces(value: object) -> dict[str, list[float]]:
    """Decode the recent paces of each role."""
    name = "recent"
    if not isinstance(value, dict) or not set(value) <= set(ROLES):
        raise InvalidSnapshotError(name)
    recent_paces: dict[str, list[float]] = {}
    for role, items in value.items():
        paces = decode_numbers(items, name)
        require(0 < len(paces) <= RECENT_PACES_KEPT, name)
        require(all(pace > 0 for pace in paces), name)
        recent_paces[role] = [float(pace) for pace in paces]
    return recent_paces


def decode_rates(value: object) -> dict[str, RateRecord]:
    """Decode the decaying counts by role."""
    if not isinstance(value, dict) or len(value) > MAX_RATES:
        raise InvalidSnapshotError("rates")
    rates: dict[str, RateRecord] = {}
    for role, items in value.items():
        require(isinstance(role, str), "rates")
        total, at = decode_numbers(items, "rates", 2)
        require(total >= 0 and at >= 0, "rates")
        rates[role] = RateRecord(float(total), int(at))
    return rates


def decode_engines(value: object) -> dict[str, EngineRecord]:
    """Decode the measurements by engine."""
    engines: dict[str, EngineRecord] = {}
    for engine, items in decode_table(value, "engines", MAX_ENGINES).items():
        pace, samples, identity = decode_numbers(items, "engines", 3)
        require(min(pace, samples, identity) >= 0, "engines")
        engines[engine] = EngineRecord(float(pace), int(samples), identity)
    return engines


def decode_sessions(value: object) -> dict[str, SessionRecord]:
    """Decode the reader of each session's last prompt."""
    sessions: dict[str, SessionRecord] = {}
    for session, items in decode_table(value, "sessions", MAX_SESSIONS).items():
        if not isinstance(items, list) or len(items) != len(SessionRecord._fields):
            raise InvalidSnapshotError("sessions")
        reader = items[0]
        if not isinstance(reader, str):
            raise InvalidSnapshotError("sessions")
        prompt, at = decode_numbers(items[1:], "sessions", 2)
        sessions[session] = SessionRecord(reader, int(prompt), int(at))
    return sessions


def decode_prefixes(value: object) -> dict[str, dict[str, Credit]]:
    """Decode which readers have which prefix cached."""
    prefixes: dict[str, dict[str, Credit]] = {}
    for prefix, readers in decode_table(value, "prefixes", MAX_PREFIXES).items():
        prefixes[prefix] = decode_credits(readers)
    return prefixes


def decode_credits(value: object) -> dict[str, Credit]:
    """Decode the tokens of one prefix that each reader has cached."""
    credits_by_reader: dict[str, Credit] = {}
    for reader, items in decode_table(value, "prefixes", MAX_ENGINES).items():
        tokens, at = decode_numbers(items, "prefixes", 2)
        credits_by_reader[reader] = Credit(int(tokens), int(at))
    return credits_by_reader


def decode_numbers(value: object, name: str, count: int | None = None) -> list[Number]:
    """Decode a list of finite numbers, `count` of them if that is given."""
    if not isinstance(value, list) or not all(is_number(item) for item in value):
        raise InvalidSnapshotError(name)
    require(count is None or len(value) == count, name)
    return value


def decode_table(value: object, name: str, limit: int) -> dict[str, Any]:
    """Decode an object of at most `limit` entries whose keys are ids."""
    if not isinstance(value, dict) or len(value) > limit:
        raise InvalidSnapshotError(name)
    for key in value:
        require(isinstance(key, str) and 0 < len(key) <= MAX_ID_LENGTH, name)
    return value


def require(holds: bool, name: str) -> None:
    """Raise InvalidSnapshotError with the name of the field unless the condition holds."""
    if not holds:
        raise InvalidSnapshotError(name)


def is_number(value: object) -> TypeGuard[Number]:
    """Tell whether a JSON value is a finite number within the range of floats."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        return False
    try:
        return math.isfinite(value)
    except OverflowError:  # an int beyond the range of floats
        return False
