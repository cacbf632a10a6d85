"""The endpoint list from etcd, one key for each engine, over etcd's JSON gateway.

The list is kept while etcd is silent, and read again when its revision was compacted away.
"""

from __future__ import annotations

import base64
import contextlib
import json
from collections.abc import Callable
from typing import Any

from ..config.settings import EtcdConfig
from ..net.address import Address
from ..net.loop import SECOND, ConnectionClosedError, EventLoop
from .watch import (
    DiscoveryDataError,
    DiscoveryWatch,
    EndpointListener,
    SilentWatchError,
)

# etcd sends nothing while nothing changes: only a new watch shows that the connection is alive.
IDLE_TIMEOUT_NS = 3 * SECOND
MAX_LIST_TIMEOUT_NS = 10 * SECOND  # a large list may take long
LIST_INTERVAL_NS = 10 * SECOND  # between two reads of the full list


class EtcdWatch(DiscoveryWatch):
    """Watches the engines' keys, whose values have the form of discovery's own entries.

    A range request reads the full list, then a watch follows from the revision after it. A watch
    that is silent is followed by another one from the revision that was reached, to which etcd
    sends what the silent one may have missed. One that was compacted away, and any watch after
    LIST_INTERVAL_NS, starts again with the list.
    """

    idle_timeout = IDLE_TIMEOUT_NS
    min_first_response_timeout = IDLE_TIMEOUT_NS
    max_first_response_timeout = MAX_LIST_TIMEOUT_NS

    def __init__(
        self,
        loop: EventLoop,
        config: EtcdConfig,
        listeners: list[EndpointListener],
        log: Callable[[str], None],
    ):
        super().__init__(loop, config.address, listeners, log)
        self.prefix = config.prefix.encode()
        # The address and revision of the list that was published last.
        self.published: tuple[Address, int] | None = None
        self.keys = {"key": encode(self.prefix), "range_end": encode(range_end(self.prefix))}

    def watch(self) -> None:
        """Read the list and follow its changes, which always ends in an exception."""
        address = self.address
        while address == self.address:
            self.read_list(address)
            listed_at = self.loop.now()
            while address == self.address and self.loop.now() - listed_at < LIST_INTERVAL_NS:
                with contextlib.suppress(SilentWatchError):
                    self.follow(address)
        raise ConnectionClosedError("discovery's address has changed")

    def follow(self, address: Address) -> None:
        """Follow the changes since the published list, which always ends in an exception."""
        assert self.published is not None, "read_list() comes first"
        create = {**self.keys, "start_revision": str(self.published[1] + 1)}
        body = json.dumps({"create_request": create}).encode()
        for value in self.values("POST", "/v3/watch", body):
            self.handle_value(value, address)
        raise ConnectionClosedError("the watch ended")

    def read_list(self, address: Address) -> None:
        """Read the full list and publish it unless it is known."""
        body = json.dumps(self.keys).encode()
        response = b"".join(self.values("POST", "/v3/kv/range", body))
        try:
            key_range = json.loads(response)
            revision = int(key_range["header"]["revision"])
            targets = [self.target(kv) for kv in key_range.get("kvs") or []]
        except (KeyError, TypeError, ValueError, AttributeError) as err:
            raise DiscoveryDataError(f"list: {type(err).__name__} {err}") from None
        if (address, revision) != self.published:
            self.apply_message({"rev": revision, "all": True, "targets": targets}, address)
            self.published = address, revision
        self.reset_back_off()

    def handle_value(self, value: bytes, address: Address) -> None:
        """Publish the changes in one response of the watch."""
        if not value:
            return
        try:
            result = json.loads(value)["result"]
            if result.get("canceled"):
                self.published = None
                raise ConnectionClosedError(
                    f"etcd ended the watch, compacted at {result.get('compact_revision')}"
                )
            events = result.get("events") or []
            targets = [self.target(event["kv"], event.get("type") == "DELETE") for event in events]
            if targets:
                self.apply_message(
                    {"rev": int(result["header"]["revision"]), "targets": targets}, address
                )
                self.published = address, self.version
        except (KeyError, TypeError, ValueError, AttributeError) as err:
            raise DiscoveryDataError(f"watch: {type(err).__name__} {err}") from None

    def target(self, kv: dict[str, str], deleted: bool = False) -> dict[str, Any]:
        """Return one key and its value as an entry of the endpoint list."""
        uid = base64.b64decode(kv["key"], validate=True).removeprefix(self.prefix).decode()
        if deleted:
            return {"uid": uid, "state": "Gone"}
        return {**json.loads(base64.b64decode(kv["value"], validate=True)), "uid": uid}


def encode(data: bytes) -> str:
    """Encode bytes as base64, as etcd's JSON gateway takes keys."""
    return base64.b64encode(data).decode()


def range_end(prefix: bytes) -> bytes:
    """Return the first key after those that begin with the prefix: the end of an etcd range.

    A zero byte stands for the end of all keys.
    """
    kept = prefix.rstrip(b"\xff")
    if not kept:
        return b"\0"
    return kept[:-1] + bytes([kept[-1] + 1])
