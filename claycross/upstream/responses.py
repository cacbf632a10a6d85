"""Evaluation of an engine's response to one attempt, as it arrives, for every protocol.

Only whole events are forwarded to the client, and a response counts as complete only if it is known
to be.
"""

from __future__ import annotations

import json
import math
import re

from ..config.settings import read_report
from ..interface import AttemptResult, LoadReport
from ..net.event_stream import EventStreamParser
from ..net.http1 import MalformedMessageError
from ..net.loop import MS, ConnectionClosedError
from ..requests.manager import Attempt, RequestManager
from ..requests.memory_account import MemoryKind
from .interface import AttemptEnd, OutgoingRequest

# For the rest of a response head or chunk that has begun: engines write each as a whole.
PARTIAL_MESSAGE_TIMEOUT_NS = 1500 * MS
MAX_UNFORWARDED_BYTES = 65_536  # body size of a response that is not forwarded to a client
MAX_LOAD_VALUE = 1e9  # numbers of a load report are ignored from this value on
# A load report as a comment line of an event stream.
STREAM_LOAD_REPORT = re.compile(rb"(?mi)^: *X-Server-Load: *([^\r\n]*)")
# Statuses for a request that every engine would reject: the engine is not at fault.
INVALID_REQUEST_STATUSES = (400, 404, 405, 413, 422, 431)
OK_STATUS = 200
READ_DONE_STATUS = 202  # the prompt was read, and the engine holds its state
STATE_MISSING_STATUS = 410
ENGINE_ERROR_STATUS = 500  # an engine's ordinary error, which is not logged
OVERLOADED_STATUSES = (503, 504)


