"""Two events that cross, forced on real sockets; docs/lifecycles.md says what holds in each state.

The stand-ins hold, send or close at a named point and wait for a condition. To have two events meet
in one round of the gateway's loop it is stopped (SIGSTOP) until both are there."""

import contextlib
import json
import os
import pathlib
import select
import signal
import socket
import threading
import time

import pytest

from claycross.net.loop import MS, SECOND, Connection, EventLoop, TimeoutExpired
from claycross.upstream.http1 import REUSE_DELAY_NS
from standins.servers import EVENTS, NEVER, Client, Discovery, Engine, chat, eventually, passes
from tests.gateway.test_gateway import WHOLE, held, silent

EMPTY = b"0\r\n\r\n"


@contextlib.contextmanager
def stopped(process):
    """Nothing of what comes meanwhile is seen before all of it is there."""
    process.send_signal(signal.SIGSTOP)
    state = pathlib.Path(f"/proc/{process.pid}/stat")
    eventually(lambda: state.read_text().rsplit(")", 1)[1].split()[0] == "T")
    yield
    process.send_signal(signal.SIGCONT)


def refuses(s):
    try:
        s.client().__exit__()
    except ConnectionRefusedError:
        return True
    return False


def deletes(engine):
    return [m for m in engine.calls if m.start.startswith("DELETE")]


# ------------------------------------------------------------ the loop


def test_what_has_come_goes_before_what_is_due():
    loop, seen = EventLoop(), []
    ours, theirs = socket.socketpair()

    def read():
        with contextlib.suppress(TimeoutExpired):
            seen.append(
                Connection(
                    loop, socket.fromfd(ours.fileno(), socket.AF_UNIX, socket.SOCK_STREAM)
                ).recv()
            )

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(
            socket.socket, "setsockopt", lambda *_: None
        )  # a pair of Unix sockets has no TCP
        loop.spawn(read)
        loop.work([])
    loop.call_later(5 * MS, lambda: seen.append("due"))
    theirs.send(b"come")
    passes(0.02)
    loop.work(loop.poller.poll(0))
    assert seen == [b"come", "due"]


def test_bytes_that_cross_the_end_of_a_span_are_read():
    """They come after the poll, before the timer: the reader looks once more before it says so."""
    loop, seen = EventLoop(), []
    ours, theirs = socket.socketpair()
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(socket.socket, "setsockopt", lambda *_: None)
        conn = Connection(loop, ours)

    def read():
        try:
            seen.append(conn.recv(5 * MS))
        except TimeoutExpired:
            seen.append("late")

    loop.spawn(read)
    loop.work([])
    passes(0.02)
    theirs.send(b"come")
    loop.work([])  # the poll before it had seen nothing
    assert seen == [b"come"]


# ------------------------------------------------------------ the end of a client's connection


def ended_by(how, s, c):
    """Brings the gateway to end this connection, with an answer before it or without."""
    if how == "told":
        chat(c, Connection="close")
    elif how == "bad":
        c.sock.sendall(b"nonsense\r\n\r\n")
    elif how == "broken":
        chat(c, key="breaks")
    elif how == "idle":
        assert chat(c).answer().status == 200
    elif how == "stopping":
        assert chat(c).answer().status == 200
        s.process.send_signal(signal.SIGTERM)


@pytest.mark.parametrize("how", ["told", "bad", "broken", "idle", "stopping"])
def test_bytes_behind_the_end_of_a_connection_reset_nothing(site, how):
    """Closed outright, the first of them is answered with a reset, which may overtake what was
    answered."""

    def plan(engine, request, wire):
        if request["x-request-id"] != "breaks":
            return wire.stream()
        wire.begin()
        wire.event(EVENTS[0])
        wire.reset()

    s = site(Engine("p"), Engine("d", plan=plan), release=True)
    with s.client() as c:
        ended_by(how, s, c)
        poll = select.poll()
        poll.register(c.sock, select.POLLRDHUP)
        assert poll.poll(5000), "the gateway did not end it"
        c.sock.sendall(b"POST /v1/chat/completions HTTP/1.1\r\n")  # what crossed its end
        poll.modify(c.sock, select.POLLERR | select.POLLHUP)
        assert not poll.poll(0), "reset"
        said = c.file.read()
    assert said.endswith({"told": EMPTY, "bad": b"\n", "broken": EVENTS[0] + b"\r\n"}.get(how, b""))


