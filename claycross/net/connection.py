"""TCP connections whose reads and writes park the calling task instead of blocking."""

from __future__ import annotations

import contextlib
import errno
import fcntl
import os
import select
import socket
import struct
import termios
import time
from collections.abc import Callable

from .address import Address
from .clock import MS
from .errors import ConnectionClosedError, NoLocalSocketError, ReadInterrupted, TimeoutExpired
from .event_loop import TURN_BUDGET_NS, EventLoop, Task

# Bytes per recv(). Fewer are read while handling them takes longer than a task's turn.
MAX_READ_BYTES = 16_384
MIN_READ_BYTES = 1024
# More is read at once again if handling a read took less than this part of a turn.
READ_GROWTH_SHARE = 4
DIAL_RETRY_DELAY_NS = 5 * MS  # before the first retry of a dial; doubled for each further one
MAX_DIAL_RETRY_DELAY_NS = 20 * MS
# Errors that connect() returns for faults of this machine: no free port, no route, no memory or a
# full table.
LOCAL_CONNECT_ERRORS = (
    errno.EADDRNOTAVAIL,
    errno.ENETUNREACH,
    errno.ENOBUFS,
    errno.ENOMEM,
    errno.EAGAIN,
    errno.EPERM,
    errno.EACCES,
)
CONNECT_PENDING_ERRORS = (errno.EINPROGRESS, errno.EINTR)
# The value of SO_LINGER (on, 0 s) with which close() resets the connection and discards unsent
# bytes.
LINGER_RESET = struct.pack("ii", 1, 0)
QUEUE_LENGTH = struct.Struct("i")  # result of the ioctl calls for queue lengths
# Masks of poll events.
FAILED_EVENTS = select.POLLHUP | select.POLLERR
HANG_UP_EVENTS = select.POLLRDHUP | FAILED_EVENTS | select.POLLNVAL
READABLE_EVENTS = select.POLLIN | HANG_UP_EVENTS
WRITABLE_EVENTS = select.POLLOUT | FAILED_EVENTS


