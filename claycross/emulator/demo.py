"""The whole service on one machine: an emulated fleet, two gateways, a short mixed load, a report.

The demo starts and ends the processes, and counts what each request came to. It also holds what
the soak test and the fault scenarios share with it: processes, settings and a plain HTTP client.
"""

from __future__ import annotations

import http.client
import io
import json
import os
import pathlib
import re
import signal
import subprocess
import sys
import tempfile
import threading
import time
from collections import Counter
from dataclasses import dataclass, field

import click

ROOT = pathlib.Path(__file__).parent.parent.parent
START_TIMEOUT_S = 10.0  # of each process
STOP_TIMEOUT_S = 8.0  # of each process, until it is killed
RESTART_TIMEOUT_S = 10.0
REQUEST_TIMEOUT_S = 30.0
JOIN_TIMEOUT_S = 60.0  # of each client's thread, at the end of the load
LOG_POLL_INTERVAL_S = 0.01
# After SIGTERM, until clients send nothing more there: the delay of a real load balancer.
STOP_NOTICE_DELAY_S = 0.3
CLASSES = {"browse": "safe", "licence": "unsafe"}  # priority class -> effect
APIS = ("chat", "embeddings", "rerank")
API_CYCLE = ("chat", "chat", "chat", "chat", "embeddings", "chat", "chat", "rerank")
CHAT_TIMEOUT_MS = 6000
MAX_OUTPUT_TOKENS = 60


@dataclass
class ApiSummary:
    """Outcomes of the requests of one API."""

    requests: int = 0
    outcomes: Counter[str] = field(default_factory=Counter)
    # Seconds to the first byte of the answers that were served.
    first_byte_s: list[float] = field(default_factory=list)


class NotReachedError(OSError):
    """No process listened at the address, so that the request may be sent to another gateway."""


def ask(
    address: str,
    method: str,
    path: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    timeout: float = REQUEST_TIMEOUT_S,
    unreached: set[int] | frozenset[int] = frozenset(),
) -> tuple[int, bytes, float]:
    """Send a request; return status, body and seconds to the first byte.

    Args:
        address: Host and port.
        method: The request's method.
        path: The request's path.
        body: The request's body.
        headers: The request's headers.
        timeout: Seconds of each wait for the connection.
        unreached: Local ports of connections that a proxy on the way could not pass on; read after
            the connection has failed.

    Raises:
        NotReachedError: If no process listened at the address.
        http.client.IncompleteRead: If the connection ended within the answer.
    """
    start = time.monotonic()
    local_port = 0
    connection = http.client.HTTPConnection(address, timeout=timeout)
    try:
        connection.connect()
        local_port = connection.sock.getsockname()[1]
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        first_byte_s = time.monotonic() - start
        return response.status, response.read(), first_byte_s
    except ConnectionRefusedError:
        raise NotReachedError from None
    except (OSError, http.client.HTTPException):
        if local_port in unreached:
            raise NotReachedError from None
        raise
    finally:
        connection.close()


