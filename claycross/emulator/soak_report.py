"""The report of a soak test on standard output."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from typing import NamedTuple

import click

from .fault_plan import PlannedFault
from .invariant_checkers import RunRecord, count_judged

MAX_SHOWN = 4  # violations of a rule that are printed


class RunSummary(NamedTuple):
    """What a report names of a run beside its record."""

    seed: int
    processes: int
    faults: Sequence[PlannedFault]
    failed_calls: int  # system calls made to fail
    killed: int  # gateways killed at the earliest time after SIGTERM
    longest_deadline_s: float


def report(summary: RunSummary, record: RunRecord, found: dict[str, list[str]]) -> None:
    """Print the faults of a run, what became of the requests, and the rules with their cases.

    The rule about held states counts those that interrupted reads left.
    """
    how = dict(sorted(Counter(request.how for request in record.client_requests).items()))
    excused = sum(request.excused for request in record.client_requests)
    click.echo(
        f"seed {summary.seed}: {summary.processes} processes, {len(summary.faults)} troubles, "
        f"{len(record.client_requests)} requests ({how}, {excused} excused), "
        f"{len(record.engine_attempts)} attempts, "
        f"{summary.failed_calls} system calls made to fail, "
        f"{len(record.reserved_states)} states, "
        f"{summary.killed} killed at the end of their time, "
        f"deadlines {summary.longest_deadline_s:.1f} s, "
        f"own lag {max((lag for _, lag in record.lags), default=0.0):.2f} s"
    )
    for fault in summary.faults:
        click.echo(f"  {fault}")
    judged = count_judged(record)
    for rule, these in found.items():
        tried = f" ({judged[rule]} cases)" if rule in judged else ""
        shown = f": {len(these)}: {these[:MAX_SHOWN]}" if these else ""
        click.echo(f"  {'BROKEN' if these else 'holds '}  {rule}{tried}{shown}")
