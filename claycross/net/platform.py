"""The platform's front: what its clients send becomes requests of the core, and what becomes of them answers.

Owns the listening address, the client connections with their bounds, and the words of the protocol. It must
never decide whether a request is served, answer one twice, or let one slow client hold up others.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from ..core import Core, Open
from ..interface import Arrival
from .engines import HOP, Outgoing
from .http1 import LAST_CHUNK, MAX_BODY, Body, Head, Malformed, Messages, answer, chunk
from .loop import MS, SECOND, Closed, Conn, Interrupted, Listener, Loop, TimedOut

PATH = "/v1/chat/completions"
STALL = 20 * SECOND  # a client that takes nothing, or sends half a request, for so long has gone
NO_TIMEOUT = 30 * SECOND  # for a class that the settings do not name


class Bad(Exception):
    """A request that never reaches the core."""

    def __init__(self, status: int, why: str, headers: list[tuple[str, str]] | None = None, **details: str):
        super().__init__(why)
        self.status, self.headers, self.details = status, headers or [], details


def plain(status: int, why: str, **_: str) -> tuple[list[tuple[str, str]], bytes]:
    return [("Content-Type", "text/plain; charset=utf-8")], why.encode() + b"\n"


class Exchange:
    """One request on a client's connection, and the core's way to answer it."""

    def __init__(self, front: Front, conn: Conn, close: bool):
        self.front, self.conn, self.close_after = front, conn, close
        self.out, self.over, self.begun = b"", False, False

    def piece(self, data: bytes) -> None:
        if not self.begun:
            self.begun = True
            data = answer(200, [("Content-Type", "text/event-stream"), ("Cache-Control", "no-store")], None,
                          self.closing()) + chunk(data)
        else:
            data = chunk(data)
        self.write(data)

    def end(self, whole: bool) -> None:
        if whole:
            self.write(LAST_CHUNK)
        else:
            self.conn.close()  # without the last chunk: that is how the client knows
        self.finish()

    def write(self, data: bytes) -> None:
        try:
            self.conn.send(data, STALL)
        except Closed:
            self.conn.close()  # wakes the task that reads it, which tells the core

    def refuse(self, hold_off: int) -> None:
        headers, body = self.front.wording(503, "refused: it may be sent again")
        headers.append(("Retry-After", f"{hold_off / SECOND:.3f}"))
        self.say(503, headers, body)

    def fail(self) -> None:
        self.say(502, *self.front.wording(502, "failed"))

    def say(self, status: int, headers: list[tuple[str, str]], body: bytes) -> None:
        self.out = answer(status, headers, body, self.closing())
        self.finish()

    def closing(self) -> bool:
        self.close_after = self.close_after or self.front.draining
        return self.close_after

    def finish(self) -> None:
        self.over = True
        self.conn.interrupt()


class Front:
    """A listening address and its clients. Subclasses own the words of one protocol."""

    background = False
    wording = staticmethod(plain)

    def __init__(self, loop: Loop, core: Core, listen: tuple[str, int], limit: int):
        self.loop, self.core, self.limit = loop, core, limit
        self.draining = False
        self.clients: dict[Conn, bool] = {}  # whether it waits between requests; oldest first
        self.listener = Listener(loop, listen, self.accepted, self.room)

    def room(self) -> bool:
        """Under the bound; at it, the connection that has been idle longest makes way."""
        if len(self.clients) < self.limit:
            return True
        idle = next((c for c, waits in self.clients.items() if waits and c.quiet()), None)
        if idle is None:
            return False
        del self.clients[idle]
        idle.close()
        return True

    def accepted(self, conn: Conn) -> None:
        self.clients[conn] = False
        self.loop.spawn(self.serve, conn, background=self.background)

    def drain(self) -> None:
        """From now on every answer says that its connection closes; new connections are still taken."""
        self.draining = True

    def close(self) -> None:
        """No further connections; those that wait between requests are closed."""
        self.draining = True
        self.listener.close()
        for conn in [c for c, waits in self.clients.items() if waits and c.quiet()]:
            conn.close()  # one on which a request has come is answered first

    def serve(self, conn: Conn) -> None:
        messages = Messages()
        try:
            while self.one(conn, messages):
                if self.draining and not self.listener.open:
                    break
        except Malformed as err:
            self.core.count("malformed")
            self.turn_away(conn, Bad(err.status, str(err)))
        finally:
            self.clients.pop(conn, None)
            conn.close()

    def turn_away(self, conn: Conn, bad: Bad, close: bool = True) -> None:
        headers, body = self.wording(bad.status, str(bad), **bad.details)
        try:
            conn.send(answer(bad.status, headers + bad.headers, body, close), SECOND)
        except Closed:
            return
        if close:
            self.linger(conn)

    def linger(self, conn: Conn) -> None:
        """Reads on for a moment: closing over unread bytes would reset the answer away."""
        try:
            for _ in range(64):
                if not conn.recv(200 * MS):
                    return
        except (Closed, Interrupted):
            return

    def one(self, conn: Conn, messages: Messages) -> bool:
        """One request and its answer; False when the connection is to be closed."""
        head, body, came = self.read(conn, messages)
        if head is None:
            return False
        close = not head.keeps_alive()
        try:
            taken = self.take(conn, head, body, came, close)
        except Bad as bad:
            close = close or self.draining
            self.core.count("malformed")
            self.turn_away(conn, bad, close)
            return not close
        if taken is None:
            return not (close or self.draining)
        opened, exchange = taken
        self.wait(conn, messages, opened, exchange)
        return not exchange.close_after and not self.draining and not conn.closed

    def read(self, conn: Conn, messages: Messages) -> tuple[Head | None, bytes, int]:
        head, body, came, parts = None, [], 0, messages.next()
        while True:
            for part in parts:
                if isinstance(part, Head):
                    head = part
                    if head.get("expect").lower() == "100-continue":
                        conn.send(b"HTTP/1.1 100 Continue\r\n\r\n", STALL)
                elif isinstance(part, Body):
                    body.append(part.data)
                else:
                    return head, b"".join(body), came or self.loop.now()
            idle = head is None and messages.idle()
            self.clients.pop(conn, None)
            self.clients[conn] = idle
            if idle and self.draining and not self.listener.open:
                return None, b"", 0
            try:
                data = conn.recv(0 if idle else STALL)
            except Interrupted:  # left over from the answer before
                parts = []
                continue
            except TimedOut:
                raise Malformed(408, "the request did not arrive in time") from None
            self.clients[conn] = False
            if not data:
                messages.eof()
                return None, b"", 0
            came = came or conn.read_at
            parts = messages.feed(data)

    def wait(self, conn: Conn, messages: Messages, opened: Open, exchange: Exchange) -> None:
        """Until the answer is out; meanwhile the end of what the client sends is its going away."""
        try:
            while not exchange.over:
                try:
                    data = conn.recv()
                except Interrupted:
                    continue
                if not data:
                    raise Closed("the client left")
                messages.buffer += data
                if len(messages.buffer) > MAX_BODY:
                    raise Closed("the client sends more than it may")
            if exchange.out:
                conn.send(exchange.out, STALL)
        except Closed:
            conn.close()
            self.core.left(opened)

    def take(self, conn: Conn, head: Head, body: bytes, came: int,
             close: bool) -> tuple[Open, Exchange] | None:
        raise NotImplementedError


class Platform(Front):
    """POST /v1/chat/completions, and the readiness that the platform asks for."""

    def __init__(self, *args: Any, ready: Callable[[], bool] = lambda: True):
        super().__init__(*args)
        self.ready = ready

    def take(self, conn: Conn, head: Head, body: bytes, came: int,
             close: bool) -> tuple[Open, Exchange] | None:
        path = head.target.partition("?")[0]
        if path == "/-/ready":
            if head.method != "GET":
                raise Bad(405, "GET only", [("Allow", "GET")])
            fine = self.ready()
            conn.send(answer(200 if fine else 503, *plain(200, "ready" if fine else "not ready"),
                             close or self.draining), STALL)
            return None
        if path != PATH:
            raise Bad(404, "no such path")
        if head.method != "POST":
            raise Bad(405, "POST only", [("Allow", "POST")])
        arrival = self.arrival(head, came)
        payload = Outgoing(head.method, head.target, [h for h in head.raw if h[0].lower() not in HOP], body)
        exchange = Exchange(self, conn, close)
        return self.core.arrive(arrival, head.get("x-request-id"), payload, exchange), exchange

    def arrival(self, head: Head, came: int) -> Arrival:
        key, name = head.get("x-request-id"), head.get("x-priority-class")
        if not key or len(key) > 128 or not all(c.isascii() and (c.isalnum() or c in "-_.~:") for c in key):
            raise Bad(400, "X-Request-ID is missing or malformed")
        if any(r.key == key for r in self.core.open.values()):
            raise Bad(409, "a request with this X-Request-ID is under way")  # it must not run twice
        spec = self.core.settings.classes.get(name)
        timeout = head.get("x-timeout-ms") or str((spec.give_up if spec else NO_TIMEOUT) // MS)
        attrs = dict(pair.strip().partition("=")[::2] for pair in head.get("x-attrs").split(",") if pair)
        try:
            left = int(timeout) * MS
            lengths = [int(attrs.get(n) or 0) for n in ("prompt_len", "prefix_len", "max_out")]
        except ValueError:
            raise Bad(400, "X-Timeout-Ms and the lengths in X-Attrs must be whole numbers") from None
        if min(left, *lengths) < 0 or max(left // MS, *lengths) > 10**9:
            raise Bad(400, "X-Timeout-Ms and the lengths in X-Attrs must be in range")
        left -= self.loop.now() - came  # it has been running since the client sent it
        return Arrival(0, name, max(0, left), lengths[0], head.get("x-route-key"), attrs.get("prefix", ""),
                       lengths[1], lengths[2], tenant=head.get("x-tenant-id"),
                       repeat=head.get("x-retried") == "1")
