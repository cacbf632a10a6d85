"""The emulated fleet in real time: its engines' HTTP servers, discovery and the control server.

All run in one process, on one event loop. The model (model.py) decides what happens and when; this
module passes it requests and faults, and turns its events into answers of the platform's protocol:
chat, embeddings and rerank, leases, probes and load reports. An engine whose process the model has
ended answers nothing.
"""

from __future__ import annotations

import json
import time
from collections import deque
from collections.abc import Callable

from ..net.loop import MS, SECOND, EventLoop, Timer
from .attempt_record import AttemptRecord
from .discovery_server import JSON_CONTENT, DiscoveryServer, Target
from .engine_answers import (
    LAST_EVENT,
    TOKENS_PER_EVENT,
    EmulatedJob,
    answer_text,
    encode_embedding_answer,
    encode_event,
    encode_usage,
    read_chat_request,
    read_embedding_request,
)
from .fleet_file import EngineFault, EngineKind, FleetFile
from .http_servers import Exchange, Headers, Server
from .model import Engine, Fleet, Job, ModelEvent

NOT_PROCESSED = ("X-Not-Processed", "1")
UNKNOWN_RESERVATION_DELAY_NS = 300 * MS  # until a reservation for an unknown request is answered
SILENT_POLL_INTERVAL_NS = 20 * MS  # between checks whether a silent engine has resumed
MAX_RECORDED_ATTEMPTS = 50_000  # kept for an audit
CONTROL_MAX_CONNECTIONS = 16
CONTROL_IDLE_TIMEOUT_NS = 60 * SECOND
DEFAULT_SLOW_FACTOR = 4.0
DEFAULT_SLOW_DURATION_S = 5.0
STATE_READY = "Ready"
STATE_TERMINATING = "Terminating"
STATE_GONE = "Gone"
MALFORMED_REQUEST_ERRORS = (ValueError, KeyError, TypeError, AttributeError)


class EmulatedFleet:
    """The model of a fleet, driven by the event loop's clock, and the servers in front of it."""

    def __init__(self, loop: EventLoop, file: FleetFile, log: Callable[[str], None]):
        self.loop = loop
        self.file = file
        self.log = log
        self.model = Fleet(file.seed, file.ways(), file.error_rate)
        self.start = loop.now()
        self.timer: Timer | None = None  # for the model's next event
        self.servers: dict[str, EngineServer] = {}
        self.discovery = DiscoveryServer(
            loop,
            (file.host, file.discovery_port),
            lambda: [server.target() for server in self.servers.values()],
        )
        self.control = ControlServer(self)
        self.pending_reads: dict[str, Job] = {}  # by request
        self.attempts: deque[AttemptRecord] = deque(maxlen=MAX_RECORDED_ATTEMPTS)
        self.drains: dict[str, float] = {}  # engine -> seconds since the start
        for kind in file.kind:
            for number in range(kind.count):
                self.add(kind, f"{kind.name}-{number}", number)
        for fault in file.trouble:
            self.schedule(fault)

    def add(self, kind: EngineKind, name: str, number: int, cold: bool = False) -> None:
        """Add an engine; its number determines its zone and cell."""
        zones = self.file.zones
        zone = zones[number % len(zones)]
        cell = number // len(zones) % self.file.cells
        engine = self.model.add(name, kind.spec(), zone, cell, cold)
        self.servers[name] = EngineServer(self, engine, kind)

    def elapsed_s(self) -> float:
        """Return the seconds since the start, which are the model's time."""
        return (self.loop.now() - self.start) / SECOND

    def advance(self) -> None:
        """Advance the model to the present and pass its events to the tasks that wait for them."""
        now = self.elapsed_s()
        for event in self.model.advance(now):
            exchange = event.job.owner
            if isinstance(exchange, Exchange):
                exchange.notify(event)
        if self.timer:
            self.timer.cancel()
        due = self.model.next_due()
        self.timer = (
            None if due is None else self.loop.call_later(int((due - now) * SECOND), self.advance)
        )

    # ------------------------------------------------------------ faults

    def schedule(self, fault: EngineFault) -> None:
        """Carry out a fault of the fleet's file at its time."""

        def inject_fault() -> None:
            self.inject(fault.do, fault.engine, fault.times, fault.for_s)

        self.loop.call_later(int(fault.at_s * SECOND), inject_fault)

    def inject(
        self,
        action: str,
        engine_name: str,
        slow_factor: float = DEFAULT_SLOW_FACTOR,
        duration_s: float = DEFAULT_SLOW_DURATION_S,
    ) -> str:
        """Carry out a fault or an operation; return why it is impossible, or ""."""
        self.advance()
        server = self.servers.get(engine_name)
        if action in ("stall", "go-on"):
            self.discovery.stalled = action == "stall"
        elif server is None:
            return f"there is no engine {engine_name!r}"
        elif action == "slow":
            self.model.slow_down(server.engine, slow_factor, duration_s)
        elif action in ENGINE_ACTIONS:
            ENGINE_ACTIONS[action](self, server)
        else:
            return f"unknown action {action!r}"
        self.log(f"trouble do={action} engine={engine_name}")
        self.advance()
        return ""

    def kill(self, server: EngineServer) -> None:
        """End the engine's process."""
        self.model.kill(server.engine)
        server.close()

    def start_again(self, server: EngineServer) -> None:
        """Start a new process of the engine."""
        self.model.restart(server.engine)
        server.open()
        self.discovery.publish(server.target())

    def silence(self, server: EngineServer) -> None:
        """Make the engine accept requests without handling them."""
        server.engine.condition = "silent"

    def resume(self, server: EngineServer) -> None:
        """Make a silent engine handle requests again."""
        if server.engine.condition == "silent":
            server.engine.condition = "up"

    def drain(self, server: EngineServer) -> None:
        """Announce that the engine terminates."""
        server.engine.draining = True
        self.drains[server.engine.name] = self.elapsed_s()
        self.discovery.publish(server.target())

    def toggle_refusal(self, server: EngineServer) -> None:
        """Make the engine refuse all requests, or accept them again."""
        server.engine.refuses = not server.engine.refuses

    def replace(self, server: EngineServer) -> None:
        """End the engine and start a new, cold one under another name."""
        name = server.engine.name
        self.kill(server)
        self.discovery.publish(server.target() | {"state": STATE_GONE})
        del self.servers[name]
        successor = f"{name}x"
        self.add(server.kind, successor, 0, cold=True)
        self.discovery.publish(self.servers[successor].target())


