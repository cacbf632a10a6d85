"""The reservation of a state, in virtual time: it also expires while a write is in flight that may
not have arrived."""

from hypothesis import given
from hypothesis import strategies as st

from claycross import interface as i
from claycross.requests.release_coordinator import RELEASE_BEFORE_READ_TIMEOUT_NS
from claycross.requests.reservation_timer import ReservationStatus, ReservationTimer
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


@given(last_result_at=SPANS_NS, write_delay=SPANS_NS)
def test_reservation_expires_between_the_release_time_and_its_grace(last_result_at, write_delay):
    reservation = ReservationTimer(RELEASE_WITHIN_NS)
    reservation.restart(last_result_at)
    write_due = reservation.due_after_send(last_result_at + write_delay)
    assert (
        last_result_at + RELEASE_WITHIN_NS
        < reservation.due()
        <= write_due
        <= reservation.due_while_connecting()
        < last_result_at + RELEASE_WITHIN_NS + GRACE_NS
    )
    assert write_due - reservation.due() <= max(0, write_delay)


def test_new_state_replaces_a_released_one():
    reservation = ReservationTimer(RELEASE_WITHIN_NS)
    reservation.state_created()
    reservation.mark_released(write_in_flight=False)
    assert not reservation.state_may_exist()
    reservation.state_created()
    assert reservation.state_may_exist()
    assert reservation.status is ReservationStatus.RESERVED
    assert reservation.state_count == 2


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


def test_read_waits_a_bounded_time_for_a_silent_holder():
    manager, clock, engine_calls, request, first_read = gateway_with_reserved_state()
    engine_calls.unmade = {"none"}
    started_before = len(engine_calls.started)
    manager.attempt_done(engine_calls.started[-1], "stateless")
    manager.process_events()
    clock.pass_by(RELEASE_BEFORE_READ_TIMEOUT_NS, manager)
    assert len(engine_calls.started) == started_before + 1
    engine_calls.written()
    assert not engine_calls.released  # the read is in flight, so no call is sent


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
    clock.pass_by(RELEASE_BEFORE_READ_TIMEOUT_NS, manager)
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
    request.reservation.mark_released(write_in_flight=False)
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
    assert not manager.state_releases.releases
