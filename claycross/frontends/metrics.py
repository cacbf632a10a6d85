"""The gateway's metrics in the Prometheus text format, for the admin socket.

Defines the name, labels and help text of each metric; other modules do the counting. It is imported
only if there is an admin socket: the Prometheus client library adds 45 ms to the start.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from prometheus_client.core import (
    CollectorRegistry,
    GaugeMetricFamily,
    HistogramMetricFamily,
    Metric,
)
from prometheus_client.exposition import generate_latest

from ..requests.memory_account import KindUsage

MEMBERSHIP_PREFIX = "members_"  # of the names of member counts by state
# Help texts of the membership metrics that are not counts of gateways by state.
MEMBERSHIP_HELP = {
    "members_cut": "Whether this gateway is cut off: 0 no, 1 from all other zones, 2 from "
    "everybody."
}


@dataclass(slots=True)
class MetricsSnapshot:
    """The values of all metrics at one moment."""

    # (class, status) -> requests ended since the start
    replies: dict[tuple[str, str], int] = field(default_factory=dict)
    dispatches: int = 0  # attempts sent to engines
    concurrent: int = 0  # requests under way
    targets: int = 0  # listed engines
    disabled: int = 0  # listed engines that an operator has disabled
    avoided: int = 0  # listed engines that the gateway itself avoids, and that are not disabled
    draining: int = 0  # listed engines that discovery reports as draining
    started: float = 0.0  # Unix time of the process's start, in seconds
    states: float = 0  # that engines may hold for requests
    oldest_state: float = 0  # of these, in seconds since its read ended
    releases: float = 0  # in flight
    # (upper bound in seconds, iterations of the event loop whose lag was at most that)
    lag_buckets: list[tuple[str, int]] = field(default_factory=list)
    lag_total: float = 0.0  # of all iterations, in seconds
    memory: list[KindUsage] = field(default_factory=list)  # that clients' requests hold
    # Further counters, named by the modules that keep them.
    other_counters: dict[str, int] = field(default_factory=dict)
    # The other gateways by their state as seen by this one, and counts of membership messages.
    members: dict[str, int] = field(default_factory=dict)


class Metrics:
    """A Prometheus collector that takes a new snapshot at each collection."""

    def __init__(self, take_snapshot: Callable[[], MetricsSnapshot]):
        self.take_snapshot = take_snapshot
        self.registry = CollectorRegistry(auto_describe=False)
        self.registry.register(self)

    def lines(self) -> list[str]:
        """Return the lines of the exposition."""
        return generate_latest(self.registry).decode().splitlines()

    def collect(self) -> Iterator[Metric]:
        """Return the metrics of a new snapshot; the client library calls this."""
        snapshot = self.take_snapshot()
        yield replies(snapshot)
        yield counter(
            "gateway_dispatches",
            "Attempts written whole to engines, since the start.",
            snapshot.dispatches,
        )
        yield gauge("gateway_concurrent", "Requests taken and not yet ended.", snapshot.concurrent)
        yield gauge("gateway_targets", "Engines in the list.", snapshot.targets)
        yield gauge(
            "gateway_targets_disabled",
            "Listed engines avoided, by hand or by the gateway's choice.",
            snapshot.disabled + snapshot.avoided,
        )
        yield avoided_targets(snapshot)
        yield gauge(
            "gateway_start_time_seconds",
            "Unix time at which this process started.",
            snapshot.started,
        )
        yield gauge("gateway_states", "Read states that engines may hold.", snapshot.states)
        yield gauge(
            "gateway_oldest_state_seconds",
            "Age of the oldest read state that an engine may hold.",
            snapshot.oldest_state,
        )
        yield gauge("gateway_releases", "Releases of read states in flight.", snapshot.releases)
        yield from memory_gauges(snapshot)
        yield HistogramMetricFamily(
            "gateway_loop_lag_seconds",
            "Lag of the event loop, by iteration.",
            buckets=snapshot.lag_buckets,
            sum_value=snapshot.lag_total,
        )
        yield from membership(snapshot)
        yield from further_counters(snapshot)


def replies(snapshot: MetricsSnapshot) -> Metric:
    """Return the counter of requests ended, by class and status."""
    metric = Metric(
        "gateway_replies",
        "Requests ended, by class (type) and how: served (success), "
        "refused (overload), failed (error), since the process started.",
        "counter",
    )
    for (name, status), count in sorted(snapshot.replies.items()):
        metric.add_sample("gateway_replies", {"type": name, "status": status}, count)
    return metric


def avoided_targets(snapshot: MetricsSnapshot) -> Metric:
    """Return the gauge of engines that get no requests, labelled with the reason."""
    metric = GaugeMetricFamily(
        "gateway_targets_avoided", "Listed engines avoided, by why.", labels=["why"]
    )
    metric.add_metric(["operator"], snapshot.disabled)
    metric.add_metric(["gateway"], snapshot.avoided)
    metric.add_metric(["draining"], snapshot.draining)
    return metric


def memory_gauges(snapshot: MetricsSnapshot) -> Iterator[Metric]:
    """Return the gauges of the memory that clients' requests hold, and of its bounds."""
    held = GaugeMetricFamily(
        "gateway_memory_held_bytes", "Memory held by clients' requests, by kind.", labels=["kind"]
    )
    share = GaugeMetricFamily(
        "gateway_memory_share_bytes", "The most that may be held, by kind.", labels=["kind"]
    )
    for usage in snapshot.memory:
        held.add_metric([usage.kind], usage.held)
        share.add_metric([usage.kind], usage.share)
    yield held
    yield share


def membership(snapshot: MetricsSnapshot) -> Iterator[Metric]:
    """Return the gauges of the other gateways, by their state."""
    for name, count in sorted(snapshot.members.items()):
        if name.startswith(MEMBERSHIP_PREFIX):
            help_text = MEMBERSHIP_HELP.get(name, "Gateways in this state, as this one sees them.")
            yield gauge(f"gateway_{name}", help_text, count)


def further_counters(snapshot: MetricsSnapshot) -> Iterator[Metric]:
    """Return the counters that other modules name themselves."""
    membership_counts = {
        name: count
        for name, count in snapshot.members.items()
        if not name.startswith(MEMBERSHIP_PREFIX)
    }
    for name, count in sorted((snapshot.other_counters | membership_counts).items()):
        help_text = f"Count of {name.replace('_', ' ')}, since the start."
        yield counter(f"gateway_{name}", help_text, count)


def counter(name: str, help_text: str, value: int) -> Metric:
    """Return a counter whose sample name has no `_total` suffix, as documented."""
    metric = Metric(name, help_text, "counter")
    metric.add_sample(name, {}, value)
    return metric


def gauge(name: str, help_text: str, value: float) -> GaugeMetricFamily:
    """Return a gauge without labels."""
    return GaugeMetricFamily(name, help_text, value=value)
