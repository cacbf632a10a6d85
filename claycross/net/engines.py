"""Calls to engines and the pool of connections to them.

Owns how an attempt looks on the wire and which outcome each answer is, and every engine connection with its
bounds. It must never send a request's bytes twice, send to an engine that drains, or keep a connection idle
near the time at which its engine closes it.
"""

from __future__ import annotations

import json
import math
import re
from collections.abc import Callable
from dataclasses import dataclass, field

from .. import interface as i
from ..core import Core, Try
from ..invariant import invariant
from ..settings import read_report
from .http1 import MAX_BODY, Body, End, Events, Head, Malformed, Messages, request
from .loop import MS, SECOND, Closed, Conn, Loop, TimedOut

Address = tuple[str, int]
REST = 3 * MS  # of a connection after use: what its engine sends behind an answer is seen by then
HALF = 1500 * MS  # for the rest of a head or chunk that has begun: engines write them whole
CALL_WAIT = 400 * MS  # for the answer of a call that carries no request
REPORT = re.compile(rb"(?mi)^: *X-Server-Load: *([^\r\n]*)")  # as it stands in a stream
SMALL = 65_536  # largest answer that is not passed on
LARGEST_CHUNK = 1 << 20
UNUSABLE = (400, 404, 405, 413, 422, 431)
STREAM = 1 << 62
HOP = {"connection", "keep-alive", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade",
       "host", "content-length", "expect", "x-timeout-ms"}


@dataclass(slots=True)
class Outgoing:
    """A request as its client sent it."""

    method: str
    target: str
    headers: list[tuple[str, str]] = field(default_factory=list)
    body: bytes = b""
    streams: bool = True
    largest: int = STREAM  # of its answer
    background: bool = False
    whole: Callable[[bytes], bool] = lambda _: True  # whether an answer that does not stream is all of it


class Pool:
    """Connections that wait for use, newest first out, and the bound on all of them."""

    def __init__(self, loop: Loop, limit: int, idle: int, dial_timeout: int):
        self.loop, self.limit, self.keep, self.dial_timeout = loop, limit, idle, dial_timeout
        self.idle: dict[Address, list[tuple[Conn, int]]] = {}
        self.open = self.used = self.dialled = self.reused = 0  # open: those in use and those that wait
        if idle:
            loop.later(SECOND, self.sweep)

    def get(self, address: Address) -> Conn:
        waiting = self.idle.get(address, [])
        rested = self.loop.now() - REST
        while waiting:
            at = next((n for n in range(len(waiting) - 1, -1, -1) if waiting[n][1] <= rested), -1)
            conn, _ = waiting.pop(at)
            conn.idle = None
            conn.watch()
            self.used += 1
            if conn.quiet():
                self.reused += 1
                return conn
            self.drop(conn)
        if self.open >= self.limit and not self.make_room():
            raise Closed("no connection: the pool is at its bound")
        self.open += 1
        self.used += 1
        self.dialled += 1
        try:
            return Conn.dial(self.loop, address, self.dial_timeout)
        except Closed:
            self.open -= 1
            self.used -= 1
            raise

    def give(self, address: Address, conn: Conn) -> None:
        if not self.keep or conn.closed:
            return self.drop(conn)

        def touched() -> None:  # closed by the engine, or bytes that nobody asked for
            entries = self.idle.get(address, [])
            entries[:] = [e for e in entries if e[0] is not conn]
            self.discard(conn)
        self.used -= 1
        self.idle.setdefault(address, []).append((conn, self.loop.now()))
        conn.idle = touched
        conn.watch()

    def drop(self, conn: Conn) -> None:
        """One that was in use."""
        self.used -= 1
        self.discard(conn)

    def discard(self, conn: Conn) -> None:
        self.open -= 1
        conn.close()

    def check(self) -> None:
        """Every connection that is counted is in use or waits: one that is neither was lost sight of."""
        waiting = [c for conns in self.idle.values() for c, _ in conns]
        invariant(self.open == len(waiting) + self.used, "pool-counted",
                  f"open {self.open} waiting {len(waiting)} used {self.used}")
        invariant(not any(c.closed for c in waiting), "pool-waiting-open")

    def make_room(self) -> bool:
        entries = [(since, address) for address, waiting in self.idle.items() for _, since in waiting]
        if not entries:
            return False
        self.discard(self.idle[min(entries)[1]].pop(0)[0])
        return True

    def sweep(self) -> None:
        """Guards `unsafe` requests: a write into a connection that the engine closes might have run."""
        old = self.loop.now() - self.keep
        for address, waiting in list(self.idle.items()):
            while waiting and waiting[0][1] <= old:
                self.discard(waiting.pop(0)[0])
            if not waiting:
                del self.idle[address]
        self.loop.later(SECOND, self.sweep)