def test_a_request_that_crosses_the_end_of_the_idle_time_is_answered(site):
    s = site(Engine("p"), Engine("d"), release=True)
    with s.client() as c:
        assert chat(c).answer().status == 200
        passes(1.7)
        with stopped(s.process):
            chat(c)
            passes(0.8)  # its 2.1 s are over, and its request is there
        assert c.answer().status == 200


def test_a_request_that_crosses_the_closing_of_resting_connections_is_answered(site):
    s = site(Engine("p"), Engine("d"), release=True)
    with s.client() as c:
        assert chat(c).answer().status == 200
        s.process.send_signal(signal.SIGTERM)
        eventually(lambda: "stopping" in s.log())
        with stopped(s.process):
            chat(c)
            passes(0.6)  # resting connections are closed 0.5 s after SIGTERM
        answer = c.answer()
        assert answer.status == 200 and answer["connection"] == "close" and not c.to_end()
    assert s.process.wait(8) == 0


def test_a_request_behind_a_stream_that_began_before_the_end_is_answered(site):
    """Its connection was never told that it closes, so its client may send the next request on
    it."""
    go = threading.Event()
    s = site(Engine("p"), Engine("d", plan=held(go)), release=True)
    with s.client() as c:
        first = chat(c)
        assert first.file.readline().startswith(b"HTTP/1.1 200")
        s.process.send_signal(signal.SIGTERM)
        eventually(lambda: refuses(s))
        chat(c)
        go.set()
        assert c.rest(200).body == WHOLE
        answer = c.answer()
        assert answer.body == WHOLE and answer["connection"] == "close" and not c.to_end()
    assert s.process.wait(8) == 0


@pytest.mark.parametrize(
    "said", [b"", b"POST /v1/chat/completions HTTP/1.1\r\nX-Request-ID: half01\r\n"]
)
def test_an_accepted_connection_gets_its_first_answer_after_sigterm(site, said):
    s = site(Engine("p"), Engine("d"), release=True)
    with s.client() as c:
        c.sock.sendall(said)
        s.process.send_signal(signal.SIGTERM)
        eventually(lambda: refuses(s))
        if said:
            c.sock.sendall(b"X-Priority-Class: browse\r\nContent-Length: 2\r\n\r\n{}")
        else:
            chat(c)
        answer = c.answer()
        assert answer.status == 200 and answer["connection"] == "close"
    assert s.process.wait(8) == 0


def test_all_that_wait_to_be_accepted_as_the_listener_closes_are_answered(site):
    s = site(Engine("p"), Engine("d"), release=True, sockets=1024)
    s.process.send_signal(signal.SIGTERM)
    eventually(lambda: "stopping" in s.log())
    with stopped(s.process):
        clients = [chat(s.client(), X_Route_Key=f"s{n}") for n in range(150)]
        passes(0.6)  # the listener is closed 0.5 s after SIGTERM
    assert {c.answer().status for c in clients} <= {200, 503}
    for c in clients:
        c.__exit__()
    assert s.process.wait(8) == 0


def test_signals_that_come_together_end_it_once(site):
    go = threading.Event()
    s = site(Engine("p"), Engine("d", plan=held(go)), release=True)
    with s.client() as c:
        chat(c)
        assert c.file.readline().startswith(b"HTTP/1.1 200")
        with stopped(s.process):
            for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGTERM, signal.SIGHUP):
                s.process.send_signal(number)
        eventually(lambda: refuses(s))
        s.process.send_signal(signal.SIGTERM)
        go.set()
        assert c.rest(200).whole
    assert s.process.wait(8) == 0 and s.log().count(" stopping ") == 1


def test_an_engine_that_hangs_does_not_hold_up_the_end(site):
    s = site(Engine("p", plan=silent), Engine("d"), release=True)
    start = time.monotonic()
    s.process.send_signal(signal.SIGTERM)
    eventually(lambda: "stopping" in s.log())
    assert s.chat(timeout=20_000).status == 503
    assert s.process.wait(8) == 0 and time.monotonic() - start < 4


