"""Runs discovery and applies its endpoint updates to the gateway's parts.

An update passes the check of engine incarnations and the administrative ejections before the
request managers and engine connections receive it. The warm-start snapshot of the previous process
is restored only when discovery has delivered a list, because the saved list may be stale.
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
    """Owns the discovery watch and applies its updates to the gateway's parts."""

    def __init__(self, parts: GatewayParts, etcd: EtcdConfig | None):
        self.parts = parts
        self.loop = parts.loop
        self.log = parts.log
        self.discovery = self.create_discovery(etcd)

    def create_discovery(self, etcd: EtcdConfig | None) -> DiscoveryWatch:
        """Create a watch of etcd if it is configured, else of the platform's discovery service."""
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
        """Start watching, or let the chat router request each poll if the list is polled."""
        # Set before the managers process their first events: a polling router requests the list in
        # its first action.
        if self.polls_list():
            self.parts.chat.watch_endpoints = self.watch
        else:
            self.watch()

    def polls_list(self) -> bool:
        """Return whether the endpoint list is polled; etcd is always watched."""
        polling_configured = self.parts.config.settings.polls_endpoint_list
        return polling_configured and not isinstance(self.discovery, EtcdWatch)

    def watch(self) -> None:
        """Poll discovery once, or start a continuous watch."""
        if self.polls_list():
            self.loop.spawn(self.discovery.watch_once, self.report_poll_failure)
        else:
            self.loop.spawn(self.discovery.watch_for_ever)

    def report_poll_failure(self) -> None:
        """Notify the chat router that a poll failed."""
        self.parts.chat.update_endpoints(EndpointListUpdate(UpdateKind.FAILED))

    def update_endpoints(self, update: EndpointListUpdate, endpoints: dict[str, Endpoint]) -> None:
        """Apply an update from discovery or the saved list to all parts."""
        parts = self.parts
        is_saved = update.kind == UpdateKind.SAVED
        is_first_response = not is_saved and parts.list_freshness.discovery_responded()
        update = parts.incarnations.apply(
            update, self.loop.now(), time.time_ns(), self.discovery.previous_message_at
        )
        self.log_incarnation_messages()
        update = parts.ejections.apply(update)
        if not is_saved:
            self.restore_snapshot()
        parts.update_endpoints(update, endpoints)
        if is_first_response:
            self.admit_waiting()

    def apply_ejections(self, updates: list[EndpointListUpdate]) -> None:
        """Apply updates that result from administrative ejections."""
        for update in updates:
            entries = [entry.copy() for entry in update.entries]
            self.parts.update_endpoints(EndpointListUpdate(UpdateKind.CHANGES, entries), {})

    def log_incarnation_messages(self) -> None:
        """Write and clear the log messages of the incarnation check."""
        messages = self.parts.incarnations.log_messages
        for message in messages:
            self.log(message)
        messages.clear()

    def admit_waiting(self) -> None:
        """Admit the requests that wait for discovery's first response.

        Called when that response arrives, or when the wait times out and the saved list is used.
        """
        parts = self.parts
        if not parts.list_freshness.confirmed:
            engine_count = len(parts.chat.endpoints)
            self.log(f"list-unconfirmed engines={engine_count} the saved list is used")
        for manager in parts.managers:
            manager.admit_waiting()

    # ------------------------------------------------------------ warm start

    def capture_snapshot(self) -> warm_start.WarmStartSnapshot:
        """Return the warm-start snapshot of the chat router."""
        return warm_start.capture(self.parts.chat.router, self.loop.now(), self.loop.clock_id)

    def restore_snapshot(self) -> None:
        """Restore the previous process's snapshot into the chat router; later calls do nothing."""
        state_store = self.parts.state_store
        snapshot = state_store.snapshot
        if snapshot is None:
            return
        restored = warm_start.restore(self.parts.chat.router, snapshot, self.loop.now())
        self.log(
            f"warm-start-restored engines={restored} of={len(snapshot.engines)} "
            f"sessions={len(snapshot.sessions)}"
        )
        state_store.snapshot = None
