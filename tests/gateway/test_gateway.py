"""The gateway as a process, seen by clients, engines and discovery. Failures met on the bench stand
here."""

import contextlib
import fcntl
import gc
import json
import os
import signal
import socket
import subprocess
import sys
import threading
import time
import weakref

import pytest

from claycross import interface as i
from claycross.net.loop import Timer
from claycross.requests.manager import RequestManager
from claycross.upstream.http1 import REUSE_DELAY_NS
from standins.servers import (
    EVENTS,
    NEVER,
    ROOT,
    Client,
    Discovery,
    Engine,
    Site,
    chat,
    eventually,
    passes,
    post,
)
from tests.routing.router_harness import MS, SECOND, RouterHarness, entry, settings

WHOLE = b"".join(EVENTS)


def once(first, then):
    """A plan whose first request, over all engines that share it, is answered differently."""
    state = {"first": True}

    def plan(engine, request, wire):
        use, state["first"] = (first if state["first"] else then), False
        use(engine, request, wire)

    return plan


def rested():
    """Until an engine's connection may be used again: what comes behind an answer is seen by
    then."""
    passes(3 * REUSE_DELAY_NS / SECOND)


def read_well(engine, request, wire):
    wire.reply(202, body=b'{"cached_tokens":5}')


def write_well(engine, request, wire):
    wire.stream()


def held(go):
    """A plan that begins its stream, and goes on with it when `go` is set."""

    def plan(engine, request, wire):
        wire.begin()
        wire.event(EVENTS[0])
        if go.wait(10):
            for data in EVENTS[1:]:
                wire.event(data)
            wire.sock.sendall(b"0\r\n\r\n")

    return plan


def says(*parts):
    """A plan that writes this and leaves its connection open."""

    def plan(engine, request, wire):
        for part in parts:
            wire.sock.sendall(part)
        wire.gone()

    return plan


def chunked(data):
    return b"%x\r\n%b\r\n" % (len(data), data)


def answers(status, *headers, body=b""):
    return lambda engine, request, wire: wire.reply(status, *headers, body=body)


def resets(engine, request, wire):
    wire.reset()


def silent(engine, request, wire):
    wire.gone()


def breaks(engine, request, wire):
    wire.begin()
    wire.event(EVENTS[0])
    wire.reset()


def junk(engine, request, wire):
    wire.sock.sendall(b"\x00\xff what is this\r\n\r\n")


@pytest.mark.parametrize("release", [False, True])
def test_a_request_is_read_written_and_passed_on_byte_for_byte(site, release):
    reader, writer = Engine("p"), Engine("d")
    s = site(reader, writer, release=release)
    body = bytes(range(256)) * 1024  # 256 KiB, no JSON: it is none of the gateway's business
    with s.client() as c:
        for key in ("aa01", "aa02"):
            answer = chat(c, key=key, body=body).answer()
            assert (answer.status, answer.whole, answer.body) == (200, True, WHOLE)
            rested()
    for engine in (reader, writer):
        assert [m["x-request-id"] for m in engine.asked] == ["aa01", "aa02"]
        assert all(
            m.body == body and m.start == "POST /v1/chat/completions HTTP/1.1" for m in engine.asked
        )
        assert all(0 < int(m["x-timeout-ms"]) < 6000 for m in engine.asked)
        assert len({m.port for m in engine.asked}) == 1  # the connection was kept
    assert not reader.calls  # a state that was fetched needs no letting go


def test_a_body_in_chunks_goes_on_whole(site):
    writer = Engine("d")
    s = site(Engine("p"), writer)
    with s.client() as c:
        c.sock.sendall(HEAD + b"X-Priority-Class: browse\r\nTransfer-Encoding: chunked\r\n\r\n")
        for byte in b"3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nT: t\r\n\r\n":
            c.sock.sendall(bytes([byte]))
        assert c.answer().whole
    assert writer.asked[0].body == b"abcde"


@pytest.mark.parametrize(
    ("role", "first", "cls", "status", "sent"),
    [
        ("p", answers(500), "licence", 200, 2),  # a read has no effect: it may be tried again
        ("p", resets, "licence", 200, 2),
        ("p", junk, "licence", 200, 2),
        ("p", answers(503, NEVER), "browse", 200, 2),
        ("d", answers(503, NEVER), "licence", 200, 2),
        ("d", answers(410, NEVER), "licence", 200, 2),
        ("d", answers(504, NEVER), "browse", 200, 2),
        ("d", answers(500), "browse", 200, 2),
        (
            "d",
            answers(500),
            "licence",
            502,
            1,
        ),  # it may have run: never again, and not refused either
        ("d", answers(503), "licence", 502, 1),
        ("d", resets, "licence", 502, 1),
        ("d", junk, "licence", 502, 1),
        ("d", resets, "browse", 200, 2),
        ("d", answers(200, body=b""), "licence", 502, 1),
    ],
)
def test_each_outcome_leads_to_the_answer_that_the_class_allows(
    site, role, first, cls, status, sent
):
    well = {"p": read_well, "d": write_well}
    shared = once(first, well[role])
    engines = [Engine(kind, plan=shared if kind == role else well[kind]) for kind in "ppdd"]
    s = site(*engines, release=True)
    answer = s.chat(cls=cls)
    assert answer.status == status and (status != 200 or answer.body == WHOLE)
    assert sum(len(e.asked) for e in engines if e.kind == role) == sent


