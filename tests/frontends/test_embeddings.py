"""The embeddings and rerank frontend: one complete response or one error, without delaying chat."""

import json
import os
import statistics
import subprocess
import sys
import threading
import time

import pytest

from standins.servers import (
    EVENTS,
    NEVER,
    ROOT,
    Client,
    Engine,
    Site,
    chat,
    embed_well,
    eventually,
    post,
)

EMBED = ("/v1/embeddings", {"model": "e", "input": ["tense drums", "no vocals"]})
RERANK = (
    "/v1/rerank",
    {"model": "r", "query": "tense drums", "documents": ["a", "b", "c"], "top_n": 2},
)
BOTH_ENDPOINTS = pytest.mark.parametrize(("path", "body"), [EMBED, RERANK])


@pytest.fixture
def site(site):
    """Starts a gateway with the embeddings frontend and the engines that chat needs."""
    return lambda *engines, **fields: site(
        Engine("p"), Engine("d"), *engines, **{"embeddings": {}, **fields}
    )


def cut_off(engine, request, wire):
    """Sends half a response and resets the connection."""
    wire.sock.sendall(
        b"HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\n" + b'{"results":[{"index":0,'
    )
    wire.reset()


def ends_early(engine, request, wire):
    """Sends a well-formed response with only the entries done when the engine was drained."""
    wire.reply(200, body=b'{"results":[{"index":0,"relevance_score":1}]}')


def in_half_chunks(engine, request, wire):
    wire.begin()
    wire.event(b'{"results":[{"index":0}')
    wire.reset()


def answers(status, *headers):
    return lambda engine, request, wire: wire.reply(status, *headers)


def delayed(plan):
    """Delays a plan for about as long as an idle real engine takes."""

    def run(engine, request, wire):
        time.sleep(0.03)
        plan(engine, request, wire)

    return run


def silent(engine, request, wire):
    wire.gone()


@BOTH_ENDPOINTS
@pytest.mark.parametrize("release", [False, True])
def test_a_response_has_the_format_of_the_public_api(site, path, body, release):
    engine = Engine("embed")
    gateway = site(engine, release=release)
    answer = post(gateway.embeddings_address, path, body, X_Request_ID="theirs")
    assert answer.status == 200 and answer["content-type"] == "application/json"
    entries = answer.json()["data" if "input" in body else "results"]
    assert [entry["index"] for entry in entries] == [0, 1]
    request = engine.asked[0]
    assert json.loads(request.body) == body and request["x-request-id"] not in (None, "theirs")
    assert not engine.calls and not any(engine.asked for engine in gateway.engines[:2])


@BOTH_ENDPOINTS
@pytest.mark.parametrize(
    "fails", [cut_off, ends_early, in_half_chunks, answers(500), answers(503, NEVER)]
)
def test_an_incomplete_response_is_replaced_by_one_of_another_engine_or_an_error(
    site, path, body, fails
):
    state = {"fail": 1}

    def plan(engine, request, wire):
        state["fail"] -= 1
        (fails if state["fail"] >= 0 else embed_well)(engine, request, wire)

    engines = [Engine("embed", plan=plan) for _ in range(2)]
    gateway = site(*engines)
    answer = post(gateway.embeddings_address, path, body)
    assert answer.status == 200 and answer.whole
    entries = answer.json().get("data", answer.json().get("results"))
    assert [entry["index"] for entry in entries] == [0, 1]
    assert sorted(len(engine.asked) for engine in engines) == [1, 1]
    state["fail"] = 99
    with Client(gateway.embeddings_address) as client:
        answer = client.send("POST", path, json.dumps(body).encode()).answer()
        assert answer.status in (502, 503) and answer.json()["error"]["type"] == "server_error"
        # Nothing of the failed response follows on the connection.
        assert client.send("GET", "/").answer().status == 404


def test_a_batch_under_way_at_a_draining_engine_is_finished_there(site):
    released, old, new = threading.Event(), Engine("embed"), Engine("embed")

    def plan(engine, request, wire):
        assert released.wait(10)
        embed_well(engine, request, wire)

    old.plan = plan
    gateway = site(old)
    with Client(gateway.embeddings_address) as client:
        client.send("POST", RERANK[0], json.dumps(RERANK[1]).encode())
        eventually(lambda: old.asked)
        new.start()
        gateway.discovery.tell(old.target("Terminating"), new.target())
        eventually(lambda: "rev=2" in gateway.log())
        assert post(gateway.embeddings_address, *RERANK).status == 200 and len(new.asked) == 1
        released.set()
        assert len(client.answer().json()["results"]) == 2
    assert len(old.asked) == 1
    new.close()


