"""The rules that a soak is judged by, from what the engines and the clients met.

Owns one function for each rule, pure, over records of one clock (the machine's monotonic one, in
seconds). Each returns what broke the rule. A rule excuses only what its docstring names.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace

DRAIN_WITHIN = 0.25 + 0.05  # after a drain was told
TOLD_WITHIN = 6.0 + 0.3  # after discovery had it and could be reached, whatever was in the way
LEFT_WITHIN = 0.1 + 0.1  # after a client left; the second part is for two busy processes on the way
TIME_SLACK = 0.15
LATE_WITHIN = 0.5
CUT_ENDS = 0.5  # after a cut, until what was held back has come
NEVER_RAN = ("", "full", "stateless")  # ends of an attempt at a writer that was turned away
READ_ROLE = "read"
HELD_WITHIN = 0.3 + 0.3 + 0.05  # of the settings, of wires, and of the protocol's page
PASSED_ON_WITHIN = 0.3
BAD_CLIENT_WITHIN = 3.0
AROUND = 0.5  # seconds before and after an event in which the soak's lag counts


@dataclass(slots=True)
class ClientRequest:
    """One request as its client met it."""

    key: str
    cls: str  # its effect: "browse" is safe, "licence" must not run twice
    gateway: int
    sent: float
    span: float  # that the client waits for the first token
    # "served", "refused", "failed", "broken" in its stream, "unanswered", "left", "nobody";
    # "crossed": its
    # connection, which had carried others, ended without a word.
    how: str = ""
    first: float = 0.0  # when its answer began
    ended: float = 0.0  # when its answer was whole, or its connection ended
    behind: float = (
        0.0  # when the answer before it on its connection was whole; 0: it was the first
    )
    left: float = 0.0  # when the client closed; 0: it stayed
    closed: float = 0.0  # when its client was done with it
    delay: float = 0.0  # the longest that an event of its stream was under way
    excused: bool = (
        False  # its gateway was killed, or stopped for longer than allowed, while it had it
    )


@dataclass(slots=True)
class EngineAttempt:
    """One attempt as its engine met it."""

    key: str
    engine: str
    role: str
    begun: float
    told: float  # the time that it was told is left
    end: str
    ended: float = 0.0  # 0: it had not ended
    came: float = 0.0  # when its last byte came, where the engine took it later

    @property
    def arrived(self) -> float:
        """When it reached the engine's machine."""
        return self.came or self.begun


@dataclass(slots=True)
class ReservedState:
    """One state that was held at a reader."""

    key: str
    engine: str
    since: float
    until: float


@dataclass(slots=True)
class MisbehavingClient:
    """A client that sent no whole request and stayed."""

    gateway: int
    sent: float
    closed: float  # when it had its error, or the end of its connection
    excused: bool = False


@dataclass(slots=True)
class ReadinessCheck:
    """One readiness check of a gateway beside a client that floods it."""

    gateway: int
    sent: float
    closed: float = 0.0  # when its answer or the end of its connection had come


@dataclass(slots=True)
class MemoryPeak:
    """The most memory that the processes of one gateway had, without their files."""

    gateway: int
    used_mb: float
    limit_mb: float


@dataclass(slots=True)
class RunRecord:
    """All that a soak saw."""

    client_requests: list[ClientRequest] = field(default_factory=list)
    engine_attempts: list[EngineAttempt] = field(default_factory=list)
    drains: dict[str, float] = field(
        default_factory=dict
    )  # engine -> when discovery or an operator told
    unreached: list[tuple[float, float]] = field(
        default_factory=list
    )  # spans without discovery for some
    engine_troubles: list[tuple[float, float]] = field(
        default_factory=list
    )  # at engines, or on ways to them
    cuts: list[tuple[float, float]] = field(
        default_factory=list
    )  # ways to engines that held bytes back
    lags: list[tuple[float, float]] = field(
        default_factory=list
    )  # when, and how late the soak itself was
    reserved_states: list[ReservedState] = field(default_factory=list)
    misbehaving_clients: list[MisbehavingClient] = field(default_factory=list)
    readiness_checks: list[ReadinessCheck] = field(default_factory=list)
    memory_peaks: list[MemoryPeak] = field(default_factory=list)
    states_left: list[str] = field(
        default_factory=list
    )  # requests whose state was left at an engine at the end
    fell: int = 0  # engines that fell over in slow start
    process_failures: list[str] = field(
        default_factory=list
    )  # processes that ended, or started too late
    logged: list[str] = field(default_factory=list)  # breaches and errors in the gateways' logs

    def lag(self, begin: float, end: float) -> float:
        """How late the soak's own relays and engines were about then: added to what is judged."""
        return max(
            (lag for at, lag in self.lags if begin - AROUND <= at <= end + AROUND), default=0.0
        )


