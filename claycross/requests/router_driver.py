"""Reports events to the router and executes its actions.

Actions that concern no single request (timers, log lines, connection checks, gossip, the watch of
the endpoint list) are executed here; those on requests are left to the subclass.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable
from functools import partial
from typing import Any

from .. import interface as i
from ..invariant import invariant
from ..routing.router import Router
from .engine_protocol import EngineCalls
from .protocols import Clock

# Rounds of events that the actions of the round before caused, in one call of `process_events`.
MAX_EVENT_ROUNDS = 50
# Events and actions after which a request may be removed.
MAY_END_REQUEST = (i.AttemptFinished, i.RequestAbandoned, i.RejectRequest, i.FailRequest)


def _no_watch() -> None:
    """Default of `RouterDriver.watch_endpoints`."""


def _no_gossip(_payload: bytes, _recipient: int) -> None:
    """Default of `RouterDriver.send_gossip`."""


class RouterDriver(ABC):
    """Queues events for the router and dispatches the actions it returns."""

    def __init__(
        self, settings: i.Settings, seed: int, clock: Clock, log: Callable[[str], None]
    ) -> None:
        self.clock = clock
        self.log = log
        self.router = Router(settings, seed)
        self.events: list[i.Event] = []
        self.watch_endpoints: Callable[[], None] = _no_watch
        # Called with a payload and its recipient: one gateway, or all others.
        self.send_gossip: Callable[[bytes, int], None] = _no_gossip
        self.actions: dict[type, Callable[[Any], None]] = {
            i.SetTimer: self.set_timer,
            i.LogMessage: self._log_message,
            i.CheckConnection: self.check_connection,
            i.WatchEndpoints: self._watch_endpoints,
            i.SendGossip: self._send_gossip,
        }

    @property
    @abstractmethod
    def engine_calls(self) -> EngineCalls:
        """The engine side; set once it is built."""

    @abstractmethod
    def count(self, name: str) -> None:
        """Add one to a counter."""

    @abstractmethod
    def attempt_reported(self, event: i.AttemptFinished) -> None:
        """Called when the result of an attempt is about to be reported to the router."""

    @abstractmethod
    def forget_request(self, number: int) -> None:
        """Remove a request if it has finished."""

    def enqueue(self, event: i.Event) -> None:
        """Queue an event for the next call of `process_events`."""
        self.events.append(event)

    def process_events(self) -> None:
        """Report queued events to the router and execute its actions until no event is queued."""
        for _ in range(MAX_EVENT_ROUNDS):
            if not self.events:
                return
            events = self.events
            self.events = []
            self._process(events)
        invariant(False, "settles", "the router's actions keep causing events")

    def _process(self, events: list[i.Event]) -> None:
        for event in events:
            if isinstance(event, i.AttemptFinished):
                self.attempt_reported(event)
        actions = self.router.handle(self.clock.now(), events)
        for action in actions:
            self.actions[type(action)](action)
        # After all actions: the router answers a request before it releases its states.
        for item in (*events, *actions):
            if isinstance(item, MAY_END_REQUEST):
                self.forget_request(item.request)

    def set_timer(self, action: i.SetTimer) -> None:
        """Set a timer of the router."""
        event = i.TimerFired(action.timer)
        self.clock.call_later(action.delay, partial(self.enqueue, event))

    def check_connection(self, action: i.CheckConnection) -> None:
        """Open a connection to an engine, and report whether it was established."""
        self.engine_calls.check_connection(
            action.engine, partial(self._connection_checked, action.engine)
        )

    def _connection_checked(self, engine: str, reachable: bool) -> None:
        self.count("reached" if reachable else "unreached")
        self.enqueue(i.ConnectionChecked(engine, reachable))

    def _log_message(self, action: i.LogMessage) -> None:
        self.log(f"policy {action.text}")

    def _watch_endpoints(self, _: i.WatchEndpoints) -> None:
        self.watch_endpoints()

    def _send_gossip(self, action: i.SendGossip) -> None:
        self.send_gossip(action.payload, action.recipient)
