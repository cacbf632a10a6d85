"""Atomic, checksummed files that carry a gateway's state from one process to the next.

Each write makes a new file: it is written under a temporary name, synced, and renamed to a name
with the next generation number; older generations are removed once the new one is on the disk.
A file is never renamed over an existing one, so a process killed at any moment, or a machine that
fails, leaves one complete state. The body is JSON with a SHA-256 checksum. The folder is locked
between reading and writing, so that two processes of a gateway don't overwrite each other's state.
Calls block; recovery/state_store.py makes the writes in a thread.
"""

from __future__ import annotations

import contextlib
import errno
import fcntl
import hashlib
import json
import os
import re
import time
from collections.abc import Callable, Iterable, Iterator
from dataclasses import replace
from operator import attrgetter
from pathlib import Path
from typing import Any

from .persisted_state import (
    InvalidStateError,
    PersistedState,
    StateChange,
    apply_changes,
    encode,
    is_newer,
    validate,
)

MAX_FILE_BYTES = 1024 * 1024  # a larger file is refused unread
MAX_LOGGED_FILES = 8  # unused files that are named in the log at the start
MAX_NAME_LENGTH = 64  # of the gateway's name within a file name
MAX_NUMBER_DIGITS = 18  # of a generation or process id in a file name; fits 64 bits
LOCK_ATTEMPTS = 20  # the other process holds the lock for the time of one write
LOCK_RETRY_INTERVAL = 0.005  # seconds
# Errors of a file system without locks: there the write goes on unlocked.
LOCKS_UNSUPPORTED = (errno.ENOLCK, errno.ENOSYS, errno.EOPNOTSUPP, errno.EINVAL)
STATE_SUFFIX = ".state"
TEMPORARY_SUFFIX = ".new"


class StateFiles:
    """The state files of one gateway in one folder.

    Files are named NAME.DEPLOYMENT.GENERATION.PID.state, without DEPLOYMENT where none is given.
    Files of other deployments are neither used nor removed.
    """

    def __init__(self, folder: str, gateway: str, log: Callable[[str], None], deployment: str = ""):
        self.folder = folder
        self.gateway = gateway
        self.log = log
        self.deployment = deployment
        file_safe_name = re.sub(r"[^A-Za-z0-9_-]", "_", gateway or "gateway")[:MAX_NAME_LENGTH]
        self.name = f"claycross-{file_safe_name}."
        self.prefix = self.name + (f"{deployment}." if deployment else "")
        self.generation = 0  # the highest seen in the folder or written here
        self.seen: frozenset[str] = frozenset()  # the files as last read or written
        self.failed = False  # whether the last write failed, which is logged once

    @property
    def path(self) -> str:
        """The newest state's file, or where the first would go."""
        found = self.generations()
        name = found[0][1] if found else self.file_name(1)
        return self.path_of(name)

    def file_name(self, generation: int) -> str:
        """Return the name of a generation written by this process."""
        return f"{self.prefix}{generation}.{os.getpid()}{STATE_SUFFIX}"

    def path_of(self, name: str) -> str:
        """Return the path of a file in the folder."""
        return str(Path(self.folder) / name)

    # ------------------------------------------------------------ listing

    def file_names(self, prefix: str) -> list[str]:
        """Return the names of state files that begin with the prefix."""
        try:
            names = os.listdir(self.folder)
        except OSError:
            return []
        return [name for name in names if name.startswith(prefix) and name.endswith(STATE_SUFFIX)]

    def generations(self) -> list[tuple[int, str]]:
        """Return generation and name of this deployment's files, newest first."""
        found = []
        for name in self.file_names(self.prefix):
            parts = name.removeprefix(self.prefix).removesuffix(STATE_SUFFIX).split(".")
            numeric = all(part.isdigit() and len(part) <= MAX_NUMBER_DIGITS for part in parts)
            if len(parts) == 2 and numeric:
                found.append((int(parts[0]), name))
        return sorted(found, reverse=True)

    def current_names(self) -> frozenset[str]:
        """Return the names of this deployment's files."""
        return frozenset(name for _, name in self.generations())

    def highest_generation(self) -> int:
        """Return the highest generation in the folder or ever used by this process."""
        return max([self.generation, *(generation for generation, _ in self.generations())])

    def changed(self) -> bool:
        """Tell whether files came or went since this process last read or wrote them."""
        return self.current_names() != self.seen

    def log_unused_files(self) -> None:
        """Log which files of this gateway's name are not used, and why."""
        unused = set(self.file_names(self.name)) - self.current_names()
        for name in sorted(unused)[:MAX_LOGGED_FILES]:
            if self.load_file(name):
                self.log_refused(name, "not by its name")

    # ------------------------------------------------------------ reading

    def load(self) -> PersistedState | None:
        """Return the newest valid state, if any; log each file that is refused."""
        found = self.generations()
        self.seen = frozenset(name for _, name in found)
        self.generation = max([self.generation, *(generation for generation, _ in found)])
        states = [self.load_file(name) for _, name in found]
        valid = [state for state in states if state is not None]
        return max(valid, key=attrgetter("sequence"), default=None)

    def load_file(self, name: str) -> PersistedState | None:
        """Return the state in a file; None, logged, where it is not valid."""
        try:
            return validate(unwrap(self.read(self.path_of(name))), self.gateway, self.deployment)
        except FileNotFoundError:
            pass  # another process has written a newer generation and removed this one
        except OSError as err:
            self.log_refused(name, f"unreadable: {err.strerror}")
        except InvalidStateError as err:
            self.log_refused(name, str(err))
        return None

    def read(self, path: str) -> bytes:
        """Return the bytes of a file.

        Raises:
            InvalidStateError: The file is larger than a state may be.
        """
        with open(path, "rb") as file:
            size = os.fstat(file.fileno()).st_size
            if size > MAX_FILE_BYTES:
                raise InvalidStateError(f"{size} bytes, over {MAX_FILE_BYTES}")
            return file.read(MAX_FILE_BYTES + 1)

    def log_refused(self, name: str, reason: str) -> None:
        """Log that a file is not used."""
        self.log(f"state-file-rejected path={self.path_of(name)} why={reason}")

    # ------------------------------------------------------------ writing

    def update(
        self,
        held: PersistedState,
        changes: Iterable[StateChange],
        snapshot: dict[str, Any] | None,
    ) -> PersistedState:
        """Apply changes to the newest state, that on the disk or the one held, and write it.

        Returns:
            The state written. It is on the disk.

        Raises:
            OSError: It is not on the disk.
        """
        with self.locked():
            found = self.load()
            base = found if found and is_newer(found, held.sequence) else held
            state = replace(
                apply_changes(base, changes),
                written=time.time_ns(),
                writer=os.getpid(),
                snapshot=base.snapshot if snapshot is None else snapshot,
            )
            self.write(state)
            return state

    def save(self, state: PersistedState) -> bool:
        """Write a state whatever the folder holds; False, logged once, where that fails."""
        try:
            self.write(state)
        except OSError as err:
            self.log_write_error(err)
            return False
        self.failed = False
        return True

    def write(self, state: PersistedState) -> None:
        """Write and sync one generation, then remove the older ones.

        Raises:
            OSError: The write failed. The older generations are as they were.
        """
        data = wrap(encode(state, self.gateway, self.deployment))
        self.generation = self.highest_generation() + 1
        name = self.file_name(self.generation)
        temporary = self.path_of(name.removesuffix(STATE_SUFFIX) + TEMPORARY_SUFFIX)
        try:
            write_synced(temporary, data)
            os.rename(temporary, self.path_of(name))
            self.sync_folder()
        except OSError:
            remove_if_possible(temporary)
            raise
        self.remove_older_generations()
        self.seen = self.current_names()

    def remove_older_generations(self) -> None:
        """Remove the files of generations before the current one."""
        for generation, name in self.generations():
            if generation < self.generation:
                remove_if_possible(self.path_of(name))

    def remove_temporary_files(self) -> None:
        """Remove files that processes killed during a write left behind."""
        own_suffix = f".{os.getpid()}{TEMPORARY_SUFFIX}"
        with contextlib.suppress(OSError):
            for name in os.listdir(self.folder):
                temporary = name.startswith(self.prefix) and name.endswith(TEMPORARY_SUFFIX)
                if temporary and not name.endswith(own_suffix):
                    remove_if_possible(self.path_of(name))

    def sync_folder(self) -> None:
        """Sync the folder, so that a rename in it outlives a failure of the machine."""
        descriptor = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def log_write_error(self, error: OSError) -> None:
        """Log that the state can't be written, once for failures in a row."""
        if not self.failed:
            self.log(
                f"state-write-failed path={self.folder} why={error.strerror}; "
                "it stays this process's"
            )
        self.failed = True

    @contextlib.contextmanager
    def locked(self) -> Iterator[None]:
        """Hold the folder's lock against other processes of the gateway.

        The kernel releases the lock with the process, however that ends.

        Raises:
            OSError: The lock can't be had soon.
        """
        descriptor = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            acquire_lock(descriptor)
            yield
        finally:
            os.close(descriptor)


