"""The persisted state of a gateway as held by this process, and its writes.

An operator's change takes effect in this process at once, and is persisted once it is in a synced
file; only then is the operator told that it survives a restart. Changes written by another process
of the gateway are adopted, with the unpersisted changes of this one applied on top. Writes block,
so a thread makes them, one at a time; the event loop never waits for a disk.
"""

from __future__ import annotations

import threading
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from ..interface import EndpointListUpdate
from ..net.loop import MS, SECOND, EventLoop
from . import warm_start
from .administrative_ejection import AdministrativeEjections
from .persisted_state import PersistedState, StateChange, apply_changes, is_newer
from .snapshot_file import SnapshotFile
from .state_files import StateFiles
from .warm_start_snapshot import WarmStartSnapshot

# Interval of the checks for a state that another process of this gateway has written.
ADOPTION_CHECK_INTERVAL_NS = 200 * MS
# Interval of the writes of the warm-start snapshot, if another process may take over.
SNAPSHOT_INTERVAL_NS = 2 * SECOND
# Backoff after a failed write; doubles with each failure in a row.
INITIAL_BACKOFF_NS = 40 * MS
MAX_BACKOFF_NS = SECOND
MAX_DOUBLINGS = 6  # enough to pass MAX_BACKOFF_NS
# How long an operator's command waits for its change to be persisted.
PERSIST_TIMEOUT_NS = 700 * MS
# Interval of the checks whether the writing thread has finished.
THREAD_POLL_INTERVAL_NS = 4 * MS


@dataclass(slots=True)
class Write:
    """One write by a thread, and its outcome once it has finished."""

    state: PersistedState | None = None  # as written; None if the write failed
    error: OSError | None = None


def ignore_updates(_: list[EndpointListUpdate]) -> None:
    """Ignore the updates; the default of `StateStore.on_ejections_changed`."""


def ignore_drain(_: bool) -> None:
    """Ignore the change; the default of `StateStore.on_drain_changed`."""