def held_back(record: RunRecord, r: EngineAttempt) -> bool:
    """Whether a relay may have held the attempt back: it takes bytes that a network that is cut
    would have left with their sender, who takes them back when the attempt is over
    (tests/requests/test_abandoned.py).
    """
    return any(begin <= r.begun <= end + CUT_ENDS for begin, end in record.cuts)


def answered_once_in_time(record: RunRecord) -> list[str]:
    """Every request gets one answer by its time and half a second, but those of gateways that were
    killed. One behind another has its turn after that one's answer, and gets its own by then if
    that is later.
    """

    def late(a: ClientRequest) -> bool:
        return a.first > max(a.sent + a.span, a.behind) + LATE_WITHIN + record.lag(a.sent, a.first)

    return [
        f"{a.key} {a.how or 'nothing'} after {a.first - a.sent:.2f} of {a.span:.2f} s at "
        f"g{a.gateway}"
        for a in record.client_requests
        if not a.excused and not a.left and (a.how in ("", "unanswered") or late(a))
    ]


def streams_complete(record: RunRecord) -> list[str]:
    """A stream breaks only with its engine, or with the way there."""

    def troubled(a: ClientRequest) -> bool:
        return any(begin <= a.ended and end >= a.sent for begin, end in record.engine_troubles)

    return [
        f"{a.key} at g{a.gateway}"
        for a in record.client_requests
        if a.how == "broken" and not a.excused and not troubled(a)
    ]


def runs_once(record: RunRecord) -> list[str]:
    """A licence goes once at most to where it may run; nothing excuses a second time."""
    licences = {a.key for a in record.client_requests if a.cls == "licence"}
    runs = Counter(
        r.key
        for r in record.engine_attempts
        if r.key in licences and r.role != "read" and r.end not in NEVER_RAN
    )
    return [f"{key} ran {n} times" for key, n in runs.items() if n > 1]


def none_after_leaving(record: RunRecord) -> list[str]:
    """No attempt begins once its client has left, but what a way to its engine had taken and held
    back.
    """
    left = {a.key: a.left for a in record.client_requests if a.left}
    return [
        f"{r.key} at {r.engine} {r.arrived - left[r.key]:.2f} s after its client left"
        for r in record.engine_attempts
        if r.key in left
        and not held_back(record, r)
        and r.arrived > left[r.key] + LEFT_WITHIN + record.lag(left[r.key], r.arrived)
    ]


def nothing_sent_while_draining(record: RunRecord) -> list[str]:
    """An engine that drains gets nothing new once that was told, at the latest six seconds after a
    time in which discovery could not be reached.
    """

    def bound(told: float) -> float:
        within = told + DRAIN_WITHIN + record.lag(told, told)
        for begin, end in sorted(record.unreached):
            if begin <= within and end >= told:
                within = max(within, max(told, end) + TOLD_WITHIN)
        return within

    return [
        f"{r.key} at {r.engine} {r.arrived - record.drains[r.engine]:.2f} s after its drain"
        for r in record.engine_attempts
        if r.engine in record.drains and r.arrived > bound(record.drains[r.engine])
    ]


def engines_told_time_left(record: RunRecord) -> list[str]:
    """An engine is told at most the time that its client still waits, with 0.15 s of slack. What
    was said right is late where the way to the engine held it back.
    """
    by_key = {a.key: a for a in record.client_requests}
    return [
        f"{r.key} at {r.engine} told {r.told:.2f}, left {left:.2f}"
        for r in record.engine_attempts
        if (a := by_key.get(r.key))
        and not held_back(record, r)
        and r.told
        > ((left := a.sent + a.span - r.arrived) + TIME_SLACK + record.lag(r.arrived, r.arrived))
    ]


def no_state_left(record: RunRecord) -> list[str]:
    """No state is left at an engine, but those of requests whose gateway was killed."""
    excused = {a.key for a in record.client_requests if a.excused}
    return [key for key in record.states_left if key not in excused]


