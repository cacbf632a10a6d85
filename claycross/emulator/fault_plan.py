"""Which troubles a soak has, and when: drawn from its seed.

Owns the draw, pure and repeatable: storms of two or three troubles that overlap, one after the
other. It must never draw what would leave the gateways nothing to serve with, such as all engines
of a role drained.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import StrEnum

FIRST_STORM, STORM_EVERY, LAST_STORM = (
    1.5,
    4.0,
    3.0,
)  # seconds; the last one so long before the load's end
PAIRED_STORM = 3.2  # seconds; the storm that each run has
FLOOD_AT = 0.3  # seconds; it and the unfinished requests end before the first storm
OVERLAP = 0.8  # seconds within which the troubles of a storm begin
MOST_OUT = 3  # engines drained, killed or replaced in a run, of a role at most
SERIES = 4  # of signals, by number
STEPS = (1, -1, 10, -10, 3600, -3600)  # seconds of a wall clock


class FaultKind(StrEnum):
    """One kind of trouble."""

    KILL = "kill"  # SIGKILL, and a new process soon after
    RESTART = "restart"  # SIGTERM, and a new process once it has ended
    HOLD_UP = "hold-up"  # SIGSTOP for as long as the rules allow for
    STOP = "stop"  # SIGSTOP for longer: what the gateway has meanwhile is excused
    RELOAD = "reload"  # a new address of discovery, and SIGHUP
    # accept, socket and connect fail now and then, waits are interrupted, reads are short
    CALLS = "calls"
    CLOCK = "clock"  # a gateway's wall clock is stepped
    DISK = "disk"  # writes and syncs of the state fail
    BAN = "ban"  # an operator takes an engine out; the process is killed once that was answered
    DRAIN_GATEWAY = "drain-gateway"  # an operator's drain, and its end
    ENGINE_DRAIN = "engine-drain"
    ENGINE_RESTART = "engine-restart"  # killed, and back cold
    ENGINE_SLOW = "engine-slow"
    ENGINE_SILENT = "engine-silent"  # and replaced
    STALL = "stall"  # discovery says nothing
    SIGNALS = (
        "signals"  # several in a row, SIGTERM the last or twice; a new process once it has ended
    )
    CROWD = "crowd"  # idle clients that fill the descriptors
    ROLE_HANGS = "role-hangs"  # four in five engines of a role stand still, three times
    CUT = "cut"  # between the gateways of a zone and the engines of another
    RESET = "reset"  # of connections between them
    # Engines of a zone process requests of gateways of another; the responses are lost and the
    # connections reset.
    RESPONSE_LOST = "response-lost"
    FLOOD = "flood"  # a client sends requests without a pause and reads all answers
    UNFINISHED = "unfinished"  # clients send large requests without their last bytes


# Troubles at gateways: each storm has them at different ones.
GATEWAYS = (
    FaultKind.KILL,
    FaultKind.RESTART,
    FaultKind.SIGNALS,
    FaultKind.CROWD,
    FaultKind.HOLD_UP,
    FaultKind.STOP,
    FaultKind.RELOAD,
    FaultKind.CALLS,
    FaultKind.CLOCK,
    FaultKind.DISK,
    FaultKind.BAN,
    FaultKind.DRAIN_GATEWAY,
)
# Kinds that each run has once, drawn apart from the others.
FIXED_KINDS = (FaultKind.RESPONSE_LOST, FaultKind.FLOOD, FaultKind.UNFINISHED)
RANDOM_KINDS = [kind for kind in FaultKind if kind not in FIXED_KINDS]
ENGINES = (
    FaultKind.ENGINE_DRAIN,
    FaultKind.ENGINE_RESTART,
    FaultKind.ENGINE_SILENT,
    FaultKind.ENGINE_SLOW,
)
SPANS = {
    FaultKind.HOLD_UP: (0.05, 0.14),
    FaultKind.STOP: (0.4, 2.0),
    FaultKind.CALLS: (0.8, 3.0),
    FaultKind.DISK: (0.2, 1.5),
    FaultKind.DRAIN_GATEWAY: (0.6, 2.0),
    FaultKind.ENGINE_RESTART: (0.2, 0.8),
    FaultKind.ENGINE_SLOW: (1.0, 3.0),
    FaultKind.CROWD: (0.5, 2.0),
    FaultKind.ROLE_HANGS: (0.5, 1.2),
    FaultKind.STALL: (0.5, 3.0),
    FaultKind.CUT: (0.5, 2.5),
    FaultKind.RESET: (0.2, 1.0),
    FaultKind.RESPONSE_LOST: (0.3, 1.5),
    FaultKind.FLOOD: (0.6, 1.1),
    FaultKind.UNFINISHED: (0.8, 1.1),
    FaultKind.KILL: (0.05, 0.6),
}


@dataclass(frozen=True, slots=True)
class PlannedFault:
    """One trouble of a run."""

    at: float  # seconds of the load
    kind: FaultKind
    span: float = 0.0
    gateways: tuple[int, ...] = ()
    engine: str = ""
    zones: tuple[str, str] = ("", "")  # of the gateways, of the engines
    value: int = 0  # seconds of a step
    series: int = 0  # of signals, by number

    def __str__(self) -> str:
        words = [
            f"{self.at:6.2f} s {self.kind}",
            f"for {self.span:.2f} s" if self.span else "",
            " ".join(f"g{n}" for n in self.gateways),
            self.engine,
            " -> ".join(filter(None, self.zones)),
            f"by {self.value} s" if self.kind is FaultKind.CLOCK else "",
            f"series {self.series}" if self.kind is FaultKind.SIGNALS else "",
        ]
        return " ".join(word for word in words if word)


def draw_plan(
    seed: int, seconds: float, gateways: int, engines: list[str], zones: tuple[str, ...]
) -> list[PlannedFault]:
    """All troubles of a run, in time. `engines`: names such as "prefill-3"."""
    rng, spent = random.Random(f"troubles {seed}"), dict[str, set[str]]()
    troubles = paired_storm(random.Random(f"paired storm {seed}"), engines, zones)
    flood = draw_flood(random.Random(f"flood {seed}"), gateways)
    troubles.append(flood)
    others = [n for n in range(gateways) if n not in flood.gateways]
    troubles.append(draw_unfinished(random.Random(f"unfinished {seed}"), others))
    at = FIRST_STORM
    while at < seconds - LAST_STORM:
        free = list(range(gateways))
        rng.shuffle(free)
        for kind in rng.sample(RANDOM_KINDS, rng.choice((2, 3, 3))):
            begin = at + rng.uniform(0, OVERLAP)
            span = round(rng.uniform(*SPANS[kind]), 2) if kind in SPANS else 0.0
            if kind in GATEWAYS:
                count = rng.randint(1, max(1, gateways // 6))
                chosen, free = tuple(free[:count]), free[count:]
                if not chosen:
                    continue
                target = rng.choice(engines) if kind is FaultKind.BAN else ""
                value = rng.choice(STEPS) if kind is FaultKind.CLOCK else 0
                series = rng.randrange(SERIES) if kind is FaultKind.SIGNALS else 0
                troubles.append(
                    PlannedFault(begin, kind, span, chosen, target, value=value, series=series)
                )
            elif kind in ENGINES:
                if name := pick_engine(rng, engines, spent):
                    troubles.append(PlannedFault(begin, kind, span, engine=name))
            elif kind is FaultKind.ROLE_HANGS:
                troubles.append(
                    PlannedFault(
                        begin, kind, span, engine=rng.choice(sorted(map(role_of, engines)))
                    )
                )
            elif kind is FaultKind.STALL:
                troubles.append(PlannedFault(begin, kind, span))
            else:
                troubles.append(
                    PlannedFault(begin, kind, span, zones=(rng.choice(zones), rng.choice(zones)))
                )
        at += STORM_EVERY
    return sorted(troubles, key=lambda t: t.at)


def paired_storm(
    rng: random.Random, engines: list[str], zones: tuple[str, ...]
) -> list[PlannedFault]:
    """Lose responses while most engines of a role hang, so that the next attempts reach nobody.

    The gateways of one zone lose the responses of all zones in turn, so also those of engines that
    run.
    """
    role = rng.choice(sorted({role_of(engine) for engine in engines}))
    hang_span = round(rng.uniform(*SPANS[FaultKind.ROLE_HANGS]), 2)
    storm = [PlannedFault(PAIRED_STORM, FaultKind.ROLE_HANGS, hang_span, engine=role)]
    gateway_zone = rng.choice(zones)
    for number, zone in enumerate(rng.sample(zones, len(zones))):
        begin = PAIRED_STORM + number * OVERLAP
        span = round(rng.uniform(*SPANS[FaultKind.RESPONSE_LOST]), 2)
        storm.append(PlannedFault(begin, FaultKind.RESPONSE_LOST, span, zones=(gateway_zone, zone)))
    return storm


def draw_flood(rng: random.Random, gateways: int) -> PlannedFault:
    """Draw a client that sends without a pause to one gateway."""
    span = round(rng.uniform(*SPANS[FaultKind.FLOOD]), 2)
    return PlannedFault(FLOOD_AT, FaultKind.FLOOD, span, (rng.randrange(gateways),))


def draw_unfinished(rng: random.Random, gateways: list[int]) -> PlannedFault:
    """Draw clients that do not finish their requests, at one of the gateways."""
    span = round(rng.uniform(*SPANS[FaultKind.UNFINISHED]), 2)
    return PlannedFault(FLOOD_AT, FaultKind.UNFINISHED, span, (rng.choice(gateways),))


def pick_engine(rng: random.Random, engines: list[str], spent: dict[str, set[str]]) -> str:
    """One that no trouble had before; none once a role has had MOST_OUT."""
    fit = [
        name
        for name in engines
        if name not in spent.setdefault(role_of(name), set())
        and len(spent[role_of(name)]) < MOST_OUT
    ]
    if not fit:
        return ""
    name = rng.choice(fit)
    spent[role_of(name)].add(name)
    return name


def role_of(engine: str) -> str:
    """The kind in an engine's name."""
    return engine.rpartition("-")[0]
