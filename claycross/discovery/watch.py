"""The list of engines: first as it was last known, then as a watch on the platform's discovery
tells it.

Owns the reading of discovery's messages, each watch from its dial to its end (docs/lifecycles.md),
the reconnecting, and the move to another address on reload. It must never drop the list it has
because discovery is silent, let go of an address that still tells before the next one does, carry a
revision from one address to another, or let junk from there become more than a logged retry.

What discovery has counts as told 6 s after it had it, whether it arrived or not. A watch that falls
silent is given up QUIET after its last whole word, one that says nothing at all after FIRST_WORD;
with the pauses and a dial between them, a first watch that falls silent and a second that never
speaks leave time for a third. A discovery that is slower than FIRST_WORD is told from a silent one
by the watches that were given up: they are listened to for a while longer, and the first word's
time is what the next ones are given.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

from .. import interface as i
from ..net.address import Address, Endpoint
from ..net.http1 import Body, End, Head, MalformedMessageError, MessageParser, encode_request
from ..net.line_protocol import JsonValueParser, LineTooLongError
from ..net.loop import MS, SECOND, Connection, ConnectionClosedError, EventLoop, TimeoutExpired
from .engine_incarnations import UNKNOWN

ListTaker = Callable[[i.EndpointListUpdate, dict[str, Endpoint]], None]
DIAL, BACK_OFF, LONGEST_BACK_OFF = SECOND, 100 * MS, SECOND
QUIET, FIRST_WORD = 3 * SECOND, SECOND  # a watch says something every 2 s, and answers at once
LATEST_FIRST_WORD, FIRST_WORD_MARGIN = (
    3 * SECOND,
    2,
)  # the most waited for; times the last that was seen
LOGGED = (
    10  # of tries that fail one after the other, the first and every such one is a line in the log
)
MAX_LINE = 4 << 20
LARGE_LIST = 500  # entries that are read in one turn of the loop and told in the next
LATEST_BOOT = 10**14  # ms of Unix time: no start lies beyond the year 5138
STATES = {"Ready": "ready", "Terminating": "draining", "Gone": "gone"}


class DiscoveryDataError(Exception):
    """What discovery says can't be understood."""


UNREADABLE = (KeyError, TypeError, ValueError, AttributeError, OverflowError)


class DiscoveryMessage(NamedTuple):
    """One message of discovery: its version, the entries, where each engine listens, and what of it
    could not be read; blank: all could.
    """

    version: int
    update: i.EndpointListUpdate
    endpoints: dict[str, Endpoint]
    error: str = ""


def read_targets(message: Any, kind: str = "") -> DiscoveryMessage:
    """An entry that can't be read takes none of the others with it."""
    entries, endpoints, junk, unread = [], {}, "", 0
    try:
        version, targets = int(message["rev"]), list(message["targets"])
        kind = kind or ("full" if message.get("all") else "changes")
    except UNREADABLE as err:
        raise DiscoveryDataError(f"{type(err).__name__} {err}") from None
    for target in targets:
        try:
            entry, endpoint = read_target(target)
        except (*UNREADABLE, DiscoveryDataError) as err:
            junk, unread = junk or f"{type(err).__name__} {err}", unread + 1
            continue
        entries.append(entry)
        if endpoint:
            endpoints[entry.engine] = endpoint
    if unread > 1:
        junk = f"{junk} (the first of {unread} such entries)"
    return DiscoveryMessage(version, i.EndpointListUpdate(kind, entries), endpoints, junk)


def read_target(t: Any) -> tuple[i.EngineEndpoint, Endpoint | None]:
    uid, state, endpoint = str(t["uid"]), STATES.get(t["state"]), None
    if state is None:
        raise DiscoveryDataError(f"state {t['state']!r} is not known")
    boot = read_boot(t.get("boot_ms"))
    if state != "gone":
        host, _, port = str(t["endpoint"]).rpartition(":")
        endpoint = Endpoint(host, int(port), str(t.get("protocol") or ""), boot)
    return i.EngineEndpoint(
        uid,
        str(t.get("model", "")),
        state,
        str(t.get("az", "")),
        int(t.get("pod_group") or 0),
        size=float(t.get("capacity_hint") or 1),
        incarnation=boot,
    ), endpoint


def read_boot(told: Any) -> int:
    """A start as it is told, in nanoseconds: 0 for long ago or missing, UNKNOWN for what is no
    time.
    """
    if told is None:
        return 0
    number = float(told)  # text that is no number spoils the entry
    if not (0 <= number <= LATEST_BOOT and number == int(number)):
        return UNKNOWN
    return int(told) * MS


