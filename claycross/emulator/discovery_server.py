"""The emulator's discovery server: the endpoint list in full, or as a watch of its changes."""

from __future__ import annotations

import json
from collections.abc import Callable

from ..net.loop import SECOND, ConnectionClosedError, EventLoop
from .http_servers import Exchange, Server

JSON_CONTENT = ("Content-Type", "application/json")
WATCH_HEARTBEAT_NS = 2 * SECOND  # between empty lines of a watch on which nothing changes
MAX_CONNECTIONS = 256
IDLE_TIMEOUT_NS = 60 * SECOND

Target = dict[str, object]  # one engine's entry in the list


class DiscoveryServer(Server):
    """Serves the endpoint list at /api/targets; `?watch=1` streams it and its changes as lines.

    Args:
        loop: The event loop that serves it.
        listen: Host and port.
        list_targets: Returns the entries of all engines.
    """

    def __init__(
        self, loop: EventLoop, listen: tuple[str, int], list_targets: Callable[[], list[Target]]
    ):
        self.list_targets = list_targets
        self.revision = 1
        self.stalled = False  # if set, watches stay open but get no lines
        self.watches: set[Exchange] = set()
        super().__init__(loop, listen, MAX_CONNECTIONS, IDLE_TIMEOUT_NS)

    def publish(self, target: Target) -> None:
        """Send one engine's changed entry to the watches."""
        self.revision += 1
        if not self.stalled:
            for exchange in self.watches:
                exchange.notify({"rev": self.revision, "all": False, "targets": [target]})

    def full_list(self) -> dict[str, object]:
        """Return the message that holds all engines."""
        return {"rev": self.revision, "all": True, "targets": self.list_targets()}

    def handle(self, exchange: Exchange) -> None:
        """Answer with the list, or serve a watch until its client has gone."""
        path, _, query = exchange.head.target.partition("?")
        if path != "/api/targets":
            exchange.respond(404)
        elif "watch=1" in query.split("&"):
            self.serve_watch(exchange)
        else:
            exchange.respond(200, [JSON_CONTENT], json.dumps(self.full_list()).encode())

    def serve_watch(self, exchange: Exchange) -> None:
        """Send the full list, and then each change or heartbeat."""
        exchange.begin_stream([JSON_CONTENT])
        exchange.notify(self.full_list())
        self.watches.add(exchange)
        try:
            while not exchange.client_gone:
                message = exchange.next_event(WATCH_HEARTBEAT_NS)
                if not exchange.client_gone and (message or not self.stalled):
                    self.send_line(exchange, message)
        finally:
            self.watches.discard(exchange)
            exchange.abort()

    def send_line(self, exchange: Exchange, message: dict[str, object] | None) -> None:
        """Send a message as a line of JSON, or an empty line as a heartbeat."""
        try:
            exchange.send_chunk((json.dumps(message).encode() if message else b"") + b"\n")
        except ConnectionClosedError:
            exchange.on_client_gone()