class Engines:
    """The engine side of one core."""

    def __init__(self, loop: Loop, pool: Pool, core: Core):
        self.loop, self.pool, self.core = loop, pool, core
        self.addresses: dict[str, Address] = {}

    # ------------------------------------------------------------ attempts

    def start(self, t: Try) -> None:
        self.loop.spawn(self.run, t, background=t.request.payload.background)

    def abandon(self, t: Try) -> bool:
        """Closes its connection. False: no byte of it has gone out, so it never ran."""
        if t.call is None:
            return False
        t.call.close()
        return True

    def run(self, t: Try) -> None:
        try:
            result = self.attempt(t)
        except Exception:  # whatever goes wrong here, the attempt has an outcome
            self.loop.report("attempt")
            result = ("error", 0, None)
        if not t.over:
            self.core.done(t, *result)

    def attempt(self, t: Try) -> tuple[str, int, i.LoadReport | None]:
        out: Outgoing = t.request.payload
        address = self.addresses.get(t.engine) if self.core.may_go(t) else None
        try:
            if address is None:
                raise Closed("no address")
            conn = self.pool.get(address)
        except Closed:
            return "connect_failed", 0, None
        if not self.core.may_go(t):  # a drain was told, or nobody waits any more, while it was connecting
            self.pool.give(address, conn)
            return "connect_failed", 0, None
        t.call = conn
        left = max(1, (t.timeout - (self.loop.now() - t.sent)) // MS)
        headers = [("Host", f"{address[0]}:{address[1]}"), *out.headers, ("X-Timeout-Ms", str(left))]
        try:
            conn.send(request(out.method, out.target, headers, out.body))
        except Closed:
            self.pool.drop(conn)
            return "connect_failed", 0, None
        messages = Messages(responses=True, max_body=out.largest, max_chunk=max(MAX_BODY, min(
            out.largest, LARGEST_CHUNK)))
        try:
            result = self.read(t, out, conn, messages)
        except (Closed, Malformed) as err:
            if isinstance(err, Malformed) and not t.over:
                self.core.log(f"engine-junk engine={t.engine} {err}")
            result = ("reset", 0, None)
        if messages.state == "end" and not messages.buffer and messages.head.keeps_alive():
            self.pool.give(address, conn)
        else:
            self.pool.drop(conn)
        return result

    def read(self, t: Try, out: Outgoing, conn: Conn, messages: Messages) -> tuple:
        head, body, events, usage = Head(), b"", Events(), b""
        while True:
            data = self.recv(t, conn, messages)
            for part in messages.feed(data) if data else messages.eof():
                if isinstance(part, Head):
                    head = part
                elif isinstance(part, Body):
                    if head.status == 200 and out.streams:
                        whole = events.feed(part.data)
                        if whole and (t.began or self.core.began(t)):
                            usage = whole if b'"usage"' in whole or REPORT.search(whole) else usage
                            self.core.piece(t, whole)
                        if t.over:
                            raise Closed("nobody waits")
                    else:
                        body += part.data
                        if len(body) > min(out.largest, SMALL if out.streams else out.largest):
                            raise Malformed(502, "the answer is too large")
                elif data or head.status != 200:  # a stream that merely stops is not known to be whole
                    return self.outcome(t, out, head, body, events, usage)
            if not data:
                raise Closed("ended before its answer")

    def recv(self, t: Try, conn: Conn, messages: Messages) -> bytes:
        """Guards against an answer that is spoilt by what never comes: half a head, half a chunk, or nothing
        more of a stream. Before it began the attempt's own time-out bounds the wait."""
        half = not messages.between()
        patience = self.core.patience(t)
        span = min(HALF, patience or HALF) if half else patience
        try:
            return conn.recv(span)
        except TimedOut:
            raise Malformed(502, "the rest does not come" if half else "the stream stands still") from None

    def outcome(self, t: Try, out: Outgoing, head: Head, body: bytes, events: Events, usage: bytes) -> tuple:
        report = self.report(head.get("x-server-load"))
        status, never = head.status, head.get("x-not-processed") == "1"
        if status == 200 and out.streams:
            if not t.began:
                return "error", 0, report
            if events.buffer:
                self.core.piece(t, events.buffer)
            found = REPORT.search(usage + events.buffer)
            return "ok", cached(usage), self.report(found[1].decode("latin-1")) if found else report
        if status == 200:
            if not out.whole(body):  # a box that drains may answer with what it had done so far
                self.core.log(f"engine-partial engine={t.engine} bytes={len(body)}")
                return "error", 0, report
            if not self.core.began(t):
                return "cancelled", 0, report
            self.core.piece(t, body)
            return "ok", 0, report
        if status == 202 and t.reads:
            return "read", cached(body), report
        if status == 410 and never:
            return "stateless", 0, report
        if status in (503, 504) and never:
            return "full", 0, report
        if status in UNUSABLE:  # that is how the request is, not how the engine does: no other would take it
            self.core.rejected(t, status)
            return "moot", 0, report
        if status != 500:
            self.core.log(f"engine-answer engine={t.engine} status={status}")
        return "error", 0, report

    def report(self, text: str) -> i.LoadReport | None:
        """`name=value` pairs; whatever is no number that a load can be is passed over."""
        values = {}
        for pair in text.split(","):
            name, _, value = pair.strip().partition("=")
            try:
                number = float(value)
            except ValueError:
                continue
            if math.isfinite(number) and 0 <= number < 1e9:
                values[name] = number
        return read_report(values)

    # ------------------------------------------------------------ calls that carry no request

    def call(self, engine: str, method: str, target: str, told: Callable[[Head | None, bytes], None]) -> None:
        """One small call. It does no harm twice: a broken connection that was used before is replaced."""
        def work() -> None:
            head, body = None, b""
            for _ in range(2):
                if (address := self.addresses.get(engine)) is None:
                    break
                before = self.pool.reused
                try:
                    conn = self.pool.get(address)
                except Closed:
                    break
                fresh = before == self.pool.reused
                try:
                    host = ("Host", f"{address[0]}:{address[1]}")
                    conn.send(request(method, target, [host]), CALL_WAIT)
                    head, body, fit = self.small(conn)
                    self.pool.give(address, conn) if fit else self.pool.drop(conn)
                    break
                except (Closed, Malformed):
                    self.pool.drop(conn)
                    if fresh:
                        break
            told(head, body)
        self.loop.spawn(work)

    def small(self, conn: Conn) -> tuple[Head, bytes, bool]:
        """A small answer, and whether its connection may be used again."""
        messages, head, body = Messages(responses=True, max_body=SMALL), None, b""
        while data := conn.recv(CALL_WAIT):
            for part in messages.feed(data):
                if isinstance(part, Head):
                    head = part
                elif isinstance(part, Body):
                    body += part.data
                elif isinstance(part, End):
                    return head, body, head.keeps_alive() and not messages.buffer
        raise Closed("no answer")

    def release(self, engine: str, key: str, told: Callable[[bool], None]) -> None:
        self.call(engine, "DELETE", f"/kv/leases/{key}", lambda head, _: told(head is not None))

    def reserve(self, engine: str, key: str, told: Callable[[bool | None], None]) -> None:
        self.call(engine, "POST", f"/kv/leases/{key}", lambda head, _: told(
            {200: True, 409: False}.get(head.status) if head else None))

    def probe(self, engine: str, told: Callable[[bool, i.LoadReport | None], None]) -> None:
        self.call(engine, "GET", "/-/load", lambda head, body: told(
            bool(head and head.status == 200), self.report(body.decode("latin-1"))))


def cached(text: bytes) -> int:
    """The prompt tokens found kept, as a reader's body or a stream's last event tells, else 0."""
    for line in reversed(text.split(b"\n")):
        line = line.removeprefix(b"data:").strip()
        if b"cached_tokens" not in line:
            continue
        try:
            found = json.loads(line)
            if "usage" in found:
                found = found["usage"]["prompt_tokens_details"]
            return max(0, int(found["cached_tokens"]))
        except (ValueError, TypeError, KeyError, OverflowError, RecursionError):
            return 0
    return 0
