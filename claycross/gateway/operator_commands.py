"""The commands of the operators' admin socket, and the readiness of the gateway.

A command that changes the state takes effect at once, and is answered `ok` once the change would
outlive a restart.
"""

from __future__ import annotations

import time
from collections.abc import Callable

from ..net.line_protocol import fail, multiline_reply, ok
from ..net.loop import MS
from ..recovery.administrative_ejection import CommandResult
from ..recovery.persisted_state import ChangeKind, StateChange
from ..requests import preconditions
from .endpoint_updates import EndpointUpdates
from .parts import GatewayParts
from .statistics import Statistics

# After a drain begins: the clients' load balancer sends new connections for 300 ms more.
CLOSE_IDLE_AFTER = 400 * MS


class OperatorCommands:
    """The operators' commands, for one gateway."""

    def __init__(
        self, parts: GatewayParts, endpoint_updates: EndpointUpdates, statistics: Statistics
    ):
        self.parts = parts
        self.loop = parts.loop
        self.state_store = parts.state_store
        self.endpoint_updates = endpoint_updates
        self.statistics = statistics

    def handlers(self) -> dict[str, Callable[[str], bytes]]:
        """Return the handler of each command by its name on the wire."""
        return {
            "check": self.check,
            "drain-on": self.start_drain,
            "drain-off": self.stop_drain,
            "set-down": self.disable_engine,
            "set-up": self.enable_engine,
            "vars": self.metrics,
        }

    # ------------------------------------------------------------ readiness and metrics

    def why_not_serving(self) -> str:
        """Return why this process can't serve; blank if it can."""
        denial = preconditions.check_ready(self.parts.stopping, False, self.parts.list_is_fresh())
        if denial is preconditions.Denial.LIST_UNCONFIRMED:
            return "starting: discovery has not told the list yet"
        return denial or ""

    def is_ready(self) -> bool:
        """Tell whether clients are to be sent here: not while draining or without a fresh list."""
        denial = preconditions.check_ready(
            self.parts.stopping, self.state_store.draining, self.parts.list_is_fresh()
        )
        return denial is None

    def check(self, _: str) -> bytes:
        """Handle `check`: whether this process serves, and whether it is draining."""
        reason = self.why_not_serving()
        if reason:
            return fail(reason)
        return ok("ready draining" if self.state_store.draining else "ready")

    def metrics(self, _: str) -> bytes:
        """Handle `vars`: the metrics in Prometheus' text format."""
        if self.statistics.metrics is None:
            return fail("no figures here")
        return multiline_reply(True, self.statistics.metrics.lines())

    # ------------------------------------------------------------ ejection

    def disable_engine(self, engine: str) -> bytes:
        """Handle `set-down`: eject an engine."""
        if not engine:
            return fail("name the engine by its id")
        now = time.time_ns()
        result = self.parts.ejections.disable(engine, now)
        return self.finish_ejection(result, StateChange(ChangeKind.DISABLE_ENGINE, engine, now))

    def enable_engine(self, engine: str) -> bytes:
        """Handle `set-up`: end the ejection of an engine."""
        if not engine:
            return fail("name the engine by its id")
        result = self.parts.ejections.enable(engine)
        return self.finish_ejection(result, StateChange(ChangeKind.ENABLE_ENGINE, engine))

    def finish_ejection(self, result: CommandResult, change: StateChange) -> bytes:
        """Apply and persist the outcome of a command, and return its answer."""
        if result.update:
            self.endpoint_updates.apply_ejections([result.update])
        if not result.succeeded:
            return fail(result.message)
        return self.persist(result.message, change if result.changed else None)

    # ------------------------------------------------------------ drain

    def start_drain(self, _: str) -> bytes:
        """Handle `drain-on`: drain the whole gateway."""
        if self.state_store.draining:
            return self.persist("draining already", None)
        self.state_store.draining = True
        self.apply_drain(True)
        return self.persist("draining", StateChange(ChangeKind.START_DRAIN))

    def stop_drain(self, _: str) -> bytes:
        """Handle `drain-off`: serve again."""
        if not self.state_store.draining:
            return self.persist("not draining", None)
        self.state_store.draining = False
        self.apply_drain(False)
        stopping = self.parts.stopping
        message = "not draining; the process stops all the same" if stopping else "serving"
        return self.persist(message, StateChange(ChangeKind.STOP_DRAIN))

    def apply_drain(self, draining: bool) -> None:
        """Begin or end the drain of the chat frontend; a process that stops drains anyway."""
        if self.parts.stopping:
            return
        if draining:
            self.parts.chat_frontend.start_draining()
            self.loop.call_later(CLOSE_IDLE_AFTER, self.close_idle_connections)
        else:
            self.parts.chat_frontend.stop_draining()

    def close_idle_connections(self) -> None:
        """Close the clients' idle connections, if the gateway is still draining."""
        if self.state_store.draining and not self.parts.stopping:
            self.parts.chat_frontend.close_idle_connections()

    # ------------------------------------------------------------ persistence

    def persist(self, message: str, change: StateChange | None) -> bytes:
        """Persist a change, if any, and return the answer to the operator.

        The answer to a command that changes nothing waits too: a change made before may not be
        persisted yet.
        """
        if change:
            self.state_store.persist(change)
        reason = self.state_store.wait_until_persisted()
        if reason:
            return fail(
                f"{message}, but a restart would forget it: {reason}; "
                "it is tried on, call again to ask"
            )
        return ok(message)
