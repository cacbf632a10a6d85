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
from collections.abc import Callable

from .address import Address
from .clock import MS
from .errors import ConnectionClosedError, NoLocalSocketError, ReadInterrupted, TimeoutExpired
from .event_loop import EventLoop, Task

READ_SIZE = 16_384  # bytes; small, so that a greedy sender gets few bytes a turn
DIAL_RETRY_PAUSE = 5 * MS  # before a dial that failed on this machine is made again; doubles
MAX_DIAL_RETRY_PAUSE = 20 * MS
# Errors of connect() at once: no port, no route, no memory, or a full table on this machine.
LOCAL_ERRORS = (
    errno.EADDRNOTAVAIL,
    errno.ENETUNREACH,
    errno.ENOBUFS,
    errno.ENOMEM,
    errno.EAGAIN,
    errno.EPERM,
    errno.EACCES,
)
CONNECT_PENDING = (errno.EINPROGRESS, errno.EINTR)
RESET_AT_CLOSE = struct.pack("ii", 1, 0)  # for SO_LINGER: on, 0 s; unsent bytes are discarded
QUEUE_LENGTH = struct.Struct("i")  # as the ioctl calls for queue lengths return it
FAILED = select.POLLHUP | select.POLLERR
HANG_UP = select.POLLRDHUP | FAILED | select.POLLNVAL
READABLE = select.POLLIN | HANG_UP
WRITABLE = select.POLLOUT | FAILED