@pytest.mark.parametrize("at", ["waiting", "dialling", "reading", "writing", "streaming"])
def test_what_was_taken_before_sigterm_gets_its_whole_answer(site, at):
    """Wherever it stands then; bytes on other kept connections and a reload on the way change
    nothing."""
    go = threading.Event()

    def reads(engine, request, wire):
        assert at != "reading" or go.wait(8)
        if request["x-request-id"] == "slow":  # so that later ones are waited for until connected
            passes(0.7)
        wire.reply(202, body=b'{"cached_tokens":5}')

    def writes(engine, request, wire):
        assert at != "writing" or go.wait(8)
        wire.begin()
        wire.event(EVENTS[0])
        assert at != "streaming" or go.wait(8)
        for data in EVENTS[1:]:
            wire.event(data)
        wire.end()

    reader, writer = Engine("p", plan=reads), Engine("d", plan=writes)
    s = site(
        reader, writer, late=at == "waiting"
    )  # a list, a connection or an engine that is waited for
    second = Scripted("mute").start()
    fillers = []
    if at == "dialling":
        assert s.chat(key="slow").status == 200
        full, fillers = full_queue(reader)
    with s.client() as c:
        chat(c, cls="licence", key="taken01")
        if at == "dialling":
            eventually(lambda: dialling(s, reader))
            for filler in fillers:  # its next packet, a second after the first, is let in
                filler.close()
            reader.sock = full
            reader.start()
        elif at != "waiting":
            eventually(lambda: (reader if at == "reading" else writer).asked)
        if at == "streaming":
            assert c.status() == 200
        s.reconfigure(s.config | {"discovery": second.address}, hup=at != "waiting")
        s.process.send_signal(signal.SIGTERM)
        eventually(lambda: "stopping" in s.log())
        s.discovery.speaks.set()
        go.set()
        answer = c.rest(200) if at == "streaming" else c.answer()
        if at != "dialling" or answer.status != 503:  # its one reader could not be reached in time
            assert (answer.status, answer.body, answer.whole) == (200, WHOLE, True)
    assert s.process.wait(8) == 0
    second.close()


def test_a_stream_is_passed_on_event_by_event_after_sigterm_with_a_slow_client_beside(site):
    steps = [threading.Event() for _ in EVENTS]

    def writes(engine, request, wire):
        if request["x-request-id"] == "slow":
            return wire.stream([b"data: %b\n\n" % (b"x" * 60_000)] * 200)
        wire.begin()
        for step, data in zip(steps, EVENTS, strict=True):
            assert step.wait(8)
            wire.event(data)
        wire.end()

    s = site(Engine("p"), Engine("d", plan=writes), release=True)
    with s.client() as slow, s.client() as c:
        chat(slow, key="slow")
        assert slow.file.readline().startswith(b"HTTP/1.1 200")  # and reads no further
        chat(c)
        s.process.send_signal(signal.SIGTERM)
        eventually(lambda: refuses(s))
        steps[0].set()
        while c.file.readline().strip():
            pass
        for n, data in enumerate(EVENTS):
            assert int(c.file.readline(), 16) == len(data) and c.file.read(len(data)) == data
            c.file.readline()
            for step in steps[n + 1 : n + 2]:  # the next one is made only now
                step.set()
        assert c.file.read() == EMPTY


# ------------------------------------------------------------ the client leaves


def full_queue(engine):
    """Connections to it come up only when someone accepts: returns its listener, and what fills its
    queue."""
    engine.sock.listen(0)
    engine.close()
    full = socket.socket()
    full.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    full.bind(("127.0.0.1", engine.port))
    full.listen(0)
    fillers = []
    while len(fillers) < 8:
        filler = socket.socket()
        filler.setblocking(False)
        filler.connect_ex(("127.0.0.1", engine.port))
        fillers.append(filler)
    return full, fillers


