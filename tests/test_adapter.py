"""Tests of the adapter as a process, started with the command of the deployment file."""

import json
import pathlib
import re
import subprocess
import tomllib

import pytest

from standins.servers import SETTINGS

ROOT = pathlib.Path(__file__).parent.parent
DEPLOY = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
LAUNCH = {"Launch": {"who": "node-0", "rng-seed": 5, "settings": SETTINGS}}
ENGINES = {
    "Update": {
        "who": "node-0",
        "kind": "stale_copy",
        "stamp": 1,
        "members": [
            {"engine": "e:1", "kind": "p", "condition": "IN", "area": "a", "bay": 0, "size": 1},
            {
                "engine": "e:2",
                "kind": "d",
                "condition": "IN",
                "area": "a",
                "bay": 0,
                "size": 1,
                "colour": "red",
            },
        ],
    }
}
QUERY = {
    "Query": {
        "who": "node-0",
        "msg-id": 9,
        "left": 5 * 10**9,
        "grade": "ask",
        "input-len": 800,
        "max-out": 100,
        "dialogue": "s",
        "some-new-field": 3,
    }
}


@pytest.fixture(scope="session", autouse=True)
def adapter_build():
    subprocess.run(["/bin/sh", "-c", DEPLOY["build"]], cwd=ROOT, check=True)


def run_adapter(*lines):
    text = "".join((line if isinstance(line, str) else json.dumps(line)) + "\n" for line in lines)
    return subprocess.run(
        ["/bin/sh", "-c", DEPLOY["sim"]],
        cwd=ROOT,
        input=text,
        capture_output=True,
        text=True,
        check=False,
    )


def batch(moment, *news):
    return {"moment": moment, "news": list(news)}


def test_a_request_goes_to_a_reader_and_then_to_a_writer():
    staged = {
        "Response": {
            "who": "node-0",
            "msg-id": 9,
            "hop": 0,
            "engine": "e:1",
            "ending": "staged",
            "time-taken": 50_000_000,
            "stats": {"x0": 0.1, "x1": 0.2},
        }
    }
    result = run_adapter(
        batch(10**9), batch(10**9, LAUNCH, ENGINES), batch(10**9, QUERY), batch(2 * 10**9, staged)
    )
    assert (result.returncode, result.stderr) == (0, "")
    replies = [json.loads(line)["decisions"] for line in result.stdout.splitlines()]
    assert replies[0] == []
    placements = [action["Place"] for reply in replies for action in reply if "Place" in action]
    assert [placement["engine"] for placement in placements] == ["e:1", "e:2"]
    assert all(
        placement["who"] == "node-0"
        and placement["msg-id"] == 9
        and type(placement["timeout"]) is int
        for placement in placements
    )


def test_the_end_of_input_exits_with_status_0():
    result = run_adapter()
    assert (result.returncode, result.stdout, result.stderr) == (0, "", "")


def test_a_stopped_instance_takes_no_actions_and_can_be_launched_again():
    stop = {"Exit": {"who": "node-0"}}
    result = run_adapter(
        batch(0, LAUNCH, ENGINES), batch(1, QUERY, stop, LAUNCH, ENGINES), batch(2, QUERY)
    )
    replies = [json.loads(line)["decisions"] for line in result.stdout.splitlines()]
    assert result.returncode == 0 and replies[1] == []
    assert any("Place" in action for action in replies[2])


@pytest.mark.parametrize(
    ("lines", "expected_text"),
    [
        (["{nonsense"], "JSON"),
        ([{"moment": 3}], "news"),
        ([{"news": []}], "moment"),
        ([batch(0, {"Timer": {"who": "node-4", "ref": "x"}})], "node-4"),
        ([batch(0, LAUNCH, {"Query": {"who": "node-0", "grade": "ask", "left": 5}})], "msg-id"),
        ([batch(0, LAUNCH, {"Query": {"msg-id": 4}})], "who"),
        ([batch(0, LAUNCH, {"Surprise": {"who": "node-0"}})], "Surprise"),
        ([batch(0, {"Launch": {"who": "node-0", "rng-seed": 1, "settings": {}}})], "family-info"),
        (
            [
                batch(
                    0,
                    LAUNCH,
                    {"Query": {"who": "node-0", "msg-id": 1, "grade": "ask", "left": "soon"}},
                )
            ],
            "soon",
        ),
    ],
)
def test_invalid_input_exits_with_a_one_line_error(lines, expected_text):
    result = run_adapter(*lines)
    assert result.returncode != 0 and len(result.stderr.splitlines()) == 1
    assert expected_text in result.stderr and "Traceback" not in result.stderr


def test_the_readme_example_runs():
    code = re.search(r"```python\n(.*?)```", (ROOT / "README.md").read_text(), re.S).group(1)
    result = subprocess.run(
        ["python3", "-c", code], cwd=ROOT, capture_output=True, text=True, check=False
    )
    assert result.stdout == "read at 10.0.0.1:80\nwrite at 10.0.0.2:80\n", result.stderr
