"""The persisted state of a gateway as held by this process, and the writes that keep it.

An operator's change takes effect in this process at once, and is persisted once a synced file
holds it; only then is the operator told that it outlives a restart. Changes written by another
process of the gateway are followed, with the unpersisted changes of this one applied on top. Writes
block, so a thread makes them, one at a time; the event loop never waits for a disk.
"""

from __future__ import annotations

import threading
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from ..interface import EndpointListUpdate
from ..net.loop import MS, SECOND, EventLoop
from . import warm_start
from .administrative_ejection import AdministrativeEjections
from .persisted_state import PersistedState, StateChange, apply_changes, is_newer
from .state_files import StateFiles
from .warm_start_snapshot import WarmStartSnapshot

# Between checks for a state that another process of this gateway has written.
FOLLOW_INTERVAL = 200 * MS
# Between writes of the warm-start snapshot, where another process may take over.
SNAPSHOT_INTERVAL = 2 * SECOND
# Backoff after a failed write; doubles with each failure in a row.
INITIAL_BACKOFF = 40 * MS
MAX_BACKOFF = SECOND
MAX_DOUBLINGS = 6  # enough to pass MAX_BACKOFF
# An operator's call waits so long for its change to be persisted.
PERSIST_TIMEOUT = 700 * MS
# Between checks whether the writing thread is done.
THREAD_POLL_INTERVAL = 4 * MS


@dataclass(slots=True)
class Write:
    """One write by a thread, and its outcome once it is done."""

    state: PersistedState | None = None  # as written; None where it failed
    error: OSError | None = None
    done: bool = False


def ignore_updates(_: list[EndpointListUpdate]) -> None:
    """Stand in for a callback that is not set."""


def ignore_drain(_: bool) -> None:
    """Stand in for a callback that is not set."""


def no_snapshot() -> dict[str, Any] | None:
    """Stand in for the capture of a snapshot where no process takes over."""
    return None