class FirstWord:
    """How long a watch is given for its first word: `least`, or some times what the last one
    took.
    """

    def __init__(self, least: int, most: int):
        self.least, self.most, self.span = least, max(least, most), least

    def seen(self, took: int) -> None:
        """A first word came so long after it was asked for, be it on a watch that was given up."""
        self.span = min(self.most, max(self.least, FIRST_WORD_MARGIN * took))


class ValueFeed:
    """The values in the bytes of one HTTP answer; Junk where it is no answer, or not the one asked
    for.
    """

    def __init__(self) -> None:
        self.messages = MessageParser(responses=True, max_body=1 << 62, max_chunk=MAX_LINE)
        self.values = JsonValueParser(MAX_LINE)
        self.ended = False  # the answer is whole

    def take(self, data: bytes) -> list[bytes]:
        """The values that these bytes complete."""
        found: list[bytes] = []
        try:
            for part in self.messages.feed(data):
                if isinstance(part, Head) and part.status != 200:
                    raise DiscoveryDataError(f"status {part.status}")
                if isinstance(part, Body):
                    found += self.values.feed(part.data)
                if isinstance(part, End):
                    found.append(self.values.end())
                    self.ended = True
        except (LineTooLongError, MalformedMessageError) as err:
            raise DiscoveryDataError(str(err)) from None
        return found


