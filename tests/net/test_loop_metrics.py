"""LoopMetrics: the log line of a slow iteration, the summary, and detaching."""

import gc
import re
import time

import pytest

from claycross.net.loop import MS, EventLoop
from claycross.net.loop_metrics import LoopMetrics

SLOW_CALL_S = 0.05
MIN_MEASURED_MS = 45  # for a call that takes SLOW_CALL_S


def use_cpu():
    end = time.thread_time() + SLOW_CALL_S
    while time.thread_time() < end:
        pass


def sleep():
    time.sleep(SLOW_CALL_S)


def collect_garbage():
    objects = [[n] for n in range(400_000)]
    gc.collect()
    use_cpu()
    del objects


def do_nothing():
    pass


@pytest.mark.parametrize(
    ("call", "uses_cpu", "collects"),
    [
        (use_cpu, True, False),
        (sleep, False, False),
        (collect_garbage, True, True),
        (do_nothing, None, None),
    ],
)
def test_a_slow_iteration_logs_its_longest_call_cpu_time_and_gc_time(call, uses_cpu, collects):
    loop, lines = EventLoop(), []
    metrics = LoopMetrics(loop, lines.append)
    try:
        loop.call_later(2 * MS, do_nothing)
        loop.call_later(2 * MS, call)
        for _ in range(8):
            loop.call_later(2 * MS, do_nothing)
            loop.run_iteration()
    finally:
        metrics.detach()
    slow = [line for line in lines if f"longest={call.__qualname__} " in line]
    if call is do_nothing:
        return
    assert len(slow) == 1, lines
    assert slow[0].startswith("slow-iteration ms="), slow
    fields = {name: float(value) for name, value in re.findall(r"(\w+_ms)=([\d.]+)", slow[0])}
    assert fields["longest_ms"] >= MIN_MEASURED_MS
    assert (fields["cpu_ms"] >= MIN_MEASURED_MS) == uses_cpu, slow
    assert (fields["gc_ms"] >= 1) == collects, slow
    summary = metrics.summary()
    assert re.match(r"rounds=8 p50_ms=\S+ p99_ms=\S+ p999_ms=\S+ worst_ms=", summary)
    assert float(summary.rpartition("=")[2]) >= MIN_MEASURED_MS
    assert metrics.summary() == "rounds=0"


def test_detach_restores_the_loop_and_the_gc_callbacks():
    loop, callbacks_before = EventLoop(), list(gc.callbacks)
    LoopMetrics(loop, lambda text: None).detach()
    assert gc.callbacks == callbacks_before
    assert not {"guard", "switch", "work"} & vars(loop).keys()
    loop.call_later(0, do_nothing)
    loop.run_iteration()
    assert loop.iterations == 1
