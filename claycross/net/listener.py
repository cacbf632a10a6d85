"""Listening TCP sockets: bound here or inherited, with accepting that can be paused and drained."""

from __future__ import annotations

import errno
import select
import socket
import time
from collections import Counter
from collections.abc import Callable
from enum import Enum, auto

from .address import Address
from .clock import MS, SECOND
from .connection import Connection
from .event_loop import EventLoop

ACCEPTS_AT_ONCE = 64  # connections accepted in one go
MAX_DRAIN_ROUNDS = 64  # of that many accepts each, as a listener closes
BLOCKED_PAUSE = 20 * MS  # until a listener that could not accept what waits tries again
# Faults of binding a socket that are temporary: the process before still has the address, or a
# table of the system is full.
TEMPORARY_BIND_ERRORS = (
    errno.EADDRINUSE,
    errno.EMFILE,
    errno.ENFILE,
    errno.ENOBUFS,
    errno.ENOMEM,
    errno.EAGAIN,
)
BIND_TIMEOUT = 4 * SECOND  # for which binding is retried after a temporary fault
BIND_RETRY_PAUSE = 0.05  # seconds


def inherited_socket(descriptor: int) -> socket.socket:
    """Return the listening TCP socket over IPv4 that this process was given.

    Raises:
        OSError: If the descriptor is anything else.
    """
    sock = socket.socket(fileno=descriptor)
    if sock.family != socket.AF_INET or sock.type != socket.SOCK_STREAM:
        sock.detach()
        raise OSError(errno.ENOTSOCK, f"descriptor {descriptor} is not a TCP socket over IPv4")
    if sock.getsockname()[1] == 0:
        sock.detach()
        raise OSError(errno.EDESTADDRREQ, f"descriptor {descriptor} is bound to no address")
    return sock


def bound_socket(address: Address) -> socket.socket:
    """Return a TCP socket bound to this address.

    Temporary faults are waited for, BIND_TIMEOUT at most. This blocks, as a process that starts
    may.
    """
    until = time.monotonic_ns() + BIND_TIMEOUT
    while True:
        try:
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind(address)
        except OSError as error:
            if error.errno not in TEMPORARY_BIND_ERRORS or time.monotonic_ns() >= until:
                raise
            time.sleep(BIND_RETRY_PAUSE)
        else:
            return sock


class AcceptResult(Enum):
    """How one go of accepts ended."""

    MORE = auto()  # at its bound
    EMPTY = auto()  # nothing waits
    BLOCKED = auto()  # there is no capacity, or the system refused


class Listener:
    """Accepts connections while `has_capacity()` says so.

    It is open, then (after close()) closing until the kernel holds no more connections for it,
    then closed.
    """

    def __init__(
        self,
        loop: EventLoop,
        address: Address,
        on_connection: Callable[[Connection], None],
        has_capacity: Callable[[], bool],
        backlog: int = 256,
        inherited_descriptor: int | None = None,
    ):
        """Listen on `address`, or on an inherited socket if its descriptor is given."""
        self.loop = loop
        self.on_connection = on_connection
        self.has_capacity = has_capacity
        self.accept_errors: Counter[str] = Counter()  # by the name of the system's error
        # A shared socket is also held by the platform: what waits in it is not ours alone.
        self.shared = inherited_descriptor is not None
        self.sock = (
            bound_socket(address)
            if inherited_descriptor is None
            else inherited_socket(inherited_descriptor)
        )
        self.sock.setblocking(False)
        self.sock.listen(backlog)
        self.bound_to: Address = self.sock.getsockname()[:2]
        self.open = True
        self.closed = False
        self.paused = False
        self.blocked_since = 0  # connections may wait since then that could not be accepted
        self.close_by = 0
        loop.watch(self.sock.fileno(), select.POLLIN, self.ready)

    def address(self) -> Address:
        """Return the address that it is bound to."""
        return self.bound_to

    def ready(self, _: int) -> None:
        """Accept what waits, as the socket has become readable."""
        self.accept()

    def accept(self) -> AcceptResult:
        """Accept what waits, up to a bound."""
        for _ in range(ACCEPTS_AT_ONCE):
            if not self.has_capacity():
                return self.pause()
            try:
                sock, _ = self.sock.accept()
            except BlockingIOError:
                self.blocked_since = 0
                return AcceptResult.EMPTY
            except ConnectionAbortedError:  # this client went away meanwhile
                continue
            except OSError as error:
                self.accept_errors[errno.errorcode.get(error.errno or 0, "?")] += 1
                return self.pause()
            self.on_connection(Connection(self.loop, sock, self.blocked_since))
        return AcceptResult.MORE

    def pause(self) -> AcceptResult:
        """Stop watching for a while, as a readable socket would keep the loop busy."""
        self.blocked_since = self.blocked_since or self.loop.now()
        if not self.paused and not self.closed:
            self.paused = True
            self.loop.watch(self.sock.fileno(), 0, self.ready)
            self.loop.call_later(BLOCKED_PAUSE, self.resume)
        return AcceptResult.BLOCKED

    def resume(self) -> None:
        """Watch the socket again after a pause."""
        if self.paused and not self.closed:
            self.paused = False
            self.loop.watch(self.sock.fileno(), select.POLLIN, self.ready)

    def close(self, within: int = 0) -> None:
        """Accept no further connections.

        Closing resets the connections that the kernel has taken for this process. They are
        accepted before, and the socket stays open for that, but no longer than `within`. A shared
        socket keeps what waits in it for the process that takes over.
        """
        if not self.open:
            return
        self.open = False
        self.close_by = self.loop.now() + within
        if self.shared:
            self.shut()
        else:
            self.drain()

    def drain(self) -> None:
        """Accept all that waits, then close the socket; retry later where accepting is blocked."""
        result = AcceptResult.MORE
        for _ in range(MAX_DRAIN_ROUNDS):
            result = self.accept()
            if result is not AcceptResult.MORE:
                break
        if result is AcceptResult.EMPTY or self.loop.now() >= self.close_by:
            self.shut()
        else:
            self.loop.call_later(BLOCKED_PAUSE, self.drain)

    def shut(self) -> None:
        """Close the socket."""
        self.closed = True
        if not self.paused:
            self.loop.watch(self.sock.fileno(), 0, self.ready)
        self.sock.close()
