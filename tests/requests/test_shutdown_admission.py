"""What a stopping process takes on ends before it is killed, and what can end is taken on.

Guards against the fault of review case 3: a request that came 1.5 s after SIGTERM was streamed
until SIGKILL cut it off, as only its first token, and not its end, had to fit into the shutdown.
"""

import math
from collections import Counter
from dataclasses import dataclass, replace

import pytest
from hypothesis import Phase, given, settings
from hypothesis import strategies as st

from claycross import interface as i
from claycross.recovery.shutdown_schedule import ShutdownSchedule
from claycross.requests import answer_endings
from claycross.requests.shutdown_admission import (
    MEASURED_BOUND_MARGIN,
    MIN_ANSWERS_FOR_LOWER_BOUND,
    AnswerTimes,
    ShutdownAdmission,
)
from tests.fleet.test_fleet import gateway
from tests.routing.router_harness import MS, READERS, SECOND, WRITERS, entry

BINDING_AFTER_NS = 700 * MS  # requests that come later must not be under way at the kill
CLIENT_TIMEOUT_NS = 6 * SECOND
KILL_NS = 3700 * MS  # after SIGTERM, for such deadlines
STEP_NS = 10 * MS
TOKEN_INTERVAL_NS = 60 * MS
MAX_OUTPUT_TOKENS = 45  # up to the whole time from the first such request to the kill


@dataclass
class Answer:
    """How the engines treat one request."""

    no_engine_ns: int  # from the request's arrival until engines are listed
    read_ns: int  # duration of a read
    failing_reads: int  # attempts that fail before one ends well
    first_token_ns: int  # from the start of a write to the first token
    tokens: int
    interval_ns: int  # between tokens
    tokens_before_silence: int | None = None  # the engine hangs after them; None: it does not

    def duration(self):
        return self.tokens * self.interval_ns


