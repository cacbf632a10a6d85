"""Which engines a request may be sent to, and whether it may be rejected, given its attempts.

The rules are defined in requests/preconditions.py; this module applies them to router state.
"""

from __future__ import annotations

from collections.abc import Iterable

from ..interface import Effect
from ..requests import preconditions
from .engine import Attempt, Engine
from .request_state import Request

# Compared for each engine, and bound here to save attribute lookups.
IDEMPOTENT = Effect.IDEMPOTENT


def attempts_that_may_have_run(request: Request) -> list[Attempt]:
    """Return the attempts that may have had an effect."""
    return [
        attempt
        for attempt in request.attempts
        if preconditions.may_have_run(attempt.is_read, attempt.result)
    ]


def earlier_attempts(request: Request) -> list[preconditions.EarlierAttempt]:
    """Return the attempts that may have run, in the form that the preconditions take."""
    return [
        preconditions.EarlierAttempt(
            attempt.sent_at, attempt.engine.entry.zone, attempt.engine.entry.cell
        )
        for attempt in attempts_that_may_have_run(request)
    ]


def may_send(request: Request, engine: Engine, now: int, tick: int) -> bool:
    """Return whether the request may be sent to this engine, be it for a read or a write."""
    if request.request_class.effect == IDEMPOTENT:
        return True
    earlier = earlier_attempts(request)
    if not earlier:
        return True
    denial = preconditions.check_retry(request.request_class, earlier, engine.entry, now, tick)
    return denial is None


def allowed_engines(request: Request, engines: list[Engine], now: int, tick: int) -> list[Engine]:
    """Return those of the engines that the request may be sent to."""
    if request.request_class.effect == IDEMPOTENT:
        return engines
    earlier = earlier_attempts(request)
    if not earlier:
        return engines
    return [
        engine
        for engine in engines
        if preconditions.check_retry(request.request_class, earlier, engine.entry, now, tick)
        is None
    ]


def may_send_to_any(request: Request, engines: Iterable[Engine], now: int, tick: int) -> bool:
    """Return whether the request may be sent to any of the engines."""
    not_idempotent = request.request_class.effect == Effect.NOT_IDEMPOTENT
    if not_idempotent and attempts_that_may_have_run(request):
        return False  # no engine needs to be checked
    return any(may_send(request, engine, now, tick) for engine in engines)


def may_reject(request: Request) -> bool:
    """Return whether the request may be rejected, which tells the client to retry safely."""
    if request.request_class.effect == IDEMPOTENT:
        return True
    earlier = earlier_attempts(request)
    if not earlier:
        return True
    return preconditions.check_rejection(request.request_class, earlier) is None


def may_cancel(request: Request, attempt: Attempt) -> bool:
    """Return whether the request can still succeed after the attempt is cancelled.

    A write that must not run twice can't: until its deadline, a late first token is worth more than
    a certain failure.
    """
    return attempt.is_read or request.request_class.effect != Effect.NOT_IDEMPOTENT
