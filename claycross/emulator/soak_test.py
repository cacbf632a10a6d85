"""A soak: a few dozen real processes on loopback, storms of troubles that overlap, and a judgement
by rules.

Owns the run: the gateways with their shims, the load with clients that misbehave, the troubles as
they were drawn (troubles.py), and the record that the rules are judged by (judges.py). It must
never call a run good that saw nothing, excuse what a rule does not, or leave a process behind.
"""

from __future__ import annotations

import json
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time
from collections.abc import Callable
from contextlib import suppress

import click
import msgspec

from .fault_plan import FaultKind, PlannedFault, draw_plan, role_of
from .fault_proxy import Fault
from .fault_scenario import ScenarioFile, play_load
from .fleet_file import plain_fleet
from .flooding_client import flood
from .invariant_checkers import (
    EngineAttempt,
    MemoryPeak,
    ReservedState,
    RunRecord,
    all_hold,
    check_all,
)
from .soak_clients import SPANS, SoakClients
from .soak_gateways import MEMORY_LIMIT_MB, GatewayProcesses
from .soak_report import RunSummary, report
from .system_faults import Field
from .unfinished_clients import send_unfinished

# Seconds before and after a gateway's death in which its requests are excused.
EXCUSED_AROUND = 0.05
AFTER_STOP = 0.5  # seconds until a gateway that was stopped has caught up
ENDS_WITHIN = 8.0  # seconds after SIGTERM, where nobody kills
# SIGKILL comes so long after the longest deadline, counted as 3 s at most; what came within the
# second of these spans after SIGTERM may still be unanswered then.
LONGEST_COUNTED, KILL_AFTER_DEADLINE = 3.0, 0.7
SERIES = (
    (signal.SIGHUP, signal.SIGHUP, signal.SIGTERM),
    (signal.SIGHUP, signal.SIGTERM),
    (signal.SIGTERM, signal.SIGTERM),
    (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM),
)
SIGNAL_GAP = 0.03  # seconds between two of a series, at most
CROWD = 480  # idle connections, about as many as a gateway takes
# Of a role that hangs: times, share, seconds between.
HANG_TIMES, HANG_SHARE, HANG_PAUSE = 3, 0.8, 0.4
# Of the seeds: with short deadlines; with many engines and few gateways.
SHORT_EVERY, LARGE_EVERY = 4, 10
SHORT_DEADLINE = 1.2  # seconds
LARGE_ENGINES, LARGE_GATEWAYS = 2000, 2
READY_WITHIN = 10.0
KB, MB = 1024, 1_000_000  # bytes: of the system's figures, of the gateways' settings
PACE_EVERY = 0.05  # seconds between looks how late the soak itself is
QUIET = 1.5  # seconds without load, until what is held is looked at
FRONT_NOTICES = 0.35  # seconds until clients send nothing more to a gateway that is not there
CALL_RATES = (
    (Field.ACCEPT, 300),
    (Field.SOCKET, 150),
    (Field.CONNECT, 150),
    (Field.SHORT_IO, 400),
    (Field.POLL_EINTR, 300),
)  # thousandths of the calls
LOGGED = re.compile(r"^.*(?:invariant name=|unexpected where=|Traceback).*$", re.MULTILINE)
# Faults that may break streams, and for how long after their span: a silent engine's stream is
# ended after 4.5 s without an event.
TROUBLE_LASTS = {
    FaultKind.ROLE_HANGS: 10.0,
    FaultKind.ENGINE_RESTART: 0.5,
    FaultKind.ENGINE_SILENT: 6.0,
    FaultKind.CUT: 5.0,
    FaultKind.RESET: 0.5,
    FaultKind.RESPONSE_LOST: 0.5,
}
UNREACHED = (FaultKind.STALL, FaultKind.RELOAD, FaultKind.STOP, FaultKind.CALLS)


