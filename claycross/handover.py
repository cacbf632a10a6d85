"""The file in `$TMPDIR` by which a gateway's state outlives its process: written whole or not at all.

Owns the file's name, its bytes (JSON with a SHA-256 check sum of the body), the atomic write (a file of its
own, flushed to disk, then renamed over the old one) and the bound on what is read back. It must never trust
what it reads (decide/handover.py judges it), leave more than one file of its own behind, or stop the gateway
because the folder can't be written: the state is then only this process's.
"""

from __future__ import annotations

import contextlib
import hashlib
import json
import os
import re
from collections.abc import Callable

from .decide.handover import Kept, Refused, body, judge

LARGEST = 1024 * 1024  # bytes of the file; a larger one is refused unread


class Handover:
    def __init__(self, folder: str, gateway: str, log: Callable[[str], None]):
        self.gateway, self.log = gateway, log
        safe = re.sub(r"[^A-Za-z0-9_.-]", "_", gateway or "gateway")[:64]
        self.path = os.path.join(folder, f"claycross-{safe}.state")
        self.stamp: tuple[int, int] | None = None  # of the file as last seen: its time and size
        self.failed = False  # the last write failed; said once in the log

    def changed(self) -> bool:
        """Whether the file is other than it was when this process last read or wrote it."""
        try:
            info = os.stat(self.path)
        except OSError:
            return False
        return (info.st_mtime_ns, info.st_size) != self.stamp

    def load(self, now: int) -> Kept | None:
        """The state that the file holds, if it can be trusted; else None, and the reason in the log."""
        try:
            with open(self.path, "rb") as file:
                info = os.fstat(file.fileno())
                self.stamp = (info.st_mtime_ns, info.st_size)
                if info.st_size > LARGEST:
                    raise Refused(f"{info.st_size} bytes, over {LARGEST}")
                data = file.read(LARGEST + 1)
        except FileNotFoundError:
            return None
        except OSError as err:
            self.log(f"handover-refused path={self.path} why=unreadable: {err.strerror}")
            return None
        except Refused as err:
            self.log(f"handover-refused path={self.path} why={err}")
            return None
        try:
            return judge(unwrap(data), self.gateway, now)
        except Refused as err:
            self.log(f"handover-refused path={self.path} why={err}")
            return None

    def save(self, kept: Kept) -> bool:
        data = wrap(body(kept, self.gateway))
        temporary = f"{self.path}.{os.getpid()}.new"
        try:
            with open(temporary, "wb") as file:
                file.write(data)
                file.flush()
                os.fsync(file.fileno())
                self.stamp = None
            os.replace(temporary, self.path)
            info = os.stat(self.path)
            self.stamp = (info.st_mtime_ns, info.st_size)
        except OSError as err:
            with contextlib.suppress(OSError):
                os.unlink(temporary)
            if not self.failed:
                self.log(f"handover-unwritten path={self.path} why={err.strerror}; it stays this process's")
            self.failed = True
            return False
        self.failed = False
        return True

    def sweep(self) -> None:
        """Files that a process killed in the middle of a write left behind."""
        folder, name = os.path.split(self.path)
        with contextlib.suppress(OSError):
            for entry in os.listdir(folder or "."):
                if entry.startswith(name + ".") and entry.endswith(".new") and \
                        entry != f"{name}.{os.getpid()}.new":
                    with contextlib.suppress(OSError):
                        os.unlink(os.path.join(folder, entry))


def wrap(fields: dict[str, object]) -> bytes:
    text = json.dumps(fields, sort_keys=True, separators=(",", ":"))
    return json.dumps({"sha256": hashlib.sha256(text.encode()).hexdigest(), "body": text}).encode() + b"\n"


def unwrap(data: bytes) -> object:
    """The body whose check sum holds, or Refused: torn, garbage, or changed by hand."""
    try:
        outer = json.loads(data)
        text, digest = outer["body"], outer["sha256"]
        if not isinstance(text, str) or not isinstance(digest, str):
            raise TypeError("body or sum of the wrong kind")
    except (ValueError, KeyError, TypeError) as err:
        raise Refused(f"torn or garbage: {type(err).__name__}") from None
    if hashlib.sha256(text.encode()).hexdigest() != digest:
        raise Refused("the check sum does not hold")
    try:
        return json.loads(text)
    except ValueError:
        raise Refused("the body is not JSON") from None
