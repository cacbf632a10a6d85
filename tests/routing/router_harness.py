"""A router with a small fleet and a simulated clock, for tests."""

from __future__ import annotations

from claycross.interface import (
    Action,
    AttemptFinished,
    CancelAttempt,
    DeduplicationScope,
    Effect,
    EndpointListUpdate,
    EngineEndpoint,
    EngineRole,
    EngineState,
    Event,
    FailRequest,
    LoadReport,
    RejectRequest,
    ReleaseState,
    RequestArrived,
    RequestClass,
    SetTimer,
    Settings,
    StartAttempt,
    StreamStarted,
    Timer,
    TimerFired,
    UpdateKind,
)
from claycross.routing.outlier_detection import OutlierDetector
from claycross.routing.prefix_cache import PrefixCacheIndex
from claycross.routing.router import Router

MS = 1_000_000  # ns
SECOND = 1000 * MS
READERS = ["r1", "r2", "r3", "r4"]
WRITERS = ["w1", "w2", "w3", "w4"]


def settings(**over) -> Settings:
    """Settings of a gateway with a class of each effect; `over` replaces fields."""
    base = dict(
        classes={
            "ask": RequestClass(
                "ask",
                latency_objective=2 * SECOND,
                timeout=6 * SECOND,
                priority_weight=2.0,
                late_weight=0.3,
            ),
            "low": RequestClass(
                "low", latency_objective=2 * SECOND, timeout=6 * SECOND, priority_weight=1.0
            ),
            "key": RequestClass(
                "key",
                latency_objective=2 * SECOND,
                timeout=6 * SECOND,
                effect=Effect.WITH_IDEMPOTENCY_KEY,
                deduplication_scope=DeduplicationScope.ZONE,
                idempotency_key_ttl=3 * SECOND,
            ),
            "once": RequestClass(
                "once",
                latency_objective=2 * SECOND,
                timeout=6 * SECOND,
                effect=Effect.NOT_IDEMPOTENT,
            ),
        },
        roles={
            "reader": EngineRole.READER,
            "writer": EngineRole.WRITER,
            "mixed": EngineRole.MIXED,
        },
        memory={"reader": 200_000, "writer": 100_000, "mixed": 100_000},
        zone="north",
        gateway_count=2,
        tick=MS,
        max_attempts=5,
        may_cancel=True,
        release_within=300 * MS,
        slow_start_initial=0.25,
        slow_start_duration=10 * SECOND,
        overload_window=SECOND,
        overload_multiple=2.5,
        max_retry_after=SECOND,
        sends_retry_after=True,
    )
    base.update(over)
    return Settings(**base)


def entry(
    engine: str,
    state: str = EngineState.READY,
    started_at: int = 0,
    zone: str = "",
    cell: int = -1,
) -> EngineEndpoint:
    """An endpoint whose kind follows from its name, such as r1, w1 or m1.

    Engines with odd numbers are in zone north and cell 0, the others in zone south and cell 1.
    """
    kind = {"r": "reader", "w": "writer", "m": "mixed"}[engine[0]]
    odd = int(engine[1:]) % 2
    return EngineEndpoint(
        engine,
        kind,
        state,
        zone or ("north" if odd else "south"),
        cell if cell >= 0 else 1 - odd,
        started_at,
    )


class RouterHarness:
    """A router whose events a test makes one by one, with a clock and its attempts in flight."""

    def __init__(self, engines=None, seed: int = 1, **over):
        self.settings = settings(**over)
        self.router = Router(self.settings, seed)
        self.now = 100 * SECOND
        self.in_flight: dict[tuple[int, int], StartAttempt] = {}  # by request and attempt number
        self.sent_at: dict[tuple[int, int], int] = {}
        self.attempt_counts: dict[int, int] = {}  # by request
        self.timers: list[tuple[int, Timer]] = []  # due time and timer
        self.log: list[tuple[int, Action]] = []  # time and action
        names = READERS + WRITERS if engines is None else engines
        entries = [name if isinstance(name, EngineEndpoint) else entry(name) for name in names]
        self.handle(EndpointListUpdate(UpdateKind.SAVED, entries))

    @property
    def health(self) -> OutlierDetector:
        """The router's engines and what it knows of their health."""
        return self.router.health

    @property
    def prefix_cache(self) -> PrefixCacheIndex:
        """The router's index of cached prompts."""
        return self.router.prefix_cache

    def handle(self, *events: Event) -> list[Action]:
        """Pass events to the router and record its actions."""
        actions = self.router.handle(self.now, list(events))
        for action in actions:
            if isinstance(action, StartAttempt):
                number = self.attempt_counts.get(action.request, 0)
                self.attempt_counts[action.request] = number + 1
                self.in_flight[action.request, number] = action
                self.sent_at[action.request, number] = self.now
            elif isinstance(action, SetTimer):
                self.timers.append((self.now + action.delay, action.timer))
        self.log += [(self.now, action) for action in actions]
        return actions

    def wait(self, duration: int) -> list[Action]:
        """Advance the clock, and fire the timers that become due."""
        until = self.now + duration
        actions = []
        while True:
            due = min((timer for timer in self.timers if timer[0] <= until), default=None)
            if due is None:
                break
            self.timers.remove(due)
            self.now = max(self.now, due[0])
            actions += self.handle(TimerFired(due[1]))
        self.now = until
        return actions

    def ask(self, request: int, cls: str = "ask", left: int = 6 * SECOND, **fields) -> list[Action]:
        """Let a request arrive; `left` is the time until the client gives up."""
        fields.setdefault("prompt_tokens", 1000)
        fields.setdefault("max_output_tokens", 200)
        return self.handle(RequestArrived(request, cls, left, **fields))

    def reply(
        self,
        request: int,
        result: str,
        took: int = 50 * MS,
        ended: bool = False,
        cached_tokens: int = 0,
        report: LoadReport | None = None,
    ) -> list[Action]:
        """End the request's oldest attempt in flight."""
        number = min(attempt for owner, attempt in self.in_flight if owner == request)
        engine = self.in_flight.pop((request, number)).engine
        return self.handle(
            AttemptFinished(request, number, engine, result, took, cached_tokens, ended, report)
        )

    def begin(self, request: int, took: int = 100 * MS) -> list[Action]:
        """Let the request's newest attempt in flight give its first token."""
        number = max(attempt for owner, attempt in self.in_flight if owner == request)
        return self.handle(
            StreamStarted(request, number, self.in_flight[request, number].engine, took)
        )

    def serve(self, request: int, **fields) -> tuple[str, str]:
        """Serve a request without faults; returns the names of its reader and writer."""
        reader = sends(self.ask(request, **fields))[0].engine
        self.now += 50 * MS
        writer = sends(self.reply(request, "read"))[0].engine
        self.now += 50 * MS
        self.begin(request)
        self.reply(request, "ok", SECOND, ended=True)
        return reader, writer


def sends(actions) -> list[StartAttempt]:
    """Return the actions that start attempts."""
    return [action for action in actions if isinstance(action, StartAttempt)]


def kinds(actions) -> list[type]:
    """Return the types of all actions but timers."""
    return [type(action) for action in actions if not isinstance(action, SetTimer)]


__all__ = [
    "MS",
    "READERS",
    "SECOND",
    "WRITERS",
    "AttemptFinished",
    "CancelAttempt",
    "EndpointListUpdate",
    "FailRequest",
    "LoadReport",
    "RejectRequest",
    "ReleaseState",
    "RequestArrived",
    "RouterHarness",
    "StartAttempt",
    "entry",
    "kinds",
    "sends",
    "settings",
]
