"""The clock of what is held, in virtual time: it runs while an attempt is out that may not have
arrived."""

from hypothesis import given
from hypothesis import strategies as st

from claycross import interface as i
from claycross.requests.release_coordinator import RELEASE_BEFORE_READ_TIMEOUT
from claycross.requests.reservation_timer import ReservationStatus, ReservationTimer
from tests.fleet.test_fleet import accept_request, gateway
from tests.routing.router_harness import MS, READERS, SECOND, WRITERS, entry

WITHIN, GRACE = 300 * MS, 300 * MS  # of the settings, and of wires
SPANS = st.integers(0, 2 * SECOND)


def read(**over):
    """A request whose state is held, with its write written to an engine that says nothing."""
    core, clock, wires = gateway(**over)
    wires.deaf = ()
    r, first = accept_request(core)
    core.attempt_done(first, "read")
    core.process_events()
    return core, clock, wires, r, first


@given(since=SPANS, written_after=SPANS)
def test_a_hold_is_due_after_the_rules_time_and_with_room_for_the_call(since, written_after):
    clock = ReservationTimer(WITHIN)
    clock.restart(since)
    written = clock.due_written(since + written_after)
    assert (
        since + WITHIN < clock.due() <= written <= clock.due_connecting() < since + WITHIN + GRACE
    )
    assert written - clock.due() <= max(0, written_after)


def test_a_new_state_makes_a_release_forgotten():
    clock = ReservationTimer(WITHIN)
    clock.read()
    clock.release(write_out=False)
    assert not clock.may_be_used()
    clock.read()
    assert clock.may_be_used() and clock.status is ReservationStatus.RESERVED and clock.states == 2


def test_a_state_is_let_go_though_its_write_is_out():
    core, clock, wires, r, first = read()
    settled = clock.at
    clock.pass_by(WITHIN, core)
    assert not wires.released
    clock.pass_by(GRACE, core)
    assert wires.released == [(first.engine, "k1")]  # once: it was heard
    assert clock.at - settled <= WITHIN + GRACE
    assert not r.finished and not wires.started[-1].finished  # the write is waited for as before


def test_a_write_that_begins_in_time_keeps_its_state():
    core, clock, wires, r, first = read()
    clock.pass_by(WITHIN, core)
    core.stream_started(wires.started[-1])
    clock.pass_by(SECOND, core)
    assert not wires.released


def test_the_state_of_an_earlier_read_is_let_go_before_the_next_read_goes_out():
    """Beside the next read it would let go of what that makes; after it the read may have arrived
    nowhere."""
    core, clock, wires, r, first = read()
    wires.unmade = {"none"}  # calls wait to be written
    sent = len(wires.started)
    core.attempt_done(
        wires.started[-1], "stateless"
    )  # of this state; what else was read for it may be there still
    core.process_events()
    assert len(wires.started) == sent and len(wires.calls) == 1
    wires.written()
    assert wires.released == [(first.engine, "k1")] and wires.started[sent].is_read
    clock.pass_by(WITHIN + GRACE, core)
    assert len(wires.released) == 1  # none beside the read


def test_a_read_does_not_wait_long_for_a_holder_that_says_nothing():
    core, clock, wires, r, first = read()
    wires.unmade = {"none"}
    sent = len(wires.started)
    core.attempt_done(wires.started[-1], "stateless")
    core.process_events()
    clock.pass_by(RELEASE_BEFORE_READ_TIMEOUT, core)
    assert len(wires.started) == sent + 1
    wires.written()
    assert not wires.released  # the read is out: nothing is called any more


def test_a_write_that_is_still_connecting_is_given_the_time_of_a_dial():
    core, clock, wires = gateway()
    wires.deaf = ()
    r, first = accept_request(core)
    wires.unmade = set(WRITERS)
    core.attempt_done(first, "read")
    core.process_events()
    clock.pass_by(WITHIN + 240 * MS, core)
    wires.written()
    assert not wires.released
    write = wires.started[-1]
    write.abort = lambda: True  # it is up, and the write goes out
    core.attempt_sent(write)
    clock.pass_by(20 * MS, core)
    wires.written()
    assert wires.released == [(first.engine, "k1")]


def test_a_release_for_an_older_state_is_not_written_once_a_newer_one_is_held():
    core, clock, wires, r, first = read()
    wires.unmade = {"none"}  # calls wait to be written
    clock.pass_by(WITHIN + 100 * MS, core)
    assert wires.calls
    core.attempt_done(wires.started[-1], "stateless")
    core.process_events()
    clock.pass_by(RELEASE_BEFORE_READ_TIMEOUT, core)
    again = wires.started[-1]
    assert again.is_read and again.engine in READERS
    core.attempt_done(again, "read")
    core.process_events()
    wires.written()
    assert not wires.released


def test_a_mixed_engine_that_reads_by_itself_needs_no_state():
    core, clock, wires, r, first = read(may_hedge=True)
    core.update_endpoints(i.EndpointListUpdate("changes", [entry("m1")]))
    clock.pass_by(WITHIN + 100 * MS, core)
    r.reservation.release(write_out=False)
    core.finish_attempt(wires.started[-1], "stateless")
    core.start_attempt(i.StartAttempt(r.number, "w2", 0))  # it would find no state
    assert wires.started[-1].engine != "w2" and core.counts["denied-send-state-released"] == 1
    core.start_attempt(i.StartAttempt(r.number, "m1", 0))
    assert wires.started[-1].engine == "m1"


def test_a_request_that_ends_lets_go_once_more_of_what_was_spared():
    core, clock, wires, r, first = read()
    clock.pass_by(WITHIN + 100 * MS, core)
    before = len(wires.released)
    core.client_disconnected(r)
    core.process_events()
    clock.pass_by(SECOND, core)
    assert len(wires.released) > before and not core.requests and not core.state_releases.releases
