"""Listening TCP sockets, bound by this process or inherited; accepting can pause and drain."""

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

ACCEPT_BATCH_SIZE = 64  # connections accepted at once
MAX_DRAIN_BATCHES = 64  # accept batches in one attempt to drain the socket
BLOCKED_RETRY_DELAY_NS = 20 * MS  # until accepting is tried again, after it was blocked
# Errors of bind() that are temporary: the previous process still holds the address, or a table of
# the system is full.
TEMPORARY_BIND_ERRORS = (
    errno.EADDRINUSE,
    errno.EMFILE,
    errno.ENFILE,
    errno.ENOBUFS,
    errno.ENOMEM,
    errno.EAGAIN,
)
BIND_TIMEOUT_NS = 4 * SECOND  # for which binding is retried after temporary errors
BIND_RETRY_DELAY_S = 0.05


def inherited_socket(descriptor: int) -> socket.socket:
    """Return the inherited listening socket with this descriptor: TCP over IPv4, and bound.

    Raises:
        OSError: If the descriptor is not such a socket.
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

    Binding is retried after temporary errors for up to BIND_TIMEOUT_NS. This blocks the process,
    which is acceptable while it starts.
    """
    deadline = time.monotonic_ns() + BIND_TIMEOUT_NS
    while True:
        try:
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind(address)
        except OSError as error:
            if error.errno not in TEMPORARY_BIND_ERRORS or time.monotonic_ns() >= deadline:
                raise
            time.sleep(BIND_RETRY_DELAY_S)
        else:
            return sock


class AcceptResult(Enum):
    """Why a batch of accepts ended."""

    MORE = auto()  # the batch was full; more connections may be pending
    EMPTY = auto()  # no connection was pending
    BLOCKED = auto()  # there was no capacity, or accept() failed


class Listener:
    """Accepts connections while `has_capacity()` returns true.

    After close() it drains the connections that the kernel has queued, and then closes its socket.
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
        self.accept_errors: Counter[str] = Counter()  # by the name of the errno
        # The platform holds an inherited socket too and passes it to other processes, which may
        # accept its pending connections.
        self.shared = inherited_descriptor is not None
        self.sock = (
            bound_socket(address)
            if inherited_descriptor is None
            else inherited_socket(inherited_descriptor)
        )
        self.sock.setblocking(False)
        self.sock.listen(backlog)
        self.bound_address: Address = self.sock.getsockname()[:2]
        self.open = True
        self.closed = False
        self.paused = False
        self.blocked_since = 0  # pending connections may have waited since then; 0: not blocked
        self.drain_deadline = 0
        loop.watch(self.sock.fileno(), select.POLLIN, self.ready)

    def address(self) -> Address:
        """Return the address that the socket is bound to."""
        return self.bound_address

    def ready(self, _: int) -> None:
        """Accept pending connections when the socket has become readable."""
        self.accept()

    def accept(self) -> AcceptResult:
        """Accept pending connections, ACCEPT_BATCH_SIZE at most."""
        for _ in range(ACCEPT_BATCH_SIZE):
            if not self.has_capacity():
                return self.pause()
            try:
                sock, _ = self.sock.accept()
            except BlockingIOError:
                self.blocked_since = 0
                return AcceptResult.EMPTY
            except ConnectionAbortedError:  # the client has closed this connection already
                continue
            except OSError as error:
                self.accept_errors[errno.errorcode.get(error.errno or 0, "?")] += 1
                return self.pause()
            self.on_connection(Connection(self.loop, sock, self.blocked_since))
        return AcceptResult.MORE

    def pause(self) -> AcceptResult:
        """Stop watching the socket for a while: it stays readable and would keep the loop busy."""
        self.blocked_since = self.blocked_since or self.loop.now()
        if not self.paused and not self.closed:
            self.paused = True
            self.loop.watch(self.sock.fileno(), 0, self.ready)
            self.loop.call_later(BLOCKED_RETRY_DELAY_NS, self.resume)
        return AcceptResult.BLOCKED

    def resume(self) -> None:
        """Watch the socket again after a pause."""
        if self.paused and not self.closed:
            self.paused = False
            self.loop.watch(self.sock.fileno(), select.POLLIN, self.ready)

    def close(self, drain_timeout: int = 0) -> None:
        """Stop listening, after accepting the connections that the kernel has already queued.

        Closing the socket resets queued connections, so it stays open until they are accepted, but
        for `drain_timeout` nanoseconds at most. A shared socket is closed at once: the process
        that takes over accepts what is queued.
        """
        if not self.open:
            return
        self.open = False
        self.drain_deadline = self.loop.now() + drain_timeout
        if self.shared:
            self.close_socket()
        else:
            self.drain()

    def drain(self) -> None:
        """Accept all pending connections, then close the socket; retry later if that is blocked."""
        result = AcceptResult.MORE
        for _ in range(MAX_DRAIN_BATCHES):
            result = self.accept()
            if result is not AcceptResult.MORE:
                break
        if result is AcceptResult.EMPTY or self.loop.now() >= self.drain_deadline:
            self.close_socket()
        else:
            self.loop.call_later(BLOCKED_RETRY_DELAY_NS, self.drain)

    def close_socket(self) -> None:
        """Stop watching the socket and close it."""
        self.closed = True
        if not self.paused:
            self.loop.watch(self.sock.fileno(), 0, self.ready)
        self.sock.close()