def no_snapshot() -> WarmStartSnapshot | None:
    """Return no snapshot; the default of `StateStore.capture_snapshot`."""
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
        self.state = PersistedState()  # as last read or written, without pending changes
        self.pending: list[StateChange] = []  # made by this process and not persisted yet, in order
        # The snapshot of the previous process, until it is restored.
        self.snapshot: WarmStartSnapshot | None = None
        self.draining = False
        self.writing = False
        self.stopping = False
        self.failures = 0  # failed writes in a row
        self.failed_writes = 0  # since the start of the process
        self.last_error = ""  # why the last write failed; blank if it succeeded
        self.on_ejections_changed: Callable[[list[EndpointListUpdate]], None] = ignore_updates
        self.on_drain_changed: Callable[[bool], None] = ignore_drain
        self.snapshot_file = SnapshotFile(files, log)
        self.saving_snapshot = False
        self.capture_snapshot: Callable[[], WarmStartSnapshot | None] = no_snapshot

    def start(self, saves_snapshots: bool) -> None:
        """Start to check for states of other processes and, if set, to save snapshots."""
        self.loop.call_later(ADOPTION_CHECK_INTERVAL_NS, self.adopt_newer_state)
        if saves_snapshots:
            self.loop.call_later(SNAPSHOT_INTERVAL_NS, self.save_snapshot_periodically)

    # ------------------------------------------------------------ reading

    def load(self) -> None:
        """Restore the state of an earlier process, before the first endpoint list arrives."""
        self.files.remove_temporary_files()
        self.files.log_unused_files()
        state = self.files.load()
        if state is not None:
            self.state = state
            self.ejections.adopt(state.ejected)
            self.draining = state.draining
            self.log_state("state-restored", state)
        self.load_snapshot()

    def load_snapshot(self) -> None:
        """Decode the stored snapshot, or that in a state file of an older version.

        Logs why one that is stored is not valid.
        """
        for fields in (self.snapshot_file.read(), self.state.snapshot):
            if not fields or self.snapshot:
                continue
            try:
                self.snapshot = warm_start.decode(fields, self.loop.now(), self.loop.clock_id)
            except warm_start.InvalidSnapshotError as err:
                self.log(f"warm-start-rejected why={err}")

    def adopt_newer_state(self) -> None:
        """Adopt a newer state that another process of this gateway has written."""
        if not self.writing and self.files.changed():
            state = self.files.load()
            if state is not None and is_newer(state, self.state.sequence):
                self.log_state("state-adopted", state)
                self.adopt(state)
        self.loop.call_later(ADOPTION_CHECK_INTERVAL_NS, self.adopt_newer_state)

    def adopt(self, state: PersistedState) -> None:
        """Hold this state with the pending changes on top, and apply the differences."""
        self.state = state
        wanted = apply_changes(state, self.pending)
        updates = self.ejections.adopt(wanted.ejected)
        if updates:
            self.on_ejections_changed(updates)
        if wanted.draining != self.draining:
            self.draining = wanted.draining
            self.on_drain_changed(self.draining)

    def log_state(self, event: str, state: PersistedState) -> None:
        """Log the contents of a state that was read."""
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
        """Wait, for PERSIST_TIMEOUT_NS at most, until all changes are persisted.

        Must be called by a task of the event loop.

        Returns:
            Blank, or why they are not persisted.
        """
        deadline = self.loop.now() + PERSIST_TIMEOUT_NS
        while self.pending and self.loop.now() < deadline:
            self.loop.sleep(THREAD_POLL_INTERVAL_NS)
        if not self.pending:
            return ""
        return self.last_error or "the write takes long"

    def save_snapshot_periodically(self) -> None:
        """Save snapshots for the next process until this one stops."""
        if not self.stopping:
            self.save_snapshot()
            self.loop.call_later(SNAPSHOT_INTERVAL_NS, self.save_snapshot_periodically)

    def stop(self) -> None:
        """Save a last snapshot for the next process."""
        self.stopping = True
        self.save_snapshot()

    def save_snapshot(self) -> None:
        """Start to write a snapshot, unless the last one is still being written."""
        if not self.saving_snapshot:
            self.saving_snapshot = True
            self.loop.spawn(self.write_snapshot)

    def write_snapshot(self) -> None:
        """Write a snapshot of the present measurements, if there are any to save."""
        try:
            snapshot = self.capture_snapshot()
            if snapshot is not None:
                self.run_in_thread(partial(self.snapshot_file.write, snapshot))
        finally:
            self.saving_snapshot = False

    def save(self) -> None:
        """Start to write the state with the pending changes, unless a write is in progress."""
        if not self.writing:
            self.writing = True
            self.loop.spawn(self.write_until_persisted)

    def write_until_persisted(self) -> None:
        """Write until no change is pending, with a backoff after failures."""
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
        """Return the delay in ns after the latest of the failures in a row."""
        doublings = min(self.failures - 1, MAX_DOUBLINGS)
        return min(MAX_BACKOFF_NS, INITIAL_BACKOFF_NS << doublings)

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
        # By identity, as an equal change may have been made during the write.
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
        """Make one write, and return its outcome."""
        write = Write()
        held = self.state

        def update_files() -> None:
            try:
                write.state = self.files.update(held, changes)
            except OSError as err:
                write.error = err

        self.run_in_thread(update_files)
        return write

    def run_in_thread(self, work: Callable[[], None]) -> None:
        """Run blocking work in a new thread, and wait for its end beside the event loop."""
        thread = threading.Thread(target=work, daemon=True)
        thread.start()
        while thread.is_alive():
            self.loop.sleep(THREAD_POLL_INTERVAL_NS)

    def is_writing(self) -> bool:
        """Tell whether a write is in progress, for which a process that ends has to wait."""
        return self.writing or self.saving_snapshot