@pytest.mark.parametrize("end", ["deadline", "left"])
def test_a_silent_engine_leads_to_a_timeout_error_and_a_closed_connection(site, end):
    closed = threading.Event()

    def plan(engine, request, wire):
        wire.gone()
        closed.set()

    engine = Engine("embed", plan=plan)
    gateway = site(engine)
    start = time.monotonic()
    with Client(gateway.embeddings_address) as client:
        client.send("POST", EMBED[0], json.dumps(EMBED[1]).encode(), X_Timeout_Ms=400)
        eventually(lambda: engine.asked)
        if end == "deadline":
            answer = client.answer()
            assert answer.status == 504 and time.monotonic() - start < 1
            assert answer.json()["error"]["code"] == "timeout"
    assert closed.wait(8) and len(engine.asked) == 1


def test_a_cold_engine_gets_few_requests(site):
    warm, cold = Engine("embed"), Engine("embed")
    gateway = site(warm)
    cold.start()
    gateway.discovery.tell(cold.target(boot_ms=int(time.time() * 1000)))
    eventually(lambda: "rev=2" in gateway.log())
    for _ in range(30):
        assert post(gateway.embeddings_address, *EMBED).status == 200
    assert len(warm.asked) >= 24
    cold.close()


@pytest.mark.parametrize(
    ("method", "path", "body", "status", "param"),
    [
        ("POST", "/v1/embeddings", b"{", 400, None),
        ("POST", "/v1/embeddings", b"[]", 400, None),
        ("POST", "/v1/embeddings", b"[" * 100_000, 400, None),
        ("POST", "/v1/embeddings", b'{"input":"x"}', 400, "model"),
        ("POST", "/v1/embeddings", b'{"model":"m"}', 400, "input"),
        ("POST", "/v1/embeddings", b'{"model":"m","input":[]}', 400, "input"),
        ("POST", "/v1/embeddings", b'{"model":"m","input":["a",3]}', 400, "input"),
        ("POST", "/v1/rerank", b'{"model":"m","documents":["a"]}', 400, "query"),
        ("POST", "/v1/rerank", b'{"model":"m","query":"q","documents":[]}', 400, "documents"),
        (
            "POST",
            "/v1/rerank",
            b'{"model":"m","query":"q","documents":[{"t":1}]}',
            400,
            "documents",
        ),
        (
            "POST",
            "/v1/rerank",
            b'{"model":"m","query":"q","documents":["a"],"top_n":0}',
            400,
            "top_n",
        ),
        ("GET", "/v1/embeddings", b"", 405, None),
        ("POST", "/v1/chat/completions", b"{}", 404, None),
        ("POST", "/v1/embeddings", b"x" * 262_145, 413, None),
    ],
)
def test_errors_have_the_format_of_the_public_api(
    site_for_errors, method, path, body, status, param
):
    with Client(site_for_errors.embeddings_address) as client:
        answer = client.send(method, path, body).answer()
    error = answer.json()["error"]
    assert answer.status == status and error["param"] == param
    assert error["type"] == "invalid_request_error" and error["message"]


@pytest.fixture(scope="module")
def site_for_errors(tmp_path_factory):
    with Site(
        tmp_path_factory.mktemp("errors"),
        [Engine("p"), Engine("d"), Engine("embed")],
        embeddings={},
    ) as gateway:
        yield gateway


@pytest.mark.parametrize("input_value", ["one text", ["a", "b"], [1, 2, 3], [[1], [2, 3]]])
def test_each_form_of_input_is_accepted(site_for_errors, input_value):
    answer = post(
        site_for_errors.embeddings_address, "/v1/embeddings", {"model": "m", "input": input_value}
    )
    assert answer.status == 200