class DiscoveryWatch:
    """Watches the platform's discovery, for ever (or, asked once, until the watch breaks)."""

    quiet, first_word = QUIET, FIRST_WORD

    def __init__(
        self,
        loop: EventLoop,
        address: Address,
        told: list[ListTaker],
        log: Callable[[str], None],
        dial: int = DIAL,
        longest: int = LONGEST_BACK_OFF,
    ):
        self.loop, self.address, self.listeners, self.log = loop, address, told, log
        self.dial, self.longest = (
            dial,
            longest,
        )  # of a try, and between two: what is told meanwhile is late
        self.version, self.told_by = 0, address  # of the list, and whose version that is
        self.back_off, self.failed = min(BACK_OFF, longest), 0
        self.last_word_at = self.previous_message_at = (
            0  # when discovery last spoke, and when before that
        )
        self.generation = self.heard = (
            0  # moves to another address so far, and the last that has told something
        )
        self.conns: dict[int, Connection] = {}  # by turn: two while a move is on
        self.asking = -1  # the turn in which the module's watch is under way
        self.first_word_wait = FirstWord(self.first_word, LATEST_FIRST_WORD)

    def start_from(self, known: Any) -> None:
        """The list as this gateway had it last."""
        if not known:
            known = {"rev": 0, "targets": []}
        try:
            told = read_targets(known, "saved")
        except DiscoveryDataError as err:
            told = DiscoveryMessage(0, i.EndpointListUpdate("saved"), {}, str(err))
        if told.error:
            self.log(f"discovery-invalid source=known {told.error}")
        self.version = 0 if told.error else told.version  # what could not be read is asked for anew
        self.notify(told.update, told.endpoints)

    def notify(self, found: i.EndpointListUpdate, endpoints: dict[str, Endpoint]) -> None:
        for told in self.listeners:
            told(found, endpoints)

    def watch_for_ever(self) -> None:
        turn = self.generation
        while turn == self.generation:
            try:
                self.watch()
            except (ConnectionClosedError, MalformedMessageError, DiscoveryDataError) as err:
                if turn != self.generation:
                    return
                if self.failed % LOGGED == 0:
                    self.log(
                        f"discovery-lost rev={self.version} wait_ms={self.back_off // MS} "
                        f"tries={self.failed + 1} {err}"
                    )
                self.failed += 1
            self.loop.sleep(self.back_off)
            self.back_off = min(2 * self.back_off, self.longest)

    def watch_once(self, lost: Callable[[], None]) -> None:
        """For deployments in which the module asks: it hears of the end of its watch and asks
        again.
        """
        if self.asking == self.generation:
            return
        turn = self.asking = self.generation
        try:
            self.watch()
        except (ConnectionClosedError, MalformedMessageError, DiscoveryDataError) as err:
            if turn == self.generation:
                self.log(f"discovery-lost rev={self.version} {err}")
        finally:
            if turn == self.generation:
                self.asking = -1
                lost()

    def move(self, address: Address) -> bool:
        """The next watch is at this address; whoever moves it starts that. False: it is there
        already.

        The watch at the old address goes on until the new one has told something: nothing is missed
        between the two, and a new address that does not answer costs nothing while the old one
        stands.
        """
        if address == self.address:
            return False
        self.address, self.back_off, self.failed = address, min(BACK_OFF, self.longest), 0
        for turn in [t for t in self.conns if t != self.heard]:  # a move that never got so far
            self.conns[turn].close()
        self.generation += 1
        return True

    def watch(self) -> None:
        """One watch, until it ends; it always ends in an exception."""
        address = self.address
        version = (
            self.version if self.told_by == address else 0
        )  # versions of two addresses are two things
        for value in self.values("GET", f"/api/targets?watch=1&from={version}"):
            self.read(value, address)
        raise ConnectionClosedError("the watch ended")

    def values(self, method: str, target: str, body: bytes = b"") -> Iterator[bytes]:
        """The values of one answer as they come, on a connection of its own. Only a whole value, or
        a blank line between two, is a sign of life: bytes that never make one are not.
        """
        turn, address = self.generation, self.address
        conn = Connection.dial(self.loop, address, self.dial)
        feed, given_up = ValueFeed(), False
        try:
            if turn != self.generation:
                raise ConnectionClosedError("it has moved meanwhile")
            self.conns[turn] = conn
            headers = [("Host", f"{address[0]}:{address[1]}")]
            conn.send(encode_request(method, target, headers, body), self.dial)
            asked, heard = self.loop.now(), 0
            while not feed.ended:
                until = heard + self.quiet if heard else asked + self.first_word_wait.span
                if (left := until - self.loop.now()) <= 0:
                    given_up = not heard
                    raise ConnectionClosedError("silent")
                try:
                    data = conn.recv(left)
                except TimeoutExpired:
                    continue  # what it is given may be longer by now
                if not data:
                    raise ConnectionClosedError("the connection ended")
                if found := feed.take(data):
                    if not heard:
                        self.first_word_wait.seen(self.loop.now() - asked)
                    heard = self.loop.now()
                    self.previous_message_at, self.last_word_at = self.last_word_at, heard
                    if any(found):
                        self.told_something(turn)
                    yield from found
        finally:
            if given_up:
                self.loop.spawn(self.listen_on, conn, feed, asked)
            else:
                conn.close()
            if self.conns.get(turn) is conn:
                del self.conns[turn]

    def listen_on(self, conn: Connection, feed: ValueFeed, asked: int) -> None:
        """Of a watch that was given up before its first word: how late that is, if it comes at
        all.
        """
        wait = self.first_word_wait
        try:
            while (left := asked + wait.most - self.loop.now()) > 0 and (data := conn.recv(left)):
                if feed.take(data):
                    took = self.loop.now() - asked
                    wait.seen(took)
                    self.log(
                        f"discovery-slow first_response_ms={took // MS} "
                        f"timeout_ms={wait.span // MS}"
                    )
                    return
        except DiscoveryDataError:
            return
        finally:
            conn.close()

    def told_something(self, turn: int) -> None:
        """The watch of that turn speaks: those of earlier addresses have been waited for."""
        if turn > self.heard:
            self.heard = turn
            for old in [c for t, c in self.conns.items() if t < turn]:
                old.close()

    def read(self, value: bytes, address: Address) -> None:
        self.back_off, self.failed = min(BACK_OFF, self.longest), 0
        if not value:
            return
        try:
            message = json.loads(value)
        except (ValueError, RecursionError) as err:
            raise DiscoveryDataError(str(err)) from None
        self.take(message, address)

    def take(self, message: Any, address: Address) -> None:
        told = read_targets(message)
        if (
            len(told.update.entries) > LARGE_LIST
        ):  # what waits meanwhile has its turn before the rest
            heard = self.heard
            self.loop.sleep(0)
            if self.heard != heard:
                raise ConnectionClosedError("a later address has told meanwhile")
        version, before = told.version, self.version if self.told_by == address else 0
        if told.update.kind == "changes" and version < before:
            self.version = 0  # older states would come back to life: the whole list is asked for
            raise DiscoveryDataError(f"rev {version} behind {before}")
        self.log(
            f"discovery rev={version} kind={told.update.kind} entries={len(told.update.entries)}"
        )
        self.notify(told.update, told.endpoints)
        if told.error:  # and asked for again from where it was
            raise DiscoveryDataError(told.error)
        self.version, self.told_by = version, address