@pytest.mark.parametrize("may_cancel", [True, False])
@pytest.mark.parametrize("how", ["close", "reset", "half"])
def test_nothing_goes_out_for_a_client_that_left_while_its_attempt_was_connecting(
    site, may_cancel, how
):
    """Where nothing may be cancelled the attempt was left to itself, and went out when it was
    connected."""

    def slowly(
        engine, request, wire
    ):  # so that later ones are waited for until their connections are up
        passes(0.7)
        wire.reply(202)

    reader = Engine("p", backlog=0, plan=slowly)
    s = site(reader, Engine("d"), settings={"may-cancel": may_cancel})
    assert s.chat().status == 200
    full, fillers = full_queue(reader)
    c = s.client()
    chat(c, key="gone01")
    eventually(lambda: dialling(s, reader))
    if how == "reset":
        c.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    if how == "half":
        c.sock.shutdown(socket.SHUT_WR)
    else:
        c.__exit__()
    with s.client() as other:  # it was read after the end of the first, so that end has been seen
        assert other.send("GET", "/-/ready").answer().status in (200, 503)
    sent = accepted(full, fillers, b"POST", 3)
    full.close()
    assert b"gone01" not in sent and b"POST" not in sent


def accepted(full, fillers, awaited, within):
    """What comes on the connections to a listener whose queue was full, until it holds what is
    awaited."""
    sent = b""
    for filler in fillers:
        filler.close()
    full.settimeout(within)
    with contextlib.suppress(OSError):
        while awaited not in sent:
            conn, _ = full.accept()
            conn.settimeout(0.3)
            with contextlib.suppress(TimeoutError):
                sent += conn.recv(100)
    return sent


def dialling(s, engine):
    """Whether the gateway has a connection to this engine that is not up yet."""
    port = f":{engine.port:04X}"
    inodes = set()
    for fd in os.listdir(f"/proc/{s.process.pid}/fd"):
        with contextlib.suppress(OSError):
            inodes.add(os.readlink(f"/proc/{s.process.pid}/fd/{fd}"))
    for line in pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        if fields[2].endswith(port) and fields[3] == "02" and f"socket:[{fields[9]}]" in inodes:
            return True
    return False


@pytest.mark.parametrize("at", ["waiting for the list", "before a repeat", "reading", "streaming"])
def test_no_attempt_begins_for_a_client_that_has_left(site, at):
    """And what is held for it is let go of, wherever it left."""
    go, left = threading.Event(), threading.Event()

    def reads(engine, request, wire):
        if at == "reading" and not left.is_set():
            return wire.gone()
        wire.reply(202)

    def writes(engine, request, wire):
        if at == "streaming":
            wire.begin()
            wire.event(EVENTS[0])
            wire.gone()
            return go.set()
        if at == "before a repeat":
            wire.reply(503, NEVER)  # it is asked again after a pause
            return go.set()
        wire.stream()

    reader, writer = Engine("p", plan=reads), Engine("d", plan=writes)
    s = site(reader, writer, late=at == "waiting for the list", release=True)
    c = s.client()
    chat(c, key="gone02", cls="licence")
    if at == "waiting for the list":
        eventually(lambda: c.sock and s.discovery.froms)
    elif at == "reading":
        eventually(lambda: reader.asked)
    elif at == "streaming":
        assert c.status() == 200
    else:
        assert go.wait(8)
    left.set()
    c.__exit__()
    with s.client() as other:  # read after the end of the first, so that end has been seen
        other.send("GET", "/-/ready").answer()
    before = len(reader.asked) + len(writer.asked)
    s.discovery.speaks.set()
    passes(0.6)
    assert len(reader.asked) + len(writer.asked) == before
    if at not in ("waiting for the list", "streaming"):  # a stream's first event lets go of all
        eventually(lambda: deletes(reader))


@pytest.mark.parametrize("at", ["reading", "streaming", "answered", "cut"])
def test_a_client_that_comes_again_with_its_id_runs_nothing_twice_at_once(site, at):
    go = threading.Event()

    def reads(engine, request, wire):
        assert at not in ("reading", "cut") or go.wait(8)
        wire.reply(202)

    def writes(engine, request, wire):
        wire.begin()
        wire.event(EVENTS[0])
        assert at != "streaming" or go.wait(8)
        for data in EVENTS[1:]:
            wire.event(data)
        wire.end()

    reader, writer = Engine("p", plan=reads), Engine("d", plan=writes)
    s = site(reader, writer)
    with s.client() as c:
        chat(c, key="again01", cls="licence")
        eventually(lambda: (writer if at == "streaming" else reader).asked)
        if at == "answered":
            assert c.answer().body == WHOLE
        if at == "cut":
            c.sock.shutdown(socket.SHUT_RDWR)
            eventually(lambda: reader.wires[0].ended or deletes(reader))
        if at in ("reading", "streaming"):
            assert s.chat(key="again01", cls="licence").status == 409
            go.set()
            assert c.answer().body == WHOLE
    go.set()
    assert s.chat(key="again01", cls="licence").body == WHOLE
    assert len(writer.asked) == (1 if at == "cut" else 2)


