"""The same list of engines from etcd, one key for each engine, over etcd's JSON gateway.

Owns etcd's words: ranges, watches, revisions, compaction. It must never drop the list because etcd is silent,
or go on from a revision that was compacted away.
"""

from __future__ import annotations

import base64
import json
from collections.abc import Callable
from typing import Any

from ..net.loop import SECOND, Closed, Loop, TimedOut
from ..settings import EtcdSource
from .discovery import BACK_OFF, Discovery, Junk, Told


class Etcd(Discovery):
    """The same list kept in etcd, one key for each engine, its value in the form of discovery's own entries.

    Read over etcd's JSON gateway: a range for the whole list, then a watch from the revision after it. A
    watch that was compacted away, or that has been quiet for long, starts again with the list.
    """

    quiet = 10 * SECOND  # etcd says nothing while nothing changes, so a dead connection shows only so

    def __init__(self, loop: Loop, source: EtcdSource, told: list[Told], log: Callable[[str], None]):
        super().__init__(loop, source.address, told, log)
        start = source.prefix.encode()
        self.prefix, self.listed_at = start, -1
        self.keys = {"key": encode(start), "range_end": encode(after(start))}

    def watch(self) -> None:
        revision = self.read_list()
        create = {**self.keys, "start_revision": str(revision + 1)}
        try:
            for line in self.lines("POST", "/v3/watch", json.dumps({"create_request": create}).encode()):
                self.read(line)
        except TimedOut:
            raise Closed("quiet: the list is read again") from None

    def read_list(self) -> int:
        text = b"".join(self.lines("POST", "/v3/kv/range", json.dumps(self.keys).encode()))
        try:
            found = json.loads(text)
            revision = int(found["header"]["revision"])
            targets = [self.target(kv) for kv in found.get("kvs") or []]
        except (KeyError, TypeError, ValueError, AttributeError) as err:
            raise Junk(f"list: {type(err).__name__} {err}") from None
        if revision != self.listed_at:
            self.take({"rev": revision, "all": True, "targets": targets})
            self.listed_at = revision
        self.back_off, self.failed = BACK_OFF, 0
        return revision

    def read(self, line: bytes) -> None:
        if not line.strip():
            return
        try:
            result = json.loads(line)["result"]
            if result.get("canceled"):
                self.listed_at = -1
                raise Closed(f"etcd ended the watch, compacted at {result.get('compact_revision')}")
            events = result.get("events") or []
            targets = [self.target(e["kv"], e.get("type") == "DELETE") for e in events]
            if targets:
                self.take({"rev": int(result["header"]["revision"]), "targets": targets})
                self.listed_at = self.version
        except (KeyError, TypeError, ValueError, AttributeError) as err:
            raise Junk(f"watch: {type(err).__name__} {err}") from None

    def target(self, kv: dict[str, str], deleted: bool = False) -> dict[str, Any]:
        uid = base64.b64decode(kv["key"], validate=True).removeprefix(self.prefix).decode()
        if deleted:
            return {"uid": uid, "state": "Gone"}
        return {**json.loads(base64.b64decode(kv["value"], validate=True)), "uid": uid}


def encode(data: bytes) -> str:
    return base64.b64encode(data).decode()


def after(prefix: bytes) -> bytes:
    """The first key after those that begin with the prefix, as etcd's ranges want it; a zero ends all."""
    kept = prefix.rstrip(b"\xff")
    return kept[:-1] + bytes([kept[-1] + 1]) if kept else b"\0"