@pytest.mark.parametrize("cls", ["browse", "licence"])
def test_a_broken_stream_ends_without_its_last_chunk_and_is_not_sent_again(site, cls):
    writer = Engine("d", plan=breaks)
    s = site(Engine("p"), writer)
    answer = s.chat(cls=cls)
    assert (answer.status, answer.body, answer.whole) == (200, EVENTS[0], False)
    assert len(writer.asked) == 1


STREAM = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
HALF = b"%x\r\n" % len(EVENTS[0]) + EVENTS[0][:9]


@pytest.mark.parametrize(
    "spoilt",
    [
        b"\x00\x9fno line end",
        b"HTTP/1.1 abc\r\n",
        b"HTTP/1.1 200 OK\r\nno colon\r\n",
        STREAM[:-2],
        b"HTTP/1.1 200 OK\r\n" + b"X: y\r\n" * 9000,
        STREAM + b"zz",
        STREAM + b"-5\r\n",
        STREAM + b"c0000000\r\n" + b"x" * 99,
        STREAM + b"2\r\n" + EVENTS[0],
        STREAM + HALF,
        b"HTTP/1.1 103 X\r\n\r\n" * 99,
        b"HTTP/1.1 101 X\r\n\r\n",
    ],
)
@pytest.mark.parametrize(("cls", "status", "sent"), [("browse", 200, 2), ("licence", 502, 1)])
def test_an_answer_spoilt_before_its_first_event_may_have_run(site, spoilt, cls, status, sent):
    """Its connection stays open: nothing but what came, or what does not come, tells."""
    shared = once(says(spoilt), write_well)
    writers = [Engine("d", plan=shared) for _ in "dd"]
    s = site(Engine("p"), *writers, release=True)
    answer = s.chat(cls=cls, timeout=20_000)
    assert answer.status == status and (status != 200 or answer.body == WHOLE)
    assert sum(len(e.asked) for e in writers) == sent
    assert "engine-malformed-response" in s.log() or spoilt in (
        STREAM[:-2],
        STREAM + HALF,
    )  # the module is sooner there


@pytest.mark.parametrize(
    "spoilt", [b"zz", b"c0000000\r\n" + b"x" * 99, b"2\r\n" + EVENTS[1], HALF, b""]
)
def test_a_stream_spoilt_later_ends_its_client_without_the_last_chunk(site, spoilt):
    passed_on = threading.Event()

    def plan(engine, request, wire):
        wire.sock.sendall(STREAM + chunked(EVENTS[0]))
        assert passed_on.wait(8)
        wire.sock.sendall(spoilt)
        wire.gone()

    writer = Engine("d", plan=plan)
    s = site(Engine("p"), writer, release=True, resume=True)
    with s.client() as c:
        c.sock.settimeout(5)
        assert chat(c, cls="licence").file.readline().startswith(b"HTTP/1.1 200")
        passed_on.set()
        rest = c.to_end().partition(b"\r\n\r\n")[2]
    assert rest == chunked(EVENTS[0]) and len(writer.asked) == 1


GOOD = STREAM + b"".join(map(chunked, EVENTS)) + b"0\r\n\r\n"


