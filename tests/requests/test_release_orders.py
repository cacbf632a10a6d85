"""No order of events makes an engine hold a state for too long, answers a client twice or not at
all, or runs a request twice that must not be.

All orders with up to MAX_DEVIATIONS events that go wrong are played, and some deeper ones at
random. More of them: `python -m tests.requests.release_model --help`.
"""

import pytest

from claycross.requests.release_coordinator import ReleaseCoordinator
from claycross.requests.reserved_states import ReservedStates
from tests.requests.release_model import PLATFORMS, explore, random_runs

MAX_DEVIATIONS = 3
MAX_PLANTED_DEVIATIONS = 2  # in runs of a planted fault
MAX_CHOICES = 14  # choices of a run that are varied
RANDOM_RUNS = 400
RANDOM_DEVIATION_SHARE = 0.35
SEED = 20261204
REQUEST_CLASSES = ("ask", "once")  # idempotent, and not


def first_finding(findings):
    return next((finding for finding in findings if finding), None)


def shortest_finding(max_deviations):
    """Return the first finding of the search, which has the fewest deviations."""
    for request_class in REQUEST_CLASSES:
        finding = first_finding(explore(max_deviations, MAX_CHOICES, request_class, PLATFORMS[0]))
        if finding:
            print(f"{request_class}: {finding}")
            return finding
    return None


@pytest.mark.parametrize("platform", PLATFORMS)
@pytest.mark.parametrize("request_class", REQUEST_CLASSES)
def test_no_order_of_events_violates_a_rule(request_class, platform):
    findings = explore(MAX_DEVIATIONS, MAX_CHOICES, request_class, platform)
    finding = first_finding(findings)
    assert finding is None, str(finding)


@pytest.mark.parametrize("platform", PLATFORMS)
@pytest.mark.parametrize("request_class", REQUEST_CLASSES)
def test_no_random_order_of_many_events_violates_a_rule(request_class, platform):
    findings = random_runs(SEED, RANDOM_RUNS, RANDOM_DEVIATION_SHARE, request_class, platform)
    finding = first_finding(findings)
    assert finding is None, str(finding)


def unless_in_flight(original, reads_only):
    """Return the release of due states as it was: not while an attempt is in flight."""

    def states_due(coordinator, request):
        if not any(a.is_read or not reads_only for a in request.attempts_in_flight()):
            original(coordinator, request)

    return states_due


def forget_all(states, _engine, _called_at, _now, *, write_in_flight):
    """Take any acknowledgement as the end of all states, also of reads that may still run."""
    states.states = []


@pytest.mark.parametrize(
    ("fault", "length"),
    [("waits for reads", 2), ("waits for writes", 1), ("acknowledgement counts too early", 2)],
)
def test_search_finds_each_planted_fault(monkeypatch, fault, length):
    """The faults of two incidents, and one that was avoided."""
    original = ReleaseCoordinator.states_due
    planted = {
        "waits for reads": (ReleaseCoordinator, "states_due", unless_in_flight(original, True)),
        "waits for writes": (ReleaseCoordinator, "states_due", unless_in_flight(original, False)),
        "acknowledgement counts too early": (ReservedStates, "release_acknowledged", forget_all),
    }
    monkeypatch.setattr(*planted[fault])
    finding = shortest_finding(MAX_PLANTED_DEVIATIONS)
    assert finding is not None
    assert len(finding.deviations) == length
    assert any("held for" in violation for violation in finding.violations)