answers = st.builds(
    Answer,
    no_engine_ns=st.sampled_from([0, 0, 300 * MS, SECOND]),
    read_ns=st.integers(0, SECOND),
    failing_reads=st.sampled_from([0, 0, 1, 3]),
    first_token_ns=st.integers(0, 300 * MS),
    tokens=st.integers(0, MAX_OUTPUT_TOKENS),
    interval_ns=st.integers(TOKEN_INTERVAL_NS // 2, TOKEN_INTERVAL_NS),
    tokens_before_silence=st.one_of(st.none(), st.none(), st.integers(0, MAX_OUTPUT_TOKENS)),
)


class Engines:
    """The engine side of a manager: plays an answer in virtual time."""

    def __init__(self, manager, clock, answer):
        self.manager, self.clock, self.answer = manager, clock, answer
        self.failing_reads = answer.failing_reads

    def start(self, attempt):
        attempt.abort = lambda: True  # its request was written
        if not attempt.is_read:
            self.later(self.answer.first_token_ns, self.begin, attempt)
        elif self.failing_reads:
            self.failing_reads -= 1
            self.later(self.answer.read_ns, self.end, attempt, i.AttemptResult.ERROR)
        else:
            self.later(self.answer.read_ns, self.end, attempt, i.AttemptResult.READ)

    def later(self, span, call, *args):
        self.clock.call_later(span, lambda: call(*args))

    def begin(self, attempt):
        if not attempt.finished and self.manager.stream_started(attempt):
            self.stream(attempt, 0)

    def stream(self, attempt, number):
        """Send one token after the other until the engine falls silent, or the answer ends."""
        if number == self.answer.tokens_before_silence:
            return
        if number == self.answer.tokens:
            self.end(attempt, i.AttemptResult.OK)
            return
        self.manager.forward(attempt, b"token")
        self.later(self.answer.interval_ns, self.stream, attempt, number + 1)

    def end(self, attempt, result):
        self.manager.attempt_done(attempt, result)

    def abort(self, attempt):
        return True

    def release(self, engine, key, report, still_wanted):
        report(True)


class Reply:
    """The reply to one request, which records how it was answered."""

    def __init__(self):
        self.result = ""

    def write(self, data):
        pass

    def finish(self, complete):
        self.result = "served" if complete else "broken"

    def reject(self, retry_after):
        self.result = "refused"

    def fail(self):
        self.result = "failed"

    def client_disconnected(self):
        return False


def stopping_manager():
    """Return a manager that has just got SIGTERM, and its clock."""
    manager, clock, _ = gateway()
    for spec in manager.settings.classes.values():
        spec.timeout = CLIENT_TIMEOUT_NS
        spec.token_interval_objective = TOKEN_INTERVAL_NS
    schedule = ShutdownSchedule.for_deadlines(
        spec.timeout for spec in manager.settings.classes.values()
    )
    manager.start_shutdown(schedule.unrestricted, schedule.answered, schedule.counted)
    clock.call_later(schedule.cut_off, lambda: answer_endings.end_late_answers(manager))
    return manager, clock


def run_until(manager, clock, time, reply=None):
    """Let time pass until then, or until the request is answered."""
    while clock.now() < time and not (reply and reply.result):
        clock.pass_by(min(STEP_NS, time - clock.now()), manager)


def list_engines(manager, names):
    entries = [entry(name) for name in names]
    manager.update_endpoints(i.EndpointListUpdate(i.UpdateKind.FULL, entries))


def play(class_name, arrives_at, max_output_tokens, answer, known_pause=0):
    """Return how a request was answered by the time of the kill; "": it was not.

    `known_pause`: the longest pause within an earlier answer of its class.
    """
    manager, clock = stopping_manager()
    manager.arrivals.shutdown.times_of(class_name).pauses.append(known_pause)
    manager.engine_calls = Engines(manager, clock, answer)
    started_at = clock.now()
    run_until(manager, clock, started_at + arrives_at)
    if answer.no_engine_ns:
        list_engines(manager, [])
        clock.call_later(answer.no_engine_ns, lambda: list_engines(manager, READERS + WRITERS))
    reply = Reply()
    arrival = i.RequestArrived(
        0,
        class_name,
        CLIENT_TIMEOUT_NS,
        prompt_tokens=1000,
        max_output_tokens=max_output_tokens,
    )
    manager.accept(arrival, "key", None, reply)
    manager.process_events()
    run_until(manager, clock, started_at + KILL_NS, reply)
    return reply.result


def search(**options):
    """Search for a request that came late and is under way at the kill; return all results."""
    results = Counter()

    @settings(max_examples=300, deadline=None, database=None, derandomize=True, **options)
    @given(
        class_name=st.sampled_from(["ask", "once"]),
        arrives_at=st.integers(BINDING_AFTER_NS, 3300 * MS),
        allowed=st.integers(0, MAX_OUTPUT_TOKENS),
        answer=answers,
    )
    def check(class_name, arrives_at, allowed, answer):
        answer.tokens = min(answer.tokens, allowed)
        result = play(class_name, arrives_at, allowed, answer)
        results[result] += 1
        hangs = answer.tokens_before_silence is not None
        assert result in ("served", "refused", "failed", *(["broken"] if hangs else []))

    check()
    return results


def test_nothing_that_came_late_is_under_way_at_the_kill():
    results = search()
    assert results["served"] and results["refused"] and results["broken"], results


def test_the_search_finds_the_rule_that_counted_only_the_first_token(monkeypatch):
    def time_for_first_token(self, spec, allowed, time_left, arrived_at, now):
        return min(time_left, self.ends_at - now)

    monkeypatch.setattr(ShutdownAdmission, "time_for_first_token", time_for_first_token)
    with pytest.raises(AssertionError):
        search(phases=[Phase.generate])


def test_the_search_finds_a_shutdown_that_waits_for_a_silent_engine(monkeypatch):
    """Guards against review case 9: nothing ended a stream whose engine hung until the kill."""
    monkeypatch.setattr(answer_endings, "end_late_answers", lambda manager: None)
    with pytest.raises(AssertionError):
        search(phases=[Phase.generate])


QUICK = Answer(0, 10 * MS, 0, 10 * MS, 8, TOKEN_INTERVAL_NS)


@pytest.mark.parametrize("arrives_at", range(BINDING_AFTER_NS, 2600 * MS, 300 * MS))
def test_what_can_end_in_time_is_served(arrives_at):
    assert play("ask", arrives_at, QUICK.tokens, QUICK) == "served"


@pytest.mark.parametrize("arrives_at", [BINDING_AFTER_NS, 1500 * MS, 3 * SECOND])
def test_what_can_not_end_in_time_is_refused_at_once(arrives_at):
    assert play("once", arrives_at, MAX_OUTPUT_TOKENS, QUICK) == "refused"


@pytest.mark.parametrize(
    ("arrives_at", "result"),
    [(300 * MS, ""), (600 * MS, "broken"), (BINDING_AFTER_NS, "broken"), (1500 * MS, "broken")],
)
def test_a_stream_of_a_silent_engine_is_ended_unless_it_came_early(arrives_at, result):
    hanging = replace(QUICK, tokens_before_silence=3)
    assert play("ask", arrives_at, QUICK.tokens, hanging) == result


@pytest.mark.parametrize(("arrives_at", "result"), [(650 * MS, ""), (750 * MS, "broken")])
def test_a_stream_whose_events_still_come_is_ended_only_if_it_must_not_be_under_way(
    arrives_at, result
):
    slow = replace(QUICK, interval_ns=SECOND, tokens=20)
    assert play("ask", arrives_at, QUICK.tokens, slow, known_pause=2 * SECOND) == result


def test_what_came_before_is_answered_as_before():
    """It may still be under way at the kill, and most answers are shorter than allowed."""
    assert play("once", 300 * MS, MAX_OUTPUT_TOKENS, QUICK) == "served"


@given(
    paces=st.lists(st.integers(0, 10**9), max_size=2 * MIN_ANSWERS_FOR_LOWER_BOUND),
    objective=st.integers(0, 10**9),
)
def test_the_bound_of_an_answer_is_lowered_by_many_measurements_only(paces, objective):
    times = AnswerTimes()
    for pace in paces:
        times.record_answer(10, 10 * pace)
    bound = times.pace_bound(objective)
    if len(paces) >= MIN_ANSWERS_FOR_LOWER_BOUND:
        assert math.isclose(bound, MEASURED_BOUND_MARGIN * max(paces))
    elif objective:
        assert bound == max([objective, *paces])
    else:
        assert bound is None


@given(
    time_left=st.integers(0, 60 * SECOND),
    allowed=st.integers(0, 500),
    arrived_at=st.integers(0, 5 * SECOND),
    waited=st.integers(0, SECOND),
    interval=st.integers(0, 200 * MS),
    streaming=st.booleans(),
    first_token_time=st.integers(0, SECOND),
)
def test_the_first_token_and_the_answer_fit_into_what_is_left(
    time_left, allowed, arrived_at, waited, interval, streaming, first_token_time
):
    spec = i.RequestClass(
        "ask", SECOND, 6 * SECOND, streaming=streaming, token_interval_objective=interval
    )
    admission = ShutdownAdmission()
    now = arrived_at + waited
    assert admission.time_for_first_token(spec, allowed, time_left, arrived_at, now) == time_left
    admission.start(550 * MS, 3300 * MS)
    admission.times_of("ask").record_first_token(first_token_time)
    wait = admission.time_for_first_token(spec, allowed, time_left, arrived_at, now)
    assert 0 <= wait <= time_left
    if wait and arrived_at >= admission.restricted_from:
        bound = admission.answer_bound(spec, allowed)
        assert bound is not None and now + wait + bound <= admission.ends_at
        assert wait > first_token_time
