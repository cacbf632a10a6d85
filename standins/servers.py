"""Stand-ins for what surrounds the gateway, written from the protocol's page: engines, discovery
and clients.

Each engine records what reaches it and answers by its `plan`; the gateway is the real program in a
process.
"""

import contextlib
import hashlib
import json
import os
import pathlib
import re
import signal
import socket
import struct
import subprocess
import sys
import threading
import time
from dataclasses import dataclass, field

ROOT = pathlib.Path(__file__).parent.parent
SETTINGS = {
    "balancers": 2,
    "me": 0,
    "tick": 4_000_000,
    "zone": "a",
    "zones": ["a", "b"],
    "membership-mode": "push",
    "categories": [
        {
            "name": "ask",
            "slo": 10**9,
            "give-up": 6 * 10**9,
            "effect": "safe",
            "streaming": True,
            "importance": 2.0,
            "a-new-key": [1],
        }
    ],
    "host-types": ["p", "d"],
    "tenants": [],
    "a-new-setting": {"x": 1},
    "family-info": {
        "kind-role": ["read", "write"],
        "kv-tokens": [10**5, 10**5],
        "release-within": 3 * 10**8,
        "aim-us-per-1000-prompt-tokens": [40000.0],
        "token-aim": [60000000],
    },
    "permissions": {"send-cap": 4, "may-cancel": True},
    "safety": {"cold-from": 0.3, "warm-after": 10**10, "fall": 10**9, "fall-multiple": 2.5},
}
EVENTS = [
    *(
        b'data: {"choices":[{"index":0,"delta":{"content":"%d"},"finish_reason":null}]}\n\n' % n
        for n in range(4)
    ),
    b'data: {"choices":[],"usage":{"prompt_tokens_details":{"cached_tokens":7}}}\n\n',
    b"data: [DONE]\n\n",
]
NEVER = "X-Not-Processed: 1"
# Makes the descriptor it is given the third, then becomes the gateway: what the platform does on
# upgrades.
HAND_OVER = "import os, sys; os.dup2(int(sys.argv[1]), 3); os.execv(sys.argv[2], sys.argv[2:])"


def eventually(condition, within=8.0):
    """Waits until it holds; the bound only ends a test that has failed."""
    end = time.monotonic() + within
    while not (found := condition()):
        assert time.monotonic() < end, "it never came to hold"
        time.sleep(0.004)
    return found


def passes(span):
    """Waits until so much time has passed: that an idle time is over can't be seen from outside."""
    end = time.monotonic() + span
    eventually(lambda: time.monotonic() >= end, span + 5)


@dataclass
class Message:
    start: str
    headers: dict
    body: bytes
    port: int = 0  # of the connection's other end

    def __getitem__(self, name):
        return self.headers.get(name.lower())


def read_message(file):
    if not (line := file.readline()):
        return None
    headers = {}
    while h := file.readline().strip():
        name, _, value = h.decode().partition(":")
        headers[name.lower()] = value.strip()
    return Message(line.decode().strip(), headers, file.read(int(headers.get("content-length", 0))))


class Speaker:
    """What a plan can do on any wire that has begin(), event() and end()."""

    def stream(self, events=EVENTS):
        self.begin()
        for data in events:
            self.event(data)
        self.end()


class Wire(Speaker):
    """One connection as an engine's plan sees it."""

    def __init__(self, sock):
        self.sock, self.file = sock, sock.makefile("rb")
        self.ended = False  # by either side

    def reply(self, status, *headers, body=b""):
        head = "\r\n".join([f"HTTP/1.1 {status} X", *headers, f"Content-Length: {len(body)}"])
        self.sock.sendall(head.encode() + b"\r\n\r\n" + body)

    def begin(self):
        self.sock.sendall(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n"
        )

    def event(self, data):
        self.sock.sendall(b"%x\r\n%b\r\n" % (len(data), data))

    def end(self):
        self.sock.sendall(b"0\r\n\r\n")

    def reset(self):
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.sock.close()
        self.file.close()
        raise ConnectionError

    def gone(self):
        """Waits until the gateway has closed this connection."""
        with contextlib.suppress(OSError):
            while self.sock.recv(4096):
                pass


