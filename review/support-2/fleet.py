"""The engine processes of a case, and the discovery that lists them."""

from __future__ import annotations

import json
import subprocess
import sys
import threading
import traceback
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple

from deployment import ROOT, Record, end_process

from standins.servers import Discovery

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
        self.port: int = json.loads(self.process.stdout.readline())["port"]
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


def run_case(
    folder: Path,
    groups: list[EngineGroup],
    play: Callable[[Record, list[EngineProcess]], int],
) -> int:
    """Start the engines and play a case; return its exit status."""
    record = Record(folder)
    engines: list[EngineProcess] = []
    try:
        for group in groups:
            engines.extend(
                EngineProcess(record, f"{group.kind}-{n}", group) for n in range(group.count)
            )
        return play(record, engines)
    except Exception:
        for line in traceback.format_exc().replace(str(ROOT), "ROOT").splitlines():
            record.write(line)
        return 2
    finally:
        for engine in engines:
            engine.end()
        record.close()