class Connection:
    """A TCP connection; one task may read from it while another writes to it."""

    def __init__(self, loop: EventLoop, sock: socket.socket, readable_since: int = 0):
        self.loop = loop
        self.sock = sock
        # Earliest time at which unread bytes may have arrived; 0 if the last read found none.
        self.readable_since = readable_since
        # Earliest time at which the bytes that recv() returned last may have arrived.
        self.received_at = 0
        self.reader: Task | None = None
        self.writer: Task | None = None
        self.read_bytes = MAX_READ_BYTES
        # The turn of the loop in which recv() last returned bytes, and the monotonic time then.
        self.read_turn = -1
        self.read_at = 0
        self.mask = 0  # poll events that are watched now
        self.closed = False
        self.interrupted = False
        # The reader waits for the peer to end its sending and not for bytes.
        self.hang_up_only = False
        # Called once if bytes or the end of the connection arrive while no task reads.
        self.on_idle_event: Callable[[], None] | None = None
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    # ------------------------------------------------------------ opening

    @classmethod
    def dial(cls, loop: EventLoop, address: Address, timeout: int) -> Connection:
        """Open a connection within `timeout` nanoseconds and return it.

        Faults of this machine are usually short, so dialing is retried after them until the
        timeout.

        Raises:
            ConnectionClosedError: If the peer is at fault.
            NoLocalSocketError: If this machine is at fault.
        """
        deadline = loop.now() + timeout
        delay = DIAL_RETRY_DELAY_NS
        while True:
            try:
                return cls.dial_once(loop, address, max(MS, deadline - loop.now()))
            except NoLocalSocketError:
                if loop.now() + delay >= deadline:
                    raise
            loop.sleep(delay)
            delay = min(2 * delay, MAX_DIAL_RETRY_DELAY_NS)

    @classmethod
    def dial_once(cls, loop: EventLoop, address: Address, timeout: int) -> Connection:
        """Open a connection as dial() does, but without retries."""
        try:
            connection = cls(loop, socket.socket())
        except OSError as error:  # out of descriptors
            raise NoLocalSocketError(f"can't open a socket: {error}") from None
        try:
            connection.connect(address, timeout)
        except NoLocalSocketError:
            connection.close()
            raise
        except (OSError, ConnectionClosedError) as error:
            connection.close()
            raise ConnectionClosedError(f"can't connect: {error}") from None
        return connection

    def connect(self, address: Address, timeout: int) -> None:
        """Connect the socket to an address within `timeout` nanoseconds."""
        error_number = self.sock.connect_ex(address)
        if error_number in LOCAL_CONNECT_ERRORS:
            raise NoLocalSocketError(f"can't connect: {os.strerror(error_number)}")
        if error_number in CONNECT_PENDING_ERRORS:
            self.wait(False, timeout)
            error_number = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error_number:
            raise ConnectionClosedError(os.strerror(error_number))

    # ------------------------------------------------------------ waiting

    def watch(self) -> None:
        """Watch the socket for the events that its reader, writer and on_idle_event wait for."""
        mask = 0
        if self.reader and self.hang_up_only:
            mask |= select.POLLRDHUP
        elif self.reader or self.on_idle_event:
            mask |= select.POLLIN
        if self.writer:
            mask |= select.POLLOUT
        if mask != self.mask and not self.closed:
            self.mask = mask
            self.loop.watch(self.sock.fileno(), mask, self.ready)

    def ready(self, mask: int) -> None:
        """Wake the tasks that wait for these poll events."""
        if self.reader and mask & READABLE_EVENTS:
            self.loop.wake(self.reader)
            self.reader = None
        if self.writer and mask & WRITABLE_EVENTS:
            self.loop.wake(self.writer)
            self.writer = None
        if self.on_idle_event and mask & READABLE_EVENTS:
            callback = self.on_idle_event
            self.on_idle_event = None
            callback()
        self.watch()

    def wait(self, to_read: bool, timeout: int = 0) -> None:
        """Park the current task until the socket is readable (`to_read`), or else writable.

        Raises:
            TimeoutExpired: If it is not ready within `timeout` nanoseconds (0: no limit).
            ConnectionClosedError: If this process closed the connection meanwhile.
        """
        task = self.loop.current_task()
        if to_read:
            self.reader = task
        else:
            self.writer = task
        self.watch()
        expired = self._park(task, timeout)
        if self.closed:
            raise ConnectionClosedError("the connection is closed")
        if expired:
            raise TimeoutExpired("the connection did not become ready in time")

    def _park(self, task: Task, timeout: int) -> bool:
        """Park the task that reads or writes; return whether its timeout expired."""
        expired = False
        timer = None

        def expire() -> None:
            nonlocal expired
            expired = True
            self.loop.wake(task)

        if timeout:
            timer = self.loop.call_later(timeout, expire)
        try:
            self.loop.park()
        finally:
            if timer:
                timer.cancel()
            if self.reader is task:
                self.reader = None
            if self.writer is task:
                self.writer = None
            self.watch()
        return expired

    def wait_for_hang_up(self, timeout: int) -> None:
        """Wait, without reading, until the peer ends its sending or the timeout expires.

        The end is not noticed while it is queued behind many unread bytes.

        Raises:
            ConnectionClosedError: If the peer ended its sending or the connection broke.
            ReadInterrupted: After interrupt().
        """
        self.readable_since = self.readable_since or self.loop.now()
        while not self.interrupted:
            if self.closed:
                raise ConnectionClosedError("the connection is closed")
            self.hang_up_only = True
            try:
                self.wait(True, timeout)
            except TimeoutExpired:
                return
            finally:
                self.hang_up_only = False
            if not self.interrupted:
                raise ConnectionClosedError("the peer ended its sending")
        self.interrupted = False
        raise ReadInterrupted

    def interrupt(self) -> None:
        """End the wait of the reading task: the current one, or else its next one."""
        self.interrupted = True
        self.loop.wake(self.reader)

    # ------------------------------------------------------------ reading and writing

    def recv(self, timeout: int = 0) -> bytes:
        """Return some bytes, or b"" once the peer has ended its sending.

        The socket is read once more before a timeout or an interruption is raised, as bytes may
        have arrived at the same moment. A task that has used up its turn is suspended before it
        reads, whether or not bytes are there.

        Raises:
            TimeoutExpired: If nothing arrived within `timeout` nanoseconds (0: no limit).
            ConnectionClosedError: If the connection broke or is closed.
            ReadInterrupted: After interrupt().
        """
        expired = False  # not the exception: it would keep this frame, and be kept by it
        self._adjust_read_size()
        self.loop.end_turn_if_due()
        while True:
            if self.closed:
                raise ConnectionClosedError("the connection is closed")
            try:
                data = self.sock.recv(self.read_bytes)
            except BlockingIOError:
                self.readable_since = 0
            except OSError as error:
                raise ConnectionClosedError(str(error)) from None
            else:
                self.readable_since = self.readable_since or self.loop.ready_since
                self.received_at = self.readable_since
                self.read_turn = self.loop.turns
                self.read_at = time.monotonic_ns()
                return data
            if self.interrupted:
                self.interrupted = False
                raise ReadInterrupted
            if expired:
                raise TimeoutExpired("no bytes arrived in time")
            try:
                self.wait(True, timeout)
            except TimeoutExpired:
                expired = True

    def _adjust_read_size(self) -> None:
        """Adjust how much is read at once to the time that handling the last read took.

        That is known only if the task went on to this read without a wait.
        """
        if self.read_turn != self.loop.turns:
            return
        duration = time.monotonic_ns() - self.read_at
        if duration > TURN_BUDGET_NS:
            self.read_bytes = max(MIN_READ_BYTES, self.read_bytes // 2)
        elif duration < TURN_BUDGET_NS // READ_GROWTH_SHARE:
            self.read_bytes = min(MAX_READ_BYTES, self.read_bytes * 2)

    def send(self, data: bytes | memoryview, timeout: int = 0) -> None:
        """Send all of the data.

        Args:
            data: The bytes to send.
            timeout: Longest wait in nanoseconds, each time that the peer does not read; 0 means no
                limit.
        """
        view = memoryview(data)
        while view:
            count = self.send_some(view)
            if count:
                view = view[count:]
            else:
                self.wait(False, timeout)

    def send_some(self, data: bytes | memoryview) -> int:
        """Send what the socket accepts without waiting; return the number of bytes."""
        if self.closed:
            raise ConnectionClosedError("the connection is closed")
        try:
            return self.sock.send(data)
        except BlockingIOError:
            return 0
        except OSError as error:
            raise ConnectionClosedError(str(error)) from None

    # ------------------------------------------------------------ state

    def is_idle(self) -> bool:
        """Return whether the connection is open and has no unread bytes.

        Only such a connection may be used for a new request.
        """
        if self.closed:
            return False
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def peer_closed(self) -> bool:
        """Return whether the peer has ended its sending or the connection broke.

        This holds also if there are unread bytes.
        """
        if self.closed:
            return True
        poller = select.poll()
        poller.register(self.sock.fileno(), select.POLLRDHUP)
        return any(mask & HANG_UP_EVENTS for _, mask in poller.poll(0))

    def unacknowledged_bytes(self) -> int:
        """Return the number of sent bytes that the peer's system has not acknowledged."""
        return self._queue_length(termios.TIOCOUTQ)

    def unread_bytes(self) -> int:
        """Return the number of bytes that have arrived and were not read."""
        return self._queue_length(termios.FIONREAD)

    def _queue_length(self, request: int) -> int:
        """Return the length of one of the socket's queues; 0 if the system does not provide it."""
        try:
            packed = fcntl.ioctl(self.sock, request, bytes(QUEUE_LENGTH.size))
        except OSError:
            return 0
        length: int = QUEUE_LENGTH.unpack(packed)[0]
        return length

    # ------------------------------------------------------------ closing

    def end_sending(self) -> None:
        """Shut down the sending direction; the peer may go on sending."""
        try:
            self.sock.shutdown(socket.SHUT_WR)
        except OSError as error:
            raise ConnectionClosedError(str(error)) from None

    def abort(self) -> None:
        """Close the connection and discard bytes that the peer has not received.

        After an orderly close the system would keep sending them for as long as the peer takes to
        read them.
        """
        if not self.closed and self.unacknowledged_bytes():
            with contextlib.suppress(OSError):
                self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        self.close()

    def close(self) -> None:
        """Close the socket and wake the tasks that wait on it."""
        if self.closed:
            return
        self.closed = True
        self.on_idle_event = None
        if self.mask:
            self.loop.watch(self.sock.fileno(), 0, self.ready)
        self.sock.close()
        for task in (self.reader, self.writer):
            self.loop.wake(task)