class Server:
    def __init__(self, backlog=64):
        self.sock = socket.socket()
        self.sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_REUSEADDR, 1
        )  # its port may be taken over
        self.sock.bind(("127.0.0.1", 0))
        self.sock.listen(backlog)
        self.port, self.wires = self.sock.getsockname()[1], []
        self.address = f"127.0.0.1:{self.port}"

    def start(self):
        threading.Thread(target=self.accept, daemon=True).start()
        return self

    def accept(self):
        while True:
            try:
                sock, _ = self.sock.accept()
            except OSError:
                return
            sock.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_NODELAY, 1
            )  # else each second write waits 40 ms
            wire = Wire(sock)
            self.wires.append(wire)
            threading.Thread(target=self.talk_quietly, args=(wire,), daemon=True).start()

    def talk_quietly(self, wire):
        with contextlib.suppress(OSError, ValueError):
            self.talk(wire)
        wire.ended = True
        with contextlib.suppress(OSError):
            wire.file.close()
            wire.sock.close()

    def close(self):
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)
        self.sock.close()
        self.close_connections()

    def close_connections(self):
        """Ends those that are open; further ones are accepted as before."""
        for wire in self.wires:
            with contextlib.suppress(OSError):
                wire.sock.shutdown(socket.SHUT_RDWR)


def read_well(engine, request, wire):
    wire.reply(202, body=b'{"cached_tokens":5}')


def write_well(engine, request, wire):
    wire.stream()


def embed_well(engine, request, wire):
    """Answers both public shapes, one entry for each text or document."""
    asked = json.loads(request.body)
    if "rerank" in request.start:
        entries = [
            {"index": n, "relevance_score": 1 / (n + 1)} for n in range(len(asked["documents"]))
        ]
        body = {"model": asked["model"], "results": entries[: asked.get("top_n")]}
    else:
        texts = asked["input"]
        if isinstance(texts, str) or isinstance(texts[0], int):
            texts = [texts]
        body = {
            "object": "list",
            "model": asked["model"],
            "usage": {"prompt_tokens": 3, "total_tokens": 3},
            "data": [
                {"object": "embedding", "index": n, "embedding": [0.5]} for n in range(len(texts))
            ],
        }
    wire.reply(200, "Content-Type: application/json", body=json.dumps(body).encode())


PLANS = {"p": read_well, "d": write_well, "embed": embed_well}


class Engine(Server):
    protocol = ""  # as its entry in the list names it

    def __init__(self, kind, uid="", plan=None, backlog=64):
        super().__init__(backlog)
        self.kind, self.plan = kind, plan or PLANS[kind]
        self.uid = uid or f"{kind}-{self.port}"
        self.asked, self.calls, self.prefaces = [], [], 0

    def talk(self, wire):
        while message := read_message(wire.file):
            message.port = wire.sock.getpeername()[1]
            if message.start.startswith("PRI "):
                self.prefaces += 1
                return wire.reply(505, "Connection: close")
            self.take(message, wire)

    def take(self, message, wire):
        if message.start.split()[1].startswith("/kv/"):
            self.calls.append(message)
            wire.reply(204)
        else:
            self.asked.append(message)
            self.plan(self, message, wire)

    def target(self, state="Ready", boot_ms=0):
        named = {"protocol": self.protocol} if self.protocol else {}
        return {
            **named,
            "uid": self.uid,
            "endpoint": self.address,
            "az": "a",
            "model": self.kind,
            "pod_group": 0,
            "state": state,
            "capacity_hint": 1.0,
            "boot_ms": boot_ms,
        }


class Discovery(Server):
    def __init__(self):
        super().__init__()
        self.rev, self.targets, self.watches, self.froms = 1, {}, [], []
        self.telling = threading.Lock()
        self.speaks = threading.Event()  # cleared: it takes the call and says nothing yet
        self.speaks.set()
        self.beats = True  # a blank line every 2 s while nothing changes

    def talk(self, wire):
        if (message := read_message(wire.file)) is None:
            return  # connected to, and not asked
        self.froms.append(int(re.search(r"from=(\d+)", message.start)[1]))
        wire.begin()
        self.speaks.wait(30)
        with self.telling:  # what is told from here on is in the list or comes behind it
            self.say(wire, True, list(self.targets.values()))
            self.watches.append(wire)
        wire.sock.settimeout(2)
        while True:
            try:
                if not wire.sock.recv(4096):
                    break
            except TimeoutError:
                if self.beats:
                    wire.event(b"\n")
            except OSError:
                break
        self.watches.remove(wire)

    def say(self, wire, whole, targets):
        wire.event(json.dumps({"rev": self.rev, "all": whole, "targets": targets}).encode() + b"\n")

    def tell(self, *targets):
        with self.telling:
            self.rev += 1
            for t in targets:
                self.targets[t["uid"]] = t
            for wire in self.watches:
                self.say(wire, False, list(targets))

    def junk(self, line):
        for wire in list(self.watches):
            wire.event(line)


@dataclass
class Answer:
    status: int
    headers: dict
    body: bytes
    whole: bool

    def __getitem__(self, name):
        return self.headers.get(name.lower())

    def json(self):
        return json.loads(self.body)


