"""Chooses the reader of a request by Preble's E2, with prefix homes and a latency prediction.

E2 exploits the reader that has most of the prompt cached, or explores by load, eviction cost and
the cost of the read itself. The differences from Preble are described in docs/design.md.
"""

from __future__ import annotations

from typing import NamedTuple

from ..interface import EngineRole, RequestArrived
from .engine import Engine
from .latency_prediction import SAFE_QUANTILE
from .rendezvous import rank
from .request_state import Request
from .shared_state import SharedState

# Enumeration members used for each engine or request, bound here to save attribute lookups.
READER = EngineRole.READER

# Demand of a prefix for each of its homes, as a multiple of a reader's fair share of all arrivals.
HOT_PREFIX_SHARES = 1.5
# Arrivals of other prefixes that are assumed at first, so that the first arrivals make none hot.
HOT_PREFIX_PRIOR_ARRIVALS = 4.0
# Load up to which a holder is exploited, as a multiple of the mean load.
MAX_HOLDER_IMBALANCE = 2.0
# Readers to which a prefix is sent in rendezvous order, unless it has more homes.
MAX_PREFIX_READERS = 4
# Cost in tokens of each credited token at a full reader; most are never evicted.
EVICTION_WEIGHT = 0.02
# Assumed memory share of a reader without a load report.
DEFAULT_MEMORY_SHARE = 0.5
# Holders of a prompt in the sample of a large fleet.
MAX_SAMPLED_HOLDERS = 8


class ReaderChoice(NamedTuple):
    """A reader, and the part of the prompt that it probably has cached."""

    engine: Engine
    cached_tokens: int  # predicted
    credited_tokens: int  # in this gateway's prefix cache index
    is_home: bool

    def uncached_tokens(self, request: Request) -> int:
        """Return the predicted number of tokens that the reader has to read."""
        return request.arrival.prompt_tokens - self.cached_tokens


class PrefixHomes(NamedTuple):
    """The readers of a prefix in rendezvous order: its homes, then those that take overflow."""

    homes: list[Engine]
    overflow: list[Engine]


NO_HOMES = PrefixHomes([], [])


