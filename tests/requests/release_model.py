"""A model of engines in virtual time, to search orders of events for states that are held too long.

A run plays one request with the real request manager and router. Whenever an attempt or a release
call starts, the run takes a choice: what becomes of it, and which other event comes next. A choice
that differs from the default (all goes well) is a deviation. `explore` plays all runs with up to a
number of deviations, those with the fewest first.
"""

from __future__ import annotations

import argparse
import random
import sys
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from functools import partial
from typing import NamedTuple

from claycross import interface as i
from claycross.invariant import InvariantError
from claycross.requests.manager import RequestManager
from claycross.requests.records import Attempt
from tests.fleet.test_fleet import VirtualClock
from tests.routing.router_harness import MS, READERS, SECOND, WRITERS, entry, settings

KEY = "k1"


class Platform(NamedTuple):
    """What the platform permits."""

    may_probe: bool
    may_cancel: bool


PLATFORMS = (Platform(False, True), Platform(True, True), Platform(False, False))
CLIENT_TIMEOUT_NS = 1500 * MS
RELEASE_WITHIN_NS = 300 * MS
# The specification adds 50 ms on sockets and 300 ms to the release time.
LIMIT_NS = RELEASE_WITHIN_NS + 350 * MS
RUN_NS = 6 * SECOND
STEP_NS = 50 * MS
LATENCY_NS = 1 * MS  # of any message
READ_NS = 30 * MS
SLOW_READ_NS = 450 * MS
FIRST_TOKEN_NS = 40 * MS
STREAM_NS = 40 * MS
CUT_NS = 15 * MS  # after which a connection is reset
LATE_STATE_NS = 150 * MS  # after a reset, until the read's state exists
LOST_CALL_NS = 400 * MS  # until a call without a response fails
MAX_LOST_CALLS = 2  # of one run; with all of them lost nothing could be released
LATE_CALL_NS = 100 * MS
NOTICE_NS = 30 * MS  # until an engine notices that an attempt was abandoned
STALL_NS = 150 * MS
SUSPENDED_NS = 700 * MS  # until an engine resumes
EVENT_DELAY_NS = 20 * MS  # from the start of an attempt to the event beside it

READ_FATES = ("answered", "cut", "cut-with-state", "cut-before-state", "hung", "resumes", "slow")
WRITE_FATES = ("answered", "cut", "refused", "hung")
CALL_FATES = ("acknowledged", "lost", "late")
EVENTS = (
    "none",
    "client-gone",
    "shutdown",
    "stall",
    "drained",
    "removed",
    "back",
    "readers-drained",
)


@dataclass
class Choices:
    """The choices of one run: those of its prefix, then the defaults."""

    prefix: tuple[int, ...]
    taken: list[tuple[str, tuple[str, ...], int]] = field(default_factory=list)

    def take(self, what: str, options: tuple[str, ...]) -> str:
        """Return the option that this run takes next."""
        position = len(self.taken)
        index = self.prefix[position] if position < len(self.prefix) else 0
        self.taken.append((what, options, index))
        return options[index]

    def deviations(self) -> list[str]:
        """Return the choices that differ from the default, as text."""
        return [f"{what}: {options[index]}" for what, options, index in self.taken if index]


class RandomChoices(Choices):
    """Choices at random: a share of them deviates from the default."""

    def __init__(self, generator: random.Random, deviation_share: float):
        super().__init__(())
        self.generator = generator
        self.deviation_share = deviation_share

    def take(self, what: str, options: tuple[str, ...]) -> str:
        """Return an option at random, the default with the rest of the share."""
        index = 0
        if self.generator.random() < self.deviation_share:
            index = self.generator.randrange(1, len(options))
        self.taken.append((what, options, index))
        return options[index]


@dataclass
class State:
    """A state that an engine holds."""

    engine: str
    clock_from: int  # when its time started: no attempt has been at a running engine since