class SoakTest:
    """One run."""

    def __init__(self, folder: pathlib.Path, file: ScenarioFile, cooperation: str):
        self.fleet = GatewayProcesses(folder, file, cooperation)
        self.fleet.deadline = SHORT_DEADLINE if file.seed % SHORT_EVERY == SHORT_EVERY - 1 else 0.0
        longest = self.fleet.deadline or SPANS[1]
        self.spans = (0.5 * longest, longest) if self.fleet.deadline else SPANS
        self.kill_after = min(longest, LONGEST_COUNTED) + KILL_AFTER_DEADLINE
        self.planned: list[tuple[int, float, float]] = []  # gateway, SIGTERM, SIGKILL
        self.file, self.record, self.lock = file, RunRecord(), threading.Lock()
        self.clients = SoakClients(self.fleet, file.seed, self.spans, self.record, self.pick)
        self.down: dict[int, float] = {}  # gateway -> since when clients know that it is not there
        self.excused: list[tuple[int, float, float]] = []  # gateway, from, to
        self.troubles: list[PlannedFault] = []
        self.bans: dict[int, str] = {}
        self.memory_peaks: dict[int, float] = {}  # by gateway, in MB
        self.zero, self.ended = 0.0, False
        self.injectors: dict[FaultKind, Callable[[PlannedFault, int], None]] = {
            FaultKind.KILL: self.kill,
            FaultKind.RESTART: self.restart,
            FaultKind.HOLD_UP: self.hold_up,
            FaultKind.SIGNALS: self.signals,
            FaultKind.CROWD: self.crowd,
            FaultKind.STOP: self.stop,
            FaultKind.RELOAD: lambda t, n: self.fleet.reload(n),
            FaultKind.CALLS: self.calls,
            FaultKind.CLOCK: self.clock,
            FaultKind.DISK: self.disk,
            FaultKind.BAN: self.ban,
            FaultKind.DRAIN_GATEWAY: self.drain_gateway,
            FaultKind.FLOOD: self.flood,
            FaultKind.UNFINISHED: self.unfinished,
        }

    # ------------------------------------------------------------ troubles

    def inject(self, t: PlannedFault) -> None:
        """Begins one trouble; each gateway's has a thread of its own."""
        now = time.monotonic()
        if t.kind in UNREACHED:
            self.record.unreached.append(
                (now, now + t.span + (0.5 if t.kind is FaultKind.STOP else 0.1))
            )
        if t.kind in TROUBLE_LASTS:
            self.record.engine_troubles.append((now, now + t.span + TROUBLE_LASTS[t.kind]))
        if t.kind is FaultKind.CUT:
            self.record.cuts.append((now, now + t.span))
        if t.kind in self.injectors:
            for n in t.gateways:
                threading.Thread(target=self.run_injector, args=(t, n), daemon=True).start()
        elif t.kind in (FaultKind.CUT, FaultKind.RESET, FaultKind.RESPONSE_LOST):
            self.fleet.net.faults += faults_of_ways(t)
        else:
            threading.Thread(target=self.at_engines, args=(t,), daemon=True).start()

    def run_injector(self, t: PlannedFault, n: int) -> None:
        try:
            self.injectors[t.kind](t, n)
        except (OSError, click.ClickException) as err:
            self.note(f"g{n} {t.kind}: {err}")

    def note(self, text: str) -> None:
        with self.lock:
            self.record.process_failures.append(text)

    def at_engines(self, t: PlannedFault) -> None:
        """Troubles of engines and of discovery, asked of the emulator."""

        def ask(**words: object) -> None:
            body = json.dumps(words).encode()
            status, text, _ = self.fleet.ask(self.fleet.control, "POST", "/trouble", body)
            if status != 204:
                self.note(f"the emulator refused {words}: {text!r}")

        match t.kind:
            case FaultKind.STALL:
                ask(do="stall")
                time.sleep(t.span)
                ask(do="go-on")
            case FaultKind.ENGINE_DRAIN:
                ask(do="drain", engine=t.engine)
            case FaultKind.ENGINE_SLOW:
                ask(do="slow", engine=t.engine, times=4, for_s=t.span)
            case FaultKind.ENGINE_SILENT:
                ask(do="silent", engine=t.engine)
            case FaultKind.ROLE_HANGS:
                there = json.loads(self.fleet.ask(self.fleet.control, "GET", "/state")[1])[
                    "engines"
                ]
                these = sorted(name for name in there if role_of(name) == t.engine)
                for _ in range(HANG_TIMES):
                    for name in these[: int(HANG_SHARE * len(these))]:
                        ask(do="silent", engine=name)
                    time.sleep(t.span)
                    for name in these[: int(HANG_SHARE * len(these))]:
                        ask(do="resume", engine=name)
                    time.sleep(HANG_PAUSE)
            case FaultKind.ENGINE_RESTART:
                ask(do="kill", engine=t.engine)
                time.sleep(t.span)
                ask(do="start", engine=t.engine)

    def kill(self, t: PlannedFault, n: int) -> None:
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
        part.wait_for_log("serving listen")
        while not self.fleet.call(n, "check").startswith("ok"):
            if time.monotonic() - begin > READY_WITHIN:
                return self.note(f"g{n} is not ready {READY_WITHIN} s after its start")
            time.sleep(0.02)
        self.down.pop(n, None)

    def restart(self, t: PlannedFault, n: int) -> None:
        """SIGTERM, and SIGKILL as early as it may come; clients use their connections until
        then.
        """
        self.stop_by((signal.SIGTERM,), n)

    def signals(self, t: PlannedFault, n: int) -> None:
        self.stop_by(SERIES[t.series], n)

    def stop_by(self, series: tuple[signal.Signals, ...], n: int) -> None:
        """These signals, soon after each other, the end by SIGTERM or by the kill, and a new
        process.
        """
        part, told = self.fleet.gateways[n], 0.0
        for number in series:
            if number is signal.SIGHUP:
                self.fleet.reload(n)
            else:
                part.process.send_signal(number)
                told = told or time.monotonic()
            time.sleep(random.Random(f"{self.file.seed} {n} {number}").uniform(0, SIGNAL_GAP))
        self.down[n] = told
        try:
            status = part.process.wait(max(0.0, told + self.kill_after - time.monotonic()))
        except subprocess.TimeoutExpired:
            part.process.kill()
            part.process.wait()
            with self.lock:
                self.planned.append((n, told, time.monotonic()))
        else:
            if status != 0:
                self.note(f"g{n} ended with {status} after {series}")
        self.begin(n)

    def crowd(self, t: PlannedFault, n: int) -> None:
        """Idle clients take the places of others."""
        idle = []
        with suppress(OSError):
            for _ in range(CROWD):
                idle.append(
                    socket.create_connection(("127.0.0.1", self.fleet.fronts[n]), timeout=2)
                )
        time.sleep(t.span)
        for sock in idle:
            sock.close()

    def flood(self, t: PlannedFault, n: int) -> None:
        self.record.readiness_checks += flood(n, self.fleet.fronts[n], t.span)

    def unfinished(self, t: PlannedFault, n: int) -> None:
        """Clients that do not finish their requests, on connections of their own."""
        send_unfinished(self.fleet.listens[n], t.span)

    def end(self, n: int) -> None:
        part = self.fleet.gateways[n]
        try:
            status = part.process.wait(ENDS_WITHIN)
        except Exception:
            part.process.kill()
            part.process.wait()
            return self.note(f"g{n} did not end within {ENDS_WITHIN} s of SIGTERM")
        if status != 0:
            self.note(f"g{n} ended with {status} after SIGTERM")

    def hold_up(self, t: PlannedFault, n: int) -> None:
        process = self.fleet.gateways[n].process
        process.send_signal(signal.SIGSTOP)
        time.sleep(t.span)
        process.send_signal(signal.SIGCONT)

    def stop(self, t: PlannedFault, n: int) -> None:
        begin = time.monotonic()
        self.hold_up(t, n)
        self.excuse(n, begin, time.monotonic() + AFTER_STOP)

    def calls(self, t: PlannedFault, n: int) -> None:
        shim = self.fleet.shims[n]
        for field, rate in CALL_RATES:
            shim.set(field, rate)
        time.sleep(t.span)
        shim.clear()

    def clock(self, t: PlannedFault, n: int) -> None:
        self.fleet.shims[n].set(Field.WALL_OFFSET_NS, t.value * 10**9)

    def disk(self, t: PlannedFault, n: int) -> None:
        """The folder fails while an operator calls; what is answered ok has to outlive a kill."""
        shim = self.fleet.shims[n]
        shim.set(Field.WRITE_ERROR, 700)
        shim.set(Field.SYNC_ERROR, 500)
        threading.Timer(t.span, shim.clear).start()
        self.ban_and_kill(n, "decode-0")

    def ban(self, t: PlannedFault, n: int) -> None:
        self.ban_and_kill(n, t.engine)

    def ban_and_kill(self, n: int, engine: str) -> None:
        answer = self.fleet.call(n, f"set-down {engine}")
        if not answer.startswith("ok"):
            if answer and not answer.startswith("fail"):
                self.note(f"g{n} answered a ban with {answer!r}")
            return
        self.kill(PlannedFault(0, FaultKind.KILL, 0.05), n)
        again = self.fleet.call(n, f"set-down {engine}")
        if not again.endswith("is out already"):
            self.note(f"g{n} lost a ban that it had answered ok: {again!r}")
        self.fleet.call(n, f"set-up {engine}")

    def drain_gateway(self, t: PlannedFault, n: int) -> None:
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
        there = [
            n
            for n in range(self.file.gateways)
            if n not in self.down or now < self.down[n] + FRONT_NOTICES
        ]
        rng.shuffle(there)
        return there[:3]

    # ------------------------------------------------------------ the run

    def run(self) -> dict[str, list[str]]:
        """The load with its troubles, and what broke each rule."""
        file, rng = self.file, random.Random(f"load {self.file.seed}")
        engines = sorted(
            json.loads(self.fleet.ask(self.fleet.control, "GET", "/state")[1])["engines"]
        )
        self.troubles = draw_plan(file.seed, file.seconds, file.gateways, engines, file.zones)
        self.zero = time.monotonic()
        self.fleet.net.zero = self.fleet.net.loop.now()
        threading.Thread(target=self.pace, daemon=True).start()
        moments: list[tuple[float, Callable[[], None]]] = [
            (t.at, lambda t=t: self.inject(t)) for t in self.troubles
        ]
        play_load(file, rng, self.zero, moments, self.clients.run, SPANS[1] + 30)
        time.sleep(QUIET)
        self.audit()
        self.end_all()
        return check_all(self.record)

    def pace(self) -> None:
        """How late the soak's own processes are: a call through a relay to the emulator, again and
        again.
        """
        way = frozenset(("pace",))
        port = int(self.fleet.control.rpartition(":")[2])
        relay = self.fleet.net.do(lambda: self.fleet.net.tcp(way, way, port))
        while not self.ended:
            begin = time.monotonic()
            with suppress(OSError):
                self.fleet.ask(f"127.0.0.1:{relay}", "GET", "/pace")
            self.record.lags.append((begin, time.monotonic() - begin))
            self.measure_memory()
            time.sleep(PACE_EVERY)

    def measure_memory(self) -> None:
        """Keep the greatest memory of each gateway so far."""
        for n, part in enumerate(self.fleet.gateways):
            used_mb = part.memory_kb("RssAnon") * KB / MB
            self.memory_peaks[n] = max(self.memory_peaks.get(n, 0.0), used_mb)

    def audit(self) -> None:
        """The engines' side of the record, in the machine's clock, and what is excused."""
        for asked in self.record.client_requests:
            asked.excused = self.is_excused(asked.gateway, asked.sent, asked.closed) or any(
                n == asked.gateway
                and asked.sent <= told + KILL_AFTER_DEADLINE
                and asked.closed >= killed - EXCUSED_AROUND
                for n, told, killed in self.planned
            )
        for bad in self.record.misbehaving_clients:
            bad.excused = self.is_excused(bad.gateway, bad.sent, bad.closed)
        found = json.loads(self.fleet.ask(self.fleet.control, "GET", "/audit")[1])
        zero = found["monotonic"] - found["now"]
        self.record.engine_attempts = [
            EngineAttempt(
                key,
                engine,
                role,
                zero + begun,
                told / 1000,
                end,
                ended and zero + ended,
                zero + came,
            )
            for key, engine, role, _, begun, ended, end, told, came in found["attempts"]
        ]
        self.record.reserved_states = [
            ReservedState(key, engine, zero + since, zero + until)
            for key, engine, since, until in found["held"]
        ]
        self.record.drains = {engine: zero + at for engine, at in found["drains"].items()}
        self.record.memory_peaks = [
            MemoryPeak(n, used_mb, MEMORY_LIMIT_MB) for n, used_mb in self.memory_peaks.items()
        ]
        self.record.states_left, self.record.fell = found["states"], found["fell"]
        self.ended = True

    def summary(self) -> RunSummary:
        """What the report names of this run."""
        return RunSummary(
            seed=self.file.seed,
            processes=len(self.fleet.parts),
            faults=self.troubles,
            failed_calls=sum(shim.get(Field.FAILED) for shim in self.fleet.shims),
            killed=len(self.planned),
            longest_deadline_s=self.spans[1],
        )

    def is_excused(self, gateway: int, begin: float, end: float) -> bool:
        """Whether its gateway was killed, or stopped for longer than allowed, in that time."""
        return any(
            n == gateway and since <= end and until >= begin for n, since, until in self.excused
        )

    def end_all(self) -> None:
        """Every gateway is told to end, and its log is read."""
        for n, part in enumerate(self.fleet.gateways):
            if part.process.poll() is not None:
                self.note(f"g{n} is not there at the end: status {part.process.returncode}")
            part.process.send_signal(signal.SIGTERM)
        for n, part in enumerate(self.fleet.gateways):
            self.end(n)
            lines = LOGGED.findall(part.earlier_log + part.path.read_text())
            self.record.logged += [f"g{n}: {line}" for line in lines]


