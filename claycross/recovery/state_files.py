"""Atomic, checksummed files that carry a gateway's state from one process to the next.

Each write creates a new file: it is written under a temporary name, synced, and renamed to a name
with the next generation number; older generations are removed once the new one is on disk. A file
is never renamed over an existing one, so that a process killed at any time, or a machine that
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

from .persisted_state import (
    InvalidStateError,
    PersistedState,
    StateChange,
    apply_changes,
    encode,
    is_newer,
    validate,
)

# Larger files are neither written nor read. Files of older versions hold a snapshot as well.
MAX_FILE_BYTES = 4 * 1024 * 1024
MAX_LOGGED_FILES = 8  # unused files that are logged at the start
MAX_NAME_LENGTH = 64  # of the gateway's name within a file name
MAX_NUMBER_DIGITS = 18  # of a generation or process id in a file name; fits 64 bits
LOCK_ATTEMPTS = 20  # another process holds the lock for the duration of one write
LOCK_RETRY_INTERVAL_S = 0.005
# Errors of a file system without locks, on which writes are made unlocked.
LOCKS_UNSUPPORTED = (errno.ENOLCK, errno.ENOSYS, errno.EOPNOTSUPP, errno.EINVAL)
STATE_SUFFIX = ".state"
TEMPORARY_SUFFIX = ".new"


class StateFiles:
    """The state files of one gateway in one folder.

    Files are named NAME.DEPLOYMENT.GENERATION.PID.state; DEPLOYMENT is omitted if it is blank.
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
        self.generation = 0  # the highest one read or written by this process
        self.seen: frozenset[str] = frozenset()  # the files as last read or written
        self.failed = False  # whether the last write failed; failures in a row are logged once

    @property
    def path(self) -> str:
        """The path of the newest state file, or of the first one if there is none."""
        found = self.generations()
        name = found[0][1] if found else self.file_name(1)
        return self.path_of(name)

    def file_name(self, generation: int) -> str:
        """Return the name of a generation written by this process."""
        return f"{self.prefix}{generation}.{os.getpid()}{STATE_SUFFIX}"

    def temporary_path_of(self, part: str) -> str:
        """Return the path under which this process writes a file before it gets its name."""
        return self.path_of(f"{self.prefix}{part}.{os.getpid()}{TEMPORARY_SUFFIX}")

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
        """Return generation and name of this deployment's files, latest first."""
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
        """Tell whether files were added or removed since this process last read or wrote them."""
        return self.current_names() != self.seen

    def log_unused_files(self) -> None:
        """Log which files with this gateway's name are not used, and why."""
        unused = set(self.file_names(self.name)) - self.current_names()
        for name in sorted(unused)[:MAX_LOGGED_FILES]:
            if self.load_file(name):
                self.log_rejected(name, "unexpected file name")

    # ------------------------------------------------------------ reading

    def load(self) -> PersistedState | None:
        """Return the newest valid state, if any; log each file that is rejected."""
        found = self.generations()
        self.seen = frozenset(name for _, name in found)
        self.generation = max([self.generation, *(generation for generation, _ in found)])
        states = [self.load_file(name) for _, name in found]
        valid = [state for state in states if state is not None]
        return max(valid, key=attrgetter("sequence"), default=None)

    def load_file(self, name: str) -> PersistedState | None:
        """Return the state in a file; log why and return None if it is not valid."""
        try:
            data = read_bounded(self.path_of(name), MAX_FILE_BYTES)
            return validate(unwrap(data), self.gateway, self.deployment)
        except FileNotFoundError:
            pass  # another process has written a newer generation and removed this one
        except OSError as err:
            self.log_rejected(name, f"unreadable: {err.strerror}")
        except InvalidStateError as err:
            self.log_rejected(name, str(err))
        return None

    def log_rejected(self, name: str, reason: str) -> None:
        """Log that a file is not used, and why."""
        self.log(f"state-file-rejected path={self.path_of(name)} why={reason}")

    # ------------------------------------------------------------ writing

    def update(self, held: PersistedState, changes: Iterable[StateChange]) -> PersistedState:
        """Apply changes to the newer of the stored state and the held one, and write the result.

        Returns:
            The written state, which is on disk.

        Raises:
            OSError: The state is not on disk.
        """
        with self.locked():
            found = self.load()
            base = found if found and is_newer(found, held.sequence) else held
            state = replace(
                apply_changes(base, changes),
                written=time.time_ns(),
                writer=os.getpid(),
                snapshot=None,
            )
            self.write(state)
            return state

    def save(self, state: PersistedState) -> bool:
        """Write a state whatever the folder holds; log a failure once and return False."""
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
            OSError: The write failed; the older generations are unchanged.
        """
        data = wrap(encode(state, self.gateway, self.deployment))
        if len(data) > MAX_FILE_BYTES:
            raise OSError(errno.EFBIG, os.strerror(errno.EFBIG))
        self.generation = self.highest_generation() + 1
        name = self.file_name(self.generation)
        temporary = self.temporary_path_of(str(self.generation))
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
        """Remove the temporary files of processes that were killed during a write."""
        own_suffix = f".{os.getpid()}{TEMPORARY_SUFFIX}"
        with contextlib.suppress(OSError):
            for name in os.listdir(self.folder):
                temporary = name.startswith(self.prefix) and name.endswith(TEMPORARY_SUFFIX)
                if temporary and not name.endswith(own_suffix):
                    remove_if_possible(self.path_of(name))

    def sync_folder(self) -> None:
        """Sync the folder, so that a rename in it survives a failure of the machine."""
        descriptor = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def log_write_error(self, error: OSError) -> None:
        """Log that the state can't be written; failures in a row are logged once."""
        if not self.failed:
            self.log(
                f"state-write-failed path={self.folder} why={error.strerror}; "
                "it is held in memory only"
            )
        self.failed = True

    @contextlib.contextmanager
    def locked(self) -> Iterator[None]:
        """Hold the folder's lock against other processes of the gateway.

        The kernel releases the lock when the process ends for any reason.

        Raises:
            OSError: The lock was not acquired within LOCK_ATTEMPTS.
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
            time.sleep(LOCK_RETRY_INTERVAL_S)
        else:
            return


def read_bounded(path: str, limit: int) -> bytes:
    """Return the bytes of a file.

    Raises:
        InvalidStateError: The file has more than `limit` bytes.
    """
    with open(path, "rb") as file:
        size = os.fstat(file.fileno()).st_size
        if size > limit:
            raise InvalidStateError(f"{size} bytes, over the limit of {limit}")
        return file.read(limit + 1)


def write_synced(path: str, data: bytes) -> None:
    """Write a file and sync it to disk."""
    with open(path, "wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())


def remove_if_possible(path: str) -> None:
    """Remove a file if possible; one that can't be removed is harmless."""
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
        raise InvalidStateError("checksum mismatch")
    try:
        return json.loads(body)
    except ValueError:
        raise InvalidStateError("the body is not JSON") from None


def parse_envelope(data: bytes) -> tuple[str, str]:
    """Return the body and the checksum in a state file."""
    try:
        envelope = json.loads(data)
        body = envelope["body"]
        checksum = envelope["sha256"]
    except (ValueError, KeyError, TypeError) as err:
        raise InvalidStateError(f"truncated or corrupt file: {type(err).__name__}") from None
    if not isinstance(body, str) or not isinstance(checksum, str):
        raise InvalidStateError("truncated or corrupt file: TypeError")
    return body, checksum
