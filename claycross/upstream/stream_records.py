"""The records, limits and actions of the stream account (stream_accounting.py).

The module is pure: no I/O, and no clock. Times are nanoseconds of any monotonic clock.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, StrEnum

from ..invariant import invariant

MS = 1_000_000  # nanoseconds
SECOND = 1_000_000_000  # nanoseconds
MAX_STREAM_ID = 2**31 - 1  # RFC 9113, 5.1.1
# "Not decided yet", as the first of two GOAWAY frames has it (RFC 9113, 6.8).
NO_LAST_STREAM_ID = MAX_STREAM_ID
RETIREMENT_STREAM_ID = MAX_STREAM_ID - 2000  # from this id on a connection takes no new stream
# From this limit on, one stream of each connection is reserved for calls.
MIN_LIMIT_WITH_RESERVED_STREAM = 4


class StreamOutcome(Enum):
    """What is known of a request whose stream has ended."""

    NOT_PROCESSED = "the server did not run it: any request may be sent again"
    UNCERTAIN = "the server may have run it"
    COMPLETED = "its response is complete"


class StreamStage(Enum):
    """How far a request or call has come."""

    WAITING = 0  # for a connection with a free stream
    ASSIGNED = 1  # to a connection; nothing of it is written
    HEADERS_QUEUED = 2  # its headers are in the connection's output
    END_QUEUED = 3  # its last byte is in the connection's output
    END_SENT = 4  # its last byte was taken by the socket
    FINISHED = 5


# Stages of streams that are on a connection, under their ids.
STARTED_STAGES = (StreamStage.HEADERS_QUEUED, StreamStage.END_QUEUED, StreamStage.END_SENT)


class ConnectionPhase(Enum):
    """The phase of a connection."""

    OPENING = 0  # the server's own SETTINGS have not arrived: nothing is sent on it
    READY = 1
    DRAINING = 2  # its streams go on, and no new one is started
    REMOVED = 3  # from the account


class ConnectFailure(StrEnum):
    """How a connection failed before the server's SETTINGS arrived, as it is logged."""

    REFUSED = "refused"  # no TCP connection was established
    OTHER_PROTOCOL = "junk"  # the server answered in another protocol
    SILENT = "silent"  # nothing arrived within the settings timeout
    CLOSED = "closed"  # the server closed the connection


class EndReason(StrEnum):
    """Why a stream ended without a complete response, or why a connection was closed.

    A stream that ends with its connection has the connection's reason.
    """

    # Streams that were never started.
    NOT_LISTED = "engine no longer listed"
    BACKING_OFF = "backoff after failed connections"
    QUEUE_FULL = "waiting queue full"
    NO_FREE_STREAM = "no free stream in time"
    CONNECT_FAILED = "connect failed"
    NOT_SUPPORTED = "HTTP/2 not supported"
    DRAINED = "drained"
    # Streams.
    REFUSED = "refused"
    RESET = "reset"
    CANCELLED = "cancelled"
    GOAWAY = "goaway"
    # Connections.
    IDLE = "idle"
    BROKEN = "broken"
    NO_SETTINGS = "no SETTINGS received"
    NO_PING_ANSWER = "no sign of life"
    FLOOD = "flood of frames without response content"
    EARLY_GOAWAY = "GOAWAY before SETTINGS"
    GOAWAY_ID_INCREASED = "GOAWAY with an increased last stream id"


@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """The limits for one server; times in nanoseconds."""

    max_connections: int = 2  # ready at once; calls may open one more
    max_streams: int = 256  # on one connection, if the server allows more
    max_waiting: int = 64  # requests that wait for a stream, and as many calls
    request_wait: int = 250 * MS  # of a request for a stream
    call_wait: int = 400 * MS  # of a call for a stream
    settings_timeout: int = 300 * MS  # from dialling until the server's own SETTINGS arrive
    idle_timeout: int = 30 * SECOND  # of a connection without streams
    ping_after: int = SECOND  # without received bytes while streams are open
    ping_timeout: int = SECOND  # for any received bytes after a PING
    # After a server closed or was silent in place of SETTINGS, until HTTP/2 is tried again.
    recheck_after: int = 30 * SECOND
    # After a connection that served no request, until the next is opened; doubles each time.
    initial_backoff: int = 100 * MS
    max_backoff: int = 5 * SECOND
    max_overhead_frames: int = 1000  # without response content, in a burst; half of it per second