class ResponseReader:
    """Evaluates the response to one attempt.

    The client of a protocol calls head(), then data() for each part of the body, then end() once
    the message is complete.
    """

    def __init__(self, manager: RequestManager, attempt: Attempt):
        self.manager = manager
        self.attempt = attempt
        self.outgoing: OutgoingRequest = attempt.request.payload
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""  # of a response that is not an event stream
        self.events = EventStreamParser()
        self.usage_events = b""  # the last events that report usage or load
        self.is_sent = False
        self.is_charged = False

    def request_sent(self) -> None:
        """Note that the whole request was sent: from now on the attempt counts."""
        if not self.is_sent:
            self.is_sent = True
            self.manager.attempt_sent(self.attempt)

    def head(self, status: int, headers: dict[str, str]) -> None:
        """Add the head of the response; header names are in lower case."""
        self.status = status
        self.headers = headers

    def data(self, data: bytes) -> None:
        """Add a part of the body.

        Raises:
            ConnectionClosedError: If the attempt has ended meanwhile.
            MalformedMessageError: If the body violates the protocol, or is too large.
        """
        if self.is_stream():
            self.stream_data(data)
        else:
            self.body_data(data)
        self.charge()

    def body_data(self, data: bytes) -> None:
        """Add a part of a body that is not an event stream."""
        self.body += data
        limit = self.outgoing.max_response_bytes
        if self.outgoing.streams:
            limit = min(limit, MAX_UNFORWARDED_BYTES)
        if len(self.body) > limit:
            raise MalformedMessageError(502, f"response body larger than {limit} bytes")

    def charge(self) -> None:
        """Charge the account for what is not forwarded yet.

        Raises:
            ConnectionClosedError: If there is no memory for it.
        """
        size = len(self.body) + len(self.events.buffer)
        if not size and not self.is_charged:
            return
        self.is_charged = True
        if not self.manager.memory.charge_by_discarding(MemoryKind.RESPONSES, self, size):
            self.manager.count("ended-for-memory")
            raise ConnectionClosedError("no memory for the response")

    def discard(self) -> None:
        """Free what has arrived; the attempt then ends as if its connection had broken."""
        self.manager.count("ended-for-memory")
        self.body = b""
        self.events = EventStreamParser()
        if self.attempt.abort:
            self.attempt.abort()

    def release(self) -> None:
        """Give back what was charged; the attempt is over."""
        self.manager.memory.give_back(MemoryKind.RESPONSES, self)

    def is_stream(self) -> bool:
        """Return whether the response is an event stream for the client."""
        return self.status == OK_STATUS and self.outgoing.streams

    def stream_data(self, data: bytes) -> None:
        """Forward the events that this data completes."""
        events = self.events.feed(data)
        if events and (self.attempt.streaming or self.manager.stream_started(self.attempt)):
            if b'"usage"' in events or STREAM_LOAD_REPORT.search(events):
                self.usage_events = events
            self.manager.forward(self.attempt, events)
        if self.attempt.finished:
            raise ConnectionClosedError("the attempt has ended")

    def idle_timeout(self, partial: bool) -> int:
        """Return the timeout for the next bytes in nanoseconds.

        0 leaves the attempt's own timeout as the only one. If `partial`, a head or a chunk has
        begun: the rest may never arrive, and must not keep the attempt for its whole timeout.
        """
        timeout = self.manager.idle_timeout(self.attempt)
        if partial:
            return min(PARTIAL_MESSAGE_TIMEOUT_NS, timeout or PARTIAL_MESSAGE_TIMEOUT_NS)
        return timeout

    def log_malformed(self, error: object) -> None:
        """Log that the response violates the protocol."""
        if not self.attempt.finished:
            self.manager.log(f"engine-malformed-response engine={self.attempt.engine} {error}")

    def end(self, trailers: dict[str, str] | None = None) -> AttemptEnd:
        """Return the attempt's result, once the response is complete."""
        header = (trailers or {}).get("x-server-load") or self.headers.get("x-server-load", "")
        report = parse_load_report(header)
        if self.is_stream():
            return self.end_of_stream(report)
        if self.status == OK_STATUS:
            return AttemptEnd(self.forward_complete_body(), 0, report)
        if self.status == READ_DONE_STATUS and self.attempt.is_read:
            return AttemptEnd(AttemptResult.READ, parse_cached_tokens(self.body), report)
        return AttemptEnd(self.error_result(), 0, report)

    def end_of_stream(self, report: LoadReport | None) -> AttemptEnd:
        """Return the result of an event stream; its load report overrides that of the headers."""
        if not self.attempt.streaming:
            return AttemptEnd(AttemptResult.ERROR, 0, report)
        rest = self.events.buffer
        if rest:
            self.manager.forward(self.attempt, rest)
        stream_report = STREAM_LOAD_REPORT.search(self.usage_events + rest)
        if stream_report:
            report = parse_load_report(stream_report[1].decode("latin-1"))
        return AttemptEnd(AttemptResult.OK, parse_cached_tokens(self.usage_events), report)

    def forward_complete_body(self) -> AttemptResult:
        """Forward the body of a response that is not an event stream, if it is complete."""
        if not self.outgoing.is_complete(self.body):
            # A draining engine may respond with the part of the result that it has.
            engine = self.attempt.engine
            self.manager.log(f"engine-incomplete-response engine={engine} bytes={len(self.body)}")
            return AttemptResult.ERROR
        if not self.manager.stream_started(self.attempt):
            return AttemptResult.CANCELLED
        self.manager.forward(self.attempt, self.body)
        return AttemptResult.OK

    def error_result(self) -> AttemptResult:
        """Return the result of a response whose status is not a success."""
        not_processed = self.headers.get("x-not-processed") == "1"
        if self.status == STATE_MISSING_STATUS and not_processed:
            return AttemptResult.STATE_MISSING
        if self.status in OVERLOADED_STATUSES and not_processed:
            return AttemptResult.ENGINE_FULL
        if self.status in INVALID_REQUEST_STATUSES:
            self.manager.rejected_by_engine(self.attempt, self.status)
            return AttemptResult.CANCELLED_BEFORE_SEND
        if self.status != ENGINE_ERROR_STATUS:
            self.manager.log(
                f"engine-unknown-status engine={self.attempt.engine} status={self.status}"
            )
        return AttemptResult.ERROR


def parse_load_report(text: str) -> LoadReport | None:
    """Parse `name=value` pairs; values that are not a finite number in range are ignored."""
    values = {}
    for pair in text.split(","):
        name, _, value = pair.strip().partition("=")
        try:
            number = float(value)
        except ValueError:
            continue
        if math.isfinite(number) and 0 <= number < MAX_LOAD_VALUE:
            values[name] = number
    return read_report(values)


def parse_cached_tokens(text: bytes) -> int:
    """Return how many tokens of the prompt the engine found in its cache; 0 if not reported.

    `text` is the body of a read's response, or the last events of a stream.
    """
    for line in reversed(text.split(b"\n")):
        content = line.removeprefix(b"data:").strip()
        if b"cached_tokens" not in content:
            continue
        try:
            report = json.loads(content)
            if "usage" in report:
                report = report["usage"]["prompt_tokens_details"]
            return max(0, int(report["cached_tokens"]))
        except (ValueError, TypeError, KeyError, OverflowError, RecursionError):
            return 0
    return 0