ENGINE_ACTIONS: dict[str, Callable[[EmulatedFleet, EngineServer], None]] = {
    "kill": EmulatedFleet.kill,
    "start": EmulatedFleet.start_again,
    "silent": EmulatedFleet.silence,
    "resume": EmulatedFleet.resume,
    "drain": EmulatedFleet.drain,
    "refuse": EmulatedFleet.toggle_refusal,
    "replace": EmulatedFleet.replace,
}


class EngineServer(Server):
    """The HTTP server of one engine."""

    def __init__(self, emulated_fleet: EmulatedFleet, engine: Engine, kind: EngineKind):
        self.emulated_fleet = emulated_fleet
        self.model = emulated_fleet.model
        self.file = emulated_fleet.file
        self.engine = engine
        self.kind = kind
        # Unix time; 0 for engines that were warm when the emulator started.
        self.boot_ms = 0 if engine.capacity(self.model.now) >= 1 else time.time_ns() // MS
        super().__init__(
            emulated_fleet.loop,
            (self.file.host, 0),
            kind.connections,
            int(self.file.idle_s * SECOND),
            self.file.streams,
        )

    def open(self) -> None:
        """Listen, unless the server already does; a restarted engine gets a new boot time."""
        if self.listener is None and self.engine.epoch:
            self.boot_ms = time.time_ns() // MS
        super().open()

    def target(self) -> Target:
        """Return the engine's entry in the endpoint list."""
        return {
            "uid": self.engine.name,
            "endpoint": f"{self.address[0]}:{self.address[1]}",
            "az": self.engine.zone,
            "model": self.kind.name,
            "pod_group": self.engine.cell,
            "state": STATE_TERMINATING if self.engine.draining else STATE_READY,
            "capacity_hint": 1.0,
            "boot_ms": self.boot_ms,
            **({"protocol": "h2c"} if self.max_streams else {}),
        }

    def load_report(self) -> str:
        """Return the value of the X-Server-Load header."""
        return ",".join(f"{name}={value:.3f}" for name, value in self.engine.report().items())

    def load_report_headers(self) -> Headers:
        """Return the load report as a header, unless the fleet's file turns reports off."""
        return [("X-Server-Load", self.load_report())] if self.file.reports else []

    def handle(self, exchange: Exchange) -> None:
        """Answer one request."""
        self.emulated_fleet.advance()
        arrived_s = self.emulated_fleet.elapsed_s()
        if not self.wait_until_up(exchange):
            exchange.abort()
            return
        path = exchange.head.target.partition("?")[0]
        if path.startswith("/kv/leases/"):
            self.handle_lease(exchange, path.rpartition("/")[2])
        elif path in ("/-/healthy", "/-/load"):
            self.handle_probe(exchange)
        elif exchange.head.method == "POST" and path in JOB_READERS:
            self.handle_attempt(exchange, path, arrived_s)
        else:
            exchange.respond(404)

    def wait_until_up(self, exchange: Exchange) -> bool:
        """Wait while the engine is silent; return whether it is up and the client still there."""
        if self.engine.condition == "up":
            return True
        while self.engine.condition == "silent" and not exchange.client_gone:
            exchange.next_event(SILENT_POLL_INTERVAL_NS)
        if exchange.client_gone or self.engine.condition != "up":
            return False
        self.emulated_fleet.advance()
        return True

    def handle_probe(self, exchange: Exchange) -> None:
        """Answer a health probe with the load report."""
        if self.file.probes:
            exchange.respond(200, [], self.load_report().encode())
        else:
            exchange.respond(404)

    def handle_lease(self, exchange: Exchange, request_id: str) -> None:
        """Release what is held for a request, or reserve a slot and memory for it."""
        if exchange.head.method == "DELETE":
            self.model.release(request_id)
            self.emulated_fleet.advance()
            exchange.respond(204)
            return
        if exchange.head.method != "POST" or not self.file.holds:
            exchange.respond(404)
            return
        if (read := self.emulated_fleet.pending_reads.get(request_id)) is None:
            self.loop.sleep(UNKNOWN_RESERVATION_DELAY_NS)
            exchange.respond(204)
            return
        reserved = self.model.hold(self.engine, request_id, read.prompt)
        exchange.respond(200 if reserved else 409)

    # ------------------------------------------------------------ attempts

    def chat_job(self, request_id: str, exchange: Exchange) -> EmulatedJob:
        """Return the job of a chat request."""
        return read_chat_request(self.file, request_id, exchange.head)

    def embedding_job(self, request_id: str, exchange: Exchange) -> EmulatedJob:
        """Return the job of an embeddings or rerank request."""
        return read_embedding_request(request_id, exchange.body)

    def handle_attempt(self, exchange: Exchange, path: str, arrived_s: float) -> None:
        """Read the request, and run its job if the engine has the role for it."""
        if not (request_id := exchange.head.get("x-request-id")):
            exchange.respond(404)
            return
        try:
            job = JOB_READERS[path](self, request_id, exchange)
        except MALFORMED_REQUEST_ERRORS:
            exchange.respond(400)
            return
        if job.is_embedding == (self.engine.spec.role == "embed"):
            self.run_job(exchange, job, arrived_s)
        else:
            exchange.respond(404)

    def run_job(self, exchange: Exchange, job: EmulatedJob, arrived_s: float) -> None:
        """Run the job in the model and send its result.

        Args:
            exchange: The request, which owns the job.
            job: The job.
            arrived_s: When the request's last byte arrived, in seconds since the start; a silent
                engine handles the request later.
        """
        job.owner = exchange
        pending_reads = self.emulated_fleet.pending_reads
        if self.engine.spec.role == "read":
            pending_reads[job.key] = job
        timeout_ms = int(exchange.head.get("x-timeout-ms") or 0)
        record = AttemptRecord(
            job.key,
            self.engine.name,
            self.engine.spec.role,
            exchange.head.get("x-priority-class"),
            self.emulated_fleet.elapsed_s(),
            timeout_ms,
            arrived_s,
        )
        self.emulated_fleet.attempts.append(record)
        self.model.send(self.engine, job)
        self.emulated_fleet.advance()
        load = self.load_report_headers()
        try:
            event: ModelEvent | None = exchange.next_event(timeout_ms * MS)
            if event:
                record.outcome = event.what
                self.send_result(exchange, job, event, load)
            elif exchange.client_gone:
                record.outcome = "gone"
                exchange.abort()
            else:
                exchange.respond(504, [NOT_PROCESSED] if job.at == "queued" else [])
        finally:
            pending_reads.pop(job.key, None)
            record.ended_s = self.emulated_fleet.elapsed_s()
            if job.at != "over":
                self.model.cancel(job)
                self.emulated_fleet.advance()

    def send_result(
        self, exchange: Exchange, job: EmulatedJob, event: ModelEvent, load: Headers
    ) -> None:
        """Send the answer that the model's first event of the job calls for.

        Args:
            exchange: The request.
            job: Its job.
            event: The event.
            load: Headers with the load report of when the job was sent to the model.
        """
        match event.what:
            case "read":
                exchange.respond(202, load, b'{"cached_tokens":%d}' % event.kept)
            case "full":
                exchange.respond(503, [NOT_PROCESSED, *load])
            case "stateless":
                exchange.respond(410, [NOT_PROCESSED, *load])
            case "error":
                exchange.respond(500)
            case "embedded":
                body = encode_embedding_answer(job, self.file.dimensions)
                exchange.respond(200, [JSON_CONTENT, *load], body)
            case "first" | "ok":
                self.send_stream(exchange, job, event)
            case _:
                exchange.abort()

    def send_stream(self, exchange: Exchange, job: EmulatedJob, first: ModelEvent) -> None:
        """Stream an answer of tokens, an event for each TOKENS_PER_EVENT of them."""
        text = answer_text(job.key)
        exchange.begin_stream([("Content-Type", "text/event-stream")])
        event: ModelEvent | None = first
        tokens = 0
        next_event_at = 1  # token
        while event and event.what not in ("reset", "stateless", "error"):
            tokens += 1
            if event.what == "ok":
                self.send_stream_end(exchange, job, event)
                return
            if tokens >= next_event_at:
                next_event_at = tokens + TOKENS_PER_EVENT
                exchange.send_chunk(encode_event({"content": text}))
            event = exchange.next_event()
        exchange.abort()

    def send_stream_end(self, exchange: Exchange, job: EmulatedJob, last: ModelEvent) -> None:
        """Send the finish reason, the usage and, as a comment, the load report."""
        data = encode_event({}, "stop") + encode_usage(job, last.kept)
        if self.file.reports:
            data += b": X-Server-Load: %b\n\n" % self.load_report().encode()
        exchange.send_chunk(data + LAST_EVENT)
        exchange.end_stream()