class ReaderSelector:
    """Selects the reader of a request."""

    def __init__(self, state: SharedState):
        self.health = state.health
        self.prefix_cache = state.prefix_cache
        self.load_gossip = state.load_gossip
        self.loads = state.loads
        self.predictor = state.predictor

    def candidates(self, request: Request, now: int) -> list[Engine]:
        """Return the readers that can be chosen, of a large fleet a sample."""
        if self.health.pool.large:
            return self._sample(request, now)
        return self.health.candidates(READER, now)

    def _sample(self, request: Request, now: int) -> list[Engine]:
        """Sample a large fleet, with the prompt's holders and the first of its rendezvous order."""
        arrival = request.arrival
        readers = self.health.pool.index.members(READER)
        matches = self.prefix_cache.matches(arrival, now)
        holders = sorted(matches, key=lambda engine: (-matches[engine], engine))
        ready_holders = (readers.get(engine) for engine in holders[:MAX_SAMPLED_HOLDERS])
        preferred = [[engine for engine in ready_holders if engine]]
        key = arrival.prefix or arrival.session
        if key and arrival.session not in self.prefix_cache.sessions:
            preferred.append(list(self.health.pool.orders.first(key)))
        return self.health.sample_candidates(READER, now, str(request.id), preferred)

    def pick(self, request: Request, readers: list[Engine], now: int) -> ReaderChoice:
        """Choose the holder of the longest match (exploit) or the least cost (explore)."""
        matches = self.prefix_cache.matches(request.arrival, now)
        credited = {engine.id: matches.get(engine.id, 0) for engine in readers}
        loads = self.loads.reader_loads(readers, now)
        prefix_homes = self._homes_of(request.arrival, readers, now)
        cached = self._predict_cached(request.arrival, credited, prefix_homes.homes, now)
        holders = self._holders(request.arrival, readers, credited, loads, prefix_homes)
        exploitable = self._below_load_bound(holders + prefix_homes.overflow, loads, cached)
        explored = self._explore(request, readers, loads, cached, now)
        chosen = explored
        if exploitable:
            fallback = explored if exploitable[0] in prefix_homes.overflow else exploitable[0]
            chosen = self._first_in_time(request, [*exploitable, explored], fallback, cached, now)
        return ReaderChoice(
            chosen, cached[chosen.id], credited[chosen.id], chosen in prefix_homes.homes
        )

    def _homes_of(self, arrival: RequestArrived, readers: list[Engine], now: int) -> PrefixHomes:
        """Return the homes of a prompt; none if the reader of its session is known."""
        if arrival.session in self.prefix_cache.sessions:
            return NO_HOMES
        reader_count = len(readers)
        if self.health.pool.large:
            reader_count = len(self.health.pool.ready(READER))
        loads_known = self.load_gossip.is_reliable(now)
        return self.find_homes(arrival, readers, loads_known, reader_count)

    def find_homes(
        self, arrival: RequestArrived, readers: list[Engine], loads_known: bool, reader_count: int
    ) -> PrefixHomes:
        """Return the readers to which the prefix (or else the session) hashes at all gateways.

        While the load of other gateways is unknown, a prefix with a demand above HOT_PREFIX_SHARES
        has further homes, ordered by session, because a gateway sees only a small part of a hot
        prefix's load. Known loads are a better criterion than shares of few arrivals. A reader in
        slow start is home to as many sessions as its capacity allows, and to the same ones at all
        gateways, which protects the reader and its cache.

        Args:
            arrival: the request.
            readers: those that can be chosen, or a sample with the first of the rendezvous order.
            loads_known: whether the gossip of other gateways is reliable.
            reader_count: the readers of the fleet, which determine a reader's fair share.
        """
        key = arrival.prefix or arrival.session
        if not key:
            return NO_HOMES
        home_count = 1
        if arrival.prefix and not loads_known:
            home_count += int(self._demand_share(arrival.prefix) * reader_count / HOT_PREFIX_SHARES)
        session_key = arrival.session or key
        eligible = [engine for engine in readers if self._has_capacity_for(engine, session_key)]
        order = sorted(eligible or readers, key=lambda engine: -rank(key, engine.id))
        order = order[: max(home_count, MAX_PREFIX_READERS)]
        homes = order[:home_count]
        homes.sort(key=lambda engine: -rank(arrival.session, engine.id))
        return PrefixHomes(homes, order[home_count:])

    def _demand_share(self, prefix: str) -> float:
        """Return the share of recent arrivals with this prefix, without the new request."""
        demand = self.prefix_cache.demand
        return (demand.get(prefix, 1.0) - 1) / (demand.get("", 0.0) + HOT_PREFIX_PRIOR_ARRIVALS)

    def _has_capacity_for(self, engine: Engine, session_key: str) -> bool:
        """Return whether a session is in the share that a reader in slow start can take."""
        capacity_share = self.health.slow_start.capacity_share(engine)
        return capacity_share >= 1 or rank(session_key, engine.id) < capacity_share

    def _predict_cached(
        self, arrival: RequestArrived, credited: dict[str, int], homes: list[Engine], now: int
    ) -> dict[str, int]:
        """Predict the tokens of the prompt that each reader has cached.

        A home may have cached the prefix by reads of other gateways; the share of the prompt that
        is found there is learned from earlier reads.
        """
        cached = dict(credited)
        home_tokens = int(self.predictor.home_cache_share * arrival.prompt_tokens)
        for engine in homes:
            if not self.health.slow_start.is_warming_up(engine, now):
                cached[engine.id] = max(cached[engine.id], home_tokens)
        return cached

    def _holders(
        self,
        arrival: RequestArrived,
        readers: list[Engine],
        credited: dict[str, int],
        loads: dict[str, float],
        prefix_homes: PrefixHomes,
    ) -> list[Engine]:
        """Return the readers to exploit, the best first.

        These are the readers with the longest match if it is over half of the prompt, and otherwise
        the home, which may have a longer match by reads of other gateways.
        """
        homes = prefix_homes.homes
        longest = max(credited.values())
        if longest <= arrival.prompt_tokens - longest:
            return homes[:1]
        # Of several homes, the session's is exploited with the readers of the longest match.
        session_home = homes[:1] if len(homes) > 1 else []
        holders = [
            engine for engine in readers if credited[engine.id] == longest or engine in session_home
        ]
        holders.sort(key=lambda engine: (loads[engine.id], -rank(arrival.session, engine.id)))
        return holders

    def _below_load_bound(
        self, engines: list[Engine], loads: dict[str, float], cached: dict[str, int]
    ) -> list[Engine]:
        """Return the engines within the load bound (consistent hashing with bounded loads).

        A load below the cost of reading the cached tokens at the least loaded reader is allowed,
        too: in an almost idle fleet the mean is so low that any busy holder would lose its
        requests.
        """
        bound = MAX_HOLDER_IMBALANCE * (sum(loads.values()) / len(loads))
        least_load = min(loads.values())
        return [
            engine
            for engine in engines
            if loads[engine.id] <= max(bound, least_load + cached[engine.id])
        ]

    def _explore(
        self,
        request: Request,
        readers: list[Engine],
        loads: dict[str, float],
        cached: dict[str, int],
        now: int,
    ) -> Engine:
        """Return the reader with the least sum of load, eviction cost and cost of the read."""
        key = request.arrival.session or str(request.id)

        def cost(engine: Engine) -> float:
            uncached_tokens = request.arrival.prompt_tokens - cached[engine.id]
            read_cost = uncached_tokens * self.health.slowness(engine)
            read_cost *= 1 + self.loads.jitter(request, engine, now)
            return loads[engine.id] + EVICTION_WEIGHT * self._evicted_tokens(engine) + read_cost

        return min(readers, key=lambda engine: (cost(engine), -rank(key, engine.id)))

    def _evicted_tokens(self, engine: Engine) -> float:
        """Return the credited tokens that a new prompt may evict; more at a fuller reader."""
        share = engine.memory_share
        credited = self.prefix_cache.credited_tokens.get(engine.id, 0)
        return credited * (DEFAULT_MEMORY_SHARE if share is None else share)

    def _first_in_time(
        self,
        request: Request,
        readers: list[Engine],
        fallback: Engine,
        cached: dict[str, int],
        now: int,
    ) -> Engine:
        """Return the first reader that meets the latency objective, or else the fallback.

        This protects from hot prefixes, of whose load a gateway sees only its own part, and from
        holders that became slow. If all readers would be late, the request stays with its holder:
        otherwise prefixes would be read anew at many readers, which would never catch up.
        """
        prompt_tokens = request.arrival.prompt_tokens
        for engine in readers:
            latency = self.predictor.read_latency(engine, prompt_tokens - cached[engine.id], now)
            if self.predictor.meets_objective(request, latency, SAFE_QUANTILE, now):
                return engine
        return fallback