class EngineModel:
    """The engines, as `EngineCalls` of a request manager; records what violates the claims."""

    def __init__(self, clock: VirtualClock, choices: Choices):
        self.clock = clock
        self.choices = choices
        self.manager: RequestManager
        self.hung: set[str] = set()
        self.unreceived: list[Attempt] = []  # sent to engines that hang
        self.unreceived_calls: list[tuple[str, Callable[[], None]]] = []
        self.states: list[State] = []
        self.removals: dict[str, int] = {}  # by engine
        self.lost_calls = 0
        self.at_engines: dict[int, Attempt] = {}  # attempts that are at running engines
        self.runs = 0  # writes that had an effect
        self.violations: list[str] = []
        self.on_event: Callable[[str, Attempt], None] = lambda _event, _attempt: None
        self.ended = False  # the process has ended

    # ------------------------------------------------------------ the calls of the manager

    def start(self, attempt: Attempt) -> None:
        what = f"read {attempt.number}" if attempt.is_read else f"write {attempt.number}"
        fate = self.choices.take(what, READ_FATES if attempt.is_read else WRITE_FATES)
        event = self.choices.take(f"beside {what}", EVENTS)
        if event != "none":
            self.later(EVENT_DELAY_NS, partial(self.on_event, event, attempt))
        if not self.manager.may_send(attempt):
            self.finish(attempt, i.AttemptResult.LOCAL_ERROR)
            return
        if fate == "refused":
            self.later(LATENCY_NS, partial(self.finish, attempt, i.AttemptResult.CONNECT_FAILED))
            return
        attempt.abort = lambda: True
        self.manager.attempt_sent(attempt)
        if fate in ("hung", "resumes"):
            self.hung.add(attempt.engine)
        if fate == "resumes":
            self.clock.call_later(SUSPENDED_NS, partial(self.resume, attempt.engine))
        if attempt.engine in self.hung:
            self.unreceived.append(attempt)
            return
        self.run_attempt(attempt, fate)

    def run_attempt(self, attempt: Attempt, fate: str) -> None:
        """A running engine begins an attempt."""
        self.arrive(attempt)
        end = self.end_read if attempt.is_read else self.end_write
        self.later(self.duration(attempt, fate), partial(end, attempt, fate))

    def abort(self, attempt: Attempt) -> bool:
        if attempt.number in self.at_engines:
            # Its engine keeps the state until it notices the end.
            self.clock.call_later(NOTICE_NS, partial(self.leave, attempt))
        return attempt.abort is not None

    def release(
        self,
        engine: str,
        key: str,
        finished: Callable[[bool], None],
        is_wanted: Callable[[], bool],
    ) -> None:
        if key != KEY:  # a liveness check
            running = engine not in self.hung
            self.later(LATENCY_NS if running else LOST_CALL_NS, partial(finished, running))
            return
        fate = self.choices.take(f"call to {engine}", CALL_FATES)
        if fate == "lost" and self.lost_calls < MAX_LOST_CALLS:
            self.lost_calls += 1
            self.later(LOST_CALL_NS, partial(finished, False))
            return
        if engine in self.hung:
            self.call_hung_engine(engine, finished)
            return
        delay = LATE_CALL_NS if fate == "late" else LATENCY_NS
        self.later(0, partial(self.write_release, delay, finished, is_wanted))

    def call_hung_engine(self, engine: str, finished: Callable[[bool], None]) -> None:
        """The call fails, unless the engine resumes before that."""
        ended = False

        def end(received: bool) -> None:
            nonlocal ended
            if ended:
                return
            ended = True
            if received:
                self.receive_release(finished)
            else:
                finished(False)

        self.unreceived_calls.append((engine, partial(end, True)))
        self.later(LOST_CALL_NS, partial(end, False))

    def check_connection(self, _engine: str, finished: Callable[[bool], None]) -> None:
        self.later(LATENCY_NS, partial(finished, True))

    # ------------------------------------------------------------ what happens at engines

    def resume(self, engine: str) -> None:
        """A suspended engine runs again, and receives what was sent to it meanwhile.

        It begins a read that was abandoned meanwhile, too, and notices that only at its end.
        """
        self.hung.discard(engine)
        calls, self.unreceived_calls = self.unreceived_calls, []
        for holder, receive in calls:
            if holder == engine:
                receive()
            else:
                self.unreceived_calls.append((holder, receive))
        attempts = [attempt for attempt in self.unreceived if attempt.engine == engine]
        self.unreceived = [attempt for attempt in self.unreceived if attempt.engine != engine]
        for attempt in attempts:
            if not attempt.finished:
                self.run_attempt(attempt, "answered")
            elif attempt.is_read:
                self.create_state_later(READ_NS, engine)

    def later(self, span: int, call: Callable[[], None]) -> None:
        def make() -> None:
            if not self.ended:
                call()

        self.clock.call_later(span, make)

    def duration(self, attempt: Attempt, fate: str) -> int:
        if fate.startswith("cut"):
            return CUT_NS
        if not attempt.is_read:
            return FIRST_TOKEN_NS
        return SLOW_READ_NS if fate == "slow" else READ_NS

    def arrive(self, attempt: Attempt) -> None:
        """An attempt reaches a running engine: the time of held states stops."""
        self.check_states()
        self.at_engines[attempt.number] = attempt

    def leave(self, attempt: Attempt) -> None:
        """An attempt ends: the time of held states starts again."""
        if self.at_engines.pop(attempt.number, None):
            for state in self.states:
                state.clock_from = self.clock.now()

    def check_states(self) -> None:
        """Check the time of all held states."""
        if self.at_engines:
            return
        for state in self.states:
            held = self.clock.now() - state.clock_from
            if held > LIMIT_NS:
                self.violations.append(f"state at {state.engine} held for {held // MS} ms")

    def free_states(self) -> None:
        self.check_states()
        self.states.clear()

    def create_state(self, engine: str, incarnation: int) -> None:
        """An engine holds a state from now on.

        It has not been restarted meanwhile, and the process that could release it has not ended.
        """
        if not self.ended and self.incarnation(engine) == incarnation:
            self.states.append(State(engine, self.clock.now()))

    def create_state_later(self, delay: int, engine: str) -> None:
        create = partial(self.create_state, engine, self.incarnation(engine))
        self.clock.call_later(delay, create)

    def incarnation(self, engine: str) -> int:
        """Return how often the engine was removed."""
        return self.removals.get(engine, 0)

    def remove(self, engine: str) -> None:
        """An engine ends, with its states and with what it has not received yet."""
        self.removals[engine] = self.incarnation(engine) + 1
        self.states = [state for state in self.states if state.engine != engine]
        self.unreceived = [attempt for attempt in self.unreceived if attempt.engine != engine]
        self.hung.discard(engine)

    def end_read(self, attempt: Attempt, fate: str) -> None:
        if attempt.finished:
            return
        self.leave(attempt)
        if fate in ("answered", "slow", "cut-with-state"):
            self.create_state(attempt.engine, self.incarnation(attempt.engine))
        elif fate == "cut-before-state":
            self.create_state_later(LATE_STATE_NS, attempt.engine)
        answered = fate in ("answered", "slow")
        self.finish(attempt, i.AttemptResult.READ if answered else i.AttemptResult.RESET)

    def end_write(self, attempt: Attempt, fate: str) -> None:
        if attempt.finished:
            return
        if not self.states:
            self.leave(attempt)
            self.finish(attempt, i.AttemptResult.STATE_MISSING)
            return
        if fate == "cut":
            self.runs += 1  # it may have had an effect
            self.leave(attempt)
            self.finish(attempt, i.AttemptResult.RESET)
            return
        self.runs += 1
        self.free_states()
        if self.manager.stream_started(attempt):
            self.later(STREAM_NS, partial(self.end_stream, attempt))

    def end_stream(self, attempt: Attempt) -> None:
        if not attempt.finished:
            self.leave(attempt)
            self.finish(attempt, i.AttemptResult.OK)

    def finish(self, attempt: Attempt, result: i.AttemptResult) -> None:
        if not attempt.finished:
            self.manager.attempt_done(attempt, result)

    def write_release(
        self, delay: int, finished: Callable[[bool], None], is_wanted: Callable[[], bool]
    ) -> None:
        if not is_wanted():
            finished(False)
            return
        self.later(delay, partial(self.receive_release, finished))

    def receive_release(self, finished: Callable[[bool], None]) -> None:
        """A running engine receives a release: it keeps a state that a write waits for."""
        if not any(not attempt.is_read for attempt in self.at_engines.values()):
            self.free_states()
        finished(True)


