"""What a gateway needs at 200, 800 and 3200 engines under the same load, against the standing
page's table.

    .venv-dev/bin/python -m bench.scale [--sizes 200,800,3200] [--seconds 24] [--plot FILE]

Two gateways (release mode) serve the same load at each size, over emulated engines in one process;
each half second a share of the engines is replaced, and from a third of the run on some are silent.
Prints a table, and ends with status 1 if a size needs more than the page allows over the smallest
one. Wants a machine that does nothing else. Bytes of lists are not counted here.
"""

from __future__ import annotations

import argparse
import json
import pathlib
import re
import statistics
import sys
import tempfile
import threading
import time
from dataclasses import dataclass

from claycross.emulator.client import Connection, request
from claycross.emulator.demo import GatewayProcess, ask, settings
from claycross.emulator.fleet_file import plain_fleet

GATEWAYS = 2
RATE = 22.0  # requests a second at each gateway
REPLACED, SILENT = 0.005, 0.05  # of the engines: each half second; from a third of the run on
DEADLINE = 6.0


@dataclass
class Needs:
    """What one gateway needed, in the mean over the gateways, and what came of the requests."""

    engines: int
    cpu_s: float
    peak_mb: float
    descriptors: float
    connections: float
    served: float
    late_ms: float


ALLOWED = {  # over the smallest size: times, plus, plus for each thousand engines
    "cpu_s": (1.4, 0.02, 0.12),
    "peak_mb": (1.5, 8.0, 4.0),
    "descriptors": (2.0, 40.0, 0.0),
    "connections": (2.5, 40.0, 0.0),
}
LEAST_SERVED = 0.85  # of the smallest size's share