class Client:
    """One connection; a context manager."""

    def __init__(self, address):
        host, port = address.split(":")
        self.sock = socket.create_connection((host, int(port)), timeout=20)
        self.file = self.sock.makefile("rb")

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.file.close()
        self.sock.close()

    @staticmethod
    def message(method, path, body=b"", **headers):
        """The bytes of a request."""
        lines = [f"{method} {path} HTTP/1.1", "Host: origin.svc", f"Content-Length: {len(body)}"]
        lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + body

    def send(self, method, path, body=b"", **headers):
        self.sock.sendall(self.message(method, path, body, **headers))
        return self

    def answer(self):
        return self.rest(self.status())

    def to_end(self):
        """What still comes until the other side has ended the connection, whichever way: one that
        is closed over bytes that were not read ends in a reset.
        """
        found = b""
        with contextlib.suppress(ConnectionError):
            while data := self.file.read1(65_536):
                found += data
        return found

    def status(self):
        """As soon as the status line is here; rest() goes on from there."""
        return int(self.file.readline().split()[1])

    def rest(self, status):
        headers = {}
        while line := self.file.readline().strip():
            name, _, value = line.decode().partition(":")
            headers[name.lower()] = value.strip()
        if "chunked" not in headers.get("transfer-encoding", ""):
            length = int(headers.get("content-length", 0))
            body = self.file.read(length)
            return Answer(status, headers, body, len(body) == length)
        body = b""
        while size := self.file.readline():
            if int(size, 16) == 0:
                self.file.readline()
                return Answer(status, headers, body, True)
            body += self.file.read(int(size, 16))
            self.file.readline()
        return Answer(status, headers, body, False)


NUMBER = iter(range(1, 10**9))


def chat(client, cls="browse", timeout=6000, body=b'{"model":"chat"}', key="", **headers):
    headers = {"X_Attrs": "prompt_len=800,prefix_len=0,max_out=50", "X_Route_Key": "s", **headers}
    return client.send(
        "POST",
        "/v1/chat/completions",
        body,
        X_Request_ID=key or f"{next(NUMBER):016x}",
        X_Priority_Class=cls,
        X_Timeout_Ms=timeout,
        **headers,
    )


def post(address, path, value, **headers):
    with Client(address) as c:
        body = value if isinstance(value, bytes) else json.dumps(value).encode()
        return c.send("POST", path, body, **headers).answer()


