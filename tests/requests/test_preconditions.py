"""The preconditions of actions, and their checks by the request manager and the frontends."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from claycross import interface as i
from claycross.frontends.base import ClientLimits, Frontend
from claycross.invariant import InvariantError
from claycross.net.loop import EventLoop
from claycross.requests import preconditions
from claycross.requests.manager import RequestManager
from claycross.requests.memory_account import MemoryAccount
from claycross.requests.preconditions import Denial, EarlierAttempt, SendFacts, StartFacts
from tests.routing.router_harness import MS, SECOND, entry, settings

KEYED_CLASSES = {
    scope: i.RequestClass(
        "k", 1, 2, effect="keyed", deduplication_scope=scope, idempotency_key_ttl=3 * SECOND
    )
    for scope in ("all", "zone", "cell")
}
SAFE_CLASS, UNSAFE_CLASS = i.RequestClass("s", 1, 2), i.RequestClass("u", 1, 2, effect="unsafe")
EARLIER_ATTEMPT = EarlierAttempt(10 * SECOND, "north", 0)  # the zone and cell of entry("r1")
RESULTS = [
    "",
    "ok",
    "read",
    "full",
    "stateless",
    "error",
    "timeout",
    "connect_failed",
    "local_error",
    "reset",
    "cancelled",
    "moot",
]


@pytest.mark.parametrize(
    ("spec", "engine", "now", "denial"),
    [
        (SAFE_CLASS, "r2", 99 * SECOND, None),
        (UNSAFE_CLASS, "r1", 10 * SECOND, Denial.MAY_HAVE_RUN),
        (KEYED_CLASSES["all"], "r2", 12 * SECOND, None),
        (KEYED_CLASSES["all"], "r2", 13 * SECOND - MS, Denial.WINDOW_OVER),
        (KEYED_CLASSES["zone"], "r3", 12 * SECOND, None),
        (KEYED_CLASSES["zone"], "r2", 12 * SECOND, Denial.OTHER_GROUP),
        (KEYED_CLASSES["cell"], "r1", 12 * SECOND, None),
        (KEYED_CLASSES["cell"], "r2", 12 * SECOND, Denial.OTHER_GROUP),
    ],
)
def test_retry_depends_on_the_effect_of_the_class(spec, engine, now, denial):
    assert preconditions.check_retry(spec, [EARLIER_ATTEMPT], entry(engine), now, MS) is denial
    assert preconditions.check_retry(spec, [], entry(engine), now, MS) is None


@pytest.mark.parametrize(
    ("spec", "denial"),
    [
        (SAFE_CLASS, None),
        (KEYED_CLASSES["all"], None),
        (KEYED_CLASSES["zone"], Denial.MAY_HAVE_RUN),
        (UNSAFE_CLASS, Denial.MAY_HAVE_RUN),
    ],
)
def test_request_is_rejected_only_if_a_retry_is_safe(spec, denial):
    assert preconditions.check_rejection(spec, [EARLIER_ATTEMPT]) is denial
    assert preconditions.check_rejection(spec, []) is None


@given(st.sampled_from(RESULTS))
def test_write_counts_as_not_run_only_after_a_proving_result(result):
    proving_results = {"read", "full", "stateless", "connect_failed", "local_error", "moot"}
    assert not preconditions.may_have_run(True, result)
    assert preconditions.may_have_run(False, result) is (result not in proving_results)


@given(
    st.lists(st.booleans(), min_size=3, max_size=3),
    st.sampled_from([None, "ready", "draining"]),
    st.integers(0, 3),
)
def test_first_byte_is_sent_only_if_nothing_denies_it(ended, engine_state, not_after):
    listed = entry("r1", engine_state) if engine_state else None
    denial = preconditions.check_send(SendFacts(*ended, listed, not_after, 2))
    allowed = not any(ended) and engine_state == "ready" and (not not_after or not_after > 2)
    assert (denial is None) is allowed


@pytest.mark.parametrize(
    ("facts", "denial"),
    [
        ((True, False, 1, 0, 3, 0, False), Denial.REQUEST_OVER),
        ((False, True, 1, 0, 3, 0, False), Denial.STREAMING),
        ((False, False, 0, 0, 3, 0, False), Denial.OUT_OF_TIME),
        ((False, False, 1, 3, 3, 0, False), Denial.ATTEMPTS_SPENT),
        ((False, False, 1, 1, 3, 1, False), Denial.HEDGE_NOT_ALLOWED),
        ((False, False, 1, 1, 3, 1, True), None),
    ],
)
def test_attempt_starts_only_for_a_request_that_can_use_it(facts, denial):
    assert preconditions.check_start(StartFacts(*facts)) is denial


@pytest.mark.parametrize(
    ("facts", "denial"),
    [
        ((True, True, False), Denial.STOPPING),
        ((False, True, False), Denial.LIST_UNCONFIRMED),
        ((False, True, True), Denial.DRAINED),
        ((False, False, True), None),
    ],
)
def test_process_is_ready_only_with_a_confirmed_list_and_not_drained(facts, denial):
    assert preconditions.check_ready(*facts) is denial


def test_connection_is_closed_only_if_answered_or_disconnected():
    assert preconditions.check_close(False, False) is Denial.UNANSWERED
    assert preconditions.check_close(True, False) is None
    assert preconditions.check_close(False, True) is None


class FrozenClock:
    """A clock that stands still and makes no scheduled call."""

    def now(self):
        return 100 * SECOND

    def call_later(self, delay, call):
        return type("Timer", (), {"cancel": lambda self: None})()


class InstantEngineCalls:
    """Engine calls that send every attempt at once."""

    def start(self, attempt):
        attempt.abort = lambda: True

    def abort(self, attempt):
        return True

    def release(self, *_):
        pass


class RecordingReply:
    """The reply to one request, which records how the request was answered."""

    def client_disconnected(self):
        return False

    def reject(self, retry_after):
        self.answer = "refused"

    def fail(self):
        self.answer = "failed"


@pytest.fixture
def manager():
    request_manager = RequestManager(settings(), 1, FrozenClock(), lambda text: None)
    request_manager.engine_calls = InstantEngineCalls()
    request_manager.update_endpoints(
        i.EndpointListUpdate("full", [entry(name) for name in ("r1", "w1", "w2")])
    )
    request_manager.process_events()
    return request_manager


def request_with_failed_write(manager):
    """A request that must not run twice, and its reply; its write ended in a reset."""
    reply = RecordingReply()
    request = manager.accept(i.RequestArrived(0, "once", 6 * SECOND), "key", None, reply)
    manager.events.clear()  # the router is bypassed: the manager has to detect its faults
    manager.start_attempt(i.StartAttempt(request.number, "w1", 0))
    manager.finish_attempt(request.attempts[0], "reset")
    request.unreported_attempts = 0  # as if it was reported to the router
    return request, reply


def test_manager_prevents_a_second_run_that_the_router_asks_for(manager):
    request, _ = request_with_failed_write(manager)
    with pytest.raises(InvariantError, match="may-repeat"):
        manager.start_attempt(i.StartAttempt(request.number, "w2", 0))


def test_manager_prevents_an_unsafe_rejection(manager):
    request, _ = request_with_failed_write(manager)
    with pytest.raises(InvariantError, match="may-refuse"):
        manager.reject_request(i.RejectRequest(request.number))


@pytest.mark.parametrize(
    ("finished", "closed", "violated"),
    [(False, False, True), (True, False, False), (False, True, False)],
)
def test_frontend_reports_a_connection_closed_on_an_unanswered_request(finished, closed, violated):
    loop = EventLoop()
    frontend = Frontend(loop, None, ("127.0.0.1", 0), ClientLimits(16, MemoryAccount(1 << 28)))
    connection = type(
        "Connection",
        (),
        {
            "closed": closed,
            "end_sending": lambda self: None,
            "close": lambda self: None,
            "recv": lambda self, span: b"",
        },
    )()
    frontend.exchanges[connection] = type("Exchange", (), {"finished": finished})()
    if violated:
        with pytest.raises(InvariantError, match="answered-before-close: unanswered"):
            frontend.end(connection)
    else:
        frontend.end(connection)
        assert connection not in frontend.exchanges and connection not in frontend.clients
