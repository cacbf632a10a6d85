"""The preconditions of actions: start, send, retry or reject a request, or close a connection.

Each precondition is a function of known facts that returns the reason for a denial, or None. The
router checks it before it decides; the request manager and the frontends check it again right
before the action, with their own knowledge, and report a denial that the router should have
foreseen as a violated invariant (invariant.py). Nothing here chooses between engines, reads a clock
or does I/O: times are nanoseconds and come in as arguments.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import StrEnum
from typing import NamedTuple

from ..interface import (
    AttemptResult,
    DeduplicationScope,
    Effect,
    EngineEndpoint,
    EngineState,
    RequestClass,
)

# Results that prove that an attempt did not run or had no effect.
NEVER_RAN = frozenset(
    (
        AttemptResult.ENGINE_FULL,
        AttemptResult.STATE_MISSING,
        AttemptResult.CONNECT_FAILED,
        AttemptResult.LOCAL_ERROR,
        AttemptResult.CANCELLED_BEFORE_SEND,
        AttemptResult.READ,
    )
)
# Results that prove that nothing of an attempt reached an engine.
NOT_SENT = frozenset((AttemptResult.CONNECT_FAILED, AttemptResult.LOCAL_ERROR))
# Results of a read after which its engine holds no state.
NO_STATE_LEFT = frozenset(
    (
        AttemptResult.CONNECT_FAILED,
        AttemptResult.LOCAL_ERROR,
        AttemptResult.ENGINE_FULL,
        AttemptResult.CANCELLED_BEFORE_SEND,
        AttemptResult.STATE_MISSING,
    )
)
# Results that show that the attempt was at an engine that runs, as a response has arrived.
RESPONSES = frozenset(
    (
        AttemptResult.READ,
        AttemptResult.OK,
        AttemptResult.ERROR,
        AttemptResult.ENGINE_FULL,
        AttemptResult.STATE_MISSING,
    )
)
# Results of attempts to which the engine did not respond.
NO_RESPONSE = frozenset(
    (
        AttemptResult.CONNECT_FAILED,
        AttemptResult.LOCAL_ERROR,
        AttemptResult.TIMEOUT,
        AttemptResult.CANCELLED,
        AttemptResult.CANCELLED_BEFORE_SEND,
    )
)

# Module globals, since `check_retry` runs once for each engine that is considered for a retry, and
# access to an enum member through its class is slower.
_IDEMPOTENT = Effect.IDEMPOTENT
_WITH_IDEMPOTENCY_KEY = Effect.WITH_IDEMPOTENCY_KEY
_SCOPE_ALL = DeduplicationScope.ALL
_SCOPE_ZONE = DeduplicationScope.ZONE
_SCOPE_CELL = DeduplicationScope.CELL


class Denial(StrEnum):
    """Why an action is denied; the values appear in the log and in names of counters."""

    ATTEMPT_OVER = "attempt-over"  # timed out, cancelled, or its request has ended
    REQUEST_OVER = "request-over"  # answered, or its client disconnected
    CLIENT_LEFT = "client-left"  # its connection is closed, which was not processed yet
    STREAMING = "streaming"  # another attempt already streams to the client
    OUT_OF_TIME = "out-of-time"
    ATTEMPTS_SPENT = "attempts-spent"
    HEDGE_NOT_ALLOWED = "copy-out"  # another attempt is in flight, and hedging is disabled
    ENGINE_UNLISTED = "engine-unlisted"
    ENGINE_DRAINING = "engine-draining"  # or disabled by an operator
    MAY_HAVE_RUN = "may-have-run"  # an earlier attempt of a request that must not run twice
    STATE_RELEASED = "state-released"  # the state that the write needs has been released
    WINDOW_OVER = "window-over"  # the time within which engines deduplicate the request
    OTHER_GROUP = "other-group"  # the engine is outside the deduplication scope of the first one
    LIST_UNCONFIRMED = "list-unconfirmed"
    DRAINED = "drained"
    STOPPING = "stopping"
    UNANSWERED = "unanswered"  # an accepted request has no answer yet


class EarlierAttempt(NamedTuple):
    """An earlier attempt of the same request that may have run."""

    started_at: int
    zone: str
    cell: int


def may_have_run(is_read: bool, result: str) -> bool:
    """Tell whether an attempt may have had an effect; a read has none.

    `result`: blank while the attempt is in flight.
    """
    return not is_read and result not in NEVER_RAN


def window_end(spec: RequestClass, earlier: Iterable[EarlierAttempt]) -> int:
    """Return when engines stop deduplicating a request against earlier attempts; 0: no limit."""
    if spec.effect != _WITH_IDEMPOTENCY_KEY:
        return 0
    first = next(iter(earlier), None)
    return first.started_at + spec.idempotency_key_ttl if first else 0


def check_retry(
    spec: RequestClass,
    earlier: Iterable[EarlierAttempt],
    engine: EngineEndpoint,
    now: int,
    margin: int,
) -> Denial | None:
    """Check that a request may be sent or read, although earlier attempts may have run.

    `margin`: time before the idempotency key's expiry at which it already counts as expired.
    """
    if spec.effect == _IDEMPOTENT:
        return None
    first = next(iter(earlier), None)
    if first is None:
        return None
    if spec.effect != _WITH_IDEMPOTENCY_KEY:
        return Denial.MAY_HAVE_RUN
    if now + margin >= window_end(spec, (first,)):
        return Denial.WINDOW_OVER
    if _in_deduplication_scope(spec.deduplication_scope, first, engine):
        return None
    return Denial.OTHER_GROUP


def _in_deduplication_scope(
    scope: DeduplicationScope, first: EarlierAttempt, engine: EngineEndpoint
) -> bool:
    """Tell whether the engine deduplicates against the engine of the first attempt."""
    if scope == _SCOPE_ALL:
        return True
    if engine.zone != first.zone:
        return False
    if scope == _SCOPE_ZONE:
        return True
    return scope == _SCOPE_CELL and engine.cell == first.cell


def check_rejection(spec: RequestClass, earlier: Iterable[EarlierAttempt]) -> Denial | None:
    """Check that a request may be answered as rejected, which promises that a retry is safe."""
    if spec.effect == _IDEMPOTENT or next(iter(earlier), None) is None:
        return None
    is_deduplicated = (
        spec.effect == _WITH_IDEMPOTENCY_KEY and spec.deduplication_scope == _SCOPE_ALL
    )
    return None if is_deduplicated else Denial.MAY_HAVE_RUN


class SendFacts(NamedTuple):
    """What is known right before the first byte of an attempt."""

    attempt_over: bool
    request_over: bool
    client_left: bool  # by the present state of its socket
    engine: EngineEndpoint | None  # its present entry in the endpoint list
    latest_arrival: int  # latest time at which the attempt may arrive; 0: no limit
    now: int
    state_held: bool = True  # False: the state that the write needs has been released


def check_send(facts: SendFacts) -> Denial | None:
    """Check that the first byte of an attempt may be sent."""
    denial = None
    if facts.attempt_over:
        denial = Denial.ATTEMPT_OVER
    elif facts.request_over:
        denial = Denial.REQUEST_OVER
    elif facts.client_left:
        denial = Denial.CLIENT_LEFT
    elif facts.engine is None:
        denial = Denial.ENGINE_UNLISTED
    elif facts.engine.state != EngineState.READY:
        denial = Denial.ENGINE_DRAINING
    elif not facts.state_held:
        denial = Denial.STATE_RELEASED
    elif facts.latest_arrival and facts.now >= facts.latest_arrival:
        denial = Denial.WINDOW_OVER
    return denial


class StartFacts(NamedTuple):
    """What is known when another attempt of a request is to start."""

    request_over: bool
    streaming: bool
    time_left: int
    attempts: int  # before this one
    max_attempts: int
    others_in_flight: int
    may_hedge: bool


def check_start(facts: StartFacts) -> Denial | None:
    """Check that another attempt of a request may start, at any engine."""
    if facts.request_over:
        return Denial.REQUEST_OVER
    if facts.streaming:
        return Denial.STREAMING
    if facts.time_left <= 0:
        return Denial.OUT_OF_TIME
    if facts.attempts >= facts.max_attempts:
        return Denial.ATTEMPTS_SPENT
    if facts.others_in_flight and not facts.may_hedge:
        return Denial.HEDGE_NOT_ALLOWED
    return None


def check_close(answered: bool, client_left: bool) -> Denial | None:
    """Check that a client's connection with an accepted request on it may be closed."""
    return None if answered or client_left else Denial.UNANSWERED


def check_ready(stopping: bool, drained: bool, list_confirmed: bool) -> Denial | None:
    """Check that a process may report itself ready for clients."""
    if stopping:
        return Denial.STOPPING
    if not list_confirmed:
        return Denial.LIST_UNCONFIRMED
    return Denial.DRAINED if drained else None