@pytest.mark.parametrize("release", [False, True])
def test_open_embeddings_requests_are_limited_and_licence_chat_is_served_meanwhile(site, release):
    released = threading.Event()

    def plan(engine, request, wire):
        assert released.wait(20)
        embed_well(engine, request, wire)

    engine = Engine("embed", plan=plan)
    gateway = site(engine, release=release, embeddings={"most_open": 6, "most_clients": 20})
    clients = [Client(gateway.embeddings_address) for _ in range(6)]
    for client in clients:
        client.send("POST", EMBED[0], json.dumps(EMBED[1]).encode())
    eventually(lambda: len(engine.asked) == 6)
    for _ in range(5):
        rejected = post(gateway.embeddings_address, *EMBED)
        assert rejected.status == 429 and int(rejected["retry-after"]) >= 1
        assert rejected.json()["error"]["type"] == "rate_limit_error"
        assert gateway.chat(cls="licence").body == b"".join(EVENTS)
    with Client(gateway.embeddings_address) as several:
        message = Client.message("POST", EMBED[0], json.dumps(EMBED[1]).encode())
        several.sock.sendall(message * 3)
        assert [several.answer().status for _ in range(3)] == [429] * 3
    # More connections than allowed.
    extra_clients = [Client(gateway.embeddings_address) for _ in range(30)]
    assert gateway.chat(cls="licence").status == 200
    for client in extra_clients:
        client.__exit__()
    released.set()
    for client in clients:
        assert client.answer().status == 200
        client.__exit__()
    assert len(engine.asked) == 6


def test_background_tasks_run_after_others_and_one_per_loop_iteration():
    code = """
from claycross.net.loop import EventLoop
loop, seen = EventLoop(), []
for n in range(3):
    loop.spawn(seen.append, f"b{n}", background=True)
for n in range(3):
    loop.spawn(seen.append, f"u{n}")
loop.run_iteration()
loop.spawn(seen.append, "u3")
loop.run_iteration(); loop.run_iteration()
print(*seen)"""
    completed = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True
    )
    assert completed.stdout.split() == ["u0", "u1", "u2", "b0", "u3", "b1", "b2"]


@pytest.mark.parametrize(
    ("change", "expected_text"),
    [
        ({"listen": '"nowhere"'}, "listen"),
        ({"kinds": '["p"]'}, "chat"),
        ({"most_open": "0"}, "most_open"),
        ({"attempts": '"x"'}, "invalid literal"),
        ({"kinds": ""}, "TOML"),
    ],
)
def test_an_invalid_file_is_reported_in_one_line(site, change, expected_text):
    gateway = site()
    text = (ROOT / "deploy" / "embeddings.toml").read_text()
    lines = [
        next((f"{key} = {value}" for key, value in change.items() if line.startswith(key)), line)
        for line in text.splitlines()
    ]
    path = gateway.folder / "bad.toml"
    path.write_text("\n".join(lines))
    command = [
        sys.executable,
        "-m",
        "claycross",
        "serve",
        "--config",
        str(gateway.folder / "config.json"),
    ]
    completed = subprocess.run(
        [*command, "--embeddings", str(path)],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
    )
    assert completed.returncode == 2 and len(completed.stderr.splitlines()) == 1
    assert expected_text in completed.stderr


@pytest.mark.skipif(not os.environ.get("CLAYCROSS_TIMING"), reason="runs with CLAYCROSS_TIMING=1")
def test_time_to_first_chat_token_while_embeddings_run(site, capsys):
    """Compares pairs of chat requests, one alone and one while embeddings run."""
    gateway = site(Engine("embed"), Engine("embed"), release=True)
    for engine in gateway.engines:
        engine.plan = delayed(engine.plan)
    load_enabled, stop, served = threading.Event(), threading.Event(), []

    def load():
        with Client(gateway.embeddings_address) as client:
            while not stop.is_set():
                if load_enabled.wait(0.05):
                    body = json.dumps(
                        {"model": "e", "input": ["tense drums, no vocals"] * 40}
                    ).encode()
                    served.append(client.send("POST", "/v1/embeddings", body).answer().status)

    threads = [threading.Thread(target=load, daemon=True) for _ in range(8)]
    for thread in threads:
        thread.start()

    def first_token(client):
        start = time.perf_counter()
        chat(client, cls="licence")
        client.file.readline()
        duration_s = time.perf_counter() - start
        while client.file.readline() != b"0\r\n":
            pass
        client.file.readline()
        return duration_s * 1000

    alone, with_load = [], []
    with gateway.client() as client:
        first_token(client)
        for _ in range(150):
            alone.append(first_token(client))
            load_enabled.set()
            time.sleep(0.06)
            with_load.append(first_token(client))
            load_enabled.clear()
            time.sleep(0.06)
    stop.set()
    ratio = statistics.median(b / a for a, b in zip(alone, with_load, strict=True))
    with capsys.disabled():
        print(
            f"\nfirst token ms, median: alone {statistics.median(alone):.2f}, beside embeddings "
            f"{statistics.median(with_load):.2f}; paired ratio {ratio:.3f}; p95 "
            f"{sorted(alone)[142]:.2f} and "
            f"{sorted(with_load)[142]:.2f}; {served.count(200)} embeddings answered"
        )
    assert ratio < 1.10
