"""Two thousand requests over HTTP/2 while engines lower limits, send GOAWAY, reset streams and die.

Half of the requests are of the class `licence`, which must not run twice.
"""

import collections
import contextlib
import random
import socket
import threading
import time
import types

import h2.config
import h2.connection

from standins.http2 import LIMIT, H2Engine, H2Wire
from standins.servers import EVENTS, NEVER, chat, eventually

REQUESTS = 2000
CLIENTS = 40
SEED = 20261201
DEADLINE_S = 4.0
STREAM_LIMIT = 30


class EngineFleet:
    """What all engines together have run and hold; their faults are drawn from one seed."""

    def __init__(self):
        self.lock = threading.Lock()
        self.writes = collections.Counter()  # by request key
        self.held_states = {}  # request key -> when its read was done
        self.tries = collections.Counter()  # by kind of engine and request key
        self.fault_counts = collections.Counter()

    def draw(self, engine, request):
        """Returns a number below 1 that depends on the request and on its tries at this stage."""
        with self.lock:
            key = (engine.kind, request["x-request-id"])
            self.tries[key] += 1
            return random.Random(f"{SEED} {key} {self.tries[key]}").random()

    def record_run(self, engine, request):
        key = request["x-request-id"]
        with self.lock:
            if engine.kind == "p":
                self.held_states[key] = time.monotonic()
            else:
                self.writes[key] += 1
                self.held_states.pop(key, None)  # the writer has fetched it

    def read(self, engine, request, stream):
        draw = self.draw(engine, request)
        if draw < 0.03:
            stream.refuse()
        if draw < 0.05:
            stream.reply(503, NEVER)
            return
        time.sleep(0.01)
        self.record_run(engine, request)
        if draw < 0.07:
            stream.reset()
        stream.reply(202, body=b'{"cached_tokens":5}')

    def write(self, engine, request, stream):
        draw = self.draw(engine, request)
        if draw < 0.04:
            stream.refuse()
        if draw < 0.06:
            stream.reply(503, NEVER)
            return
        self.record_run(engine, request)
        time.sleep(0.01)
        if draw < 0.08:
            stream.reset()
        if draw < 0.09:
            stream.reply(500)
            return
        stream.begin()
        if draw < 0.10:
            stream.reset()
        for data in EVENTS:
            stream.event(data)
            if draw > 0.9:
                time.sleep(0.02)
        stream.end()

    def release(self, key):
        with self.lock:
            self.held_states.pop(key, None)


class StatefulEngine(H2Engine):
    """Reports each release to the fleet as it arrives: one before the read releases nothing."""

    def take(self, message, stream):
        method, target, _ = message.start.split()
        if method == "DELETE":
            self.fleet.release(target.rpartition("/")[2])
        super().take(message, stream)


class ConnectionFaults(threading.Thread):
    """Causes one fault of a whole connection after the other, drawn from a seed."""

    def __init__(self, fleet, engines):
        super().__init__(daemon=True)
        self.fleet = fleet
        self.engines = engines
        self.stopped = threading.Event()
        self.rng = random.Random(SEED)

    def run(self):
        while not self.stopped.wait(0.12):
            engine = self.rng.choice(self.engines)
            connections = engine.live()
            draw = self.rng.random()
            with contextlib.suppress(OSError):
                if connections:
                    self.cause_fault(self.rng.choice(connections), draw)

    def cause_fault(self, connection, draw):
        if draw < 0.45:
            connection.allow(self.rng.choice([0, 1, 2, 4, STREAM_LIMIT]))
            if connection.engine.limit:
                threading.Timer(0.15, self.restore_limit, [connection]).start()
            self.fleet.fault_counts["limit"] += 1
        elif draw < 0.8:
            self.fleet.fault_counts["goaway"] += 1
            connection.retire(self.rng)
        else:
            self.fleet.fault_counts["died"] += 1
            connection.cut()

    def restore_limit(self, connection):
        with contextlib.suppress(OSError):
            connection.allow(STREAM_LIMIT)


