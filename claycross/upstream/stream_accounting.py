"""The account of the streams on one server's connections: what ran, and where the next one goes.

The account has every connection to the server, every stream on them and every request that waits
for a place. It decides which connection takes the next request, when another one is opened and
when one is retired, and what is known of a request when its stream ends: it never calls one "not
processed" that may have run.

A driver reports what happens (`ask`, `ready`, `limited`, `goaway`, `broken`, ...) with the time,
and fetches orders with `order(now)` until there is none. The module is pure: no I/O, and no clock.
Times are nanoseconds of any clock that is not set back.
"""

from __future__ import annotations

from collections import Counter, deque

from ..invariant import invariant
from .stream_records import (
    LAST_ID,
    MS,
    NO_LAST,
    SECOND,
    Close,
    ConnectionLimits,
    ConnectionRecord,
    Dial,
    Grant,
    Order,
    Over,
    Phase,
    Ping,
    StreamOutcome,
    StreamStage,
    Ticket,
)

__all__ = ["MS", "SECOND", "ConnectionLimits", "StreamAccount"]

FORGIVEN_FRAMES = 8  # frames that carry nothing, forgiven for each stream begun
NOT_SPOKEN = -1  # as StreamAccount.unspoken: HTTP/2 is not spoken there, until the list changes
ON_A_STREAM = (StreamStage.BEGUN, StreamStage.COMMITTED, StreamStage.SENT)


