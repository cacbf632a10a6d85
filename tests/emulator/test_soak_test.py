"""The soak: each rule finds a fault that is put in on purpose, and none where there is none."""

import os
import re
import subprocess
import sys

import pytest

from claycross.emulator.fault_plan import ENGINES, MOST_OUT, STEPS, FaultKind, draw_plan, role_of
from claycross.emulator.invariant_checkers import (
    CHECKERS,
    ClientRequest,
    EngineAttempt,
    MemoryPeak,
    MisbehavingClient,
    ReadinessCheck,
    ReservedState,
    RunRecord,
    all_hold,
    check_all,
    count_judged,
    interrupted_reads,
    unused,
)
from standins.servers import ROOT

FLEET = [f"prefill-{n}" for n in range(10)] + [f"decode-{n}" for n in range(14)]
ZONES = ("kigali", "huye", "musanze")


def good():
    """A record in which every rule holds, with something for each to look at."""
    return RunRecord(
        client_requests=[
            ClientRequest(
                "a", "browse", 0, sent=10.0, span=2.0, how="served", first=10.4, ended=11.0
            ),
            ClientRequest(
                "b", "licence", 1, sent=10.0, span=2.0, how="failed", first=12.3, ended=12.3
            ),
            ClientRequest("c", "browse", 0, sent=10.0, span=2.0, how="left", left=10.2),
            ClientRequest(
                "d", "licence", 2, sent=10.0, span=2.0, how="broken", first=10.5, ended=11.0
            ),
            ClientRequest(
                "e", "browse", 0, sent=10.0, span=1.0, how="refused", first=12.9, behind=12.5
            ),
            ClientRequest("f", "browse", 3, sent=10.0, span=1.0, how="unanswered", excused=True),
            ClientRequest(
                "g",
                "browse",
                0,
                sent=10.0,
                span=2.0,
                how="served",
                first=10.4,
                ended=10.7,
                delay=0.29,
            ),
            ClientRequest("h", "licence", 0, sent=10.0, span=2.0, how="crossed"),
        ],
        engine_attempts=[
            EngineAttempt("a", "prefill-0", "read", 10.1, 1.9, "read"),
            EngineAttempt("a", "decode-0", "write", 10.2, 1.8, "ok"),
            EngineAttempt("b", "decode-1", "write", 10.2, 1.8, "reset", ended=10.3),
            EngineAttempt("c", "prefill-1", "read", 10.25, 1.7, "gone"),
            EngineAttempt("d", "decode-2", "write", 10.3, 1.7, "first"),
        ],
        drains={"prefill-1": 10.1},
        engine_troubles=[(10.8, 11.5)],
        states_left=["f"],
        reserved_states=[
            ReservedState("a", "prefill-0", 10.15, 10.3),
            ReservedState("b", "prefill-2", 10.1, 10.7),
            ReservedState("f", "prefill-2", 10.1, 13.0),
        ],
        misbehaving_clients=[
            MisbehavingClient(0, 10.0, 12.9),
            MisbehavingClient(1, 10.0, 14.0, excused=True),
        ],
        readiness_checks=[ReadinessCheck(0, 10.0, 10.29)],
        memory_peaks=[MemoryPeak(0, 96.0, 96.0)],
        lags=[(40.0, 9.0)],
    )  # of another moment: it widens nothing


def test_every_rule_holds_where_there_is_no_fault():
    found = check_all(good())
    assert all_hold(found), found
    assert set(CHECKERS) < set(found)


def change(record, name, **values):
    for item in (*record.client_requests, *record.engine_attempts):
        if item.key == name:
            for field, value in values.items():
                if hasattr(item, field):
                    setattr(item, field, value)
                    break


def add(record, field, value):
    getattr(record, field).append(value)