def test_two_thousand_requests_while_connections_fail(site):
    fleet = EngineFleet()
    engines = [
        StatefulEngine(kind, plan=fleet.read if kind == "p" else fleet.write, limit=STREAM_LIMIT)
        for kind in "pppddd"
    ]
    for engine in engines:
        engine.fleet = fleet
    s = site(*engines, release=True, http2={"ping_after_ms": 300, "ping_wait_ms": 300})
    faults = ConnectionFaults(fleet, engines)
    faults.start()
    answers = collections.Counter()  # by status and whether the response was complete
    licence_keys = set()
    late = []

    def send_requests(client_number):
        with s.client() as client:
            for n in range(REQUESTS // CLIENTS):
                key = f"{client_number:03x}{n:05x}"
                cls = ("browse", "licence")[n % 2]
                if cls == "licence":
                    licence_keys.add(key)
                start = time.monotonic()
                chat(
                    client,
                    cls=cls,
                    key=key,
                    timeout=int(DEADLINE_S * 1000),
                    X_Route_Key=f"s{client_number}",
                    X_Attrs=f"prompt_len=300,prefix=q{client_number},prefix_len=200,max_out=20",
                )
                status = client.status()
                if time.monotonic() - start > DEADLINE_S + 0.3:
                    late.append(key)
                whole = client.rest(status).whole
                answers[status, whole] += 1
                if not whole:  # the gateway ends a broken stream by closing the connection
                    client.__exit__()
                    client.__init__(s.address)
                time.sleep(0.02)
            client.sock.setblocking(False)
            with contextlib.suppress(BlockingIOError, ConnectionError):
                assert not client.sock.recv(1), "more than one answer"

    threads = [
        threading.Thread(target=send_requests, args=(n,), daemon=True) for n in range(CLIENTS)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(90)
    faults.stopped.set()
    assert sum(answers.values()) == REQUESTS and not late, (answers, late)
    # The rest was rejected, or is of the class `licence` and may have run.
    assert answers[200, True] > 0.6 * REQUESTS, answers
    assert {status for status, _ in answers} <= {200, 502, 503}
    run_twice = {key: n for key, n in fleet.writes.items() if n > 1 and key in licence_keys}
    assert not run_twice
    fault_counts = fleet.fault_counts
    assert min(fault_counts[kind] for kind in ("limit", "goaway", "died")) > 3, fault_counts
    eventually(lambda: not fleet.held_states)
    assert not any(engine.faults for engine in engines), [engine.faults for engine in engines]


def test_the_stand_in_allows_streams_that_were_opened_before_its_first_limit_was_known():
    """A test of the stand-in engine: such a stream is no fault of its client."""
    ours, theirs = socket.socketpair()
    with ours, theirs:
        engine = types.SimpleNamespace(
            limit=30,
            window=65_535,
            window_whole=0,
            faults=[],
            heads=[],
            most=0,
            at_head=None,
            take=lambda message, stream: None,
        )
        connection = H2Wire(engine, types.SimpleNamespace(sock=ours))
        client = h2.connection.H2Connection(h2.config.H2Configuration(client_side=True))
        server_thread = threading.Thread(target=connection.talk, daemon=True)
        server_thread.start()
        client.initiate_connection()
        client.receive_data(theirs.recv(65_536))
        connection.allow(0)
        client.send_headers(
            1, [(":method", "GET"), (":path", "/"), (":scheme", "http"), (":authority", "x")]
        )
        theirs.sendall(client.data_to_send())
        eventually(lambda: engine.heads or engine.faults)
        assert not engine.faults
        theirs.settimeout(5)
        # The new limit is sent once the client has acknowledged the first settings.
        while client.remote_settings[LIMIT] != 0:
            client.receive_data(theirs.recv(65_536))
            theirs.sendall(client.data_to_send())
        theirs.shutdown(socket.SHUT_WR)
        server_thread.join(5)