class ClientModel:
    """The reply to the client; counts its answers."""

    def __init__(self) -> None:
        self.answers: list[str] = []
        self.left = False

    def write(self, _data: bytes) -> None:
        """Ignore a chunk."""

    def finish(self, complete: bool) -> None:
        self.answers.append(f"finished {complete}")

    def reject(self, _retry_after: int) -> None:
        self.answers.append("rejected")

    def fail(self) -> None:
        self.answers.append("failed")

    def client_disconnected(self) -> bool:
        return self.left


class Run:
    """One run: a request, its engines and the events beside it."""

    def __init__(self, choices: Choices, request_class: str, platform: Platform):
        self.clock = VirtualClock()
        self.choices = choices
        self.engines = EngineModel(self.clock, self.choices)
        self.client = ClientModel()
        self.stopping = False
        over = {"release_within": RELEASE_WITHIN_NS, **platform._asdict()}
        self.manager = RequestManager(settings(**over), 1, self.clock, lambda _text: None)
        self.manager.engine_calls = self.engines
        self.manager.state_releases.ended_key = "ended"
        self.engines.manager = self.manager
        self.engines.on_event = self.happen
        entries = [entry(name) for name in READERS + WRITERS]
        self.manager.update_endpoints(i.EndpointListUpdate(i.UpdateKind.FULL, entries))
        self.manager.process_events()
        arrival = i.RequestArrived(
            0, request_class, CLIENT_TIMEOUT_NS, prompt_tokens=1000, max_output_tokens=100
        )
        self.request = self.manager.accept(arrival, KEY, None, self.client)
        self.request_class = request_class

    def happen(self, event: str, attempt: Attempt) -> None:
        """Let an event happen beside an attempt."""
        if event == "client-gone":
            self.client.left = True
            self.manager.client_disconnected(self.request)
        elif event == "shutdown":
            self.stopping = True
            self.manager.start_shutdown(0, 3 * SECOND, 0)
        elif event == "stall":
            self.clock.at += STALL_NS
        elif event == "readers-drained":
            for reader in READERS:
                self.update_endpoint("drained", reader)
        else:
            self.update_endpoint(event, attempt.engine)

    def update_endpoint(self, event: str, engine: str) -> None:
        """Announce that an engine drains or is removed, or that it is back after a restart."""
        state = {"drained": i.EngineState.DRAINING}.get(event, i.EngineState.REMOVED)
        changed = entry(engine)
        changed.state = state
        self.manager.update_endpoints(i.EndpointListUpdate(i.UpdateKind.CHANGES, [changed]))
        if event == "drained":
            return
        self.engines.remove(engine)
        if event == "back":
            started = entry(engine, started_at=1)
            self.manager.update_endpoints(i.EndpointListUpdate(i.UpdateKind.CHANGES, [started]))

    def play(self) -> list[str]:
        """Play the run to its end and return the violations, also of the program's invariants."""
        try:
            return self._play()
        except InvariantError as error:
            return [str(error)]

    def _play(self) -> list[str]:
        end = self.clock.now() + RUN_NS
        self.manager.process_events()
        while self.clock.now() < end and self.clock.timers:
            self.clock.pass_by(STEP_NS, self.manager)
            self.engines.check_states()
            if self.engines.violations:
                break
            if self.is_over():
                break
        self.engines.check_states()
        found = list(self.engines.violations)
        if not found and self.engines.states:
            self.clock.pass_by(LIMIT_NS, self.manager)
            self.engines.check_states()
            found += self.engines.violations
        if found:
            return sorted(set(found))
        if len(self.client.answers) > 1 or (not self.client.left and not self.client.answers):
            found.append(f"answers: {self.client.answers}")
        if self.request_class == "once" and self.engines.runs > 1:
            found.append(f"ran {self.engines.runs} times")
        return found

    def is_over(self) -> bool:
        """Tell whether nothing is left to happen; a stopping process ends then."""
        if self.manager.requests or self.manager.pending_releases():
            return False
        if self.stopping:
            self.engines.ended = True
        return self.stopping or not self.manager.state_releases.in_flight.releases


