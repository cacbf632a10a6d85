"""The operators' admin socket: one command per connection, answered immediately.

Connections are limited in number and time, so that silent clients don't keep others out. The
commands themselves are executed by handlers.
"""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress

from ..net.address import Address
from ..net.line_protocol import Command, CommandParser, LineTooLongError, fail
from ..net.loop import (
    MS,
    Connection,
    ConnectionClosedError,
    EventLoop,
    Listener,
    ReadInterrupted,
    TimeoutExpired,
)

MAX_ADMIN_CONNECTIONS = 48  # at this limit the connection silent for longest is evicted
ACCEPT_BACKLOG = 128  # connections that may wait to be accepted
RECEIVE_TIMEOUT_NS = 900 * MS  # for a complete command line, before the connection is closed
EVICTION_GRACE_NS = 50 * MS  # minimum age of a connection for its eviction
SEND_TIMEOUT_NS = 500 * MS  # for the client to take a reply
MAX_NAME_LENGTH_SHOWN = 32  # characters of an unknown command in the reply
MAX_ARGUMENT_LENGTH_LOGGED = 64  # characters
UNLOGGED_COMMANDS = ("check", "vars")  # monitoring sends these continually

CommandHandler = Callable[[str], bytes]  # argument of a command -> complete reply


class AdminSocket:
    """Listens on an address for operators' commands and answers them."""

    def __init__(
        self,
        loop: EventLoop,
        listen: Address,
        commands: dict[str, CommandHandler],
        log: Callable[[str], None],
    ):
        self.loop = loop
        self.commands = commands
        self.log = log
        # Connections that have not sent a complete command yet -> when accepted; the oldest first.
        self.connections: dict[Connection, int] = {}
        self.counts = {"answered": 0, "failed": 0, "silent": 0, "made_way": 0}
        self.listener = Listener(
            loop, listen, self.connection_accepted, self.has_capacity, backlog=ACCEPT_BACKLOG
        )

    def has_capacity(self) -> bool:
        """Return whether a connection can be accepted; at the limit a silent one is evicted."""
        if len(self.connections) < MAX_ADMIN_CONNECTIONS:
            return True
        now = self.loop.now()
        for connection, since in self.connections.items():
            if now - since >= EVICTION_GRACE_NS:
                del self.connections[connection]
                self.counts["made_way"] += 1
                connection.close()
                return True
        return False

    def connection_accepted(self, connection: Connection) -> None:
        """Start the task of a new connection."""
        self.connections[connection] = self.loop.now()
        self.loop.spawn(self.serve, connection)

    def serve(self, connection: Connection) -> None:
        """Read a command, answer it, and close the connection."""
        try:
            command = self.receive_command(connection)
            if command is None:
                return
            self.connections.pop(connection, None)  # no longer a candidate for eviction
            connection.send(self.answer(command), SEND_TIMEOUT_NS)
        except LineTooLongError as error:
            self.counts["failed"] += 1
            with suppress(ConnectionClosedError):
                connection.send(fail(str(error)), SEND_TIMEOUT_NS)
        except ConnectionClosedError:
            pass
        finally:
            self.connections.pop(connection, None)
            connection.close()

    def receive_command(self, connection: Connection) -> Command | None:
        """Read a command; None if the client left or sent no complete one in time."""
        parser = CommandParser()
        deadline = self.loop.now() + RECEIVE_TIMEOUT_NS
        while True:
            try:
                data = connection.recv(max(MS, deadline - self.loop.now()))
            except TimeoutExpired:
                self.counts["silent"] += 1
                return None
            except ReadInterrupted:
                continue
            command = parser.feed(data) if data else parser.end()
            if command is not None or not data:
                return command

    def answer(self, command: Command) -> bytes:
        """Execute a command and return its reply."""
        handler = self.commands.get(command.name)
        if handler is None:
            self.counts["failed"] += 1
            return self.unknown_command(command)
        reply = handler(command.argument)
        self.counts["answered" if reply.startswith(b"ok") else "failed"] += 1
        if command.name not in UNLOGGED_COMMANDS:
            first_line = reply.split(b"\n", 1)[0].decode()
            argument = command.argument[:MAX_ARGUMENT_LENGTH_LOGGED]
            self.log(f"admin-command {command.name} {argument} -> {first_line}")
        return reply

    def unknown_command(self, command: Command) -> bytes:
        """Return the reply to an unknown command."""
        known_names = ", ".join(sorted(self.commands))
        if not command.name:
            return fail(f"an empty line; the calls are {known_names}")
        return fail(
            f"no call {command.name[:MAX_NAME_LENGTH_SHOWN]!r}; the calls are {known_names}"
        )

    def close(self) -> None:
        """Accept no further connections."""
        self.listener.close()
