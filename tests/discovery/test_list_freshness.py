"""Freshness of the endpoint list.

No request is sent based on a saved list until discovery has responded, or has been silent for the
configured time.
"""

import threading
import time

import pytest
from hypothesis import given
from hypothesis import strategies as st

from claycross.discovery.list_freshness import (
    CONFIRMED,
    SAVED,
    UNHEARD,
    ListFreshness,
    freshness_timing,
)
from claycross.discovery.watch import DiscoveryWatch
from claycross.net.loop import ConnectionClosedError
from standins.servers import Client, Engine, chat, eventually
from tests.routing.router_harness import MS, SECOND, settings

SPANS = st.integers(0, 20 * SECOND)
GRACES = st.integers(1 * MS, 2 * SECOND)


@given(GRACES)
def test_discovery_is_polled_again_within_the_drain_grace(grace):
    timing = freshness_timing(settings(drain_grace=grace))
    assert 0 < timing.connect_timeout + timing.pause < grace < timing.unheard_after


@given(GRACES, SPANS, st.none() | SPANS, SPANS, SPANS)
def test_requests_wait_while_the_list_is_saved_and_only_then(
    grace, started_at, response_after, elapsed, time_left
):
    timing = freshness_timing(settings(drain_grace=grace))
    freshness = ListFreshness(started_at, timing)
    now = started_at + elapsed
    if response_after is not None and response_after <= elapsed:
        assert freshness.discovery_responded()
        assert not freshness.discovery_responded()  # this is not the first response
        assert freshness.status(now) == CONFIRMED
    elif elapsed < timing.unheard_after:
        assert freshness.status(now) == SAVED
    else:
        assert freshness.status(now) == UNHEARD
    assert freshness.may_send(now) == (freshness.status(now) != SAVED)
    wait = freshness.wait(now, time_left)
    remaining = freshness.remaining(now)
    assert (wait == 0) == (remaining == 0) == freshness.may_send(now)
    assert wait <= max(1, time_left // 2)
    assert wait <= remaining <= timing.unheard_after
    assert freshness.may_send(now + remaining)  # even if discovery stays silent


def test_the_back_off_between_watches_stays_within_the_pause_of_the_drain_grace():
    """With a back-off of up to a second, four drain graces, sends to a draining engine went on
    for too long."""
    pauses = []

    class Loop:
        def sleep(self, span):
            pauses.append(span)
            if len(pauses) == 25:
                watch.generation += 1

    logged = []
    timing = freshness_timing(settings())
    watch = DiscoveryWatch(
        Loop(), ("127.0.0.1", 9), [], logged.append, timing.connect_timeout, timing.pause
    )

    def fail():
        raise ConnectionClosedError("refused")

    watch.watch = fail
    watch.watch_for_ever()
    assert len(pauses) == 25
    assert max(pauses) == timing.pause
    assert 1 <= len(logged) <= 3  # the failures don't flood the log


def readiness_status(site):
    with Client(site.address) as client:
        return client.send("GET", "/-/ready").answer().status


@pytest.mark.parametrize("release", [False, True])
def test_an_engine_that_drained_while_this_gateway_was_down_gets_no_requests(site, release):
    """A request that arrived at the start was sent based on the saved list, milliseconds before
    discovery's first response said that its engine drains. The platform counts that as delivered
    since the start (rule 1)."""
    old, new = Engine("p"), Engine("p")
    running = site(old, new, Engine("d"), late=True, release=release, door=True)
    running.discovery.targets[old.uid] = old.target("Terminating")
    statuses = []

    def ask(number):
        statuses.append(running.chat(X_Route_Key=f"s{number}").status)

    threads = [threading.Thread(target=ask, args=(number,)) for number in range(8)]
    for thread in threads:
        thread.start()
    eventually(lambda: "gateway_concurrent 8" in running.call("vars"))
    assert readiness_status(running) == 503
    assert running.call("check").startswith("fail starting")
    assert not old.asked
    assert not new.asked
    assert not statuses
    running.discovery.speaks.set()
    for thread in threads:
        thread.join()
    assert statuses == [200] * 8
    assert not old.asked
    assert len(new.asked) == 8
    assert readiness_status(running) == 200
    assert running.call("check").startswith("ok")


def test_without_discovery_the_saved_list_is_used_after_the_configured_time(site):
    running = site(Engine("p"), Engine("d"), late=True, safety={"stop-sending-within": 100 * MS})
    started_at = time.monotonic()
    with running.client() as brief, running.client() as patient, running.client() as closed:
        chat(closed)
        closed.__exit__()  # it disconnects while its request waits
        chat(brief, timeout=600)
        chat(patient)
        # Rejected after half of its time, to be retried when this gateway serves.
        rejected = brief.answer()
        assert rejected.status == 503
        assert 0 < float(rejected["retry-after"]) <= 0.8
        assert patient.answer().status == 200
    assert 0.7 < time.monotonic() - started_at < 6
    assert "list-unconfirmed" in running.log()
    assert readiness_status(running) == 200
    assert running.chat().status == 200
    assert len(running.engines[0].asked) == 2
