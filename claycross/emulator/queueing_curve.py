"""The model's queueing curves beside what queueing theory says of them.

    python -m claycross.emulator.curve [--plot FILE] [--jobs N]

Owns the known results (M/G/1 by Pollaczek and Khinchine, M/M/1, M/M/c by Erlang's C) and the loads
under which the model is set beside them. It must never fit the model to them: parameters are those
of `Spec`.
"""

from __future__ import annotations

import argparse
import heapq
import math
import random
from dataclasses import dataclass, replace

from .model import CachedState, EngineSpec, Fleet, Job, ModelEvent, TransferRates

LOADS = (0.3, 0.5, 0.7, 0.85, 0.9)
READER = EngineSpec(
    role="read", slots=100_000, queue=0, memory=10**12, chunk=1024, step=0.012, per_pair=0.0
)
WRITER = EngineSpec(
    role="write", slots=16, queue=10**6, memory=10**12, step=0.012, per_answer=0.0, per_context=0.0
)
MEAN_PROMPT, MEAN_OUTPUT = 6000.0, 25.0  # tokens; short answers, so that many fit in


@dataclass(frozen=True, slots=True)
class Point:
    """Seconds to the end of a read, or to the first token, at one load: seen in the model, and by
    theory.
    """

    load: float
    mean: float
    mean_known: float
    p90: float
    p90_known: float

    def off(self) -> float:
        return max(abs(self.mean / self.mean_known - 1), abs(self.p90 / self.p90_known - 1))


def quantile(values: list[float], q: float) -> float:
    return sorted(values)[min(len(values) - 1, int(q * len(values)))]


def alone(spec: EngineSpec, prompt: int) -> float:
    """Seconds that a read takes on an idle reader."""
    return spec.read_time(prompt, 0) + spec.step * math.ceil(prompt / spec.chunk)


def reader(load: float, jobs: int, seed: int, spec: EngineSpec = READER) -> Point:
    """Exponential prompts, Poisson arrivals: M/G/1, first come first served. The tail is that of
    M/M/1 with the same mean, which an exponential service time with a small constant in it comes
    near.
    """
    rng, fleet = random.Random(seed), Fleet()
    engine = fleet.add("r", spec)
    prompts = [1 + int(rng.expovariate(1 / MEAN_PROMPT)) for _ in range(jobs)]
    times = [alone(spec, p) for p in prompts]
    mean = sum(times) / jobs
    square = sum(t * t for t in times) / jobs
    rate, at, took = load / mean, 0.0, []
    for n, prompt in enumerate(prompts):
        at += rng.expovariate(rate)
        took += [h.at - h.job.entered for h in fleet.advance(at)]
        fleet.send(engine, Job(str(n), prompt))
        if n % 64 == 0:  # nobody fetches them here
            for key in list(engine.states):
                fleet.release(key)
    took += [h.at - h.job.entered for h in fleet.advance(at + 10_000)]
    known = mean + rate * square / (2 * (1 - load))
    return Point(
        load, sum(took) / len(took), known, quantile(took, 0.9), math.log(10) * mean / (1 - load)
    )


def erlang_c(servers: int, load: float) -> float:
    """The chance that a request has to wait, at `load` of `servers`."""
    offered, blocked = servers * load, 1.0
    for n in range(1, servers + 1):
        blocked = offered * blocked / (n + offered * blocked)
    return blocked / (1 - load * (1 - blocked))


def writer(load: float, jobs: int, seed: int, spec: EngineSpec = WRITER) -> Point:
    """Geometric answers, Poisson arrivals, steps of one length: M/M/c. A first token comes a step
    and on the average half a step after its slot is free. What is known is reckoned on the same
    draws, slot by slot (Kiefer and Wolfowitz): at high loads sixty thousand draws still vary by a
    quarter around Erlang's formula.
    """
    rng, fleet = random.Random(seed), Fleet(ways=TransferRates(near=1e15))
    source, engine = fleet.add("r", replace(READER, memory=10**15)), fleet.add("w", spec)
    rate, at = load * spec.slots / (MEAN_OUTPUT * spec.step), 0.0
    heard: list[ModelEvent] = []
    free, known = [0.0] * spec.slots, []  # when each slot is free again
    for n in range(jobs):
        at += rng.expovariate(rate)
        heard += [h for h in fleet.advance(at) if h.what == "first"]
        output = 1 + int(math.log(1 - rng.random()) / math.log(1 - 1 / MEAN_OUTPUT))
        state = CachedState(str(n), source, 0, 1)
        source.used += 1
        source.states[state.key] = fleet.states[state.key] = state
        fleet.send(engine, Job(str(n), 1, output))
        start = max(at, heapq.heappop(free))
        # One that finds a free slot takes it until the next step as well.
        heapq.heappush(free, start + output * spec.step + (spec.step / 2 if start == at else 0.0))
        known.append(start - at + 1.5 * spec.step)
    heard += [h for h in fleet.advance(at + 10_000) if h.what == "first"]
    took = [h.at - h.job.entered for h in heard]
    return Point(
        load,
        sum(took) / len(took),
        sum(known) / len(known),
        quantile(took, 0.9),
        max(quantile(known, 0.9), 1.9 * spec.step),
    )


def waiting(servers: int, load: float, mean: float) -> float:
    """The mean wait of M/M/c, for the tests of the reckoning above."""
    return erlang_c(servers, load) * mean / (servers * (1 - load))


def curves(jobs: int, seed: int = 7) -> dict[str, list[Point]]:
    """More jobs where the load is high: what is seen there varies more."""
    return {
        "reader": [reader(x, int(jobs * (1 if x < 0.8 else 3)), seed) for x in LOADS],
        "writer": [writer(x, int(jobs * (1 if x < 0.8 else 3)), seed) for x in LOADS],
    }


def table(found: dict[str, list[Point]]) -> str:
    lines = [
        "| | load | mean, ms | by theory | p90, ms | by theory | furthest off |",
        "|" + " --- |" * 7,
    ]
    for name, points in found.items():
        lines += [
            f"| {name} | {p.load} | {p.mean * 1000:.0f} | {p.mean_known * 1000:.0f} "
            f"| {p.p90 * 1000:.0f} | {p.p90_known * 1000:.0f} | {p.off():.0%} |"
            for p in points
        ]
    return "\n".join(lines)


def plot(found: dict[str, list[Point]], path: str) -> None:
    import matplotlib  # wanted for this alone

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(1, len(found), figsize=(10, 4))
    for axis, (name, points) in zip(axes, found.items(), strict=True):
        loads = [p.load for p in points]
        for what, colour in (("mean", "tab:blue"), ("p90", "tab:red")):
            axis.plot(
                loads,
                [getattr(p, f"{what}_known") for p in points],
                "-",
                color=colour,
                label=f"{what}, theory",
            )
            axis.plot(
                loads, [getattr(p, what) for p in points], "o", color=colour, label=f"{what}, model"
            )
        axis.set(
            title=name, xlabel="utilisation", ylabel="seconds to read / first token", ylim=(0, None)
        )
        axis.legend()
    figure.tight_layout()
    figure.savefig(path, dpi=110)


def main() -> None:
    words = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    words.add_argument("--plot", help="a PNG file (needs matplotlib)")
    words.add_argument("--jobs", type=int, default=20_000)
    words = words.parse_args()
    found = curves(words.jobs)
    print(table(found))
    if words.plot:
        plot(found, words.plot)


if __name__ == "__main__":
    main()
