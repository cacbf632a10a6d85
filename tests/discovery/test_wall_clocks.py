"""Steps of wall clocks: an engine's start is announced by another clock than the gateway's."""

import itertools
import threading
import time

import pytest

from claycross.emulator.system_faults import Field, SystemFaults
from standins.servers import Client, Engine, chat, eventually, passes

WARM_AFTER_S = 3.0
CLIENTS = 6
REQUEST_PAUSE_S = 0.03  # of a client, between two requests


class Load:
    """Clients that send one request after the other until stopped, each of another session."""

    def __init__(self, site):
        self.site = site
        self.is_running = True
        self.sessions = itertools.count()
        self.statuses = []
        self.threads = [threading.Thread(target=self.run, daemon=True) for _ in range(CLIENTS)]
        for thread in self.threads:
            thread.start()

    def run(self):
        with Client(self.site.address) as client:
            while self.is_running:
                request = chat(client, X_Route_Key=f"k{next(self.sessions)}")
                self.statuses.append(request.answer().status)
                time.sleep(REQUEST_PAUSE_S)

    def stop(self):
        self.is_running = False
        for thread in self.threads:
            thread.join(5)


def reads_within(reader, seconds):
    before = len(reader.asked)
    passes(seconds)
    return len(reader.asked) - before


@pytest.fixture
def loaded(site, tmp_path):
    faults = SystemFaults(tmp_path, "n0")
    readers = [Engine("p", f"p-{number}") for number in range(3)]
    running = site(
        *readers,
        Engine("d"),
        release=True,
        environment=faults.environment(),
        safety={"warm-after": int(WARM_AFTER_S * 10**9)},
    )
    load = Load(running)
    eventually(lambda: len(load.statuses) > 150)
    yield running, faults, readers[0]
    load.stop()


def restart(site, reader, clock_step_s, announce_removal=True):
    """Restart the reader, its machine's clock stepped by so many seconds.

    It is removed from the list for half a second, unless that is not announced.
    """
    if announce_removal:
        site.discovery.tell({**reader.target("Gone")})
        passes(0.5)
    site.discovery.tell(reader.target(boot_ms=int((time.time() + clock_step_s) * 1000)))


@pytest.mark.parametrize("clock_step_s", [0, -3600, -10, -1, 10, 3600])
def test_an_engine_that_restarts_warms_up_whatever_its_clock_says(loaded, clock_step_s):
    """Its first second is as cold as with a right clock, and it is warm soon after `warm-after`."""
    running, _, reader = loaded
    warm = reads_within(reader, 1.0)
    restart(running, reader, clock_step_s)
    cold = reads_within(reader, 1.0)
    passes(WARM_AFTER_S - 1.0)
    warm_again = reads_within(reader, 1.0)
    assert cold < 0.45 * warm and warm_again > 0.5 * warm, (warm, cold, warm_again)


@pytest.mark.parametrize("clock_step_s", [-3600, 3600])
def test_a_step_of_the_gateways_own_clock_does_not_affect_slow_start(loaded, clock_step_s):
    """Warm engines stay warm, and one that restarts after the step is cold."""
    running, faults, reader = loaded
    warm = reads_within(reader, 1.0)
    faults.set(Field.WALL_OFFSET_NS, clock_step_s * 10**9)
    assert reads_within(reader, 1.0) > 0.5 * warm
    restart(running, reader, 0)
    assert reads_within(reader, 1.0) < 0.45 * warm


def test_an_unannounced_restart_with_a_clock_set_back_is_a_new_process(loaded):
    """Discovery reports only the new start; the gateway's record of the prefixes that the engine
    cached must not outlive the old process."""
    running, _, reader = loaded
    restart(running, reader, 0, announce_removal=False)
    passes(WARM_AFTER_S + 0.2)
    warm = reads_within(reader, 1.0)
    restart(running, reader, -3600, announce_removal=False)
    cold = reads_within(reader, 1.0)
    assert cold < 0.45 * warm, (warm, cold)


@pytest.mark.parametrize("clock_step_s", [-3600, 3600])
@pytest.mark.parametrize("crossing", ["drain", "silent list"])
def test_a_clock_step_during_a_drain_or_a_silent_watch_delays_nothing(
    loaded, clock_step_s, crossing
):
    """The drain grace and the timeout of a silent watch are measured by the monotonic clock."""
    running, faults, reader = loaded
    faults.set(Field.WALL_OFFSET_NS, clock_step_s * 10**9)
    if crossing == "silent list":
        running.discovery.beats = False
        watches = len(running.discovery.froms)
        silent_since = time.monotonic()
        eventually(lambda: len(running.discovery.froms) > watches, 6)
        assert 0.5 < time.monotonic() - silent_since < 5
    running.discovery.tell(reader.target("Terminating"))
    passes(0.3)
    assert reads_within(reader, 1.0) == 0
