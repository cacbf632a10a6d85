"""Tenants, the administration API and etcd as source of the endpoint list, all optional."""

import base64
import contextlib
import hashlib
import json
import subprocess
import sys
import threading

import pytest

from standins.servers import (
    EVENTS,
    ROOT,
    Client,
    Engine,
    Server,
    Site,
    eventually,
    post,
    read_message,
)

TOKEN, KEY = "operator-token", "a-tenant-key-of-enough-characters"
EMBED = ("/v1/embeddings", {"model": "e", "input": "tense drums"})
TOLD_WITHIN_S = 6.0  # the pages' limit for a change that discovery has


def base64_text(text):
    return base64.b64encode(text.encode()).decode()


class Etcd(Server):
    """A stand-in for etcd's JSON gateway: a range call, and a watch that stays open.

    A watch is sent the changes since its first revision. Those in `silent` are sent nothing more.
    """

    prefix = "/claycross/engines/"

    def __init__(self):
        super().__init__()
        self.revision, self.kvs, self.watches, self.starts = 5, {}, [], []
        self.lists, self.events, self.silent = 0, [], []

    def talk(self, wire):
        message = read_message(wire.file)
        request = json.loads(message.body)
        if message.start.split()[1] == "/v3/kv/range":
            assert base64.b64decode(request["range_end"]) == b"/claycross/engines0"
            self.lists += 1
            kvs = [
                {"key": base64_text(key), "value": base64_text(value)}
                for key, value in self.kvs.items()
            ]
            response = {
                "header": {"revision": str(self.revision)},
                "kvs": kvs,
                "count": str(len(kvs)),
            }
            wire.reply(200, body=json.dumps(response).encode())
            return
        self.starts.append(int(request["create_request"]["start_revision"]))
        wire.begin()
        self.say(wire, {"created": True})
        missed = [event for revision, event in self.events if revision >= self.starts[-1]]
        if missed:
            self.say(wire, {"events": missed})
        self.watches.append(wire)
        wire.gone()
        self.watches.remove(wire)

    def say(self, wire, result):
        result = {"header": {"revision": str(self.revision)}, **result}
        wire.event(json.dumps({"result": result}).encode() + b"\n")

    def put(self, engine, state="Ready"):
        self.change(
            engine,
            json.dumps({key: value for key, value in engine.target(state).items() if key != "uid"}),
        )

    def change(self, engine, value):
        key, self.revision = self.prefix + engine.uid, self.revision + 1
        if value is None:
            del self.kvs[key]
        else:
            self.kvs[key] = value
        event = (
            {"type": "DELETE", "kv": {"key": base64_text(key)}}
            if value is None
            else {
                "kv": {
                    "key": base64_text(key),
                    "value": base64_text(value),
                    "mod_revision": str(self.revision),
                }
            }
        )
        self.events.append((self.revision, event))
        for wire in self.watches:
            if wire not in self.silent:
                self.say(wire, {"events": [event]})


@pytest.fixture
def etcd():
    server = Etcd().start()
    yield server
    server.close()


def test_the_endpoint_list_comes_from_etcd_and_follows_its_watch(site, etcd):
    old, new, writer = Engine("p"), Engine("p"), Engine("d")
    for engine in (old, new, writer):
        engine.start()
    etcd.put(old)
    etcd.put(writer)
    gateway = site(etcd=etcd)
    eventually(lambda: etcd.watches)
    assert gateway.chat().body == b"".join(EVENTS) and etcd.starts == [8]
    etcd.put(new)
    etcd.put(old, "Terminating")
    eventually(lambda: "rev=9" in gateway.log())
    assert gateway.chat().status == 200 and (len(old.asked), len(new.asked)) == (1, 1)
    etcd.change(old, None)
    etcd.put(old)
    etcd.change(new, None)
    eventually(lambda: "rev=12" in gateway.log())
    assert gateway.chat().status == 200 and (len(old.asked), len(new.asked)) == (2, 1)
    assert not gateway.discovery.froms  # the platform's discovery gets no request
    for engine in (old, new, writer):
        engine.close()


def test_a_watch_on_etcd_that_falls_silent_is_noticed_in_time(site, etcd):
    """Guards against a drain that is not heard of for the 10 s of an idle watch."""
    drained, other, writer = Engine("p").start(), Engine("p").start(), Engine("d").start()
    for engine in (drained, other, writer):
        etcd.put(engine)
    gateway = site(etcd=etcd)
    etcd.silent = list(eventually(lambda: etcd.watches))
    etcd.put(drained, "Terminating")
    eventually(lambda: f"rev={etcd.revision}" in gateway.log(), within=TOLD_WITHIN_S)
    asked = len(drained.asked)
    for number in range(12):
        assert gateway.chat(X_Route_Key=f"k{number}").status == 200
    assert len(drained.asked) == asked and len(other.asked) == 12
    assert "discovery-lost" not in gateway.log()  # silence is usual
    assert etcd.lists == 1
    for engine in (drained, other, writer):
        engine.close()


@pytest.mark.parametrize("failure", ["junk", "compacted", "cut", "bad value"])
def test_a_watch_on_etcd_that_ends_is_restarted_with_a_new_list(site, etcd, failure):
    reader, writer = Engine("p").start(), Engine("d").start()
    etcd.put(reader)
    etcd.put(writer)
    gateway = site(etcd=etcd)
    wire = eventually(lambda: etcd.watches)[0]
    if failure == "junk":
        wire.event(b"nonsense\n")
    elif failure == "compacted":
        etcd.say(wire, {"canceled": True, "compact_revision": "7"})
    elif failure == "bad value":
        etcd.change(reader, "{")
        eventually(lambda: "discovery-lost" in gateway.log())
        etcd.put(reader)
    else:
        wire.sock.shutdown(2)
    eventually(lambda: len(etcd.starts) > 1 and etcd.watches)
    assert "discovery-lost" in gateway.log() and gateway.chat().status == 200
    reader.close()
    writer.close()