@pytest.mark.parametrize("resume", [True, False])
def test_a_stream_that_falls_silent_ends_before_its_client_has_waited_for_five_seconds(
    site, resume
):
    """15 s where clients don't come again: 'left its client waiting on a stream that had stopped'
    (both variants of deploy/sites, brink). Its engine's connection stays open, and says nothing."""

    def writes(engine, request, wire):
        wire.begin()
        wire.event(EVENTS[0])
        wire.gone()

    s = site(Engine("p"), Engine("d", plan=writes), release=True, resume=resume)
    with s.client() as c:
        assert chat(c, cls="licence").status() == 200
        while c.file.readline().strip():
            pass
        assert int(c.file.readline(), 16) == len(EVENTS[0])
        c.file.read(len(EVENTS[0]))
        start = time.monotonic()
        assert c.file.read() == b"\r\n"  # and no last chunk
        assert 3.5 < time.monotonic() - start < 4.9


# ------------------------------------------------------------ engines' connections


def test_a_second_answer_behind_the_first_is_nobodys(site):
    """It comes some milliseconds late: a request sent at once on that connection took it for its
    own."""
    foreign = EVENTS[0].replace(b'"content":"0"', b'"content":"foreign"')
    late, done = threading.Event(), threading.Event()
    first, rests = {}, []

    def plan(engine, request, wire):
        if not first:
            first["wire"], first["answered"] = wire, time.monotonic()
            wire.stream()
            threading.Thread(target=second, args=(wire,), daemon=True).start()
        else:
            late.set()
            assert done.wait(8)
            wire.stream()

    def second(wire):
        assert late.wait(8)  # the next request is here, on another connection
        with contextlib.suppress(OSError):
            wire.begin()
            wire.event(foreign)
            wire.end()
        done.set()

    writer = Engine("d")
    take = writer.take

    def taken(
        message, wire
    ):  # on the first connection, once that had rested: an answer is its own then
        if first and wire is first["wire"]:
            rests.append(time.monotonic() - first["answered"])
            return wire.stream()
        return take(message, wire)

    writer.take, writer.plan = taken, plan
    s = site(Engine("p"), writer)
    with s.client() as c:
        assert chat(c, cls="licence").answer().body == WHOLE
        assert chat(c, cls="licence").answer().body == WHOLE
    assert all(rest >= REUSE_DELAY_NS / SECOND for rest in rests), rests
    assert len(writer.asked) >= 1


def test_no_connection_is_used_beyond_half_of_its_engines_idle_time(site):
    """Only swept each second, one that its engine closes after 0.4 s was used after 0.45 s."""
    writer = Engine("d")
    s = site(Engine("p"), writer, settings={"conn-idle": 400_000_000})
    for _ in range(4):  # two sweeps at most fall into these gaps
        assert s.chat(cls="licence").status == 200
        passes(0.3)
    assert len({m.port for m in writer.asked}) == 4