@pytest.mark.parametrize(
    ("rule", "fault"),
    [
        ("answered once and in time", lambda r: change(r, "a", how="unanswered")),
        ("answered once and in time", lambda r: change(r, "a", first=12.6)),
        ("answered once and in time", lambda r: change(r, "e", first=13.1)),
        ("streams are passed on whole", lambda r: r.engine_troubles.clear()),
        (
            "a licence runs once at most",
            lambda r: add(
                r, "engine_attempts", EngineAttempt("b", "decode-5", "write", 11, 1, "first")
            ),
        ),
        (
            "nothing begins after a client has left",
            lambda r: add(
                r, "engine_attempts", EngineAttempt("c", "prefill-3", "read", 10.45, 1, "read")
            ),
        ),
        (
            "drained engines get nothing new",
            lambda r: add(
                r, "engine_attempts", EngineAttempt("a", "prefill-1", "read", 10.45, 1, "read")
            ),
        ),
        (
            "engines are told what is left",
            lambda r: add(
                r, "engine_attempts", EngineAttempt("a", "decode-4", "write", 10.5, 1.7, "ok")
            ),
        ),
        ("nothing stays held", lambda r: add(r, "states_left", "a")),
        (
            "what is held is used or let go in time",
            lambda r: setattr(r.reserved_states[1], "until", 11.0),
        ),
        (
            "what is held is used or let go in time",
            lambda r: add(r, "reserved_states", ReservedState("a", "prefill-9", 9.0, 9.7)),
        ),
        ("events are passed on at once", lambda r: change(r, "g", delay=0.35)),
        (
            "bad clients are ended in time",
            lambda r: setattr(r.misbehaving_clients[0], "closed", 13.1),
        ),
        (
            "a client that floods delays no other",
            lambda r: setattr(r.readiness_checks[0], "closed", 10.35),
        ),
        (
            "memory stays under its limit",
            lambda r: setattr(r.memory_peaks[0], "used_mb", 96.1),
        ),
        (
            "no request that was read is dropped",
            lambda r: add(
                r, "engine_attempts", EngineAttempt("h", "prefill-0", "read", 10.1, 1.9, "read")
            ),
        ),
        ("no engine falls in slow start", lambda r: setattr(r, "fell", 1)),
        ("processes live", lambda r: add(r, "process_failures", "g1 ended with -11")),
        ("no gateway counts a breach", lambda r: add(r, "logged", "g1: invariant name=one-end")),
        ("requests were asked and run", lambda r: r.engine_attempts.clear()),
    ],
)
def test_each_rule_finds_its_fault_and_no_other_does(rule, fault):
    record = good()
    fault(record)
    found = check_all(record)
    assert [name for name, these in found.items() if these] == [rule], found


def test_a_state_is_unused_while_no_attempt_is_out():
    """The clock runs from its read or from the end of an attempt that was out, to the next or its
    end.
    """
    state = ReservedState("a", "prefill-0", 10.0, 12.0)
    ran = [
        EngineAttempt("a", "decode-0", "write", 10.1, 1, "reset", ended=10.4),
        EngineAttempt("a", "decode-1", "write", 11.0, 1, "first", ended=11.9),
    ]
    begin, end = unused(state, ran)
    assert (begin, end) == (10.4, 11.0)
    assert unused(state, []) == (10.0, 12.0)
    assert unused(state, [EngineAttempt("a", "decode-0", "write", 10.1, 1, "gone")]) == (10.0, 10.1)


def test_only_a_read_that_a_later_attempt_overtook_may_leave_a_state_behind():
    rule = "what is held is used or let go in time"
    record = good()
    record.reserved_states.append(ReservedState("a", "prefill-3", 9.0, 9.9))
    record.engine_attempts.append(
        EngineAttempt("a", "prefill-3", "read", 8.9, 2.9, "gone", ended=9.0)
    )
    assert check_all(record)[rule]  # it came first
    record.engine_attempts.append(
        EngineAttempt("a", "prefill-4", "read", 8.8, 2.5, "reset", ended=8.85)
    )
    assert not check_all(record)[rule]  # the other was told less time, so it had been sent later


def test_a_read_whose_response_a_cut_holds_back_is_out_until_its_gateway_gives_it_up():
    rule = "what is held is used or let go in time"
    record = good()
    record.engine_attempts.append(
        EngineAttempt("a", "prefill-3", "read", 8.0, 3.0, "read", ended=8.1)
    )
    record.engine_attempts.append(
        EngineAttempt("a", "prefill-4", "read", 8.9, 2.1, "reset", ended=8.95)
    )
    record.reserved_states.append(ReservedState("a", "prefill-3", 8.1, 8.9))
    assert check_all(record)[rule]
    record.cuts.append((8.05, 8.9))
    assert not check_all(record)[rule]
    record.reserved_states[-1].until = 9.7
    assert check_all(record)[rule]  # the next attempt shows that it had been given up


def test_cases_of_each_rule_are_counted():
    record = good()
    judged = count_judged(record)
    assert judged["a licence runs once at most"] == 2
    assert judged["bad clients are ended in time"] == 1
    assert set(judged) < set(CHECKERS)
    assert interrupted_reads(record) == 0
    record.engine_attempts.append(EngineAttempt("a", "prefill-3", "read", 10.2, 1.5, "read"))
    assert interrupted_reads(record) == 1


def test_each_run_loses_responses_while_a_role_hangs():
    for seed in range(20):
        faults = draw_plan(seed, 7, 6, FLEET, ZONES)
        hangs = [f for f in faults if f.kind is FaultKind.ROLE_HANGS]
        lost = [f for f in faults if f.kind is FaultKind.RESPONSE_LOST]
        assert {f.zones[1] for f in lost} == set(ZONES)
        assert any(h.at <= f.at <= h.at + 3 * h.span for h in hangs for f in lost)