def call_admin_api(gateway, method, path, value=None, token=TOKEN):
    """Calls the administration API; `value` is bytes, a JSON value, or None for no body."""
    if value is None:
        body = b""
    elif isinstance(value, bytes):
        body = value
    else:
        body = json.dumps(value).encode()
    with Client(gateway.admin_address) as client:
        return client.send(method, path, body, Authorization=f"Bearer {token}").answer()


def test_tenants_are_created_changed_and_removed_and_outlast_a_restart(site, tmp_path):
    gateway = site(Engine("p"), Engine("d"), Engine("embed"), embeddings={}, admin=TOKEN)
    assert post(gateway.embeddings_address, *EMBED).status == 401
    path = "/admin/v1/tenants/radio-one"
    created = call_admin_api(gateway, "PUT", path, {"quota_per_s": 5, "key": KEY})
    assert (created.status, created.json()) == (201, {"name": "radio-one", "quota_per_s": 5.0})
    assert post(gateway.embeddings_address, *EMBED, Authorization=f"Bearer {KEY}").status == 200
    unauthorized = post(gateway.embeddings_address, *EMBED, Authorization="Bearer other")
    assert unauthorized.json()["error"]["type"] == "authentication_error"
    assert "authorization" not in gateway.engines[2].asked[0].headers
    assert call_admin_api(gateway, "PUT", path, {"quota_per_s": 7}).json()["quota_per_s"] == 7
    other = call_admin_api(
        gateway, "PUT", "/admin/v1/tenants/radio-two", {"quota_per_s": 1, "key": KEY}
    )
    assert other.status == 409
    file_text = (tmp_path / "tenants.json").read_text()
    assert KEY not in file_text and hashlib.sha256(KEY.encode()).hexdigest() in file_text
    gateway.__exit__(None)
    restarted = site(Engine("p"), Engine("d"), Engine("embed"), embeddings={}, admin=TOKEN)
    assert post(restarted.embeddings_address, *EMBED, Authorization=f"Bearer {KEY}").status == 200
    assert call_admin_api(restarted, "GET", "/admin/v1/tenants").json()["tenants"] == [
        {"name": "radio-one", "quota_per_s": 7.0}
    ]
    status = call_admin_api(restarted, "GET", "/admin/v1/status").json()
    assert status["fronts"]["embeddings"]["counts"]["served"] == 1
    assert call_admin_api(restarted, "DELETE", path).status == 204
    assert call_admin_api(restarted, "GET", path).status == 404
    assert post(restarted.embeddings_address, *EMBED, Authorization=f"Bearer {KEY}").status == 401


@pytest.mark.parametrize(
    ("method", "path", "body", "token", "status"),
    [
        ("GET", "/admin/v1/tenants", None, "wrong", 401),
        ("PUT", "/admin/v1/tenants/x", b"{}", "", 401),
        ("GET", "/admin/v1/other", None, TOKEN, 404),
        ("POST", "/admin/v1/tenants", None, TOKEN, 405),
        ("POST", "/admin/v1/status", None, TOKEN, 405),
        ("POST", "/admin/v1/tenants/x", None, TOKEN, 405),
        ("PUT", "/admin/v1/tenants/Bad_Name", {"quota_per_s": 1, "key": KEY}, TOKEN, 400),
        ("PUT", "/admin/v1/tenants/x", b"{", TOKEN, 400),
        ("PUT", "/admin/v1/tenants/x", [], TOKEN, 400),
        ("PUT", "/admin/v1/tenants/x", {"quota_per_s": 0, "key": KEY}, TOKEN, 400),
        ("PUT", "/admin/v1/tenants/x", {"quota_per_s": 1}, TOKEN, 400),
        ("PUT", "/admin/v1/tenants/x", {"quota_per_s": 1, "key": "short"}, TOKEN, 400),
    ],
)
def test_the_administration_api_rejects_invalid_calls(
    site_for_admin, method, path, body, token, status
):
    assert call_admin_api(site_for_admin, method, path, body, token).status == status


@pytest.fixture(scope="module")
def site_for_admin(tmp_path_factory):
    with Site(
        tmp_path_factory.mktemp("admin"), [Engine("p"), Engine("d")], embeddings={}, admin=TOKEN
    ) as gateway:
        yield gateway


def test_chat_is_served_while_the_administration_api_is_flooded(site_for_admin):
    stop = threading.Event()

    def flood():
        while not stop.is_set():
            # At the limit on connections the API closes the longest idle one.
            with contextlib.suppress(OSError, IndexError):
                call_admin_api(site_for_admin, "GET", "/admin/v1/status", token="wrong")

    threads = [threading.Thread(target=flood) for _ in range(4)]
    for thread in threads:
        thread.start()
    try:
        assert all(site_for_admin.chat(cls="licence").status == 200 for _ in range(10))
    finally:
        stop.set()
        for thread in threads:
            thread.join()


def test_the_administration_api_stays_off_without_a_token(tmp_path):
    (tmp_path / "config.json").write_text("{}")
    completed = subprocess.run(
        [
            sys.executable,
            "-m",
            "claycross",
            "check-config",
            "--config",
            str(tmp_path / "config.json"),
            "--admin",
            "deploy/admin.toml",
        ],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
    )
    assert completed.returncode == 2 and len(completed.stderr.splitlines()) == 1
