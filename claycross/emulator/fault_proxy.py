"""What lies between the processes of a drill: TCP and UDP passed on, and the faults that are put
there.

Owns every socket between two parties, and which fault holds on which way at what time. It must
never change what passes but for engines' addresses in lists, and has no part in what is judged.

A new connection through a cut way comes up (the kernel takes it for the relay) and stays silent: on
one machine without rights of its own no address can be made not to answer.
"""

from __future__ import annotations

import contextlib
import os
import random
import re
import select
import socket
import threading
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from ..net.loop import MS, SECOND, Connection, ConnectionClosedError, EventLoop, Listener
from .http_servers import reset

ENDPOINT = re.compile(rb'("endpoint": ?"127\.0\.0\.1:)(\d{5})"')
FIRST_PORT, BLOCK, BLOCKS = 12_000, 200, 100  # of the ports that processes listen on
LOOK = 20 * MS  # between looks at a way that is cut
RESENT = 200 * MS  # by which TCP is late where a packet is lost


@dataclass(slots=True)
class Fault:
    """On the ways from parties that `from_` matches to those that `to` does, from begin to end
    (seconds).
    """

    do: str  # "cut", "reset", "refuse", "delay", "loss", "double", "swallow"
    from_: frozenset[str]
    to: frozenset[str]
    begin: float
    end: float
    share: float = 1.0  # of datagrams (or pieces of a stream) that are lost or doubled
    ms: float = (
        0.0  # of delay; each between none and twice it, so that datagrams overtake each other
    )


