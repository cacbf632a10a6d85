"""The engines in the endpoint list, and when each last responded to this gateway.

Reads no clock and does no I/O: times are nanoseconds and come in as arguments.
"""

from __future__ import annotations

from collections.abc import Iterator
from itertools import islice
from random import Random

from .. import interface as i
from .state_release import RelayCandidate

MAX_RELAY_CANDIDATES = 128  # engines considered as relays of one release


class EndpointDirectory:
    """The endpoint list as this gateway knows it."""

    def __init__(self, random: Random) -> None:
        self.random = random
        self.endpoints: dict[str, i.EngineEndpoint] = {}
        # Engine -> time of its last response, ordered from oldest to latest.
        self.last_response: dict[str, int] = {}

    def update(self, event: i.EndpointListUpdate) -> None:
        """Apply a new endpoint list, or changes to the present one."""
        replaces_list = event.kind in (i.UpdateKind.FULL, i.UpdateKind.SAVED)
        if replaces_list:
            self.endpoints.clear()
        for entry in event.entries:
            if entry.state == i.EngineState.REMOVED:
                self.endpoints.pop(entry.engine, None)
                self.last_response.pop(entry.engine, None)
            else:
                self.endpoints[entry.engine] = entry
        if replaces_list:
            for engine in self.last_response.keys() - self.endpoints.keys():
                del self.last_response[engine]

    def engine_responded(self, engine: str, now: int) -> None:
        """Record a response of the engine, which shows that it runs and is reachable."""
        if engine in self.endpoints:
            self.last_response.pop(engine, None)  # moves it to the end
            self.last_response[engine] = now

    def is_same_process(self, endpoint: i.EngineEndpoint | None) -> bool:
        """Tell whether the engine is listed and has not been restarted since it was listed so."""
        if endpoint is None:
            return False
        present = self.endpoints.get(endpoint.engine)
        return present is not None and present.identity == endpoint.identity

    def relay_candidates(self) -> Iterator[RelayCandidate]:
        """Yield the engines that may be asked to relay a release to another engine."""
        for endpoint in self._sample():
            if endpoint.state == i.EngineState.READY:
                last_response = self.last_response.get(endpoint.engine, 0)
                yield RelayCandidate(endpoint.engine, endpoint.zone, last_response)

    def _sample(self) -> Iterator[i.EngineEndpoint]:
        """Yield all endpoints; of a long list, the latest to respond and as many at random."""
        if len(self.endpoints) <= MAX_RELAY_CANDIDATES:
            yield from self.endpoints.values()
            return
        for engine in islice(reversed(self.last_response), MAX_RELAY_CANDIDATES // 2):
            yield self.endpoints[engine]
        for engine in self.random.sample(list(self.endpoints), MAX_RELAY_CANDIDATES // 2):
            yield self.endpoints[engine]
