"""A state left by an interrupted read is released in time, wherever the next attempts are."""

import signal
import threading
import time
from dataclasses import dataclass

import pytest

from standins.servers import Engine, chat, eventually, passes
from tests.requests import concurrent_requests
from tests.requests.concurrent_requests import CLIENT_TIMEOUT_MS, REQUESTS_PER_CLASS

RELEASE_TIME_S = 0.3  # as in the settings
SOCKET_GRACE_S = 0.35  # added by the protocol's specification
ENGINES_PER_ROLE = 4
HALF_A_RESPONSE = b"HTTP/1.1 202 X\r\nContent-Le"


@dataclass
class State:
    """A state that a read left at its engine."""

    key: str
    since: float
    until: float = float("inf")

    def held_for(self):
        return self.until - self.since


class Fleet:
    """Readers and writers that share a record of the states they hold.

    The first `cut_reads` reads of a request complete while their connection is reset. The engine of
    the read after these is suspended: it accepts bytes and processes nothing.
    """

    def __init__(
        self,
        requests=2 * REQUESTS_PER_CLASS,
        cut_reads=1,
        state_delay=0.0,
        response=b"",
        suspends_holder=False,
        next_read_takes=0.0,
    ):
        self.cut_reads = cut_reads
        self.state_delay = state_delay  # seconds from the reset until the state exists
        self.response = response  # bytes of the response that are sent before the reset
        self.suspends_holder = suspends_holder
        # Seconds that the read after these takes at an engine that runs; 0: that is suspended.
        self.next_read_takes = next_read_takes
        self.deaf_until = 0.0  # no engine receives a release before this time
        self.lock = threading.Lock()
        self.states = []
        self.first_tokens = {}  # key -> when its states were released by the first token
        self.reads = {}  # key -> number of reads
        self.first_reads = threading.Barrier(requests, timeout=20)  # are cut at the same time
        self.readers = [FleetEngine(self, "p") for _ in range(ENGINES_PER_ROLE)]
        self.writers = [FleetEngine(self, "d") for _ in range(ENGINES_PER_ROLE)]

    def create_state(self, key):
        with self.lock:
            self.states.append(State(key, time.monotonic()))

    def release(self, key):
        now = time.monotonic()
        with self.lock:
            for state in self.states:
                if state.key == key:
                    state.until = min(state.until, now)

    def start_answer(self, key):
        """Release the states of a request with its first token."""
        self.release(key)
        self.first_tokens[key] = max(state.until for state in self.states if state.key == key)

    def count_read(self, key):
        with self.lock:
            self.reads[key] = self.reads.get(key, 0) + 1
            return self.reads[key]

    def resume(self):
        for engine in (*self.readers, *self.writers):
            engine.running.set()

    def held_too_long(self):
        """Wait until the states of the last moment are due, too, and return those held too long."""
        passes(RELEASE_TIME_S + SOCKET_GRACE_S)
        limit = RELEASE_TIME_S + SOCKET_GRACE_S
        return {s.key: round(s.held_for(), 2) for s in self.states if s.held_for() > limit}


class FleetEngine(Engine):
    """An engine that can be suspended, with its connections open."""

    def __init__(self, fleet, kind):
        super().__init__(kind)
        self.fleet = fleet
        self.running = threading.Event()
        self.running.set()

    def take(self, message, wire):
        self.running.wait(20)
        if message.start.startswith("DELETE"):
            passes(max(0.0, self.fleet.deaf_until - time.monotonic()))
            self.fleet.release(message.start.split()[1].rpartition("/")[2])
        if self.kind == "p" and message.start.startswith("POST"):
            self.read(message, wire)
            return
        if message.start.startswith("POST"):
            self.fleet.start_answer(message["X-Request-ID"])
        super().take(message, wire)

    def read(self, message, wire):
        key = message["X-Request-ID"]
        number = self.fleet.count_read(key)
        if number == 1:
            self.fleet.first_reads.wait()
        if number <= self.fleet.cut_reads:
            self.cut_read(key, wire)
        elif number == self.fleet.cut_reads + 1 and self.fleet.next_read_takes:
            threading.Event().wait(self.fleet.next_read_takes)
            self.fleet.create_state(key)
            super().take(message, wire)
        elif number == self.fleet.cut_reads + 1:
            self.running.clear()
            self.running.wait(20)
        else:
            self.fleet.create_state(key)
            super().take(message, wire)

    def cut_read(self, key, wire):
        if not self.fleet.state_delay:
            self.fleet.create_state(key)
        else:
            threading.Timer(self.fleet.state_delay, self.fleet.create_state, [key]).start()
        if self.fleet.suspends_holder:
            self.running.clear()
        if self.fleet.response:
            wire.sock.sendall(self.fleet.response)
        wire.reset()