@pytest.mark.parametrize(
    ("raw", "kept"),
    [
        (b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nLink: x\r\n\r\n" + GOOD, True),
        (
            GOOD.replace(
                b"Content-Type", b"X-Server-Load: x0=nan,x1=-inf,\xff\xfe==,,x0\r\nContent-Type"
            ),
            True,
        ),
        (GOOD + b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno", False),
        (GOOD + b"\x00", False),
    ],
)
def test_a_good_stream_with_more_than_belongs_to_it_is_served(site, raw, kept):
    writer = Engine("d", plan=lambda engine, request, wire: wire.sock.sendall(raw))
    s = site(Engine("p"), writer)
    for _ in range(3):
        answer = s.chat(cls="licence")
        assert (answer.status, answer.body, answer.whole) == (200, WHOLE, True)
        rested()
    assert len({m.port for m in writer.asked}) == (1 if kept else 3)


def test_what_an_engine_cannot_use_is_answered_and_no_blame_on_the_engine(site):
    def plan(engine, request, wire):
        if request["x-request-id"].startswith("bad"):
            return wire.reply(400)
        return wire.reply(202, body=b'{"cached_tokens":5}')

    readers = [Engine("p", plan=plan) for _ in "pp"]
    s = site(*readers, Engine("d"), release=True)
    for n in range(6):
        assert s.chat(key=f"bad{n}", X_Route_Key=f"s{n}").status == 502
    assert sum(len(e.asked) for e in readers) == 6
    for n in range(12):
        assert (
            s.chat(X_Route_Key=f"t{n}", X_Attrs=f"prompt_len=800,prefix=q{n},prefix_len=700").status
            == 200
        )
    assert all(len(e.asked) > 6 // 2 for e in readers)


def test_events_are_passed_on_as_they_come(site):
    go = threading.Event()

    def plan(engine, request, wire):
        wire.begin()
        wire.event(EVENTS[0])
        assert go.wait(10)
        for data in EVENTS[1:]:
            wire.event(data[:9])
            wire.event(data[9:])
        wire.sock.sendall(b"0\r\n\r\n")

    s = site(Engine("p"), Engine("d", plan=plan))
    with s.client() as c:
        chat(c)
        head = b"".join(iter(c.file.readline, b"\r\n"))
        assert b"text/event-stream" in head and int(c.file.readline(), 16) == len(EVENTS[0])
        assert c.file.read(len(EVENTS[0])) == EVENTS[0]  # here before the second was made
        go.set()
        rest = b"".join(iter(c.file.readline, b"0\r\n"))
        assert all(data in rest for data in EVENTS[1:])


@pytest.mark.parametrize("release", [False, True])
def test_what_nobody_serves_is_answered_before_its_deadline(site, release):
    reader = Engine("p", plan=silent)
    s = site(reader, Engine("d"), release=release)
    start = time.monotonic()
    answer = s.chat(timeout=700)
    assert answer.status == 503 and float(answer["retry-after"]) >= 0
    assert time.monotonic() - start < 1  # well under what the silent reader would have cost
    # the read was cut off; it may have ended well at that moment, so what it left is let go
    eventually(lambda: any(m.start.startswith("DELETE") for m in reader.calls))


@pytest.mark.parametrize("release", [False, True])
def test_a_read_at_an_engine_that_can_no_longer_be_reached_is_not_waited_out(site, release):
    """Its open connection stays quiet, as one does over a cut link; a new one shows that it is
    gone."""
    lost = threading.Event()

    def plan(engine, request, wire):
        if lost.is_set():
            return wire.reply(202)
        lost.set()
        engine.sock.shutdown(socket.SHUT_RDWR)
        engine.sock.close()
        wire.gone()

    s = site(Engine("p", plan=plan), Engine("p", plan=plan), Engine("d"), release=release)
    start = time.monotonic()
    answer = s.chat(timeout=20_000, X_Attrs="prompt_len=40000,prefix_len=0,max_out=50")
    assert answer.status == 200
    assert time.monotonic() - start < 4  # 1.6 s are foretold for the read; its patience is 6.9 s


def test_a_request_id_that_is_under_way_is_not_run_a_second_time(site):
    go, reader, writer = threading.Event(), Engine("p"), Engine("d")

    def plan(engine, request, wire):
        assert go.wait(10)
        wire.reply(202)

    reader.plan = plan
    s = site(reader, writer)
    with s.client() as c:
        chat(c, key="cc01", cls="licence")
        eventually(lambda: reader.asked)
        assert s.chat(key="cc01", cls="licence").status == 409
        go.set()
        assert c.answer().status == 200
    assert len(writer.asked) == 1


def test_a_client_that_leaves_frees_the_engine_and_what_it_holds(site):
    left = threading.Event()

    def plan(engine, request, wire):
        wire.gone()
        left.set()

    reader = Engine("p", plan=plan)
    s = site(reader, Engine("d"))
    with s.client() as c:
        chat(c, key="bb07")
        eventually(lambda: reader.asked)
    assert left.wait(8)
    eventually(lambda: "DELETE /kv/leases/bb07 HTTP/1.1" in [m.start for m in reader.calls])


def test_a_client_that_leaves_its_stream_ends_it_at_the_engine(site):
    left = threading.Event()

    def plan(engine, request, wire):
        wire.begin()
        wire.event(EVENTS[0])
        wire.gone()
        left.set()

    s = site(Engine("p"), Engine("d", plan=plan))
    with s.client() as c:
        chat(c)
        assert c.file.readline().startswith(b"HTTP/1.1 200")
    assert left.wait(8)


def test_letting_go_is_tried_until_the_engine_hears_it(site):
    reader = Engine("p", plan=silent)
    s = site(reader, Engine("d"))
    talk, refused = reader.talk, []

    def deaf(wire):  # breaks the first calls that come on a connection of their own
        if reader.asked and len(refused) < 2:
            refused.append(wire)
            return wire.reset()
        return talk(wire)

    reader.talk = deaf
    assert s.chat(timeout=400).status == 503
    eventually(lambda: reader.calls)
    assert len(refused) == 2


def test_a_slow_client_holds_up_nobody_else(site):
    flood = [b"data: %b\n\n" % (b"x" * 60_000)] * 200

    def plan(engine, request, wire):
        wire.stream(flood if request["x-request-id"] == "slow" else EVENTS)

    s = site(Engine("p"), Engine("d", plan=plan))
    with s.client() as slow:
        chat(slow, key="slow")
        assert slow.file.readline().startswith(b"HTTP/1.1 200")  # and reads no further
        for _ in range(5):
            assert s.chat().body == WHOLE
        slow.file.readline()


# Drains and the list
def test_a_send_that_is_still_connecting_when_a_drain_comes_does_not_go_out(site):
    """The listener's queue is full, so the connection comes up late: after the drain was told."""
    reader = Engine("p", backlog=0)
    other = Engine("p")
    fillers = []
    s = site(reader, Engine("d"))
    reader.sock.listen(0)
    reader.close()
    full = socket.socket()
    full.bind(("127.0.0.1", reader.port))
    full.listen(0)
    while True:  # fills the queue
        filler = socket.socket()
        filler.setblocking(False)
        fillers.append(filler)
        filler.connect_ex(("127.0.0.1", reader.port))
        time.sleep(0.02)
        if filler.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) == 0 and len(fillers) > 3:
            break
    with s.client() as c:
        chat(c, key="dd01", timeout=6000)
        other.start()
        s.discovery.tell(reader.target("Terminating"), other.target())
        for _ in fillers[:2]:
            full.accept()
        assert c.answer().status in (200, 503)
    full.settimeout(1.5)
    sent = b""
    try:
        while True:
            conn, _ = full.accept()
            conn.settimeout(0.3)
            sent += conn.recv(100)
    except OSError:
        pass
    full.close()
    other.close()
    assert b"dd01" not in sent and b"POST" not in sent


def test_a_drain_turns_traffic_away_at_once_and_a_new_engine_gets_some(site):
    old, new = Engine("p"), Engine("p")
    s = site(old, Engine("d"))
    assert s.chat().status == 200
    new.start()
    s.discovery.tell(old.target("Terminating"), new.target())
    eventually(lambda: "rev=2" in s.log())
    assert all(s.chat().status == 200 for _ in range(3))
    assert (len(old.asked), len(new.asked)) == (1, 3)
    new.close()


@pytest.mark.parametrize(
    "line",
    [
        b"nonsense\n",
        b'{"rev":9}\n',
        b"[1]\n",
        b'{"rev":"x","targets":[{}]}\n',
        b'{"rev":3,"targets":[{"uid":"a","state":"Odd"}]}\n',
    ],
)
def test_junk_from_discovery_is_a_logged_retry(site, line):
    s = site(Engine("p"), Engine("d"))
    s.discovery.junk(line)
    eventually(lambda: "discovery-lost" in s.log() and len(s.discovery.froms) > 1)
    assert s.chat().status == 200


@pytest.mark.parametrize("mode", ["push", "ask"])
def test_the_known_list_serves_while_discovery_is_silent_and_the_watch_comes_back(site, mode):
    s = site(Engine("p"), Engine("d"), mode=mode)
    watches = list(s.discovery.watches)
    s.discovery.rev = 7
    for wire in watches:
        wire.sock.shutdown(socket.SHUT_RDWR)
    assert s.chat().status == 200
    eventually(lambda: len(s.discovery.froms) > 1 and s.discovery.watches)
    assert s.discovery.froms[0] == 1


def test_an_engine_that_just_started_gets_little(site):
    cold = Engine("p")
    s = site(*(Engine("p") for _ in range(3)), Engine("d"), release=True)
    cold.start()
    s.discovery.tell(cold.target(boot_ms=int(time.time() * 1000)))
    eventually(lambda: "rev=2" in s.log())
    for n in range(40):
        assert s.chat(X_Route_Key=f"s{n}").status == 200
    cold.close()
    assert len(cold.asked) <= 4  # a warm one would get ten


# Connections
def test_idle_connections_are_closed_before_the_engine_would(site):
    writer = Engine("d")
    s = site(Engine("p"), writer, settings={"conn-idle": 1_600_000_000})
    assert s.chat().status == 200
    eventually(lambda: writer.wires[0].ended)
    assert s.chat(cls="licence").status == 200
    assert len({m.port for m in writer.asked}) == 2


def test_a_connection_that_its_engine_closed_is_not_used_again(site):
    writer = Engine("d")
    s = site(Engine("p"), writer)
    for _ in range(3):
        assert s.chat(cls="licence").status == 200
        for wire in writer.wires:
            with contextlib.suppress(OSError):
                wire.sock.shutdown(socket.SHUT_RDWR)
    assert len(writer.asked) == 3


HEAD = b"POST /v1/chat/completions HTTP/1.1\r\nX-Request-ID: a1\r\n"
ASK = HEAD + b"X-Priority-Class: browse\r\n"


@pytest.mark.parametrize(
    ("raw", "status", "closes"),
    [
        (b"GET /-/ready HTTP/1.1\r\n\r\n", 200, False),
        (b"POST /-/ready HTTP/1.1\r\n\r\n", 405, False),
        (b"GET /v1/chat/completions HTTP/1.1\r\n\r\n", 405, False),
        (b"POST /v1/other HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}", 404, False),
        (b"POST /v1/chat/completions HTTP/1.1\r\n\r\n", 400, False),  # no id
        (b"POST /v1/chat/completions HTTP/1.1\r\nX-Request-ID: a b\r\n\r\n", 400, False),
        (HEAD + b"X-Timeout-Ms: 900\r\n\r\n", 400, False),  # no class
        (HEAD + b"X-Priority-Class: browses\r\n\r\n", 400, False),
        *(
            (ASK + line + b"\r\n\r\n", 400, False)
            for line in (
                b"X-Timeout-Ms: soon",
                b"X-Timeout-Ms: -4",
                b"X-Timeout-Ms: 1_0",
                b"X-Timeout-Ms: nan",
                b"X-Timeout-Ms: 1e3",
                b"X-Timeout-Ms: " + b"9" * 30,
                b"X-Attrs: prompt_len=many",
                b"X-Attrs: prompt_len=-1",
                b"X-Route-Key: " + b"k" * 9000,
            )
        ),
        (b"nonsense\r\n\r\n", 400, True),
        (b"GET / HTTP/3.0\r\n\r\n", 400, True),
        (HEAD + b"Bad Name: x\r\n\r\n", 400, True),
        (HEAD + b"No-Colon\r\n\r\n", 400, True),
        (b"GET /\nHost: x\n\n", 400, True),
        (HEAD + b"Content-Length: 1\r\nContent-Length: 2\r\n\r\n", 400, True),
        (HEAD + b"Content-Length: -1\r\n\r\n", 400, True),
        (HEAD + b"Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", 400, True),
        (HEAD + b"Transfer-Encoding: gzip\r\n\r\n", 400, True),
        (HEAD + b"Transfer-Encoding:\r\nContent-Length: 5\r\n\r\n", 400, True),
        (HEAD + b"Transfer-Encoding: xchunked\r\n\r\n", 400, True),
        (HEAD + b"Transfer-Encoding : chunked\r\n\r\n", 400, True),
        (HEAD + b"X: a\x01b\r\n\r\n", 400, True),
        (
            HEAD + b" folded: x\r\nX",
            400,
            True,
        ),  # and no more: a line that is wrong is known by its end
        (HEAD + b"No-Colon\r\nX", 400, True),
        (HEAD + b"Transfer-Encoding: chunked\r\n\r\n 5\r\n", 400, True),
        (HEAD + b"Transfer-Encoding: chunked\r\n\r\nzz", 400, True),
        (HEAD + b"Transfer-Encoding: chunked\r\n\r\nffffffff\r\n", 413, True),
        (
            b"POST /v1/chat/completions HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            400,
            True,
        ),
        (HEAD + b"Content-Length: 60000000\r\n\r\n" + b"x" * 9_000_000, 413, True),
        (HEAD + b"Content-Length: 5\r\n\r\n", 408, True),  # and then nothing
        (HEAD, 408, True),
        (HEAD + b"Transfer-Encoding: chunked\r\n\r\nxyz\r\n", 400, True),
        (HEAD + b"Transfer-Encoding: chunked\r\n\r\n2\r\nabcd\r\n", 400, True),
        (HEAD + b"Transfer-Encoding: chunked\r\n\r\n5\r\nab", 400, True),  # and then it ends
        (HEAD + b"Content-Length: 5\r\n\r\nab", 400, True),
        (HEAD + b"Content-Length: 262145\r\n\r\n", 413, True),
        (HEAD + b"Transfer-Encoding: chunked\r\n\r\n40001\r\n" + b"x" * 0x40001, 413, True),
        (HEAD + b"X: " + b"y" * 20_000 + b"\r\n\r\n", 431, True),
        (b"GET /" + b"y" * 20_000, 431, True),
    ],
)
def test_bad_input_is_answered_in_time_and_only_broken_framing_closes(
    site_for_input, raw, status, closes
):
    with Client(site_for_input.address) as c:
        c.sock.settimeout(
            3
        )  # what a bad client is owed comes, and its connection ends, within that
        with contextlib.suppress(OSError):  # it may be closed on while it sends on and on
            c.sock.sendall(raw)
        if raw.endswith(b"ab"):
            c.sock.shutdown(socket.SHUT_WR)
        answer = c.answer()
        assert answer.status == status
        if closes:
            assert answer["connection"] == "close" and not c.to_end()
        else:
            assert c.send("GET", "/-/ready").answer().status == 200


def test_an_error_said_again_and_again_on_a_connection_comes_ever_later(site_for_input):
    with site_for_input.client() as c:
        start = time.monotonic()
        for _ in range(4):
            assert chat(c, cls="none").answer().status == 400
        assert time.monotonic() - start > 1  # 0.2 s, 0.4 s and 0.8 s before those after the first
        assert chat(c).answer().status == 200


@pytest.mark.parametrize("said", [b"", ASK], ids=["silent", "half a request"])
def test_hundreds_that_never_ask_take_no_place_and_are_ended(site, said):
    s = site(Engine("p"), Engine("d"), release=True)
    bad = [s.client() for _ in range(400)]  # the gateway has 512 descriptors
    start = time.monotonic()
    for c in bad:
        with contextlib.suppress(ConnectionError):  # the first may have been ended already
            c.sock.sendall(said)
    assert [s.chat().status for _ in range(5)] == [200] * 5
    assert time.monotonic() - start < 2.5  # not only after all of them have been ended
    for c in bad:
        c.sock.settimeout(max(0.01, start + 3.5 - time.monotonic()))
        assert not c.to_end() or said
        c.__exit__()


def test_a_connection_without_a_request_is_closed_after_a_while(site):
    s = site(Engine("p"), Engine("d"))
    with s.client() as c:
        assert chat(c).answer().status == 200
        assert not c.to_end() and s.process.poll() is None


@pytest.fixture(scope="module")
def site_for_input(tmp_path_factory):
    with Site(tmp_path_factory.mktemp("input"), [Engine("p"), Engine("d")]) as s:
        yield s


# Starting and stopping
@pytest.mark.parametrize("release", [False, True])
def test_sigterm_answers_what_it_owes_takes_what_still_comes_and_exits(site, release):
    go = threading.Event()

    s = site(Engine("p"), Engine("d", plan=held(go)), release=release)
    with s.client() as busy, s.client() as idle:
        assert idle.send("GET", "/-/ready").answer().status == 200
        chat(busy)
        assert busy.file.readline().startswith(b"HTTP/1.1 200")
        s.process.send_signal(signal.SIGTERM)
        with s.client() as late:  # at once: read late, the log says what is no longer so
            eventually(lambda: "stopping" in s.log())
            chat(late)
            assert not idle.to_end()  # closed, with nothing said
            with pytest.raises(ConnectionRefusedError):
                s.client()
            assert s.process.poll() is None
            go.set()
            answer = late.answer()
            assert (answer.body, answer.whole, answer["connection"]) == (WHOLE, True, "close")
        assert busy.to_end().endswith(b"\r\n0\r\n\r\n")
    assert s.process.wait(8) == 0 and "stopped" in s.log()


def test_what_comes_while_it_stops_is_answered_before_its_end(site):
    reader = Engine("p", plan=silent)
    s = site(reader, Engine("d"), release=True)
    s.process.send_signal(signal.SIGTERM)
    eventually(lambda: "stopping" in s.log())
    start = time.monotonic()
    assert s.chat(timeout=20_000, cls="licence").status == 503  # not at its own, later deadline
    assert time.monotonic() - start < 3.7 and s.process.wait(8) == 0


@pytest.mark.parametrize("resume", [True, False])
def test_a_stopping_gateway_hands_long_streams_back_in_turn_where_clients_come_again(site, resume):
    """Killed with all its streams at once, it sent their clients away in one moment, to nobody."""
    go = threading.Event()

    s = site(Engine("p"), Engine("d", plan=held(go)), release=True, resume=resume)
    clients = []
    for cls in ("browse", "licence", "licence"):
        clients.append(chat(s.client(), cls=cls))
        assert clients[-1].file.readline().startswith(b"HTTP/1.1 200")
    start, ends = time.monotonic(), []
    s.process.send_signal(signal.SIGTERM)
    if not resume:  # there cutting it off would lose it
        with pytest.raises(subprocess.TimeoutExpired):
            s.process.wait(3.5)
        go.set()
    for c in reversed(clients):  # the youngest goes first
        assert c.to_end().endswith(b"\r\n0\r\n\r\n") is not resume
        ends.append(time.monotonic() - start)
        c.__exit__()
    assert s.process.wait(8) == 0
    if resume:
        assert 2 < ends[0] < ends[1] < ends[2] < 3.7 and ends[2] - ends[0] > 0.05


@pytest.fixture
def second_discovery():
    found = Discovery()
    yield found
    found.close()


@pytest.mark.parametrize(("release", "mode"), [(False, "push"), (True, "push"), (False, "ask")])
def test_sighup_moves_to_the_new_discovery_with_requests_running(
    site, second_discovery, release, mode
):
    """It ended the program once: the signal had no handler, and what was running was lost."""
    go, new = threading.Event(), Engine("p")

    old = Engine("p")
    s = site(old, Engine("d", plan=held(go)), release=release, mode=mode)
    with s.client() as busy:
        chat(busy)
        assert busy.file.readline().startswith(b"HTTP/1.1 200")
        s.discovery.sock.close()  # takes no new connection, as the platform's old address
        s.reconfigure(s.config | {"discovery": second_discovery.address}, hup=True)
        eventually(lambda: "reloaded" in s.log())
        # The new one says nothing for a while: the old one is still heard meanwhile.
        s.discovery.tell(s.engines[1].target())
        eventually(lambda: "rev=2" in s.log())
        second_discovery.rev, second_discovery.targets = 3, dict(s.discovery.targets)
        second_discovery.start()
        eventually(lambda: second_discovery.watches and not s.discovery.watches)
        assert second_discovery.froms == [
            0
        ]  # not the version of the old one, which is another count
        new.start()
        second_discovery.tell(old.target("Terminating"), new.target())
        eventually(lambda: "rev=4" in s.log())
        go.set()
        assert s.chat().status == 200 and len(old.asked) == 1 and len(new.asked) == 1
        assert busy.file.read(5) and s.process.poll() is None
    s.process.send_signal(signal.SIGHUP)  # on the way out, too
    s.process.send_signal(signal.SIGTERM)
    new.close()
    assert s.process.wait(8) == 0


@pytest.mark.parametrize("text", ["{", "{}", "[" * 100_000, '{"settings":{},"listen":"x"}'])
def test_a_new_configuration_that_cannot_be_read_changes_nothing(site, text):
    s = site(Engine("p"), Engine("d"), release=True)
    s.reconfigure(text, hup=True)
    eventually(lambda: "reload-failed" in s.log())
    s.discovery.tell(s.engines[0].target())
    eventually(lambda: "rev=2" in s.log())
    assert s.chat().status == 200 and len(s.discovery.froms) == 1


@pytest.mark.parametrize(
    ("text", "word"),
    [
        ("{", "JSON"),
        ("[]", "object"),
        ("{}", "missing"),
        ('{"settings":{},"listen":"x"}', "listen"),
        ('{"settings":{},"listen":"a:1","discovery":"a:1"}', "family-info"),
        (None, "No such file"),
    ],
)
@pytest.mark.parametrize("command", ["serve", "check-config"])
def test_a_bad_configuration_is_one_plain_line(tmp_path, command, text, word):
    path = tmp_path / "config.json"
    if text is not None:
        path.write_text(text)
    done = subprocess.run(
        [sys.executable, "-m", "claycross", command, "--config", str(path)],
        cwd=ROOT,
        capture_output=True,
        text=True,
    )
    assert done.returncode != 0 and done.stdout == ""
    assert len(done.stderr.splitlines()) == 1 and word in done.stderr


def test_an_address_in_use_is_one_plain_line(site):
    s = site(Engine("p"), Engine("d"))
    config = json.loads((s.folder / "config.json").read_text()) | {"listen": s.address}
    second = s.folder / "second.json"
    second.write_text(json.dumps(config))
    done = subprocess.run(
        [sys.executable, "-m", "claycross", "serve", "--config", str(second)],
        cwd=ROOT,
        capture_output=True,
        text=True,
    )
    assert done.returncode == 2 and len(done.stderr.splitlines()) == 1 and "in use" in done.stderr


def test_nothing_is_served_from_another_path(site):
    s = site(Engine("p"), Engine("d"))
    assert post(s.address, "/v1/embeddings", {"model": "m", "input": "x"}).status == 404


def test_nothing_is_done_when_there_is_nothing_to_do(site):
    """Guards against a busy loop on sockets whose other sides have all gone away."""
    s = site(Engine("p", plan=silent), Engine("p"), Engine("d"), release=True)
    clients = [s.client() for _ in range(6)]
    for c in clients:
        chat(c, timeout=1500)
    for c in clients:
        c.answer()
    for server in (*s.engines, s.discovery):
        server.close()
    for c in clients:
        c.__exit__()

    def used():
        fields = (ROOT / f"/proc/{s.process.pid}/stat").read_text().rsplit(")", 1)[1].split()
        return int(fields[11]) + int(fields[12])  # hundredths of a second

    eventually(lambda: "discovery-lost" in s.log())
    before, start = used(), time.monotonic()
    while time.monotonic() - start < 1:
        time.sleep(0.1)
    assert used() - before < 30


@pytest.mark.parametrize(
    ("option", "code", "said"),
    [((), 1, "InvariantError: a-rule: why"), (("-O",), 0, "invariant name=a-rule count=1 why")],
)
def test_what_must_hold_raises_in_debug_and_is_counted_in_release(option, code, said):
    text = (
        "from claycross.invariant import violations, invariant; invariant(0, 'a-rule', 'why'); "
        "assert violations"
    )
    done = subprocess.run(
        [sys.executable, *option, "-c", text], cwd=ROOT, capture_output=True, text=True
    )
    assert done.returncode == code and said in done.stderr


@pytest.mark.parametrize("reader", ["stuck", "gone"])
def test_a_log_that_nobody_reads_stops_no_request(tmp_path, reader):
    read_end, write_end = os.pipe()
    fcntl.fcntl(write_end, fcntl.F_SETPIPE_SZ, 4096)
    with Site(tmp_path, [Engine("p"), Engine("d")], release=True) as s:
        config = json.loads((s.folder / "config.json").read_text())
        with socket.socket() as free:
            free.bind(("127.0.0.1", 0))
            config["listen"] = f"127.0.0.1:{free.getsockname()[1]}"
        (s.folder / "second.json").write_text(json.dumps(config))
        if reader == "gone":
            os.close(read_end)
        else:
            os.write(write_end, b"x" * 4096)
        command = [sys.executable, "-O", "-m", "claycross", "serve", "--config"]
        command.append(str(s.folder / "second.json"))
        second = subprocess.Popen(command, cwd=ROOT, stdout=write_end, stderr=write_end)
        s.address = config["listen"]

        def served():
            with contextlib.suppress(OSError):
                return s.chat().status == 200

        try:
            eventually(served)
            s.discovery.junk(b"nonsense\n")  # is logged
            eventually(lambda: len(s.discovery.froms) > 2)
            assert served() and second.poll() is None
        finally:
            second.kill()
            second.wait()
            os.close(write_end)


class StillClock:
    """Time stands; timers are kept, as those of far deadlines are."""

    def __init__(self):
        self.timers = []

    def now(self):
        return 0

    def call_later(self, span, call):
        self.timers.append(Timer(span, call))
        return self.timers[-1]


class Body:
    background = False


def test_a_request_that_is_over_leaves_nothing_behind_before_the_collector_runs():
    """Memory grew through a long day: what was over waited for its deadline, and for the
    collector."""
    core = RequestManager(settings(), 1, StillClock(), lambda text: None)
    started = []
    core.engine_calls = type("Calls", (), {"start": lambda self, t: started.append(t)})()
    core.update_endpoints(i.EndpointListUpdate("full", [entry("r1"), entry("w1")]))
    reply = type(
        "Reply",
        (),
        {
            "write": lambda *_: None,
            "finish": lambda *_: None,
            "fail": lambda *_: None,
            "client_disconnected": lambda *_: False,
        },
    )()
    body = Body()
    alive = weakref.ref(body)
    gc.disable()
    try:
        core.accept(
            i.RequestArrived(0, "ask", 5 * 10**9, prompt_tokens=100, max_output_tokens=10),
            "k1",
            body,
            reply,
        )
        del body
        core.process_events()
        assert core.is_in_flight("k1")
        core.attempt_done(started[0], "read")
        core.process_events()
        core.stream_started(started[1])
        core.attempt_done(started[1], "ok")
        core.process_events()
        started.clear()
        assert alive() is None and not core.requests and not core.is_in_flight("k1")
    finally:
        gc.enable()


def test_clients_that_leave_early_do_not_make_an_engine_look_fast():
    """Attempts cut off after 1 ms counted as reads that took 1 ms: the pace believed fell with
    each."""
    d = RouterHarness(engines=["r1", "w1"])
    for n in range(4):
        d.serve(n, session=f"s{n}")
    e = d.router.health.engines["r1"]
    believed = e.pace
    for n in range(4, 10):
        d.ask(n, session=f"s{n}")
        d.now += MS
        d.handle(i.RequestAbandoned(n))
        d.reply(n, "cancelled", took=MS, ended=True)
    assert e.pace == pytest.approx(believed) and believed > 0
    d.ask(10, session="s10")
    d.reply(10, "timeout", took=5 * SECOND)
    assert e.pace > believed  # that it took so long still counts
