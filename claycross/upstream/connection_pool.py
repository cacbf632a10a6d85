"""The pool of HTTP/1.1 connections to engines."""

from __future__ import annotations

from typing import NamedTuple

from ..invariant import invariant
from ..net.address import Address
from ..net.loop import MS, SECOND, Connection, ConnectionClosedError, EventLoop, NoLocalSocketError

# Rest of a connection after use: what its engine sends behind a response has arrived by then.
REUSE_DELAY_NS = 10 * MS
CAPACITY_CHECK_INTERVAL = 5 * MS  # between looks whether a pool at its limit has capacity
SWEEP_INTERVAL = SECOND  # between removals of connections that are too old


class IdleConnection(NamedTuple):
    """A connection that waits for use, and since when."""

    connection: Connection
    since: int


class ConnectionPool:
    """Connections that wait for use, the newest first, and the limit on all of them."""

    def __init__(self, loop: EventLoop, limit: int, idle: int, dial_timeout: int):
        """Keep connections for `idle` nanoseconds after use (0: not at all)."""
        self.loop = loop
        self.limit = limit
        self.keep = idle
        self.dial_timeout = dial_timeout
        self.idle: dict[Address, list[IdleConnection]] = {}  # oldest first
        self.open = 0  # connections in use and those that wait
        self.used = 0  # connections in use
        self.dialled = 0
        self.reused = 0
        if idle:
            loop.call_later(SWEEP_INTERVAL, self.sweep)

    def get(self, address: Address) -> Connection:
        """Return an idle connection that its engine does not close soon, or else a new one."""
        waiting = self.idle.get(address, [])
        self.drop_old(waiting)
        rested = self.loop.now() - REUSE_DELAY_NS
        while True:
            index = newest_before(waiting, rested)
            if index is None:
                return self.dial(address)
            connection = waiting.pop(index).connection
            connection.idle = None
            connection.watch()
            self.used += 1
            if connection.is_quiet():
                self.reused += 1
                return connection
            self.drop(connection)

    def dial(self, address: Address) -> Connection:
        """Return a new connection, in use until drop() or give()."""
        until = self.loop.now() + self.dial_timeout
        while self.open >= self.limit and not self.evict_oldest():
            if self.loop.now() >= until:
                raise NoLocalSocketError("no connection: the pool is at its bound")
            self.loop.sleep(CAPACITY_CHECK_INTERVAL)
        self.open += 1
        self.used += 1
        self.dialled += 1
        try:
            return Connection.dial(self.loop, address, self.dial_timeout)
        except ConnectionClosedError:
            self.open -= 1
            self.used -= 1
            raise

    def give(self, address: Address, connection: Connection) -> None:
        """Put a connection back after use."""
        if not self.keep or connection.closed:
            self.drop(connection)
            return

        def discard_idle() -> None:  # closed by the engine, or bytes that nobody asked for
            entries = self.idle.get(address, [])
            entries[:] = [entry for entry in entries if entry.connection is not connection]
            self.discard(connection)

        self.used -= 1
        entry = IdleConnection(connection, self.loop.now())
        self.idle.setdefault(address, []).append(entry)
        connection.idle = discard_idle
        connection.watch()

    def drop(self, connection: Connection) -> None:
        """Close a connection that was in use."""
        self.used -= 1
        self.discard(connection)

    def discard(self, connection: Connection) -> None:
        """Close a connection that is not in use."""
        self.open -= 1
        connection.close()

    def check(self) -> None:
        """Check that every connection that is counted is in use or waits: none was lost."""
        waiting = [entry.connection for entries in self.idle.values() for entry in entries]
        invariant(
            self.open == len(waiting) + self.used,
            "pool-counted",
            f"open {self.open} waiting {len(waiting)} used {self.used}",
        )
        any_closed = any(connection.closed for connection in waiting)
        invariant(not any_closed, "pool-waiting-open")

    def evict_oldest(self) -> bool:
        """Close the connection that has waited longest; return whether there was one."""
        entries = [
            (entry.since, address) for address, waiting in self.idle.items() for entry in waiting
        ]
        if not entries:
            return False
        _, address = min(entries)
        self.discard(self.idle[address].pop(0).connection)
        return True

    def drop_old(self, waiting: list[IdleConnection]) -> None:
        """Close connections that their engine may close soon.

        A request that is not idempotent and is written into a connection that the engine closes
        might have run. This is checked before each use too: between two sweeps a connection could
        grow older than its engine allows.
        """
        old = self.loop.now() - self.keep
        while waiting and waiting[0].since <= old:
            self.discard(waiting.pop(0).connection)

    def sweep(self) -> None:
        """Close the old connections of all engines."""
        for address, waiting in list(self.idle.items()):
            self.drop_old(waiting)
            if not waiting:
                del self.idle[address]
        self.loop.call_later(SWEEP_INTERVAL, self.sweep)


def newest_before(waiting: list[IdleConnection], time: int) -> int | None:
    """Return the index of the newest connection that has waited since this time or before."""
    for index in range(len(waiting) - 1, -1, -1):
        if waiting[index].since <= time:
            return index
    return None
