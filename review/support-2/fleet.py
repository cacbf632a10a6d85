"""The engine processes of a case, and the discovery that lists them."""

from __future__ import annotations

import json
import signal
import subprocess
import sys
import threading
import traceback
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple

from deployment import ROOT, Record, end_process

from standins.servers import Discovery

MAX_RUN_S = 110  # a case is ended then; the issue allows 120 s
ENDING_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGALRM)
ENGINE_PROGRAM = Path(__file__).with_name("engine.py")


class EngineGroup(NamedTuple):
    """Engines of one kind."""

    kind: str
    role: str  # as engine.py takes it
    work: float  # seconds for a request
    count: int
    pace: float = 0.002  # seconds between two events of a stream


class EngineProcess:
    """One engine, and what it has reported so far."""

    def __init__(self, record: Record, uid: str, group: EngineGroup):
        self.record = record
        self.uid = uid
        self.kind = group.kind
        self.process = subprocess.Popen(
            [sys.executable, str(ENGINE_PROGRAM), group.role, str(group.work), str(group.pace)],
            stdout=subprocess.PIPE,
            text=True,
        )
        assert self.process.stdout is not None
        try:
            self.port: int = json.loads(self.process.stdout.readline())["port"]
        except BaseException:
            self.end()
            raise
        self.reports: list[dict[str, Any]] = []
        self.has_reported = threading.Event()
        threading.Thread(target=self.read_reports, daemon=True).start()

    def read_reports(self) -> None:
        """Record what the engine reports, until it ends."""
        assert self.process.stdout is not None
        for line in self.process.stdout:
            fields = json.loads(line)
            self.reports.append(fields)
            self.record.write(
                f"engine {self.uid} {fields['event']} {fields.get('key', '')}", fields["last"]
            )
            self.has_reported.set()

    def runs(self) -> list[dict[str, Any]]:
        """Return the requests whose last byte has arrived."""
        return [fields for fields in self.reports if fields["event"] == "run"]

    def target(self, state: str = "Ready") -> dict[str, Any]:
        """Return the engine's entry in discovery's list."""
        return {
            "uid": self.uid,
            "endpoint": f"127.0.0.1:{self.port}",
            "az": "kigali",
            "model": self.kind,
            "pod_group": 0,
            "state": state,
            "capacity_hint": 1.0,
            "boot_ms": 0,
        }

    def end(self) -> None:
        """End the engine's process."""
        end_process(self.process)


def discovery_of(engines: list[EngineProcess]) -> Discovery:
    """Return a discovery that lists these engines."""
    discovery = Discovery().start()
    for engine in engines:
        discovery.targets[engine.uid] = engine.target()
    return discovery


class CaseEndedError(Exception):
    """The case was ended by a signal or has taken too long."""


def end_case(signal_number: int, _frame: object) -> None:
    """Handle a signal that ends the case; what it has started is ended on the way."""
    for number in ENDING_SIGNALS:
        signal.signal(number, signal.SIG_IGN)
    raise CaseEndedError(signal.Signals(signal_number).name)


def run_case(
    record_path: Path,
    groups: list[EngineGroup],
    play: Callable[[Record, list[EngineProcess]], int],
) -> int:
    """Start the engines and play a case; return its exit status.

    A case that is ended by a signal, or takes longer than MAX_RUN_S, ends what it has started.
    """
    record = Record(record_path)
    engines: list[EngineProcess] = []
    try:
        for number in ENDING_SIGNALS:
            signal.signal(number, end_case)
        signal.alarm(MAX_RUN_S)
        for group in groups:
            engines.extend(
                EngineProcess(record, f"{group.kind}-{n}", group) for n in range(group.count)
            )
        status = play(record, engines)
        signal.alarm(0)
    except Exception:
        for line in traceback.format_exc().replace(str(ROOT), "ROOT").splitlines():
            record.write(line)
        status = 2
    finally:
        for number in ENDING_SIGNALS:
            signal.signal(number, signal.SIG_IGN)
        for engine in engines:
            engine.end()
        record.close()
    return status