class StreamRecord:
    """One request or call, from the request for a stream to its end."""

    __slots__ = (
        "connection",
        "is_call",
        "outcome",
        "owner",
        "response_started",
        "stage",
        "stream_id",
        "wait_deadline",
    )

    def __init__(self, is_call: bool, wait_deadline: int, owner: object):
        self.is_call = is_call  # a call that carries no client's request
        self.wait_deadline = wait_deadline  # for a connection with a free stream
        self.owner = owner  # an object of the driver
        self.stage = StreamStage.WAITING
        self.connection: ConnectionRecord | None = None
        self.stream_id = 0  # set once the headers are queued
        self.response_started = False  # a part of its response has arrived
        self.outcome: StreamOutcome | None = None  # set once it is finished


class ConnectionRecord:
    """One connection and its streams."""

    __slots__ = (
        "assigned",
        "blocked",
        "inactive_since",
        "last_stream_id",
        "number",
        "overhead_frames",
        "phase",
        "ping_sent_at",
        "received_at",
        "stream_limit",
        "streams",
        "streams_started",
    )

    def __init__(self, number: int, now: int):
        self.number = number
        self.phase = ConnectionPhase.OPENING
        self.stream_limit = 0  # concurrent streams that the server allows now
        self.last_stream_id = NO_LAST_STREAM_ID  # the server processes no stream above it
        self.streams: dict[int, StreamRecord] = {}  # by id
        self.assigned = 0  # streams assigned to it whose headers are not queued yet
        self.blocked = False  # queued bytes wait for the socket: headers would be sent late
        self.inactive_since = now  # when it was opened, or when its last stream ended
        self.received_at = now  # when bytes arrived last
        self.ping_sent_at = 0  # when an unanswered PING was sent; 0: none
        self.overhead_frames = 0.0  # frames without response content, less the allowance
        self.streams_started = 0

    @property
    def open_streams(self) -> int:
        """The number of its streams, with those that are only assigned to it."""
        return len(self.streams) + self.assigned

    @property
    def is_unused(self) -> bool:
        """Whether the connection became ready and no stream was started on it."""
        return self.phase is ConnectionPhase.READY and not self.streams_started

    def free_streams(self, for_call: bool) -> int:
        """Return how many more requests, or calls, may be started on it."""
        if self.phase is not ConnectionPhase.READY or self.blocked:
            return 0
        reserves_stream = self.stream_limit >= MIN_LIMIT_WITH_RESERVED_STREAM and not for_call
        reserved = 1 if reserves_stream else 0
        return max(0, self.stream_limit - reserved - self.open_streams)

    def check(self) -> None:
        """Check the invariants of its streams."""
        name = f"connection {self.number}"
        is_consistent = all(
            stream.connection is self
            and stream.stream_id == stream_id
            and stream.stage in STARTED_STAGES
            for stream_id, stream in self.streams.items()
        )
        invariant(self.assigned >= 0 and is_consistent, "streams-balanced", name)
        invariant(
            self.last_stream_id == NO_LAST_STREAM_ID
            or all(stream_id <= self.last_stream_id for stream_id in self.streams),
            "none-over-the-last-id",
            name,
        )


@dataclass(slots=True)
class Dial:
    """Open this connection; settings_received() or connect_failed() follows."""

    connection: ConnectionRecord


@dataclass(slots=True)
class StartStream:
    """Start a stream on its connection.

    headers_queued() or withdraw() follows before the next action is fetched.
    """

    stream: StreamRecord


@dataclass(slots=True)
class StreamFailed:
    """Report to the owner of a stream that it ended without a complete response."""

    stream: StreamRecord
    outcome: StreamOutcome
    reason: str


@dataclass(slots=True)
class SendPing:
    """Send a PING on this connection."""

    connection: ConnectionRecord


@dataclass(slots=True)
class CloseConnection:
    """Close this connection, which has been removed from the account."""

    connection: ConnectionRecord
    reason: str
    error: bool = False  # closed because of the server's behaviour


Action = Dial | StartStream | StreamFailed | SendPing | CloseConnection