def unused(state: ReservedState, ran: Iterable[EngineAttempt]) -> tuple[float, float]:
    """The longest span in which the state was held and no attempt of its request was out at an
    engine.
    """
    longest = (state.since, state.since)
    at = state.since
    for r in sorted(ran, key=lambda r: r.begun):
        if r.begun > at and min(r.begun, state.until) - at > longest[1] - longest[0]:
            longest = (at, min(r.begun, state.until))
        at = max(at, r.ended or state.until)
    return (at, state.until) if state.until - at > longest[1] - longest[0] else longest


def attempts_by_key(record: RunRecord) -> dict[str, list[EngineAttempt]]:
    """The attempts of each request."""
    by_key: dict[str, list[EngineAttempt]] = {}
    for attempt in record.engine_attempts:
        by_key.setdefault(attempt.key, []).append(attempt)
    return by_key


def overtaken(
    record: RunRecord, attempt: EngineAttempt, these: Iterable[EngineAttempt], over_at: float
) -> bool:
    """Whether an attempt arrived after a later one of its request, or after the request was over.

    A later attempt is told less time. No gateway can know of an attempt that a proxy held back so
    long that it had given it up. `over_at`: when the client was done with the request; 0: unknown.
    """
    if over_at and attempt.arrived > over_at and held_back(record, attempt):
        return True
    return any(other.told < attempt.told and other.arrived < attempt.arrived for other in these)


def until_response(
    record: RunRecord, attempt: EngineAttempt, these: Iterable[EngineAttempt], over_at: float
) -> EngineAttempt:
    """The attempt with its end as its gateway can know it.

    A response that a cut holds back has not arrived: the attempt is out until the cut is over, or
    until the gateway has given it up, which the next attempt or the end of the request shows.
    """
    for begin, end in record.cuts:
        if begin <= attempt.ended <= end:
            shown = [other.begun for other in these if other.begun > attempt.ended]
            if over_at > attempt.ended:
                shown.append(over_at)
            return replace(attempt, ended=min([end + CUT_ENDS, *shown]))
    return attempt


def states_used_or_released_in_time(record: RunRecord) -> list[str]:
    """A state is taken by an attempt that has arrived, or let go, in its time, but where its
    gateway was killed or stopped, and where a proxy delivered its read after a later attempt.
    """
    closed = {a.key: a.closed for a in record.client_requests}
    excused = {a.key for a in record.client_requests if a.excused}
    by_key = attempts_by_key(record)
    found = []
    for state in record.reserved_states:
        these = by_key.get(state.key, ())
        over_at = closed.get(state.key, 0.0)
        if any(r.engine == state.engine and overtaken(record, r, these, over_at) for r in these):
            continue
        begin, end = unused(state, [until_response(record, r, these, over_at) for r in these])
        if state.key not in excused and end - begin > HELD_WITHIN + record.lag(begin, end):
            found.append(f"{state.key} at {state.engine} {end - begin:.2f} s")
    return found


def events_forwarded_in_time(record: RunRecord) -> list[str]:
    """An event of a stream is passed on at once, but where the way from its engine held it back."""

    def troubled(a: ClientRequest) -> bool:
        return any(begin <= a.ended and end >= a.sent for begin, end in record.engine_troubles)

    return [
        f"{a.key} {a.delay:.2f} s at g{a.gateway}"
        for a in record.client_requests
        if not a.excused
        and not troubled(a)
        and a.delay > PASSED_ON_WITHIN + record.lag(a.sent, a.ended)
    ]


def misbehaving_clients_closed(record: RunRecord) -> list[str]:
    """A client that sends half a request or junk and stays gets its error or its close."""
    return [
        f"g{b.gateway} after {b.closed - b.sent:.2f} s"
        for b in record.misbehaving_clients
        if not b.excused and b.closed - b.sent > BAD_CLIENT_WITHIN + record.lag(b.sent, b.closed)
    ]


def answers_beside_flood(record: RunRecord) -> list[str]:
    """A gateway that a client floods answers others as soon as it has to pass on events."""
    return [
        f"g{c.gateway} after {c.closed - c.sent:.2f} s"
        for c in record.readiness_checks
        if c.closed - c.sent > PASSED_ON_WITHIN + record.lag(c.sent, c.closed)
    ]


