"""What the stream account keeps and orders: streams, connections, limits and orders.

The module is pure: no I/O, and no clock. Times are nanoseconds of any clock that is not set back.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

MS = 1_000_000  # nanoseconds
SECOND = 1_000_000_000  # nanoseconds
MAX_STREAM_ID = 2**31 - 1  # RFC 9113, 5.1.1
NO_LAST = MAX_STREAM_ID  # "none yet", as the first of two GOAWAY frames says it (RFC 9113, 6.8)
LAST_ID = MAX_STREAM_ID - 2000  # from this stream id on a connection is retired
RESERVE_FROM = 4  # from this stream limit on, one place on each connection is reserved for calls


class StreamOutcome(Enum):
    """What is known of a request whose stream has ended."""

    NOT_PROCESSED = "it never ran there: it may be sent again, whatever it is"
    UNCERTAIN = "it may have run"
    ANSWERED = "its response is complete"


class StreamStage(Enum):
    """How far a request has come on its connection."""

    WAITING = 0  # for a place
    PLACED = 1  # it has one; nothing of it is written
    BEGUN = 2  # its headers are in what is to be written
    COMMITTED = 3  # its end is in what is to be written
    SENT = 4  # its end was taken by the socket
    OVER = 5


class Phase(Enum):
    """The phase of a connection."""

    OPENING = 0  # the server's own SETTINGS have not arrived: nothing is sent on it
    READY = 1
    CLOSING = 2  # the streams on it go on; none is added
    GONE = 3


@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """The limits for one server; times in nanoseconds."""

    max_connections: int = 2  # open to it at once, beside those that close
    max_streams: int = 256  # on one connection, whatever the server allows
    max_waiting: int = 64  # requests, and as many calls, that wait for a place
    request_wait: int = 250 * MS  # of a request for its place
    call_wait: int = 400 * MS  # of a call for its place
    settings_timeout: int = 300 * MS  # until the server's own SETTINGS arrive
    idle_timeout: int = 30 * SECOND  # without a stream, until it is retired
    ping_after: int = SECOND  # of silence while streams are open
    ping_timeout: int = SECOND  # for any bytes after that
    recheck_after: int = (
        30 * SECOND
    )  # after silence in place of SETTINGS, until HTTP/2 is tried again
    initial_backoff: int = 100 * MS  # after a connection that served nothing; doubles
    max_backoff: int = 5 * SECOND
    max_overhead_frames: int = 1000  # frames that carry nothing, at once; half of it a second


class Ticket:
    """One request or call, from asking for a place to its end."""

    __slots__ = ("answering", "call", "connection", "outcome", "owner", "stage", "stream", "until")

    def __init__(self, call: bool, until: int, owner: object):
        self.call = call  # whether it carries no request
        self.until = until  # it waits for a place no longer
        self.owner = owner  # the driver's own object
        self.stage = StreamStage.WAITING
        self.connection: ConnectionRecord | None = None
        self.stream = 0  # its id, once it has begun
        self.answering = False  # a part of its response has arrived
        self.outcome: StreamOutcome | None = None  # once it is over


class ConnectionRecord:
    """One connection and its streams."""

    __slots__ = (
        "begun",
        "blocked",
        "heard",
        "last_id",
        "limit",
        "noise",
        "number",
        "phase",
        "pinged_at",
        "placed",
        "served",
        "since",
        "tickets",
    )

    def __init__(self, number: int, now: int):
        self.number = number
        self.phase = Phase.OPENING
        self.limit = 0  # of streams, as the server has it now
        self.last_id = NO_LAST  # of a stream that the server will process
        self.tickets: dict[int, Ticket] = {}  # by stream id
        self.placed = 0  # tickets that have a place and no stream yet
        self.blocked = False  # written bytes wait for the socket: headers would go out late
        self.since = now  # when it was opened, or when its last stream ended
        self.heard = now  # when its last bytes arrived
        self.pinged_at = 0  # when a PING was sent that has not been answered; 0: none
        self.noise = 0.0  # frames that carry nothing, less what is forgiven
        self.begun = 0  # streams that were begun on it
        self.served = 0  # streams that were answered on it

    @property
    def open(self) -> int:
        """The number of streams on it, with those that are about to begin."""
        return len(self.tickets) + self.placed

    def room(self, call: bool) -> int:
        """Return how many more requests, or calls, may begin on it."""
        if self.phase is not Phase.READY or self.blocked:
            return 0
        reserved = 1 if self.limit >= RESERVE_FROM and not call else 0
        return max(0, self.limit - reserved - self.open)


@dataclass(slots=True)
class Dial:
    """Open this connection; ready() or unopened() follows."""

    connection: ConnectionRecord


@dataclass(slots=True)
class Grant:
    """The ticket has a place: begun() or withdraw() follows before the next order is fetched."""

    ticket: Ticket


@dataclass(slots=True)
class Over:
    """The ticket is over without a complete response."""

    ticket: Ticket
    outcome: StreamOutcome
    why: str


@dataclass(slots=True)
class Ping:
    """Send a PING on this connection."""

    connection: ConnectionRecord


@dataclass(slots=True)
class Close:
    """Close this connection; the account does not have it any more."""

    connection: ConnectionRecord
    why: str
    error: bool = False  # it was cut off for what the server did


Order = Dial | Grant | Over | Ping | Close
