"""The router's guarantees hold at every step of generated event sequences.

The sequences are legal and derived from fixed seeds, so that each run generates the same ones.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from claycross.interface import (
    Action,
    AttemptFinished,
    CancelAttempt,
    EndpointListUpdate,
    Event,
    FailRequest,
    RejectRequest,
    ReleaseState,
    RequestAbandoned,
    RequestArrived,
    SetTimer,
    StartAttempt,
    StreamStarted,
    Timer,
    TimerFired,
)
from claycross.routing.router import Router
from tests.routing.router_harness import MS, SECOND, entry
from tests.routing.router_harness import settings as gateway_settings

# Results after which an attempt had no effect.
NEVER_RAN = {"full", "stateless", "connect_failed", "moot", "read"}
ENGINES = ["r1", "r2", "r3", "w1", "w2", "w3", "m1"]
IDEMPOTENT_CLASSES = ("ask", "low")
IDEMPOTENCY_KEY_CLASS = "key"
IDEMPOTENCY_KEY_TTL = 3 * SECOND


@dataclass
class AttemptRecord:
    """An attempt as the engines and the client see it."""

    engine: str
    started_at: int
    result: str = ""
    streaming: bool = False


@dataclass
class RequestRecord:
    """A request as the engines and the client see it."""

    class_name: str
    deadline: int
    attempts: list[AttemptRecord] = field(default_factory=list)
    over: bool = False
    streaming: bool = False
    state_held: bool = False
    held_since: int | None = None  # since when its state is held and no attempt is in flight

    def writes_that_may_have_run(self) -> list[AttemptRecord]:
        return [
            attempt
            for attempt in self.attempts
            if attempt.engine[0] != "r" and attempt.result not in NEVER_RAN
        ]


class SimulatedWorld:
    """Generates the events of clients, engines and discovery, and checks the router's actions."""

    def __init__(self, rng: random.Random, engines: list[str], **over):
        self.rng = rng
        self.settings = gateway_settings(**over)
        self.router = Router(self.settings, rng.randrange(1 << 30))
        self.now = 50 * SECOND
        self.timers: list[tuple[int, Timer]] = []
        self.requests: dict[int, RequestRecord] = {}  # all requests so far
        self.ready: set[str] = set()
        self.engines = engines
        self.next_id = 1
        self.feed(EndpointListUpdate("saved", [entry(name) for name in engines]))

    def feed(self, event: Event) -> None:
        """Pass an event to the router and check its actions and the state after them."""
        if isinstance(event, EndpointListUpdate):
            for endpoint in event.entries:
                self.ready.discard(endpoint.engine)
                if endpoint.state == "ready":
                    self.ready.add(endpoint.engine)
        for action in self.router.handle(self.now, [event]):
            self.check_action(action)
        self.check_requests()

    def check_action(self, action: Action) -> None:
        if isinstance(action, SetTimer):
            self.timers.append((self.now + action.delay, action.timer))
        elif isinstance(action, StartAttempt):
            self.check_attempt(action)
        elif isinstance(action, RejectRequest | FailRequest):
            self.check_answer(action)
        elif isinstance(action, ReleaseState):
            self.requests[action.request].state_held = False
            self.requests[action.request].held_since = None
        elif isinstance(action, CancelAttempt):
            assert self.settings.may_cancel
            assert not self.requests[action.request].attempts[action.attempt].streaming

    def check_attempt(self, action: StartAttempt) -> None:
        request = self.requests[action.request]
        assert not request.over, "rule 1: sent after the end"
        assert action.engine in self.ready, "rule 3: sent to a draining or removed engine"
        in_flight = any(not attempt.result for attempt in request.attempts)
        assert not in_flight or self.settings.may_hedge, "a hedged attempt"
        assert len(request.attempts) < self.settings.max_attempts
        # A further read after a write that may have run counts like a write.
        earlier = request.writes_that_may_have_run()
        if earlier:
            self.check_retry(request, earlier[0], action.engine)
        request.attempts.append(AttemptRecord(action.engine, self.now))
        request.held_since = None

    def check_retry(self, request: RequestRecord, earlier: AttemptRecord, engine: str) -> None:
        has_key = request.class_name == IDEMPOTENCY_KEY_CLASS
        is_idempotent = request.class_name in IDEMPOTENT_CLASSES
        assert is_idempotent or has_key, "rule 2: a request that is not idempotent was sent again"
        if has_key:
            same_zone = int(engine[1]) % 2 == int(earlier.engine[1]) % 2
            in_time = self.now < earlier.started_at + IDEMPOTENCY_KEY_TTL
            assert same_zone and in_time, "rule 2: outside the deduplication scope or its time"

    def check_answer(self, action: RejectRequest | FailRequest) -> None:
        request = self.requests[action.request]
        assert not request.over, "rule 1: a second answer"
        assert self.now < request.deadline, "rule 1: answered too late"
        if isinstance(action, RejectRequest) and request.writes_that_may_have_run():
            is_idempotent = request.class_name in IDEMPOTENT_CLASSES
            assert is_idempotent, "rule 2: rejected though it may have run"
        request.over = True

    def check_requests(self) -> None:
        for request in self.requests.values():
            if request.held_since is not None:
                held_for = self.now - request.held_since
                assert held_for <= self.settings.release_within, "rule 5: a state is not released"
            in_time = self.now < request.deadline
            assert request.over or request.streaming or in_time, "rule 1: no answer in time"

    def wait(self, duration: int) -> None:
        """Advance the clock and fire the timers that become due."""
        until = self.now + duration
        while due := min((timer for timer in self.timers if timer[0] <= until), default=None):
            self.timers.remove(due)
            self.now = max(self.now, due[0])
            self.feed(TimerFired(due[1]))
        self.now = until
        self.check_requests()

    def wait_randomly(self) -> None:
        self.wait(self.rng.choice([MS, 40 * MS, 200 * MS, 2 * SECOND]))

    def arrive(self) -> None:
        """Let a random request arrive."""
        number = self.next_id
        self.next_id += 1
        time_left = self.rng.choice([50 * MS, SECOND, 6 * SECOND])
        class_name = self.rng.choice(["ask", "low", "key", "once"])
        self.requests[number] = RequestRecord(class_name, self.now + time_left)
        arrival = RequestArrived(
            number,
            class_name,
            time_left,
            prompt_tokens=self.rng.randrange(50, 6000),
            session=f"s{self.rng.randrange(5)}",
            prefix=self.rng.choice(["", "p", "q"]),
            prefix_tokens=700,
            max_output_tokens=200,
        )
        self.feed(arrival)

    def finish_attempt(self) -> None:
        """Let a random attempt in flight give its first token or its result."""
        in_flight = [
            (request, attempt)
            for request, record in self.requests.items()
            for attempt, attempt_record in enumerate(record.attempts)
            if not attempt_record.result
        ]
        if not in_flight:
            return
        number, attempt_number = self.rng.choice(in_flight)
        request = self.requests[number]
        attempt = request.attempts[attempt_number]
        result = self.random_result(attempt)
        elapsed = self.now - attempt.started_at
        if result == "first" and not request.over:
            attempt.streaming = request.streaming = True
            request.state_held = False
            request.held_since = None
            self.feed(StreamStarted(number, attempt_number, attempt.engine, elapsed))
            return
        if result == "first":
            result = "cancelled"
        if attempt.streaming:
            request.over = True
        attempt.result = result
        if result == "read":
            request.state_held = True
        elif result == "stateless":
            request.state_held = False
        if request.state_held:
            request.held_since = self.now
        cached_tokens = self.rng.choice([0, 500])
        self.feed(
            AttemptFinished(
                number,
                attempt_number,
                attempt.engine,
                result,
                elapsed,
                cached_tokens,
                request.over,
            )
        )

    def random_result(self, attempt: AttemptRecord) -> str:
        """A result that the attempt can have; `first` is its first token."""
        if attempt.streaming:
            return self.rng.choice(["ok", "reset"])
        results = ["error", "timeout", "reset", "connect_failed", "full"]
        if attempt.engine[0] == "r":
            results += ["read"] * 8
        else:
            results += ["first"] * 8 + ["stateless"]
        return self.rng.choice(results)

    def abandon(self) -> None:
        """Let the client of a random request leave."""
        waiting = [
            number
            for number, request in self.requests.items()
            if not request.over and not request.streaming
        ]
        if waiting:
            number = self.rng.choice(waiting)
            self.requests[number].over = True
            self.feed(RequestAbandoned(number))

    def change_endpoint(self) -> None:
        """Change the endpoint of a random engine."""
        name = self.rng.choice(self.engines)
        state = self.rng.choice(["ready", "ready", "draining", "gone"])
        started_at = self.rng.choice([0, self.now - SECOND])
        self.feed(EndpointListUpdate("changes", [entry(name, state, started_at)]))

    def finish_unknown_attempt(self) -> None:
        """Report the result of an attempt that never started."""
        number = self.rng.randrange(1 << 20, 1 << 21)
        result = self.rng.choice(["ok", "read", "full"])
        self.feed(AttemptFinished(number, 3, "unknown", result))


# Methods of SimulatedWorld, each as often as its weight.
STEPS = [
    *["arrive"] * 4,
    *["finish_attempt"] * 8,
    *["wait_randomly"] * 4,
    "abandon",
    "change_endpoint",
    "finish_unknown_attempt",
]


@settings(
    derandomize=True,
    max_examples=120,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)
@given(
    seed=st.integers(0, 2**32),
    with_readers=st.booleans(),
    with_mixed=st.booleans(),
    may_cancel=st.booleans(),
    writers_can_read=st.booleans(),
    step_count=st.integers(20, 200),
)
def test_the_rules_hold_at_every_step(
    seed, with_readers, with_mixed, may_cancel, writers_can_read, step_count
):
    rng = random.Random(seed)
    engines = [
        name
        for name in ENGINES
        if (with_readers or name[0] != "r") and (with_mixed or name[0] != "m")
    ]
    world = SimulatedWorld(rng, engines, may_cancel=may_cancel, writers_can_read=writers_can_read)
    for _ in range(step_count):
        getattr(world, rng.choice(STEPS))()
    world.wait(10 * SECOND)  # all open requests end in this time
    for _ in range(2000):
        world.finish_attempt()
    world.wait(SECOND)
    assert not world.router.requests, "an ended request is kept"
