"""The requests that are still tracked, by number and by key."""

from __future__ import annotations

from collections.abc import Mapping
from random import Random

from ..invariant import invariant
from ..routing.engine import Engine
from .records import Attempt, Request

# The first number is random in its high bits; requests count up from it in the low bits.
FIRST_NUMBER_SHIFT_BITS = 20
FIRST_NUMBER_RANDOM_BITS = 32
MAX_LISTED_NUMBERS = 9  # requests named in the detail of a violated invariant


class RequestRegistry:
    """The tracked requests of one service, and the source of their numbers."""

    def __init__(self, generator: Random) -> None:
        self.requests: dict[int, Request] = {}
        self.numbers_by_key: dict[str, int] = {}
        # The router breaks ties between equal engines by a hash of the request's number. When all
        # gateways counted from 1, requests with the same number all went to the same engine.
        first_number_high_bits = generator.getrandbits(FIRST_NUMBER_RANDOM_BITS)
        self.last_number = first_number_high_bits << FIRST_NUMBER_SHIFT_BITS

    def next_number(self) -> int:
        """Return a number for a new request."""
        self.last_number += 1
        return self.last_number

    def add(self, request: Request) -> None:
        """Add a request; its key then refers to it, even if an earlier request has the same key."""
        self.requests[request.number] = request
        self.numbers_by_key[request.key] = request.number

    def remove(self, request: Request) -> None:
        """Stop tracking a request."""
        del self.requests[request.number]
        if self.numbers_by_key.get(request.key) == request.number:
            del self.numbers_by_key[request.key]

    def find(self, key: str) -> Request | None:
        """Return the request added last with this key, unless it was removed."""
        number = self.numbers_by_key.get(key)
        return self.requests.get(number) if number is not None else None

    def running_streams(self) -> list[Attempt]:
        """Return the attempts that are streaming their answers."""
        streams = []
        for request in self.requests.values():
            attempt = request.streaming_attempt
            if attempt and not request.finished and not attempt.finished:
                streams.append(attempt)
        return streams

    def check_in_flight(self, engines: Mapping[str, Engine]) -> None:
        """Check that each attempt which the router counts as in flight exists here.

        The converse need not hold: the router treats an engine that left the list and came back
        as a new one, without the attempts that are still in flight there.
        """
        attempts: dict[str, set[int]] = {}
        for request in self.requests.values():
            for attempt in request.attempts:
                if not attempt.finished:
                    attempts.setdefault(attempt.engine, set()).add(request.number)
        for name, engine in engines.items():
            expected = {number for number, _ in engine.pending} | engine.streams.keys()
            actual = attempts.get(name, set())
            invariant(
                expected <= actual,
                "in-flight-known",
                f"engine {name}: router counts {sorted(expected)[:MAX_LISTED_NUMBERS]}, "
                f"manager has {sorted(actual)[:MAX_LISTED_NUMBERS]}",
            )
