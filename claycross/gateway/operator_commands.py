"""The commands of the admin socket, and the gateway's readiness.

A command that changes state takes effect at once; it is answered `ok` once the change is persisted.
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

# From the start of a drain: the clients' load balancer sends new connections for another 300 ms.
IDLE_CLOSE_DELAY_NS = 400 * MS


class OperatorCommands:
    """Handlers of the operator commands for one gateway."""

    def __init__(
        self, parts: GatewayParts, endpoint_updates: EndpointUpdates, statistics: Statistics
    ):
        self.parts = parts
        self.loop = parts.loop
        self.state_store = parts.state_store
        self.endpoint_updates = endpoint_updates
        self.statistics = statistics

    def handlers(self) -> dict[str, Callable[[str], bytes]]:
        """Return the command handlers by the name of the command in the admin protocol."""
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
        """Return the reason why this process cannot serve; an empty string if it can."""
        denial = preconditions.check_ready(self.parts.stopping, False, self.parts.list_is_fresh())
        if denial is preconditions.Denial.LIST_UNCONFIRMED:
            return "starting: discovery has not told the list yet"
        return denial or ""

    def is_ready(self) -> bool:
        """Return whether to receive new clients: not while draining or without a fresh list."""
        denial = preconditions.check_ready(
            self.parts.stopping, self.state_store.draining, self.parts.list_is_fresh()
        )
        return denial is None

    def check(self, _: str) -> bytes:
        """Handle `check`: report whether this process serves and whether it is draining."""
        reason = self.why_not_serving()
        if reason:
            return fail(reason)
        return ok("ready draining" if self.state_store.draining else "ready")

    def metrics(self, _: str) -> bytes:
        """Handle `vars`: return the metrics in the Prometheus text format."""
        if self.statistics.metrics is None:
            return fail("no figures here")
        return multiline_reply(True, self.statistics.metrics.lines())

    # ------------------------------------------------------------ ejection

    def disable_engine(self, engine: str) -> bytes:
        """Handle `set-down`: administratively eject an engine."""
        if not engine:
            return fail("name the engine by its id")
        now = time.time_ns()
        result = self.parts.ejections.disable(engine, now)
        return self.finish_ejection(result, StateChange(ChangeKind.DISABLE_ENGINE, engine, now))

    def enable_engine(self, engine: str) -> bytes:
        """Handle `set-up`: end the administrative ejection of an engine."""
        if not engine:
            return fail("name the engine by its id")
        result = self.parts.ejections.enable(engine)
        return self.finish_ejection(result, StateChange(ChangeKind.ENABLE_ENGINE, engine))

    def finish_ejection(self, result: CommandResult, change: StateChange) -> bytes:
        """Apply and persist the result of an ejection command, and return the reply."""
        if result.update:
            self.endpoint_updates.apply_ejections([result.update])
        if not result.succeeded:
            return fail(result.message)
        return self.persist(result.message, change if result.changed else None)

    # ------------------------------------------------------------ drain

    def start_drain(self, _: str) -> bytes:
        """Handle `drain-on`: start draining the gateway."""
        if self.state_store.draining:
            return self.persist("draining already", None)
        self.state_store.draining = True
        self.apply_drain(True)
        return self.persist("draining", StateChange(ChangeKind.START_DRAIN))

    def stop_drain(self, _: str) -> bytes:
        """Handle `drain-off`: stop draining."""
        if not self.state_store.draining:
            return self.persist("not draining", None)
        self.state_store.draining = False
        self.apply_drain(False)
        stopping = self.parts.stopping
        message = "not draining; the process stops all the same" if stopping else "serving"
        return self.persist(message, StateChange(ChangeKind.STOP_DRAIN))

    def apply_drain(self, draining: bool) -> None:
        """Start or stop draining the chat frontend; a stopping process keeps draining."""
        if self.parts.stopping:
            return
        if draining:
            self.parts.chat_frontend.start_draining()
            self.loop.call_later(IDLE_CLOSE_DELAY_NS, self.close_idle_connections)
        else:
            self.parts.chat_frontend.stop_draining()

    def close_idle_connections(self) -> None:
        """Close idle client connections if the gateway is still draining."""
        if self.state_store.draining and not self.parts.stopping:
            self.parts.chat_frontend.close_idle_connections()

    # ------------------------------------------------------------ persistence

    def persist(self, message: str, change: StateChange | None) -> bytes:
        """Persist a change, if any, and return the reply to the operator.

        A command that changes nothing waits as well: an earlier change may not be persisted yet.
        """
        if change:
            self.state_store.persist(change)
        failure = self.state_store.wait_until_persisted()
        if failure:
            return fail(
                f"{message}, but a restart would forget it: {failure}; "
                "it is tried on, call again to ask"
            )
        return ok(message)
