"""The stream account: single cases in virtual time, and its invariants for any order of events."""

from dataclasses import replace

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from claycross.upstream.stream_accounting import StreamAccount
from claycross.upstream.stream_records import (
    MS,
    NO_LAST_STREAM_ID,
    RETIREMENT_STREAM_ID,
    SECOND,
    CloseConnection,
    ConnectFailure,
    ConnectionLimits,
    ConnectionPhase,
    Dial,
    EndReason,
    SendPing,
    StartStream,
    StreamFailed,
    StreamOutcome,
    StreamStage,
)

LIMITS = ConnectionLimits(
    max_connections=2,
    max_streams=50,
    max_waiting=5,
    request_wait=250 * MS,
    idle_timeout=4 * SECOND,
    max_overhead_frames=100,
)
STARTED_STAGES = (StreamStage.HEADERS_QUEUED, StreamStage.END_QUEUED, StreamStage.END_SENT)


class Driver:
    """Executes an account's actions and records them."""

    def __init__(self, **limits):
        self.account = StreamAccount(replace(LIMITS, **limits))
        self.now = SECOND
        self.failed = {}  # stream -> its outcome and the reason
        self.pinged = []
        self.closed = []
        self.dialled = []
        self.started = []
        self.last_stream_ids = {}  # by connection

    def run_actions(self):
        while action := self.account.next_action(self.now):
            match action:
                case StartStream(stream):
                    self.start(stream)
                case StreamFailed(stream, outcome, reason):
                    assert stream not in self.failed and stream.outcome is outcome
                    self.failed[stream] = outcome, reason
                case SendPing(connection):
                    self.pinged.append(connection)
                case CloseConnection(connection):
                    self.closed.append(connection)
                case Dial(connection):
                    self.dialled.append(connection)
        self.account.check()

    def start(self, stream):
        connection = stream.connection
        assert connection.phase is ConnectionPhase.READY and not connection.blocked
        assert connection.open_streams <= connection.stream_limit
        stream_id = self.last_stream_ids.get(connection, -1) + 2
        self.last_stream_ids[connection] = stream_id
        self.account.headers_queued(stream, stream_id)
        self.started.append(stream)

    def advance(self, span):
        self.now += span
        self.account.tick(self.now)
        self.run_actions()

    def request(self, is_call=False):
        stream = self.account.request_stream(is_call, self.now, None)
        self.run_actions()
        return stream

    def report(self, event, *args, timed=True):
        """Reports an event by the name of the account's method; `timed`: with the time."""
        getattr(self.account, event)(*args, *([self.now] if timed else []))
        self.run_actions()

    def connect(self, limit=10):
        """Returns a connection that is ready and, if its limit allows, has served one request."""
        first = self.request()
        self.report("settings_received", self.dialled[-1], limit)
        if first.stage is StreamStage.HEADERS_QUEUED:
            self.send(first)
            self.report("response_completed", first)
        return self.dialled[-1]

    def send(self, *streams):
        """Sends the rest of these requests."""
        for stream in streams:
            self.account.end_queued(stream)
            self.account.end_sent(stream.connection, stream.stream_id)


@pytest.mark.parametrize(("last", "code"), [(3, 0), (3, 2), (0, 11), (NO_LAST_STREAM_ID, 0)])
def test_streams_above_the_last_id_of_a_goaway_were_not_processed(last, code):
    d = Driver()
    connection = d.connect()  # with stream 1
    streams = [d.request() for _ in range(3)]  # with the ids 3, 5 and 7
    d.send(*streams)
    d.report("goaway_received", connection, last, code)
    assert {stream.stream_id: d.failed[stream] for stream in d.failed} == {
        stream.stream_id: (StreamOutcome.NOT_PROCESSED, EndReason.GOAWAY)
        for stream in streams
        if stream.stream_id > last
    }
    d.report("connection_lost", connection)
    kept = [stream for stream in streams if stream.stream_id <= last]
    assert [d.failed[stream][0] for stream in kept] == [StreamOutcome.UNCERTAIN] * len(kept)


def test_a_goaway_in_two_steps_starts_no_stream_after_the_first_step():
    d = Driver()
    connection = d.connect()
    old = [d.request(), d.request()]
    d.send(*old)
    d.report("goaway_received", connection, NO_LAST_STREAM_ID, 0)
    later = d.request()
    assert later.stage is StreamStage.WAITING and not d.failed and len(d.dialled) == 2
    d.report("settings_received", d.dialled[1], 10)
    assert later.connection is d.dialled[1]
    d.report("goaway_received", connection, old[0].stream_id, 0)
    assert d.failed == {old[1]: (StreamOutcome.NOT_PROCESSED, EndReason.GOAWAY)}
    d.report("response_completed", old[0])
    d.advance(MS)
    assert d.closed == [connection] and later.stage is StreamStage.HEADERS_QUEUED


