"""Discovery of engines, and the application of its updates to the gateway's parts.

An update passes the check of engine incarnations and the administrative ejections before the
request managers and engine connections see it. The warm-start snapshot of the previous process is
restored once discovery has given a list, as a saved list may be stale.
"""

from __future__ import annotations

import time

from ..config.settings import EtcdConfig
from ..discovery.etcd import EtcdWatch
from ..discovery.watch import DiscoveryWatch
from ..interface import EndpointListUpdate, UpdateKind
from ..net.address import Endpoint
from ..recovery import warm_start
from .parts import GatewayParts


class EndpointUpdates:
    """Runs discovery and applies its updates."""

    def __init__(self, parts: GatewayParts, etcd: EtcdConfig | None):
        self.parts = parts
        self.loop = parts.loop
        self.log = parts.log
        self.discovery = self.create_discovery(etcd)

    def create_discovery(self, etcd: EtcdConfig | None) -> DiscoveryWatch:
        """Return a watch of etcd where that is configured, else of the platform's discovery."""
        if etcd:
            return EtcdWatch(self.loop, etcd, [self.update_endpoints], self.log)
        timing = self.parts.list_freshness.timing
        return DiscoveryWatch(
            self.loop,
            self.parts.config.discovery,
            [self.update_endpoints],
            self.log,
            timing.connect_timeout,
            timing.pause,
        )

    def start(self) -> None:
        """Begin to watch, or have the chat router begin where it polls for the list itself."""
        # Set before the managers' first events are processed: a router that polls the list does so
        # in its first action.
        if self.polls():
            self.parts.chat.watch_endpoints = self.watch
        else:
            self.watch()

    def polls(self) -> bool:
        """Tell whether the list is polled; etcd is always watched."""
        polls = self.parts.config.settings.polls_endpoint_list
        return polls and not isinstance(self.discovery, EtcdWatch)

    def watch(self) -> None:
        """Poll discovery once, or watch it from now on."""
        if self.polls():
            self.loop.spawn(self.discovery.watch_once, self.list_failed)
        else:
            self.loop.spawn(self.discovery.watch_for_ever)

    def list_failed(self) -> None:
        """Let the chat router know that a poll failed."""
        self.parts.chat.update_endpoints(EndpointListUpdate(UpdateKind.FAILED))

    def update_endpoints(self, update: EndpointListUpdate, endpoints: dict[str, Endpoint]) -> None:
        """Apply an update from discovery or from the saved list."""
        parts = self.parts
        saved = update.kind == UpdateKind.SAVED
        is_first = not saved and parts.list_freshness.discovery_responded()
        update = parts.incarnations.apply(
            update, self.loop.now(), time.time_ns(), self.discovery.previous_message_at
        )
        self.log_incarnations()
        update = parts.ejections.apply(update)
        if not saved:
            self.restore_snapshot()
        parts.update_endpoints(update, endpoints)
        if is_first:
            self.admit_waiting()

    def apply_ejections(self, updates: list[EndpointListUpdate]) -> None:
        """Apply updates that follow from administrative ejections."""
        for update in updates:
            entries = [entry.copy() for entry in update.entries]
            self.parts.update_endpoints(EndpointListUpdate(UpdateKind.CHANGES, entries), {})

    def log_incarnations(self) -> None:
        """Log what the check of incarnations found."""
        messages = self.parts.incarnations.log_messages
        for message in messages:
            self.log(message)
        messages.clear()

    def admit_waiting(self) -> None:
        """Admit the requests that wait for discovery.

        Called when discovery responds for the first time, and when it has not done so for so long
        that the saved list is used.
        """
        parts = self.parts
        if not parts.list_freshness.confirmed:
            self.log(f"list-unheard engines={len(parts.chat.endpoints)} the saved list is sent by")
        for manager in parts.managers:
            manager.admit_waiting()

    # ------------------------------------------------------------ warm start

    def capture_snapshot(self) -> dict[str, object]:
        """Return the chat router's warm-start snapshot, in its stored form."""
        router = self.parts.chat.router
        return warm_start.capture(router, self.loop.now(), self.loop.clock_id).encode()

    def restore_snapshot(self) -> None:
        """Restore the previous process's snapshot into the chat router, once."""
        state_store = self.parts.state_store
        snapshot = state_store.snapshot
        if snapshot is None:
            return
        restored = warm_start.restore(self.parts.chat.router, snapshot, self.loop.now())
        self.log(
            f"handover-learned engines={restored} of={len(snapshot.engines)} "
            f"sessions={len(snapshot.sessions)}"
        )
        state_store.snapshot = None
