"""A drill: many gateways over emulated engines, relays between all of them, faults in time, and an
audit.

Owns the processes it starts (ended by their ids), the load, and the verdict, which is taken at the
engines' and the clients' ends. It must never call an audit passed that did not see the requests,
nor leave a process behind.
"""

from __future__ import annotations

import http.client
import json
import os
import pathlib
import random
import re
import signal
import socket
import tempfile
import threading
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Annotated, Literal

import click
import msgspec

from ..config.operator_files import read
from .demo import CLASSES, ROOT, GatewayProcess, NotReachedError, ask, settings
from .fault_proxy import Fault, FaultProxy, PortReservation

DRAIN_WITHIN, HELD_WITHIN = (
    0.25 + 0.05,
    0.3 + 0.3,
)  # seconds: the rules, with the slack of many gateways
FRONT_NOTICES = 0.35  # seconds until a front sends nothing more to a gateway that is not there
GIVE_UP = 6.0
START_WITHIN = 20.0


class ScenarioFault(msgspec.Struct, forbid_unknown_fields=True, kw_only=True, frozen=True):
    """`[[trouble]]`. Parties are words: "g3", a zone, "gateways", "engines", "discovery",
    "clients"; several words in one string mean all of them ("engines huye").
    """

    at_s: Annotated[float, msgspec.Meta(ge=0)]
    do: Literal[
        "cut",
        "reset",
        "refuse",
        "delay",
        "loss",
        "double",
        "kill",
        "pause",
        "restart",
        "start",
        "engine",
    ]
    for_s: Annotated[float, msgspec.Meta(gt=0)] = 1e9
    gateways: list[
        int
    ] = []  # killed, paused, restarted, started; numbers over the fleet's are passed over
    from_: str = msgspec.field(name="from", default="")
    to: str = ""
    both: bool = True  # ways: in both directions
    share: Annotated[float, msgspec.Meta(gt=0, le=1)] = 1.0
    ms: Annotated[float, msgspec.Meta(ge=0, le=10_000)] = 0.0
    engine: dict[str, str] = {}  # to the emulator: {do = "drain", engine = "decode-0"}


class ScenarioFile(msgspec.Struct, forbid_unknown_fields=True, kw_only=True, frozen=True):
    """`deploy/drills/NAME.toml`."""

    fleet: str = "deploy/drills/fleet.toml"  # beside the checkout's root
    gateways: Annotated[int, msgspec.Meta(ge=2, le=40)] = 6
    zones: Annotated[tuple[str, ...], msgspec.Meta(min_length=1)] = ("kigali", "huye", "musanze")
    seconds: Annotated[float, msgspec.Meta(ge=4, le=600)] = 20.0
    rate: Annotated[float, msgspec.Meta(gt=0, le=200)] = 12.0
    seed: int = 1
    trouble: list[ScenarioFault] = []


@dataclass
class Answer:
    """One request as its client met it. Seconds since the load began."""

    key: str
    cls: str
    gateway: int
    came: float
    how: str = ""  # "served", "refused", "failed", "broken", "nobody"
    took: float = 0.0


@dataclass
class AuditResult:
    """What the audit found: rule -> the requests (or engines) that broke it; and what it saw."""

    broken: dict[str, list[str]] = field(default_factory=dict)
    seen: dict[str, int] = field(default_factory=dict)

    @property
    def holds(self) -> bool:
        return (
            not any(self.broken.values())
            and self.seen.get("answers", 0) > 0
            and self.seen["attempts"] > 0
        )


