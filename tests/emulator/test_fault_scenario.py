"""Many processes of the program with faults between them; and the audit, which must be able to
fail.
"""

import json
import re
import subprocess
import sys
import threading

import pytest

from claycross.config.operator_files import CooperationConfig, read
from claycross.config.settings import ConfigurationError
from claycross.emulator.fault_scenario import (
    Answer,
    ScenarioFault,
    ScenarioFile,
    audit,
    run_scenario,
)
from claycross.fleet.leases import rendezvous_order
from standins.servers import ROOT

HEAD = "gateways = {0}\nseconds = {1}\nrate = 8\n"


def trouble(**keys):
    def toml(value):
        if isinstance(value, dict):
            return "{" + ", ".join(f"{k} = {toml(v)}" for k, v in value.items()) + "}"
        return json.dumps(value)

    return "[[trouble]]\n" + "".join(f"{k.rstrip('_')} = {toml(v)}\n" for k, v in keys.items())


@pytest.fixture
def play(tmp_path, capsys):
    """Runs a drill of that many gateways and seconds; its report."""

    def run(gateways, seconds, *troubles, plain=False, sums_above=40):
        path, out, together = tmp_path / "d.toml", tmp_path / "d.json", tmp_path / "c.toml"
        path.write_text(HEAD.format(gateways, seconds) + "".join(troubles))
        together.write_text(f"[sums]\nabove = {sums_above}\n")
        held = run_scenario(str(path), 0, 0, plain, str(out), "", str(together))
        report = json.loads(out.read_text())
        assert held == report["holds"]
        assert held, (report["broken"], report["answers"], capsys.readouterr().out[-2000:])
        return report

    return run


def changes(report, word):
    """(seconds of Unix time, gateway, member or "") of each such line."""
    found = [
        re.match(rf"(\S+) (\S+) (?:member number=(\d+) )?.*{word}", line)
        for line in report["members"]
    ]
    return [(float(m[1]), m[2], m[3] or "") for m in found if m]


def test_killed_paused_and_restarted_gateways_are_seen_as_such_by_the_others(play):
    report = play(
        5,
        11,
        trouble(at_s=1.5, do="kill", gateways=[1]),
        trouble(at_s=2, do="pause", gateways=[2], for_s=5),
        trouble(at_s=3, do="kill", gateways=[3]),
        trouble(at_s=3.1, do="start", gateways=[3]),
    )
    gone = changes(report, "state=gone")
    assert {(g, m) for _, g, m in gone if m == "1"} >= {("g0", "1"), ("g4", "1")}
    assert not {m for _, _, m in gone} - {"1", "2", "3"}
    back = {g for _, g, m in changes(report, "state=serving was=(gone|suspect)") if m == "2"}
    assert back >= {"g0", "g4"}
    again = {
        int(m)
        for line in report["members"]
        if " g0 member number=3 " in line
        for m in re.findall(r"incarnation=(\d+)", line)
    }
    assert (
        len(again) <= 2
    )  # the first process's and the second's; the second is never taken for gone
    last = [
        line
        for line in report["members"]
        if " member number=3 " in line and "was=unknown" not in line
    ]
    assert not [line for line in last if "state=gone" in line]


def test_a_zone_and_a_gateway_that_are_cut_off_know_it_and_come_back(play):
    """Six gateways in three zones: huye's don't hear the others' for 9 s; later g0 hears nobody."""
    zones = [
        trouble(at_s=1.5, for_s=9, do="cut", from_="gateways huye", to=f"gateways {z}")
        for z in ("kigali", "musanze")
    ]
    report = play(
        6, 22, *zones, trouble(at_s=13, for_s=4, do="cut", from_="gateways", to="g0", both=False)
    )
    assert {g for _, g, _ in changes(report, "isolation-changed from=zone")} >= {"g1", "g4"}
    said = {line.split()[1]: line for line in report["members"] if " isolation-changed " in line}
    assert all("from=nobody" in line for line in said.values()), said
    assert {g for _, g, _ in changes(report, "isolation-changed from=alone")} >= {"g0"}
    gone = changes(report, "state=gone")
    assert {m for _, g, m in gone if g in ("g0", "g2", "g3", "g5")} >= {"1", "4"}
    assert not [
        x for x in gone if x[1] in ("g1", "g4") and x[2] not in ("1", "4")
    ]  # they have no voice
    state = {}
    for line in report["members"]:
        if m := re.match(r"\S+ (\S+) member number=(\d+) state=(\w+)", line):
            state[m[1], m[2]] = m[3]
    assert set(state.values()) == {"serving"}, state