def faults_of_ways(planned: PlannedFault) -> list[Fault]:
    """The faults between the gateways of a zone and the engines of another."""
    gateways = frozenset(("gateways", planned.zones[0]))
    engines = frozenset(("engines", planned.zones[1]))
    end = planned.at + planned.span
    if planned.kind is FaultKind.RESPONSE_LOST:
        return [Fault("swallow", engines, gateways, planned.at, end)]
    ways = ((gateways, engines), (engines, gateways))
    return [Fault(str(planned.kind), a, b, planned.at, end) for a, b in ways]


def large_fleet(folder: pathlib.Path) -> pathlib.Path:
    """The file of a fleet with many engines."""
    path = folder / "large-fleet.toml"
    path.write_text(plain_fleet(LARGE_ENGINES, output_tokens=40))
    return path


def run_seed(
    seed: int, seconds: float, gateways: int, rate: float, keep: str, cooperation: str
) -> bool:
    """One run, told on standard output; True: no rule is broken."""
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        file = ScenarioFile(gateways=gateways, seconds=seconds, rate=rate, seed=seed)
        if seed % LARGE_EVERY == 0:
            file = msgspec.structs.replace(
                file, gateways=LARGE_GATEWAYS, fleet=str(large_fleet(folder))
            )
        soak = SoakTest(folder, file, cooperation)
        try:
            soak.fleet.start()
            found = soak.run()
        finally:
            soak.fleet.close()
            if keep:
                shutil.copytree(folder, pathlib.Path(keep) / f"seed-{seed}", dirs_exist_ok=True)
    report(soak.summary(), soak.record, found)
    return all_hold(found)
