"""The admin socket, drains, and a second process that takes over the clients' listening socket."""

import signal
import socket
import threading
import time

import pytest

from claycross.net.line_protocol import Command, CommandParser, LineTooLongError
from standins.servers import NEVER, Client, Engine, eventually
from tests.gateway.test_crossings import stopped
from tests.gateway.test_gateway import answers


def readiness_status(gateway):
    with Client(gateway.address) as client:
        return client.send("GET", "/-/ready").answer().status


@pytest.mark.parametrize(
    ("pieces", "expected"),
    [
        ([b"check\n"], Command("check", "")),
        ([b"set-down", b" s-1\r", b"\n"], Command("set-down", "s-1")),
        ([b"DRAIN-ON  \n", b"more"], Command("drain-on", "")),
        ([b"c", b"h", b"e", b"c", b"k", b"\n"], Command("check", "")),
    ],
)
def test_a_command_is_complete_at_its_end_of_line_however_it_is_split(pieces, expected):
    parser, command = CommandParser(), None
    for piece in pieces:
        command = command or parser.feed(piece)
    assert command == expected


@pytest.mark.parametrize("cut", [1, 7, 511, 600])
def test_a_command_over_the_length_limit_is_rejected_however_it_is_split(cut):
    parser, data = CommandParser(), b"x" * 2000
    with pytest.raises(LineTooLongError):
        for start in range(0, len(data), cut):
            parser.feed(data[start : start + cut])


def test_a_line_without_line_end_counts_when_the_client_ends_sending():
    parser = CommandParser()
    assert parser.feed(b"vars") is None
    assert parser.end() == Command("vars", "")


@pytest.mark.parametrize(
    ("line", "reply_start"),
    [
        ("check", "ok ready"),
        ("", "fail an empty line"),
        ("reboot-everything", "fail no call 'reboot-everything'"),
        ("drain-off", "ok not draining"),
        ("x" * 5000, "fail a call is at most"),
    ],
)
def test_the_admin_socket_answers_each_command_with_one_line(site, line, reply_start):
    gateway = site(Engine("p"), Engine("d"), door=True)
    reply = gateway.call(line)
    assert reply.startswith(reply_start) and reply.endswith("\n") and reply.count("\n") == 1, reply


def test_the_admin_socket_answers_in_time_while_many_clients_are_silent(site):
    gateway = site(Engine("p"), Engine("d"), door=True)
    host, port = gateway.door_address.split(":")
    silent = [socket.create_connection((host, int(port))) for _ in range(200)]
    try:
        for _ in range(5):
            start = time.monotonic()
            assert gateway.call("check", within=2).startswith("ok")
            assert time.monotonic() - start < 1.0
    finally:
        for sock in silent:
            sock.close()


def test_a_drain_fails_readiness_closes_idle_connections_and_can_be_ended(site):
    gateway = site(Engine("p"), Engine("d"), door=True)
    assert readiness_status(gateway) == 200
    idle = Client(gateway.address)
    assert idle.send("GET", "/-/ready").answer().status == 200  # idle from now on
    assert gateway.call("drain-on").startswith("ok draining")
    assert gateway.call("drain-on").startswith("ok draining already")
    assert readiness_status(gateway) == 503
    # The process can serve, but readiness says no.
    assert gateway.call("check").startswith("ok ready draining")
    assert idle.to_end() == b""  # closed by the gateway
    # New connections are still served, and closed after the response.
    with Client(gateway.address) as client:
        answer = client.send(
            "POST",
            "/v1/chat/completions",
            b"{}",
            X_Request_ID="d1",
            X_Priority_Class="browse",
            X_Route_Key="s",
            X_Attrs="prompt_len=8,prefix_len=0,max_out=5",
        ).answer()
        assert answer.status == 200 and answer.headers.get("connection") == "close"
    assert gateway.call("drain-off").startswith("ok serving")
    assert readiness_status(gateway) == 200
    with Client(gateway.address) as client:  # connections are kept open again
        client.send("GET", "/-/ready").answer()
        assert client.send("GET", "/-/ready").answer().status == 200


def test_a_second_process_takes_over_the_inherited_socket_and_the_first_exits(site, tmp_path):
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(64)
    udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    udp.bind(("127.0.0.1", 0))
    peer = f"127.0.0.1:{udp.getsockname()[1]}"
    udp.close()  # both processes bind this address for messages of other gateways
    gateway = site(
        Engine("p"),
        Engine("d"),
        door=True,
        passed=listener,
        tmp=tmp_path,
        settings={"peers": True},
        more={"peer_listen": peer, "peers": [peer, "127.0.0.1:9"], "peers_all": "127.0.0.1:9"},
    )
    old = gateway.process
    assert gateway.chat().status == 200
    eventually(lambda: gateway.call("check").startswith("ok"))
    # The test's socket holds the address: only the inherited descriptor can serve.
    new = gateway.start("log.new")
    eventually(lambda: gateway.call("check").startswith("ok"))
    old.send_signal(signal.SIGTERM)
    answers = [gateway.chat().status for _ in range(20)]
    assert old.wait(5) == 0 and new.poll() is None
    answers += [gateway.chat().status for _ in range(20)]
    assert answers == [200] * 40
    new.send_signal(signal.SIGTERM)
    assert new.wait(5) == 0
    listener.close()


