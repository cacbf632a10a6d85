"""The account of the streams on one server's connections.

The account has every connection to the server, every stream on them and every request that waits
for a stream. It decides which connection takes the next request, when another one is opened and
when one is retired. When a stream ends, it decides what is known of the request: it never calls one
"not processed" that may have run.

A driver reports what happens, with the time, and fetches actions with `next_action(now)` until
there is none. The module is pure: no I/O, and no clock. Times are nanoseconds of any monotonic
clock.
"""

from __future__ import annotations

from collections import Counter, deque

from ..invariant import invariant
from .stream_records import (
    MS,
    RETIREMENT_STREAM_ID,
    SECOND,
    Action,
    CloseConnection,
    ConnectFailure,
    ConnectionLimits,
    ConnectionPhase,
    ConnectionRecord,
    Dial,
    EndReason,
    SendPing,
    StartStream,
    StreamFailed,
    StreamOutcome,
    StreamRecord,
    StreamStage,
)

__all__ = ["MS", "SECOND", "ConnectionLimits", "StreamAccount"]

# Frames without response content that are allowed for each stream, beside the allowance by time.
OVERHEAD_FRAMES_PER_STREAM = 8
UNTIL_LISTED_AGAIN = -1  # as StreamAccount.unsupported_until


class StreamAccount:
    """The account of one server, for as long as the endpoint list has the same process there."""

    def __init__(self, limits: ConnectionLimits):
        self.limits = limits
        self.connections: list[ConnectionRecord] = []  # oldest first
        self.waiting_calls: deque[StreamRecord] = deque()
        self.waiting_requests: deque[StreamRecord] = deque()
        self.pending_actions: deque[Action] = deque()  # the driver has not fetched them
        # HTTP/2 is assumed to be unsupported until this time, or UNTIL_LISTED_AGAIN.
        self.unsupported_until = 0
        self.unsupported_cause: ConnectFailure | None = None  # why it is assumed so
        self.http2_confirmed = False  # the server has used HTTP/2 before
        self.dial_not_before = 0  # no connection is opened before this time
        self.backoff = limits.initial_backoff  # after the next connection that serves no request
        self.last_connection_number = 0
        self.is_listed = True  # in the endpoint list
        self.counts: Counter[str] = Counter()

    # ------------------------------------------------------------ requests

    def supports_http2(self, now: int) -> bool:
        """Return whether the server is assumed to support HTTP/2."""
        return self.unsupported_until != UNTIL_LISTED_AGAIN and now >= self.unsupported_until

    def request_stream(
        self, is_call: bool, now: int, owner: object, max_wait: int | None = None
    ) -> StreamRecord:
        """Ask for a stream for a request, or for a call, which takes precedence.

        It waits for the stream no longer than `max_wait` and the limit.
        """
        wait = self.limits.call_wait if is_call else self.limits.request_wait
        if max_wait is not None:
            wait = min(wait, max(0, max_wait))
        stream = StreamRecord(is_call, now + wait, owner)
        queue = self.waiting_calls if is_call else self.waiting_requests
        if not self.is_listed:
            self.finish_incomplete(stream, StreamOutcome.NOT_PROCESSED, EndReason.NOT_LISTED)
        elif self.is_backing_off(now):
            self.finish_incomplete(stream, StreamOutcome.NOT_PROCESSED, EndReason.BACKING_OFF)
        elif len(queue) >= self.limits.max_waiting:
            self.finish_incomplete(stream, StreamOutcome.NOT_PROCESSED, EndReason.QUEUE_FULL)
        else:
            queue.append(stream)
        return stream

    def withdraw(self, stream: StreamRecord, now: int) -> StreamOutcome:
        """End a stream on behalf of its owner; return what is known of the request.

        Without its end queued, the request can't have run: the end is never sent.
        """
        if stream.outcome:
            return stream.outcome
        end_queued = stream.stage in (StreamStage.END_QUEUED, StreamStage.END_SENT)
        if end_queued or stream.response_started:
            outcome = StreamOutcome.UNCERTAIN
        else:
            outcome = StreamOutcome.NOT_PROCESSED
        stream.outcome = outcome
        self.counts["withdrawn"] += 1
        self.detach(stream, now)
        return outcome

    def headers_queued(self, stream: StreamRecord, stream_id: int) -> None:
        """Note that a stream's headers are in its connection's output, with this id."""
        connection = stream.connection
        assert connection is not None, "a stream that is started has a connection"
        invariant(
            stream.stage is StreamStage.ASSIGNED and connection.phase is ConnectionPhase.READY,
            "begun-in-place",
            f"{stream.stage} on a connection in {connection.phase}",
        )
        invariant(stream_id not in connection.streams, "stream-new", str(stream_id))
        stream.stage = StreamStage.HEADERS_QUEUED
        stream.stream_id = stream_id
        connection.assigned -= 1
        connection.streams[stream_id] = stream
        connection.streams_started += 1
        overhead = connection.overhead_frames - OVERHEAD_FRAMES_PER_STREAM
        connection.overhead_frames = max(0.0, overhead)
        if stream_id >= RETIREMENT_STREAM_ID:
            self.drain(connection)

    def end_queued(self, stream: StreamRecord) -> None:
        """Note that the end of a request is in its connection's output.

        From now on it may run, unless the connection breaks before its end is sent.
        """
        is_started = stream.stage is StreamStage.HEADERS_QUEUED
        if invariant(is_started, "committed-once", str(stream.stage)):
            stream.stage = StreamStage.END_QUEUED

    def end_sent(self, connection: ConnectionRecord, stream_id: int) -> None:
        """Note that the socket has taken the end of a request."""
        stream = connection.streams.get(stream_id)
        if stream:
            invariant(stream.stage is StreamStage.END_QUEUED, "sent-once", str(stream.stage))
            stream.stage = StreamStage.END_SENT

    # ------------------------------------------------------------ responses

    def response_started(self, connection: ConnectionRecord, stream_id: int) -> None:
        """Note that a part of a response arrived."""
        stream = connection.streams.get(stream_id)
        if stream:
            stream.response_started = True

    def response_completed(self, stream: StreamRecord, now: int) -> None:
        """Note that a response is complete."""
        if stream.outcome:
            return
        stream.outcome = StreamOutcome.COMPLETED
        self.http2_confirmed = True
        self.backoff = self.limits.initial_backoff
        self.counts["answered"] += 1
        self.detach(stream, now)

    def stream_reset(
        self, connection: ConnectionRecord, stream_id: int, refused: bool, now: int
    ) -> None:
        """Note that the server reset a stream.

        A refused one was not processed (RFC 9113, 8.7), unless a part of its response has arrived.
        """
        stream = connection.streams.get(stream_id)
        if not stream:
            return
        if refused and not stream.response_started:
            self.fail_started(stream, StreamOutcome.NOT_PROCESSED, EndReason.REFUSED, now)
        else:
            self.fail_started(stream, StreamOutcome.UNCERTAIN, EndReason.RESET, now)

    # ------------------------------------------------------------ connections

    def settings_received(self, connection: ConnectionRecord, limit: int, now: int) -> None:
        """Note that the server's own SETTINGS arrived, with its limit of streams."""
        if connection.phase is not ConnectionPhase.OPENING:
            return
        connection.phase = ConnectionPhase.READY
        connection.received_at = now
        connection.inactive_since = now
        self.http2_confirmed = True
        self.limit_changed(connection, limit)
        if not self.is_listed:
            self.drain(connection)

    def limit_changed(self, connection: ConnectionRecord, limit: int) -> None:
        """Note how many concurrent streams the server allows now.

        Streams above a lowered limit go on, and none is added.
        """
        connection.stream_limit = max(0, min(limit, self.limits.max_streams))

    def connect_failed(
        self, connection: ConnectionRecord, failure: ConnectFailure, now: int
    ) -> None:
        """Note that a connection ended before the server's SETTINGS; nothing was sent on it."""
        if connection not in self.connections:
            return
        self.remove(connection)
        has_ready = any(other.phase is ConnectionPhase.READY for other in self.connections)
        if failure is ConnectFailure.REFUSED:
            self.counts["refused"] += 1
            if not has_ready:
                self.fail_waiting(EndReason.CONNECT_FAILED)
        elif failure is ConnectFailure.OTHER_PROTOCOL or not self.http2_confirmed:
            # A server that closed or was silent, and has never used HTTP/2, may have a temporary
            # fault: HTTP/2 is tried again later.
            if failure is ConnectFailure.OTHER_PROTOCOL:
                self.unsupported_until = UNTIL_LISTED_AGAIN
            else:
                self.unsupported_until = now + self.limits.recheck_after
            self.unsupported_cause = failure
            self.counts["unspoken"] += 1
            self.fail_waiting(EndReason.NOT_SUPPORTED)
        else:
            self.back_off(now)
            if not has_ready:
                self.fail_waiting(EndReason.NO_SETTINGS)

    def goaway_received(
        self, connection: ConnectionRecord, last_stream_id: int, code: int, now: int
    ) -> None:
        """Note a GOAWAY: no stream is added, and those above `last_stream_id` did not run."""
        if connection.phase is ConnectionPhase.REMOVED:
            return
        if connection.phase is ConnectionPhase.OPENING:
            self.abort_connection(connection, EndReason.EARLY_GOAWAY, now)
            return
        self.counts["goaway"] += 1
        if last_stream_id > connection.last_stream_id:
            # Streams that were reported as not processed may run after all: nothing more that the
            # server says on this connection is relied on.
            self.abort_connection(connection, EndReason.GOAWAY_ID_INCREASED, now)
            return
        connection.last_stream_id = last_stream_id
        is_unused = connection.is_unused
        self.drain(connection)
        if code or is_unused:
            self.back_off(now)
        for stream_id, stream in sorted(connection.streams.items()):
            if stream_id <= last_stream_id:
                continue
            if stream.response_started:
                self.fail_started(stream, StreamOutcome.UNCERTAIN, EndReason.GOAWAY, now)
            else:
                self.fail_started(stream, StreamOutcome.NOT_PROCESSED, EndReason.GOAWAY, now)

    def connection_lost(
        self, connection: ConnectionRecord, now: int, reason: str = EndReason.BROKEN
    ) -> None:
        """Note that a connection broke or was closed."""
        if connection not in self.connections:
            return
        if connection.phase is ConnectionPhase.OPENING:
            self.connect_failed(connection, ConnectFailure.CLOSED, now)
            return
        for stream in list(connection.streams.values()):
            if stream.stage is StreamStage.END_SENT or stream.response_started:
                self.fail_started(stream, StreamOutcome.UNCERTAIN, reason, now)
            else:
                self.fail_started(stream, StreamOutcome.NOT_PROCESSED, reason, now)
        is_unused = connection.is_unused
        self.remove(connection)
        if is_unused:
            self.back_off(now)

    def bytes_received(
        self, connection: ConnectionRecord, now: int, overhead_frames: int = 0
    ) -> None:
        """Note that bytes arrived; `overhead_frames` of their frames had no response content."""
        if overhead_frames:
            elapsed = now - connection.received_at
            allowance = elapsed * self.limits.max_overhead_frames / (2 * SECOND)
            remaining = max(0.0, connection.overhead_frames - allowance)
            connection.overhead_frames = remaining + overhead_frames
            is_flood = connection.overhead_frames > self.limits.max_overhead_frames
            if is_flood and connection.phase is not ConnectionPhase.REMOVED:
                self.counts["flood"] += 1
                self.abort_connection(connection, EndReason.FLOOD, now)
        connection.received_at = now
        connection.ping_sent_at = 0

    def set_blocked(self, connection: ConnectionRecord, blocked: bool) -> None:
        """Note whether bytes wait for the socket; no headers are queued behind them."""
        connection.blocked = blocked

    def removed_from_list(self) -> None:
        """Note that the endpoint list no longer has this server; its streams go on."""
        self.is_listed = False
        self.fail_waiting(EndReason.NOT_LISTED)
        for connection in list(self.connections):
            if connection.phase is not ConnectionPhase.OPENING:
                self.drain(connection)

    def listed_again(self) -> None:
        """Note that the endpoint list has this server again: it may support HTTP/2 now."""
        self.unsupported_until = 0

    def tick(self, now: int) -> None:
        """Handle all timeouts that have expired."""
        for queue in (self.waiting_calls, self.waiting_requests):
            for stream in [stream for stream in queue if now >= stream.wait_deadline]:
                queue.remove(stream)
                outcome = StreamOutcome.NOT_PROCESSED
                self.finish_incomplete(stream, outcome, EndReason.NO_FREE_STREAM)
        for connection in list(self.connections):
            self.tick_connection(connection, now)

    def tick_connection(self, connection: ConnectionRecord, now: int) -> None:
        """Handle the expired timeouts of one connection."""
        if connection.phase is ConnectionPhase.OPENING:
            if now - connection.inactive_since >= self.limits.settings_timeout:
                self.connect_failed(connection, ConnectFailure.SILENT, now)
                self.pending_actions.append(
                    CloseConnection(connection, EndReason.NO_SETTINGS, error=True)
                )
        elif self.needs_liveness_check(connection) and self.liveness_check_due(connection, now):
            self.check_liveness(connection, now)
        elif not connection.open_streams and self.is_retirable(connection, now):
            self.remove(connection)
            self.pending_actions.append(CloseConnection(connection, EndReason.IDLE))

    def needs_liveness_check(self, connection: ConnectionRecord) -> bool:
        """Return whether requests depend on a connection, so that its loss must be detected."""
        if connection.streams:
            return True
        is_ready = connection.phase is ConnectionPhase.READY
        return is_ready and not connection.stream_limit and self.waiting_count > 0

    def liveness_check_due(self, connection: ConnectionRecord, now: int) -> bool:
        """Return whether a PING is due, or the timeout of the last one has expired."""
        if connection.ping_sent_at:
            return now - connection.ping_sent_at >= self.limits.ping_timeout
        return now - connection.received_at >= self.limits.ping_after

    def check_liveness(self, connection: ConnectionRecord, now: int) -> None:
        """Send a PING, or close a connection that did not answer one."""
        if connection.ping_sent_at:
            self.counts["dead"] += 1
            self.abort_connection(connection, EndReason.NO_PING_ANSWER, now)
        else:
            connection.ping_sent_at = now
            self.pending_actions.append(SendPing(connection))

    def is_retirable(self, connection: ConnectionRecord, now: int) -> bool:
        """Return whether a connection without streams is to be closed."""
        if connection.phase is ConnectionPhase.DRAINING:
            return True
        return now - connection.inactive_since >= self.limits.idle_timeout

    # ------------------------------------------------------------ actions

    @property
    def waiting_count(self) -> int:
        """The number of requests and calls that wait for a stream."""
        return len(self.waiting_calls) + len(self.waiting_requests)

    def next_action(self, now: int) -> Action | None:
        """Return one action; executing it may change the following ones."""
        if self.pending_actions:
            return self.pending_actions.popleft()
        for queue, for_call in ((self.waiting_calls, True), (self.waiting_requests, False)):
            connection = self.choose_connection(for_call) if queue else None
            if connection:
                stream = queue.popleft()
                stream.stage = StreamStage.ASSIGNED
                stream.connection = connection
                connection.assigned += 1
                return StartStream(stream)
        if self.should_dial(now):
            self.last_connection_number += 1
            connection = ConnectionRecord(self.last_connection_number, now)
            self.connections.append(connection)
            self.counts["opened"] += 1
            return Dial(connection)
        return None

    def choose_connection(self, for_call: bool) -> ConnectionRecord | None:
        """Return the oldest connection with a free stream.

        Connections that were opened for a burst become idle after it, and are retired.
        """
        return next((c for c in self.connections if c.free_streams(for_call) > 0), None)

    def should_dial(self, now: int) -> bool:
        """Return whether another connection is to be opened.

        One is opened at a time, so that its streams count before the next is opened. None is opened
        if the server allows no streams at all, which another connection would not change.
        """
        if not self.waiting_count or not self.is_listed:
            return False
        if now < self.dial_not_before or not self.supports_http2(now):
            return False
        if any(c.phase is ConnectionPhase.OPENING for c in self.connections):
            return False
        ready = [c for c in self.connections if c.phase is ConnectionPhase.READY]
        if ready and not any(c.stream_limit for c in ready):
            return False
        limit = self.limits.max_connections + (1 if self.waiting_calls else 0)
        return len(ready) < limit and len(self.connections) < 2 * limit

    def is_backing_off(self, now: int) -> bool:
        """Return whether there is no ready connection, and none may be opened yet."""
        has_ready = any(c.phase is ConnectionPhase.READY for c in self.connections)
        return now < self.dial_not_before and not has_ready

    def back_off(self, now: int) -> None:
        """Open no connection for a while (exponential backoff).

        Connections opened one after the other would load a faulty server, and use up this
        process's file descriptors.
        """
        self.dial_not_before = now + self.backoff
        self.backoff = min(2 * self.backoff, self.limits.max_backoff)
        if self.is_backing_off(now):
            self.fail_waiting(EndReason.BACKING_OFF)

    # ------------------------------------------------------------ bookkeeping

    def abort_connection(self, connection: ConnectionRecord, reason: EndReason, now: int) -> None:
        """Close a connection because of the server's behaviour."""
        was_opening = connection.phase is ConnectionPhase.OPENING
        self.connection_lost(connection, now, reason)
        if was_opening:
            self.back_off(now)
        self.pending_actions.append(CloseConnection(connection, reason, error=True))

    def drain(self, connection: ConnectionRecord) -> None:
        """Start no more streams on a connection; those on it go on."""
        connection.phase = ConnectionPhase.DRAINING

    def remove(self, connection: ConnectionRecord) -> None:
        """Remove a connection that has no streams."""
        self.connections.remove(connection)
        connection.phase = ConnectionPhase.REMOVED
        open_streams = connection.open_streams
        invariant(not open_streams, "nothing-left-on-it", f"{open_streams} streams are left")

    def fail_waiting(self, reason: EndReason) -> None:
        """End all requests and calls that wait for a stream."""
        for queue in (self.waiting_calls, self.waiting_requests):
            while queue:
                self.finish_incomplete(queue.popleft(), StreamOutcome.NOT_PROCESSED, reason)

    def detach(self, stream: StreamRecord, now: int) -> None:
        """Remove a stream from its queue or its connection."""
        connection = stream.connection
        if connection is None:
            queue = self.waiting_calls if stream.is_call else self.waiting_requests
            if stream in queue:
                queue.remove(stream)
        elif stream.stage is StreamStage.ASSIGNED:
            connection.assigned -= 1
        else:
            found = connection.streams.pop(stream.stream_id, None)
            invariant(found is stream, "stream-known", str(stream.stream_id))
        stream.stage = StreamStage.FINISHED
        if connection and not connection.open_streams:
            connection.inactive_since = now
            connection.ping_sent_at = 0

    def fail_started(
        self, stream: StreamRecord, outcome: StreamOutcome, reason: str, now: int
    ) -> None:
        """End a stream that is on a connection, without a complete response."""
        self.detach(stream, now)
        self.finish_incomplete(stream, outcome, reason)

    def finish_incomplete(self, stream: StreamRecord, outcome: StreamOutcome, reason: str) -> None:
        """Set the outcome of a stream without a complete response, and report it to its owner."""
        stream.stage = StreamStage.FINISHED
        stream.outcome = outcome
        self.counts["never" if outcome is StreamOutcome.NOT_PROCESSED else "maybe"] += 1
        self.pending_actions.append(StreamFailed(stream, outcome, reason))

    def check(self) -> None:
        """Check the invariants of the account."""
        ready = [c for c in self.connections if c.phase is ConnectionPhase.READY]
        is_bounded = len(ready) <= self.limits.max_connections + 1
        invariant(is_bounded, "connections-bounded", str(len(ready)))
        longest_queue = max(len(self.waiting_calls), len(self.waiting_requests))
        invariant(longest_queue <= self.limits.max_waiting, "waiting-bounded")
        for connection in self.connections:
            connection.check()
