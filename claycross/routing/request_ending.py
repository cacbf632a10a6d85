"""Ends requests: answers them, cancels their attempts and releases their state at engines."""

from __future__ import annotations

from ..interface import CancelAttempt, FailRequest, RejectRequest, ReleaseState
from .request_state import Request, RequestStage
from .retry_rules import may_reject
from .shared_state import SharedState


class RequestFinisher:
    """Ends all requests of a router, so that none is answered twice or keeps its state."""

    def __init__(self, state: SharedState):
        self.settings = state.settings
        self.table = state.table
        self.load_gossip = state.load_gossip
        self.actions = state.actions

    def end(self, request: Request, answer: RejectRequest | FailRequest | None) -> None:
        """End a request, with an answer unless the client has one or has left."""
        if request.stage == RequestStage.ENDED:
            return
        streaming = request.stage == RequestStage.STREAMING
        request.stage = RequestStage.ENDED
        self.table.stop_waiting(request)
        if answer is not None:
            self.actions.add(answer)
        if self.settings.may_cancel and not streaming:
            self._cancel_attempts(request)
        self.forget_if_idle(request)

    def _cancel_attempts(self, request: Request) -> None:
        for attempt in request.attempts:
            if not attempt.result and not attempt.cancelled:
                attempt.cancelled = True
                self.actions.add(CancelAttempt(request.id, attempt.number))

    def forget_if_idle(self, request: Request) -> None:
        """Release the state of an ended request and remove it once no attempt is in flight."""
        if request.attempts_in_flight == 0:
            self.release(request)
            self.load_gossip.work_ended(request.id)
            self.table.remove(request)

    def release(self, request: Request) -> None:
        """Release the state that engines may hold for the request."""
        if request.may_hold_state:
            request.may_hold_state = False
            request.state_holder = None
            self.actions.add(ReleaseState(request.id))

    def give_up(self, request: Request, retry_after: int = 0, reason: str = "") -> None:
        """Reject a request that can't be served, or fail it if a client's retry could do harm."""
        if not may_reject(request):
            self.end(request, FailRequest(request.id))
            return
        if not self.settings.sends_retry_after:
            retry_after = 0
        retry_after = min(retry_after, self.settings.max_retry_after)
        self.end(request, RejectRequest(request.id, retry_after, reason))
