"""Statistics of the gateway: periodic log lines, metrics and the administration API's status.

Also runs the periodic consistency check of the gateway's parts.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING

from ..interface import EngineState
from ..invariant import dropped_lines, violations
from ..net.loop import MS, SECOND
from .parts import GatewayParts
from .version import VERSION

if TYPE_CHECKING:
    from ..frontends.metrics import Metrics, MetricsSnapshot
    from ..net.loop_metrics import LoopMetrics

STATISTICS_INTERVAL_NS = 10 * SECOND
# Debug builds check more often, so that tests detect inconsistencies.
CHECK_INTERVAL_NS = 100 * MS if __debug__ else 10 * SECOND
# Name prefixes of the request managers' counts (by reason) that are exported as metrics.
EXPORTED_COUNT_PREFIXES = ("denied-", "refused-", "closed-", "ended-", "rejected-")


class Statistics:
    """Collects the counts that the parts of one gateway keep."""

    def __init__(self, parts: GatewayParts):
        self.parts = parts
        self.loop = parts.loop
        self.log = parts.log
        self.started_at = self.loop.unix_time()
        self.loop_metrics: LoopMetrics | None = None
        self.metrics: Metrics | None = None
        self.logged_refusals = dict(self.parts.memory.refusals)

    def start(self) -> None:
        """Start the periodic log lines and consistency checks."""
        self.loop.call_later(STATISTICS_INTERVAL_NS, self.log_statistics)
        self.loop.call_later(CHECK_INTERVAL_NS, self.check)

    def enable_metrics(self) -> None:
        """Enable the metrics of the admin socket."""
        # Imported on use: the Prometheus library adds 45 ms to the start.
        from ..frontends.metrics import Metrics

        self.metrics = Metrics(self.snapshot)

    def trace(self) -> None:
        """Log the end of each attempt and request, and late iterations of the event loop."""
        from ..net.loop_metrics import LoopMetrics

        for manager in self.parts.managers:
            manager.trace = self.log
        self.loop_metrics = LoopMetrics(self.loop, self.log)

    def check(self) -> None:
        """Check the invariants of the request managers and engine connections."""
        for manager in self.parts.managers:
            manager.check()
        for connections in self.parts.engine_connections:
            connections.check()
        self.loop.call_later(CHECK_INTERVAL_NS, self.check)

    # ------------------------------------------------------------ log lines

    def log_statistics(self) -> None:
        """Log the statistics of all parts."""
        self.log_loop()
        self.log_managers()
        self.log_accept_errors()
        self.log_memory()
        self.log_peers()
        self.loop.max_lag = 0
        self.loop.call_later(STATISTICS_INTERVAL_NS, self.log_statistics)

    def log_loop(self) -> None:
        """Log the event loop's lag and the process-wide counts."""
        loop = self.loop
        self.log(
            f"stats late_max_ms={loop.max_lag / MS:.1f} late_rounds={loop.late_iterations} "
            f"errors={loop.errors} broken={sum(violations.values())} "
            f"unwritten={dropped_lines.total()} "
            f"slow_calls={loop.slow_calls} turns_ended={loop.turns_ended} "
            f"held_up={loop.stalls} held_up_max_ms={loop.longest_stall / MS:.1f}"
        )

    def log_managers(self) -> None:
        """Log the counts of each service and its ejected engines."""
        parts = self.parts
        services = zip(parts.managers, parts.engine_connections, parts.frontends, strict=False)
        for manager, connections, frontend in services:
            counts = dict(connections.metrics())
            releases = manager.release_gauges()
            text = " ".join(filter(None, (format_counts(counts), sorted_counts(manager.counts))))
            self.log(
                f"stats-{manager.name} open={len(manager.requests)} "
                f"clients={len(frontend.clients)} states={releases.states} "
                f"oldest_state_ms={releases.oldest_age // MS} releases={releases.releases} {text}"
            )
            ejected = manager.ejected_engines()
            if ejected:
                self.log(f"excluded-{manager.name} engines={','.join(ejected)}")

    def log_memory(self) -> None:
        """Log what clients' requests hold, and that a share had no room since the last time."""
        memory = self.parts.memory
        text = " ".join(f"{usage.kind}={usage.held}/{usage.share}" for usage in memory.usage())
        self.log(f"stats-memory {text} discarded={memory.discarded}")
        refusals = dict(memory.refusals)
        if refusals != self.logged_refusals:
            self.logged_refusals = refusals
            self.log(f"memory-share-full {format_counts(refusals)} discarded={memory.discarded}")

    def log_accept_errors(self) -> None:
        """Log the accept errors of each listener that had any."""
        for frontend in self.parts.frontends:
            listener = frontend.listener
            if listener.accept_errors:
                port = listener.address()[1]
                self.log(f"accepts-failed listen={port} {sorted_counts(listener.accept_errors)}")

    def log_peers(self) -> None:
        """Log the counts of peer messages, loop iterations and membership."""
        if self.parts.peers:
            self.log(f"stats-peers {format_counts(self.parts.peers.metrics())}")
        if self.loop_metrics:
            self.log(f"stats-iterations {self.loop_metrics.summary()}")
        if self.parts.membership:
            self.log(f"stats-gateways {format_counts(self.parts.membership.metrics())}")

    # ------------------------------------------------------------ metrics

    def snapshot(self) -> MetricsSnapshot:
        """Return the current values of all metrics."""
        from ..frontends.metrics import MetricsSnapshot

        parts = self.parts
        listed = parts.chat.endpoints
        disabled = set(parts.ejections.ejected_and_listed())
        ejected = set(parts.chat.ejected_engines()) & listed.keys()
        draining = [
            entry
            for entry in listed.values()
            if entry.state == EngineState.DRAINING and entry.engine not in disabled
        ]
        return MetricsSnapshot(
            replies=self.reply_counts(),
            dispatches=sum(manager.attempts_sent for manager in parts.managers),
            concurrent=sum(manager.unanswered() for manager in parts.managers),
            targets=len(listed),
            disabled=len(disabled & listed.keys()),
            avoided=len(ejected - disabled),
            draining=len(draining),
            started=self.started_at / SECOND,
            **self.release_gauges(),
            lag_buckets=self.loop.lag_histogram.cumulative(),
            lag_total=self.loop.lag_histogram.total / SECOND,
            other_counters=self.additional_counts(),
            memory=parts.memory.usage(),
            members=parts.membership.metrics() if parts.membership else {},
        )

    def release_gauges(self) -> dict[str, float]:
        """Return the obligations to release states, of all services together."""
        gauges = [manager.release_gauges() for manager in self.parts.managers]
        return {
            "states": sum(gauge.states for gauge in gauges),
            "oldest_state": max(gauge.oldest_age for gauge in gauges) / SECOND,
            "releases": sum(gauge.releases for gauge in gauges),
        }

    def reply_counts(self) -> dict[tuple[str, str], int]:
        """Return the number of replies of all services, by class and status."""
        replies: dict[tuple[str, str], int] = {}
        for manager in self.parts.managers:
            for key, count in manager.reply_counts.items():
                replies[key] = replies.get(key, 0) + count
        return replies

    def additional_counts(self) -> dict[str, int]:
        """Return counts of individual parts by their exported names."""
        parts = self.parts
        counts: dict[str, int] = {}
        if parts.admin_socket:
            for name, count in parts.admin_socket.counts.items():
                counts[f"door_{name}"] = count
        counts |= {
            "breaches": sum(violations.values()),
            "unexpected_errors": self.loop.errors,
            "held_up": self.loop.stalls,
            "slow_calls": self.loop.slow_calls,
            "turns_ended": self.loop.turns_ended,
            "state_writes_failed": parts.state_store.failed_writes,
            "accepts_failed": self.accept_errors(),
            "starts_doubted": parts.incarnations.implausible,
        }
        for manager in parts.managers:
            for name, count in manager.counts.items():
                if name.startswith(EXPORTED_COUNT_PREFIXES):
                    key = name.replace("-", "_")
                    counts[key] = counts.get(key, 0) + count
        return counts

    def accept_errors(self) -> int:
        """Return the total number of accept errors of all listeners."""
        listeners = [frontend.listener for frontend in self.parts.frontends]
        return sum(sum(listener.accept_errors.values()) for listener in listeners)

    # ------------------------------------------------------------ administration API

    def status(self) -> dict[str, object]:
        """Return the status that the administration API shows."""
        return {
            "version": VERSION,
            "stopping": self.parts.stopping,
            "errors": self.loop.errors,
            "broken": dict(violations),
            "fronts": {
                manager.name: {
                    "open": len(manager.requests),
                    "engines_listed": len(manager.endpoints),
                    "counts": manager.counts,
                }
                for manager in self.parts.managers
            },
        }


def format_counts(counts: Mapping[str, object]) -> str:
    """Format counts for a log line."""
    return " ".join(f"{name}={count}" for name, count in counts.items())


def sorted_counts(counts: Mapping[str, object]) -> str:
    """Format counts for a log line, sorted by name."""
    return format_counts(dict(sorted(counts.items())))
