"""Engines in virtual time: steps, slots, queues, memory in blocks, kept prompts, states that wait
and move.

Owns the state of a fleet of modelled engines and the order of all that happens in it. It must never
read a clock, draw a number that does not come from its seed, or lose account of a block, a slot or
a state: `check()` says so.

`Fleet.send()`, `hold()`, `release()`, `cancel()` and the troubles are told at `fleet.now`;
`advance(until)` lets time pass and returns what was heard of jobs meanwhile, in order. Times are
seconds, sizes tokens.

Departures from real engines: a step's time is a sum of four terms (`Spec.step_time`), an answer
grows by one token in each step, and kept prompts are whole (no trie): a request finds the longest
of its session's and its opening's.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter, OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field

from ..invariant import invariant

MOST_AUDITED = 50_000  # states that are remembered for an audit


@dataclass(frozen=True, slots=True)
class EngineSpec:
    """One kind of engines. Defaults lie within the ranges of the service's brief."""

    role: str = "read"  # "read", "write", "both" or "embed"
    slots: int = 8  # requests worked on at once
    queue: int = 40  # that wait
    memory: int = 200_000  # tokens
    block: int = 32  # tokens that are taken and given back together
    chunk: int = 4096  # prompt tokens read in one step, at most
    step: float = 0.012  # seconds of any step
    read_rate: float = 20_000.0  # prompt tokens a second
    per_answer: float = 0.0002  # seconds that each running answer adds to a step
    per_context: float = 0.00004  # seconds that each 1,000 tokens of running contexts add
    per_pair: float = 0.001  # seconds for each million of (token read) x (token before it)
    cold_from: float = 0.3  # share of its capacity right after a start
    warm_after: float = 8.0  # seconds until all of it
    fall_multiple: float = 2.5  # of its present capacity, sent within a window: it falls over
    fall_window: float = 1.0
    fall_for: float = 3.0  # seconds that it is down then
    connections: int = 256  # that it accepts

    def read_time(self, tokens: int, before: int) -> float:
        """Reading so many tokens behind `before` others, without the step's own time."""
        return tokens / self.read_rate + self.per_pair * tokens * (before + tokens / 2) / 1e6

    def step_time(self, read: float, answers: int, contexts: int) -> float:
        return self.step + read + self.per_answer * answers + self.per_context * contexts / 1000

    def work(self, job: Job) -> float:
        """Seconds of a warm engine that the job is worth: what the fall-over counts."""
        if self.role in ("read", "embed"):
            return self.read_time(job.prompt, 0)
        each = (
            self.step_time(0.0, self.slots, self.slots * (job.prompt + job.output // 2))
            / self.slots
        )
        return job.output * each + (self.read_time(job.prompt, 0) if self.role == "both" else 0.0)

    def blocks(self, tokens: int) -> int:
        return -(-tokens // self.block)


@dataclass(slots=True)
class Job:
    """One attempt."""

    key: str  # of its request
    prompt: int
    output: int = 0  # tokens of the answer, the true number
    session: str = ""
    opening: str = ""  # a beginning that is shared with others ...
    opening_tokens: int = 0  # ... and its length
    owner: object = None
    engine: Engine | None = None
    at: str = "new"  # "queued", "reading", "fetching", "running", "over"
    done: int = 0  # prompt tokens read, kept ones included
    kept: int = 0
    made: int = 0  # tokens of the answer
    held: int = 0  # blocks
    entered: float = 0.0
    moving: StateTransfer | None = None
    reread: bool = False  # it was put back: prompt and answer so far are read here
    order: int = 0  # of being admitted


@dataclass(slots=True)
class ModelEvent:
    """What became known of a job: "read", "full", "stateless", "first", "token", "ok", "embedded",
    "reset".
    """

    at: float
    job: Job
    what: str
    kept: int = 0


@dataclass(slots=True)
class CachedState:
    """A prompt that was read, waiting in its reader's memory to be fetched."""

    key: str
    reader: Engine
    tokens: int
    blocks: int
    since: float = 0.0


@dataclass(slots=True)
class StateTransfer:
    """A state on its way. Moves share each port or link that they cross evenly."""

    state: CachedState
    job: Job
    left: float  # tokens
    links: tuple[str, ...]
    slower: float
    rate: float = 0.0
    since: float = 0.0
    turn: int = 0  # of its last reckoning: an older event of its end counts for nothing


@dataclass(slots=True)
class Place:
    """A slot and memory that a writer holds ahead for a request."""

    key: str
    blocks: int


@dataclass(frozen=True, slots=True)
class TransferRates:
    """How fast states move, tokens a second."""

    near: float = 270_000.0  # through a reader's own port, to its cell
    far: float = 600_000.0  # over the one link of a cell, for all its readers
    zone_slower: float = 2.0  # times as long to another zone


@dataclass
class Engine:
    """One engine of a fleet. Only the fleet changes it."""

    name: str
    spec: EngineSpec
    zone: str
    cell: int
    started: float
    fleet: Fleet
    queue: deque[Job] = field(default_factory=deque)
    running: list[Job] = field(default_factory=list)  # in the order of being admitted
    states: dict[str, CachedState] = field(default_factory=dict)
    places: dict[str, Place] = field(default_factory=dict)
    # -> tokens, blocks; oldest first
    kept: OrderedDict[str, tuple[int, int]] = field(default_factory=OrderedDict)
    used: int = 0  # blocks held by jobs, states and places
    stepping: bool = False
    plan: list[tuple[Job, int]] = field(
        default_factory=list
    )  # what the step under way reads of whom
    epoch: int = 0  # changes when it stops: events of before count for nothing
    condition: str = "up"  # "up", "silent" (cut off), "down"
    draining: bool = False
    refuses: bool = False
    slow: float = 1.0  # times as long as usual
    sent: deque[tuple[float, float]] = field(
        default_factory=deque
    )  # work sent lately: when, seconds of it
    counts: Counter[str] = field(default_factory=Counter)

    @property
    def total(self) -> int:
        return self.spec.memory // self.spec.block

    @property
    def cached(self) -> int:
        return sum(blocks for _, blocks in self.kept.values())

    def capacity(self, now: float) -> float:
        """Its share of a warm engine's pace."""
        s = self.spec
        warm = min(1.0, (now - self.started) / s.warm_after) if s.warm_after else 1.0
        return (s.cold_from + (1 - s.cold_from) * warm) / self.slow

    def slots_taken(self) -> int:
        return len(self.running) + len(self.places)

    def report(self) -> dict[str, float]:
        """The load report's fields, in the protocol's words."""
        unread = [j for j in (*self.queue, *self.running) if j.at in ("queued", "reading")]
        return {
            "inflight": float(len(self.queue) + len(self.running) + len(self.states)),
            "queue": float(len(self.queue)),
            "x0": self.used / max(1, self.total),
            "x1": sum(j.prompt - j.done for j in unread) / 1000,
        }

    # ------------------------------------------------------------ memory

    def take(self, blocks: int) -> bool:
        """Blocks for something that is held, evicting what is merely kept, least recently used
        first.
        """
        if self.used + blocks > self.total:
            return False
        free = self.total - self.used - self.cached
        while free < blocks:
            name, (_, size) = self.kept.popitem(last=False)
            free += size
            self.counts["evicted"] += 1
        self.used += blocks
        return True

    def give(self, blocks: int) -> None:
        self.used -= blocks
        invariant(self.used >= 0, "blocks-balanced", self.name)

    def found(self, job: Job) -> int:
        """Tokens of its prompt that are kept here; using them makes them young."""
        best = 0
        for name, most in (
            (f"s {job.session}", job.prompt),
            (f"o {job.opening}", job.opening_tokens),
        ):
            if name[2:] and name in self.kept:
                best = max(best, min(self.kept[name][0], most))
                self.kept.move_to_end(name)
        return min(best, max(0, job.prompt - 1))  # the last token is always read

    def keep(self, job: Job) -> None:
        """What was read stays as long as nothing else wants the room."""
        for name, tokens in (
            (f"o {job.opening}", job.opening_tokens),
            (f"s {job.session}", job.prompt),
        ):
            if not name[2:] or not tokens:
                continue
            blocks = self.spec.blocks(tokens)
            self.kept.pop(name, None)
            while self.kept and self.used + self.cached + blocks > self.total:
                self.kept.popitem(last=False)
                self.counts["evicted"] += 1
            if self.used + self.cached + blocks <= self.total:
                self.kept[name] = (tokens, blocks)


class Fleet:
    """All engines, one virtual clock, one heap of what is to happen."""

    def __init__(self, seed: int = 1, ways: TransferRates | None = None, error_rate: float = 0.0):
        self.random, self.ways, self.error_rate = (
            random.Random(seed),
            ways or TransferRates(),
            error_rate,
        )
        self.now, self.events = 0.0, []
        self.turns = itertools.count()
        self.engines: dict[str, Engine] = {}
        self.moves: dict[str, list[StateTransfer]] = {}  # by port or link
        self.heard: list[ModelEvent] = []
        self.states: dict[str, CachedState] = {}  # by request, wherever they wait
        # States that were: request, reader, from, to; for an audit.
        self.held: deque[tuple[str, str, float, float]] = deque(maxlen=MOST_AUDITED)
        self.counts: Counter[str] = Counter()

    def add(
        self, name: str, spec: EngineSpec, zone: str = "a", cell: int = 0, cold: bool = False
    ) -> Engine:
        started = self.now if cold else self.now - spec.warm_after
        engine = self.engines[name] = Engine(name, spec, zone, cell, started, self)
        return engine

    # ------------------------------------------------------------ time

    def later(self, span: float, call: Callable[[], None]) -> None:
        heapq.heappush(self.events, (self.now + span, next(self.turns), call))

    def next_due(self) -> float | None:
        return self.events[0][0] if self.events else None

    def advance(self, until: float) -> list[ModelEvent]:
        """Lets time pass to `until`; what was heard since the last call."""
        while self.events and self.events[0][0] <= until:
            self.now, _, call = heapq.heappop(self.events)
            call()
        self.now = max(self.now, until)
        heard, self.heard = self.heard, []
        return heard

    def tell(self, job: Job, what: str, kept: int = 0) -> None:
        self.heard.append(ModelEvent(self.now, job, what, kept))
        self.counts[what] += 1

    # ------------------------------------------------------------ what gateways ask

    def send(self, engine: Engine, job: Job) -> None:
        """The last byte of an attempt has arrived."""
        job.engine, job.entered = engine, self.now
        if engine.condition != "up":
            return None  # nobody there; whoever serves it resets or stays silent
        if self.overrun(engine, job):
            return self.fall(engine, job)
        s = engine.spec
        place = engine.places.pop(job.key, None)
        if place:
            engine.give(place.blocks)
        if s.role == "write" and job.key not in self.states:
            return self.finish(job, "stateless")
        room = engine.slots_taken() < s.slots and not engine.queue
        if (
            engine.draining
            or engine.refuses
            or (not room and len(engine.queue) >= s.queue)
            or (s.blocks(job.prompt + 1) > engine.total)
        ):
            return self.finish(job, "full")
        job.at = "queued"
        if place:
            engine.queue.appendleft(job)  # its place was held: nothing may come before it
        else:
            engine.queue.append(job)
        self.admit(engine)
        self.step(engine)

    def overrun(self, engine: Engine, job: Job) -> bool:
        """Whether this is more than a cold engine stands within a window."""
        s, since = engine.spec, self.now - engine.spec.fall_window
        engine.sent.append((self.now, s.work(job)))
        while engine.sent and engine.sent[0][0] < since:
            engine.sent.popleft()
        share = engine.capacity(self.now) * engine.slow
        if share >= 1.0:
            return False
        return sum(w for _, w in engine.sent) > s.fall_multiple * share * s.fall_window

    def fall(self, engine: Engine, job: Job) -> None:
        engine.counts["fell"] += 1
        self.counts["fell"] += 1
        job.at = "over"
        self.tell(job, "reset")
        self.kill(engine)
        self.later(engine.spec.fall_for, lambda: self.restart(engine))

    def hold(self, engine: Engine, key: str, prompt: int) -> bool:
        """A slot and memory ahead, if both are free at once and nothing waits there."""
        s = engine.spec
        if (
            engine.condition != "up"
            or engine.draining
            or engine.queue
            or s.role not in ("write", "both")
        ):
            return False
        if key in engine.places:
            return True
        if engine.slots_taken() >= s.slots or not engine.take(s.blocks(prompt + 1)):
            return False
        engine.places[key] = Place(key, s.blocks(prompt + 1))
        return True

    def release(self, key: str) -> None:
        """Lets go of every state and place that is held for the request and that no attempt waits
        for.
        """
        state = self.states.get(key)
        waited_for = any(m.state is state for m in self.under_way()) or any(
            j.key == key for e in self.engines.values() if e.spec.role != "read" for j in e.queue
        )
        if state and not waited_for:
            self.drop_state(state)
        for engine in self.engines.values():
            if place := engine.places.pop(key, None):
                engine.give(place.blocks)
                self.admit(engine)
                self.step(engine)

    def cancel(self, job: Job) -> None:
        """Nobody waits for this attempt any more; all its work stops."""
        if job.at in ("new", "over"):
            job.at = "over"
            return
        engine = job.engine
        self.leave(job)
        job.at = "over"
        self.counts["cancelled"] += 1
        self.admit(engine)
        self.step(engine)

    # ------------------------------------------------------------ the work of one engine

    def admit(self, engine: Engine) -> None:
        """Moves what waits into free slots, first come first served, as long as memory allows."""
        s = engine.spec
        while engine.queue and engine.slots_taken() < s.slots:
            job = engine.queue[0]
            context = job.prompt + job.made + 1
            if not engine.take(s.blocks(context)):
                return
            job.held = s.blocks(context)
            engine.queue.popleft()
            engine.running.append(job)
            job.at, job.order = "reading", next(self.turns)
            state = self.states.get(job.key)
            if s.role == "write" and not job.reread:
                if state is None:  # let go, or its reader died, while it waited
                    self.finish(job, "stateless")
                    continue
                self.fetch(job, state)
            elif (
                s.role == "both"
                and state is not None
                and state.reader is not engine
                and not job.reread
            ):
                self.fetch(job, state)
            else:
                job.kept = job.done = 0 if job.reread else engine.found(job)

    def step(self, engine: Engine) -> None:
        """Begins the next step, if there is anything to do in one."""
        if engine.stepping or engine.condition == "down":
            return
        s, left, read, plan = engine.spec, engine.spec.chunk, 0.0, []
        for job in engine.running:
            if job.at == "reading" and left > 0:
                tokens = min(left, self.to_read(job) - job.done)
                read += s.read_time(tokens, job.done)
                plan.append((job, tokens))
                left -= tokens
        answers = [j for j in engine.running if j.at == "running"]
        if not plan and not answers:
            return
        span = s.step_time(read, len(answers), sum(j.prompt + j.made for j in answers))
        engine.stepping, engine.plan = True, plan
        epoch = engine.epoch
        self.later(span / engine.capacity(self.now), lambda: self.stepped(engine, epoch, answers))

    def soon(self, engine: Engine) -> None:
        """A step, after all else of this moment: what is here at once takes part in it together."""
        epoch = engine.epoch
        self.later(0.0, lambda: self.step(engine) if epoch == engine.epoch else None)

    def to_read(self, job: Job) -> int:
        return job.prompt + (job.made if job.reread else 0)

    def stepped(self, engine: Engine, epoch: int, answers: list[Job]) -> None:
        if epoch != engine.epoch:
            return
        engine.stepping = False
        for job in answers:
            if job.at == "running":
                self.grow(engine, job)
        for job, tokens in engine.plan:
            if job.at == "reading":
                job.done += tokens
                if job.done >= self.to_read(job):
                    self.was_read(engine, job)
        engine.plan = []
        self.admit(engine)
        self.soon(engine)

    def was_read(self, engine: Engine, job: Job) -> None:
        s = engine.spec
        if not job.reread:
            engine.keep(job)
        if s.role == "read":
            state = CachedState(job.key, engine, job.prompt, job.held, self.now)
            job.held = 0  # its blocks are the state's now
            if old := self.states.get(job.key):
                self.drop_state(old)
            engine.states[job.key] = self.states[job.key] = state
            self.finish(job, "read", job.kept)
        elif s.role == "embed":
            self.finish(job, "embedded")
        else:
            job.at, job.reread = "running", False

    def grow(self, engine: Engine, job: Job) -> None:
        """One token more of its answer, and a block where the last is full."""
        s = engine.spec
        need = s.blocks(job.prompt + job.made + 1) - job.held
        while need > 0 and job.at == "running" and not engine.take(need):
            # Memory has run out: the newest answer goes back into the queue, and is read anew.
            newest = max(
                (j for j in engine.running if j.at in ("running", "reading")), key=lambda j: j.order
            )
            self.put_back(engine, newest)
        if job.at != "running":
            return
        job.held += max(0, need)
        job.made += 1
        if job.made == 1:
            self.tell(job, "first")
        if job.made >= job.output:
            self.finish(job, "ok", job.kept)
        elif job.made > 1:
            self.tell(job, "token")

    def put_back(self, engine: Engine, job: Job) -> None:
        engine.running.remove(job)
        engine.give(job.held)
        job.held, job.done, job.at, job.reread = 0, 0, "queued", True
        engine.queue.appendleft(job)
        engine.counts["put-back"] += 1
        self.counts["put-back"] += 1

    def finish(self, job: Job, what: str, kept: int = 0) -> None:
        if (
            what in ("ok", "embedded")
            and self.error_rate
            and self.random.random() < self.error_rate
        ):
            what = "error"
        self.leave(job)
        job.at = "over"
        self.tell(job, what, kept)

    def leave(self, job: Job) -> None:
        """Takes it off its engine's books."""
        engine = job.engine
        if job.moving:
            self.stop_move(job.moving)
        if job.at == "queued":
            engine.queue.remove(job)
        elif job.at in ("reading", "fetching", "running"):
            engine.running.remove(job)
            engine.give(job.held)
            job.held = 0

    # ------------------------------------------------------------ states and their moves

    def fetch(self, job: Job, state: CachedState) -> None:
        reader, engine = state.reader, job.engine
        job.at = "fetching"
        port, slower = f"port {reader.name}", 1.0
        links = (port,)
        if (reader.zone, reader.cell) != (engine.zone, engine.cell):
            links = (port, f"link {reader.zone} {reader.cell}")
            slower = self.ways.zone_slower if reader.zone != engine.zone else 1.0
        move = job.moving = StateTransfer(
            state, job, float(state.tokens), links, slower, since=self.now
        )
        for link in links:
            self.moves.setdefault(link, []).append(move)
        self.reckon(links)

    def under_way(self) -> list[StateTransfer]:
        return [m for link, moves in self.moves.items() if link.startswith("port") for m in moves]

    def reckon(self, links: tuple[str, ...]) -> None:
        """The rates of all moves that share one of these, anew."""
        for move in {id(m): m for link in links for m in self.moves.get(link, [])}.values():
            move.left -= move.rate * (self.now - move.since)
            widths = {"port": self.ways.near, "link": self.ways.far}
            shares = [widths[x.partition(" ")[0]] / len(self.moves[x]) for x in move.links]
            move.rate = min(shares) / move.slower
            move.since, move.turn = self.now, next(self.turns)
            turn = move.turn
            self.later(max(0.0, move.left) / move.rate, lambda m=move, t=turn: self.moved(m, t))

    def moved(self, move: StateTransfer, turn: int) -> None:
        if turn != move.turn:
            return
        beside = {id(m): m for link in move.links for m in self.moves[link]}.values()
        for m in [m for m in beside if m is move or m.left <= m.rate * (self.now - m.since)]:
            job = m.job
            self.stop_move(m)
            self.drop_state(m.state)  # the reader's memory is let go
            job.at, job.done = "running", job.prompt
            self.soon(job.engine)

    def stop_move(self, move: StateTransfer) -> None:
        move.turn, move.job.moving = -1, None
        for link in move.links:
            self.moves[link].remove(move)
            if not self.moves[link]:
                del self.moves[link]
        self.reckon(move.links)

    def drop_state(self, state: CachedState) -> None:
        if self.states.get(state.key) is state:
            del self.states[state.key]
        if state.reader.states.get(state.key) is state:
            self.held.append((state.key, state.reader.name, state.since, self.now))
            del state.reader.states[state.key]
            state.reader.give(state.blocks)
            self.admit(state.reader)
            self.step(state.reader)

    # ------------------------------------------------------------ troubles

    def kill(self, engine: Engine) -> None:
        """Its process is gone, and all that it had."""
        for move in [m for m in self.under_way() if m.state.reader is engine]:
            job = move.job
            self.finish(job, "stateless")
            self.later(0.0, lambda e=job.engine: (self.admit(e), self.step(e)))
        for job in [*engine.queue, *engine.running]:
            self.finish(job, "reset")
        for state in list(engine.states.values()):
            self.states.pop(state.key, None)
        engine.states.clear()
        engine.places.clear()
        engine.kept.clear()
        engine.sent.clear()
        engine.used, engine.stepping, engine.plan = 0, False, []
        engine.epoch += 1
        engine.condition = "down"

    def restart(self, engine: Engine) -> None:
        """A new process: empty and cold."""
        if engine.condition == "up":
            self.kill(engine)
        engine.condition, engine.started, engine.draining = "up", self.now, False

    def slow_down(self, engine: Engine, times: float, span: float) -> None:
        engine.slow = times
        self.later(span, lambda: setattr(engine, "slow", 1.0))

    # ------------------------------------------------------------ the books

    def check(self) -> None:
        """Blocks, slots and states, against what holds them."""
        for e in self.engines.values():
            held = (
                sum(j.held for j in e.running)
                + sum(s.blocks for s in e.states.values())
                + sum(p.blocks for p in e.places.values())
            )
            invariant(held == e.used, "blocks-counted", f"{e.name} holds {held}, counts {e.used}")
            invariant(
                e.used + e.cached <= e.total, "memory-bounded", f"{e.name} {e.used} + {e.cached}"
            )
            invariant(
                e.slots_taken() <= e.spec.slots and len(e.queue) <= e.spec.queue + e.spec.slots,
                "slots-bounded",
                e.name,
            )
            invariant(
                all(self.states.get(k) is s for k, s in e.states.items()), "states-known", e.name
            )
            there = e.running or e.queue or e.states
            invariant(e.condition != "down" or not there, "down-is-empty", e.name)
        for link, moves in self.moves.items():
            invariant(moves and all(m.job.moving is m for m in moves), "moves-known", link)
