"""The emulator over HTTP, alone and, in the demo, behind real gateways."""

import contextlib
import http.client
import json
import re
import subprocess
import sys
import threading
import time

import pytest

from claycross.emulator.demo import Demo
from standins.servers import ROOT, Client, chat, eventually, post

FLEET = """
seed = 3
zones = ["a"]
output_tokens = 20
[[kind]]
name = "p"
role = "read"
connections = 3
[[kind]]
name = "d"
role = "write"
slots = 2
queue = 1
[[kind]]
name = "embed"
role = "embed"
"""


class Emulator:
    """A process of `claycross emulate`."""

    def __init__(self, folder, text):
        (folder / "fleet.toml").write_text(text)
        self.log = folder / "emulator.log"
        command = [sys.executable, "-m", "claycross", "emulate", str(folder / "fleet.toml")]
        with self.log.open("w") as log:
            self.process = subprocess.Popen(command, cwd=ROOT, stdout=log, stderr=log)
        found = eventually(
            lambda: re.search(r"discovery=(\S+) control=(\S+)", self.log.read_text())
        )
        self.discovery, self.control = found.groups()
        self.addresses = {t["uid"]: t["endpoint"] for t in self.list_targets()["targets"]}

    def get(self, address, path):
        with Client(address) as client:
            return client.send("GET", path).answer()

    def list_targets(self):
        return self.get(self.discovery, "/api/targets").json()

    def state(self):
        return self.get(self.control, "/state").json()

    def inject(self, action, engine="", **options):
        return post(self.control, "/trouble", {"do": action, "engine": engine, **options})

    def end(self):
        self.process.terminate()
        assert self.process.wait(8) == 0
        text = self.log.read_text()
        for sign_of_error in ("unexpected", "invariant", "Traceback"):
            assert sign_of_error not in text, text


@pytest.fixture
def start_emulator(tmp_path):
    started = []

    def start(text=FLEET):
        started.append(Emulator(tmp_path, text))
        return started[-1]

    yield start
    for emulator in started:
        emulator.end()


def send_chat(address, key, **fields):
    with Client(address) as client:
        return chat(client, key=key, **fields).answer()


def test_read_and_write_of_a_request(start_emulator):
    emulator = start_emulator()
    reader, writer = emulator.addresses["p-0"], emulator.addresses["d-0"]
    answer = send_chat(reader, "aa01")
    assert (answer.status, answer.json()) == (202, {"cached_tokens": 0})
    assert "x0=" in answer["x-server-load"]
    assert emulator.state()["states"] == 1
    answer = send_chat(writer, "aa01")
    text = answer.body.decode()
    events = [line for line in text.split("\n") if line.startswith("data: ")]
    assert answer.status == 200 and answer.whole
    assert events[-1] == "data: [DONE]" and len(events) > 3
    usage = json.loads(events[-2][6:])["usage"]
    assert usage["prompt_tokens"] == 800 and usage["prompt_tokens_details"] == {"cached_tokens": 0}
    assert ": X-Server-Load: " in text and emulator.state()["states"] == 0
    answer = send_chat(writer, "aa01")
    assert (answer.status, answer["x-not-processed"]) == (410, "1")
    with Client(reader) as client:
        without_id = client.send("POST", "/v1/chat/completions", b"{}").answer()
        assert without_id.status == 404
        assert client.send("GET", "/-/healthy").answer().status == 200


def test_release_of_a_state_is_idempotent(start_emulator):
    emulator = start_emulator()
    assert send_chat(emulator.addresses["p-0"], "bb01").status == 202
    # Any engine passes the release on to the one that holds the state.
    writer = emulator.addresses["d-0"]
    for _ in range(2):
        with Client(writer) as client:
            assert client.send("DELETE", "/kv/leases/bb01").answer().status == 204
        assert emulator.state()["states"] == 0
    with Client(writer) as client:
        assert client.send("POST", "/kv/leases/nobody").answer().status == 204


def test_embeddings_and_rerank_depend_on_the_texts_alone(start_emulator):
    address = start_emulator().addresses["embed-0"]
    answers = [
        post(
            address,
            "/v1/embeddings",
            {"model": "e", "input": ["a", "b", "a"]},
            X_Request_ID=f"k{n}",
        ).json()["data"]
        for n in range(2)
    ]
    assert answers[0] == answers[1]
    first, second, third = (entry["embedding"] for entry in answers[0])
    assert first == third
    assert first != second and len(first) == 16
    ranked = post(
        address,
        "/v1/rerank",
        {"model": "e", "query": "q", "documents": ["a", "b", "c"], "top_n": 2},
        X_Request_ID="r",
    ).json()["results"]
    assert len(ranked) == 2 and ranked[0]["relevance_score"] >= ranked[1]["relevance_score"]
    assert post(address, "/v1/embeddings", b"no json", X_Request_ID="x").status == 400


def test_connections_are_limited_and_abandoned_requests_are_cancelled(start_emulator):
    emulator = start_emulator()
    clients = [Client(emulator.addresses["p-0"]) for _ in range(4)]
    eventually(lambda: emulator.state()["engines"]["p-0"]["connections"] == 4)
    answer = chat(clients[3], key="cc04").answer()
    assert (answer.status, answer["x-not-processed"]) == (503, "1")
    chat(clients[0], key="cc01", X_Attrs="prompt_len=90000")
    eventually(lambda: emulator.state()["engines"]["p-0"]["inflight"] == 1)
    for client in clients:
        client.__exit__()
    eventually(lambda: emulator.state()["engines"]["p-0"]["inflight"] == 0)
    assert emulator.state()["states"] == 0


