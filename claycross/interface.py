"""Types shared by the packages: settings, and the events and actions of the router.

The router (routing/router.py) consumes events and returns actions; this module makes no decisions.
Times are integer nanoseconds. Sizes of prompts, answers and memory are counted in tokens. Values of
enumerations are terms of the platform's protocol, the settings or stored files; code uses their
names.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

# Largest number of gateways at which each sends its load updates to all others.
FULL_GOSSIP_LIMIT = 40
ALL_GATEWAYS = -1  # as a recipient: all other gateways

# ---------------------------------------------------------------- settings


class Effect(StrEnum):
    """Whether requests of a class may be executed more than once."""

    IDEMPOTENT = "safe"
    WITH_IDEMPOTENCY_KEY = "keyed"  # engines of one scope deduplicate for a limited time
    NOT_IDEMPOTENT = "unsafe"


class DeduplicationScope(StrEnum):
    """Which engines share their idempotency keys."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class EngineRole(StrEnum):
    """Which stages of a request an engine processes."""

    READER = "read"  # reads the prompt and keeps the state for a writer
    WRITER = "write"  # fetches the state and generates the answer
    MIXED = "both"


@dataclass(slots=True)
class RequestClass:
    """A class of requests, as defined in the settings."""

    name: str
    latency_objective: int  # of the first token, without the allowance for the prompt's size
    timeout: int  # how long the client waits for the first token
    priority_weight: float = 1.0
    late_weight: float = 0.0  # share of the weight that a late answer still has
    effect: Effect = Effect.IDEMPOTENT
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    idempotency_key_ttl: int = 0
    streaming: bool = True
    objective_per_prompt_token: float = 0.0
    token_interval_objective: int = 0  # between consecutive tokens of the answer

    def latency_objective_of(self, prompt_tokens: int) -> int:
        """Return the latency objective of the first token for a prompt of this size."""
        return self.latency_objective + int(self.objective_per_prompt_token * prompt_tokens)


@dataclass(slots=True)
class TenantQuota:
    """A tenant's quota: requests per second over all gateways; 0 means unlimited."""

    name: str
    quota_per_s: float = 0.0
    capacity_share: float = 0.0


@dataclass(slots=True)
class Settings:
    """The settings of one gateway."""

    classes: dict[str, RequestClass]
    roles: dict[str, EngineRole]  # by machine kind
    memory: dict[str, int]  # by machine kind: capacity in tokens of KV state
    zone: str = ""
    gateway_count: int = 1
    gateway_number: int = 0
    tick: int = 1_000_000
    tenants: dict[str, TenantQuota] = field(default_factory=dict)
    over_quota_weight: float = 1.0  # factor on the priority weight of requests over quota
    polls_endpoint_list: bool = False
    max_attempts: int = 1
    may_cancel: bool = False
    may_hedge: bool = False  # a second attempt may be sent while the first is in flight
    may_check_connections: bool = False  # whether `CheckConnection` is supported
    may_probe: bool = False  # whether engines may be sent calls only to see whether they run
    gossip_allowed: bool = False
    # Number of gateways above which one of them aggregates the load reports of all.
    aggregate_above: int = FULL_GOSSIP_LIMIT
    sends_retry_after: bool = False
    max_retry_after: int = 0
    connection_idle_timeout: int = 0  # after which engines close idle connections
    release_within: int = 500_000_000  # by then a reserved state must be used or released
    connect_timeout: int = 250_000_000
    drain_grace: int = 250_000_000  # during which attempts may start after an announced drain
    writers_can_read: bool = False
    clients_resume: bool = False  # whether clients resume a broken stream
    slow_start_initial: float = 1.0  # initial share of the capacity of a newly started engine
    slow_start_duration: int = 0
    overload_window: int = 1_000_000_000  # over which the load of an engine in slow start is summed
    overload_multiple: float = 1.0  # multiple of its capacity at which such an engine fails


# ---------------------------------------------------------------- events


class EngineState(StrEnum):
    """State of an engine in the endpoint list."""

    READY = "ready"
    DRAINING = "draining"
    REMOVED = "gone"


class UpdateKind(StrEnum):
    """What an endpoint list update contains."""

    CHANGES = "changes"
    FULL = "full"
    SAVED = "saved"  # the full list as saved by an earlier process; may be stale
    FAILED = "failed"  # no entries: the list could not be fetched


class AttemptResult(StrEnum):
    """Result of an attempt."""

    OK = "ok"
    READ = "read"  # the prompt was read, and its state is held at the reader
    ENGINE_FULL = "full"
    STATE_MISSING = "stateless"  # rejected: there is no state to fetch
    ERROR = "error"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    LOCAL_ERROR = "local_error"  # no socket or route on this machine, or it held the attempt back
    RESET = "reset"
    CANCELLED = "cancelled"
    CANCELLED_BEFORE_SEND = "moot"


class TimerKind(StrEnum):
    """Purpose of a router timer."""

    REQUEST_DEADLINE = "deadline"
    SWEEP = "sweep"  # re-examine queued, reserved and overdue work
    WATCH_RETRY = "subscribe"  # request the endpoint list again


@dataclass(frozen=True, slots=True, order=True)
class Timer:
    """Identifies a timer; `request` is set for a timer of one request."""

    kind: TimerKind
    request: int = 0


