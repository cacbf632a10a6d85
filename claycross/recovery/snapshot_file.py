"""The file that carries the warm-start snapshot of a gateway from one process to the next.

It is apart from the operators' state: a snapshot that is too large, torn or invalid costs the next
process its measurements and nothing else. A write that fails leaves the earlier file. Calls block.
"""

from __future__ import annotations

import os
from collections.abc import Callable
from typing import Any

from .persisted_state import InvalidStateError
from .state_files import StateFiles, read_bounded, remove_if_possible, unwrap, wrap
from .warm_start_snapshot import WarmStartSnapshot

MAX_FILE_BYTES = 1024 * 1024
SNAPSHOT_SUFFIX = "snapshot"


class SnapshotFile:
    """The snapshot file of one gateway, beside its state files."""

    def __init__(self, files: StateFiles, log: Callable[[str], None]):
        self.path = files.path_of(f"{files.prefix}{SNAPSHOT_SUFFIX}")
        self.temporary_path = files.temporary_path_of(SNAPSHOT_SUFFIX)
        self.log = log
        self.failed = False  # whether the last write failed; failures in a row are logged once

    def read(self) -> dict[str, Any] | None:
        """Return the stored form of the snapshot; log why and return None if it can't be used."""
        try:
            fields = unwrap(read_bounded(self.path, MAX_FILE_BYTES))
        except FileNotFoundError:
            return None
        except OSError as err:
            self.log(f"warm-start-rejected why=unreadable: {err.strerror}")
            return None
        except InvalidStateError as err:
            self.log(f"warm-start-rejected why={err}")
            return None
        return fields if isinstance(fields, dict) else None

    def write(self, snapshot: WarmStartSnapshot) -> None:
        """Replace the file. The next process does without a snapshot if that fails."""
        try:
            with open(self.temporary_path, "wb") as file:
                file.write(wrap_within(snapshot, MAX_FILE_BYTES))
            os.rename(self.temporary_path, self.path)
            self.failed = False
        except OSError as err:
            remove_if_possible(self.temporary_path)
            if not self.failed:
                self.log(f"warm-start-write-failed path={self.path} why={err.strerror}")
            self.failed = True


def wrap_within(snapshot: WarmStartSnapshot, limit: int) -> bytes:
    """Return the bytes of a file with the newest parts of a snapshot that fit into `limit`."""
    data = wrap(snapshot.encode())
    while len(data) > limit and not snapshot.is_empty():
        snapshot = snapshot.newest_half()
        data = wrap(snapshot.encode())
    return data