def test_a_rolling_restart_beside_loss_and_doubling_loses_nothing(play):
    stops = [trouble(at_s=1.5 + 4.5 * k, do="restart", gateways=[2 * k, 2 * k + 1]) for k in (0, 1)]
    report = play(
        4,
        16,
        *stops,
        trouble(at_s=1, for_s=15, do="loss", share=0.3, from_="gateways", to="gateways"),
        trouble(at_s=1, for_s=15, do="double", share=0.3, from_="gateways", to="gateways"),
        trouble(at_s=1, for_s=15, do="delay", ms=15, from_="gateways", to="gateways"),
        trouble(at_s=3, do="engine", engine={"do": "drain", "engine": "decode-3"}),
    )
    assert {m for _, _, m in changes(report, "state=stopping")} == {"0", "1", "2", "3"}
    assert not [x for x in changes(report, "state=gone was=suspect")]


def test_a_collector_that_is_killed_paused_and_stopped_is_followed_by_the_next(play):
    """Five gateways of which one collects what all have in hand: it is killed, the next is paused
    and woken, the first starts again and is told to stop. Nothing is lost by it, and all agree at
    the end.
    """
    first, second, *_ = rendezvous_order("sums 0", range(5))
    report = play(
        5,
        20,
        trouble(at_s=2, do="kill", gateways=[first]),
        trouble(at_s=5, do="pause", gateways=[second], for_s=4),
        trouble(at_s=11, do="start", gateways=[first]),
        trouble(at_s=14, do="restart", gateways=[first]),
        sums_above=2,
    )
    said = [
        (float(m[1]), m[2], int(m[3]))
        for line in report["members"]
        if (m := re.match(r"(\S+) (\S+) .*sums slot=0 collector=(\d+)", line))
    ]
    others = {f"g{n}" for n in range(5)} - {f"g{first}", f"g{second}"}
    for g in others:
        held = [collector for _, who, collector in said if who == g]
        assert held[:2] == [second, rendezvous_order("sums 0", range(5))[2]], held  # killed; paused
        assert held[2] == second and first in held[3:] and held[-1] == first, held
    passed = [min(at for at, who, c in said if who == g and c == second) for g in others]
    assert max(passed) - min(passed) < 1.5


def test_the_same_without_cooperation_says_nothing_of_members(play):
    assert not play(3, 4, plain=True)["members"]


# ------------------------------------------------------------ the audit can fail


def record(key="k", engine="p-0", role="read", cls="browse", begin=1.0, end=1.2, what="read"):
    return [key, engine, role, cls, begin, end, what]


def audit_log(*attempts, **over):
    seen = list(attempts) or [record()]
    return {"now": 20.0, "attempts": seen, "drains": {}, "fell": 0, "states": [], **over}


ONCE = record(cls="licence", role="write", what="first")
TWICE = record(cls="licence", role="write", what="ok", begin=2.0, end=2.5)
GOOD = Answer("k", "browse", 0, 1.0, "served", 0.3)