@dataclass(slots=True)
class EngineEndpoint:
    """An entry of the endpoint list."""

    engine: str
    machine_kind: str
    state: EngineState
    zone: str = ""
    cell: int = 0
    started_at: int = 0  # by this process's clock; 0: long ago
    size: float = 1.0
    incarnation: int = 0  # start time by the engine's clock; only an identity

    @property
    def identity(self) -> int:
        """Differs between processes of the engine; equal at all gateways that list one."""
        return self.incarnation or self.started_at

    def copy(
        self,
        state: EngineState | None = None,
        started_at: int | None = None,
        incarnation: int | None = None,
    ) -> EngineEndpoint:
        """Return a copy with some values changed.

        Lists are long, and dataclasses.replace is slower.
        """
        return EngineEndpoint(
            self.engine,
            self.machine_kind,
            state or self.state,
            self.zone,
            self.cell,
            self.started_at if started_at is None else started_at,
            self.size,
            self.incarnation if incarnation is None else incarnation,
        )


@dataclass(slots=True)
class EndpointListUpdate:
    """The endpoint list or changes to it."""

    kind: UpdateKind
    entries: list[EngineEndpoint] = field(default_factory=list)


@dataclass(slots=True)
class LoadReport:
    """Load reported by an engine; None for values that it does not report."""

    requests: float | None = None
    queued: float | None = None
    memory_share: float | None = None
    waiting_tokens: float | None = None


@dataclass(slots=True)
class RequestArrived:
    """A client's request was accepted."""

    request: int
    class_name: str
    time_left: int
    prompt_tokens: int = 0
    session: str = ""
    prefix: str = ""
    prefix_tokens: int = 0
    max_output_tokens: int = 0
    answer_duration_hint: int = 0  # estimated duration at the token interval objective; 0: none
    tenant: str = ""
    is_retry: bool = False


@dataclass(slots=True)
class StreamStarted:
    """The first token was sent to the client; timeout and deadline no longer apply."""

    request: int
    attempt: int
    engine: str
    elapsed: int


@dataclass(slots=True)
class AttemptFinished:
    """An attempt has ended."""

    request: int
    attempt: int
    engine: str
    result: AttemptResult
    elapsed: int = 0
    cached_tokens: int = 0  # prompt tokens found in the engine's cache
    request_over: bool = False
    load_report: LoadReport | None = None
    state_released: bool = False  # the state was released while this write was in flight


@dataclass(slots=True)
class RequestAbandoned:
    """The client no longer waits for this request."""

    request: int


@dataclass(slots=True)
class TimerFired:
    """A router timer has expired."""

    timer: Timer


@dataclass(slots=True)
class ConnectionChecked:
    """Result of `CheckConnection`: whether a connection to the engine could be opened."""

    engine: str
    reachable: bool


@dataclass(slots=True)
class ShutdownStarted:
    """This process is shutting down; requests in flight may finish."""


@dataclass(slots=True)
class GossipReceived:
    """A datagram from another gateway; delivery may be late, duplicated or missing."""

    sender: int  # `Settings.gateway_number` of the sending gateway
    payload: bytes


Event = (
    EndpointListUpdate
    | RequestArrived
    | StreamStarted
    | AttemptFinished
    | RequestAbandoned
    | TimerFired
    | GossipReceived
    | ConnectionChecked
    | ShutdownStarted
)

# ---------------------------------------------------------------- actions


@dataclass(slots=True)
class StartAttempt:
    """Send the request to an engine."""

    request: int
    engine: str
    timeout: int  # 0: until the client's deadline
    not_after: int = 0  # latest time at which it may be sent; 0: no limit
    predicted_latency: int = 0  # to its result or first token; only logged
    predicted_cached_tokens: int = 0  # only logged


@dataclass(slots=True)
class ReleaseState:
    """Release all state that engines hold for the request."""

    request: int


@dataclass(slots=True)
class CancelAttempt:
    """Cancel one attempt of a request."""

    request: int
    attempt: int


@dataclass(slots=True)
class RejectRequest:
    """Reject the request; the client can safely retry it."""

    request: int
    retry_after: int = 0
    reason: str = ""  # a single word, for the log and the count of rejections


@dataclass(slots=True)
class FailRequest:
    """Fail the request; whether it had an effect is unknown."""

    request: int


@dataclass(slots=True)
class SetTimer:
    """Start a timer that expires after `delay`."""

    delay: int
    timer: Timer


@dataclass(slots=True)
class CheckConnection:
    """Open and close a connection, to distinguish slow engines from unreachable ones."""

    engine: str


@dataclass(slots=True)
class SendGossip:
    """Send a datagram of at most 256 bytes to one gateway or to all others."""

    payload: bytes
    recipient: int = ALL_GATEWAYS


@dataclass(slots=True)
class WatchEndpoints:
    """Request the endpoint list and its further changes from discovery."""


@dataclass(slots=True)
class LogMessage:
    """Write a log line."""

    text: str


Action = (
    StartAttempt
    | ReleaseState
    | CancelAttempt
    | RejectRequest
    | FailRequest
    | SetTimer
    | CheckConnection
    | SendGossip
    | WatchEndpoints
    | LogMessage
)
