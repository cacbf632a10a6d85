"""The preconditions of retries and rejections, applied to the state of the router."""

import pytest

from claycross.interface import (
    AttemptResult,
    DeduplicationScope,
    Effect,
    EngineRole,
    RequestArrived,
    RequestClass,
)
from claycross.routing.engine import Engine
from claycross.routing.request_state import Request
from claycross.routing.retry_rules import allowed_engines, may_reject, may_send, may_send_to_any
from tests.routing.router_harness import MS, SECOND, entry
from tests.routing.test_reachability import NOW, attempt

NORTH, SOUTH = "w1", "w2"


def writer(name: str) -> Engine:
    return Engine(entry(name), EngineRole.WRITER, memory=1000)


def request_with(effect: Effect, *results: AttemptResult) -> Request:
    """A request with one write at the writer NORTH for each result."""
    request_class = RequestClass(
        "class",
        2 * SECOND,
        6 * SECOND,
        effect=effect,
        deduplication_scope=DeduplicationScope.ZONE,
        idempotency_key_ttl=3 * SECOND,
    )
    request = Request(RequestArrived(1, "class", 6 * SECOND), request_class, NOW, 0)
    for result in results:
        write = attempt(writer(NORTH), result)
        write.is_read = False
        request.attempts.append(write)
    return request


@pytest.mark.parametrize(
    ("effect", "result", "north", "south", "reject"),
    [
        (Effect.IDEMPOTENT, AttemptResult.RESET, True, True, True),
        (Effect.WITH_IDEMPOTENCY_KEY, AttemptResult.RESET, True, False, False),
        (Effect.NOT_IDEMPOTENT, AttemptResult.RESET, False, False, False),
        (Effect.NOT_IDEMPOTENT, AttemptResult.ENGINE_FULL, True, True, True),
    ],
)
def test_what_may_follow_a_write_depends_on_whether_it_may_have_run(
    effect, result, north, south, reject
):
    request = request_with(effect, result)
    assert may_send(request, writer(NORTH), NOW, MS) is north
    assert may_send(request, writer(SOUTH), NOW, MS) is south
    assert may_send_to_any(request, [writer(SOUTH), writer(NORTH)], NOW, MS) is (north or south)
    assert may_reject(request) is reject
    writers = [writer(NORTH), writer(SOUTH)]
    allowed = [engine.id for engine in allowed_engines(request, writers, NOW, MS)]
    assert allowed == [NORTH] * north + [SOUTH] * south


def test_an_expired_idempotency_key_allows_no_retry():
    request = request_with(Effect.WITH_IDEMPOTENCY_KEY, AttemptResult.RESET)
    assert not may_send(request, writer(NORTH), NOW + 3 * SECOND, MS)


@pytest.mark.parametrize("effect", list(Effect))
def test_a_request_that_was_never_sent_may_go_anywhere(effect):
    request = request_with(effect)
    assert may_send(request, writer(NORTH), NOW, MS)
    assert may_send_to_any(request, [writer(SOUTH)], NOW, MS)
    assert not may_send_to_any(request, [], NOW, MS)
    assert may_reject(request)