@dataclass
class Finding:
    """A run with violations."""

    deviations: list[str]
    violations: list[str]

    def __str__(self) -> str:
        return f"{' -> '.join(self.deviations) or 'no deviation'}: {'; '.join(self.violations)}"


def explore(
    max_deviations: int, max_choices: int, request_class: str, platform: Platform
) -> Iterator[Finding | None]:
    """Play all runs with up to that many deviations among their first choices, fewest first."""
    level: list[tuple[int, ...]] = [()]
    for deviations in range(max_deviations + 1):
        following: list[tuple[int, ...]] = []
        for prefix in level:
            run = Run(Choices(prefix), request_class, platform)
            violations = run.play()
            yield Finding(run.choices.deviations(), violations) if violations else None
            if deviations < max_deviations:
                following += further_deviations(run.choices, len(prefix), max_choices)
        level = following


def further_deviations(choices: Choices, start: int, max_choices: int) -> Iterator[tuple[int, ...]]:
    """Yield the prefixes that deviate once more, after the last deviation of a run."""
    indexes = [index for _, _, index in choices.taken]
    for position in range(start, min(len(choices.taken), max_choices)):
        options = choices.taken[position][1]
        for alternative in range(1, len(options)):
            yield (*indexes[:position], alternative)


def random_runs(
    seed: int, count: int, deviation_share: float, request_class: str, platform: Platform
) -> Iterator[Finding | None]:
    """Play random runs of any depth."""
    generator = random.Random(seed)
    for _ in range(count):
        run = Run(RandomChoices(generator, deviation_share), request_class, platform)
        violations = run.play()
        yield Finding(run.choices.deviations(), violations) if violations else None


def main() -> int:
    """Search by hand; exit with status 1 if a rule was violated."""
    parser = argparse.ArgumentParser(description="Search orders of events for violations.")
    parser.add_argument("--deviations", type=int, default=3, help="events that go wrong, at most")
    parser.add_argument("--choices", type=int, default=16, help="choices of a run that are varied")
    parser.add_argument("--random", type=int, default=0, help="random runs instead, so many")
    parser.add_argument("--share", type=float, default=0.35, help="of events that go wrong in them")
    parser.add_argument("--seed", type=int, default=1, help="of the random runs")
    options = parser.parse_args()
    found = 0
    for request_class in ("ask", "once"):
        for platform in PLATFORMS:
            if options.random:
                findings = random_runs(
                    options.seed, options.random, options.share, request_class, platform
                )
            else:
                findings = explore(options.deviations, options.choices, request_class, platform)
            runs = 0
            for finding in findings:
                runs += 1
                if finding:
                    found += 1
                    print(f"{request_class} {platform}: {finding}", flush=True)
            print(f"{request_class} {platform}: {runs} runs, {found} found so far")
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())