class FaultProxy(threading.Thread):
    """All ways, on a loop of its own. Parties are sets of words: {"g3", "kigali"}, {"engines",
    "huye"}.
    """

    def __init__(self, seed: int):
        super().__init__(daemon=True)
        self.draw, self.faults, self.started = random.Random(seed), list[Fault](), threading.Event()
        self.jobs: list[Callable[[], None]] = []
        self.zero: int | None = None
        self.unreached: set[int] = (
            set()
        )  # ports of the near side whose connection found nobody listening
        self.passed = 0
        self.datagrams: dict[tuple[int, int], socket.socket] = {}
        self.lists: dict[tuple[int, int], int] = {}  # (gateway, engine's port) -> relay's port
        self.start()
        self.started.wait()

    def run(self) -> None:
        self.loop = EventLoop()
        self.wake = socket.socketpair()
        self.wake[0].setblocking(False)
        self.loop.watch(self.wake[0].fileno(), select.POLLIN, self.work)
        self.started.set()
        self.loop.run()

    def work(self, _: int) -> None:
        self.wake[0].recv(4096)
        while self.jobs:
            self.jobs.pop(0)()

    def do(self, job: Callable[[], object]) -> object:
        """Runs it on the loop's thread; its result."""
        done, out = threading.Event(), []

        def run() -> None:
            try:
                out.append(job())
            finally:
                done.set()

        self.jobs.append(run)
        self.wake[1].send(b"x")
        done.wait(10)
        return out[0]

    def stop(self) -> None:
        self.do(self.loop.stop)

    # ------------------------------------------------------------ faults

    def holds(self, do: str, source: frozenset[str], target: frozenset[str]) -> Fault | None:
        if self.zero is None:
            return None
        now = (self.loop.now() - self.zero) / SECOND
        return next(
            (
                f
                for f in self.faults
                if f.do == do and f.begin <= now < f.end and f.from_ <= source and f.to <= target
            ),
            None,
        )

    def delay(self, source: frozenset[str], target: frozenset[str]) -> int:
        f = self.holds("delay", source, target)
        return int(self.draw.uniform(0, 2 * f.ms) * MS) if f else 0

    # ------------------------------------------------------------ streams

    def tcp(
        self,
        source: frozenset[str],
        target: frozenset[str],
        port: int,
        rewrite: Callable[[bytes], bytes] | None = None,
    ) -> int:
        """A port that leads to `port` for `source`; `rewrite` changes what comes back, line by
        line.
        """

        def accepted(conn: Connection) -> None:
            if self.holds("refuse", source, target) or self.holds("reset", source, target):
                reset(conn)
            else:
                self.loop.spawn(self.open, conn, source, target, port, rewrite)

        return Listener(self.loop, ("127.0.0.1", 0), accepted, lambda: True).address()[1]

    def open(
        self,
        near: Connection,
        source: frozenset[str],
        target: frozenset[str],
        port: int,
        rewrite: Callable[[bytes], bytes] | None,
    ) -> None:
        while self.holds("cut", source, target):
            self.loop.sleep(LOOK)
        try:
            far = Connection.dial(self.loop, ("127.0.0.1", port), SECOND)
        except ConnectionClosedError:
            self.unreached.add(near.sock.getpeername()[1])
            return reset(near)
        self.loop.spawn(self.pump, near, far, source, target, None)
        self.pump(far, near, target, source, rewrite)

    def pump(
        self,
        conn: Connection,
        to: Connection,
        source: frozenset[str],
        target: frozenset[str],
        rewrite: Callable[[bytes], bytes] | None,
    ) -> None:
        rest = b""
        try:
            while True:
                data = conn.recv()
                while self.holds("cut", source, target):
                    self.loop.sleep(LOOK)
                if self.holds("reset", source, target):
                    return reset(to)
                if data and self.holds("swallow", source, target):
                    reset(conn)
                    return reset(to)
                if wait := self.delay(source, target):
                    self.loop.sleep(wait)
                if (f := self.holds("loss", source, target)) and self.draw.random() < f.share:
                    self.loop.sleep(RESENT)
                if not data:
                    to.send(rest)
                    return to.end_sending()
                if rewrite:
                    whole, mark, rest = (rest + data).rpartition(b"\n")
                    data = rewrite(whole + mark)
                to.send(data)
        except ConnectionClosedError:
            reset(to)
            reset(conn)

    def endpoints(
        self, gateway: frozenset[str], number: int, engine: Callable[[int], frozenset[str]]
    ) -> Callable[[bytes], bytes]:
        """Engines' addresses in a list, as this gateway is to reach them: ports of as many
        digits.
        """

        def relayed(found: re.Match[bytes]) -> bytes:
            port = int(found[2])
            if (number, port) not in self.lists:
                self.lists[number, port] = self.tcp(gateway, engine(port), port)
            return found[1] + b"%d" % self.lists[number, port] + b'"'

        return lambda data: ENDPOINT.sub(relayed, data)

    # ------------------------------------------------------------ datagrams

    def udp(
        self, parties: list[frozenset[str]], listen: list[int]
    ) -> tuple[list[list[str]], list[str]]:
        """A way for each pair of gateways: what each is told as `peers` and as `peers_all`."""
        count = len(parties)
        for a in range(count):
            for b in range(-1, count):
                s = self.datagrams[a, b] = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
                s.bind(("127.0.0.1", 0))
                s.setblocking(False)
                self.loop.watch(
                    s.fileno(),
                    select.POLLIN,
                    lambda _, a=a, b=b, s=s: self.datagram(s, a, b, parties, listen),
                )

        def name(a: int, b: int) -> str:
            return "{}:{}".format(*self.datagrams[a, b].getsockname())

        return [[name(a, b) for b in range(count)] for a in range(count)], [
            name(a, -1) for a in range(count)
        ]

    def datagram(
        self, s: socket.socket, a: int, b: int, parties: list[frozenset[str]], listen: list[int]
    ) -> None:
        while True:
            try:
                data, _ = s.recvfrom(2048)
            except OSError:
                return
            for to in range(len(parties)) if b < 0 else [b]:
                if to == a or self.holds("cut", parties[a], parties[to]):
                    continue
                if (
                    f := self.holds("loss", parties[a], parties[to])
                ) and self.draw.random() < f.share:
                    continue
                double = self.holds("double", parties[a], parties[to])
                for _ in range(1 + bool(double and self.draw.random() < double.share)):
                    self.loop.call_later(
                        self.delay(parties[a], parties[to]),
                        partial(self.hand, self.datagrams[to, a], data, listen[to]),
                    )

    def hand(self, s: socket.socket, data: bytes, port: int) -> None:
        self.passed += 1
        with contextlib.suppress(OSError):  # nobody is there
            s.sendto(data, ("127.0.0.1", port))


@dataclass(slots=True)
class PortReservation:
    """Ports found free, held until whoever is to bind them starts. They lie below those that the
    system gives to outgoing connections, one of which could have them while a process is started
    again, and in a block by this process's id, beside those of others that do the same.
    """

    held: list[socket.socket] = field(default_factory=list)
    after: int = 0  # ports of the block that were tried

    def port(self, kind: int) -> int:
        s = socket.socket(socket.AF_INET, kind)
        while True:
            self.after += 1
            with contextlib.suppress(OSError):
                s.bind(
                    ("127.0.0.1", FIRST_PORT + os.getpid() % BLOCKS * BLOCK + self.after % BLOCK)
                )
                break
        self.held.append(s)
        return s.getsockname()[1]

    def let_go(self) -> None:
        for s in self.held:
            s.close()