class StateStore:
    """The state of one gateway, as this process holds it."""

    def __init__(
        self,
        loop: EventLoop,
        files: StateFiles,
        ejections: AdministrativeEjections,
        log: Callable[[str], None],
    ):
        self.loop = loop
        self.files = files
        self.ejections = ejections
        self.log = log
        self.state = PersistedState()  # as last read or written, without the pending changes
        self.pending: list[StateChange] = []  # made here and not persisted yet, in order
        self.snapshot: WarmStartSnapshot | None = None  # of the previous process, until restored
        self.draining = False
        self.writing = False
        self.stopping = False
        self.failures = 0  # failed writes in a row
        self.failed_writes = 0  # since the start
        self.last_error = ""  # why the last write failed; blank if it succeeded
        self.on_ejections_changed: Callable[[list[EndpointListUpdate]], None] = ignore_updates
        self.on_drain_changed: Callable[[bool], None] = ignore_drain
        self.capture_snapshot: Callable[[], dict[str, Any] | None] = no_snapshot

    def start(self, saves_snapshots: bool) -> None:
        """Begin to follow other processes and, if asked to, to save snapshots for a successor."""
        self.loop.call_later(FOLLOW_INTERVAL, self.follow)
        if saves_snapshots:
            self.loop.call_later(SNAPSHOT_INTERVAL, self.save_snapshot_periodically)

    # ------------------------------------------------------------ reading

    def load(self) -> None:
        """Take over the state of an earlier process, before the first endpoint list arrives."""
        self.files.remove_temporary_files()
        self.files.log_unused_files()
        state = self.files.load()
        if state is None:
            return
        self.state = state
        self.ejections.adopt(state.ejected)
        self.draining = state.draining
        self.log_state("state-restored", state)
        if state.snapshot:
            self.load_snapshot(state.snapshot)

    def load_snapshot(self, fields: dict[str, Any]) -> None:
        """Decode a stored snapshot; one that is not valid is logged and left."""
        try:
            self.snapshot = warm_start.decode(fields, self.loop.now(), self.loop.clock_id)
        except warm_start.InvalidSnapshotError as err:
            self.log(f"warm-start-rejected why={err}")

    def follow(self) -> None:
        """Adopt a newer state that another process of this gateway has written."""
        if not self.writing and self.files.changed():
            state = self.files.load()
            if state is not None and is_newer(state, self.state.sequence):
                self.log_state("state-adopted", state)
                self.adopt(state)
        self.loop.call_later(FOLLOW_INTERVAL, self.follow)

    def adopt(self, state: PersistedState) -> None:
        """Hold this state with the pending changes on top, and apply what differs from before."""
        self.state = state
        wanted = apply_changes(state, self.pending)
        updates = self.ejections.adopt(wanted.ejected)
        if updates:
            self.on_ejections_changed(updates)
        if wanted.draining != self.draining:
            self.draining = wanted.draining
            self.on_drain_changed(self.draining)

    def log_state(self, event: str, state: PersistedState) -> None:
        """Log a state that was read."""
        self.log(
            f"{event} sequence={state.sequence} writer={state.writer} "
            f"bans={len(state.ejected)} drained={state.draining}"
        )

    # ------------------------------------------------------------ writing

    def persist(self, change: StateChange) -> None:
        """Write a change that has taken effect here, retrying until it is persisted.

        It replaces a pending change to the same engine, or to the drain, so that there are never
        more pending changes than engines.
        """
        self.pending = [earlier for earlier in self.pending if earlier.engine != change.engine]
        self.pending.append(change)
        self.save()

    def wait_until_persisted(self) -> str:
        """Wait, for PERSIST_TIMEOUT at most, until all changes are persisted.

        To be called by a task of the event loop.

        Returns:
            Blank, or why they are not persisted.
        """
        deadline = self.loop.now() + PERSIST_TIMEOUT
        while self.pending and self.loop.now() < deadline:
            self.loop.sleep(THREAD_POLL_INTERVAL)
        if not self.pending:
            return ""
        return self.last_error or "the write takes long"

    def save_snapshot_periodically(self) -> None:
        """Save snapshots for a process that takes over, until this one stops."""
        if not self.stopping:
            self.save()
            self.loop.call_later(SNAPSHOT_INTERVAL, self.save_snapshot_periodically)

    def stop(self) -> None:
        """Save a last snapshot for the process that takes over."""
        self.stopping = True
        self.save()

    def save(self) -> None:
        """Have the state written with the pending changes, unless a write is in progress."""
        if not self.writing:
            self.writing = True
            self.loop.spawn(self.write_until_persisted)

    def write_until_persisted(self) -> None:
        """Write until no change is pending, with backoff after failures."""
        try:
            while True:
                self.write_once()
                if not self.pending:
                    return
                if self.failures:
                    self.loop.sleep(self.backoff())
        finally:
            self.writing = False

    def backoff(self) -> int:
        """Return the pause in ns after the latest of the failures in a row."""
        doublings = min(self.failures - 1, MAX_DOUBLINGS)
        return min(MAX_BACKOFF, INITIAL_BACKOFF << doublings)

    def write_once(self) -> None:
        """Write the state with the changes pending now, and record the outcome."""
        changes = tuple(self.pending)
        write = self.write(changes)
        if write.state is None:
            self.write_failed(write.error)
        else:
            self.write_succeeded(write.state, changes)

    def write_succeeded(self, state: PersistedState, changes: tuple[StateChange, ...]) -> None:
        """Drop the changes that are persisted, and adopt the state they were applied to."""
        if self.failures:
            self.log(f"state-written sequence={state.sequence} after={self.failures}")
        # By identity: an equal change may have been made again during the write.
        persisted = {id(change) for change in changes}
        self.pending = [change for change in self.pending if id(change) not in persisted]
        self.adopt(state)
        self.failures = 0
        self.last_error = ""
        self.files.failed = False

    def write_failed(self, error: OSError | None) -> None:
        """Count and log a failed write."""
        self.failures += 1
        self.failed_writes += 1
        self.last_error = str(error.strerror if error else "unknown")
        if error:
            self.files.log_write_error(error)

    def write(self, changes: tuple[StateChange, ...]) -> Write:
        """Make one write in a thread of its own, and wait for it without blocking the loop."""
        write = Write()
        held = self.state
        snapshot = self.capture_snapshot()

        def work() -> None:
            try:
                write.state = self.files.update(held, changes, snapshot)
            except OSError as err:
                write.error = err
            finally:
                write.done = True

        threading.Thread(target=work, daemon=True).start()
        while not write.done:
            self.loop.sleep(THREAD_POLL_INTERVAL)
        return write

    def is_writing(self) -> bool:
        """Tell whether a process that ends has to stay for a write."""
        return self.writing