def audit(answers: list[Answer], audit_log: dict, lost: set[str], dead: list[str]) -> AuditResult:
    """The rules, from the clients' answers and the engines' record. `lost`: requests whose gateway
    was killed or paused while it had them; they are bound only by what must never be. `dead`:
    processes that should run and do not.
    """
    by_key: dict[str, list[list]] = {}
    for record in audit_log["attempts"]:
        by_key.setdefault(record[0], []).append(record)
    firsts = Counter(
        r[0]
        for r in audit_log["attempts"]
        if r[3] == "licence" and r[2] != "read" and r[6] in ("first", "ok", "error", "reset")
    )
    broken = {
        "answered once and in time": [
            a.key
            for a in answers
            if a.key not in lost
            and (a.how in ("broken", "") or (a.took > GIVE_UP + 0.5 and a.how != "served"))
        ],
        "licence runs once at most": [key for key, n in firsts.items() if n > 1],
        "drained engines get nothing new": [
            f"{r[0]} at {r[1]}"
            for r in audit_log["attempts"]
            if r[1] in audit_log["drains"] and r[4] > audit_log["drains"][r[1]] + DRAIN_WITHIN
        ],
        "nothing stays held": [
            key
            for key in audit_log["states"]
            if key not in lost
            and all(r[5] and audit_log["now"] - r[5] > HELD_WITHIN for r in by_key.get(key, ()))
        ],
        "no engine falls over": ["engines"] * audit_log["fell"],
        "processes live": dead,
        "one attempt at a time": [
            key
            for key, records in by_key.items()
            if key not in lost
            and any(
                b[4] < a[5] - 0.25
                for a, b in zip(records, records[1:], strict=False)
                if a[5] and a[2] == b[2]
            )
        ],
    }
    return AuditResult(
        broken,
        {
            "answers": len(answers),
            "attempts": len(audit_log["attempts"]),
            "lost with their gateway": sum(a.key in lost for a in answers),
        },
    )


def play_load(
    file: ScenarioFile,
    draw: random.Random,
    zero: float,
    moments: list[tuple[float, Callable[[], None]]],
    one: Callable[[int], None],
    longest: float,
) -> None:
    """Plays what happens at these moments, in seconds since `zero`, with a client in a thread of
    its own at each arrival; each is waited for at the end, `longest` at most.
    """
    at, threads = 0.0, list[threading.Thread]()
    while (at := at + draw.expovariate(file.rate)) < file.seconds:
        threads.append(threading.Thread(target=one, args=(len(threads),), daemon=True))
        moments.append((at, threads[-1].start))
    for at, call in sorted(moments, key=lambda moment: moment[0]):
        time.sleep(max(0.0, zero + at - time.monotonic()))
        call()
    for thread in threads:
        thread.join(longest)


