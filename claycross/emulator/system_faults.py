"""Faults of the system under one process of the program: calls that fail, a wall clock that is
stepped.

Owns the library that is loaded into the process (faults.c, built with the system's C compiler) and
the file by which its faults are set while the process runs. It must never touch a process that was
not started with its environment. The order of the fields is that of faults.c.
"""

from __future__ import annotations

import mmap
import os
import pathlib
import shutil
import struct
import subprocess
from enum import IntEnum

from ..config.settings import ConfigurationError

SOURCE = pathlib.Path(__file__).with_name("faults.c")
CELL = struct.Struct("=q")


class Field(IntEnum):
    """One value that faults.c reads. Rates are in thousandths of the calls."""

    WALL_OFFSET_NS = 0  # added to the wall clock
    ACCEPT = 1  # ECONNABORTED, ENFILE, EMFILE, ENOBUFS, ENOMEM, EPROTO
    SOCKET = 2  # ENFILE, ENOBUFS, ENOMEM
    CONNECT = 3  # EADDRNOTAVAIL, ENETUNREACH, ENOBUFS, EAGAIN
    SHORT_IO = 4  # reads and writes of a part
    POLL_EINTR = 5
    RECV_ERROR = 6  # ETIMEDOUT, EHOSTUNREACH, ECONNRESET
    WRITE_ERROR = 7  # of regular files: ENOSPC, EIO
    SYNC_ERROR = 8  # EIO, ENOSPC
    KILL_AT_WRITE = (
        9  # the process is killed at its n-th write to a regular file, when half is written
    )
    KILL_AT_SYNC = 10
    KILL_AT_RENAME = 11
    FAILED = 12  # calls that were made to fail so far


def build(folder: pathlib.Path) -> pathlib.Path:
    """The library, built into the folder; BadSettings where there is no compiler, or it fails."""
    compiler = shutil.which("cc") or shutil.which("gcc")
    if compiler is None:
        raise ConfigurationError(
            "faults of system calls need a C compiler (cc or gcc), and there is none"
        )
    library = folder / "faults.so"
    if not library.exists():
        command = [
            compiler,
            "-O2",
            "-Wall",
            "-shared",
            "-fPIC",
            "-o",
            str(library),
            str(SOURCE),
            "-ldl",
        ]
        done = subprocess.run(command, capture_output=True, text=True, check=False)
        if done.returncode:
            raise ConfigurationError(f"{SOURCE.name} could not be built: {done.stderr[-500:]}")
    return library


class SystemFaults:
    """The faults of one process, none at first. The process is started with `environment()`."""

    def __init__(self, folder: pathlib.Path, name: str):
        self.library = build(folder)
        self.path = folder / f"{name}.faults"
        self.path.write_bytes(bytes(CELL.size * len(Field)))
        with self.path.open("r+b") as file:
            self.cells = mmap.mmap(file.fileno(), CELL.size * len(Field))

    def environment(self) -> dict[str, str]:
        """What the process is to be started with, beside its own environment."""
        return {"LD_PRELOAD": str(self.library), "CLAYCROSS_FAULTS": str(self.path)}

    def set(self, field: Field, value: int) -> None:
        """From now on."""
        CELL.pack_into(self.cells, CELL.size * field, value)

    def get(self, field: Field) -> int:
        """The value now, as the process has changed it."""
        return CELL.unpack_from(self.cells, CELL.size * field)[0]

    def clear(self) -> None:
        """No call fails from now on; the wall clock stays where it was stepped to."""
        for field in Field:
            if field not in (Field.WALL_OFFSET_NS, Field.FAILED):
                self.set(field, 0)


def with_faults(faults: SystemFaults | None) -> dict[str, str]:
    """The environment of a process, with faults or without."""
    return {**os.environ, **(faults.environment() if faults else {})}
