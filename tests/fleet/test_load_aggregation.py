"""Load aggregation: the accuracy and the cost of the sums, faults, the wire codec, and leases."""

from __future__ import annotations

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from claycross.fleet import codec, load_gossip
from claycross.fleet.codec import MAX_DATAGRAM_BYTES
from claycross.fleet.leases import MAX_CANDIDATES, Lease, rendezvous_order
from claycross.fleet.load_aggregation import (
    COLLECTION_NS,
    LEASE_DURATION_NS,
    LEASE_TAKEN,
    MAX_ENTRIES,
    MAX_FAILED_ENGINES,
    MAX_SUMS,
    SNAPSHOT,
    SNAPSHOT_LIFETIME_NS,
    SUMS,
    SUMS_REQUEST,
    AggregatedLoad,
    decode,
    encode,
)
from claycross.fleet.load_gossip import FAILURE_LIFETIME_NS, READ, WRITE, from_scale, to_scale
from claycross.interface import ALL_GATEWAYS
from claycross.routing.router import tag as hash_engine
from tests.fleet.simulated_network import SimulatedNetwork

MS, SECOND = 1_000_000, 1_000_000_000
SWEEP_NS = 100 * MS  # a gateway calls `outgoing` at least this often
READ_DURATION_NS = SECOND // 2  # on average
WRITE_DURATION_NS = 6 * SECOND  # on average
WRITER_MEMORY_TOKENS = 60_000


