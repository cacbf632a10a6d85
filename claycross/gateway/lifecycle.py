"""The lifecycle of the gateway's process: running, reload on SIGHUP, graceful shutdown on SIGTERM.

A configuration that can't be used never ends a running process.
"""

from __future__ import annotations

import gc
import signal
from collections.abc import Callable
from dataclasses import fields
from functools import partial

from ..config.settings import ConfigurationError, GatewayConfig
from ..interface import ShutdownStarted
from ..net.address import Address
from ..net.loop import MS
from ..recovery.shutdown_schedule import ShutdownSchedule
from .endpoint_updates import EndpointUpdates
from .parts import GatewayParts
from .version import VERSION

# Between two groups of streams that are handed back.
HAND_BACK_INTERVAL = 40 * MS
# Between checks whether a stopping process has finished its work.
END_POLL_INTERVAL = 20 * MS
# Fields of the configuration that are no settings of the running process, or that reload applies.
NOT_REPORTED_ON_RELOAD = ("name", "discovery", "seed", "known", "deployment")

# Reads the configuration files again; returns the configuration and discovery's address.
ReadConfiguration = Callable[[], tuple[GatewayConfig, Address]]


class Lifecycle:
    """Runs one gateway until it is stopped."""

    def __init__(
        self, parts: GatewayParts, endpoint_updates: EndpointUpdates, reread: ReadConfiguration
    ):
        self.parts = parts
        self.loop = parts.loop
        self.log = parts.log
        self.endpoint_updates = endpoint_updates
        self.reread = reread

    def run(self) -> None:
        """Serve until the process has stopped."""
        self.loop.on_signals(
            {signal.SIGTERM: self.stop, signal.SIGINT: self.stop, signal.SIGHUP: self.reload}
        )
        # What the start has allocated stays; the collector need not look at it again.
        gc.collect()
        gc.freeze()
        self.log_serving()
        self.loop.run()

    def log_serving(self) -> None:
        """Log where the gateway listens."""
        parts = self.parts
        host, port = parts.chat_frontend.listener.address()
        inherited = parts.config.inherited_socket
        passed = "" if inherited is None else f" passed={inherited}"
        listeners = ""
        for name, frontend in zip(("embeddings", "admin"), parts.frontends[1:], strict=False):
            listeners += " {}={}:{}".format(name, *frontend.listener.address())
        if parts.admin_socket:
            listeners += " door={}:{}".format(*parts.admin_socket.listener.address())
        self.log(
            f"serving listen={host}:{port}{passed}{listeners} version={VERSION} "
            f"debug={__debug__} engines={len(parts.chat.endpoints)}"
        )

    # ------------------------------------------------------------ reload

    def reload(self) -> None:
        """Move to the discovery that the configuration files name now.

        Other changes in the files take effect at the next start, and are named in the log. Files
        that can't be used change nothing.
        """
        try:
            config, source = self.reread()
        except ConfigurationError as err:
            self.log(f"reload-failed the old settings stay in force: {err}")
            return
        waits = ",".join(self.changed_settings(config)) or "none"
        moved = self.endpoint_updates.discovery.move(source)
        self.log(f"reloaded discovery={source[0]}:{source[1]} moved={moved} waits={waits}")
        if moved:
            self.endpoint_updates.watch()

    def changed_settings(self, config: GatewayConfig) -> list[str]:
        """Return the names of settings that differ and take effect at the next start."""
        return [
            item.name
            for item in fields(GatewayConfig)
            if item.name not in NOT_REPORTED_ON_RELOAD
            and getattr(config, item.name) != getattr(self.parts.config, item.name)
        ]

    # ------------------------------------------------------------ shutdown

    def stop(self) -> None:
        """Begin the graceful shutdown."""
        parts = self.parts
        if parts.stopping:
            return
        parts.stopping = True
        if parts.may_be_succeeded:
            parts.state_store.stop()
        schedule = self.shutdown_schedule()
        if parts.membership:
            parts.membership.stop(schedule.answered)
        self.log(f"stopping open={sum(len(manager.requests) for manager in parts.managers)}")
        for manager in parts.managers:
            manager.stops_at = self.loop.now() + schedule.answered
            manager.enqueue(ShutdownStarted())
        self.stop_frontends(schedule)
        self.loop.call_later(schedule.accepts, self.end_when_finished)
        remaining = schedule.answered - schedule.hand_back
        self.loop.call_later(schedule.hand_back, partial(self.start_hand_back, remaining))

    def shutdown_schedule(self) -> ShutdownSchedule:
        """Return the schedule for the deadlines of all request classes."""
        return ShutdownSchedule.for_deadlines(
            request_class.timeout
            for manager in self.parts.managers
            for request_class in manager.settings.classes.values()
        )

    def stop_frontends(self, schedule: ShutdownSchedule) -> None:
        """Drain the frontends, and close them once no more connections are accepted."""
        accepts_waiting = schedule.accepts_queued - schedule.accepts
        for frontend in self.parts.frontends:
            frontend.start_draining()
            if frontend.listener.shared:
                # New connections wait in the socket for the process that takes over.
                frontend.listener.close()
            self.loop.call_later(schedule.accepts, partial(frontend.close, accepts_waiting))

    def start_hand_back(self, remaining: int) -> None:
        """Hand back the streams that still run, spread over the remaining time in ns."""
        self.hand_back(self.loop.now() + remaining)

    def hand_back(self, deadline: int) -> None:
        """Hand back a share of the streams, and go on until none runs.

        Streams that ended all at once made their clients return all at once, at times while no
        gateway was up.
        """
        rounds = max(1, (deadline - self.loop.now()) // HAND_BACK_INTERVAL)
        for manager in self.parts.managers:
            manager.hand_back_streams(rounds)
        if any(manager.requests for manager in self.parts.managers):
            self.loop.call_later(HAND_BACK_INTERVAL, partial(self.hand_back, deadline))

    def end_when_finished(self) -> None:
        """End the process once no client, request or write is left."""
        if self.is_busy():
            self.loop.call_later(END_POLL_INTERVAL, self.end_when_finished)
            return
        self.log("stopped")
        self.loop.stop()

    def is_busy(self) -> bool:
        """Tell whether a stopping process still has work."""
        parts = self.parts
        if any(frontend.clients or not frontend.listener.closed for frontend in parts.frontends):
            return True
        if any(manager.requests or manager.pending_releases() for manager in parts.managers):
            return True
        return parts.state_store.is_writing() and self.loop.now() < parts.chat.stops_at