def next_watch_message(watch):
    """Return the next message of a discovery watch, without heartbeats."""
    while True:
        size = int(watch.file.readline(), 16)
        text = watch.file.read(size + 2).strip()
        if text:
            return json.loads(text)


def test_control_server_and_discovery_watch(start_emulator):
    emulator = start_emulator()
    with Client(emulator.discovery) as watch:
        watch.send("GET", "/api/targets?watch=1&from=1")
        while watch.file.readline().strip():
            pass
        assert next_watch_message(watch)["all"] is True
        assert emulator.inject("drain", "d-0").status == 204
        change = next_watch_message(watch)
        assert [(t["uid"], t["state"]) for t in change["targets"]] == [("d-0", "Terminating")]
        assert change["rev"] == 2
        assert emulator.inject("replace", "p-0").status == 204
        assert next_watch_message(watch)["targets"][0]["state"] == "Gone"
        assert next_watch_message(watch)["targets"][0]["uid"] == "p-0x"
    with pytest.raises(OSError):
        Client(emulator.addresses["p-0"])  # the replaced engine no longer listens
    assert send_chat(emulator.addresses["d-0"], "dd01").status in (410, 503)
    assert emulator.inject("sing", "d-0").status == 400
    assert emulator.inject("kill", "nobody").status == 400
    assert post(emulator.control, "/trouble", b"{").status == 400


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        (FLEET.replace("slots = 2", "slotss = 2"), "slotss"),
        (FLEET.replace("slots = 2", "slots = 0"), "slots"),
        (FLEET.replace('"write"', '"sing"'), "role"),
        ("seed = 1\n", "kind"),
        ("x", "TOML"),
    ],
)
def test_invalid_fleet_file_is_refused_with_one_line_that_names_the_key(tmp_path, text, expected):
    (tmp_path / "f.toml").write_text(text)
    result = subprocess.run(
        [sys.executable, "-m", "claycross", "emulate", str(tmp_path / "f.toml")],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
    )
    assert result.returncode == 2 and expected in result.stderr
    assert len(result.stderr.splitlines()) == 1


@pytest.mark.parametrize("options", [[], ["--http2", "deploy/http2.toml"]], ids=["http1", "http2"])
def test_demo_serves_its_load_through_a_drain_and_a_restart(options):
    result = subprocess.run(
        [sys.executable, "-m", "claycross", "demo", "--seconds", "6", "--quiet", *options],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=90,
        check=False,
    )
    assert result.returncode == 0, result.stdout + result.stderr
    row = re.search(r"chat +(\d+) +(\d+) +(\d+) +0 ", result.stdout)
    assert row and int(row[2]) > 0.9 * int(row[1])
    assert "decode-0 was drained" in result.stdout and "n1 was restarted" in result.stdout
    assert "0 states left held" in result.stdout


def send_burst(demo, count, address):
    """Send this many prompts of 2,000 tokens within a second, each to `address(n)`."""

    def send(n):
        with contextlib.suppress(OSError, http.client.HTTPException):
            demo.ask(
                address(n),
                "POST",
                "/v1/chat/completions",
                b'{"model":"chat"}',
                {
                    "X-Request-ID": f"{address(n)}-{n}".replace(":", "-"),
                    "X-Priority-Class": "browse",
                    "X-Route-Key": f"r{n}",
                    "X-Timeout-Ms": "6000",
                    "X-Attrs": "prompt_len=2000,max_out=5",
                },
            )

    threads = [threading.Thread(target=send, args=(n,)) for n in range(count)]
    for thread in threads:
        thread.start()
        time.sleep(1 / count)
    for thread in threads:
        thread.join(30)


def test_burst_overloads_a_cold_engine_directly_but_not_through_the_gateways(tmp_path):
    """Guards against a slow start that sends a newly started engine too much.

    The engine reports the least load when it starts, and stops if it gets more than its cold
    capacity. The same burst that stops it directly must not do so through the gateways.
    """
    demo = Demo(tmp_path, str(ROOT / "deploy" / "fleet.toml"), 1, 1)
    try:
        demo.start()

        def state():
            return json.loads(demo.ask(demo.control, "GET", "/state")[1])

        def restart_engine(expected_changes):
            """Restart prefill-0, and wait until each gateway has been told that it is cold."""
            for action in ("kill", "start"):
                body = json.dumps({"do": action, "engine": "prefill-0"}).encode()
                assert demo.ask(demo.control, "POST", "/trouble", body)[0] == 204
            for gateway in demo.gateways:
                eventually(
                    lambda g=gateway: (g.path.read_text().count("kind=changes") == expected_changes)
                )

        restart_engine(expected_changes=1)
        send_burst(demo, 24, lambda n: demo.fronts[n % 2]["chat"])
        counts = state()["counts"]
        assert counts.get("fell", 0) == 0 and counts["ok"] >= 20
        restart_engine(expected_changes=2)
        targets = json.loads(demo.ask(demo.discovery, "GET", "/api/targets")[1])["targets"]
        cold = next(t["endpoint"] for t in targets if t["uid"] == "prefill-0")
        send_burst(demo, 24, lambda n: cold)
        assert state()["counts"]["fell"] >= 1
    finally:
        demo.close()
