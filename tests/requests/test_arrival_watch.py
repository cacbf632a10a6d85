"""No attempt arrives once the engines may have stopped dropping repeats of another one."""

from types import SimpleNamespace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from claycross import interface as i
from claycross.requests.arrival_watch import ArrivalWatch
from claycross.requests.attempt_checks import AttemptChecks
from claycross.requests.records import Attempt
from tests.fleet.test_fleet import FakeReply, VirtualClock, gateway
from tests.routing.router_harness import MS, SECOND

KEY_TTL_NS = 2 * SECOND
SLACK_NS = 50 * MS  # of the protocol page, on sockets
END_NS = 10 * SECOND


class Sends:
    """Attempts of one request with a key, in virtual time, and what arrives of them."""

    def __init__(self, effect=i.Effect.WITH_IDEMPOTENCY_KEY):
        self.clock = VirtualClock()
        self.started_at = self.clock.now()
        manager, _, _ = gateway()
        spec = manager.settings.classes["ask"]
        spec.effect, spec.idempotency_key_ttl = effect, KEY_TTL_NS
        arrival = i.RequestArrived(0, "ask", END_NS, prompt_tokens=10)
        self.request = manager.accept(arrival, "key", None, FakeReply())
        self.checks = AttemptChecks(
            manager.settings, self.clock, manager.directory, manager.metrics
        )
        self.watch = ArrivalWatch(self.clock, self.checks, self.end)
        self.endpoint = next(
            entry for name, entry in manager.endpoints.items() if name.startswith("w")
        )
        self.arrived = {}
        self.ended = []

    def end(self, attempt):
        attempt.finished, attempt.result = True, i.AttemptResult.TIMEOUT
        self.ended.append(attempt)

    def start(self, arrives_in):
        """Start an attempt whose first byte is sent at once; None: its last one never arrives."""
        number = len(self.request.attempts)
        action = i.StartAttempt(self.request.number, self.endpoint.engine, END_NS)
        attempt = self.checks.new_attempt(self.request, action)
        assert isinstance(attempt, Attempt)
        self.request.attempts.append(attempt)
        attempt.abort, attempt.has_arrived = lambda: True, lambda: number in self.arrived
        if arrives_in is not None:
            self.clock.call_later(arrives_in, lambda: self.arrive(attempt))
        self.watch.update(self.request)

    def arrive(self, attempt):
        if not attempt.finished:
            self.arrived[attempt.number] = self.clock.now()

    def run(self, span):
        self.clock.pass_by(span, SimpleNamespace(process_events=lambda: None))

    def late_arrivals(self):
        """Attempts that arrived after the window of the first that had arrived before them."""
        started = {attempt.number: attempt.started_at for attempt in self.request.attempts}
        return [
            number
            for number, at in self.arrived.items()
            if any(
                at > started[other] + KEY_TTL_NS + SLACK_NS
                for other, other_at in self.arrived.items()
                if other_at < at
            )
        ]


plans = st.lists(
    st.tuples(st.integers(0, 3 * SECOND), st.one_of(st.none(), st.integers(0, 6 * SECOND))),
    min_size=1,
    max_size=4,
)


@given(plans)
def test_a_repeat_arrives_within_the_window_or_never(plan):
    sends = Sends()
    for wait, arrives_in in plan:
        sends.run(wait)
        sends.start(arrives_in)
    sends.run(END_NS)
    assert not sends.late_arrivals()


def test_the_claim_finds_attempts_that_nobody_watches(monkeypatch):
    monkeypatch.setattr(ArrivalWatch, "update", lambda self, request: None)
    with pytest.raises(AssertionError):
        test_a_repeat_arrives_within_the_window_or_never()


def test_an_earlier_attempt_is_bounded_by_a_later_one_that_arrives_before_it():
    sends = Sends()
    sends.start(arrives_in=5 * SECOND)
    sends.run(100 * MS)
    sends.start(arrives_in=10 * MS)
    sends.run(END_NS)
    assert list(sends.arrived) == [1] and [attempt.number for attempt in sends.ended] == [0]


def test_an_attempt_that_has_arrived_is_not_ended():
    sends = Sends()
    for _ in range(2):
        sends.start(arrives_in=10 * MS)
    sends.run(END_NS)
    assert len(sends.arrived) == 2 and not sends.ended


@pytest.mark.parametrize("effect", [i.Effect.IDEMPOTENT, i.Effect.NOT_IDEMPOTENT])
def test_requests_without_a_key_have_no_window(effect):
    sends = Sends(effect)
    for _ in range(2):
        sends.start(arrives_in=5 * SECOND)
    sends.run(END_NS)
    assert len(sends.arrived) == 2
