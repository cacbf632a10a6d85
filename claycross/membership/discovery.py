"""The list of engines: first as it was last known, then as a watch on the platform's discovery tells it.

Owns the reading of discovery's messages, the reconnecting, and the move to another address on reload. It must
never drop the list it has because discovery is silent, let go of an address that still tells before the next
one does, or let junk from there become more than a logged retry.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Iterator
from typing import Any

from .. import interface as i
from ..net.address import Address, Endpoint
from ..net.http1 import Body, End, Head, Malformed, Messages, request
from ..net.loop import MS, SECOND, Closed, Conn, Loop

Told = Callable[[i.EngineList, dict[str, Endpoint]], None]
DIAL, BACK_OFF, LONGEST_BACK_OFF = SECOND, 100 * MS, SECOND
LOGGED = 10  # of tries that fail one after the other, the first and every such one is a line in the log
MAX_LINE = 4 << 20
STATES = {"Ready": "ready", "Terminating": "draining", "Gone": "gone"}


class Junk(Exception):
    """What discovery says can't be understood."""


def read_targets(message: Any, kind: str = "") -> tuple[int, i.EngineList, dict[str, Endpoint]]:
    """One message of discovery: its version, the entries, and where each engine listens."""
    try:
        entries, endpoints = [], {}
        for t in message["targets"]:
            uid, state = str(t["uid"]), STATES.get(t["state"])
            if state is None:
                raise Junk(f"state {t['state']!r} is not known")
            boot = int(t.get("boot_ms") or 0) * MS
            if state != "gone":
                host, _, port = str(t["endpoint"]).rpartition(":")
                endpoints[uid] = Endpoint(host, int(port), str(t.get("protocol") or ""), boot)
            entries.append(i.EngineEntry(
                uid, str(t.get("model", "")), state, str(t.get("az", "")), int(t.get("pod_group") or 0),
                boot, float(t.get("capacity_hint") or 1)))
        kind = kind or ("full" if message.get("all") else "changes")
        return int(message["rev"]), i.EngineList(kind, entries), endpoints
    except (KeyError, TypeError, ValueError, AttributeError) as err:
        raise Junk(f"{type(err).__name__} {err}") from None


class Discovery:
    """Watches the platform's discovery, for ever (or, asked once, until the watch breaks)."""

    quiet = 5 * SECOND  # a watch says something every 2 s

    def __init__(self, loop: Loop, address: Address, told: list[Told], log: Callable[[str], None],
                 dial: int = DIAL, longest: int = LONGEST_BACK_OFF):
        self.loop, self.address, self.told, self.log = loop, address, told, log
        self.dial, self.longest = dial, longest  # of a try, and between two: what is told meanwhile is late
        self.version, self.back_off, self.failed = 0, min(BACK_OFF, longest), 0
        self.turn = self.heard = 0  # moves to another address so far, and the last that has told something
        self.conns: dict[int, Conn] = {}  # by turn: two while a move is on
        self.asking = -1  # the turn in which the module's watch is under way

    def start_from(self, known: Any) -> None:
        """The list as this gateway had it last."""
        if not known:
            known = {"rev": 0, "targets": []}
        try:
            self.version, found, endpoints = read_targets(known, "saved")
        except Junk as err:
            self.log(f"discovery-junk source=known {err}")
            self.version, found, endpoints = 0, i.EngineList("saved"), {}
        self.tell(found, endpoints)

    def tell(self, found: i.EngineList, endpoints: dict[str, Endpoint]) -> None:
        for told in self.told:
            told(found, endpoints)

    def watch_for_ever(self) -> None:
        turn = self.turn
        while turn == self.turn:
            try:
                self.watch()
            except (Closed, Malformed, Junk) as err:
                if turn != self.turn:
                    return
                if self.failed % LOGGED == 0:
                    self.log(f"discovery-lost rev={self.version} wait_ms={self.back_off // MS} "
                             f"tries={self.failed + 1} {err}")
                self.failed += 1
            self.loop.sleep(self.back_off)
            self.back_off = min(2 * self.back_off, self.longest)

    def watch_once(self, lost: Callable[[], None]) -> None:
        """For deployments in which the module asks: it hears of the end of its watch and asks again."""
        if self.asking == self.turn:
            return
        turn = self.asking = self.turn
        try:
            self.watch()
        except (Closed, Malformed, Junk) as err:
            if turn == self.turn:
                self.log(f"discovery-lost rev={self.version} {err}")
        finally:
            if turn == self.turn:
                self.asking = -1
                lost()

    def move(self, address: Address) -> bool:
        """The next watch is at this address; whoever moves it starts that. False: it is there already.

        The watch at the old address goes on until the new one has told something: nothing is missed between
        the two, and a new address that does not answer costs nothing while the old one stands.
        """
        if address == self.address:
            return False
        self.address, self.back_off, self.failed = address, min(BACK_OFF, self.longest), 0
        for turn in [t for t in self.conns if t != self.heard]:  # a move that never got so far
            self.conns[turn].close()
        self.turn += 1
        return True

    def watch(self) -> None:
        """One watch, until it ends; it always ends in an exception."""
        for line in self.lines("GET", f"/api/targets?watch=1&from={self.version}"):
            self.read(line)
        raise Closed("the watch ended")

    def lines(self, method: str, target: str, body: bytes = b"") -> Iterator[bytes]:
        """The lines of one answer as they come, on a connection of its own."""
        turn, address = self.turn, self.address
        conn = Conn.dial(self.loop, address, self.dial)
        try:
            if turn != self.turn:
                raise Closed("it has moved meanwhile")
            self.conns[turn] = conn
            headers = [("Host", f"{address[0]}:{address[1]}")]
            conn.send(request(method, target, headers, body), self.dial)
            messages, line = Messages(responses=True, max_body=1 << 62, max_chunk=MAX_LINE), b""
            while data := conn.recv(self.quiet):
                for part in messages.feed(data):
                    if isinstance(part, Head) and part.status != 200:
                        raise Junk(f"status {part.status}")
                    if isinstance(part, Body):
                        *whole, line = (line + part.data).split(b"\n")
                        if whole and turn > self.heard:
                            self.heard = turn
                            for old in [c for t, c in self.conns.items() if t < turn]:
                                old.close()
                        yield from whole
                        if len(line) > MAX_LINE:
                            raise Junk("a line without end")
                    if isinstance(part, End):
                        yield line
                        return
            raise Closed("the connection ended")
        finally:
            conn.close()
            if self.conns.get(turn) is conn:
                del self.conns[turn]

    def read(self, line: bytes) -> None:
        self.back_off, self.failed = min(BACK_OFF, self.longest), 0
        if not line.strip():
            return
        try:
            message = json.loads(line)
        except ValueError as err:
            raise Junk(str(err)) from None
        self.take(message)

    def take(self, message: Any) -> None:
        self.version, found, endpoints = read_targets(message)
        self.log(f"discovery rev={self.version} kind={found.kind} entries={len(found.entries)}")
        self.tell(found, endpoints)
