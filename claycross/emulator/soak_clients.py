"""The clients of a soak test: most behave well, some leave, pipeline or send what is no request."""

from __future__ import annotations

import random
import threading
import time
from collections.abc import Callable
from contextlib import suppress

from .client import Connection, request
from .demo import CLASSES
from .invariant_checkers import ClientRequest, MisbehavingClient, RunRecord
from .soak_gateways import GatewayProcesses

SPANS = (1.0, 6.0)  # seconds that a client waits
STAYS_FOR = 4.0  # seconds that a client goes on asking on one connection


class SoakClients:
    """Sends requests as drawn from a seed, and records what became of them."""

    def __init__(
        self,
        fleet: GatewayProcesses,
        seed: int,
        spans: tuple[float, float],
        record: RunRecord,
        pick: Callable[[random.Random], list[int]],
    ):
        """`pick` returns gateways that clients may use now; `spans` bounds the clients' waits."""
        self.fleet = fleet
        self.seed = seed
        self.spans = spans
        self.record = record
        self.pick = pick
        self.lock = threading.Lock()

    def run(self, number: int) -> None:
        """Play one client, drawn by its number."""
        rng = random.Random(f"{self.seed} client {number}")
        behave = rng.choices(
            (self.asks, self.leaves, self.pipelines, self.stays_half, self.junk, self.stays),
            (68, 9, 6, 3, 2, 12),
        )[0]
        for gateway in self.pick(rng):
            with suppress(ConnectionRefusedError):
                if behave(rng, number, gateway):
                    return

    def draw_request(
        self, rng: random.Random, key: str, gateway: int
    ) -> tuple[ClientRequest, bytes]:
        """Draw a request to a gateway; return its record and its bytes."""
        cls = tuple(CLASSES)[rng.random() < 1 / 3]
        span = rng.uniform(*self.spans)
        body = b"x" * rng.randint(40_000, 250_000) if rng.random() < 0.05 else b'{"model":"chat"}'
        text = request(key, cls, f"c{rng.randrange(60)}", rng.randint(300, 4000), span, body)
        return ClientRequest(key, cls, gateway, time.monotonic(), span), text

    def asks(self, rng: random.Random, number: int, gateway: int) -> bool:
        """Send one request and read its answer."""
        return self.converse(rng, gateway, [f"{number:08x}a{self.seed:x}"])

    def pipelines(self, rng: random.Random, number: int, gateway: int) -> bool:
        """Send three requests at once."""
        return self.converse(rng, gateway, [f"{number:08x}{turn}{self.seed:x}" for turn in "abc"])

    def converse(self, rng: random.Random, gateway: int, keys: list[str]) -> bool:
        """Send these requests at once and read their answers; False: nobody listened there."""
        with Connection(self.fleet.fronts[gateway], SPANS[1] + 25) as connection:
            drawn = [self.draw_request(rng, key, gateway) for key in keys]
            try:
                connection.send(b"".join(text for _, text in drawn))
                before = 0.0
                for asked, _ in drawn:
                    asked.behind = before
                    answer = connection.answer()
                    asked.how, asked.first, asked.delay = answer.how, answer.first, answer.delay
                    asked.ended = before = time.monotonic()
                    if answer.how == "broken":
                        break
            except OSError:
                if connection.port in self.fleet.net.unreached:
                    return False
                next(a for a, _ in drawn if not a.how).how = "unanswered"
        # What lies behind an answer that ends its connection was not read: a client sends it once
        # more.
        for asked in [a for a, _ in drawn if a.how]:
            self.keep(asked)
        return True

    def stays(self, rng: random.Random, number: int, gateway: int) -> bool:
        """Send one request after the other on a connection, also while its gateway stops."""
        until, turn = time.monotonic() + STAYS_FOR, 0
        with Connection(self.fleet.fronts[gateway], SPANS[1] + 25) as connection:
            while time.monotonic() < until:
                asked, text = self.draw_request(
                    rng, f"{number:08x}f{turn:02x}{self.seed:x}", gateway
                )
                try:
                    connection.send(text)
                    answer = connection.answer()
                except OSError:
                    if turn == 0 and connection.port in self.fleet.net.unreached:
                        return False
                    asked.how = "crossed" if turn else "unanswered"
                    self.keep(asked)
                    return True
                asked.how, asked.first, asked.delay = answer.how, answer.first, answer.delay
                asked.ended = time.monotonic()
                self.keep(asked)
                turn += 1
                if connection.will_close or answer.how == "broken":
                    return True
                time.sleep(rng.uniform(0, 0.2))
        return True

    def leaves(self, rng: random.Random, number: int, gateway: int) -> bool:
        """Send a request, and close the connection before its answer is complete."""
        asked, text = self.draw_request(rng, f"{number:08x}d{self.seed:x}", gateway)
        with Connection(self.fleet.fronts[gateway], 5) as connection, suppress(OSError):
            connection.send(text)
            time.sleep(rng.choice((0.0, rng.uniform(0, 0.2), rng.uniform(0, 1.5))))
        asked.left, asked.how = time.monotonic(), "left"
        self.keep(asked)
        return True

    def stays_half(self, rng: random.Random, number: int, gateway: int) -> bool:
        """Send half a request, and no more."""
        _, text = self.draw_request(rng, f"{number:08x}e{self.seed:x}", gateway)
        with Connection(self.fleet.fronts[gateway], 6) as connection, suppress(OSError):
            self.send_bad(connection, text[: len(text) // 2], gateway)
        return True

    def junk(self, rng: random.Random, _: int, gateway: int) -> bool:
        """Send bytes that are no request."""
        with Connection(self.fleet.fronts[gateway], 6) as connection, suppress(OSError):
            self.send_bad(connection, rng.randbytes(200) + b"\r\n\r\n", gateway)
        return True

    def send_bad(self, connection: Connection, data: bytes, gateway: int) -> None:
        """Send no whole request, and wait for the error or the end of the connection."""
        bad = MisbehavingClient(gateway, time.monotonic(), 0.0)
        try:
            connection.send(data)
            connection.sock.recv(100)
        finally:
            bad.closed = time.monotonic()
            with self.lock:
                self.record.misbehaving_clients.append(bad)

    def keep(self, asked: ClientRequest) -> None:
        """Add a request that its client is done with to the record."""
        asked.closed = time.monotonic()
        with self.lock:
            self.record.client_requests.append(asked)