class Connection:
    """A TCP socket; one task may read from it while another writes to it."""

    def __init__(self, loop: EventLoop, sock: socket.socket, readable_since: int = 0):
        self.loop = loop
        self.sock = sock
        # What is there to be read may have been there since then; 0: at the last look there was
        # nothing.
        self.readable_since = readable_since
        self.received_at = 0  # since when the bytes that were read last may have been there
        self.reader: Task | None = None
        self.writer: Task | None = None
        self.mask = 0  # of the poll events that are watched now
        self.closed = False
        self.interrupted = False
        self.hang_up_only = False  # the reader waits for the peer to end its sending, not for bytes
        # Called once if anything happens while no task reads.
        self.on_idle_event: Callable[[], None] | None = None
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    # ------------------------------------------------------------ opening

    @classmethod
    def dial(cls, loop: EventLoop, address: Address, wait: int) -> Connection:
        """Return a connection that is established.

        Faults of this machine are usually over in a moment, so dialing is retried until `wait` is
        over.

        Raises:
            ConnectionClosedError: If the peer is at fault.
            NoLocalSocketError: If this machine is at fault.
        """
        until = loop.now() + wait
        pause = DIAL_RETRY_PAUSE
        while True:
            try:
                return cls.dial_once(loop, address, max(MS, until - loop.now()))
            except NoLocalSocketError:
                if loop.now() + pause >= until:
                    raise
            loop.sleep(pause)
            pause = min(2 * pause, MAX_DIAL_RETRY_PAUSE)

    @classmethod
    def dial_once(cls, loop: EventLoop, address: Address, wait: int) -> Connection:
        """Return a connection that is established, as dial() does, without retries."""
        try:
            connection = cls(loop, socket.socket())
        except OSError as error:  # out of descriptors
            raise NoLocalSocketError(f"no socket: {error}") from None
        try:
            connection.connect(address, wait)
        except NoLocalSocketError:
            connection.close()
            raise
        except (OSError, ConnectionClosedError) as error:
            connection.close()
            raise ConnectionClosedError(f"no connection: {error}") from None
        return connection

    def connect(self, address: Address, wait: int) -> None:
        """Connect the socket to this address, within `wait`."""
        code = self.sock.connect_ex(address)
        if code in LOCAL_ERRORS:
            raise NoLocalSocketError(f"no connection: {os.strerror(code)}")
        if code in CONNECT_PENDING:
            self.wait(False, wait)
            code = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            raise ConnectionClosedError(os.strerror(code))

    # ------------------------------------------------------------ waiting

    def watch(self) -> None:
        """Watch the socket for what its reader, its writer and the idle call wait for."""
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
        if self.reader and mask & READABLE:
            self.loop.wake(self.reader)
            self.reader = None
        if self.writer and mask & WRITABLE:
            self.loop.wake(self.writer)
            self.writer = None
        if self.on_idle_event and mask & READABLE:
            idle = self.on_idle_event
            self.on_idle_event = None
            idle()
        self.watch()

    def wait(self, to_read: bool, span: int = 0) -> None:
        """Park the current task until the socket is ready to be read from, or written to.

        Raises:
            TimeoutExpired: If it is not ready within `span` (0: no limit).
            ConnectionClosedError: If the connection was closed here meanwhile.
        """
        task = self.loop.current_task()
        if to_read:
            self.reader = task
        else:
            self.writer = task
        self.watch()
        expired = self._park(task, span)
        if self.closed:
            raise ConnectionClosedError("closed")
        if expired:
            raise TimeoutExpired("not ready in time")

    def _park(self, task: Task, span: int) -> bool:
        """Park the task that reads or writes; return whether its wait expired."""
        expired = False
        timer = None

        def expire() -> None:
            nonlocal expired
            expired = True
            self.loop.wake(task)

        if span:
            timer = self.loop.call_later(span, expire)
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

    def wait_for_hang_up(self, span: int) -> None:
        """Wait, without reading, until the peer ends its sending, for `span` at most.

        An end behind much that is unread is not seen.

        Raises:
            ConnectionClosedError: If the peer ended its sending or the connection broke.
            ReadInterrupted: After interrupt().
        """
        self.readable_since = self.readable_since or self.loop.now()
        while not self.interrupted:
            if self.closed:
                raise ConnectionClosedError("closed")
            self.hang_up_only = True
            try:
                self.wait(True, span)
            except TimeoutExpired:
                return
            finally:
                self.hang_up_only = False
            if not self.interrupted:
                raise ConnectionClosedError("the other side ended")
        self.interrupted = False
        raise ReadInterrupted

    def interrupt(self) -> None:
        """Get the reading task out of its wait, now or as soon as it would wait."""
        self.interrupted = True
        self.loop.wake(self.reader)

    # ------------------------------------------------------------ reading and writing

    def recv(self, span: int = 0) -> bytes:
        """Return some bytes; b"" once the peer has ended its sending.

        The socket is read once more before a timeout or an interruption is raised, as bytes may
        have arrived at the same moment.

        Raises:
            TimeoutExpired: If nothing arrived within `span` (0: no limit).
            ConnectionClosedError: If the connection broke or is closed.
            ReadInterrupted: After interrupt().
        """
        timeout: TimeoutExpired | None = None
        while True:
            if self.closed:
                raise ConnectionClosedError("closed")
            try:
                data = self.sock.recv(READ_SIZE)
            except BlockingIOError:
                self.readable_since = 0
            except OSError as error:
                raise ConnectionClosedError(str(error)) from None
            else:
                self.readable_since = self.readable_since or self.loop.ready_since
                self.received_at = self.readable_since
                return data
            if self.interrupted:
                self.interrupted = False
                raise ReadInterrupted
            if timeout:
                raise timeout
            try:
                self.wait(True, span)
            except TimeoutExpired as error:
                timeout = error

    def send(self, data: bytes, span: int = 0) -> None:
        """Send all of the data; `span` bounds each wait for a peer that does not read."""
        view = memoryview(data)
        while view:
            count = self.send_some(view)
            if count:
                view = view[count:]
            else:
                self.wait(False, span)

    def send_some(self, data: bytes | memoryview) -> int:
        """Send as much as the socket takes without waiting; return how many bytes it took."""
        if self.closed:
            raise ConnectionClosedError("closed")
        try:
            return self.sock.send(data)
        except BlockingIOError:
            return 0
        except OSError as error:
            raise ConnectionClosedError(str(error)) from None

    # ------------------------------------------------------------ state

    def is_idle(self) -> bool:
        """Return whether it is open with nothing to read.

        Only such a connection may carry a new request.
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

        Bytes that wait to be read make no difference.
        """
        if self.closed:
            return True
        poller = select.poll()
        poller.register(self.sock.fileno(), select.POLLRDHUP)
        return any(mask & HANG_UP for _, mask in poller.poll(0))

    def unacknowledged_bytes(self) -> int:
        """Return how many bytes were sent that the peer's system has not acknowledged."""
        return self._queue_length(termios.TIOCOUTQ)

    def unread_bytes(self) -> int:
        """Return how many bytes have arrived that were not read."""
        return self._queue_length(termios.FIONREAD)

    def _queue_length(self, request: int) -> int:
        """Return the length of one of the socket's queues; 0 where the system does not tell."""
        try:
            packed = fcntl.ioctl(self.sock, request, bytes(QUEUE_LENGTH.size))
        except OSError:
            return 0
        length: int = QUEUE_LENGTH.unpack(packed)[0]
        return length

    # ------------------------------------------------------------ closing

    def end_sending(self) -> None:
        """Tell the peer that nothing more is sent; it may go on sending."""
        try:
            self.sock.shutdown(socket.SHUT_WR)
        except OSError as error:
            raise ConnectionClosedError(str(error)) from None

    def abort(self) -> None:
        """Close it and discard what the peer has not received.

        After an orderly close the system would go on sending that for as long as the peer takes
        to read it.
        """
        if not self.closed and self.unacknowledged_bytes():
            with contextlib.suppress(OSError):
                self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
        self.close()

    def close(self) -> None:
        """Close the socket and wake the tasks that wait for it."""
        if self.closed:
            return
        self.closed = True
        self.on_idle_event = None
        if self.mask:
            self.loop.watch(self.sock.fileno(), 0, self.ready)
        self.sock.close()
        for task in (self.reader, self.writer):
            self.loop.wake(task)