@pytest.mark.parametrize(("window", "goes"), [(700_000_000, False), (5_000_000_000, True)])
def test_a_repeat_goes_out_only_while_its_window_lasts(site, window, goes):
    """The window was asked for at the choice alone; a connection that comes up late (the system
    tries again after a second) went out beyond it."""
    go = threading.Event()

    def resets(engine, request, wire):
        assert go.wait(8)
        wire.reset()

    def slowly(
        engine, request, wire
    ):  # so that later ones are waited for until their connections are up
        passes(1.2)
        wire.stream()

    first, second = Engine("d", plan=slowly), Engine("d", backlog=0)
    s = site(
        Engine("p"),
        first,
        classes=[
            {
                "name": "once-a-while",
                "slo": 10**9,
                "give-up": 6 * 10**9,
                "effect": "keyed",
                "group": "all",
                "key-ttl": window,
                "streaming": True,
            }
        ],
    )
    full, fillers = full_queue(second)
    assert s.chat().status == 200
    first.plan = resets
    with s.client() as c:
        chat(c, cls="once-a-while", key="key01")
        eventually(lambda: "key01" in [m["x-request-id"] for m in first.asked])
        s.discovery.tell(second.target(), {**first.target(), "state": "Terminating"})
        eventually(lambda: "rev=2" in s.log())
        go.set()
        eventually(lambda: dialling(s, second))
        sent = accepted(full, fillers, b"key01", 2.5)
    full.close()
    assert (b"key01" in sent) is goes


# ------------------------------------------------------------ holds


def test_a_process_that_stops_stays_for_the_second_release_of_what_is_in_doubt(site):
    """The read may have ended well behind the first call; with no request left the process ended at
    once."""
    reader = Engine("p", plan=silent)
    s = site(reader, Engine("d"), release=True)
    with s.client() as c:
        chat(c, key="ee01")
        eventually(lambda: reader.asked)
        s.process.send_signal(signal.SIGTERM)
        eventually(lambda: refuses(s))  # from now on it ends as soon as nothing is owed
    assert s.process.wait(8) == 0
    assert len(deletes(reader)) == 2, "the second call was not made"


@pytest.mark.parametrize("holder", ["well", "mute", "resets"])
@pytest.mark.parametrize("end", ["left", "refused", "stopping"])
def test_whatever_way_a_request_ends_what_it_holds_is_released_in_time(site, end, holder):
    """A read state waits at the reader, a write is out and ends; 300 ms, and 300 ms more on
    sockets."""
    released, go, ended = [], threading.Event(), []

    def taken(engine, well):
        def take(message, wire):
            if not message.start.startswith("DELETE"):
                engine.asked.append(message)
                return engine.plan(engine, message, wire)
            if not well:
                return wire.reset() if holder == "resets" else wire.gone()
            released.append(time.monotonic())
            wire.reply(204)

        return take

    def stalls(engine, request, wire):
        assert go.wait(10)
        ended.append(time.monotonic())
        wire.reply(503, NEVER)

    reader, writers = Engine("p"), [Engine("d", plan=stalls) for _ in "dd"]
    reader.take = taken(reader, holder == "well")
    for w in writers:
        w.take = taken(w, True)
    s = site(reader, *writers, release=True, settings={"send-cap": 2})
    with s.client() as c:
        chat(c, key="ff01")
        eventually(lambda: any(w.asked for w in writers))
        if end == "stopping":
            s.process.send_signal(signal.SIGTERM)
            eventually(lambda: refuses(s))
        if end == "left":
            ended.append(time.monotonic())
        else:
            go.set()
            assert c.answer().status == 503
    eventually(lambda: released)
    assert released[0] - ended[0] < 0.6
    go.set()


def test_no_dial_begins_that_would_hold_a_state_too_long(site):
    """Two might follow a read whenever the first began: 145 ms after it they ended 650 ms after it
    (brink, seed 4, split+term). Here the one writer is full as the read ends, and those that are
    listed 90 ms later take no connection."""
    go, read, released = threading.Event(), [], []

    def reads(engine, request, wire):
        if request["x-request-id"] == "held01":
            assert go.wait(8)
            read.append(time.monotonic())
        wire.reply(202, body=b'{"cached_tokens":5}')

    def says_full(engine, request, wire):
        wire.reply(503, NEVER)
        go.set()

    reader, busy, dead = (
        Engine("p", plan=reads),
        Engine("d", plan=says_full),
        [Engine("d", backlog=0) for _ in "dd"],
    )
    take = reader.take

    def taken(message, wire):
        if message.start == "DELETE /kv/leases/held01 HTTP/1.1":
            released.append(time.monotonic())
        take(message, wire)

    reader.take = taken
    s = site(reader, busy, release=True, settings={"dial-timeout": 400_000_000})
    full = [full_queue(w) for w in dead]
    with s.client() as c, s.client() as other:
        chat(c, key="held01")
        eventually(lambda: reader.asked)
        chat(other, key="before")  # finds the writer full
        eventually(lambda: read)
        passes(0.09)
        s.discovery.tell({**busy.target(), "state": "Terminating"}, *(w.target() for w in dead))
        eventually(lambda: released)
    assert 0.4 < released[0] - read[0] < 0.6  # one dial was made
    for sock, fillers in full:
        for f in (sock, *fillers):
            f.close()