def send_requests(gateway, *request_classes):
    """Send requests of these classes at once; return keys and statuses when all have ended."""
    keys, statuses, threads = concurrent_requests.send_requests(gateway, *request_classes)
    for thread in threads:
        thread.join()
    return keys, statuses


def test_state_of_a_cut_read_is_released_while_the_next_read_is_at_a_suspended_engine(site):
    """Each read was taken for one that uses or replaces the states of the reads before it, although
    its engine had not received it: their release waited until the client's time was over."""
    fleet = Fleet()
    gateway = site(*fleet.readers, *fleet.writers, release=True)
    keys, statuses = send_requests(gateway, "licence", "browse")
    assert sorted({state.key for state in fleet.states}) == keys
    assert not fleet.held_too_long()
    fleet.resume()
    assert sorted(statuses) == keys  # each client got one answer


CASES = {
    "state-after-30-ms": {"state_delay": 0.03},
    "state-after-150-ms": {"state_delay": 0.15},
    "half-a-response": {"response": HALF_A_RESPONSE},
    "holder-suspended": {"suspends_holder": True},
    "two-reads-cut": {"cut_reads": 2},
}


@pytest.mark.parametrize("case", CASES)
def test_state_of_an_interrupted_read_is_released_in_time(site, case):
    fleet = Fleet(**CASES[case])
    gateway = site(*fleet.readers, *fleet.writers, release=True)
    keys, statuses = send_requests(gateway, "licence", "browse")
    assert sorted({state.key for state in fleet.states}) == keys
    assert not fleet.held_too_long()
    fleet.resume()
    assert sorted(statuses) == keys


@pytest.mark.parametrize("event", ["shutdown", "disconnect", "early disconnect"])
def test_state_of_an_interrupted_read_is_released_whatever_happens_meanwhile(site, event):
    """After an early disconnect, the state comes to exist when the request is over already."""
    fleet = Fleet(requests=1, state_delay=0.15 if event == "early disconnect" else 0.03)
    gateway = site(*fleet.readers, *fleet.writers, release=True)
    with gateway.client() as client:
        chat(client, cls="licence", key="cut01", timeout=CLIENT_TIMEOUT_MS)
        eventually(lambda: fleet.reads.get("cut01"))
        if event != "early disconnect":
            eventually(lambda: fleet.reads["cut01"] == 2)
            passes(0.2)
        if event == "shutdown":
            gateway.process.send_signal(signal.SIGTERM)
        else:
            client.__exit__()
        eventually(lambda: fleet.states)
        assert not fleet.held_too_long()
    fleet.resume()


def test_state_is_released_although_no_engine_receives_the_first_calls(site):
    fleet = Fleet()
    fleet.deaf_until = time.monotonic() + 60
    original_create = fleet.create_state

    def create_state(key):
        fleet.deaf_until = min(fleet.deaf_until, time.monotonic() + 0.25)
        original_create(key)

    fleet.create_state = create_state
    gateway = site(*fleet.readers, *fleet.writers, release=True)
    send_requests(gateway, "licence", "browse")
    assert not fleet.held_too_long()
    fleet.resume()


def test_slow_read_at_a_running_engine_is_not_disturbed_by_releases(site):
    """Its engine answers other calls: a release would end the state that the read creates."""
    fleet = Fleet(requests=1, next_read_takes=0.5)
    gateway = site(*fleet.readers, *fleet.writers, release=True, settings={"may-probe": True})
    fleet.cut_reads = -1
    assert gateway.chat(cls="licence", key="earlier").status == 200
    fleet.cut_reads = 1
    fleet.states.clear()
    assert gateway.chat(cls="licence", key="slow01").status == 200
    assert fleet.reads["slow01"] == 2
    cut_state, read_state = fleet.states
    assert cut_state.held_for() <= RELEASE_TIME_S + SOCKET_GRACE_S
    assert read_state.until == fleet.first_tokens["slow01"]