def acquire_lock(descriptor: int) -> None:
    """Lock an open folder, retrying while another process holds the lock."""
    for attempts_left in reversed(range(LOCK_ATTEMPTS)):
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as err:
            if err.errno in LOCKS_UNSUPPORTED:
                return
            if not attempts_left:
                raise
            time.sleep(LOCK_RETRY_INTERVAL)
        else:
            return


def write_synced(path: str, data: bytes) -> None:
    """Write a file and sync it to the disk."""
    with open(path, "wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())


def remove_if_possible(path: str) -> None:
    """Remove a file; one that can't be removed stays, as it does no harm."""
    with contextlib.suppress(OSError):
        os.unlink(path)


def wrap(fields: dict[str, object]) -> bytes:
    """Return the bytes of a state file: the body and its checksum."""
    body = json.dumps(fields, sort_keys=True, separators=(",", ":"))
    checksum = hashlib.sha256(body.encode()).hexdigest()
    return json.dumps({"sha256": checksum, "body": body}).encode() + b"\n"


def unwrap(data: bytes) -> object:
    """Return the body of a state file.

    Raises:
        InvalidStateError: The file is truncated or garbage, or its checksum doesn't match.
    """
    body, checksum = parse_envelope(data)
    if hashlib.sha256(body.encode()).hexdigest() != checksum:
        raise InvalidStateError("the check sum does not hold")
    try:
        return json.loads(body)
    except ValueError:
        raise InvalidStateError("the body is not JSON") from None


def parse_envelope(data: bytes) -> tuple[str, str]:
    """Return the body and the checksum that stand in a state file."""
    try:
        envelope = json.loads(data)
        body = envelope["body"]
        checksum = envelope["sha256"]
    except (ValueError, KeyError, TypeError) as err:
        raise InvalidStateError(f"torn or garbage: {type(err).__name__}") from None
    if not isinstance(body, str) or not isinstance(checksum, str):
        raise InvalidStateError("torn or garbage: TypeError")
    return body, checksum