# ------------------------------------------------------------ lists and watches


def indented(message):
    return json.dumps(message, indent=2).encode() + b"\n"


@pytest.fixture
def new():
    """An engine that the list does not name yet."""
    engine = Engine("p").start()
    yield engine
    engine.close()


def serves_alone(s, new, old):
    assert s.chat().status == 200 and (len(old.asked), len(new.asked)) == (0, 1)


@pytest.mark.parametrize("form", ["line", "indented", "no line end", "bytes", "two at once"])
def test_a_change_is_taken_in_whatever_form_it_comes(site, new, form):
    old = Engine("p")
    s = site(old, Engine("d"))
    message = {"rev": 2, "all": False, "targets": [old.target("Terminating"), new.target()]}
    text = indented(message) if form == "indented" else json.dumps(message).encode() + b"\n"
    wire = s.discovery.watches[0]
    if form == "no line end":
        wire.event(text.rstrip())
    elif form == "bytes":
        for at in range(len(text)):
            wire.sock.sendall(b"1\r\n" + text[at : at + 1] + b"\r\n")
    elif form == "two at once":
        wire.event(text + indented({"rev": 3, "all": False, "targets": []}) + b"\n\n")
    else:
        wire.event(text)
    eventually(lambda: "rev=2 kind=changes" in s.log())
    serves_alone(s, new, old)
    assert "discovery-lost" not in s.log()


class Scripted(Discovery):
    """Each watch, in turn, does as its script says; the last script is that of all that follow."""

    def __init__(self, *scripts):
        super().__init__()
        self.scripts, self.opened = list(scripts), 0

    def talk(self, wire):
        script = self.scripts[min(self.opened, len(self.scripts) - 1)]
        self.opened += 1
        if script == "speaks":
            return super().talk(wire)
        if script == "resets":
            return wire.reset()
        if script == "status":
            return wire.reply(503)
        if script != "mute":
            wire.begin()
        if script == "half a line":
            wire.event(b'{"rev":')
        while script == "drips" and not wire.ended:
            wire.event(b" ")
            threading.Event().wait(0.05)
        wire.gone()


@pytest.mark.parametrize("second", ["mute", "half a line", "drips", "resets", "status"])
@pytest.mark.parametrize("mode", ["push", "ask"])
def test_a_change_behind_two_watches_that_fail_is_known_within_six_seconds(
    site, new, tmp_path, mode, second
):
    """The first falls silent right after a sign of life, the next says nothing of use; the third
    tells."""
    old = Engine("p")
    s = site(old, Engine("d"), mode=mode)
    first, s.discovery.beats = s.discovery.watches[0], False
    scripts = Scripted(second, "speaks")
    s.discovery.talk = lambda wire: scripts.talk(wire)
    scripts.rev = 9
    scripts.targets = {e.uid: e.target() for e in (new, s.engines[1])}
    first.event(b"\n")
    silent_since = time.monotonic()
    eventually(lambda: "rev=9" in s.log(), 8)
    assert time.monotonic() - silent_since < 6
    serves_alone(s, new, old)
    scripts.close()


def test_a_version_that_goes_back_brings_no_older_state_to_life(site, new):
    old = Engine("p")
    s = site(old, Engine("d"))
    s.discovery.rev = 6
    s.discovery.tell(old.target("Terminating"), new.target())
    eventually(lambda: "rev=7" in s.log())
    s.discovery.rev = 3
    wire = s.discovery.watches[0]
    s.discovery.say(wire, False, [old.target()])  # as it was before
    s.discovery.rev = 8
    eventually(lambda: len(s.discovery.froms) > 1 and "rev=8" in s.log())
    assert s.discovery.froms[1:] == [0] and "rev 3 behind 7" in s.log()
    serves_alone(s, new, old)