def memory_under_limit(record: RunRecord) -> list[str]:
    """No gateway has more memory than its limit, whatever its clients send."""
    return [
        f"g{peak.gateway} {peak.used_mb:.0f} of {peak.limit_mb:.0f} MB"
        for peak in record.memory_peaks
        if peak.used_mb > peak.limit_mb
    ]


def nothing_read_is_dropped(record: RunRecord) -> list[str]:
    """A request whose connection ended between two requests is sent once more; it was not read, so
    that it reached no engine, but where its gateway was killed.
    """
    ran = {r.key for r in record.engine_attempts}
    return [
        f"{a.key} at g{a.gateway}"
        for a in record.client_requests
        if a.how == "crossed" and not a.excused and a.key in ran
    ]


def no_engine_overloaded(record: RunRecord) -> list[str]:
    """No engine in slow start gets more than it bears."""
    return ["an engine in slow start"] * record.fell


def processes_live(record: RunRecord) -> list[str]:
    """Processes run unless they were told to end, start in time, and end with status 0."""
    return list(record.process_failures)


def nothing_logged(record: RunRecord) -> list[str]:
    """No gateway counts a breach of its own invariants, or an error that nobody foresaw."""
    return list(record.logged)


CHECKERS: dict[str, Callable[[RunRecord], list[str]]] = {
    "answered once and in time": answered_once_in_time,
    "streams are passed on whole": streams_complete,
    "a licence runs once at most": runs_once,
    "nothing begins after a client has left": none_after_leaving,
    "drained engines get nothing new": nothing_sent_while_draining,
    "engines are told what is left": engines_told_time_left,
    "nothing stays held": no_state_left,
    "what is held is used or let go in time": states_used_or_released_in_time,
    "events are passed on at once": events_forwarded_in_time,
    "bad clients are ended in time": misbehaving_clients_closed,
    "a client that floods delays no other": answers_beside_flood,
    "memory stays under its limit": memory_under_limit,
    "no request that was read is dropped": nothing_read_is_dropped,
    "no engine falls in slow start": no_engine_overloaded,
    "processes live": processes_live,
    "no gateway counts a breach": nothing_logged,
}


def check_all(record: RunRecord) -> dict[str, list[str]]:
    """What broke each rule; and whether there was anything to judge."""
    found = {name: rule(record) for name, rule in CHECKERS.items()}
    found["requests were asked and run"] = (
        [] if record.client_requests and record.engine_attempts else ["nothing was seen"]
    )
    return found


def interrupted_reads(record: RunRecord) -> int:
    """How many states were left by reads whose response did not arrive at their gateway."""
    attempts = attempts_by_key(record)
    count = 0
    for state in record.reserved_states:
        later = [r for r in attempts.get(state.key, ()) if r.begun > state.since]
        count += any(r.role == READ_ROLE for r in later)
    return count


def count_judged(record: RunRecord) -> dict[str, int]:
    """How many cases of a run each rule was tried on."""
    answered = [a for a in record.client_requests if not a.excused and not a.left]
    licences = {a.key for a in record.client_requests if a.cls == "licence"}
    left = {a.key for a in record.client_requests if a.left}
    first_drain = min(record.drains.values(), default=float("inf"))
    return {
        "answered once and in time": len(answered),
        "streams are passed on whole": sum(a.how in ("served", "broken") for a in answered),
        "a licence runs once at most": sum(
            r.key in licences and r.role != READ_ROLE for r in record.engine_attempts
        ),
        "nothing begins after a client has left": sum(
            r.key in left for r in record.engine_attempts
        ),
        "drained engines get nothing new": sum(
            r.arrived > first_drain for r in record.engine_attempts
        ),
        "engines are told what is left": len(record.engine_attempts),
        "nothing stays held": len(record.reserved_states),
        "what is held is used or let go in time": interrupted_reads(record),
        "events are passed on at once": sum(a.how == "served" for a in answered),
        "bad clients are ended in time": sum(not b.excused for b in record.misbehaving_clients),
        "a client that floods delays no other": len(record.readiness_checks),
        "memory stays under its limit": len(record.memory_peaks),
        "no request that was read is dropped": sum(
            a.how == "crossed" for a in record.client_requests
        ),
    }


def all_hold(found: dict[str, Iterable[str]]) -> bool:
    """Whether no rule is broken."""
    return not any(found.values())