class SimulatedGateways(SimulatedNetwork):
    """Gateways with load aggregation, each with requests at random engines.

    `rate` is the number of requests a second at each gateway; the other arguments are those of
    SimulatedNetwork.
    """

    def __init__(
        self,
        size,
        rate=1.0,
        loss=0.0,
        duplication=0.0,
        seed=1,
        max_delay=10 * MS,
    ):
        super().__init__(size, seed, loss, duplication, max_delay)
        self.rate = rate
        self.engines = [f"s-{number:x}" for number in range(size // 2)]
        self.loads: list[AggregatedLoad | None] = [None] * size
        self.generations = [0] * size  # events of an earlier process are void
        self.paused = set()
        # Gateway -> request -> the kind, the engine and the size of its work.
        self.in_flight: dict[int, dict[int, tuple[int, str, float]]] = {n: {} for n in range(size)}
        self.requests = 0
        self.bytes = 0
        self.datagrams = 0
        self.received = [0] * size  # datagrams
        self.observe_send = lambda sender, recipient, payload: None
        for gateway in range(size):
            self.start(gateway)

    def start(self, gateway):
        self.loads[gateway] = AggregatedLoad(self.size, hash_engine, gateway, WRITER_MEMORY_TOKENS)
        self.generations[gateway] += 1
        generation = self.generations[gateway]
        self.in_flight[gateway] = {}
        first_sweep = self.now + self.random.randrange(SWEEP_NS)
        self.schedule(first_sweep, "sweep", gateway, generation)
        self.schedule(self.now + self.request_interval(), "request", gateway, generation)

    def kill(self, gateway):
        self.loads[gateway] = None
        self.generations[gateway] += 1
        self.in_flight[gateway] = {}

    def request_interval(self):
        return int(self.random.expovariate(self.rate) * SECOND)

    def send_due(self, gateway):
        """Send what is due at a gateway, unless it is paused."""
        if gateway in self.paused or self.loads[gateway] is None:
            return
        for recipient, payload in self.loads[gateway].outgoing(self.now):
            assert len(payload) <= MAX_DATAGRAM_BYTES
            self.observe_send(gateway, recipient, payload)
            recipients = self.size - 1 if recipient == ALL_GATEWAYS else 1
            self.bytes += recipients * len(payload)
            self.datagrams += recipients
            self.send(gateway, recipient, payload)

    def run(self, duration):
        end = self.now + duration
        while self.events and self.events[0][0] <= end:
            kind, gateway, *arguments = self.next_event()
            if kind == "datagram":
                self.deliver(gateway, *arguments)
                continue
            generation, *arguments = arguments
            if generation != self.generations[gateway] or self.loads[gateway] is None:
                continue
            if kind == "sweep":
                self.sweep(gateway)
            elif kind == "request":
                self.start_request(gateway)
            else:
                self.end_request(gateway, *arguments)
        self.now = end

    def deliver(self, gateway, sender, payload):
        if self.loads[gateway] is None or gateway in self.paused:
            return
        self.received[gateway] += 1
        self.loads[gateway].receive(self.now, sender, payload)
        self.send_due(gateway)

    def sweep(self, gateway):
        self.send_due(gateway)
        if self.now % SECOND < SWEEP_NS:
            self.loads[gateway].age(self.now)
        self.schedule(self.now + SWEEP_NS, "sweep", gateway, self.generations[gateway])

    def start_request(self, gateway):
        self.requests += 1
        request = self.requests
        kind = WRITE if self.random.random() < 0.5 else READ
        engine = self.random.choice(self.engines)
        size = float(self.random.randrange(500, 6000))
        self.loads[gateway].work_started(kind, request, engine, size)
        self.in_flight[gateway][request] = (kind, engine, size)
        mean_duration = WRITE_DURATION_NS if kind == WRITE else READ_DURATION_NS
        ends_at = self.now + int(mean_duration * self.random.uniform(0.5, 1.5))
        generation = self.generations[gateway]
        self.schedule(ends_at, "end", gateway, generation, request)
        self.schedule(self.now + self.request_interval(), "request", gateway, generation)
        self.send_due(gateway)

    def end_request(self, gateway, request):
        if request in self.in_flight[gateway]:
            del self.in_flight[gateway][request]
            self.loads[gateway].work_ended(request)
            self.send_due(gateway)

    def error(self, gateway):
        """Return the error of the writes that a gateway knows of the others: a share of all."""
        expected = dict.fromkeys(self.engines, 0.0)
        for other, work in self.in_flight.items():
            if other != gateway:
                for kind, engine, size in work.values():
                    if kind == WRITE:
                        expected[engine] += size
        load = self.loads[gateway]
        errors = [
            abs(load.load_of_others(WRITE, engine) - size) for engine, size in expected.items()
        ]
        return sum(errors) / max(1.0, sum(expected.values()))

    def errors(self):
        """Return the errors of all running gateways, the smallest first."""
        return sorted(
            self.error(gateway)
            for gateway in range(self.size)
            if self.loads[gateway] is not None and gateway not in self.paused
        )

    def median_error(self):
        errors = self.errors()
        return errors[len(errors) // 2]

    def max_error(self):
        return self.errors()[-1]

    def holders(self):
        """Return the gateways that are seen as the aggregator of the first shard."""
        return {load.shards[0].lease.holder for load in self.loads if load is not None}


def test_the_sums_of_a_large_fleet_are_close_to_its_load():
    fleet = SimulatedGateways(200)
    fleet.run(8 * SECOND)
    assert fleet.median_error() < 0.3, fleet.errors()[::20]
    assert fleet.max_error() < 0.35, fleet.errors()[::20]
    assert len(fleet.holders()) == 1


@pytest.mark.parametrize("size", [50, 100, 200])
def test_the_cost_of_a_request_is_bounded_whatever_the_size(size):
    """With load gossip among two hundred gateways, the two updates of a request are 394 datagrams.
    The number of engines grows with the fleet here."""
    fleet = SimulatedGateways(size)
    fleet.run(4 * SECOND)
    datagrams_before = fleet.datagrams
    bytes_before = fleet.bytes
    requests_before = fleet.requests
    fleet.run(4 * SECOND)
    requests = fleet.requests - requests_before
    assert (fleet.datagrams - datagrams_before) / requests < 18
    assert (fleet.bytes - bytes_before) / requests < 12 * size
    # Most of the datagrams go to the aggregator; here are those at the median gateway.
    assert sorted(fleet.received)[size // 2] < 8 * 12


def test_the_lease_of_a_killed_aggregator_passes_on_and_the_next_one_has_all_sums():
    fleet = SimulatedGateways(60)
    fleet.run(6 * SECOND)
    (first,) = fleet.holders()
    fleet.kill(first)
    fleet.run(LEASE_DURATION_NS + COLLECTION_NS + 2 * SECOND)
    (second,) = fleet.holders()
    assert second == fleet.loads[second].shards[0].lease.order[1]
    assert fleet.max_error() < 0.35
    # The first takes its lease back; the earlier sums are used while it collects.
    fleet.start(first)
    for _ in range(10):
        fleet.run(100 * MS)
        assert fleet.median_error() < 0.5
    fleet.run(2 * SECOND)
    assert fleet.holders() == {first}
    assert fleet.max_error() < 0.35


def test_an_aggregator_that_shuts_down_passes_its_lease_on_at_once():
    fleet = SimulatedGateways(60)
    fleet.run(6 * SECOND)
    (first,) = fleet.holders()
    fleet.loads[first].shut_down()
    fleet.run(COLLECTION_NS + SECOND)
    (second,) = fleet.holders()
    assert second != first
    assert fleet.max_error() < 0.35
    fleet.kill(first)
    fleet.run(SECOND)
    assert fleet.holders() == {second}
    assert fleet.max_error() < 0.35
    fleet.loads[second].shut_down()
    fleet.run(LEASE_DURATION_NS + SECOND)
    assert fleet.holders().isdisjoint({first, second})


def test_a_new_process_gets_all_sums_at_once():
    fleet = SimulatedGateways(200)
    fleet.run(5 * SECOND)
    restarted = next(n for n in range(200) if not fleet.loads[n].is_candidate)
    fleet.kill(restarted)
    fleet.start(restarted)
    fleet.run(300 * MS)
    assert fleet.error(restarted) < 0.35


def test_an_aggregator_that_was_paused_announces_no_outdated_sums():
    fleet = SimulatedGateways(60, rate=2.0)
    fleet.run(6 * SECOND)
    (first,) = fleet.holders()
    fleet.paused.add(first)
    fleet.run(8 * SECOND)
    holders = {
        load.shards[0].lease.holder for gateway, load in enumerate(fleet.loads) if gateway != first
    }
    assert len(holders) == 1
    announced = []

    def observe_send(sender, recipient, payload):
        if sender == first and recipient == ALL_GATEWAYS:
            announced.append(decode(payload))

    fleet.observe_send = observe_send
    fleet.paused.discard(first)
    fleet.run(4 * SECOND)
    kinds = [message.kind for message in announced]
    assert LEASE_TAKEN in kinds
    assert not any(message.work for message in announced[: kinds.index(LEASE_TAKEN)])
    assert fleet.holders() == {first}
    assert fleet.max_error() < 0.35


@pytest.mark.parametrize(
    ("loss", "duplication", "max_delay_ms"), [(0.3, 0.0, 10), (0.0, 0.5, 10), (0.2, 0.3, 150)]
)
def test_sums_recover_from_loss_duplication_and_reordering(loss, duplication, max_delay_ms):
    fleet = SimulatedGateways(
        60, loss=loss, duplication=duplication, max_delay=max_delay_ms * MS, seed=5
    )
    fleet.run(10 * SECOND)
    assert fleet.median_error() < 0.45, fleet.errors()


def test_the_halves_of_a_partition_aggregate_separately_and_then_together_again():
    fleet = SimulatedGateways(60, rate=1.5)
    fleet.run(5 * SECOND)
    fleet.is_blocked = lambda sender, receiver: sender % 2 != receiver % 2
    fleet.run(LEASE_DURATION_NS * 4 + SNAPSHOT_LIFETIME_NS)
    for half in (0, 1):
        holders = {fleet.loads[n].shards[0].lease.holder for n in range(half, 60, 2)}
        (holder,) = holders
        assert holder % 2 == half
    fleet.is_blocked = lambda sender, receiver: False
    fleet.run(4 * SECOND)
    assert len(fleet.holders()) == 1
    assert fleet.max_error() < 0.4


def test_a_gateway_that_receives_nothing_drops_the_sums():
    fleet = SimulatedGateways(60)
    fleet.run(5 * SECOND)
    isolated = next(n for n in range(60) if not fleet.loads[n].is_candidate)
    load = fleet.loads[isolated]
    assert any(load.load_of_others(WRITE, engine) for engine in fleet.engines)
    fleet.is_blocked = lambda sender, receiver: isolated in (sender, receiver)
    fleet.run(SNAPSHOT_LIFETIME_NS + 2 * SECOND)
    assert not any(load.load_of_others(WRITE, engine) for engine in fleet.engines)


# ---------------------------------------------------------------- few gateways


GATEWAYS = 60


def new_load(gateway):
    return AggregatedLoad(GATEWAYS, hash_engine, gateway)


def aggregator_and_other():
    """Return the time, an aggregator that has all snapshots, and a gateway that knows it."""
    holder = rendezvous_order("sums 0", range(GATEWAYS))[0]
    aggregator = new_load(holder)
    other = new_load((holder + 1) % GATEWAYS)
    now = 100 * SECOND
    for _ in range(20):
        now += 100 * MS
        exchange(now, aggregator, other)
    return now, aggregator, other


def exchange(now, *loads):
    """Deliver all messages that are due; return the tags of engines reported as failing."""
    failed_engines = []
    for sender in loads:
        for recipient, payload in list(sender.outgoing(now)):
            for receiver in loads:
                if receiver is not sender and recipient in (ALL_GATEWAYS, receiver.gateway_number):
                    failed_engines += receiver.receive(now, sender.gateway_number, payload)
    return failed_engines


def test_a_new_process_voids_the_snapshot_of_its_predecessor():
    now, aggregator, other = aggregator_and_other()
    other.work_started(WRITE, 1, "s-1", 50_000)
    exchange(now + 200 * MS, aggregator, other)
    assert aggregator.load_of_others(WRITE, "s-1") == 0  # until it computes the sums again
    exchange(now + 400 * MS, aggregator, other)
    assert aggregator.load_of_others(WRITE, "s-1") == pytest.approx(50_000, rel=0.05)
    assert other.load_of_others(WRITE, "s-1") < 0.05 * 50_000  # its own work
    restarted = new_load(other.gateway_number)
    for elapsed_ms in (600, 800):
        exchange(now + elapsed_ms * MS, aggregator, restarted)
    assert aggregator.load_of_others(WRITE, "s-1") == 0


@pytest.mark.parametrize("is_same_gateway", [False, True])
def test_the_sums_of_an_earlier_aggregator_end_with_it(is_same_gateway):
    """The work in its sums has ended before the next aggregator, or its own next process, has
    collected the snapshots."""
    now, aggregator, other = aggregator_and_other()
    candidates = rendezvous_order("sums 0", range(GATEWAYS), 3)
    excluded = (*candidates, other.gateway_number)
    worker = new_load(next(n for n in range(GATEWAYS) if n not in excluded))
    worker.work_started(WRITE, 1, "s-3", 90_000)
    for _ in range(4):
        now += 100 * MS
        exchange(now, aggregator, other, worker)
    assert other.load_of_others(WRITE, "s-3") == pytest.approx(90_000, rel=0.1)
    worker.work_ended(1)
    successor = new_load(aggregator.gateway_number if is_same_gateway else candidates[1])
    for _ in range(40):
        now += 100 * MS
        exchange(now, successor, other, worker)
        for load in (successor, other, worker):
            load.age(now)
    assert other.load_of_others(WRITE, "s-3") == 0


@pytest.mark.parametrize("reporters", [1, 2])
def test_an_engine_is_reported_as_failing_once_two_gateways_report_it(reporters):
    now, aggregator, other = aggregator_and_other()
    used = (aggregator.gateway_number, other.gateway_number)
    third = new_load(next(n for n in range(GATEWAYS) if n not in used))
    exchange(now + 50 * MS, aggregator, third)
    for load in (other, third)[:reporters]:
        load.report_failure("s-7")
    failed_engines = []
    for step in range(1, 6):
        failed_engines += exchange(now + step * 100 * MS, aggregator, other, third)
    assert (hash_engine("s-7") in failed_engines) == (reporters == 2)
    assert other.reporters("s-7", now + 600 * MS) == (2 if reporters == 2 else 0)
    expired_at = now + FAILURE_LIFETIME_NS + 2 * SECOND
    other.age(expired_at)
    assert other.reporters("s-7", expired_at) == 0


def test_repeated_reports_of_one_gateway_count_once():
    now, aggregator, other = aggregator_and_other()
    failed_engines = []
    for step in range(1, 30):
        other.report_failure("s-7")
        failed_engines += exchange(now + step * 100 * MS, aggregator, other)
    assert not failed_engines


# ---------------------------------------------------------------- codec


SIZES = st.integers(0, 255)
ENTRIES = st.lists(
    st.tuples(st.integers(0, 65535), SIZES), max_size=MAX_ENTRIES, unique_by=lambda entry: entry[0]
)
FAILED_ENGINES = st.lists(st.integers(0, 65535), max_size=MAX_FAILED_ENGINES)
KINDS = st.sampled_from((SNAPSHOT, SUMS_REQUEST, SUMS, LEASE_TAKEN))


@given(KINDS, SIZES, ENTRIES, ENTRIES, FAILED_ENGINES)
def test_an_encoded_datagram_is_decoded_to_its_content(
    kind, sequence, reads, writes, failed_engines
):
    writes = writes[: MAX_ENTRIES - len(reads)]
    payload = encode(kind, 3, sequence, reads, writes, failed_engines)
    assert len(payload) <= MAX_DATAGRAM_BYTES
    assert not codec.is_message(payload)
    message = decode(payload)
    assert (message.kind, message.shard, message.sequence) == (kind, 3, sequence)
    assert message.failed_engines == tuple(failed_engines)
    work = {(READ, tag): size for tag, size in reads}
    work |= {(WRITE, tag): size for tag, size in writes}
    assert message.work == work
    # A process that knows only load gossip reads ends of work that was never announced.
    updates = list(load_gossip.decode(payload))
    assert all(update[0] == load_gossip.WORK_ENDED for update in updates)


@settings(max_examples=80, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.integers(-2, 70),
            st.one_of(
                st.binary(max_size=256),
                st.builds(
                    encode, KINDS, st.integers(0, 3), SIZES, ENTRIES, ENTRIES, FAILED_ENGINES
                ),
            ),
            st.integers(0, 3 * SECOND),
        ),
        max_size=40,
    )
)
def test_records_of_arbitrary_datagrams_are_bounded_and_expire(received):
    load = new_load(5)
    now = 100 * SECOND
    for sender, payload, elapsed in received:
        now += elapsed
        load.receive(now, sender, payload)
        assert all(len(sent) <= MAX_DATAGRAM_BYTES for _, sent in load.outgoing(now))
    (shard,) = load.shards
    assert len(shard.sums) <= MAX_SUMS
    assert len(shard.failure_reports) <= MAX_SUMS
    assert len(shard.snapshots) <= GATEWAYS
    load.age(now + 2 * (SNAPSHOT_LIFETIME_NS + FAILURE_LIFETIME_NS))
    assert not shard.sums
    assert not shard.failure_reports
    assert not load.failure_reports
    assert not shard.snapshots
    assert not shard.received_sums


def test_sizes_on_the_logarithmic_scale_are_accurate_enough():
    for size in range(1, 200_000, 777):
        assert abs(from_scale(to_scale(size)) - size) <= 0.05 * size + 1


# ---------------------------------------------------------------- leases


def test_the_rendezvous_order_is_stable_and_spreads_jobs_evenly():
    jobs = [f"job {number}" for number in range(2000)]
    holders = [rendezvous_order(job, range(40))[0] for job in jobs]
    counts = [holders.count(gateway) for gateway in range(40)]
    assert max(counts) < 1.7 * 50
    assert min(counts) > 0.5 * 50
    remaining = tuple(gateway for gateway in range(40) if gateway != 7)
    moved_from = {
        holder
        for holder, job in zip(holders, jobs, strict=True)
        if rendezvous_order(job, remaining)[0] != holder
    }
    assert moved_from == {7}


@settings(max_examples=60, deadline=None)
@given(st.sets(st.integers(0, 19), min_size=1), st.integers(0, 10**6))
def test_the_first_live_candidate_holds_the_lease_whatever_was_believed_before(alive, seed):
    """Each live gateway that believes that it is the holder renews the lease at all others."""
    draw = random.Random(seed)
    leases = {gateway: Lease("job", gateway, range(20), SECOND) for gateway in alive}
    now = 50 * SECOND
    for lease in leases.values():
        lease.rank = draw.randrange(len(lease.order))
    for _ in range((MAX_CANDIDATES + 3) * 6):
        now += 200 * MS
        for gateway, lease in leases.items():
            lease.expire(now)
            if lease.is_held_here:
                for other in leases.values():
                    if other is not lease:
                        other.renewed_by(gateway, now)
    candidates = [gateway for gateway in rendezvous_order("job", range(20)) if gateway in alive]
    if candidates:
        assert {lease.holder for lease in leases.values()} == {candidates[0]}


def test_a_lease_passes_on_only_after_its_duration():
    order = rendezvous_order("job", range(9))
    observer = next(gateway for gateway in range(9) if gateway not in order[:2])
    lease = Lease("job", observer, range(9), SECOND)
    lease.expire(10 * SECOND)
    assert not lease.expire(11 * SECOND)
    assert lease.rank == 0
    assert lease.expire(11 * SECOND + 1)
    assert lease.rank == 1
    # The second candidate's lease has not expired yet, so the third can't take it.
    assert not lease.renewed_by(order[2], 11 * SECOND + 2)
    assert lease.renewed_by(order[0], 11 * SECOND + 3)
    assert lease.rank == 0
    assert not lease.renewed_by(99, 12 * SECOND)