def test_an_increased_last_id_of_a_goaway_closes_the_connection():
    d = Driver()
    connection = d.connect()
    streams = [d.request(), d.request()]
    d.send(*streams)
    d.report("goaway_received", connection, 3, 0)
    assert d.failed == {streams[1]: (StreamOutcome.NOT_PROCESSED, EndReason.GOAWAY)}
    d.report("goaway_received", connection, 5, 0)
    assert d.failed[streams[0]][0] is StreamOutcome.UNCERTAIN and d.closed == [connection]
    # Reported before the second GOAWAY, and final.
    assert d.failed[streams[1]][0] is StreamOutcome.NOT_PROCESSED


@pytest.mark.parametrize(
    ("steps", "not_processed"),
    [
        ((), True),
        (("end_queued",), True),
        (("end_queued", "end_sent"), False),
        (("response_started",), False),
        (("end_queued", "response_started"), False),
    ],
)
def test_after_a_lost_connection_only_completely_sent_requests_may_have_run(steps, not_processed):
    d = Driver()
    connection = d.connect()
    stream = d.request()
    for step in steps:
        args = [stream] if step == "end_queued" else [connection, stream.stream_id]
        getattr(d.account, step)(*args)
    d.report("connection_lost", connection)
    expected = StreamOutcome.NOT_PROCESSED if not_processed else StreamOutcome.UNCERTAIN
    assert d.failed[stream][0] is expected


@pytest.mark.parametrize("response_started", [False, True])
@pytest.mark.parametrize("refused", [False, True])
def test_a_refused_stream_was_not_processed_unless_its_response_has_started(
    refused, response_started
):
    d = Driver()
    connection = d.connect()
    stream = d.request()
    d.send(stream)
    if response_started:
        d.account.response_started(connection, stream.stream_id)
    d.report("stream_reset", connection, stream.stream_id, refused)
    not_processed = refused and not response_started
    expected = StreamOutcome.NOT_PROCESSED if not_processed else StreamOutcome.UNCERTAIN
    assert d.failed[stream][0] is expected
    # Resets of finished and unknown streams, and a late response, have no effect.
    d.report("stream_reset", connection, stream.stream_id, refused)
    d.report("stream_reset", connection, 999, True)
    d.report("response_completed", stream)
    assert len(d.failed) == 1


def test_a_limit_of_one_stream_does_not_open_a_connection_for_each_request():
    d = Driver()
    connection = d.connect(limit=1)
    streams = [d.request() for _ in range(4)]
    assert [stream.stage for stream in streams] == [
        StreamStage.HEADERS_QUEUED,
        StreamStage.WAITING,
        StreamStage.WAITING,
        StreamStage.WAITING,
    ]
    d.report("settings_received", d.dialled[1], 1)
    assert streams[1].connection is d.dialled[1] and len(d.dialled) == 2
    assert connection.open_streams == 1
    d.send(streams[0])
    d.report("response_completed", streams[0])
    assert streams[2].connection is connection and d.started[-1] is streams[2]
    call = d.request(is_call=True)  # opens one more connection, for calls only
    assert call.stage is StreamStage.WAITING and len(d.dialled) == 3
    d.report("settings_received", d.dialled[2], 1)
    assert call.connection is d.dialled[2] and streams[3].stage is StreamStage.WAITING


def test_a_limit_lowered_to_zero_and_raised_again():
    d = Driver()
    connection = d.connect()
    running = [d.request() for _ in range(4)]
    d.send(*running)
    d.report("limit_changed", connection, 2, timed=False)
    waiting = d.request()
    assert waiting.stage is StreamStage.WAITING
    assert all(stream.stage is StreamStage.END_SENT for stream in running)
    assert len(d.dialled) == 2
    d.report("settings_received", d.dialled[1], 0)
    d.report("limit_changed", connection, 0, timed=False)
    for stream in running:
        d.report("response_completed", stream)
    # With a limit of zero everywhere, a third connection would not help and is not opened.
    assert waiting.stage is StreamStage.WAITING and len(d.dialled) == 2
    d.report("limit_changed", connection, 1, timed=False)
    assert waiting.stage is StreamStage.HEADERS_QUEUED


