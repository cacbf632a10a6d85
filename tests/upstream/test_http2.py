"""HTTP/2 towards stand-in engines that misbehave, with the gateway as a process of its own."""

import contextlib
import re
import socket
import subprocess
import sys
import threading
import time

import h2.settings
import pytest
from hyperframe.frame import (
    ContinuationFrame,
    DataFrame,
    HeadersFrame,
    PingFrame,
    RstStreamFrame,
    SettingsFrame,
)

from standins.http2 import H2Engine
from standins.servers import (
    EVENTS,
    NEVER,
    ROOT,
    Engine,
    chat,
    eventually,
    post,
    read_well,
    write_well,
)
from tests.gateway.test_gateway import WHOLE, answers, breaks, once

HTTP2 = {"http2": {}}


def refuses(engine, request, stream):
    stream.refuse()


def resets(engine, request, stream):
    stream.reset()


def cuts(engine, request, stream):
    stream.wire.cut()


def goes_away(ids_below, code=0):
    """Sends a GOAWAY with the last id `ids_below` under that of its stream, and then dies."""

    def plan(engine, request, stream):
        stream.wire.goaway(max(0, stream.number - ids_below), code)
        time.sleep(0.05)  # the gateway receives the GOAWAY before the end
        stream.wire.cut()

    return plan


def head_then_cut(engine, request, stream):
    stream.begin()
    time.sleep(0.05)
    stream.wire.cut()


def responds_after(go):
    """A plan that responds once the event `go` is set."""

    def plan(engine, request, stream):
        if go.wait(12):
            stream.stream()

    return plan


def start_requests(s, count, **fields):
    """Starts requests, each on a connection of its own; returns a function that waits for answers.

    They start some milliseconds apart, as the gateway rejects a burst.
    """
    found = []
    threads = []

    def request():
        with s.client() as client:
            found.append(chat(client, **fields).answer())

    for _ in range(count):
        thread = threading.Thread(target=request, daemon=True)
        threads.append(thread)
        thread.start()
        time.sleep(0.02)

    def join():
        for thread in threads:
            thread.join(20)
        assert len(found) == count
        return found

    return join


@pytest.mark.parametrize("release", [False, True])
def test_many_requests_share_one_connection_byte_for_byte(site, release):
    reader = H2Engine("p")
    writer = H2Engine("d")
    go = threading.Event()
    writer.plan = responds_after(go)
    s = site(reader, writer, release=release, **HTTP2)
    body = bytes(range(256)) * 1024  # 256 KiB, more than any initial window
    join = start_requests(s, 8, body=body)
    eventually(lambda: len(writer.asked) == 8)
    go.set()
    assert [(a.status, a.whole, a.body) for a in join()] == [(200, True, WHOLE)] * 8
    for engine in (reader, writer):
        assert len(engine.links) == 1 and not engine.faults and len(engine.asked) == 8
        assert len({m["x-request-id"] for m in engine.asked}) == 8
        assert all(
            m.body == body and m.start == "POST /v1/chat/completions HTTP/2" for m in engine.asked
        )
        assert all(0 < int(m["x-timeout-ms"]) < 6000 for m in engine.asked)


@pytest.mark.parametrize(
    ("role", "first", "cls", "status", "sent"),
    [
        ("d", refuses, "licence", 200, 2),
        ("d", goes_away(2), "licence", 200, 2),
        ("d", goes_away(2, 2), "licence", 200, 2),
        ("d", goes_away(0), "licence", 502, 1),  # the last id itself: it may have run
        ("d", goes_away(0), "browse", 200, 2),
        # The first of two GOAWAYs, without the second.
        ("d", goes_away(-(2**31)), "licence", 502, 1),
        ("d", cuts, "licence", 502, 1),
        ("d", cuts, "browse", 200, 2),
        ("d", resets, "licence", 502, 1),
        ("d", resets, "browse", 200, 2),
        ("d", head_then_cut, "licence", 502, 1),
        ("d", head_then_cut, "browse", 200, 2),
        ("p", refuses, "licence", 200, 2),
        ("p", cuts, "licence", 200, 2),  # a read has no effect
        ("d", answers(503, NEVER), "licence", 200, 2),
        ("d", answers(410, NEVER), "licence", 200, 2),
        ("d", answers(500), "licence", 502, 1),
        ("d", answers(500), "browse", 200, 2),
        ("d", answers(200, body=b""), "licence", 502, 1),
    ],
)
def test_a_failed_stream_is_retried_if_its_class_and_its_end_allow(
    site, role, first, cls, status, sent
):
    plans = {"p": read_well, "d": write_well}
    plans[role] = once(first, plans[role])
    engines = [H2Engine(kind, plan=plans[kind]) for kind in "ppdd"]
    s = site(*engines, release=True, **HTTP2)
    answer = s.chat(cls=cls)
    assert answer.status == status and (status != 200 or answer.body == WHOLE)
    assert sum(len(engine.asked) for engine in engines if engine.kind == role) == sent


