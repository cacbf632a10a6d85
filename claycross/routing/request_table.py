"""The open requests of a router, by number and by what they wait for."""

from __future__ import annotations

from .request_state import Request, RequestStage

SECOND = 1_000_000_000  # ns
# Time after its deadline at which a request is dropped though a result is missing.
FORGET_AFTER_NS = 300 * SECOND


class RequestTable:
    """All open requests, and the queues of those that wait to be sent."""

    def __init__(self) -> None:
        self.requests: dict[int, Request] = {}
        self.queued: dict[int, Request] = {}
        self.awaiting_writer: dict[int, Request] = {}

    def add(self, request: Request) -> None:
        """Add a new request to the queue of reads."""
        self.requests[request.id] = request
        self.queued[request.id] = request

    def enqueue(self, request: Request) -> None:
        """Queue a request for another read."""
        request.stage = RequestStage.QUEUED
        self.queued[request.id] = request

    def await_writer(self, request: Request) -> None:
        """Queue a request whose prompt was read for a writer."""
        request.stage = RequestStage.AWAITING_WRITER
        self.awaiting_writer[request.id] = request

    def stop_waiting(self, request: Request) -> None:
        """Remove a request from both queues."""
        self.queued.pop(request.id, None)
        self.awaiting_writer.pop(request.id, None)

    def remove(self, request: Request) -> None:
        """Remove a request from the table."""
        self.requests.pop(request.id, None)

    def forget_expired(self, now: int) -> None:
        """Drop requests whose missing results are no longer expected."""
        self.requests = {
            number: request
            for number, request in self.requests.items()
            if now - request.deadline <= FORGET_AFTER_NS
        }

    def has_waiting(self) -> bool:
        """Return whether any request waits to be sent."""
        return bool(self.queued or self.awaiting_writer)
