"""Engines that this gateway can reach are preferred, and others used if there are none."""

from claycross.interface import AttemptResult, EngineRole
from claycross.routing.engine import Attempt, Engine
from claycross.routing.reachability import CONNECT_FAILURE_WINDOW_NS, Reachability
from tests.routing.router_harness import SECOND, entry
from tests.routing.test_request_state import NOW, new_request

IDLE_TIMEOUT = 15 * SECOND


def engine(name: str, last_response: int = 0) -> Engine:
    made = Engine(entry(name), EngineRole.READER, memory=1000)
    made.last_response = last_response
    return made


def attempt(engine: Engine, result: AttemptResult) -> Attempt:
    return Attempt(
        number=0,
        engine=engine,
        is_read=True,
        in_place=False,
        sent_at=NOW,
        uncached_tokens=1.0,
        predicted_latency=1.0,
        credited_tokens=0,
        at_home=False,
        response_timeout=SECOND,
        result=result,
    )


def test_zones_where_an_engine_did_not_respond_to_the_request_are_avoided():
    north, south = engine("r1"), engine("r2")
    reachability = Reachability(IDLE_TIMEOUT)
    request = new_request()
    request.unresponsive_zones.add(north.entry.zone)
    assert reachability.prefer_reachable(request, [north, south], NOW) == [south]
    assert reachability.prefer_reachable(request, [north], NOW) == [north]


def test_while_connections_fail_engines_with_an_open_one_are_preferred():
    connected, other = engine("r1", last_response=NOW - SECOND), engine("r3")
    reachability = Reachability(IDLE_TIMEOUT)
    request = new_request()
    reachability.record_connect_failure(NOW)
    assert reachability.prefer_reachable(request, [connected, other], NOW) == [connected, other]
    reachability.record_connect_failure(NOW)
    assert reachability.prefer_reachable(request, [connected, other], NOW) == [connected]
    assert reachability.prefer_reachable(request, [other], NOW) == [other]
    later = NOW + CONNECT_FAILURE_WINDOW_NS
    assert reachability.prefer_reachable(request, [connected, other], later) == [connected, other]


def test_a_request_that_was_not_sent_is_retried_on_an_open_connection():
    connected, other = engine("r1", last_response=NOW - SECOND), engine("r3")
    request = new_request()
    request.attempts.append(attempt(other, AttemptResult.CONNECT_FAILED))
    preferred = Reachability(IDLE_TIMEOUT).prefer_reachable(request, [connected, other], NOW)
    assert preferred == [connected]
