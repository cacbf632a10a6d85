"""The router: handles the events of interface.py (claycross/interface.py) and returns actions.

It coordinates the components of this package, each of which owns its state. It does no I/O, reads
no clock and shares no state with other routers. The design is described in docs/design.md.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

from ..fleet.load_aggregation import AggregatedLoad
from ..fleet.load_gossip import LoadGossip
from ..fleet.zone_reachability import ZoneReachability
from ..interface import (
    Action,
    AttemptFinished,
    AttemptResult,
    ConnectionChecked,
    Effect,
    EndpointListUpdate,
    EngineRole,
    Event,
    GossipReceived,
    LogMessage,
    RequestAbandoned,
    RequestArrived,
    RequestClass,
    SendGossip,
    SetTimer,
    Settings,
    ShutdownStarted,
    StreamStarted,
    Timer,
    TimerFired,
    TimerKind,
    UpdateKind,
    WatchEndpoints,
)
from ..requests import preconditions
from .action_queue import ActionQueue
from .admission import AdmissionControl
from .attempt_results import AttemptResultRecorder
from .attempt_start import AttemptStarter
from .attempt_supervision import AttemptSupervisor
from .dispatch import Dispatcher
from .endpoint_table import EndpointTable
from .engine import Attempt
from .latency_prediction import LatencyPredictor
from .load_estimation import LoadEstimator
from .outlier_detection import OutlierDetector
from .prefix_cache import PrefixCacheIndex
from .reachability import Reachability
from .rendezvous import rank, tag
from .request_ending import RequestFinisher
from .request_state import Request, RequestStage
from .request_table import RequestTable
from .shared_state import SharedState

__all__ = ["Request", "Router", "rank", "tag"]

MS = 1_000_000  # ns
SECOND = 1_000_000_000  # ns

WATCH_RETRY_TIMER = Timer(TimerKind.WATCH_RETRY)
SWEEP_TIMER = Timer(TimerKind.SWEEP)

# Delay before the endpoint list is requested again, doubled for each consecutive failure.
WATCH_RETRY_BASE_NS = 125 * MS
WATCH_RETRY_MAX_DOUBLINGS = 6
# Maximum of that delay; changes that discovery publishes take effect only 6 s later.
WATCH_RETRY_MAX_NS = 3 * SECOND
# Gateways, including this one, that must have seen failures of an engine before gossip ejects it.
MIN_FAILURE_REPORTERS = 2
# Ticks before the client's timeout at which a request is answered.
DEADLINE_MARGIN_TICKS = 3
# Time between sweeps while requests wait for an engine.
SWEEP_INTERVAL_NS = 20 * MS
# Time between sweeps while attempts are in flight and no request waits.
IDLE_SWEEP_INTERVAL_NS = 100 * MS
# Minimum time between two expirations of table entries.
AGING_INTERVAL_NS = SECOND


class Router:
    """Makes one gateway's decisions on its requests."""

    def __init__(self, settings: Settings, seed: int):
        self.settings = settings
        self.now = 0
        self.actions = ActionQueue()
        self.table = RequestTable()
        self.random = random.Random(seed)
        self.gossips = settings.gossip_allowed and settings.gateway_count > 1
        self.load_gossip = self._new_load_gossip()
        self.prefix_cache = PrefixCacheIndex()
        self.health = OutlierDetector(settings, self.random.random)
        if self.gossips:
            self.health.report_failure = self.load_gossip.report_failure
        self.reachability = Reachability(settings.connection_idle_timeout)
        self.endpoints = EndpointTable(
            settings, self.health, self.prefix_cache, self.load_gossip.tag
        )
        loads = LoadEstimator(settings, self.health, self.load_gossip)
        self.predictor = LatencyPredictor(self.health, loads)
        state = SharedState(
            settings=settings,
            gossips=self.gossips,
            actions=self.actions,
            table=self.table,
            load_gossip=self.load_gossip,
            prefix_cache=self.prefix_cache,
            health=self.health,
            reachability=self.reachability,
            loads=loads,
            predictor=self.predictor,
        )
        self.admission = AdmissionControl(settings, self.health, loads, self.predictor)
        self.supervisor = AttemptSupervisor(settings, self.health)
        self.results = AttemptResultRecorder(state)
        self.starter = AttemptStarter(state, self.supervisor)
        self.finisher = RequestFinisher(state)
        self.dispatcher = Dispatcher(state, self.admission, self.starter, self.finisher)
        self.started = False  # the first batch of events was handled
        self.failed_list_polls = 0  # consecutive ones
        self.sweep_at = 0  # due time of the sweep timer
        self.aged_at = 0  # time of the last expiration of table entries
        self.handlers: dict[type, Callable[[Any], None]] = {
            AttemptFinished: self._on_attempt_finished,
            RequestArrived: self._on_request_arrived,
            StreamStarted: self._on_stream_started,
            TimerFired: self._on_timer_fired,
            RequestAbandoned: self._on_request_abandoned,
            EndpointListUpdate: self._on_endpoint_list_update,
            GossipReceived: self._on_gossip_received,
            ConnectionChecked: self.supervisor.connection_checked,
            ShutdownStarted: self._on_shutdown_started,
        }

    def _new_load_gossip(self) -> LoadGossip:
        """Create the load gossip: full for few gateways, aggregated for many."""
        settings = self.settings
        if not self.gossips or settings.gateway_count <= settings.aggregate_above:
            return LoadGossip(settings.gateway_count, tag)
        writer_memory = min(
            (
                memory
                for kind, memory in settings.memory.items()
                if settings.roles.get(kind) != EngineRole.READER
            ),
            default=0,
        )
        return AggregatedLoad(settings.gateway_count, tag, settings.gateway_number, writer_memory)

    # Measurements that a warm-start snapshot captures and restores (recovery/warm_start.py).

    @property
    def prediction_error_quantiles(self) -> list[float]:
        """Quantiles of the ratio of the measured to the predicted latency of reads."""
        return self.predictor.error_quantiles

    @prediction_error_quantiles.setter
    def prediction_error_quantiles(self, quantiles: list[float]) -> None:
        self.predictor.error_quantiles = quantiles

    @property
    def home_cache_share(self) -> float:
        """The share of a prompt that was found cached at its home."""
        return self.predictor.home_cache_share

    @home_cache_share.setter
    def home_cache_share(self, share: float) -> None:
        self.predictor.home_cache_share = share

    @property
    def requests(self) -> dict[int, Request]:
        """The open requests by number."""
        return self.table.requests

    @property
    def zones(self) -> ZoneReachability:
        """The reachability of zones."""
        return self.reachability.zones

    def handle(self, now: int, events: list[Event]) -> list[Action]:
        """Handle a batch of events that happened at the same time, and return the actions."""
        self.now = now
        self.actions.take()  # discards what an exception may have left of the last batch
        if not self.started and self.settings.polls_endpoint_list:
            self.actions.add(WatchEndpoints())
        self.started = True
        self.health.pool.begin_batch(now)
        for event in events:
            handler = self.handlers.get(type(event))
            if handler is not None:
                handler(event)
        self.dispatcher.dispatch_awaiting_writer(now)
        self.dispatcher.dispatch_queued(now)
        self._supervise_attempts()
        self._age_tables()
        self._schedule_sweep()
        if self.gossips:
            self._send_gossip()
        return self.actions.take()

    def _on_endpoint_list_update(self, event: EndpointListUpdate) -> None:
        if event.kind == UpdateKind.FAILED:
            self._retry_watch()
            return
        self.failed_list_polls = 0
        self.endpoints.update(event)

    def _retry_watch(self) -> None:
        """Request the endpoint list again, after a delay with backoff and jitter."""
        self.failed_list_polls += 1
        doublings = min(self.failed_list_polls, WATCH_RETRY_MAX_DOUBLINGS)
        delay = min(WATCH_RETRY_MAX_NS, WATCH_RETRY_BASE_NS << doublings)
        jittered = int(delay * (0.5 + self.random.random()))
        self.actions.add(SetTimer(jittered, WATCH_RETRY_TIMER))
        self.actions.log("list", "discovery does not answer; working from the last list", self.now)

    def _on_gossip_received(self, event: GossipReceived) -> None:
        """Eject engines by the failure reports of other gateways and this gateway's own failures.

        Otherwise each of many gateways has to detect an engine that fails fast by itself, while the
        engine attracts requests because it looks empty. Two reporters are required, so that a false
        alarm does not spread. Slowness is not reported, since it is mostly caused by load.
        """
        for failed_tag in self.load_gossip.receive(self.now, event.sender, event.payload):
            for engine in self.endpoints.engines_with_tag(failed_tag):
                reporters = self.load_gossip.reporters(engine.id, self.now)
                if reporters + min(1, engine.consecutive_failures) >= MIN_FAILURE_REPORTERS:
                    self.health.eject(engine, self.now)

    def _on_request_arrived(self, event: RequestArrived) -> None:
        if event.request in self.requests:
            return
        request_class = self.settings.classes.get(event.class_name)
        if request_class is None:
            request_class = RequestClass(
                "", event.time_left // 2, event.time_left, effect=Effect.NOT_IDEMPOTENT
            )
        margin = min(DEADLINE_MARGIN_TICKS * self.settings.tick, event.time_left // 2)
        request = Request(event, request_class, self.now, margin)
        self.admission.record_arrival(request, self.now)
        self.health.slow_start.record_arrival(self.now)
        self.prefix_cache.record_arrival(event)
        self.table.add(request)
        timer = Timer(TimerKind.REQUEST_DEADLINE, request.id)
        self.actions.add(SetTimer(max(0, request.deadline - self.now), timer))

    def _find_attempt(
        self, event: StreamStarted | AttemptFinished
    ) -> tuple[Request, Attempt] | None:
        """Return the request and its attempt if that is in flight; ids may be stale or repeated."""
        request = self.requests.get(event.request)
        if request is None:
            return None
        for attempt in request.attempts:
            if attempt.number == event.attempt and not attempt.result:
                return request, attempt
        return None

    def _on_stream_started(self, event: StreamStarted) -> None:
        found = self._find_attempt(event)
        if found is None:
            return
        request, attempt = found
        self.results.record_stream_start(request, attempt, event, self.now)
        if request.stage != RequestStage.ENDED:
            request.stage = RequestStage.STREAMING
            request.may_hold_state = False

    def _on_request_abandoned(self, event: RequestAbandoned) -> None:
        request = self.requests.get(event.request)
        if request is not None:
            self.finisher.end(request, None)

    def _on_shutdown_started(self, _event: ShutdownStarted) -> None:
        self.load_gossip.shut_down()

    def _on_timer_fired(self, event: TimerFired) -> None:
        if event.timer.kind is TimerKind.WATCH_RETRY:
            self.actions.add(WatchEndpoints())
        elif event.timer.kind is TimerKind.REQUEST_DEADLINE:
            request = self.requests.get(event.timer.request)
            if request and request.stage not in (RequestStage.STREAMING, RequestStage.ENDED):
                self.finisher.give_up(request)

    def _on_attempt_finished(self, event: AttemptFinished) -> None:
        found = self._find_attempt(event)
        if found is None:
            return
        request, attempt = found
        attempt.result = event.result
        request.attempts_in_flight -= 1
        if event.result not in preconditions.NOT_SENT:
            # Failed connections don't extend the time until its state has to be released.
            request.last_result_at = self.now
        self.results.record(request, attempt, event, self.now)
        if request.stage != RequestStage.ENDED and event.request_over:
            self.finisher.end(request, None)
        if request.stage == RequestStage.ENDED:
            self.finisher.forget_if_idle(request)
        elif self.now >= request.deadline or event.result == AttemptResult.CANCELLED_BEFORE_SEND:
            self.finisher.give_up(request)
        elif request.attempts_in_flight == 0:
            self._continue(request, attempt, event)

    def _continue(self, request: Request, attempt: Attempt, event: AttemptFinished) -> None:
        """Queue a request for its next attempt."""
        if event.result == AttemptResult.READ:
            request.state_holder = attempt.engine
            request.may_hold_state = True
            self.table.await_writer(request)
            return
        if event.result != AttemptResult.LOCAL_ERROR:
            request.failed_engines.append(attempt.engine.id)
        # The state was released before the write can have arrived.
        state_lost = event.state_released and attempt.failed_connection_checks > 0
        must_read = (
            attempt.is_read
            or event.result == AttemptResult.STATE_MISSING
            or request.state_holder is None
            or state_lost
        )
        if must_read:
            request.state_holder = None
            self.dispatcher.retry(request, self.now)
        else:
            self.table.await_writer(request)

    def _supervise_attempts(self) -> None:
        """Look for unresponsive engines, since a dead machine does not reset its connections."""
        if not self.settings.may_cancel:
            return
        for action in self.supervisor.check_all(self.requests.values(), self.now):
            self.actions.add(action)

    def _age_tables(self) -> None:
        elapsed = self.now - self.aged_at
        if elapsed <= AGING_INTERVAL_NS:
            return
        self.aged_at = self.now
        self.prefix_cache.age(self.now, elapsed)
        self.load_gossip.age(self.now)
        self.table.forget_expired(self.now)

    def _schedule_sweep(self) -> None:
        """Keep a sweep timer set while requests are open or gossip is pending."""
        waiting = self.table.has_waiting()
        due = self.now + (SWEEP_INTERVAL_NS if waiting else IDLE_SWEEP_INTERVAL_NS)
        if not self.requests and not self.load_gossip.has_pending(self.now):
            return
        if self.sweep_at <= self.now or due < self.sweep_at - SWEEP_INTERVAL_NS:
            self.sweep_at = due
            self.actions.add(SetTimer(due - self.now, SWEEP_TIMER))

    def _send_gossip(self) -> None:
        for recipient, payload in self.load_gossip.outgoing(self.now):
            self.actions.add(SendGossip(payload, recipient))
        for text in self.load_gossip.log_messages:
            self.actions.add(LogMessage(text))
        self.load_gossip.log_messages.clear()