class FaultScenario:
    words: tuple[str, ...] = ()  # further options of `serve`

    def __init__(self, folder: pathlib.Path, file: ScenarioFile, plain: bool, cooperation: str):
        self.folder, self.file, self.plain, self.cooperation = folder, file, plain, cooperation
        self.net, self.parts = FaultProxy(file.seed), list[GatewayProcess]()
        self.gateways: list[GatewayProcess] = []
        self.answers: list[Answer] = []
        self.lost: set[str] = set()
        self.down: dict[int, float] = {}  # gateway -> since when a front sends nothing there
        self.stopped: dict[
            int, list[tuple[float, float]]
        ] = {}  # gateway -> spans killed, paused or stopping
        self.expected = set(range(file.gateways))  # that should run
        self.engine_zones: dict[int, str] = {}  # port -> zone
        self.lock, self.zero, self.notes = threading.Lock(), 0.0, list[str]()

    def party(self, n: int) -> frozenset[str]:
        return frozenset(("gateways", f"g{n}", self.zone(n)))

    def engine_party(self, port: int) -> frozenset[str]:
        """The engine that listens at this port."""
        return frozenset(("engines", self.engine_zones.get(port, "")))

    def zone(self, n: int) -> str:
        return self.file.zones[n % len(self.file.zones)]

    # ------------------------------------------------------------ the start

    def start(self) -> None:
        f, net = self.file, self.net
        emulator = GatewayProcess(self.folder, "emulator", "emulate", str(ROOT / f.fleet))
        self.parts.append(emulator)
        found = emulator.wait_for_log(r"discovery=(\S+) control=(\S+)")
        self.discovery, self.control = found.groups()
        known = self.ask(self.discovery, "GET", "/api/targets")[1]
        self.engine_zones = {
            int(t["endpoint"].rpartition(":")[2]): t["az"] for t in json.loads(known)["targets"]
        }
        spare = PortReservation()
        listen = [spare.port(socket.SOCK_STREAM) for _ in range(f.gateways)]
        heard = [spare.port(socket.SOCK_DGRAM) for _ in range(f.gateways)]
        parties = [self.party(n) for n in range(f.gateways)]
        peers, everyone = net.do(lambda: net.udp(parties, heard))
        self.fronts: list[int] = []
        for n in range(f.gateways):
            lists = net.endpoints(parties[n], n, self.engine_party)
            port = net.do(
                lambda n=n, lists=lists: net.tcp(
                    parties[n],
                    frozenset(("discovery",)),
                    int(self.discovery.rpartition(":")[2]),
                    lists,
                )
            )
            self.fronts.append(
                net.do(lambda n=n: net.tcp(frozenset(("clients",)), parties[n], listen[n]))
            )
            config = {
                "name": f"g{n}",
                "listen": f"127.0.0.1:{listen[n]}",
                "discovery": f"127.0.0.1:{port}",
                "seed": f"{f.seed * 1000 + n:x}",
                "limits": {"sockets": 1024},
                "known": json.loads(net.do(lambda lists=lists: lists(known))),
                "settings": self.settings(n),
                "peer_listen": f"127.0.0.1:{heard[n]}",
                "peers": peers[n],
                "peers_all": everyone[n],
            }
            (self.folder / f"g{n}.json").write_text(json.dumps(self.configured(n, config, spare)))
        spare.let_go()
        words = [
            *self.words,
            *([] if self.plain else ["--cooperation", str(ROOT / self.cooperation)]),
        ]
        for n in range(f.gateways):
            self.gateways.append(
                GatewayProcess(
                    self.folder,
                    f"g{n}",
                    "serve",
                    "--config",
                    str(self.folder / f"g{n}.json"),
                    *words,
                    environment=self.environment(n),
                )
            )
        self.parts += self.gateways
        for part in self.gateways:
            part.wait_for_log("serving listen")

    def configured(
        self, n: int, config: dict[str, object], spare: PortReservation
    ) -> dict[str, object]:
        """The configuration of one gateway; a soak adds to it."""
        return config

    def environment(self, n: int) -> dict[str, str]:
        """More of the environment of one gateway."""
        return {}

    def settings(self, n: int) -> dict[str, object]:
        made = settings()
        made |= {
            "balancers": self.file.gateways,
            "me": n,
            "zone": self.zone(n),
            "zones": list(self.file.zones),
        }
        made["permissions"] |= {"peers": True}
        return made

    def close(self) -> None:
        for part in reversed(self.parts):
            if part.process.poll() is None:
                part.process.send_signal(signal.SIGCONT)
            part.end()
        self.net.stop()

    # ------------------------------------------------------------ the load

    ask = staticmethod(partial(ask, timeout=GIVE_UP + 14))

    def since(self) -> float:
        return time.monotonic() - self.zero

    def pick(self, draw: random.Random) -> list[int]:
        """Gateways that a front would try: those of a zone drawn, then others; none it knows
        away.
        """
        now = self.since()
        there = [
            n
            for n in range(self.file.gateways)
            if n not in self.down or now < self.down[n] + FRONT_NOTICES
        ]
        zone = draw.choice(self.file.zones)
        draw.shuffle(there)
        return sorted(there, key=lambda n: self.zone(n) != zone)

    def one(self, n: int, seed: int) -> None:
        draw = random.Random(f"{self.file.seed} {n}")
        cls = tuple(CLASSES)[draw.random() < 1 / 3]
        prompt = draw.randint(300, 4000)
        headers = {
            "X-Request-ID": f"{n:08x}{seed:08x}",
            "X-Priority-Class": cls,
            "X-Route-Key": f"c{draw.randrange(60)}",
            "X-Timeout-Ms": str(int(GIVE_UP * 1000)),
            "X-Attrs": f"prefix=o{draw.randrange(5)},prompt_len={prompt},"
            f"prefix_len={min(prompt, 800)},max_out={draw.choice((30, 60, 90))}",
        }
        body = json.dumps({"model": "chat", "stream": True, "messages": []}).encode()
        a = Answer(headers["X-Request-ID"], cls, -1, self.since(), "nobody")
        for gateway in self.pick(draw)[:3]:
            a.gateway = gateway
            try:
                status, _, first = self.ask(
                    f"127.0.0.1:{self.fronts[gateway]}",
                    "POST",
                    "/v1/chat/completions",
                    body,
                    headers,
                    unreached=self.net.unreached,
                )
                a.how = {200: "served", 429: "refused", 503: "refused"}.get(status, "failed")
                a.took = first
            except NotReachedError:
                continue  # nobody was there, and nothing of it was read: a front tries the next
            except (OSError, http.client.HTTPException):
                a.how, a.took = "broken", self.since() - a.came
            break
        ended = self.since()
        with self.lock:
            self.answers.append(a)
            if a.gateway >= 0 and self.away(a.gateway, a.came, ended):
                self.lost.add(a.key)

    def away(self, gateway: int, begin: float, end: float) -> bool:
        return any(begin < b and end > a for a, b in self.stopped.get(gateway, ()))

    # ------------------------------------------------------------ troubles

    def inject(self, t: ScenarioFault) -> None:
        numbers = [n for n in t.gateways if n < self.file.gateways]
        if t.do == "engine":
            status, text, _ = self.ask(
                self.control, "POST", "/trouble", json.dumps(t.engine).encode()
            )
            if status != 204:
                self.notes.append(f"trouble {t.engine} failed: {text!r}")
            return
        for n in numbers:
            threading.Thread(target=self.trouble, args=(t, n), daemon=True).start()

    def trouble(self, t: ScenarioFault, n: int) -> None:
        part, begin = self.gateways[n], self.since()
        span = [begin - 0.02, float("inf")]
        if t.do == "start":
            part.start()
            part.wait_for_log("serving listen")
            self.expected.add(n)
            self.down.pop(n, None)
            return
        self.stopped.setdefault(n, []).append((span[0], span[1]))
        place = len(self.stopped[n]) - 1
        if t.do == "kill":
            part.process.kill()
            self.expected.discard(n)
            self.down[n] = begin
            part.process.wait()
        elif t.do == "pause":
            part.process.send_signal(signal.SIGSTOP)
            time.sleep(t.for_s)
            part.process.send_signal(signal.SIGCONT)
            time.sleep(0.5)
            self.stopped[n][place] = (span[0], self.since())
        elif t.do == "restart":
            self.stopped[n][place] = (begin, begin)  # a planned end may lose nothing that was taken
            part.process.send_signal(signal.SIGTERM)
            self.down[n] = begin
            try:
                status = part.process.wait(12)
            except Exception:
                status = "no end within 12 s"
            ended = self.since()
            if status != 0:
                self.notes.append(f"g{n} ended with {status}")
            part.start()
            part.wait_for_log("serving listen")
            self.stopped[n].append((ended - 0.3, self.since()))  # new connections find nobody there
            self.down.pop(n, None)

    def faults(self) -> list[Fault]:
        out = []
        for t in self.file.trouble:
            if t.from_ or t.to:
                ways = [(t.from_, t.to), (t.to, t.from_)][: 1 + t.both]
                out += [
                    Fault(
                        t.do,
                        frozenset(a.split()),
                        frozenset(b.split()),
                        t.at_s,
                        t.at_s + t.for_s,
                        t.share,
                        t.ms,
                    )
                    for a, b in ways
                ]
        return out

    # ------------------------------------------------------------ the run

    def run(self) -> AuditResult:
        f, draw = self.file, random.Random(self.file.seed)
        self.zero = time.monotonic()
        self.net.faults, self.net.zero = self.faults(), self.net.loop.now()
        moments = [(t.at_s, lambda t=t: self.inject(t)) for t in f.trouble if not (t.from_ or t.to)]
        play_load(f, draw, self.zero, moments, lambda n: self.one(n, f.seed), GIVE_UP + 20)
        time.sleep(1.0)
        audit_log = json.loads(self.ask(self.control, "GET", "/audit")[1])
        dead = [
            f"g{n}" for n in sorted(self.expected) if self.gateways[n].process.poll() is not None
        ]
        dead += self.notes
        dead += [
            p.name
            for p in self.parts
            if re.search(r"Traceback|unexpected where=", p.earlier_log + p.path.read_text())
        ]
        return audit(self.answers, audit_log, self.lost, dead)

    def seen(self) -> list[tuple[float, str, str]]:
        """What the gateways said of each other in their logs: seconds of the load, gateway,
        line.
        """
        out = []
        for part in self.gateways:
            for line in (part.earlier_log + part.path.read_text()).splitlines():
                if found := re.match(
                    r"(\d+\.\d+) \S+ (member |members |isolation-changed |policy sums ).*", line
                ):
                    out.append(
                        (float(found[1]), part.name, line.partition(" ")[2].partition(" ")[2])
                    )
        return out