class GatewayProcess:
    """A process of this program that can be started again, and its log."""

    def __init__(
        self,
        folder: pathlib.Path,
        name: str,
        *arguments: str,
        environment: dict[str, str] | None = None,
    ):
        self.name = name
        self.arguments = arguments
        self.path = folder / f"{name}.log"
        self.environment = environment or {}
        self.earlier_log = ""  # the logs of earlier processes of this name
        self.process: subprocess.Popen[bytes] | None = self.spawn()

    def start(self) -> None:
        """Start the process again."""
        self.process = self.spawn()

    def spawn(self) -> subprocess.Popen[bytes]:
        """Start a process with an empty log; the state folder stays that of earlier ones."""
        self.earlier_log += self.path.read_text() if self.path.exists() else ""
        self.path.with_suffix(".earlier.log").write_text(self.earlier_log)
        state_folder = self.path.with_suffix(".state")
        state_folder.mkdir(exist_ok=True)
        own_environment = {"PROXY_NAME": self.name, "TMPDIR": str(state_folder)}
        with self.path.open("w") as log:
            return subprocess.Popen(
                [sys.executable, "-O", "-m", "claycross", *self.arguments],
                cwd=ROOT,
                stdout=log,
                stderr=log,
                env=os.environ | own_environment | self.environment,
            )

    def wait_for_log(self, pattern: str) -> re.Match[str]:
        """Wait for text in the log of the present process.

        Raises:
            click.ClickException: If the process ends before, or START_TIMEOUT_S passes.
        """
        deadline = time.monotonic() + START_TIMEOUT_S
        while not (found := re.search(pattern, self.path.read_text())):
            if self.process.poll() is not None or time.monotonic() > deadline:
                raise click.ClickException(
                    f"{self.name} did not start: {self.path.read_text()[-500:]}"
                )
            time.sleep(LOG_POLL_INTERVAL_S)
        return found

    def resource_usage(self) -> tuple[float, float] | None:
        """Return seconds of processor time so far and MB of memory now, if the system tells."""
        try:
            proc = pathlib.Path(f"/proc/{self.process.pid}")
            user_and_system_ticks = (
                proc.joinpath("stat").read_text().rsplit(")", 1)[1].split()[11:13]
            )
            cpu_s = sum(map(int, user_and_system_ticks)) / os.sysconf("SC_CLK_TCK")
        except (OSError, IndexError):
            return None
        memory_kb = self.memory_kb("VmRSS")
        return (cpu_s, memory_kb / 1024) if memory_kb else None

    def memory_kb(self, figure: str) -> int:
        """Return a figure of the process's memory by its name in the system's status; 0: none."""
        try:
            status = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0
        found = re.search(rf"^{figure}:\s+(\d+) kB", status, re.MULTILINE)
        return int(found[1]) if found else 0

    def end(self) -> None:
        """Terminate the process, or kill it after STOP_TIMEOUT_S."""
        if self.process.poll() is None:
            self.process.terminate()
            try:
                self.process.wait(STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                self.process.kill()
        self.process.wait()


def settings() -> dict[str, object]:
    """Return the gateways' settings, with the names and units of the platform's messages."""
    return {
        "balancers": 2,
        "me": 0,
        "tick": 4_000_000,
        "zone": "kigali",
        "zones": ["kigali", "huye", "musanze"],
        "membership-mode": "push",
        "host-types": ["prefill", "decode"],
        "tenants": [],
        "categories": [
            {
                "name": name,
                "slo": 1_500_000_000,
                "give-up": 6_000_000_000,
                "effect": effect,
                "streaming": True,
                "importance": 1.0 + (name == "licence"),
            }
            for name, effect in CLASSES.items()
        ],
        "family-info": {
            "kind-role": ["read", "write"],
            "kv-tokens": [210_000, 160_000],
            "release-within": 300_000_000,
            "aim-us-per-1000-prompt-tokens": [40_000.0, 40_000.0],
            "token-aim": [60_000_000, 80_000_000],
        },
        "permissions": {
            "send-cap": 5,
            "may-cancel": True,
            "conn-idle": 5_000_000_000,
            "retry-after": True,
            "max-retry-after": 1_000_000_000,
            "dial-timeout": 250_000_000,
        },
        "safety": {
            "cold-from": 0.3,
            "warm-after": 8_000_000_000,
            "fall": 1_000_000_000,
            "fall-multiple": 2.5,
        },
    }


class Demo:
    """One run of the demo: its processes, its load and its results."""

    def __init__(
        self, folder: pathlib.Path, fleet: str, seconds: float, rate: float, http2: str = ""
    ):
        self.folder = folder
        self.fleet = fleet
        self.seconds = seconds
        self.rate = rate
        self.http2 = http2
        self.lock = threading.Lock()  # of the summaries
        self.summaries = {api: ApiSummary() for api in APIS}
        self.notes: list[str] = []  # on the drain and the restart
        self.processes: list[GatewayProcess] = []
        self.gateways: list[GatewayProcess] = []
        self.fronts: list[dict[str, str]] = []  # of each gateway: kind of API -> address
        self.stopping: set[int] = set()  # gateways to which clients send nothing
        self.control = ""
        self.discovery = ""

    def start(self) -> None:
        """Start the emulator and two gateways, and wait until they listen."""
        emulator = self.start_process("emulator", "emulate", self.fleet)
        found = emulator.wait_for_log(r"discovery=(\S+) control=(\S+)")
        self.discovery = found[1]
        self.control = found[2]
        known = json.loads(self.ask(self.discovery, "GET", "/api/targets")[1])
        for name in ("n0", "n1"):
            self.configure(name, "127.0.0.1:0", "127.0.0.1:0", known)
            self.gateways.append(self.start_process(name, *self.gateway_arguments(name)))
        for gateway in self.gateways:
            found = gateway.wait_for_log(r"serving listen=(\S+) embeddings=(\S+)")
            self.fronts.append({"chat": found[1], "embeddings": found[2]})
            # So that it listens at the same addresses after a restart.
            self.configure(gateway.name, found[1], found[2], known)

    def gateway_arguments(self, name: str) -> list[str]:
        """Return the command line of a gateway, without the program's name."""
        config = str(self.folder / f"{name}.json")
        embeddings = str(self.folder / f"{name}.toml")
        http2 = ["--http2", self.http2] if self.http2 else []
        return ["serve", "--config", config, "--embeddings", embeddings, *http2]

    def configure(self, name: str, chat: str, embeddings: str, known: object) -> None:
        """Write a gateway's configuration files.

        Args:
            name: The gateway.
            chat: The address of its chat API.
            embeddings: The address of its embeddings API.
            known: The endpoint list with which it starts.
        """
        config = {
            "name": name,
            "listen": chat,
            "discovery": self.discovery,
            "seed": "1f",
            "limits": {"sockets": 1024},
            "known": known,
            "settings": settings(),
        }
        (self.folder / f"{name}.json").write_text(json.dumps(config))
        text = (ROOT / "deploy" / "embeddings.toml").read_text()
        (self.folder / f"{name}.toml").write_text(text.replace("127.0.0.1:8100", embeddings))

    def start_process(self, name: str, *arguments: str) -> GatewayProcess:
        """Start a process that the demo ends with itself."""
        process = GatewayProcess(self.folder, name, *arguments)
        self.processes.append(process)
        return process

    def close(self) -> None:
        """End all processes, the last started first."""
        for process in reversed(self.processes):
            process.end()

    # ------------------------------------------------------------ requests

    ask = staticmethod(ask)

    def send_request(self, number: int) -> None:
        """Send one request of the load and count its outcome."""
        api = API_CYCLE[number % len(API_CYCLE)]
        path, headers, body = chat_request(number) if api == "chat" else text_request(api, number)
        outcome, first_byte_s = self.send_to_any_gateway(number, api, path, headers, body)
        summary = self.summaries[api]
        with self.lock:
            summary.requests += 1
            summary.outcomes[outcome] += 1
            if outcome == "served":
                summary.first_byte_s.append(first_byte_s)

    def send_to_any_gateway(
        self, number: int, api: str, path: str, headers: dict[str, str], body: bytes
    ) -> tuple[str, float]:
        """Return a request's outcome and the seconds to the first byte of its answer.

        As a load balancer does, it tries the next gateway if none listens at an address.
        """
        front = "chat" if api == "chat" else "embeddings"
        for turn in range(len(self.fronts)):
            gateway = (number + turn) % len(self.fronts)
            if gateway in self.stopping:
                continue
            address = self.fronts[gateway][front]
            try:
                status, _, first_byte_s = self.ask(address, "POST", path, body, headers)
            except NotReachedError:
                continue
            except http.client.IncompleteRead:
                return "broken", 0.0
            except (OSError, http.client.HTTPException) as err:
                return f"no answer ({type(err).__name__})", 0.0
            outcomes = {200: "served", 429: "refused", 503: "refused"}
            return outcomes.get(status, f"failed with {status}"), first_byte_s
        return "no gateway listens", 0.0

    def run(self, quiet: bool) -> bool:
        """Run the load, with a drain and a restart; return whether each request was answered.

        Args:
            quiet: Show no progress bar.
        """
        count = int(self.seconds * self.rate)
        operations = {count // 3: self.drain, count // 2: self.restart}
        threads: list[threading.Thread] = []
        start = time.monotonic()
        out = io.StringIO() if quiet else sys.stderr
        with click.progressbar(range(count), label="asking", file=out) as progress:
            for number in progress:
                time.sleep(max(0.0, start + number / self.rate - time.monotonic()))
                started = [threading.Thread(target=self.send_request, args=(number,))]
                if number in operations:
                    started.append(threading.Thread(target=operations[number]))
                for thread in started:
                    thread.start()
                threads += started
            for thread in threads:
                thread.join(JOIN_TIMEOUT_S)
        self.report(time.monotonic() - start)
        answered = sum(
            summary.outcomes["served"] + summary.outcomes["refused"]
            for summary in self.summaries.values()
        )
        return answered == count and len(self.notes) == len(operations)

    def drain(self) -> None:
        """Drain one engine."""
        body = json.dumps({"do": "drain", "engine": "decode-0"}).encode()
        status, text, _ = self.ask(self.control, "POST", "/trouble", body)
        self.notes.append(
            "decode-0 was drained" if status == 204 else f"the drain failed: {text!r}"
        )

    def restart(self) -> None:
        """Stop the second gateway with SIGTERM, and start it again once it has ended."""
        gateway = self.gateways[1]
        start = time.monotonic()
        gateway.process.send_signal(signal.SIGTERM)
        time.sleep(STOP_NOTICE_DELAY_S)
        self.stopping.add(1)
        status = gateway.process.wait(RESTART_TIMEOUT_S)
        ended_after = time.monotonic() - start
        gateway.start()
        gateway.wait_for_log("serving listen")
        self.stopping.discard(1)
        if status == 0:
            self.notes.append(
                f"n1 was restarted: it ended after {ended_after:.1f} s with nothing owed, and "
                f"served again after {time.monotonic() - start:.1f} s"
            )

    # ------------------------------------------------------------ the report

    def report(self, took: float) -> None:
        """Print the results; `took`: seconds of the load."""
        print(
            f"\n{'':12}{'asked':>7}{'served':>8}{'refused':>9}{'other':>7}"
            f"{'first byte p50':>16}{'p99':>9}"
        )
        for api, summary in self.summaries.items():
            print_summary(api, summary)
        state = json.loads(self.ask(self.control, "GET", "/state")[1])
        engines = state["engines"].values()
        connections = sum(engine["connections"] for engine in engines)
        print(
            f"in {took:.1f} s; {len(engines)} engines, {state['states']} states left held, "
            f"{connections} connections to them open"
        )
        if usage := self.processes[0].resource_usage():
            cpu_s, memory_mb = usage
            print(f"the engines' process used {cpu_s / took:.0%} of a core and {memory_mb:.0f} MB")
        for note in self.notes:
            print(note)


def chat_request(number: int) -> tuple[str, dict[str, str], bytes]:
    """Return path, headers and body of a chat request of the load."""
    request = {"model": "chat", "stream": True, "max_tokens": MAX_OUTPUT_TOKENS, "messages": []}
    prompt_tokens = 1500 + 97 * number % 1700
    headers = {
        "X-Request-ID": f"{number:016x}",
        "X-Priority-Class": tuple(CLASSES)[number % 3 == 0],
        "X-Route-Key": f"s{number % 17}",
        "X-Timeout-Ms": str(CHAT_TIMEOUT_MS),
        "X-Attrs": f"prefix=o{number % 3},prompt_len={prompt_tokens},prefix_len=1200,"
        f"max_out={MAX_OUTPUT_TOKENS}",
    }
    return "/v1/chat/completions", headers, json.dumps(request).encode()


def text_request(api: str, number: int) -> tuple[str, dict[str, str], bytes]:
    """Return path, headers and body of an embeddings or rerank request of the load."""
    texts = [f"tense drums, no vocals {number} {n}" for n in range(8)]
    request = (
        {"model": "e", "input": texts}
        if api == "embeddings"
        else {"model": "e", "query": "calm strings", "documents": texts}
    )
    headers = {"Content-Type": "application/json"}
    return f"/v1/{api}", headers, json.dumps(request).encode()


def print_summary(api: str, summary: ApiSummary) -> None:
    """Print one API's row of the report, and its other outcomes below it."""
    served = summary.outcomes["served"]
    refused = summary.outcomes["refused"]
    other = summary.requests - served - refused
    times = sorted(summary.first_byte_s) or [0.0]
    p50 = times[len(times) // 2]
    p99 = times[min(len(times) - 1, int(len(times) * 0.99))]
    print(
        f"{api:12}{summary.requests:7}{served:8}{refused:9}{other:7}"
        f"{p50 * 1000:13.0f} ms{p99 * 1000:6.0f} ms"
    )
    for outcome in summary.outcomes.keys() - {"served", "refused"}:
        print(f"{'':12}{summary.outcomes[outcome]} {outcome}")


def run_demo(fleet: str, seconds: float, rate: float, quiet: bool = False, http2: str = "") -> bool:
    """Run the demo and print its report; return whether each request was answered.

    Args:
        fleet: The fleet's file.
        seconds: Length of the load.
        rate: Requests per second.
        quiet: Show no progress bar.
        http2: File of the settings of HTTP/2 towards engines; empty: HTTP/1.1.
    """
    with tempfile.TemporaryDirectory() as folder:
        demo = Demo(pathlib.Path(folder), fleet, seconds, rate, http2)
        try:
            demo.start()
            return demo.run(quiet)
        finally:
            demo.close()
