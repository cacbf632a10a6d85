"""The state of an accepted request, and the table of open requests."""

import pytest

from claycross.interface import RequestArrived, RequestClass
from claycross.routing.request_state import Request, RequestStage
from claycross.routing.request_table import FORGET_AFTER_NS, RequestTable
from tests.routing.router_harness import MS, SECOND

NOW = 100 * SECOND


def new_request(time_left: int = 6 * SECOND, number: int = 1, **fields) -> Request:
    request_class = RequestClass(
        "class", latency_objective=2 * SECOND, timeout=6 * SECOND, token_interval_objective=50 * MS
    )
    arrival = RequestArrived(number, "class", time_left, prompt_tokens=1000, **fields)
    return Request(arrival, request_class, NOW, deadline_margin=3 * MS)


def test_it_is_answered_a_margin_before_the_client_gives_up():
    assert new_request().deadline == NOW + 6 * SECOND - 3 * MS


def test_the_latency_objective_lies_no_later_than_the_deadline():
    assert new_request().objective_at == NOW + 2 * SECOND
    late = new_request(time_left=SECOND)
    assert late.objective_at == late.deadline


@pytest.mark.parametrize(
    ("hint", "limit", "expected"),
    [
        (0, 200, 100),  # half of the limit
        (5 * SECOND, 0, 100),  # the hint at one token each 50 ms
        (5 * SECOND, 60, 60),  # the hint exceeds the limit
    ],
)
def test_a_writer_needs_memory_for_the_prompt_and_the_expected_answer(hint, limit, expected):
    request = new_request(answer_duration_hint=hint, max_output_tokens=limit)
    assert request.writer_memory == 1000 + expected


def test_a_request_waits_in_one_queue_at_a_time():
    table = RequestTable()
    request = new_request()
    table.add(request)
    assert table.has_waiting() and request.stage is RequestStage.QUEUED
    del table.queued[request.id]
    table.await_writer(request)
    assert table.has_waiting() and request.stage is RequestStage.AWAITING_WRITER
    table.stop_waiting(request)
    assert not table.has_waiting() and table.requests == {1: request}


def test_requests_whose_results_never_come_are_dropped():
    table = RequestTable()
    early, late = new_request(number=1), new_request(time_left=60 * SECOND, number=2)
    table.add(early)
    table.add(late)
    table.forget_expired(early.deadline + FORGET_AFTER_NS)
    assert table.requests == {1: early, 2: late}
    table.forget_expired(early.deadline + FORGET_AFTER_NS + 1)
    assert table.requests == {2: late}