def format_table(
    answers: list[Answer], zones: tuple[str, ...], zone: dict[int, str], seconds: float
) -> list[str]:
    """By second and zone of the gateway: asked, served, refused, other."""
    rows = [
        f"{'second':>6}  " + "  ".join(f"{z:>24}" for z in zones),
        f"{'':>6}  "
        + "  ".join(f"{'asked':>6}{'served':>7}{'ref.':>6}{'other':>5}" for _ in zones),
    ]
    for second in range(int(seconds) + 1):
        cells = []
        for z in zones:
            these = [
                a for a in answers if int(a.came) == second and zone.get(a.gateway, zones[0]) == z
            ]
            how = Counter(a.how for a in these)
            other = len(these) - how["served"] - how["refused"]
            cells.append(f"{len(these):6}{how['served']:7}{how['refused']:6}{other:5}")
        rows.append(f"{second:6}  " + "  ".join(cells))
    return rows


def run_scenario(
    path: str, gateways: int, seed: int, plain: bool, out: str, plot: str, cooperation: str
) -> bool:
    """Runs one drill and prints it; True: the audit holds."""
    file = read(path, ScenarioFile)
    over = {k: v for k, v in (("gateways", gateways), ("seed", seed)) if v}
    file = msgspec.structs.replace(file, **over)
    with tempfile.TemporaryDirectory() as folder:
        d = FaultScenario(pathlib.Path(folder), file, plain, cooperation)
        try:
            d.start()
            verdict = d.run()
            seen = d.seen()
        finally:
            d.close()
            if keep := os.environ.get("CLAYCROSS_DRILL_LOGS"):
                for log in pathlib.Path(folder).glob("*.log"):
                    (pathlib.Path(keep) / log.name).write_text(log.read_text())
    rows = format_table(
        d.answers, file.zones, {n: d.zone(n) for n in range(file.gateways)}, file.seconds
    )
    how = Counter(a.how for a in d.answers)
    report = {
        "drill": pathlib.Path(path).stem,
        "gateways": file.gateways,
        "seed": file.seed,
        "plain": plain,
        "holds": verdict.holds,
        "broken": {k: v[:20] for k, v in verdict.broken.items() if v},
        "seen": verdict.seen,
        "answers": dict(how),
        "table": rows,
        "members": [f"{at:.3f} {who} {line}" for at, who, line in seen][:2000],
    }
    click.echo("\n".join(rows))
    for t in file.trouble:
        click.echo(
            f"trouble at {t.at_s} s: {t.do} {t.gateways or t.engine or t.from_ + ' <-> ' + t.to}"
        )
    click.echo(f"answers: {dict(how)}; {verdict.seen}")
    for rule, these in verdict.broken.items():
        click.echo(f"  {'BROKEN' if these else 'holds '}  {rule}" + f": {these[:3]}" * bool(these))
    if out:
        pathlib.Path(out).write_text(json.dumps(report, indent=1))
    if plot:
        draw_chart(plot, d.answers, file)
    return verdict.holds


def draw_chart(path: str, answers: list[Answer], file: ScenarioFile) -> None:
    import matplotlib  # of the bench's requirements; a drill without a chart does without

    matplotlib.use("Agg")
    from matplotlib import pyplot as plt

    figure, axes = plt.subplots(figsize=(9, 4))
    seconds = range(int(file.seconds) + 1)
    bottom = [0] * len(seconds)
    for how in ("served", "refused", "failed", "broken", "nobody"):
        counts = [sum(a.how == how and int(a.came) == s for a in answers) for s in seconds]
        axes.bar(seconds, counts, bottom=bottom, label=how)
        bottom = [x + y for x, y in zip(bottom, counts, strict=True)]
    for t in file.trouble:
        axes.axvline(t.at_s, color="black", linestyle=":")
    axes.set_xlabel("second of the load")
    axes.set_ylabel("requests")
    axes.legend()
    figure.savefig(path, dpi=90)