def test_waiting_is_limited_in_number_and_time_and_ends_as_not_processed():
    d = Driver()
    d.connect(limit=0)  # its request is the first of the five that may wait
    waiting = [d.request() for _ in range(8)]
    queue_full = (StreamOutcome.NOT_PROCESSED, EndReason.QUEUE_FULL)
    assert [d.failed.get(stream) for stream in waiting] == [None] * 4 + [queue_full] * 4
    d.advance(249 * MS)
    assert len(d.failed) == 4
    d.advance(MS)
    no_free_stream = (StreamOutcome.NOT_PROCESSED, EndReason.NO_FREE_STREAM)
    assert {d.failed[stream] for stream in waiting[:4]} == {no_free_stream}
    assert not d.account.waiting_count


def test_calls_take_precedence_and_have_a_reserved_stream():
    d = Driver()
    d.connect(limit=4)
    requests = [d.request() for _ in range(4)]
    call = d.request(is_call=True)
    assert [request.stage for request in requests] == [
        StreamStage.HEADERS_QUEUED,
        StreamStage.HEADERS_QUEUED,
        StreamStage.HEADERS_QUEUED,
        StreamStage.WAITING,
    ]
    assert call.stage is StreamStage.HEADERS_QUEUED


def test_a_dead_connection_with_open_streams_is_detected_by_ping():
    d = Driver()
    connection = d.connect()
    stream = d.request()
    d.send(stream)
    d.advance(999 * MS)
    assert not d.pinged
    d.advance(MS)
    assert d.pinged == [connection]
    d.advance(999 * MS)
    d.report("bytes_received", connection)  # any bytes do, not only the answer to the PING
    d.advance(SECOND)
    assert d.pinged == [connection, connection] and not d.closed
    d.advance(SECOND)
    assert d.closed == [connection]
    assert d.failed[stream] == (StreamOutcome.UNCERTAIN, EndReason.NO_PING_ANSWER)


def test_idle_connections_and_those_with_high_stream_ids_are_retired():
    d = Driver()
    connection = d.connect()
    d.advance(3999 * MS)
    assert not d.closed and not d.pinged
    d.advance(MS)
    assert d.closed == [connection] and not d.account.connections
    other = d.connect()
    d.last_stream_ids[other] = RETIREMENT_STREAM_ID - 2
    stream = d.request()
    assert other.phase is ConnectionPhase.DRAINING
    d.send(stream)
    d.report("response_completed", stream)
    d.advance(MS)
    assert d.closed == [connection, other]


@pytest.mark.parametrize(
    ("failure", "confirmed", "reason", "supported", "supported_later"),
    [
        (ConnectFailure.REFUSED, False, EndReason.CONNECT_FAILED, True, True),
        (ConnectFailure.REFUSED, True, EndReason.CONNECT_FAILED, True, True),
        (ConnectFailure.OTHER_PROTOCOL, False, EndReason.NOT_SUPPORTED, False, False),
        (ConnectFailure.OTHER_PROTOCOL, True, EndReason.NOT_SUPPORTED, False, False),
        (ConnectFailure.SILENT, False, EndReason.NOT_SUPPORTED, False, True),
        (ConnectFailure.CLOSED, False, EndReason.NOT_SUPPORTED, False, True),
        (ConnectFailure.CLOSED, True, EndReason.BACKING_OFF, True, True),
    ],
)
def test_a_connection_that_fails_before_the_settings(
    failure, confirmed, reason, supported, supported_later
):
    """`confirmed`: the server has used HTTP/2 on an earlier connection."""
    d = Driver()
    if confirmed:
        d.report("connection_lost", d.connect())
    stream = d.request()
    d.report("connect_failed", d.dialled[-1], failure)
    assert d.failed[stream] == (StreamOutcome.NOT_PROCESSED, reason)
    assert d.account.supports_http2(d.now) is supported
    d.advance(30 * SECOND)
    assert d.account.supports_http2(d.now) is supported_later
    d.account.listed_again()
    assert d.account.supports_http2(d.now)


def test_a_connection_without_settings_is_closed_after_the_timeout():
    d = Driver()
    stream = d.request()
    d.advance(300 * MS)
    assert d.failed[stream][0] is StreamOutcome.NOT_PROCESSED and d.closed == d.dialled
    d.report("settings_received", d.dialled[0], 9)  # too late
    assert not d.account.connections


