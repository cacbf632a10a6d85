"""Admission control: the order of queued requests, writer memory and early rejection."""

import pytest

from claycross.fleet.load_gossip import LoadGossip
from claycross.interface import EngineRole, LoadReport, RequestArrived, RequestClass
from claycross.routing.admission import AdmissionControl, ReadDecision
from claycross.routing.engine import Engine
from claycross.routing.latency_prediction import LatencyPredictor
from claycross.routing.load_estimation import MAX_WRITER_MEMORY_SHARE, LoadEstimator
from claycross.routing.outlier_detection import OutlierDetector
from claycross.routing.rendezvous import tag
from claycross.routing.request_state import Request, RequestStage
from tests.routing.router_harness import SECOND, entry, settings

NOW = 100 * SECOND
MEMORY = 10_000


@pytest.fixture
def admission() -> AdmissionControl:
    chosen = settings(gateway_count=1, over_quota_weight=0.1)
    health = OutlierDetector(chosen, lambda: 0.5)
    for name, role in (("r1", EngineRole.READER), ("w1", EngineRole.WRITER)):
        health.engines[name] = Engine(entry(name), role, MEMORY)
    health.pool.begin_batch(NOW)
    loads = LoadEstimator(chosen, health, LoadGossip(1, tag))
    return AdmissionControl(chosen, health, loads, LatencyPredictor(health, loads))


def new_request(number: int, weight: float = 1.0, arrived_at: int = NOW) -> Request:
    request_class = RequestClass("class", 2 * SECOND, 6 * SECOND, priority_weight=weight)
    arrival = RequestArrived(number, "class", 6 * SECOND, prompt_tokens=1000)
    return Request(arrival, request_class, arrived_at, 0)


def test_queued_requests_start_by_priority_then_by_age(admission):
    ordinary = new_request(1)
    older = new_request(2, arrived_at=NOW - SECOND)
    important = new_request(3, weight=2.0)
    over_quota = new_request(4, weight=2.0, arrived_at=NOW - SECOND)
    over_quota.over_quota = True
    queued = [over_quota, ordinary, older, important]
    assert admission.in_order(queued) == [important, older, ordinary, over_quota]


def test_reads_in_flight_reserve_the_memory_that_they_will_need(admission):
    writer = admission.health.engines["w1"]
    reading = new_request(1)
    reading.stage = RequestStage.READING
    queued = new_request(2)
    free = admission.free_writer_memory([writer], [reading, queued], NOW)
    assert free == MAX_WRITER_MEMORY_SHARE * MEMORY - reading.writer_memory


def test_a_full_writer_has_no_free_memory(admission):
    writer = admission.health.engines["w1"]
    writer.full_until = NOW + 1
    assert admission.free_writer_memory([writer], [], NOW) == 0.0


def test_a_half_open_writer_counts_only_if_there_is_no_other(admission):
    trusted = admission.health.engines["w1"]
    trusted.report = LoadReport(memory_share=0.5)
    half_open = Engine(entry("w2"), EngineRole.WRITER, MEMORY)
    half_open.ejections = 1
    free = (MAX_WRITER_MEMORY_SHARE - 0.5) * MEMORY
    assert admission.free_writer_memory([trusted, half_open], [], NOW) == pytest.approx(free)
    assert admission.free_writer_memory([half_open], [], NOW) == MAX_WRITER_MEMORY_SHARE * MEMORY


@pytest.mark.parametrize(
    ("tokens_ahead", "latency", "decision"),
    [
        (0.0, 60 * SECOND, ReadDecision.START),  # an idle reader takes any read
        (100.0, SECOND, ReadDecision.START),
        (100.0, 1.5 * SECOND, ReadDecision.WAIT),  # late only at the safe quantile
        (100.0, 3 * SECOND, ReadDecision.SHED),
    ],
)
def test_a_read_starts_waits_or_is_shed_by_its_predicted_latency(
    admission, tokens_ahead, latency, decision
):
    reader = admission.health.engines["r1"]
    reader.reading_tokens = tokens_ahead
    admission.predictor.error_quantiles = [1.0, 1.5]
    assert admission.decide_read(new_request(1), reader, latency, NOW) is decision


def test_only_classes_that_value_late_answers_get_an_idle_reader_when_late(admission):
    idle, busy = admission.health.engines["r1"], Engine(entry("r3"), EngineRole.READER, MEMORY)
    busy.reading_tokens = 100.0
    lenient = RequestClass("class", 2 * SECOND, 6 * SECOND, late_weight=0.3)
    strict = RequestClass("class", 2 * SECOND, 6 * SECOND)
    assert admission.readers_for_late_request(lenient, [busy, idle], NOW) == [idle]
    assert admission.readers_for_late_request(strict, [busy, idle], NOW) == []
