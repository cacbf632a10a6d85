"""The persisted state of a gateway: its stored form, its validation, and changes to it.

The state holds the administrative ejections and whether the gateway is drained; files of older
versions also hold the warm-start snapshot. Ejections and drains last until an operator ends them
and never expire. A state that is read back is valid only if it has this format, belongs to this
gateway and deployment, and is within its bounds. This module does no I/O and reads no clock: the
caller verifies the checksum and passes the time in.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from enum import StrEnum
from typing import Any, TypeGuard

FORMAT = 2  # version of the stored form; other versions are rejected
MAX_EJECTIONS = 1_024
MAX_STORED_UNIT_BYTES = 7  # of a UTF-16 unit in a state file, which is JSON within JSON: \\uXXXX
MAX_SHOWN_LENGTH = 128  # of a name that is not this gateway's, in a message


@dataclass(slots=True)
class PersistedState:
    """What a gateway keeps across its processes."""

    sequence: int = 0  # increases with every change by any process of the gateway
    written: int = 0  # Unix time in ns; only informative, as wall clocks can be stepped
    ejected: dict[str, int] = field(default_factory=dict)  # engine -> Unix time in ns
    draining: bool = False
    writer: int = 0  # id of the process that wrote it; only informative
    # The snapshot in a file of an older version, as stored; warm_start_snapshot.py validates it.
    snapshot: dict[str, Any] | None = None


class ChangeKind(StrEnum):
    """What an operator can change in the state."""

    DISABLE_ENGINE = "set-down"
    ENABLE_ENGINE = "set-up"
    START_DRAIN = "drain-on"
    STOP_DRAIN = "drain-off"


@dataclass(frozen=True, slots=True)
class StateChange:
    """One change by an operator."""

    kind: ChangeKind
    engine: str = ""  # blank for a change of the gateway's drain
    at: int = 0  # time of an ejection, Unix time in ns


class InvalidStateError(Exception):
    """A stored state that must not be used; the message says why."""


def encode(state: PersistedState, gateway: str, deployment: str = "") -> dict[str, Any]:
    """Return the stored form of a state.

    Args:
        state: The state to encode.
        gateway: The name of the gateway that it belongs to.
        deployment: A digest of the settings. A state is not valid under other settings, which
            may define other request classes, tenants and limits.
    """
    return {
        "format": FORMAT,
        "gateway": gateway,
        "deployment": deployment,
        "sequence": state.sequence,
        "written": state.written,
        "writer": state.writer,
        "drained": state.draining,
        "bans": dict(sorted(state.ejected.items())),
        "learned": state.snapshot,
    }


def validate(fields: Any, gateway: str, deployment: str = "") -> PersistedState:
    """Decode a stored state whose checksum has been verified.

    Raises:
        InvalidStateError: The state is of another format, gateway or deployment, or a field is of
            the wrong type or out of bounds.
    """
    if not isinstance(fields, dict):
        raise InvalidStateError("the state is not a JSON object")
    check_origin(fields, gateway, deployment)
    drained = fields.get("drained")
    ejected = fields.get("bans")
    sequence = decode_count(fields.get("sequence"))
    written = decode_count(fields.get("written"))
    writer = decode_count(fields.get("writer"))
    if not isinstance(drained, bool) or not isinstance(ejected, dict):
        raise InvalidStateError("drained or bans is of the wrong type")
    check_ejections(ejected)
    snapshot = fields.get("learned")
    return PersistedState(
        sequence=sequence,
        written=written,
        ejected=dict(ejected),
        draining=drained,
        writer=writer,
        snapshot=snapshot if isinstance(snapshot, dict) else None,
    )


def check_origin(fields: dict[str, Any], gateway: str, deployment: str) -> None:
    """Raise InvalidStateError unless the state is of this format, gateway and deployment."""
    if fields.get("format") != FORMAT:
        raise InvalidStateError(f"format {fields.get('format')!r} instead of {FORMAT}")
    if fields.get("gateway") != gateway:
        other_gateway = str(fields.get("gateway"))[:MAX_SHOWN_LENGTH]
        raise InvalidStateError(f"written by gateway {other_gateway!r}")
    if fields.get("deployment") != deployment:
        raise InvalidStateError("written under other settings")


def decode_count(value: object) -> int:
    """Return a value that is a whole number and not negative."""
    if not is_whole(value) or value < 0:
        raise InvalidStateError("sequence, written or writer is not a whole number of at least 0")
    return value


def check_ejections(ejected: dict[Any, Any]) -> None:
    """Raise InvalidStateError unless each entry is an engine's id and a time."""
    if len(ejected) > MAX_EJECTIONS:
        raise InvalidStateError(
            f"{len(ejected)} entries in bans, over the limit of {MAX_EJECTIONS}"
        )
    for engine, ejected_at in ejected.items():
        if not isinstance(engine, str) or not engine or not is_whole(ejected_at):
            raise InvalidStateError("an entry in bans has no valid engine id or time")


def stored_id_bytes(engine: str) -> int:
    """Return how many bytes an engine's id takes in a state file at most."""
    utf16_units = len(engine.encode("utf-16-le", "surrogatepass")) // 2
    return utf16_units * MAX_STORED_UNIT_BYTES


def is_whole(value: object) -> TypeGuard[int]:
    """Tell whether a JSON value is a whole number; Python's bool is a subclass of int."""
    return isinstance(value, int) and not isinstance(value, bool)


def is_newer(found: PersistedState, sequence: int) -> bool:
    """Tell whether a state that was read is newer than the one with this sequence number."""
    return found.sequence > sequence


def apply_changes(base: PersistedState, changes: Iterable[StateChange]) -> PersistedState:
    """Return the state that results from operators' changes, applied in their order."""
    ejected = dict(base.ejected)
    draining = base.draining
    sequence = base.sequence
    for change in changes:
        sequence += 1
        match change.kind:
            case ChangeKind.DISABLE_ENGINE:
                ejected.setdefault(change.engine, change.at)
            case ChangeKind.ENABLE_ENGINE:
                ejected.pop(change.engine, None)
            case ChangeKind.START_DRAIN:
                draining = True
            case ChangeKind.STOP_DRAIN:
                draining = False
    return replace(base, sequence=sequence, ejected=ejected, draining=draining)