@pytest.mark.parametrize(
    ("rule", "answers", "seen", "dead"),
    [
        (
            "answered once and in time",
            [Answer("k", "browse", 0, 1.0, "broken", 0.3)],
            audit_log(),
            [],
        ),
        (
            "answered once and in time",
            [Answer("k", "browse", 0, 1.0, "refused", 7.0)],
            audit_log(),
            [],
        ),
        ("licence runs once at most", [GOOD], audit_log(ONCE, TWICE), []),
        (
            "drained engines get nothing new",
            [GOOD],
            audit_log(record(begin=5.4), drains={"p-0": 5.0}),
            [],
        ),
        ("nothing stays held", [GOOD], audit_log(states=["k"]), []),
        ("no engine falls over", [GOOD], audit_log(fell=1), []),
        ("processes live", [GOOD], audit_log(), ["g1"]),
        (
            "one attempt at a time",
            [GOOD],
            audit_log(record(end=3.0), record(engine="p", begin=2.0, end=4.0)),
            [],
        ),
    ],
)
def test_each_rule_of_the_audit_finds_what_breaks_it(rule, answers, seen, dead):
    verdict = audit(answers, seen, set(), dead)
    assert [r for r, these in verdict.broken.items() if these] == [rule] and not verdict.holds


@pytest.mark.parametrize(
    ("answers", "seen", "lost", "holds"),
    [
        ([GOOD], audit_log(), set(), True),
        (
            [Answer("k", "browse", 0, 1.0, "broken", 0.3)],
            audit_log(states=["k"]),
            {"k"},
            True,
        ),  # with its gateway
        ([], audit_log(), set(), False),  # nobody asked: nothing was shown
        ([GOOD], audit_log() | {"attempts": []}, set(), False),
        ([GOOD], audit_log(record(begin=5.2), drains={"p-0": 5.0}), set(), True),
        (
            [GOOD],
            audit_log(record(cls="licence", role="write", what="stateless"), TWICE),
            set(),
            True,
        ),
    ],
)
def test_the_audit_passes_what_is_right_and_nothing_unseen(answers, seen, lost, holds):
    assert audit(answers, seen, lost, []).holds == holds


# ------------------------------------------------------------ its files


@pytest.mark.parametrize("name", ["kill", "halves", "roll"])
def test_the_drills_files_are_read(name):
    file = read(str(ROOT / "deploy" / "drills" / f"{name}.toml"), ScenarioFile)
    assert (
        file.gateways == 12
        and file.trouble
        and all(isinstance(t, ScenarioFault) for t in file.trouble)
    )


def test_the_file_of_cooperation_has_the_defaults_it_says():
    assert read(str(ROOT / "deploy" / "cooperation.toml"), CooperationConfig) == CooperationConfig()


@pytest.mark.parametrize(
    ("text", "named"),
    [
        ("[members]\nperiod = 5\n", "period"),
        ("[member]\n", "member"),
        ("[members]\nperiod_ms = 300\n", "answer_ms"),
        ("[members]\nhelpers = 99\n", "helpers"),
        ('[members]\nkeys = ["short"]\n', "keys"),
        ("[members]\nsuspicion = 'long'\n", "suspicion"),
        ("members = 3\n", "members"),
        ("[sums]\nabove = 0\n", "above"),
    ],
)
def test_what_is_wrong_in_the_file_of_cooperation_is_named(tmp_path, text, named):
    path = tmp_path / "c.toml"
    path.write_text(text)
    with pytest.raises(ConfigurationError, match=named):
        read(str(path), CooperationConfig)


def test_a_drill_that_breaks_a_rule_ends_with_status_1(tmp_path):
    """The exit status is the audit's; here a trouble that nobody could cause."""
    path = tmp_path / "d.toml"
    nonsense = trouble(at_s=1, do="engine", engine={"do": "nonsense", "engine": "x"})
    path.write_text(HEAD.format(2, 4) + nonsense)
    found = subprocess.run(
        [sys.executable, "-O", "-m", "claycross", "drill", str(path)],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert found.returncode == 1 and "BROKEN  processes live" in found.stdout
    assert threading.active_count() < 20