class Run:
    """One size."""

    def __init__(self, folder: pathlib.Path, engines: int, seconds: float):
        self.folder, self.engines, self.seconds = folder, engines, seconds
        self.answers: list[str] = []
        self.lock = threading.Lock()
        self.ended = False
        self.most_descriptors = [0] * GATEWAYS
        self.parts: list[GatewayProcess] = []

    def start(self) -> None:
        fleet = self.folder / "fleet.toml"
        fleet.write_text(plain_fleet(self.engines))
        emulator = GatewayProcess(self.folder, "emulator", "emulate", str(fleet))
        self.parts.append(emulator)
        discovery, self.control = emulator.wait_for_log(r"discovery=(\S+) control=(\S+)").groups()
        known = json.loads(ask(discovery, "GET", "/api/targets")[1])
        for n in range(GATEWAYS):
            config = {
                "name": f"g{n}",
                "listen": "127.0.0.1:0",
                "discovery": discovery,
                "seed": f"{n}f",
                "limits": {"sockets": 1024},
                "known": known,
                "settings": settings(),
            }
            (self.folder / f"g{n}.json").write_text(json.dumps(config))
            path = str(self.folder / f"g{n}.json")
            self.parts.append(GatewayProcess(self.folder, f"g{n}", "serve", "--config", path))
        self.ports = [
            int(part.wait_for_log(r"serving listen=\S+:(\d+)")[1]) for part in self.parts[1:]
        ]

    def one(self, number: int) -> None:
        """One request on a connection of its own."""
        cls = "licence" if number % 3 == 0 else "browse"
        prefix = f"o{number % 23}" if number % 8 else ""
        text = request(
            f"{number:016x}",
            cls,
            f"s{number // 6 * 2 + number % 2}",
            1000 + 131 * number % 3000,
            DEADLINE,
            b"{}",
            prefix,
        )
        try:
            with Connection(self.ports[number % GATEWAYS], DEADLINE + 20) as connection:
                connection.send(text)
                how = connection.answer().how
        except OSError:
            how = "unanswered"
        with self.lock:
            self.answers.append(how)

    def trouble(self) -> None:
        """Replaces engines, and silences some, until the load ends."""
        names = [f"{kind}-{n}" for n in range(self.engines // 2) for kind in ("prefill", "decode")]
        silent, at = names[:: int(1 / SILENT)], 0
        fresh = [name for name in names if name not in silent]
        begin, silenced = time.monotonic(), False
        while not self.ended:
            for _ in range(max(1, int(REPLACED * self.engines))):
                if at < len(fresh) // 2:
                    self.strike("replace", fresh[at])
                    at += 1
            if not silenced and time.monotonic() - begin > self.seconds / 3:
                silenced = True
                for name in silent:
                    self.strike("silent", name)
            time.sleep(0.5)

    def strike(self, do: str, engine: str) -> None:
        ask(self.control, "POST", "/trouble", json.dumps({"do": do, "engine": engine}).encode())

    def watch(self) -> None:
        while not self.ended:
            for n, part in enumerate(self.parts[1:]):
                here = len(list(pathlib.Path(f"/proc/{part.process.pid}/fd").iterdir()))
                self.most_descriptors[n] = max(self.most_descriptors[n], here)
            time.sleep(0.2)

    def play(self) -> Needs:
        self.start()
        helpers = [
            threading.Thread(target=work, daemon=True) for work in (self.trouble, self.watch)
        ]
        before = [part.resource_usage()[0] for part in self.parts[1:]]
        begin, threads = time.monotonic(), []
        for helper in helpers:
            helper.start()
        for number in range(int(self.seconds * RATE * GATEWAYS)):
            time.sleep(max(0.0, begin + number / (RATE * GATEWAYS) - time.monotonic()))
            threads.append(threading.Thread(target=self.one, args=(number,), daemon=True))
            threads[-1].start()
        for thread in threads:
            thread.join(DEADLINE + 20)
        cpu = [
            part.resource_usage()[0] - used
            for part, used in zip(self.parts[1:], before, strict=True)
        ]
        peak = [self.peak(part) for part in self.parts[1:]]
        time.sleep(10.5)  # the log's next statistics
        self.ended = True
        logs = [part.path.read_text() for part in self.parts[1:]]
        dialled = [int(re.findall(r"dialled=(\d+)", log)[-1]) for log in logs]
        late = [max(map(float, re.findall(r"late_max_ms=([\d.]+)", log))) for log in logs]
        mean = statistics.mean
        return Needs(
            self.engines,
            mean(cpu),
            mean(peak),
            mean(self.most_descriptors),
            mean(dialled),
            self.answers.count("served") / len(self.answers),
            max(late),
        )

    @staticmethod
    def peak(part: GatewayProcess) -> float:
        status = pathlib.Path(f"/proc/{part.process.pid}/status").read_text()
        return int(re.search(r"VmHWM:\s+(\d+)", status)[1]) / 1024

    def close(self) -> None:
        self.ended = True
        for part in reversed(self.parts):
            part.end()


def over(found: list[Needs]) -> list[str]:
    """What is above the page's table, in words."""
    least, broken = found[0], []
    for needs in found[1:]:
        for name, (times, plus, by_thousand) in ALLOWED.items():
            most = times * getattr(least, name) + plus + by_thousand * needs.engines / 1000
            if getattr(needs, name) > most:
                broken.append(
                    f"{name} at {needs.engines}: {getattr(needs, name):.2f}, allowed {most:.2f}"
                )
        if needs.served < LEAST_SERVED * least.served:
            broken.append(f"served at {needs.engines}: {needs.served:.3f} of {least.served:.3f}")
    return broken


def plot(path: str, found: list[Needs]) -> None:
    import matplotlib  # of the bench's requirements

    matplotlib.use("Agg")
    from matplotlib import pyplot as plt

    figure, axes = plt.subplots(1, 2, figsize=(9, 3.5))
    for axis, name in zip(axes, ("cpu_s", "peak_mb"), strict=True):
        axis.plot([n.engines for n in found], [getattr(n, name) for n in found], marker="o")
        axis.set_xlabel("engines")
        axis.set_title(name)
        axis.set_ylim(bottom=0)
    figure.savefig(path, dpi=90)


def main() -> int:
    words = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    words.add_argument("--sizes", default="200,800,3200")
    words.add_argument("--seconds", type=float, default=24.0)
    words.add_argument("--plot", default="")
    given = words.parse_args()
    found = []
    print("| engines | CPU s | peak MB | descriptors | connections | served | late at most, ms |")
    print("| --- | --- | --- | --- | --- | --- | --- |")
    for size in map(int, given.sizes.split(",")):
        with tempfile.TemporaryDirectory() as folder:
            run = Run(pathlib.Path(folder), size, given.seconds)
            try:
                needs = run.play()
            finally:
                run.close()
        found.append(needs)
        print(
            f"| {needs.engines} | {needs.cpu_s:.2f} | {needs.peak_mb:.1f} | "
            f"{needs.descriptors:.0f} | "
            f"{needs.connections:.0f} | {needs.served:.3f} | {needs.late_ms:.0f} |",
            flush=True,
        )
    broken = over(found)
    for line in broken:
        print("OVER", line)
    if given.plot:
        plot(given.plot, found)
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