class StreamAccount:
    """The account of one server, as long as the list names the same process there."""

    def __init__(self, limits: ConnectionLimits):
        self.limits = limits
        self.links: list[ConnectionRecord] = []  # the connections, oldest first
        self.calls: deque[Ticket] = deque()  # that wait for a place
        self.requests: deque[Ticket] = deque()  # that wait for a place
        self.owed: deque[Order] = deque()  # orders that the driver has not fetched
        # Until then HTTP/2 is taken not to be spoken there; or NOT_SPOKEN.
        self.unspoken = 0
        self.proof = ""  # of that: "junk", "closed" or "silent"
        self.proven = False  # HTTP/2 was spoken there once
        self.not_before = 0  # no connection is opened until then
        self.pause = limits.initial_backoff  # after the next connection that serves nothing
        self.last = 0  # number of the newest connection
        self.leaving = False  # the server has left the list
        self.counts: Counter[str] = Counter()

    # ------------------------------------------------------------ requests

    def speaks(self, now: int) -> bool:
        """Return whether HTTP/2 is taken to be spoken there."""
        return self.unspoken != NOT_SPOKEN and now >= self.unspoken

    def ask(self, call: bool, now: int, owner: object, wait: int | None = None) -> Ticket:
        """Ask for a place for a request, or for a call, which goes first.

        The ticket waits for it no longer than `wait` and the limit.
        """
        longest = self.limits.call_wait if call else self.limits.request_wait
        if wait is not None:
            longest = min(longest, max(0, wait))
        ticket = Ticket(call, now + longest, owner)
        queue = self.calls if call else self.requests
        if self.leaving:
            self.over(ticket, StreamOutcome.NOT_PROCESSED, "left the list")
        elif self.held_back(now):
            self.over(ticket, StreamOutcome.NOT_PROCESSED, "held back")
        elif len(queue) >= self.limits.max_waiting:
            self.over(ticket, StreamOutcome.NOT_PROCESSED, "too many wait")
        else:
            queue.append(ticket)
        return ticket

    def withdraw(self, ticket: Ticket, now: int) -> StreamOutcome:
        """End a ticket on behalf of its owner; return what is known of the request.

        One that is not committed can't have run, as its end is never sent.
        """
        if ticket.outcome:
            return ticket.outcome
        committed = ticket.stage in (StreamStage.COMMITTED, StreamStage.SENT)
        if committed or ticket.answering:
            outcome = StreamOutcome.UNCERTAIN
        else:
            outcome = StreamOutcome.NOT_PROCESSED
        ticket.outcome = outcome
        self.counts["withdrawn"] += 1
        self.leave(ticket, now)
        return outcome

    def begun(self, ticket: Ticket, stream: int) -> None:
        """Note that the ticket's headers are written on its connection, as this stream."""
        connection = ticket.connection
        assert connection is not None, "a ticket that has begun has a connection"
        invariant(
            ticket.stage is StreamStage.PLACED and connection.phase is Phase.READY,
            "begun-in-place",
            f"{ticket.stage} on a connection that is {connection.phase}",
        )
        invariant(stream not in connection.tickets, "stream-new", str(stream))
        ticket.stage = StreamStage.BEGUN
        ticket.stream = stream
        connection.placed -= 1
        connection.tickets[stream] = ticket
        connection.begun += 1
        connection.noise = max(0.0, connection.noise - FORGIVEN_FRAMES)
        if stream >= LAST_ID:
            self.closing(connection)

    def committed(self, ticket: Ticket) -> None:
        """Note that the end of the request is in what is to be written.

        From now on it may run, unless the connection breaks before its end is written.
        """
        if invariant(ticket.stage is StreamStage.BEGUN, "committed-once", str(ticket.stage)):
            ticket.stage = StreamStage.COMMITTED

    def sent(self, connection: ConnectionRecord, stream: int) -> None:
        """Note that the socket has taken the end of the request."""
        ticket = connection.tickets.get(stream)
        if ticket:
            invariant(ticket.stage is StreamStage.COMMITTED, "sent-once", str(ticket.stage))
            ticket.stage = StreamStage.SENT

    # ------------------------------------------------------------ responses

    def answering(self, connection: ConnectionRecord, stream: int) -> Ticket | None:
        """Note that a part of a response arrived; return its ticket if that is not over."""
        ticket = connection.tickets.get(stream)
        if ticket:
            ticket.answering = True
        return ticket

    def answered(self, ticket: Ticket, now: int) -> None:
        """Note that the response is complete."""
        if ticket.outcome:
            return
        ticket.outcome = StreamOutcome.ANSWERED
        if ticket.connection:
            ticket.connection.served += 1
        self.proven = True
        self.pause = self.limits.initial_backoff
        self.counts["answered"] += 1
        self.leave(ticket, now)

    def reset(self, connection: ConnectionRecord, stream: int, refused: bool, now: int) -> None:
        """Note that the server reset a stream.

        One that was refused never ran (RFC 9113, 8.7), unless a part of its response has arrived.
        """
        ticket = connection.tickets.get(stream)
        if not ticket:
            return
        if refused and not ticket.answering:
            self.end(ticket, StreamOutcome.NOT_PROCESSED, "refused", now)
        else:
            self.end(ticket, StreamOutcome.UNCERTAIN, "reset", now)

    # ------------------------------------------------------------ connections

    def ready(self, connection: ConnectionRecord, limit: int, now: int) -> None:
        """Note that the server's own SETTINGS arrived."""
        if connection.phase is not Phase.OPENING:
            return
        connection.phase = Phase.READY
        connection.heard = now
        connection.since = now
        self.proven = True
        self.limited(connection, limit)
        if self.leaving:
            self.closing(connection)

    def limited(self, connection: ConnectionRecord, limit: int) -> None:
        """Note how many streams the server allows now.

        Streams beyond a lower limit go on, and none is added.
        """
        connection.limit = max(0, min(limit, self.limits.max_streams))

    def unopened(self, connection: ConnectionRecord, how: str, now: int) -> None:
        """Note that a connection was not established; nothing was sent on it.

        `how` is "refused" (no connection), "junk" (another protocol answered), or "silent" or
        "closed" (no SETTINGS).
        """
        if connection not in self.links:
            return
        self.remove(connection)
        others = any(other.phase is Phase.READY for other in self.links)
        if how == "refused":
            self.counts["refused"] += 1
            if not others:
                self.fail_waiting("no connection")
        elif how == "junk" or not self.proven:
            # A server that closes or is silent without ever having spoken HTTP/2 may have a
            # temporary fault: it is tried again later.
            self.unspoken = NOT_SPOKEN if how == "junk" else now + self.limits.recheck_after
            self.proof = how
            self.counts["unspoken"] += 1
            self.fail_waiting("not spoken")
        else:
            self.hold(now)
            if not others:
                self.fail_waiting("no settings")

    def goaway(self, connection: ConnectionRecord, last_id: int, code: int, now: int) -> None:
        """Note that the server closes: no stream is added, and those over `last_id` never ran."""
        if connection.phase is Phase.GONE:
            return
        if connection.phase is Phase.OPENING:
            self.cut(connection, "goaway in place of settings", now)
            return
        self.counts["goaway"] += 1
        if last_id > connection.last_id:
            # What was given up as not processed may run after all: this server's word is not
            # trusted any more.
            self.cut(connection, "goaway with a last id that rises", now)
            return
        connection.last_id = last_id
        unused = connection.phase is Phase.READY and not connection.begun
        self.closing(connection)
        if code or unused:
            self.hold(now)
        for stream, ticket in sorted(connection.tickets.items()):
            if stream <= last_id:
                continue
            if ticket.answering:
                self.end(ticket, StreamOutcome.UNCERTAIN, "goaway", now)
            else:
                self.end(ticket, StreamOutcome.NOT_PROCESSED, "goaway", now)

    def broken(self, connection: ConnectionRecord, now: int, why: str = "broken") -> None:
        """Note that a connection is closed or broke."""
        if connection not in self.links:
            return
        if connection.phase is Phase.OPENING:
            self.unopened(connection, "closed", now)
            return
        for ticket in list(connection.tickets.values()):
            if ticket.stage is StreamStage.SENT or ticket.answering:
                self.end(ticket, StreamOutcome.UNCERTAIN, why, now)
            else:
                self.end(ticket, StreamOutcome.NOT_PROCESSED, why, now)
        unused = connection.phase is Phase.READY and not connection.begun
        self.remove(connection)
        if unused:
            self.hold(now)

    def heard(self, connection: ConnectionRecord, now: int, noise: int = 0) -> None:
        """Note that bytes arrived; `noise`: frames among them that carry nothing of a response."""
        if noise:
            forgiven = (now - connection.heard) * self.limits.max_overhead_frames / (2 * SECOND)
            connection.noise = max(0.0, connection.noise - forgiven) + noise
            if (
                connection.noise > self.limits.max_overhead_frames
                and connection.phase is not Phase.GONE
            ):
                self.counts["flood"] += 1
                self.cut(connection, "flood of frames that carry nothing", now)
        connection.heard = now
        connection.pinged_at = 0

    def set_blocked(self, connection: ConnectionRecord, blocked: bool) -> None:
        """Note whether bytes wait for the socket; no headers are written behind them."""
        connection.blocked = blocked

    def leave_list(self, now: int) -> None:
        """Note that the list does not name this server any more; its streams go on."""
        self.leaving = True
        self.fail_waiting("left the list")
        for connection in list(self.links):
            if connection.phase is not Phase.OPENING:
                self.closing(connection)

    def anew(self) -> None:
        """Note that the list named this server again: it may speak HTTP/2 now."""
        self.unspoken = 0

    def tick(self, now: int) -> None:
        """Do what is due at this time."""
        for queue in (self.calls, self.requests):
            for ticket in [ticket for ticket in queue if now >= ticket.until]:
                queue.remove(ticket)
                self.over(ticket, StreamOutcome.NOT_PROCESSED, "no place")
        for connection in list(self.links):
            self.tick_connection(connection, now)

    def tick_connection(self, connection: ConnectionRecord, now: int) -> None:
        """Do what is due on one connection."""
        if connection.phase is Phase.OPENING:
            if now - connection.since >= self.limits.settings_timeout:
                self.unopened(connection, "silent", now)
                self.owed.append(Close(connection, "no settings", True))
        elif self.needs_liveness(connection) and self.liveness_due(connection, now):
            self.check_liveness(connection, now)
        elif not connection.open and self.is_retired(connection, now):
            self.remove(connection)
            self.owed.append(Close(connection, "no longer used"))

    def needs_liveness(self, connection: ConnectionRecord) -> bool:
        """Return whether requests depend on the connection, so that a dead one must be detected."""
        if connection.tickets:
            return True
        return connection.phase is Phase.READY and not connection.limit and self.waits > 0

    def liveness_due(self, connection: ConnectionRecord, now: int) -> bool:
        """Return whether the connection has been silent for long enough to act."""
        if connection.pinged_at:
            return now - connection.pinged_at >= self.limits.ping_timeout
        return now - connection.heard >= self.limits.ping_after

    def check_liveness(self, connection: ConnectionRecord, now: int) -> None:
        """Send a PING, or close a connection that did not answer one."""
        if connection.pinged_at:
            self.counts["dead"] += 1
            self.cut(connection, "no sign of life", now)
        else:
            connection.pinged_at = now
            self.owed.append(Ping(connection))

    def is_retired(self, connection: ConnectionRecord, now: int) -> bool:
        """Return whether a connection without streams is closed now."""
        return (
            connection.phase is Phase.CLOSING or now - connection.since >= self.limits.idle_timeout
        )

    # ------------------------------------------------------------ orders

    @property
    def waits(self) -> int:
        """The number of tickets that wait for a place."""
        return len(self.calls) + len(self.requests)

    def order(self, now: int) -> Order | None:
        """Return the next order, one at a time: carrying it out may change those after it."""
        if self.owed:
            return self.owed.popleft()
        for queue, call in ((self.calls, True), (self.requests, False)):
            connection = self.choose(call) if queue else None
            if connection:
                ticket = queue.popleft()
                ticket.stage = StreamStage.PLACED
                ticket.connection = connection
                connection.placed += 1
                return Grant(ticket)
        if self.wants_another(now):
            self.last += 1
            connection = ConnectionRecord(self.last, now)
            self.links.append(connection)
            self.counts["opened"] += 1
            return Dial(connection)
        return None

    def choose(self, call: bool) -> ConnectionRecord | None:
        """Return the oldest connection that has room.

        Those that were opened for a burst become idle after it, and are retired.
        """
        return next((link for link in self.links if link.room(call) > 0), None)

    def wants_another(self, now: int) -> bool:
        """Return whether another connection is to be opened.

        Only one is opened at a time, so that its places count before the next is opened. None is
        opened where the server allows no stream at all: another connection would not change that.
        """
        if not self.waits or self.leaving or now < self.not_before or not self.speaks(now):
            return False
        if any(link.phase is Phase.OPENING for link in self.links):
            return False
        ready = [link for link in self.links if link.phase is Phase.READY]
        if ready and not any(link.limit for link in ready):
            return False
        limit = self.limits.max_connections + (1 if self.calls else 0)
        return len(ready) < limit and len(self.links) < 2 * limit

    def held_back(self, now: int) -> bool:
        """Return whether there is no connection, and none may be opened yet."""
        return now < self.not_before and not any(link.phase is Phase.READY for link in self.links)

    def hold(self, now: int) -> None:
        """Open no connection for a while (exponential backoff).

        This protects a server with a fault, and this process's descriptors, against connection
        after connection.
        """
        self.not_before = now + self.pause
        self.pause = min(2 * self.pause, self.limits.max_backoff)
        if self.held_back(now):
            self.fail_waiting("held back")

    # ------------------------------------------------------------ bookkeeping

    def cut(self, connection: ConnectionRecord, why: str, now: int) -> None:
        """Close a connection for what the server did."""
        opening = connection.phase is Phase.OPENING
        self.broken(connection, now, why)
        if opening:
            self.hold(now)
        self.owed.append(Close(connection, why, True))

    def closing(self, connection: ConnectionRecord) -> None:
        """Add no stream to a connection any more."""
        connection.phase = Phase.CLOSING

    def remove(self, connection: ConnectionRecord) -> None:
        """Forget a connection that has no streams."""
        self.links.remove(connection)
        connection.phase = Phase.GONE
        invariant(
            not connection.open,
            "nothing-left-on-it",
            f"{connection.open} streams of a connection that is gone",
        )

    def fail_waiting(self, why: str) -> None:
        """End all tickets that wait for a place."""
        for queue in (self.calls, self.requests):
            while queue:
                self.over(queue.popleft(), StreamOutcome.NOT_PROCESSED, why)

    def leave(self, ticket: Ticket, now: int) -> None:
        """Remove a ticket from its queue or its connection."""
        connection = ticket.connection
        if connection is None:
            queue = self.calls if ticket.call else self.requests
            if ticket in queue:
                queue.remove(ticket)
        elif ticket.stage is StreamStage.PLACED:
            connection.placed -= 1
        else:
            found = connection.tickets.pop(ticket.stream, None)
            invariant(found is ticket, "stream-known", str(ticket.stream))
        ticket.stage = StreamStage.OVER
        if connection and not connection.open:
            connection.since = now
            connection.pinged_at = 0

    def end(self, ticket: Ticket, outcome: StreamOutcome, why: str, now: int) -> None:
        """End a ticket that has a place, without a complete response."""
        self.leave(ticket, now)
        self.over(ticket, outcome, why)

    def over(self, ticket: Ticket, outcome: StreamOutcome, why: str) -> None:
        """Note the outcome of a ticket without a complete response, for its owner too."""
        ticket.stage = StreamStage.OVER
        ticket.outcome = outcome
        self.counts["never" if outcome is StreamOutcome.NOT_PROCESSED else "maybe"] += 1
        self.owed.append(Over(ticket, outcome, why))

    def check(self) -> None:
        """Check the invariants of the account."""
        ready = [link for link in self.links if link.phase is Phase.READY]
        invariant(
            len(ready) <= self.limits.max_connections + 1, "connections-bounded", str(len(ready))
        )
        longest_queue = max(len(self.calls), len(self.requests))
        invariant(longest_queue <= self.limits.max_waiting, "waiting-bounded")
        for connection in self.links:
            self.check_connection(connection)

    def check_connection(self, connection: ConnectionRecord) -> None:
        """Check the invariants of one connection."""
        name = f"connection {connection.number}"
        balanced = all(
            ticket.connection is connection
            and ticket.stream == stream
            and ticket.stage in ON_A_STREAM
            for stream, ticket in connection.tickets.items()
        )
        invariant(connection.placed >= 0 and balanced, "streams-balanced", name)
        invariant(
            connection.last_id == NO_LAST
            or all(stream <= connection.last_id for stream in connection.tickets),
            "none-over-the-last-id",
            name,
        )
