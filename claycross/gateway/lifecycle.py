"""The lifecycle of the gateway process: run, reload on SIGHUP, graceful shutdown on SIGTERM.

An invalid configuration never ends a running process.
"""

from __future__ import annotations

import gc
import signal
from collections.abc import Callable
from dataclasses import fields
from functools import partial

from ..config.settings import ConfigurationError, GatewayConfig
from ..net.address import Address
from ..net.loop import MS
from ..recovery.shutdown_schedule import ShutdownSchedule
from ..requests.answer_endings import end_late_answers, hand_back_streams
from .endpoint_updates import EndpointUpdates
from .parts import GatewayParts
from .version import VERSION

# Between two batches of streams that are ended for their clients to resume elsewhere.
HAND_BACK_INTERVAL_NS = 40 * MS
# Between checks of whether a stopping process has finished its work.
COMPLETION_POLL_INTERVAL_NS = 20 * MS
# Configuration fields that a reload applies, or that have no effect on a running process.
NOT_REPORTED_ON_RELOAD = ("name", "discovery", "seed", "known", "deployment")

# Reads the configuration files again; returns the configuration and the address of discovery.
ReadConfiguration = Callable[[], tuple[GatewayConfig, Address]]


class Lifecycle:
    """Runs one gateway until it is stopped, and handles its signals."""

    def __init__(
        self,
        parts: GatewayParts,
        endpoint_updates: EndpointUpdates,
        read_configuration: ReadConfiguration,
    ):
        self.parts = parts
        self.loop = parts.loop
        self.log = parts.log
        self.endpoint_updates = endpoint_updates
        self.read_configuration = read_configuration

    def run(self) -> None:
        """Serve until the process is stopped."""
        self.loop.on_signals(
            {signal.SIGTERM: self.stop, signal.SIGINT: self.stop, signal.SIGHUP: self.reload}
        )
        # Objects allocated during start-up live on: exclude them from garbage collections.
        gc.collect()
        gc.freeze()
        self.log_serving()
        self.loop.run()

    def log_serving(self) -> None:
        """Log the addresses on which the gateway listens."""
        parts = self.parts
        host, port = parts.chat_frontend.listener.address()
        inherited = parts.config.inherited_socket
        inherited_field = "" if inherited is None else f" passed={inherited}"
        listeners = ""
        for name, frontend in zip(("embeddings", "admin"), parts.frontends[1:], strict=False):
            listeners += " {}={}:{}".format(name, *frontend.listener.address())
        if parts.admin_socket:
            listeners += " door={}:{}".format(*parts.admin_socket.listener.address())
        self.log(
            f"serving listen={host}:{port}{inherited_field}{listeners} version={VERSION} "
            f"debug={__debug__} engines={len(parts.chat.endpoints)}"
        )

    # ------------------------------------------------------------ reload

    def reload(self) -> None:
        """Read the configuration again and apply a changed address of discovery.

        Other changes are logged by name and take effect at the next start. Invalid files change
        nothing.
        """
        try:
            config, discovery_address = self.read_configuration()
        except ConfigurationError as err:
            self.log(f"reload-failed the previous settings stay in force: {err}")
            return
        pending_settings = ",".join(self.changed_settings(config)) or "none"
        moved = self.endpoint_updates.discovery.move(discovery_address)
        host, port = discovery_address
        self.log(f"reloaded discovery={host}:{port} moved={moved} waits={pending_settings}")
        if moved:
            self.endpoint_updates.watch()

    def changed_settings(self, config: GatewayConfig) -> list[str]:
        """Return the names of changed settings that take effect at the next start."""
        return [
            setting.name
            for setting in fields(GatewayConfig)
            if setting.name not in NOT_REPORTED_ON_RELOAD
            and getattr(config, setting.name) != getattr(self.parts.config, setting.name)
        ]

    # ------------------------------------------------------------ shutdown

    def stop(self) -> None:
        """Start the graceful shutdown."""
        parts = self.parts
        if parts.stopping:
            return
        parts.stopping = True
        if parts.supports_handover:
            parts.state_store.stop()
        schedule = self.shutdown_schedule()
        if parts.membership:
            parts.membership.stop(schedule.answered)
        self.log(f"stopping open={sum(len(manager.requests) for manager in parts.managers)}")
        for manager in parts.managers:
            manager.start_shutdown(schedule.unrestricted, schedule.answered, schedule.counted)
            self.loop.call_later(schedule.cut_off, partial(end_late_answers, manager))
        self.stop_frontends(schedule)
        self.loop.call_later(schedule.accepts, self.exit_when_finished)
        remaining = schedule.answered - schedule.hand_back
        self.loop.call_later(schedule.hand_back, partial(self.start_hand_back, remaining))

    def shutdown_schedule(self) -> ShutdownSchedule:
        """Return the shutdown schedule that fits the deadlines of all request classes."""
        return ShutdownSchedule.for_deadlines(
            request_class.timeout
            for manager in self.parts.managers
            for request_class in manager.settings.classes.values()
        )

    def stop_frontends(self, schedule: ShutdownSchedule) -> None:
        """Drain the frontends now, and close them at the end of the schedule's accept phase."""
        accepts_waiting = schedule.accepts_queued - schedule.accepts
        for frontend in self.parts.frontends:
            frontend.start_draining()
            if frontend.listener.shared:
                # New connections wait in the shared socket's backlog for the next process.
                frontend.listener.close()
            self.loop.call_later(schedule.accepts, partial(frontend.close, accepts_waiting))

    def start_hand_back(self, remaining: int) -> None:
        """End the streams that are still open, spread over the remaining time in ns."""
        self.hand_back(self.loop.now() + remaining)

    def hand_back(self, deadline: int) -> None:
        """End a share of the open streams, and repeat until none is open.

        If all streams ended at once, all clients would reconnect at once, possibly while no gateway
        is up.
        """
        batches_left = max(1, (deadline - self.loop.now()) // HAND_BACK_INTERVAL_NS)
        for manager in self.parts.managers:
            hand_back_streams(manager, batches_left)
        if any(manager.requests for manager in self.parts.managers):
            self.loop.call_later(HAND_BACK_INTERVAL_NS, partial(self.hand_back, deadline))

    def exit_when_finished(self) -> None:
        """Exit once no client, request or state write is left."""
        if self.has_pending_work():
            self.loop.call_later(COMPLETION_POLL_INTERVAL_NS, self.exit_when_finished)
            return
        self.log("stopped")
        self.loop.stop()

    def has_pending_work(self) -> bool:
        """Return whether a stopping process still has work to finish."""
        parts = self.parts
        if any(frontend.clients or not frontend.listener.closed for frontend in parts.frontends):
            return True
        if any(manager.requests or manager.pending_releases() for manager in parts.managers):
            return True
        return parts.state_store.is_writing() and self.loop.now() < parts.chat.stops_at