@pytest.mark.parametrize("mode", ["push", "ask"])
def test_a_version_is_not_carried_from_one_address_to_another(site, new, mode):
    """The new one counts from its own start: asked from the old one's version it had nothing to
    tell."""
    old = Engine("p")
    s = site(old, Engine("d"), mode=mode)
    s.discovery.rev = 40
    s.discovery.tell(old.target())
    eventually(lambda: "rev=41" in s.log())
    second = Discovery()
    second.rev, second.targets = 2, {e.uid: e.target() for e in (new, s.engines[1])}
    second.start()
    s.reconfigure(s.config | {"discovery": second.address}, hup=True)
    eventually(lambda: "rev=2 kind=full" in s.log())
    assert second.froms == [0]
    serves_alone(s, new, old)
    second.watches[0].sock.shutdown(socket.SHUT_RDWR)  # and from then on by its versions
    eventually(lambda: len(second.froms) > 1)
    assert second.froms[1] == 2
    second.close()


def test_a_blank_line_at_the_new_address_does_not_end_the_watch_at_the_old_one(site, new):
    """Only a list does: what the old one tells until then is not missed."""
    old = Engine("p")
    s = site(old, Engine("d"))
    second = Scripted("half a line")

    def blank(wire):
        wire.begin()
        wire.event(b"\n")
        second.watches.append(wire)
        wire.gone()

    second.talk = blank
    second.start()
    s.reconfigure(s.config | {"discovery": second.address}, hup=True)
    eventually(lambda: second.watches)
    s.discovery.tell(old.target("Terminating"), new.target())
    eventually(lambda: "rev=2" in s.log())
    serves_alone(s, new, old)
    second.close()


@pytest.mark.parametrize(
    "spoilt",
    [
        {"uid": "odd", "state": "Odd"},
        {"uid": "none"},
        {"uid": "far", "state": "Ready", "endpoint": "nowhere"},
        {"uid": "big", "state": "Ready", "endpoint": "127.0.0.1:1", "boot_ms": "soon"},
        None,
        5,
        [],
        "x",
    ],
)
def test_an_entry_that_cannot_be_read_takes_none_of_the_others_with_it(site, new, spoilt):
    old = Engine("p")
    s = site(old, Engine("d"))
    s.discovery.rev = 2
    # The next watch, which begins soon after the message, gets this list.
    s.discovery.targets = {e.uid: e.target() for e in (new, s.engines[1])}
    s.discovery.say(
        s.discovery.watches[0], False, [old.target("Terminating"), spoilt, new.target()]
    )
    eventually(lambda: "discovery-lost" in s.log())
    assert "discovery rev=2 kind=changes entries=2" in s.log()
    serves_alone(s, new, old)


# ------------------------------------------------------------ floods


def test_descriptors_stay_within_their_limit_with_every_place_taken(site):
    """Clients, engine connections and callers at the door, each at its bound, while a list is on
    its way."""
    readers = [Engine("p", plan=silent, backlog=512) for _ in range(16)]
    s = site(*readers, Engine("d"), door=True, release=True, sockets=200)
    host, port = s.door_address.split(":")
    callers = [socket.create_connection((host, int(port))) for _ in range(60)]
    clients = [s.client() for _ in range(120)]
    for n, c in enumerate(clients):
        with contextlib.suppress(OSError):
            chat(c, X_Route_Key=f"s{n}", X_Attrs="prompt_len=9,prefix_len=0,max_out=5")
    worst = 0
    for _ in range(20):
        worst = max(worst, len(os.listdir(f"/proc/{s.process.pid}/fd")))
        passes(0.02)
    assert s.call("check").startswith("ok")
    s.discovery.tell(s.engines[-1].target())
    eventually(lambda: "rev=2" in s.log())
    for sock in callers:
        sock.close()
    for c in clients:
        c.__exit__()
    assert 150 < worst <= 200  # and they are taken
    assert eventually(lambda: answered(s)) == 200  # and service goes on when they leave


def answered(s):
    with contextlib.suppress(OSError, IndexError), Client(s.address) as c:
        return c.send("GET", "/-/ready").answer().status
