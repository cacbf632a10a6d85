"""The reservation of a state, in virtual time: it also expires while a write is in flight that may
not have arrived."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from claycross import interface as i
from claycross.requests import releases_in_flight
from claycross.requests.preconditions import NO_STATE_LEFT
from claycross.requests.request_metrics import RateLimiter
from claycross.requests.reserved_states import ReservationStatus, ReservedStates
from tests.fleet.test_fleet import accept_request, gateway
from tests.routing.router_harness import MS, READERS, SECOND, WRITERS, entry

RELEASE_WITHIN_NS = 300 * MS  # of the settings
GRACE_NS = 300 * MS  # of the protocol
SPANS_NS = st.integers(0, 2 * SECOND)


def gateway_with_reserved_state(**over):
    """A request whose state is reserved, with its write sent to an engine that does not respond."""
    manager, clock, engine_calls = gateway(**over)
    engine_calls.deaf = ()
    request, first_read = accept_request(manager)
    manager.attempt_done(first_read, "read")
    manager.process_events()
    return manager, clock, engine_calls, request, first_read


def complete_read(at, engine="r1"):
    states = ReservedStates(RELEASE_WITHIN_NS)
    states.read_ended(engine, "read", at)
    return states


@given(read_ended_at=SPANS_NS, write_delay=SPANS_NS)
def test_state_is_due_between_the_release_time_and_its_grace(read_ended_at, write_delay):
    states = complete_read(read_ended_at)
    write_due = states.due_after_send(read_ended_at + write_delay)
    assert (
        read_ended_at + RELEASE_WITHIN_NS
        < states.due()
        <= write_due
        <= states.due_while_connecting()
        < read_ended_at + RELEASE_WITHIN_NS + GRACE_NS
    )
    assert write_due - states.due() <= max(0, write_delay)


def test_new_state_replaces_a_released_one():
    states = complete_read(SECOND)
    states.expire(2 * SECOND, attempt_in_flight=False)
    assert not states.state_may_exist()
    states.read_ended("r2", "read", 3 * SECOND)
    assert states.state_may_exist()
    assert states.status is ReservationStatus.RESERVED
    assert states.state_count == 2


@pytest.mark.parametrize("result", sorted(NO_STATE_LEFT))
def test_read_that_left_no_state_keeps_the_record_of_an_earlier_read_at_the_same_engine(result):
    states = ReservedStates(RELEASE_WITHIN_NS)
    states.read_ended("r1", "reset", SECOND)
    states.read_ended("r1", result, 2 * SECOND)
    assert states.holders() == {"r1": False}


@given(called_after=st.integers(-SECOND, SECOND))
def test_only_a_release_called_after_the_read_ended_counts(called_after):
    states = complete_read(5 * SECOND)
    called_at = 5 * SECOND + called_after
    states.release_acknowledged("r2", called_at, called_at, write_in_flight=False)
    assert states.holders() == ({} if called_after >= 0 else {"r1": False})


def test_an_acknowledged_release_does_not_end_the_clock_of_an_interrupted_read():
    states = ReservedStates(RELEASE_WITHIN_NS)
    states.read_ended("r1", "reset", SECOND)
    states.release_acknowledged("r2", SECOND + 5 * MS, SECOND + 7 * MS, write_in_flight=False)
    assert not states.uncovered_holders()
    assert SECOND + 5 * MS < states.due() <= SECOND + 5 * MS + RELEASE_WITHIN_NS + GRACE_NS


def test_state_that_was_kept_for_a_write_has_a_clock_again_once_the_write_has_ended():
    states = complete_read(SECOND)
    states.release_acknowledged("r2", 2 * SECOND, 2 * SECOND, write_in_flight=True)
    assert states.due() is None
    states.write_ended(3 * SECOND)
    assert 3 * SECOND < states.due() <= 3 * SECOND + RELEASE_WITHIN_NS + GRACE_NS


def test_release_during_which_a_write_ended_proves_nothing():
    """The write may have been waiting for the state when the release arrived."""
    states = complete_read(SECOND)
    states.write_ended(2 * SECOND)
    states.release_acknowledged("r1", 2 * SECOND - MS, 2 * SECOND, write_in_flight=False)
    assert states.holders() == {"r1": False}


@pytest.mark.parametrize("result", ["timeout", "cancelled", "reset", "connect_failed"])
def test_an_attempt_without_a_response_does_not_restart_the_clock(result):
    manager, clock, engine_calls, request, first_read = gateway_with_reserved_state()
    due = request.states.due()
    clock.pass_by(200 * MS, manager)
    manager.attempt_done(engine_calls.started[-1], result)
    assert request.states.due() == due


def test_first_token_ends_all_but_interrupted_reads_which_are_released_at_the_end():
    manager, clock, engine_calls = gateway()
    engine_calls.deaf = ()
    request, first_read = accept_request(manager)
    manager.attempt_done(first_read, "reset")
    manager.process_events()
    manager.attempt_done(engine_calls.started[-1], "read")
    manager.process_events()
    write = engine_calls.started[-1]
    manager.stream_started(write)
    manager.process_events()
    assert request.states.holders() == {first_read.engine: False}
    engine_calls.released.clear()
    clock.pass_by(SECOND, manager)
    assert not engine_calls.released  # the answer is being streamed
    manager.attempt_done(write, "ok")
    manager.process_events()
    clock.pass_by(SECOND, manager)
    assert (first_read.engine, "k1") in engine_calls.released
    assert not manager.requests


def test_state_is_released_although_its_write_is_in_flight():
    manager, clock, engine_calls, request, first_read = gateway_with_reserved_state()
    read_finished_at = clock.at
    clock.pass_by(RELEASE_WITHIN_NS, manager)
    assert not engine_calls.released
    clock.pass_by(GRACE_NS, manager)
    assert engine_calls.released == [(first_read.engine, "k1")]  # once, as it was acknowledged
    assert clock.at - read_finished_at <= RELEASE_WITHIN_NS + GRACE_NS
    write = engine_calls.started[-1]
    assert not request.finished and not write.finished


def test_write_that_streams_in_time_keeps_its_state():
    manager, clock, engine_calls, request, first_read = gateway_with_reserved_state()
    clock.pass_by(RELEASE_WITHIN_NS, manager)
    manager.stream_started(engine_calls.started[-1])
    clock.pass_by(SECOND, manager)
    assert not engine_calls.released


def test_state_of_an_earlier_read_is_released_before_the_next_read_is_sent():
    """A release during the next read would also apply to its state; a release after it may come too
    late, as the read may never arrive."""
    manager, clock, engine_calls, request, first_read = gateway_with_reserved_state()
    engine_calls.unmade = {"none"}  # release calls wait to be sent
    started_before = len(engine_calls.started)
    # The writer found no state; that of the first read may still be reserved at its engine.
    manager.attempt_done(engine_calls.started[-1], "stateless")
    manager.process_events()
    assert len(engine_calls.started) == started_before and len(engine_calls.calls) == 1
    engine_calls.written()
    assert engine_calls.released == [(first_read.engine, "k1")]
    assert engine_calls.started[started_before].is_read
    clock.pass_by(RELEASE_WITHIN_NS + GRACE_NS, manager)
    assert len(engine_calls.released) == 1  # no release during the read


def test_read_waits_for_a_silent_holder_until_the_state_is_due():
    manager, clock, engine_calls, request, first_read = gateway_with_reserved_state()
    engine_calls.unmade = {"none"}
    started_before = len(engine_calls.started)
    manager.attempt_done(engine_calls.started[-1], "stateless")
    manager.process_events()
    clock.pass_by(request.states.due() - clock.now() - 1, manager)
    assert len(engine_calls.started) == started_before
    clock.pass_by(1, manager)
    assert len(engine_calls.started) == started_before + 1
    engine_calls.written()
    # The state is due, and nobody has acknowledged its release: the calls go on beside the read.
    assert (first_read.engine, "k1") in engine_calls.released


def test_connecting_write_extends_the_reservation():
    manager, clock, engine_calls = gateway()
    engine_calls.deaf = ()
    request, first_read = accept_request(manager)
    engine_calls.unmade = set(WRITERS)
    manager.attempt_done(first_read, "read")
    manager.process_events()
    clock.pass_by(RELEASE_WITHIN_NS + 240 * MS, manager)
    engine_calls.written()
    assert not engine_calls.released
    write = engine_calls.started[-1]
    write.abort = lambda: True  # connected, and the write is sent
    manager.attempt_sent(write)
    clock.pass_by(20 * MS, manager)
    engine_calls.written()
    assert engine_calls.released == [(first_read.engine, "k1")]


def test_release_of_an_older_state_is_not_sent_once_a_newer_one_is_reserved():
    manager, clock, engine_calls, request, first_read = gateway_with_reserved_state()
    engine_calls.unmade = {"none"}  # release calls wait to be sent
    clock.pass_by(RELEASE_WITHIN_NS + 100 * MS, manager)
    assert engine_calls.calls
    manager.attempt_done(engine_calls.started[-1], "stateless")
    manager.process_events()
    clock.pass_by(RELEASE_WITHIN_NS + 100 * MS, manager)
    second_read = engine_calls.started[-1]
    assert second_read.is_read and second_read.engine in READERS
    manager.attempt_done(second_read, "read")
    manager.process_events()
    engine_calls.written()
    assert not engine_calls.released


def test_write_at_a_mixed_engine_needs_no_state():
    manager, clock, engine_calls, request, first_read = gateway_with_reserved_state(may_hedge=True)
    manager.update_endpoints(i.EndpointListUpdate("changes", [entry("m1")]))
    clock.pass_by(RELEASE_WITHIN_NS + 100 * MS, manager)
    request.states.expire(clock.now(), attempt_in_flight=False)
    manager.finish_attempt(engine_calls.started[-1], "stateless")
    manager.start_attempt(i.StartAttempt(request.number, "w2", 0))  # it would find no state
    assert engine_calls.started[-1].engine != "w2"
    assert manager.counts["denied-send-state-released"] == 1
    manager.start_attempt(i.StartAttempt(request.number, "m1", 0))
    assert engine_calls.started[-1].engine == "m1"


def test_end_of_a_request_releases_its_state_again():
    manager, clock, engine_calls, request, first_read = gateway_with_reserved_state()
    clock.pass_by(RELEASE_WITHIN_NS + 100 * MS, manager)
    releases_before = len(engine_calls.released)
    manager.client_disconnected(request)
    manager.process_events()
    clock.pass_by(SECOND, manager)
    assert len(engine_calls.released) > releases_before
    assert not manager.requests
    assert not manager.state_releases.in_flight.releases


def test_releases_over_the_bound_drop_those_that_are_acknowledged_first(monkeypatch):
    """An obligation is dropped only if all releases in flight are still owed."""
    monkeypatch.setattr(releases_in_flight, "MAX_RELEASES", 3)
    manager, clock, engine_calls = gateway()
    engine_calls.deaf = {*READERS, *WRITERS}
    in_flight = manager.state_releases.in_flight
    for key in ("a", "b", "c"):
        in_flight.start("r1", key, may_be_silent=True)
    in_flight.latest["b", "r1"].relayed = True
    in_flight.start("r1", "d", may_be_silent=True)
    assert [release.key for release in in_flight.releases] == ["a", "c", "d"]
    assert "release-dropped" not in manager.counts
    in_flight.start("r1", "e", may_be_silent=True)
    assert [release.key for release in in_flight.releases] == ["c", "d", "e"]
    assert manager.counts["release-dropped"] == 1


def test_state_that_is_due_is_logged_with_what_was_in_flight():
    lines = []
    manager, clock, engine_calls = gateway()
    manager.metrics.log = lines.append
    request, first_read = accept_request(manager)
    manager.attempt_done(first_read, "reset")
    manager.process_events()
    clock.pass_by(2 * SECOND, manager)
    due = next(line for line in lines if line.startswith("state-due"))
    assert f"request=k1 engine={first_read.engine} read=reset" in due
    assert "in_flight=" in due
    limiter = RateLimiter(2)
    assert [limiter.admit(SECOND + n) for n in range(4)] == [0, 0, None, None]
    assert limiter.admit(3 * SECOND) == 2
    assert manager.release_gauges().states >= 1
