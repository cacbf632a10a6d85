"""What an engine responds to one attempt, evaluated as it arrives, for every protocol.

Only whole events are passed on to the client, and nothing is taken for complete that is not known
to be.
"""

from __future__ import annotations

import json
import math
import re

from ..config.settings import read_report
from ..interface import AttemptResult, LoadReport
from ..net.http1 import EventStreamParser, MalformedMessageError
from ..net.loop import MS, ConnectionClosedError
from ..requests.manager import Attempt, RequestManager
from .interface import AttemptEnd, OutgoingRequest

# For the rest of a head or chunk that has begun: engines write them as a whole.
PARTIAL_TIMEOUT = 1500 * MS
SMALL = 65_536  # bytes; largest response that is not passed on
MAX_LOAD = 1e9  # a load report's number at or over this is ignored
STREAM_LOAD_REPORT = re.compile(rb"(?mi)^: *X-Server-Load: *([^\r\n]*)")  # a comment in a stream
# Statuses of a request that no engine would take: nothing is wrong with the engine.
REJECTED_STATUSES = (400, 404, 405, 413, 422, 431)
OK = 200
READ_DONE = 202  # the prompt was read, and its state waits at the engine
STATE_MISSING = 410
ERROR_STATUS = 500  # an engine's ordinary error, which is not logged
OVERLOADED_STATUSES = (503, 504)


class ResponseReader:
    """The response to one attempt.

    A protocol's client calls head(), then data() for each part of the body, then end() once the
    message is complete.
    """

    def __init__(self, manager: RequestManager, attempt: Attempt):
        self.manager = manager
        self.attempt = attempt
        self.outgoing: OutgoingRequest = attempt.request.payload
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""  # of a response that is not a stream
        self.events = EventStreamParser()
        self.usage = b""  # the last events that tell of usage or load
        self.is_sent = False

    def request_sent(self) -> None:
        """Note that the whole request was sent: the attempt counts."""
        if not self.is_sent:
            self.is_sent = True
            self.manager.attempt_sent(self.attempt)

    def head(self, status: int, headers: dict[str, str]) -> None:
        """Take the head of the response; the names of its headers are in lower case."""
        self.status = status
        self.headers = headers

    def data(self, data: bytes) -> None:
        """Take a part of the body.

        Raises:
            ConnectionClosedError: If nobody waits for more.
            MalformedMessageError: If it does not follow the protocol, or is too large.
        """
        if self.is_stream():
            self.stream_data(data)
            return
        self.body += data
        limit = self.outgoing.max_response_bytes
        if self.outgoing.streams:
            limit = min(limit, SMALL)
        if len(self.body) > limit:
            raise MalformedMessageError(502, "the answer is too large")

    def is_stream(self) -> bool:
        """Return whether the response is a stream of events for the client."""
        return self.status == OK and self.outgoing.streams

    def stream_data(self, data: bytes) -> None:
        """Forward the events that have become complete."""
        events = self.events.feed(data)
        if events and (self.attempt.streaming or self.manager.stream_started(self.attempt)):
            if b'"usage"' in events or STREAM_LOAD_REPORT.search(events):
                self.usage = events
            self.manager.forward(self.attempt, events)
        if self.attempt.finished:
            raise ConnectionClosedError("nobody waits")

    def idle_timeout(self, partial: bool) -> int:
        """Return how long the next bytes may take; 0: only the attempt's own timeout counts.

        `partial`: a head or a chunk has begun. This bounds the harm of a response whose rest never
        arrives.
        """
        timeout = self.manager.idle_timeout(self.attempt)
        if partial:
            return min(PARTIAL_TIMEOUT, timeout or PARTIAL_TIMEOUT)
        return timeout

    def log_malformed(self, error: object) -> None:
        """Log that the response does not follow the protocol."""
        if not self.attempt.finished:
            self.manager.log(f"engine-malformed-response engine={self.attempt.engine} {error}")

    def end(self, trailers: dict[str, str] | None = None) -> AttemptEnd:
        """Evaluate the complete response."""
        header = (trailers or {}).get("x-server-load") or self.headers.get("x-server-load", "")
        report = load_report(header)
        if self.is_stream():
            return self.end_of_stream(report)
        if self.status == OK:
            return AttemptEnd(self.complete_body(), 0, report)
        if self.status == READ_DONE and self.attempt.is_read:
            return AttemptEnd(AttemptResult.READ, cached_tokens(self.body), report)
        return AttemptEnd(self.rejection(), 0, report)

    def end_of_stream(self, report: LoadReport | None) -> AttemptEnd:
        """Evaluate a stream; a load report in it replaces that of the headers."""
        if not self.attempt.streaming:
            return AttemptEnd(AttemptResult.ERROR, 0, report)
        rest = self.events.buffer
        if rest:
            self.manager.forward(self.attempt, rest)
        found = STREAM_LOAD_REPORT.search(self.usage + rest)
        if found:
            report = load_report(found[1].decode("latin-1"))
        return AttemptEnd(AttemptResult.OK, cached_tokens(self.usage), report)

    def complete_body(self) -> AttemptResult:
        """Forward a response that is not a stream, if it is complete."""
        if not self.outgoing.is_complete(self.body):
            # An engine that drains may respond with what it had done so far.
            engine = self.attempt.engine
            self.manager.log(f"engine-incomplete-response engine={engine} bytes={len(self.body)}")
            return AttemptResult.ERROR
        if not self.manager.stream_started(self.attempt):
            return AttemptResult.CANCELLED
        self.manager.forward(self.attempt, self.body)
        return AttemptResult.OK

    def rejection(self) -> AttemptResult:
        """Return the result of a response that is no success."""
        not_processed = self.headers.get("x-not-processed") == "1"
        if self.status == STATE_MISSING and not_processed:
            return AttemptResult.STATE_MISSING
        if self.status in OVERLOADED_STATUSES and not_processed:
            return AttemptResult.ENGINE_FULL
        if self.status in REJECTED_STATUSES:
            self.manager.rejected_by_engine(self.attempt, self.status)
            return AttemptResult.CANCELLED_BEFORE_SEND
        if self.status != ERROR_STATUS:
            self.manager.log(
                f"engine-unexpected-status engine={self.attempt.engine} status={self.status}"
            )
        return AttemptResult.ERROR


def load_report(text: str) -> LoadReport | None:
    """Parse `name=value` pairs; whatever is not a number that a load can be is ignored."""
    values = {}
    for pair in text.split(","):
        name, _, value = pair.strip().partition("=")
        try:
            number = float(value)
        except ValueError:
            continue
        if math.isfinite(number) and 0 <= number < MAX_LOAD:
            values[name] = number
    return read_report(values)


def cached_tokens(text: bytes) -> int:
    """Return how many tokens of the prompt were found in the cache; 0 if that is not told.

    `text` is the body of a read's response, or the last events of a stream.
    """
    for line in reversed(text.split(b"\n")):
        content = line.removeprefix(b"data:").strip()
        if b"cached_tokens" not in content:
            continue
        try:
            found = json.loads(content)
            if "usage" in found:
                found = found["usage"]["prompt_tokens_details"]
            return max(0, int(found["cached_tokens"]))
        except (ValueError, TypeError, KeyError, OverflowError, RecursionError):
            return 0
    return 0
