"""A soak: a few dozen real processes on loopback, storms of troubles that overlap, and a judgement by rules.

Owns the run: the gateways with their shims, the load with clients that misbehave, the troubles as they were
drawn (troubles.py), and the record that the rules are judged by (judges.py). It must never call a run good
that saw nothing, excuse what a rule does not, or leave a process behind.
"""

from __future__ import annotations

import json
import pathlib
import random
import re
import shutil
import signal
import socket
import tempfile
import threading
import time
from collections import Counter
from collections.abc import Callable
from contextlib import suppress

import click

from .client import Connection, request
from .demo import CLASSES
from .drill import Drill, DrillFile
from .faults import Field, SystemFaults
from .judges import Asked, Ran, Record, holds, verdict
from .relay import Fault, Spare
from .troubles import Kind, Trouble, draw

EXCUSED_AROUND = 0.05  # seconds before and after a gateway's death in which its requests are excused
AFTER_STOP = 0.5  # seconds until a gateway that was stopped has caught up
ENDS_WITHIN = 8.0  # seconds after SIGTERM
READY_WITHIN = 10.0
PACE_EVERY = 0.05  # seconds between looks how late the soak itself is
QUIET = 1.5  # seconds without load, until what is held is looked at
FRONT_NOTICES = 0.35  # seconds until clients send nothing more to a gateway that is not there
SPANS = (1.0, 6.0)  # seconds that a client waits
CALL_RATES = ((Field.ACCEPT, 300), (Field.SOCKET, 150), (Field.CONNECT, 150), (Field.SHORT_IO, 400),
              (Field.POLL_EINTR, 300))  # thousandths of the calls
LOGGED = re.compile(r"^.*(?:invariant name=|unexpected where=|Traceback).*$", re.MULTILINE)
# Troubles that may break streams, and for how long after their span: a silent engine's stream is ended after
# 4.5 s without an event.
TROUBLE_LASTS = {Kind.ENGINE_RESTART: 0.5, Kind.ENGINE_SILENT: 6.0, Kind.CUT: 5.0, Kind.RESET: 0.5}
UNREACHED = (Kind.STALL, Kind.RELOAD, Kind.STOP, Kind.CALLS)


class Gateways(Drill):
    """The processes of a soak: gateways with shims, doors and two addresses of discovery each."""

    words = ("--trace",)

    def __init__(self, folder: pathlib.Path, file: DrillFile, cooperation: str):
        super().__init__(folder, file, not cooperation, cooperation)
        self.shims = [SystemFaults(folder, f"g{n}") for n in range(file.gateways)]
        self.doors: list[str] = []
        self.discoveries: list[tuple[str, str]] = []  # of each gateway: two ways to the one discovery

    def environment(self, n: int) -> dict[str, str]:
        return self.shims[n].environment()

    def configured(self, n: int, config: dict[str, object], spare: Spare) -> dict[str, object]:
        party = self.party(n)
        lists = self.net.endpoints(party, n, self.engine_party)
        port = int(self.discovery.rpartition(":")[2])
        other = self.net.do(lambda: self.net.tcp(party, frozenset(("discovery",)), port, lists))
        self.discoveries.append((str(config["discovery"]), f"127.0.0.1:{other}"))
        self.doors.append(f"127.0.0.1:{spare.port(socket.SOCK_STREAM)}")
        return config | {"admin": self.doors[n]}

    def reload(self, n: int) -> None:
        """The other address of discovery, and SIGHUP."""
        path = self.folder / f"g{n}.json"
        config = json.loads(path.read_text())
        first, second = self.discoveries[n]
        config["discovery"] = second if config["discovery"] == first else first
        fresh = path.with_suffix(".fresh")
        fresh.write_text(json.dumps(config))
        fresh.replace(path)
        self.gateways[n].process.send_signal(signal.SIGHUP)

    def call(self, n: int, line: str) -> str:
        """One call at a gateway's door; blank where nobody answers."""
        host, port = self.doors[n].split(":")
        with suppress(OSError), socket.create_connection((host, int(port)), timeout=2) as sock:
            sock.sendall(line.encode() + b"\n")
            return sock.makefile("rb").readline().decode().strip()
        return ""