def test_the_lag_of_a_moment_widens_what_is_judged_there_alone():
    record = good()
    change(record, "a", first=12.6)
    assert check_all(record)["answered once and in time"]
    record.lags.append((12.0, 0.5))
    assert not check_all(record)["answered once and in time"]


def test_a_drain_that_could_not_be_told_binds_six_seconds_after_the_trouble():
    record = good()
    record.unreached = [(10.0, 12.0)]
    record.engine_attempts.append(EngineAttempt("a", "prefill-1", "read", 17.9, -9, "read"))
    assert not check_all(record)["drained engines get nothing new"]
    record.engine_attempts.append(EngineAttempt("a", "prefill-1", "read", 18.7, -9, "read"))
    assert len(check_all(record)["drained engines get nothing new"]) == 1


def test_the_troubles_of_a_seed_are_the_same_and_of_another_differ():
    runs = [draw_plan(seed, 30, 24, FLEET, ZONES) for seed in (1, 1, 2)]
    assert runs[0] == runs[1] != runs[2]


def test_troubles_overlap_reach_every_kind_and_leave_engines_to_serve():
    seen = set()
    for seed in range(60):
        troubles = draw_plan(seed, 30, 24, FLEET, ZONES)
        seen |= {t.kind for t in troubles}
        assert {t.value for t in troubles} <= {0, *STEPS}
        for kind in ("prefill", "decode"):
            assert (
                sum(t.kind in ENGINES and role_of(t.engine) == kind for t in troubles) <= MOST_OUT
            )
        begins = [t.at for t in troubles]
        assert any(b - a <= 0.8 for a, b in zip(begins, begins[1:], strict=False))
    assert seen == set(FaultKind)


def soak(*words, **environment):
    command = [
        sys.executable,
        "-m",
        "claycross",
        "soak",
        "--seconds",
        "7",
        "--gateways",
        "6",
        "--rate",
        "15",
    ]
    return subprocess.run(
        [*command, *words],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=120,
        env={**os.environ, **environment},
    )


@pytest.mark.parametrize("seed", [1, 3, 20], ids=["usual", "short deadlines", "2000 engines"])
def test_a_short_seed_breaks_no_rule(seed):
    done = soak("--seeds", str(seed))
    assert done.returncode == 0, done.stdout[-4000:] + done.stderr[-2000:]
    assert done.stdout.count("holds ") == len(CHECKERS) + 1


# Loaded into every process of the soak: the gateways take a draining engine for a ready one.
MUTATION = """
import sys
if "serve" in sys.argv:
    from claycross.discovery import watch as discovery
    discovery.STATES["Terminating"] = "ready"
"""


def test_gateways_that_send_to_a_draining_engine_are_found(tmp_path):
    """A fault put into the real program is told by the engines' record."""
    (tmp_path / "sitecustomize.py").write_text(MUTATION)
    done = soak("--seeds", "25", "--rate", "40", PYTHONPATH=f"{tmp_path}{os.pathsep}{ROOT}")
    assert done.returncode == 1, done.stdout[-4000:]
    assert re.search(r"BROKEN +drained engines get nothing new", done.stdout), done.stdout[-4000:]


# The tasks of the gateways never give way.
ENDLESS_TURNS = """
import sys
if "serve" in sys.argv:
    from claycross.net import event_loop
    event_loop.TURN_BUDGET_NS = 10**18
"""


def test_gateways_whose_tasks_never_give_way_are_found(tmp_path):
    (tmp_path / "sitecustomize.py").write_text(ENDLESS_TURNS)
    done = soak("--seeds", "1", PYTHONPATH=f"{tmp_path}{os.pathsep}{ROOT}")
    assert done.returncode == 1, done.stdout[-4000:]
    assert "BROKEN  a client that floods delays no other" in done.stdout, done.stdout[-4000:]


# The account of memory finds room for everything.
BOUNDLESS_SHARES = """
import sys
if "serve" in sys.argv:
    from claycross.requests import memory_account
    memory_account.MemoryAccount.fits = lambda *_: True
"""


def test_gateways_whose_account_of_memory_never_refuses_are_found(tmp_path):
    """Guards against the class of review case 7: what clients hold together has no bound."""
    (tmp_path / "sitecustomize.py").write_text(BOUNDLESS_SHARES)
    done = soak("--seeds", "1", PYTHONPATH=f"{tmp_path}{os.pathsep}{ROOT}")
    assert done.returncode == 1, done.stdout[-4000:]
    assert "BROKEN  memory stays under its limit" in done.stdout, done.stdout[-4000:]


@pytest.mark.parametrize("seeds", ["x", "1-", "5-1", ""])
def test_seeds_that_are_none_are_a_clear_error(seeds):
    done = soak("--seeds", seeds)
    assert done.returncode == 2 and "seeds" in done.stderr and "Traceback" not in done.stderr