JOB_READERS: dict[str, Callable[[EngineServer, str, Exchange], EmulatedJob]] = {
    "/v1/chat/completions": EngineServer.chat_job,
    "/v1/embeddings": EngineServer.embedding_job,
    "/v1/rerank": EngineServer.embedding_job,
}


class ControlServer(Server):
    """Injects faults, and tells the state of the fleet to audits.

    POST /trouble {"do": "kill", "engine": "p-0"}; GET /state; GET /audit.
    """

    def __init__(self, emulated_fleet: EmulatedFleet):
        self.emulated_fleet = emulated_fleet
        self.model = emulated_fleet.model
        listen = (emulated_fleet.file.host, emulated_fleet.file.control_port)
        super().__init__(
            emulated_fleet.loop, listen, CONTROL_MAX_CONNECTIONS, CONTROL_IDLE_TIMEOUT_NS
        )

    def handle(self, exchange: Exchange) -> None:
        """Answer one request."""
        match exchange.head.method, exchange.head.target:
            case "GET", "/state":
                self.emulated_fleet.advance()
                self.model.check()
                exchange.respond(200, [JSON_CONTENT], json.dumps(self.fleet_state()).encode())
            case "GET", "/audit":
                self.emulated_fleet.advance()
                exchange.respond(200, [JSON_CONTENT], json.dumps(self.audit_log()).encode())
            case "POST", "/trouble":
                error = self.inject(exchange.body)
                exchange.respond(400 if error else 204, [], error.encode())
            case _:
                exchange.respond(404)

    def inject(self, body: bytes) -> str:
        """Carry out the fault that a request describes; return why it is impossible, or ""."""
        try:
            fault = json.loads(body)
            return self.emulated_fleet.inject(
                str(fault["do"]),
                str(fault.get("engine", "")),
                float(fault.get("times", DEFAULT_SLOW_FACTOR)),
                float(fault.get("for_s", DEFAULT_SLOW_DURATION_S)),
            )
        except MALFORMED_REQUEST_ERRORS as err:
            return f"{type(err).__name__} {err}"

    def fleet_state(self) -> dict[str, object]:
        """Return the present state of the engines, and counts of what happened."""
        engines = {
            name: {
                "condition": server.engine.condition,
                "draining": server.engine.draining,
                "connections": len(server.connections),
                "counts": dict(server.engine.counts),
                **server.engine.report(),
            }
            for name, server in self.emulated_fleet.servers.items()
        }
        return {
            "engines": engines,
            "counts": dict(self.model.counts),
            "states": len(self.model.states),
        }

    def audit_log(self) -> dict[str, object]:
        """Return what an audit needs; `monotonic` relates its times to the machine's clock."""
        return {
            "now": self.emulated_fleet.elapsed_s(),
            "monotonic": time.monotonic(),
            "attempts": [record.as_row() for record in self.emulated_fleet.attempts],
            "drains": self.emulated_fleet.drains,
            "fell": self.model.counts["fell"],
            "states": list(self.model.states),
            "held": self.held_states(),
        }

    def held_states(self) -> list[tuple[str, str, float, float]]:
        """Return all states that are or were held: request, reader, from and to."""
        now = self.emulated_fleet.elapsed_s()
        present = [
            (state.key, state.reader.name, state.since, now) for state in self.model.states.values()
        ]
        return [*self.model.held, *present]