class Soak:
    """One run."""

    def __init__(self, folder: pathlib.Path, file: DrillFile, cooperation: str):
        self.fleet = Gateways(folder, file, cooperation)
        self.file, self.record, self.lock = file, Record(), threading.Lock()
        self.down: dict[int, float] = {}  # gateway -> since when clients know that it is not there
        self.excused: list[tuple[int, float, float]] = []  # gateway, from, to
        self.troubles: list[Trouble] = []
        self.bans: dict[int, str] = {}
        self.zero, self.ended = 0.0, False
        self.deeds: dict[Kind, Callable[[Trouble, int], None]] = {
            Kind.KILL: self.kill, Kind.RESTART: self.restart, Kind.HOLD_UP: self.hold_up,
            Kind.STOP: self.stop, Kind.RELOAD: lambda t, n: self.fleet.reload(n),
            Kind.CALLS: self.calls, Kind.CLOCK: self.clock,
            Kind.DISK: self.disk, Kind.BAN: self.ban, Kind.DRAIN_GATEWAY: self.drain_gateway}

    # ------------------------------------------------------------ troubles

    def strike(self, t: Trouble) -> None:
        """Begins one trouble; each gateway's has a thread of its own."""
        now = time.monotonic()
        if t.kind in UNREACHED:
            self.record.unreached.append((now, now + t.span + (0.5 if t.kind is Kind.STOP else 0.1)))
        if t.kind in TROUBLE_LASTS:
            self.record.engine_troubles.append((now, now + t.span + TROUBLE_LASTS[t.kind]))
        if t.kind is Kind.CUT:
            self.record.cuts.append((now, now + t.span))
        if t.kind in self.deeds:
            for n in t.gateways:
                threading.Thread(target=self.deed, args=(t, n), daemon=True).start()
        elif t.kind in (Kind.CUT, Kind.RESET):
            gateways, engines = frozenset(("gateways", t.zones[0])), frozenset(("engines", t.zones[1]))
            begin = t.at
            self.fleet.net.faults += [Fault(str(t.kind), a, b, begin, begin + t.span)
                                      for a, b in ((gateways, engines), (engines, gateways))]
        else:
            threading.Thread(target=self.at_engines, args=(t,), daemon=True).start()

    def deed(self, t: Trouble, n: int) -> None:
        try:
            self.deeds[t.kind](t, n)
        except (OSError, click.ClickException) as err:
            self.note(f"g{n} {t.kind}: {err}")

    def note(self, text: str) -> None:
        with self.lock:
            self.record.gone.append(text)

    def at_engines(self, t: Trouble) -> None:
        """Troubles of engines and of discovery, asked of the emulator."""
        def ask(**words: object) -> None:
            body = json.dumps(words).encode()
            status, text, _ = self.fleet.ask(self.fleet.control, "POST", "/trouble", body)
            if status != 204:
                self.note(f"the emulator refused {words}: {text!r}")
        match t.kind:
            case Kind.STALL:
                ask(do="stall")
                time.sleep(t.span)
                ask(do="go-on")
            case Kind.ENGINE_DRAIN:
                ask(do="drain", engine=t.engine)
            case Kind.ENGINE_SLOW:
                ask(do="slow", engine=t.engine, times=4, for_s=t.span)
            case Kind.ENGINE_SILENT:
                ask(do="silent", engine=t.engine)
            case Kind.ENGINE_RESTART:
                ask(do="kill", engine=t.engine)
                time.sleep(t.span)
                ask(do="start", engine=t.engine)

    def kill(self, t: Trouble, n: int) -> None:
        """SIGKILL, and a new process after the span."""
        part, begin = self.fleet.gateways[n], time.monotonic()
        part.process.kill()
        part.process.wait()
        self.down[n] = begin
        self.excuse(n, begin, time.monotonic())
        time.sleep(t.span)
        self.begin(n)

    def begin(self, n: int) -> None:
        """A new process of that gateway; clients come once it is ready."""
        part, begin = self.fleet.gateways[n], time.monotonic()
        self.fleet.shims[n].clear()
        part.start()
        part.said("serving listen")
        while not self.fleet.call(n, "check").startswith("ok"):
            if time.monotonic() - begin > READY_WITHIN:
                return self.note(f"g{n} is not ready {READY_WITHIN} s after its start")
            time.sleep(0.02)
        self.down.pop(n, None)

    def restart(self, t: Trouble, n: int) -> None:
        """SIGTERM; the process has to end by itself, and nothing that it had is excused."""
        part = self.fleet.gateways[n]
        part.process.send_signal(signal.SIGTERM)
        self.down[n] = time.monotonic()
        self.end(n)
        self.begin(n)

    def end(self, n: int) -> None:
        part = self.fleet.gateways[n]
        try:
            status = part.process.wait(ENDS_WITHIN)
        except Exception:  # noqa: BLE001
            part.process.kill()
            part.process.wait()
            return self.note(f"g{n} did not end within {ENDS_WITHIN} s of SIGTERM")
        if status != 0:
            self.note(f"g{n} ended with {status} after SIGTERM")

    def hold_up(self, t: Trouble, n: int) -> None:
        process = self.fleet.gateways[n].process
        process.send_signal(signal.SIGSTOP)
        time.sleep(t.span)
        process.send_signal(signal.SIGCONT)

    def stop(self, t: Trouble, n: int) -> None:
        begin = time.monotonic()
        self.hold_up(t, n)
        self.excuse(n, begin, time.monotonic() + AFTER_STOP)

    def calls(self, t: Trouble, n: int) -> None:
        shim = self.fleet.shims[n]
        for field, rate in CALL_RATES:
            shim.set(field, rate)
        time.sleep(t.span)
        shim.clear()

    def clock(self, t: Trouble, n: int) -> None:
        self.fleet.shims[n].set(Field.WALL_OFFSET_NS, t.value * 10**9)

    def disk(self, t: Trouble, n: int) -> None:
        """The folder fails while an operator calls; what is answered ok has to outlive a kill."""
        shim = self.fleet.shims[n]
        shim.set(Field.WRITE_ERROR, 700)
        shim.set(Field.SYNC_ERROR, 500)
        threading.Timer(t.span, shim.clear).start()
        self.ban_and_kill(n, "decode-0")

    def ban(self, t: Trouble, n: int) -> None:
        self.ban_and_kill(n, t.engine)

    def ban_and_kill(self, n: int, engine: str) -> None:
        answer = self.fleet.call(n, f"set-down {engine}")
        if not answer.startswith("ok"):
            if answer and not answer.startswith("fail"):
                self.note(f"g{n} answered a ban with {answer!r}")
            return
        self.kill(Trouble(0, Kind.KILL, 0.05), n)
        again = self.fleet.call(n, f"set-down {engine}")
        if not again.endswith("is out already"):
            self.note(f"g{n} lost a ban that it had answered ok: {again!r}")
        self.fleet.call(n, f"set-up {engine}")

    def drain_gateway(self, t: Trouble, n: int) -> None:
        for line in ("drain-on", "drain-off"):
            answer = self.fleet.call(n, line)
            if not answer.startswith(("ok", "fail")):
                self.note(f"g{n} answered {line} with {answer!r}")
            time.sleep(t.span if line == "drain-on" else 0)

    def excuse(self, n: int, begin: float, end: float) -> None:
        with self.lock:
            self.excused.append((n, begin - EXCUSED_AROUND, end + EXCUSED_AROUND))

    # ------------------------------------------------------------ the load

    def pick(self, rng: random.Random) -> list[int]:
        now = time.monotonic()
        there = [n for n in range(self.file.gateways)
                 if n not in self.down or now < self.down[n] + FRONT_NOTICES]
        rng.shuffle(there)
        return there[:3]

    def client(self, number: int) -> None:
        """One client: mostly well-behaved."""
        rng = random.Random(f"{self.file.seed} client {number}")
        behave = rng.choices((self.asks, self.leaves, self.pipelines, self.stays_half, self.junk),
                             (80, 9, 6, 3, 2))[0]
        for n in self.pick(rng):
            with suppress(ConnectionRefusedError):
                if behave(rng, number, n):
                    return

    def draw_request(self, rng: random.Random, key: str, n: int) -> tuple[Asked, bytes]:
        cls = tuple(CLASSES)[rng.random() < 1 / 3]
        span = rng.uniform(*SPANS)
        body = b"x" * rng.randint(40_000, 250_000) if rng.random() < 0.05 else b'{"model":"chat"}'
        text = request(key, cls, f"c{rng.randrange(60)}", rng.randint(300, 4000), span, body)
        return Asked(key, cls, n, time.monotonic(), span), text

    def asks(self, rng: random.Random, number: int, n: int) -> bool:
        return self.converse(rng, n, [f"{number:08x}a{self.file.seed:x}"])

    def pipelines(self, rng: random.Random, number: int, n: int) -> bool:
        return self.converse(rng, n, [f"{number:08x}{turn}{self.file.seed:x}" for turn in "abc"])

    def converse(self, rng: random.Random, n: int, keys: list[str]) -> bool:
        """Sends these requests at once and reads their answers; False: nobody listened there."""
        with Connection(self.fleet.fronts[n], SPANS[1] + 25) as connection:
            drawn = [self.draw_request(rng, key, n) for key in keys]
            try:
                connection.send(b"".join(text for _, text in drawn))
                before = 0.0
                for asked, _ in drawn:
                    asked.behind = before
                    answer = connection.answer()
                    asked.how, asked.first = answer.how, answer.first
                    asked.ended = before = time.monotonic()
                    if answer.how == "broken":
                        break
            except OSError:
                if connection.port in self.fleet.net.unreached:
                    return False
                next(a for a, _ in drawn if not a.how).how = "unanswered"
        # What lies behind an answer that ends its connection was not read: a client sends it once more.
        for asked in [a for a, _ in drawn if a.how]:
            self.keep(asked)
        return True

    def leaves(self, rng: random.Random, number: int, n: int) -> bool:
        asked, text = self.draw_request(rng, f"{number:08x}d{self.file.seed:x}", n)
        with Connection(self.fleet.fronts[n], 5) as connection, suppress(OSError):
            connection.send(text)
            time.sleep(rng.choice((0.0, rng.uniform(0, 0.2), rng.uniform(0, 1.5))))
        asked.left, asked.how = time.monotonic(), "left"
        self.keep(asked)
        return True

    def stays_half(self, rng: random.Random, number: int, n: int) -> bool:
        """Half a request, and no more. A load beside the others; how it ends is not judged."""
        _, text = self.draw_request(rng, f"{number:08x}e{self.file.seed:x}", n)
        with Connection(self.fleet.fronts[n], 6) as connection, suppress(OSError):
            connection.send(text[:len(text) // 2])
            connection.sock.recv(100)
        return True

    def junk(self, rng: random.Random, number: int, n: int) -> bool:
        """Bytes that are no request. A load, too: how it ends is not judged."""
        with Connection(self.fleet.fronts[n], 6) as connection, suppress(OSError):
            connection.send(rng.randbytes(200) + b"\r\n\r\n")
            connection.sock.recv(100)
        return True

    def keep(self, asked: Asked) -> None:
        asked.closed = time.monotonic()
        with self.lock:
            self.record.asked.append(asked)

    # ------------------------------------------------------------ the run

    def run(self) -> dict[str, list[str]]:
        """The load with its troubles, and what broke each rule."""
        file, rng = self.file, random.Random(f"load {self.file.seed}")
        engines = sorted(json.loads(self.fleet.ask(self.fleet.control, "GET", "/state")[1])["engines"])
        self.troubles = draw(file.seed, file.seconds, file.gateways, engines, file.zones)
        self.zero = time.monotonic()
        self.fleet.net.zero = self.fleet.net.loop.now()
        threading.Thread(target=self.pace, daemon=True).start()
        moments: list[tuple[float, Callable[[], None]]] = [
            (t.at, lambda t=t: self.strike(t)) for t in self.troubles]
        at, number, threads = 0.0, 0, list[threading.Thread]()
        while (at := at + rng.expovariate(file.rate)) < file.seconds:
            threads.append(threading.Thread(target=self.client, args=(number,), daemon=True))
            moments.append((at, threads[-1].start))
            number += 1
        for at, begin in sorted(moments, key=lambda moment: moment[0]):
            time.sleep(max(0.0, self.zero + at - time.monotonic()))
            begin()
        for thread in threads:
            thread.join(SPANS[1] + 30)
        time.sleep(QUIET)
        self.audit()
        self.end_all()
        return verdict(self.record)

    def pace(self) -> None:
        """How late the soak's own processes are: a call through a relay to the emulator, again and again."""
        way = frozenset(("pace",))
        port = int(self.fleet.control.rpartition(":")[2])
        relay = self.fleet.net.do(lambda: self.fleet.net.tcp(way, way, port))
        while not self.ended:
            begin = time.monotonic()
            with suppress(OSError):
                self.fleet.ask(f"127.0.0.1:{relay}", "GET", "/pace")
            self.record.lag = max(self.record.lag, time.monotonic() - begin)
            time.sleep(PACE_EVERY)

    def audit(self) -> None:
        """The engines' side of the record, in the machine's clock, and what is excused."""
        for asked in self.record.asked:
            asked.excused = any(n == asked.gateway and begin <= asked.closed and end >= asked.sent
                                for n, begin, end in self.excused)
        found = json.loads(self.fleet.ask(self.fleet.control, "GET", "/audit")[1])
        zero = found["monotonic"] - found["now"]
        self.record.ran = [Ran(key, engine, role, zero + begun, told / 1000, end)
                           for key, engine, role, _, begun, _, end, told in found["attempts"]]
        self.record.drains = {engine: zero + at for engine, at in found["drains"].items()}
        self.record.held, self.record.fell = found["states"], found["fell"]
        self.ended = True

    def end_all(self) -> None:
        """Every gateway is told to end, and its log is read."""
        for n, part in enumerate(self.fleet.gateways):
            if part.process.poll() is not None:
                self.note(f"g{n} is not there at the end: status {part.process.returncode}")
            part.process.send_signal(signal.SIGTERM)
        for n, part in enumerate(self.fleet.gateways):
            self.end(n)
            lines = LOGGED.findall(part.before + part.path.read_text())
            self.record.logged += [f"g{n}: {line}" for line in lines]


def play(seed: int, seconds: float, gateways: int, rate: float, keep: str, cooperation: str) -> bool:
    """One run, told on standard output; True: no rule is broken."""
    file = DrillFile(gateways=gateways, seconds=seconds, rate=rate, seed=seed)
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        soak = Soak(folder, file, cooperation)
        try:
            soak.fleet.start()
            found = soak.run()
        finally:
            soak.fleet.close()
            if keep:
                shutil.copytree(folder, pathlib.Path(keep) / f"seed-{seed}", dirs_exist_ok=True)
    report(seed, soak, found)
    return holds(found)


def report(seed: int, soak: Soak, found: dict[str, list[str]]) -> None:
    """The troubles, what came of the requests, and the rules."""
    how = Counter(a.how for a in soak.record.asked)
    excused = sum(a.excused for a in soak.record.asked)
    failed_calls = sum(shim.get(Field.FAILED) for shim in soak.fleet.shims)
    click.echo(f"seed {seed}: {len(soak.fleet.parts)} processes, {len(soak.troubles)} troubles, "
               f"{len(soak.record.asked)} requests ({dict(sorted(how.items()))}, {excused} excused), "
               f"{len(soak.record.ran)} attempts, {failed_calls} system calls made to fail, "
               f"own lag {soak.record.lag:.2f} s")
    for trouble in soak.troubles:
        click.echo(f"  {trouble}")
    for rule, these in found.items():
        shown = f": {len(these)}: {these[:4]}" if these else ""
        click.echo(f"  {'BROKEN' if these else 'holds '}  {rule}{shown}")