@dataclass
class Site:
    """A gateway with its engines and its discovery."""

    folder: pathlib.Path
    engines: list = field(default_factory=list)
    release: bool = False
    embeddings: dict | None = None  # changes to the front's file
    settings: dict = field(default_factory=dict)  # changes to `permissions`
    resume: bool = False
    etcd: Server | None = None  # the source of the list instead of discovery
    admin: str = ""  # the operator's token
    mode: str = "push"  # of discovery
    http2: dict | None = None  # changes to that file
    family: dict = field(default_factory=dict)  # changes to `family-info`
    safety: dict = field(default_factory=dict)  # changes to `safety`
    late: bool = False  # discovery says nothing until `discovery.speaks` is set
    sockets: int = 512
    more: dict = field(default_factory=dict)  # of the configuration
    door: bool = False  # the operators' door, on a free port
    classes: list = field(default_factory=list)  # more of them, in the words of the settings
    give_up: int = 6 * 10**9  # ns that clients of the two usual ones wait
    passed: socket.socket | None = (
        None  # the clients' listening socket, handed over as descriptor 3
    )
    tmp: pathlib.Path | None = None  # $TMPDIR, where it is to be shared with another process
    environment: dict = field(default_factory=dict)  # more of it, for the gateway's process

    def __enter__(self):
        self.discovery = Discovery().start()
        if self.late:
            self.discovery.speaks.clear()
        for e in self.engines:
            e.start()
            self.discovery.targets[e.uid] = e.target()
        settings = json.loads(json.dumps(SETTINGS))
        settings["categories"] = [
            {
                "name": name,
                "slo": 10**9,
                "give-up": self.give_up,
                "effect": effect,
                "streaming": True,
            }
            for name, effect in (("browse", "safe"), ("licence", "unsafe"))
        ] + self.classes
        settings["membership-mode"] = self.mode
        settings["family-info"] |= {"resume": self.resume, **self.family}
        settings["safety"] |= self.safety
        settings["permissions"] |= {
            "conn-idle": 4 * 10**9,
            "dial-timeout": 5 * 10**9,
            "retry-after": True,
            "max-retry-after": 10**9,
            "may-cancel": True,
            "send-cap": 5,
            **self.settings,
        }
        known = list(self.discovery.targets.values())
        listen = (
            "127.0.0.1:0" if self.passed is None else "{}:{}".format(*self.passed.getsockname())
        )
        config = {
            "name": "n0",
            "listen": listen,
            "discovery": self.discovery.address,
            "seed": "1f",
            "limits": {"sockets": self.sockets},
            "known": {"rev": 1, "all": True, "targets": known},
            "settings": settings,
            **self.more,
        }
        self.reconfigure(config)
        command = [
            sys.executable,
            *(["-O"] if self.release else []),
            "-m",
            "claycross",
            "serve",
            "--config",
            str(self.folder / "config.json"),
        ]
        if self.http2 is not None:
            text = (ROOT / "deploy" / "http2.toml").read_text()
            for name, value in self.http2.items():
                text = re.sub(rf"(?m)^{name} = \S+", f"{name} = {value}", text)
            (self.folder / "http2.toml").write_text(text)
            command += ["--http2", str(self.folder / "http2.toml")]
        if self.embeddings is not None:
            text = (
                (ROOT / "deploy" / "embeddings.toml")
                .read_text()
                .replace("127.0.0.1:8100", "127.0.0.1:0")
            )
            for name, value in self.embeddings.items():
                text = re.sub(rf"(?m)^{name} = \S+", f"{name} = {value}", text)
            (self.folder / "embeddings.toml").write_text(text)
            command += ["--embeddings", str(self.folder / "embeddings.toml")]
        if self.admin:
            (self.folder / "admin.toml").write_text(
                f'listen = "127.0.0.1:0"\ntenants = "{self.folder}/tenants.json"\n'
                f'token_sha256 = "{hashlib.sha256(self.admin.encode()).hexdigest()}"\n'
            )
            command += ["--admin", str(self.folder / "admin.toml")]
        if self.etcd:
            text = (ROOT / "deploy" / "etcd.toml").read_text()
            (self.folder / "etcd.toml").write_text(
                text.replace("127.0.0.1:2379", self.etcd.address)
            )
            command += ["--etcd", str(self.folder / "etcd.toml")]
        self.command = command
        self.start()
        eventually(
            lambda: self.etcd
            or (self.late and self.discovery.froms)
            or (self.discovery.watches and " discovery rev=" in self.log())
        )
        return self

    def start(self, log_name="log"):
        """The gateway's process; again, beside the first, where the clients' socket is handed
        over.
        """
        self.log_path = self.folder / log_name
        with self.log_path.open("w") as log:
            env = {k: v for k, v in os.environ.items() if not k.startswith("PROXY_")}
            env["PROXY_DISCOVERY"] = (
                self.discovery.address
            )  # as the platform does; a reload must see past it
            if self.door:
                env["PROXY_ADMIN"] = "127.0.0.1:0"
            state = (
                self.tmp or self.folder / "state"
            )  # never shared with another test's gateway of that name
            state.mkdir(exist_ok=True)
            env["TMPDIR"] = str(state)
            env |= self.environment
            command, handed = self.command, {}
            if self.passed is not None:  # as the platform hands it over: descriptor 3, named so
                env["PROXY_PASSED_SOCKET"] = "3"
                mine = self.passed.fileno()
                command = [sys.executable, "-c", HAND_OVER, str(mine), *command]
                handed = {"pass_fds": (mine,)}
            self.process = subprocess.Popen(
                command, cwd=ROOT, stdout=log, stderr=log, env=env, **handed
            )
        line = eventually(lambda: re.search(r"serving listen=(\S+).*", self.log()))
        addresses = dict(re.findall(r"(\w+)=(\S+)", line[0]))
        self.address, self.embeddings_address = addresses["listen"], addresses.get("embeddings")
        self.admin_address, self.door_address = addresses.get("admin"), addresses.get("door")
        return self.process

    def call(self, line, within=5.0):
        """One call at the operators' door, and its whole reply."""
        host, port = self.door_address.split(":")
        with socket.create_connection((host, int(port)), timeout=within) as sock:
            sock.sendall(line.encode() + b"\n")
            reply = b""
            while data := sock.recv(65536):
                reply += data
        return reply.decode()

    def __exit__(self, kind, *_):
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
        self.process.wait()
        for server in (*self.engines, self.discovery):
            server.close()
        if kind is None:
            assert "Traceback" not in self.log() and "unexpected" not in self.log(), self.log()
            assert "invariant" not in self.log(), self.log()

    def reconfigure(self, config, hup=False):
        """Replaces the configuration file, whole; with `hup`, tells the gateway so."""
        self.config = config
        text = config if isinstance(config, str) else json.dumps(config)
        (self.folder / "new.json").write_text(text)
        os.replace(self.folder / "new.json", self.folder / "config.json")
        if hup:
            self.process.send_signal(signal.SIGHUP)

    def log(self):
        return self.log_path.read_text()

    def client(self):
        return Client(self.address)

    def chat(self, **fields):
        with self.client() as c:
            return chat(c, **fields).answer()
