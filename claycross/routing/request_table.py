"""The requests of a router that are not over, by number and by what they wait for."""

from __future__ import annotations

from .request_state import Request, RequestStage

SECOND = 1_000_000_000  # ns
# After its deadline, a request whose last result never came is forgotten.
FORGET_AFTER_NS = 300 * SECOND


class RequestTable:
    """All open requests, and those among them that wait to be sent."""

    def __init__(self) -> None:
        self.requests: dict[int, Request] = {}
        self.queued: dict[int, Request] = {}
        self.awaiting_writer: dict[int, Request] = {}

    def add(self, request: Request) -> None:
        """Add a new request, which is queued."""
        self.requests[request.id] = request
        self.queued[request.id] = request

    def enqueue(self, request: Request) -> None:
        """Let a request wait to be read, again."""
        request.stage = RequestStage.QUEUED
        self.queued[request.id] = request

    def await_writer(self, request: Request) -> None:
        """Let a request whose prompt was read wait for a writer."""
        request.stage = RequestStage.AWAITING_WRITER
        self.awaiting_writer[request.id] = request

    def stop_waiting(self, request: Request) -> None:
        """The request waits no longer to be sent."""
        self.queued.pop(request.id, None)
        self.awaiting_writer.pop(request.id, None)

    def remove(self, request: Request) -> None:
        """Forget a request."""
        self.requests.pop(request.id, None)

    def forget_expired(self, now: int) -> None:
        """Forget requests whose results are not to be expected any more."""
        self.requests = {
            number: request
            for number, request in self.requests.items()
            if now - request.deadline <= FORGET_AFTER_NS
        }

    def has_waiting(self) -> bool:
        """Whether any request waits to be sent."""
        return bool(self.queued or self.awaiting_writer)
