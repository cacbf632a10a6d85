"""The operators' admin socket: one call a connection, answered at once.

Its connections are bounded in number and time, so that callers that say nothing don't keep others
out. What a call does is up to its handler.
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

MAX_ADMIN_CONNECTIONS = 48  # connections at once; at the limit the longest silent one is evicted
BACKLOG = 128  # connections that may wait to be accepted
RECEIVE_TIMEOUT = 900 * MS  # for a caller's line: one that says nothing for so long is closed
EVICTION_GRACE = 50 * MS  # a caller may not be evicted before
SEND_TIMEOUT = 500 * MS  # for a reply to be taken
MAX_NAME_SHOWN = 32  # characters of an unknown call in the reply
MAX_ARGUMENT_LOGGED = 64  # characters
UNLOGGED_CALLS = ("check", "vars")  # made all the time, by monitoring

Handler = Callable[[str], bytes]  # the argument of a call -> the whole reply


class AdminSocket:
    """A listening address for the operators' calls."""

    def __init__(
        self,
        loop: EventLoop,
        listen: Address,
        calls: dict[str, Handler],
        log: Callable[[str], None],
    ):
        self.loop = loop
        self.commands = calls
        self.log = log
        # Connections whose call has not arrived yet, and since when; the oldest first.
        self.connections: dict[Connection, int] = {}
        self.counts = {"answered": 0, "failed": 0, "silent": 0, "made_way": 0}
        self.listener = Listener(
            loop, listen, self.connection_accepted, self.has_capacity, backlog=BACKLOG
        )

    def has_capacity(self) -> bool:
        """Return whether a connection can be accepted; at the limit a silent one is evicted."""
        if len(self.connections) < MAX_ADMIN_CONNECTIONS:
            return True
        now = self.loop.now()
        for connection, since in self.connections.items():
            if now - since >= EVICTION_GRACE:
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
        """Read a call, answer it, and close the connection."""
        try:
            command = self.receive_command(connection)
            if command is None:
                return
            self.connections.pop(connection, None)  # it is not evicted any more
            connection.send(self.answer(command), SEND_TIMEOUT)
        except LineTooLongError as error:
            self.counts["failed"] += 1
            with suppress(ConnectionClosedError):
                connection.send(fail(str(error)), SEND_TIMEOUT)
        except ConnectionClosedError:
            pass
        finally:
            self.connections.pop(connection, None)
            connection.close()

    def receive_command(self, connection: Connection) -> Command | None:
        """Read a call; None if the caller left, or said nothing in time."""
        parser = CommandParser()
        until = self.loop.now() + RECEIVE_TIMEOUT
        while True:
            try:
                data = connection.recv(max(MS, until - self.loop.now()))
            except TimeoutExpired:
                self.counts["silent"] += 1
                return None
            except ReadInterrupted:
                continue
            command = parser.feed(data) if data else parser.end()
            if command is not None or not data:
                return command

    def answer(self, command: Command) -> bytes:
        """Make a call and return its reply."""
        handler = self.commands.get(command.name)
        if handler is None:
            self.counts["failed"] += 1
            return self.unknown_command(command)
        reply = handler(command.argument)
        self.counts["answered" if reply.startswith(b"ok") else "failed"] += 1
        if command.name not in UNLOGGED_CALLS:
            first_line = reply.split(b"\n", 1)[0].decode()
            argument = command.argument[:MAX_ARGUMENT_LOGGED]
            self.log(f"admin-command {command.name} {argument} -> {first_line}")
        return reply

    def unknown_command(self, command: Command) -> bytes:
        """Return the reply to a call that does not exist."""
        known = ", ".join(sorted(self.commands))
        if not command.name:
            return fail(f"an empty line; the calls are {known}")
        return fail(f"no call {command.name[:MAX_NAME_SHOWN]!r}; the calls are {known}")

    def close(self) -> None:
        """Accept no further connections."""
        self.listener.close()
