"""The pool of HTTP/1.1 connections to engines."""

from __future__ import annotations

from typing import NamedTuple

from ..invariant import invariant
from ..net.address import Address
from ..net.loop import MS, SECOND, Connection, ConnectionClosedError, EventLoop, NoLocalSocketError

# A connection is not reused earlier than this after a response: unexpected bytes that the engine
# sends behind the response have arrived by then, and the connection is discarded.
REUSE_DELAY_NS = 10 * MS
CAPACITY_POLL_INTERVAL_NS = 5 * MS
SWEEP_INTERVAL_NS = SECOND


class IdleConnection(NamedTuple):
    """An idle connection and the time at which it became idle."""

    connection: Connection
    idle_since: int


class ConnectionPool:
    """Idle connections by address, and the limit on open connections to all addresses."""

    def __init__(self, loop: EventLoop, limit: int, idle: int, dial_timeout: int):
        """Limit open connections to `limit` and close those idle for `idle` nanoseconds.

        With `idle` 0 connections are not reused. `dial_timeout` is in nanoseconds.
        """
        self.loop = loop
        self.limit = limit
        self.idle_timeout = idle
        self.dial_timeout = dial_timeout
        self.idle: dict[Address, list[IdleConnection]] = {}  # each list: longest idle first
        self.open = 0  # connections, idle and in use
        self.used = 0  # connections in use
        self.dialled = 0  # counter
        self.reused = 0  # counter
        if idle:
            loop.call_later(SWEEP_INTERVAL_NS, self.sweep)

    def get(self, address: Address) -> Connection:
        """Return an idle connection that its engine does not close soon, or else a new one.

        Raises:
            NoLocalSocketError: If the pool is at its limit, or the system has no socket left.
            ConnectionClosedError: If no connection could be established.
        """
        idle = self.idle.get(address, [])
        self.close_expired(idle)
        latest_idle_since = self.loop.now() - REUSE_DELAY_NS
        while True:
            index = newest_idle_since(idle, latest_idle_since)
            if index is None:
                return self.dial(address)
            connection = idle.pop(index).connection
            connection.on_idle_event = None
            connection.watch()
            self.used += 1
            if connection.is_idle():
                self.reused += 1
                return connection
            self.drop(connection)

    def dial(self, address: Address) -> Connection:
        """Return a new connection, which counts as in use until drop() or give().

        Raises:
            NoLocalSocketError: If the pool is at its limit, or the system has no socket left.
            ConnectionClosedError: If no connection could be established.
        """
        deadline = self.loop.now() + self.dial_timeout
        while self.open >= self.limit and not self.evict_longest_idle():
            if self.loop.now() >= deadline:
                raise NoLocalSocketError(f"connection pool at its limit of {self.limit}")
            self.loop.sleep(CAPACITY_POLL_INTERVAL_NS)
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
        """Return a connection to the pool after use."""
        if not self.idle_timeout or connection.closed:
            self.drop(connection)
            return

        def discard_idle() -> None:  # the engine closed it, or sent bytes without a request
            entries = self.idle.get(address, [])
            entries[:] = [entry for entry in entries if entry.connection is not connection]
            self.discard(connection)

        self.used -= 1
        entry = IdleConnection(connection, self.loop.now())
        self.idle.setdefault(address, []).append(entry)
        connection.on_idle_event = discard_idle
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
        """Check that each open connection is idle or in use, and that no idle one is closed."""
        idle = [entry.connection for entries in self.idle.values() for entry in entries]
        invariant(
            self.open == len(idle) + self.used,
            "pool-counted",
            f"open {self.open} waiting {len(idle)} used {self.used}",
        )
        any_closed = any(connection.closed for connection in idle)
        invariant(not any_closed, "pool-waiting-open")

    def evict_longest_idle(self) -> bool:
        """Close the connection that has been idle longest; return whether there was one."""
        entries = [
            (entry.idle_since, address) for address, idle in self.idle.items() for entry in idle
        ]
        if not entries:
            return False
        _, address = min(entries)
        self.discard(self.idle[address].pop(0).connection)
        return True

    def close_expired(self, idle: list[IdleConnection]) -> None:
        """Close connections that their engine may close soon.

        A request that is not idempotent might have run if it is written into a connection that
        the engine closes at the same time. The sweeps alone do not prevent this, as a connection
        can exceed its engine's idle timeout between two of them: get() calls this too.
        """
        expired_since = self.loop.now() - self.idle_timeout
        while idle and idle[0].idle_since <= expired_since:
            self.discard(idle.pop(0).connection)

    def sweep(self) -> None:
        """Close the expired connections to all engines."""
        for address, idle in list(self.idle.items()):
            self.close_expired(idle)
            if not idle:
                del self.idle[address]
        self.loop.call_later(SWEEP_INTERVAL_NS, self.sweep)


def newest_idle_since(idle: list[IdleConnection], latest: int) -> int | None:
    """Return the index of the newest connection that became idle at this time or earlier."""
    for index in range(len(idle) - 1, -1, -1):
        if idle[index].idle_since <= latest:
            return index
    return None
