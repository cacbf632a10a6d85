"""Timeouts and connection checks of attempts."""

import pytest

from claycross.interface import (
    CancelAttempt,
    CheckConnection,
    ConnectionChecked,
    Effect,
    EngineRole,
    RequestArrived,
    RequestClass,
)
from claycross.routing.attempt_supervision import (
    CONNECTION_CHECK_DELAY_NS,
    MAX_FAILED_CHECKS,
    RESPONSIVE_TIMEOUT_FACTOR,
    AttemptSupervisor,
)
from claycross.routing.engine import Attempt, Engine
from claycross.routing.outlier_detection import OutlierDetector
from claycross.routing.request_state import Request
from tests.routing.router_harness import MS, SECOND, entry, settings

NOW = 100 * SECOND
PREDICTED = 200 * MS
RESPONSE_TIMEOUT = SECOND


class SupervisedAttempt:
    """An attempt in flight at an engine, with its supervisor."""

    def __init__(self, effect: Effect = Effect.IDEMPOTENT, is_read: bool = True, **over):
        self.settings = settings(**over)
        self.health = OutlierDetector(self.settings, lambda: 0.5)
        self.engine = Engine(entry("r1"), EngineRole.READER, memory=1000)
        self.health.engines["r1"] = self.engine
        self.supervisor = AttemptSupervisor(self.settings, self.health)
        request_class = RequestClass("class", 2 * SECOND, 6 * SECOND, effect=effect)
        self.request = Request(RequestArrived(1, "class", 6 * SECOND), request_class, NOW, 0)
        self.attempt = Attempt(
            number=0,
            engine=self.engine,
            is_read=is_read,
            in_place=False,
            sent_at=NOW,
            uncached_tokens=100.0,
            predicted_latency=float(PREDICTED),
            credited_tokens=0,
            at_home=False,
            response_timeout=RESPONSE_TIMEOUT,
        )
        self.request.attempts.append(self.attempt)
        self.request.attempts_in_flight = 1
        self.engine.pending[1, 0] = self.attempt

    def check(self, after: int) -> list:
        return self.supervisor.check_all([self.request], NOW + after)

    def timeout(self) -> int:
        return self.supervisor.timeout(self.request, self.attempt, NOW)


def test_an_attempt_at_an_unresponsive_engine_is_cancelled_once():
    supervised = SupervisedAttempt()
    assert supervised.check(RESPONSE_TIMEOUT) == []
    assert supervised.check(RESPONSE_TIMEOUT + 1) == [CancelAttempt(1, 0)]
    assert supervised.check(RESPONSE_TIMEOUT + 2) == []


def test_an_attempt_at_a_responsive_engine_is_not_cancelled():
    supervised = SupervisedAttempt()
    supervised.engine.last_response = NOW
    assert supervised.check(3 * RESPONSE_TIMEOUT) == []


def test_a_write_that_must_not_run_twice_is_waited_for_but_its_engine_is_ejected():
    supervised = SupervisedAttempt(Effect.NOT_IDEMPOTENT, is_read=False)
    assert supervised.check(RESPONSE_TIMEOUT + 1) == []
    assert supervised.attempt.reported_unresponsive
    assert supervised.engine.ejections == 1  # the first failure of an engine that never responded
    assert supervised.check(RESPONSE_TIMEOUT + 2) == []
    assert supervised.engine.ejections == 1


def test_an_overdue_attempts_engine_is_checked_once_by_a_connection():
    supervised = SupervisedAttempt(may_check_connections=True)
    due = PREDICTED + CONNECTION_CHECK_DELAY_NS
    assert supervised.check(due - 1) == []
    assert supervised.check(due) == [CheckConnection("r1")]
    assert supervised.check(due + 1) == []


def test_failed_checks_end_the_wait():
    supervised = SupervisedAttempt(may_check_connections=True)
    for _ in range(MAX_FAILED_CHECKS):
        assert supervised.attempt.response_timeout == RESPONSE_TIMEOUT
        supervised.supervisor.connection_checked(ConnectionChecked("r1", reachable=False))
    assert supervised.attempt.response_timeout == 0
    assert supervised.check(1) == [CancelAttempt(1, 0)]


def test_passed_checks_and_those_of_unknown_engines_change_nothing():
    supervised = SupervisedAttempt(may_check_connections=True)
    supervised.supervisor.connection_checked(ConnectionChecked("r1", reachable=True))
    supervised.supervisor.connection_checked(ConnectionChecked("r9", reachable=False))
    assert supervised.attempt.failed_connection_checks == 0


@pytest.mark.parametrize(
    ("effect", "is_read", "may_cancel", "expected"),
    [
        (Effect.IDEMPOTENT, True, True, int(RESPONSIVE_TIMEOUT_FACTOR * RESPONSE_TIMEOUT)),
        (Effect.IDEMPOTENT, True, False, RESPONSE_TIMEOUT),
        (Effect.NOT_IDEMPOTENT, True, False, RESPONSE_TIMEOUT),
        (Effect.NOT_IDEMPOTENT, False, True, 6 * SECOND),
    ],
)
def test_the_timeout_follows_from_what_a_cancellation_would_cost(
    effect, is_read, may_cancel, expected
):
    assert SupervisedAttempt(effect, is_read, may_cancel=may_cancel).timeout() == expected


def test_no_timeout_lies_beyond_the_deadline():
    supervised = SupervisedAttempt()
    supervised.request.deadline = NOW + 10 * MS
    assert supervised.timeout() == 10 * MS