def test_a_stream_that_breaks_affects_no_other_stream_of_its_connection(site):
    def plan(engine, request, stream):
        if request["x-route-key"] == "bad":
            breaks(engine, request, stream)
        else:
            stream.stream()

    writer = H2Engine("d", plan=plan)
    s = site(H2Engine("p"), writer, **HTTP2)
    bad = start_requests(s, 3, X_Route_Key="bad")
    good = start_requests(s, 6)
    assert {(a.status, a.whole, a.body) for a in bad()} == {(200, False, EVENTS[0])}
    assert {(a.status, a.whole) for a in good()} == {(200, True)} and len(writer.links) == 1


def test_a_goaway_in_two_steps_with_streams_on_both_sides_of_the_last_id(site):
    """Requests above the last id are sent to another engine, `licence` too; the others go on."""
    go = threading.Event()

    def plan(engine, request, stream):
        if engine.waits_for_go and not go.is_set():
            assert go.wait(12)
            with contextlib.suppress(OSError):
                stream.stream()
        else:
            stream.stream()

    writers = [H2Engine("d", plan=plan) for _ in "dd"]
    for writer in writers:
        writer.waits_for_go = True
    s = site(H2Engine("p"), *writers, **HTTP2)
    join = start_requests(s, 8, cls="licence")
    eventually(lambda: sum(len(writer.asked) for writer in writers) == 8)
    leaving = max(writers, key=lambda writer: len(writer.asked))
    for writer in writers:
        writer.waits_for_go = False
    connection = leaving.links[0]
    port = connection.sock.getpeername()[1]
    ids = sorted(leaving.heads)
    last_id = ids[len(ids) // 2 - 1]
    connection.goaway(2**31 - 1)
    late = start_requests(s, 6, cls="licence")
    assert {(a.status, a.whole) for a in late()} == {(200, True)}
    assert len(connection.streams) == len(ids) > 2  # none was started after the first GOAWAY
    connection.goaway(last_id)
    keys = {n: connection.streams[n].headers["x-request-id"] for n in ids}
    above = {keys[n] for n in ids if n > last_id}

    def sent_elsewhere():
        return {
            message["x-request-id"]
            for writer in writers
            for message in writer.asked
            if (writer, message.port) != (leaving, port)
        }

    eventually(lambda: above <= sent_elsewhere())
    go.set()
    assert {(a.status, a.whole) for a in join()} == {(200, True)}
    not_above = {keys[n] for n in ids if n <= last_id}
    runs = [message["x-request-id"] for writer in writers for message in writer.asked]
    assert all(runs.count(key) == 1 for key in not_above)
    assert all(runs.count(key) == 2 for key in above)


def test_a_limit_lowered_under_load_to_zero_and_raised_again(site):
    go = threading.Event()
    writer = H2Engine("d", limit=20)
    writer.plan = responds_after(go)
    s = site(H2Engine("p"), writer, **{"http2": {"wait_ms": 3000, "connections": 1}})
    join = start_requests(s, 10, timeout=9000)
    eventually(lambda: len(writer.asked) == 10)
    writer.links[0].allow(4)
    eventually(lambda: "http2-limit" in s.log())
    more = start_requests(s, 5, timeout=9000)
    eventually(lambda: "streams=4 open=10" in s.log())
    time.sleep(0.2)
    assert len(writer.heads) == 10  # the ten streams go on, and none is started above the limit
    writer.links[0].allow(0)
    eventually(lambda: "streams=0" in s.log())
    go.set()
    assert {a.status for a in join()} == {200}
    time.sleep(0.2)
    assert len(writer.heads) == 10 and len(writer.links) == 1
    writer.most = 0
    writer.links[0].allow(2)
    assert {a.status for a in more()} == {200} and writer.most <= 2 and not writer.faults


def test_a_limit_of_one_stream_does_not_open_a_connection_for_each_request(site):
    go = threading.Event()
    writer = H2Engine("d", limit=1)
    writer.plan = responds_after(go)
    s = site(H2Engine("p"), writer, **{"http2": {"wait_ms": 3000}})
    join = start_requests(s, 8, timeout=9000)
    eventually(lambda: len(writer.asked) == 2)
    time.sleep(0.3)
    assert len(writer.links) == 2 and len(writer.heads) == 2
    go.set()
    assert {a.status for a in join()} == {200} and not writer.faults and writer.most == 1


def test_a_request_without_a_free_stream_ends_as_not_processed(site):
    writer = H2Engine("d", limit=0)
    s = site(H2Engine("p"), writer, **{"http2": {"wait_ms": 100}})
    start = time.monotonic()
    answer = s.chat(cls="licence", timeout=1500)
    assert answer.status == 503 and time.monotonic() - start < 1.6 and not writer.heads
    eventually(lambda: "full=" in s.log(), within=12)


def test_a_request_that_waits_for_a_stream_is_not_sent_once_its_engine_drains(site):
    go = threading.Event()
    writer = H2Engine("d", limit=1)
    writer.plan = responds_after(go)
    s = site(H2Engine("p"), writer, **{"http2": {"wait_ms": 5000, "connections": 1}})
    join = start_requests(s, 3, cls="licence", timeout=3000)
    eventually(lambda: len(writer.asked) == 1)
    time.sleep(0.2)
    s.discovery.tell(writer.target("Terminating"))
    listed_at = time.monotonic()
    eventually(lambda: "discovery rev=2" in s.log())
    time.sleep(max(0.0, listed_at + 0.25 - time.monotonic()))
    started = len(writer.heads)
    go.set()  # this frees the stream
    assert sorted(a.status for a in join()) == [200, 503, 503]
    assert len(writer.heads) == started == 1


def test_a_reset_after_a_complete_response_has_no_effect(site):
    def plan(engine, request, stream):
        stream.stream()
        stream.wire.raw(RstStreamFrame(stream.number, error_code=0).serialize())

    writer = H2Engine("d", plan=plan)
    s = site(H2Engine("p"), writer, **HTTP2)
    for _ in range(5):
        answer = s.chat(cls="licence")
        assert (answer.status, answer.whole, answer.body) == (200, True, WHOLE)
    assert len(writer.links) == 1


def test_a_dead_connection_with_open_streams_is_detected(site):
    """This takes `ping_after_ms`, `ping_wait_ms` and an interval of the client's ticks."""

    def plan(engine, request, stream):
        if len(engine.asked) == 1:
            stream.wire.deaf = True  # as after a crash of its machine: open, and silent
            stream.gone()
        else:
            stream.stream()

    writer = H2Engine("d", plan=plan)
    s = site(H2Engine("p"), writer, **{"http2": {"ping_after_ms": 300, "ping_wait_ms": 300}})
    start = time.monotonic()
    join = start_requests(s, 1, cls="licence", timeout=9000)
    eventually(lambda: "no sign of life" in s.log())
    assert time.monotonic() - start < 1.5
    assert {a.status for a in join()} == {502}  # it may have run
    assert s.chat(timeout=9000).status == 200 and len(writer.links) == 2


def test_a_request_whose_body_flow_control_blocks_is_sent_to_another_engine(site):
    """Its last byte was not sent, so it did not run: this holds for `licence` too."""
    blocked = []

    def block_first(engine, stream):  # the first engine that is asked never enlarges its window
        if not blocked:
            blocked.append(stream.wire)
            stream.wire.mute = True

    writers = [H2Engine("d", window=2000, at_head=block_first) for _ in "dd"]
    s = site(H2Engine("p"), *writers, release=True, **{"http2": {"body_wait_ms": 200}})
    for n in range(4):
        answer = s.chat(cls="licence", body=b"x" * 50_000, X_Route_Key=f"s{n}")
        assert answer.status == 200
    assert blocked and "http2-stalled" in s.log()
    messages = [message for writer in writers for message in writer.asked]
    blocked_port = blocked[0].sock.getpeername()[1]
    assert len(messages) == 4 and not any(message.port == blocked_port for message in messages)


FLOOD_FRAMES = {
    "ping": lambda n, stream_id: PingFrame(0, b"%08d" % n).serialize(),
    "settings": lambda n, stream_id: SettingsFrame(0, settings={3: 100 + n % 7}).serialize(),
    "empty data": lambda n, stream_id: DataFrame(stream_id, b"").serialize(),
    "reset": lambda n, stream_id: RstStreamFrame(1, error_code=8).serialize(),
    "continuation": lambda n, stream_id: (ContinuationFrame if n else HeadersFrame)(
        stream_id, b""
    ).serialize(),
}


@pytest.mark.parametrize("kind", sorted(FLOOD_FRAMES))
def test_a_flood_of_frames_closes_its_connection_and_costs_little(site, kind):
    def plan(engine, request, stream):
        if len(engine.asked) == 2:
            if kind in ("empty data", "reset"):
                stream.begin()
            for n in range(30_000):
                stream.wire.raw(FLOOD_FRAMES[kind](n, stream.number))
            stream.gone()
        else:
            stream.stream()

    writer = H2Engine("d", plan=plan)
    s = site(H2Engine("p"), writer, release=True, **HTTP2)
    assert s.chat().status == 200
    start = time.monotonic()
    answer = s.chat(cls="licence")
    assert answer.status == 502 and time.monotonic() - start < 4
    assert re.search("http2-closed .*(flood|junk)", s.log())
    assert s.chat(timeout=9000).status == 200


def huge_header_list(engine, request, stream):
    stream.head(200, [(f"x-{n}", "y" * 1000) for n in range(40)])


def data_on_unopened_stream(engine, request, stream):
    stream.wire.raw(DataFrame(stream.number + 10, b"x").serialize())


def pushed_stream(engine, request, stream):
    stream.wire.raw(HeadersFrame(2, b"").serialize())


def huge_frame(engine, request, stream):
    stream.wire.raw(DataFrame(stream.number, b"x" * 20_000).serialize())


def endless_interim_responses(engine, request, stream):
    for _ in range(99):
        stream.head(103)
    stream.gone()


@pytest.mark.parametrize(
    "violation",
    [
        huge_header_list,
        data_on_unopened_stream,
        pushed_stream,
        huge_frame,
        endless_interim_responses,
    ],
)
@pytest.mark.parametrize(("cls", "status"), [("browse", 200), ("licence", 502)])
def test_after_a_protocol_violation_before_the_response_a_request_may_have_run(
    site, violation, cls, status
):
    shared = once(violation, write_well)
    writers = [H2Engine("d", plan=shared) for _ in "dd"]
    s = site(H2Engine("p"), *writers, release=True, **HTTP2)
    assert s.chat(cls=cls, timeout=9000).status == status
    assert re.search("http2-closed .* junk", s.log())
    assert s.chat(timeout=9000).status == 200


def test_interim_responses_and_load_reports_in_trailers_are_understood(site):
    def plan(engine, request, stream):
        stream.head(100)
        stream.head(103, [("link", "x")])
        stream.begin()
        for data in EVENTS[:-1]:
            stream.event(data)
        stream.event(EVENTS[-1])
        stream.end([("x-server-load", "x0=0.5,x1=2")])

    s = site(H2Engine("p"), H2Engine("d", plan=plan), **HTTP2)
    answer = s.chat(cls="licence")
    assert (answer.status, answer.whole, answer.body) == (200, True, WHOLE)


def test_one_slow_client_delays_no_other_of_fifty(site):
    big = b'data: {"x":"%s"}\n\n' % (b"y" * 4000)
    go = threading.Event()

    def plan(engine, request, stream):
        stream.begin()
        with contextlib.suppress(OSError):
            stream.event(big)
            if request["x-route-key"] == "slow":
                for _ in range(2499):  # 10 MB, more than the sockets buffer
                    stream.event(big)
            else:
                go.wait(12)
                stream.event(big)
            stream.end()

    writer = H2Engine("d", plan=plan)
    s = site(H2Engine("p"), writer, **HTTP2)
    with s.client() as slow:
        chat(slow, X_Route_Key="slow")
        eventually(lambda: writer.asked)
        time.sleep(0.3)  # its window and the socket buffers fill
        joins = []
        for n in range(7):  # seven at a time, until fifty streams are open at once
            joins.append(start_requests(s, 7))
            eventually(lambda n=n: len(writer.asked) == 8 + 7 * n)
        start = time.monotonic()
        go.set()
        for join in joins:
            assert {(a.status, a.whole, len(a.body)) for a in join()} == {(200, True, 2 * len(big))}
        assert time.monotonic() - start < 5 and len(writer.links) == 1
        answer = slow.answer()
        assert (answer.status, answer.whole, len(answer.body)) == (200, True, 2500 * len(big))


def test_an_abandoned_attempt_is_reset_and_its_state_released_at_the_stream_limit(site):
    reader = H2Engine("p", limit=1, plan=lambda engine, request, stream: stream.gone())
    s = site(reader, H2Engine("d"), **{"http2": {"connections": 1}})
    clients = [s.client() for _ in range(3)]
    chat(clients[0], key="bb01")
    eventually(lambda: reader.asked)
    chat(clients[1], key="bb02")  # waits for the only stream
    clients[0].__exit__()
    eventually(lambda: len(reader.asked) == 2 and len(reader.resets) == 1)
    eventually(
        lambda: "DELETE /kv/leases/bb01 HTTP/2" in [m.start for m in reader.calls], within=0.35
    )
    assert len(reader.live()) <= 2 and not reader.faults  # the second is for the call
    for client in clients:
        client.__exit__()


def test_slow_start_holds_for_requests_that_wait_for_a_stream(site):
    """A cold engine allows no stream at first: what waits must not reach it all at once later."""
    warm = [H2Engine("p", limit=50) for _ in "pp"]
    s = site(*warm, H2Engine("d"), **HTTP2)
    cold = H2Engine("p", limit=0)
    cold.start()
    s.discovery.tell(cold.target(boot_ms=int(time.time() * 1000)))
    joins = []
    for _ in range(10):
        joins.append(start_requests(s, 3))
        time.sleep(0.03)
        if cold.links and not cold.links[0].settled.wait(1):
            pytest.fail("no settings")
    for connection in cold.links:
        with contextlib.suppress(OSError):
            connection.allow(50)
    for join in joins:
        assert {a.status for a in join()} == {200}
    cold.close()
    assert len(cold.asked) <= 4  # a warm engine would get ten


def closes_connection(wire):
    wire.sock.recv(10)


def stays_silent(wire):
    wire.gone()


def responds_in_http1(wire):
    wire.reply(400)


@pytest.mark.parametrize(
    ("answer_preface", "proof"),
    [(responds_in_http1, "junk"), (closes_connection, "closed"), (stays_silent, "silent")],
)
def test_an_engine_without_http2_is_used_by_http1_until_it_is_listed_again(
    site, answer_preface, proof
):
    """HTTP/2 is tried once, and no request is lost or run twice by that."""

    class Http1Engine(Engine):
        protocol = "h2c"
        preface_count = 0

        def talk(self, wire):
            first = wire.sock.recv(3, socket.MSG_PEEK)
            if first == b"PRI":
                self.preface_count += 1
                answer_preface(wire)
            else:
                super().talk(wire)

    reader = Http1Engine("p")
    writer = Http1Engine("d")
    s = site(reader, writer, http2={"settings_ms": 60})
    join = start_requests(s, 6, cls="licence")
    assert {(a.status, a.body) for a in join()} == {(200, WHOLE)}
    for n in range(4):
        assert s.chat(cls="licence", X_Route_Key=f"t{n}").status == 200
    assert len(reader.asked) == len(writer.asked) == 10
    assert writer.preface_count == reader.preface_count == 1
    assert s.log().count(f"proof={proof}") == 2
    s.discovery.tell(writer.target())
    eventually(lambda: "discovery rev=2" in s.log())
    assert s.chat(cls="licence").status == 200
    assert writer.preface_count == 2 and reader.preface_count == 1


@pytest.mark.parametrize("everywhere", ["true", "false"])
def test_the_listed_protocol_and_the_setting_decide_which_engines_use_http2(site, everywhere):
    class UnnamedProtocolEngine(H2Engine):
        protocol = ""

    http2 = H2Engine("p")
    unnamed = UnnamedProtocolEngine("d")
    http1 = Engine("p")
    http1.protocol = "http/1.1"
    s = site(http2, http1, unnamed, **{"http2": {"everywhere": everywhere}})
    for n in range(8):
        attrs = f"prompt_len=800,prefix=q{n},prefix_len=700"
        status = s.chat(X_Route_Key=f"s{n}", X_Attrs=attrs).status
        assert status == (200 if everywhere == "true" else 502) or everywhere == "false"
    assert not http1.prefaces and not http2.faults
    assert bool(unnamed.asked) is (everywhere == "true")
    assert {m.start.split()[-1] for m in http1.asked} <= {"HTTP/1.1"}
    assert len(http2.asked) + len(http1.asked) >= 8


def test_embeddings_use_http2(site):
    engine = H2Engine("embed")
    s = site(H2Engine("p"), H2Engine("d"), engine, embeddings={}, **HTTP2)
    for n in (1, 3):
        answer = post(
            s.embeddings_address, "/v1/embeddings", {"model": "e", "input": ["x" * 900] * n}
        )
        assert answer.status == 200 and len(answer.json()["data"]) == n
    assert (
        post(
            s.embeddings_address,
            "/v1/rerank",
            {"model": "e", "query": "q", "documents": ["a", "b"]},
        ).status
        == 200
    )
    assert len(engine.links) == 1 and {m.start.split()[-1] for m in engine.asked} == {"HTTP/2"}


def test_idle_connections_are_closed_before_the_engine_closes_them(site):
    writer = H2Engine("d")
    s = site(H2Engine("p"), writer, **HTTP2)
    assert s.chat().status == 200
    eventually(lambda: writer.farewells == 1 and not writer.live(), within=4)  # conn-idle is 4 s
    assert s.chat(cls="licence").status == 200 and len(writer.links) == 2


def test_a_gateway_that_stops_completes_its_streams(site):
    go = threading.Event()
    writer = H2Engine("d")
    writer.plan = responds_after(go)
    s = site(H2Engine("p"), writer, **HTTP2)
    join = start_requests(s, 5)
    eventually(lambda: len(writer.asked) == 5)
    s.process.terminate()
    eventually(lambda: "stopping" in s.log())
    go.set()
    assert {(a.status, a.whole) for a in join()} == {(200, True)}
    assert s.process.wait(8) == 0


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("conections = 2", "conections"),
        ("connections = 0", "connections"),
        ("connections = true", "connections"),
        ("wait_ms = 'x'", "wait_ms"),
        ("everywhere = 1", "everywhere"),
        ("window_kib = 99999", "window_kib"),
        ("=", "not TOML"),
    ],
)
def test_invalid_keys_of_the_file_are_reported_by_name(site, tmp_path, text, expected):
    s = site()
    (tmp_path / "h2.toml").write_text(text + "\n")
    for command in ("check-config", "serve"):
        options = ["--config", str(s.folder / "config.json"), "--http2", str(tmp_path / "h2.toml")]
        result = subprocess.run(
            [sys.executable, "-m", "claycross", command, *options],
            cwd=ROOT,
            capture_output=True,
            text=True,
            check=False,
        )
        assert result.returncode == 2 and expected in result.stderr
        assert len(result.stderr.splitlines()) == 1


def test_the_deployed_file_has_the_default_values(site):
    from claycross.config.operator_files import Http2Config, read

    assert read(str(ROOT / "deploy" / "http2.toml"), Http2Config) == Http2Config()
    assert h2.settings.SettingCodes.MAX_CONCURRENT_STREAMS == 3