def test_connections_that_serve_no_request_are_opened_with_exponential_backoff():
    d = Driver()
    d.report("connection_lost", d.connect())
    gaps_ms = []
    for _ in range(9):
        start = d.now
        before = len(d.dialled)
        while len(d.dialled) == before:
            d.request()
            d.advance(10 * MS)
        gaps_ms.append((d.now - start) // MS)
        d.report("settings_received", d.dialled[-1], 5)
        d.report("goaway_received", d.dialled[-1], 0, 11)
        d.report("connection_lost", d.dialled[-1])
    assert gaps_ms == [10, 110, 210, 410, 810, 1610, 3210, 5010, 5010]


def test_a_flood_of_frames_without_response_content_closes_the_connection():
    d = Driver()
    connection = d.connect()
    stream = d.request()
    d.send(stream)
    for _ in range(40):
        d.now += 100 * MS
        # 50 frames per second are allowed.
        d.report("bytes_received", connection, d.now, 5, timed=False)
    assert not d.closed
    d.report("bytes_received", connection, d.now, 101, timed=False)
    assert d.closed == [connection] and d.failed[stream][0] is StreamOutcome.UNCERTAIN


def test_after_removal_from_the_list_streams_go_on_and_none_is_started():
    d = Driver()
    connection = d.connect()
    stream = d.request()
    d.send(stream)
    d.report("removed_from_list", timed=False)
    late = d.request()
    assert d.failed == {late: (StreamOutcome.NOT_PROCESSED, EndReason.NOT_LISTED)}
    d.report("response_completed", stream)
    d.advance(MS)
    assert d.closed == [connection] and stream.outcome is StreamOutcome.COMPLETED


INDEX = st.integers(0, 30)  # taken modulo the number of candidates


class AccountMachine(RuleBasedStateMachine):
    """Drives the account against a model of the server.

    The model has the requests that the server has run, and those that it will not run any more.
    """

    def __init__(self):
        super().__init__()
        self.d = Driver(max_connections=3)
        self.streams = []
        self.withdrawn = {}  # stream -> the outcome that withdraw() returned
        self.ran = set()  # streams whose request the server has run, or may yet run
        self.last_processed_ids = {}  # connection -> the last id that the server processes

    def in_stage(self, *stages):
        return [stream for stream in self.streams if stream.stage in stages]

    def connections(self, *phases):
        found = self.d.account.connections
        return [connection for connection in found if connection.phase in phases]

    def open_connections(self):
        return list(self.d.account.connections)

    @rule(
        is_call=st.booleans(),
        limit=st.integers(1, 6),
        result=st.sampled_from(["ready"] * 4 + [ConnectFailure.REFUSED, "pending"]),
    )
    def request(self, is_call, limit, result):
        self.streams.append(self.d.request(is_call))
        for connection in self.connections(ConnectionPhase.OPENING):
            if result == "ready":
                self.d.report("settings_received", connection, limit)
            elif result is ConnectFailure.REFUSED:
                self.d.report("connect_failed", connection, result)

    @rule(span=st.sampled_from([MS, MS, 60 * MS, 300 * MS, 1100 * MS, 5 * SECOND]))
    def advance(self, span):
        self.d.advance(span)

    @precondition(lambda self: self.open_connections())
    @rule(index=INDEX, limit=st.integers(0, 6))
    def change_limit(self, index, limit):
        connections = self.open_connections()
        connection = connections[index % len(connections)]
        self.d.report("limit_changed", connection, limit, timed=False)

    @precondition(lambda self: self.in_stage(StreamStage.HEADERS_QUEUED, StreamStage.END_QUEUED))
    @rule(index=INDEX, is_sent=st.booleans())
    def write(self, index, is_sent):
        streams = self.in_stage(StreamStage.HEADERS_QUEUED, StreamStage.END_QUEUED)
        stream = streams[index % len(streams)]
        if stream.stage is StreamStage.HEADERS_QUEUED:
            self.d.account.end_queued(stream)
        if is_sent:
            self.d.account.end_sent(stream.connection, stream.stream_id)

    @precondition(lambda self: self.in_stage(StreamStage.END_SENT))
    @rule(index=INDEX, response=st.sampled_from(["none", "started", "completed"]))
    def process(self, index, response):
        streams = self.in_stage(StreamStage.END_SENT)
        stream = streams[index % len(streams)]
        last_id = self.last_processed_ids.get(stream.connection, NO_LAST_STREAM_ID)
        if stream.stream_id <= last_id:
            self.ran.add(stream)
            if response != "none":
                self.d.account.response_started(stream.connection, stream.stream_id)
            if response == "completed":
                self.d.report("response_completed", stream)

    @precondition(lambda self: self.in_stage(*STARTED_STAGES))
    @rule(index=INDEX, refused=st.booleans())
    def reset(self, index, refused):
        """A correct server refuses only streams that it has not processed.

        One that has started the response may refuse the stream all the same: then the account must
        not rely on it.
        """
        streams = self.in_stage(*STARTED_STAGES)
        stream = streams[index % len(streams)]
        refused = refused and (stream not in self.ran or stream.response_started)
        self.d.report("stream_reset", stream.connection, stream.stream_id, refused)

    @precondition(lambda self: self.streams)
    @rule(index=INDEX)
    def withdraw(self, index):
        stream = self.streams[-1 - index % len(self.streams)]
        was_finished = stream.stage is StreamStage.FINISHED
        end_was_queued = stream.stage in (StreamStage.END_QUEUED, StreamStage.END_SENT)
        outcome = self.d.account.withdraw(stream, self.d.now)
        self.d.run_actions()
        if not was_finished:
            self.withdrawn[stream] = outcome
            if end_was_queued:
                self.ran.add(stream)  # the end of the request may yet arrive

    @precondition(lambda self: self.connections(ConnectionPhase.READY, ConnectionPhase.DRAINING))
    @rule(
        index=INDEX,
        code=st.sampled_from([0, 0, 2, 11]),
        ids_above_ran=st.sampled_from([NO_LAST_STREAM_ID, 0, 4]),
    )
    def goaway(self, index, code, ids_above_ran):
        connections = self.connections(ConnectionPhase.READY, ConnectionPhase.DRAINING)
        connection = connections[index % len(connections)]
        if ids_above_ran == NO_LAST_STREAM_ID:
            last_id = NO_LAST_STREAM_ID
        else:
            ran = [stream.stream_id for stream in self.ran if stream.connection is connection]
            last_id = max(ran, default=0) + ids_above_ran
        before = self.last_processed_ids.get(connection, NO_LAST_STREAM_ID)
        self.last_processed_ids[connection] = min(last_id, before)
        self.d.report("goaway_received", connection, last_id, code)

    @precondition(lambda self: self.open_connections())
    @rule(
        index=INDEX,
        event=st.sampled_from(["lost", "received", "received", "flood", "blocked", "unblocked"]),
    )
    def connection_event(self, index, event):
        connections = self.open_connections()
        connection = connections[index % len(connections)]
        if event == "lost":
            self.d.report("connection_lost", connection)
        elif event in ("received", "flood"):
            frames = 200 if event == "flood" else 3
            self.d.report("bytes_received", connection, self.d.now, frames, timed=False)
        else:
            self.d.report("set_blocked", connection, event == "blocked", timed=False)

    @invariant()
    def no_request_that_ran_is_reported_as_not_processed(self):
        for stream in self.ran:
            assert stream.outcome is not StreamOutcome.NOT_PROCESSED
        for stream, outcome in self.withdrawn.items():
            assert stream.outcome is outcome and stream not in self.d.failed

    @invariant()
    def a_goaway_leaves_no_unprocessed_stream_uncertain(self):
        for stream, (outcome, reason) in self.d.failed.items():
            is_uncertain = outcome is not StreamOutcome.NOT_PROCESSED
            assert not is_uncertain or stream in self.ran or reason != EndReason.GOAWAY

    @invariant()
    def every_stream_is_accounted_for_and_limits_hold(self):
        account = self.d.account
        account.check()
        waiting = [*account.waiting_calls, *account.waiting_requests]
        for stream in self.streams:
            assert (stream.stage is StreamStage.FINISHED) == (stream.outcome is not None)
            assert (stream in waiting) == (stream.stage is StreamStage.WAITING)
            if stream.stage in STARTED_STAGES:
                assert stream.connection in account.connections
                assert stream.connection.streams[stream.stream_id] is stream
        assert len(account.connections) <= 2 * (account.limits.max_connections + 1)
        assert len(waiting) <= 2 * account.limits.max_waiting


AccountMachine.TestCase.settings = settings(
    max_examples=120, stateful_step_count=50, deadline=None, derandomize=True
)
test_the_account_in_any_order_of_events = AccountMachine.TestCase