def test_an_ejection_outlasts_discovery_updates_and_an_engine_restart(site):
    reader, ejected, other = Engine("p"), Engine("d"), Engine("d")
    gateway = site(reader, ejected, other, door=True)
    assert gateway.call(f"set-down {ejected.uid}").startswith(f"ok {ejected.uid} is out")
    assert gateway.call(f"set-down {ejected.uid}").startswith("ok")  # repeating it is not an error
    assert gateway.call("set-down s-never-listed").startswith("fail")
    requests_before = len(ejected.asked)
    for n in range(12):
        assert gateway.chat(X_Route_Key=f"k{n}").status == 200
        if n == 4:  # discovery reports the engine gone, and then restarted
            gateway.discovery.tell({**ejected.target(), "state": "Gone"})
            gateway.discovery.tell(ejected.target(boot_ms=int(time.time() * 1000)))
            time.sleep(0.2)
    assert len(ejected.asked) == requests_before and len(other.asked) >= 12
    assert gateway.call(f"set-up {ejected.uid}").startswith(f"ok {ejected.uid} is back")
    assert gateway.call(f"set-up {ejected.uid}").startswith("ok")
    for n in range(40):
        if len(ejected.asked) > requests_before:
            break
        assert gateway.chat(X_Route_Key=f"j{n}").status == 200
    assert len(ejected.asked) > requests_before  # in use again


def read_metrics(gateway):
    reply = gateway.call("vars")
    lines = reply.splitlines()
    assert lines[0] == "ok" and lines[-1] == "eof", reply
    metrics = {}
    for line in lines[1:-1]:
        if line and not line.startswith("#"):
            name, _, value = line.rpartition(" ")
            metrics[name] = float(value)
    return metrics


REPLY_STATUS = {200: "success", 429: "overload", 503: "overload"}


@pytest.mark.parametrize(
    "plan",
    [None, answers(500), answers(503, NEVER), answers(400)],
    ids=["served", "failing", "rejecting", "bad-request"],
)
def test_metrics_read_during_a_burst_agree_with_the_clients_counts(site, plan):
    reader, writer = Engine("p"), Engine("d", plan=plan)
    gateway = site(reader, writer, door=True)
    before = read_metrics(gateway)
    assert before["gateway_targets"] == 2 and before["gateway_targets_disabled"] == 0
    assert before["gateway_dispatches"] == 0 and before["gateway_concurrent"] == 0
    statuses, during_load = [], []

    def run_client(client_number):
        statuses.extend(
            [gateway.chat(X_Route_Key=f"c{client_number}-{number}").status for number in range(10)]
        )

    threads = [
        threading.Thread(target=run_client, args=(client_number,)) for client_number in range(6)
    ]
    for thread in threads:
        thread.start()
    while any(thread.is_alive() for thread in threads):
        during_load.append(read_metrics(gateway))
    for thread in threads:
        thread.join()
    after = read_metrics(gateway)
    expected_replies = {
        name: count
        for name in ("success", "overload", "error")
        if (count := sum(REPLY_STATUS.get(status, "error") == name for status in statuses))
    }
    assert len(statuses) == 60
    replies = {
        name.split('"')[1]: value
        for name, value in after.items()
        if name.startswith("gateway_replies")
    }
    assert replies == expected_replies
    assert after["gateway_concurrent"] == 0
    assert all(metrics["gateway_concurrent"] <= 6 for metrics in during_load)
    assert after["gateway_dispatches"] == len(reader.asked) + len(writer.asked)
    for name in (
        "gateway_dispatches",
        *(name for name in after if name.startswith("gateway_replies")),
    ):
        counts = [metrics.get(name, 0) for metrics in (before, *during_load, after)]
        assert counts == sorted(counts)  # counters never decrease


def test_metrics_count_operator_ejections_and_the_gateways_own_separately(site):
    reader, ejected, other = Engine("p"), Engine("d"), Engine("d")
    gateway = site(reader, ejected, other, door=True)
    assert gateway.call(f"set-down {ejected.uid}").startswith("ok")
    metrics = read_metrics(gateway)
    assert metrics["gateway_targets"] == 3 and metrics["gateway_targets_disabled"] == 1
    assert metrics['gateway_targets_avoided{why="operator"}'] == 1
    assert metrics['gateway_targets_avoided{why="gateway"}'] == 0
    gateway.call(f"set-up {ejected.uid}")
    assert read_metrics(gateway)["gateway_targets_disabled"] == 0


def test_metrics_count_rejections_stalls_and_closed_connections_by_reason(site):
    """Invariant violations, stalls, rejections and closed connections each have a counter."""
    silent = Engine("p", plan=lambda engine, message, wire: wire.gone())
    gateway = site(silent, Engine("d"), door=True, release=True)
    assert gateway.chat(cls="browse", timeout=400).status == 503
    with Client(gateway.address) as client:
        client.sock.sendall(b"POST /v1/chat")
        client.to_end()
    with stopped(gateway.process):
        time.sleep(0.3)
    eventually(
        lambda: "gateway_held_up 0.0" not in gateway.call("vars")
        and "gateway_held_up " in gateway.call("vars")
    )
    exposition = gateway.call("vars")
    for name in (
        "gateway_breaches",
        "gateway_unexpected_errors",
        "gateway_state_writes_failed",
        "gateway_accepts_failed",
        "gateway_starts_doubted",
    ):
        assert f"\n{name} 0.0\n" in exposition, exposition
    for name in ("gateway_refused_", "gateway_closed_half_request"):
        assert f"\n{name}" in exposition, exposition
