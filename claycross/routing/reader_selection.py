"""Chooses the reader of a request: Preble's E2, with prefix homes and a latency prediction.

E2 exploits the reader that has most of the prompt cached, or explores by load, eviction cost and
the cost of the read itself. What differs from Preble is described in docs/design.md.
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

# Fair shares of a reader that one home may get before its prefix has further homes.
HOT_PREFIX_SHARES = 1.5
# Arrivals of other prefixes that are taken as seen before, so that few arrivals make none hot.
HOT_PREFIX_PRIOR_ARRIVALS = 4.0
# Times the mean load up to which a holder is used.
MAX_HOLDER_IMBALANCE = 2.0
# Readers at which one prefix is tried.
MAX_PREFIX_READERS = 4
# Tokens of cost for each credited token at a full reader; most are never evicted.
EVICTION_WEIGHT = 0.02
# Memory share of a reader without a report.
DEFAULT_MEMORY_SHARE = 0.5
# Holders of a prompt that are considered before others of a large fleet.
MAX_SAMPLED_HOLDERS = 8


class ReaderChoice(NamedTuple):
    """A reader, and what it is likely to have cached of the prompt."""

    engine: Engine
    cached_tokens: int  # predicted
    credited_tokens: int  # by this gateway's own reads
    is_home: bool

    def uncached_tokens(self, request: Request) -> int:
        """The tokens that the reader has to read."""
        return request.arrival.prompt_tokens - self.cached_tokens


class PrefixHomes(NamedTuple):
    """The readers of a prefix by rendezvous order: its homes, then those that take overflow."""

    homes: list[Engine]
    overflow: list[Engine]


NO_HOMES = PrefixHomes([], [])


class ReaderSelector:
    """Ranks readers for a request."""

    def __init__(self, state: SharedState):
        self.health = state.health
        self.prefix_cache = state.prefix_cache
        self.load_gossip = state.load_gossip
        self.loads = state.loads
        self.predictor = state.predictor

    def candidates(self, request: Request, now: int) -> list[Engine]:
        """The readers that can be chosen; a sample of a large fleet."""
        if self.health.pool.large:
            return self._sample(request, now)
        return self.health.candidates(READER, now)

    def _sample(self, request: Request, now: int) -> list[Engine]:
        """The holders of most of the prompt, the first of its rendezvous order, and a sample."""
        arrival = request.arrival
        readers = self.health.pool.index.members(READER)
        matches = self.prefix_cache.matches(arrival, now)
        holders = sorted(matches, key=lambda engine: (-matches[engine], engine))
        listed = (readers.get(engine) for engine in holders[:MAX_SAMPLED_HOLDERS])
        preferred = [[engine for engine in listed if engine]]
        key = arrival.prefix or arrival.session
        if key and arrival.session not in self.prefix_cache.sessions:
            preferred.append(list(self.health.pool.orders.first(key)))
        return self.health.sample_candidates(READER, now, str(request.id), preferred)

    def pick(self, request: Request, readers: list[Engine], now: int) -> ReaderChoice:
        """Exploit the holder of the longest match, or explore the reader of least cost."""
        matches = self.prefix_cache.matches(request.arrival, now)
        credited = {engine.id: matches.get(engine.id, 0) for engine in readers}
        loads = self.loads.reader_loads(readers, now)
        prefix_homes = self._homes_of(request.arrival, readers, now)
        cached = self._predict_cached(request.arrival, credited, prefix_homes.homes, now)
        holders = self._holders(request.arrival, readers, credited, loads, prefix_homes)
        usable = self._below_load_bound(holders + prefix_homes.overflow, loads, cached)
        explored = self._explore(request, readers, loads, cached, now)
        chosen = explored
        if usable:
            last_resort = explored if usable[0] in prefix_homes.overflow else usable[0]
            chosen = self._first_in_time(request, [*usable, explored], last_resort, cached, now)
        return ReaderChoice(
            chosen, cached[chosen.id], credited[chosen.id], chosen in prefix_homes.homes
        )

    def _homes_of(self, arrival: RequestArrived, readers: list[Engine], now: int) -> PrefixHomes:
        """The homes of a prompt; none if this gateway knows where its session was read."""
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
        """The readers that the prefix (or else the session) hashes to, alike at all gateways.

        Where the load of other gateways is not known, a prefix with more than HOT_PREFIX_SHARES
        fair shares of the arrivals has further homes, one for each session: of a hot prefix's load
        a gateway sees next to nothing. Known loads decide better than shares of few arrivals. A
        reader in slow start is home to as many sessions as its capacity allows, alike at all
        gateways, which protects it and what it has cached.

        Args:
            arrival: the request.
            readers: those that can be chosen, or a sample that has the first of the order.
            loads_known: whether the gossip of other gateways is reliable.
            reader_count: the readers of the fleet among which a fair share is measured.
        """
        key = arrival.prefix or arrival.session
        if not key:
            return NO_HOMES
        home_count = 1
        if arrival.prefix and not loads_known:
            home_count += int(self._demand_share(arrival.prefix) * reader_count / HOT_PREFIX_SHARES)
        warm = [
            engine for engine in readers if self._is_home_of_session(engine, arrival.session or key)
        ]
        order = sorted(warm or readers, key=lambda engine: -rank(key, engine.id))
        order = order[: max(home_count, MAX_PREFIX_READERS)]
        homes = order[:home_count]
        homes.sort(key=lambda engine: -rank(arrival.session, engine.id))
        return PrefixHomes(homes, order[home_count:])

    def _demand_share(self, prefix: str) -> float:
        """The share of the recent arrivals that have this prefix, the new one not counted."""
        demand = self.prefix_cache.demand
        return (demand.get(prefix, 1.0) - 1) / (demand.get("", 0.0) + HOT_PREFIX_PRIOR_ARRIVALS)

    def _is_home_of_session(self, engine: Engine, key: str) -> bool:
        """Whether a reader in slow start is already home to this session."""
        warmth = self.health.slow_start.capacity_share(engine)
        return warmth >= 1 or rank(key, engine.id) < warmth

    def _predict_cached(
        self, arrival: RequestArrived, credited: dict[str, int], homes: list[Engine], now: int
    ) -> dict[str, int]:
        """Tokens likely cached at each reader.

        At a home they may be there because other gateways sent the prefix, too; the share is
        learned from earlier reads.
        """
        cached = dict(credited)
        at_home = int(self.predictor.home_cache_share * arrival.prompt_tokens)
        for engine in homes:
            if not self.health.slow_start.is_warming_up(engine, now):
                cached[engine.id] = max(cached[engine.id], at_home)
        return cached

    def _holders(
        self,
        arrival: RequestArrived,
        readers: list[Engine],
        credited: dict[str, int],
        loads: dict[str, float],
        prefix_homes: PrefixHomes,
    ) -> list[Engine]:
        """The readers to exploit, the best first.

        They are those with the longest match if it is over half of the prompt; otherwise the home,
        of which another gateway may know a longer match.
        """
        homes = prefix_homes.homes
        longest = max(credited.values())
        if longest <= arrival.prompt_tokens - longest:
            return homes[:1]
        also = homes[:1] if len(homes) > 1 else []
        holders = [engine for engine in readers if credited[engine.id] == longest or engine in also]
        holders.sort(key=lambda engine: (loads[engine.id], -rank(arrival.session, engine.id)))
        return holders

    def _below_load_bound(
        self, engines: list[Engine], loads: dict[str, float], cached: dict[str, int]
    ) -> list[Engine]:
        """Those whose load is within the bound (consistent hashing with bounded loads).

        A holder's load is also compared with what reading the prompt anew would add elsewhere: in
        an almost idle fleet the mean is so low that any holder at work would lose its requests.
        """
        bound = MAX_HOLDER_IMBALANCE * (sum(loads.values()) / len(loads))
        least = min(loads.values())
        return [
            engine
            for engine in engines
            if loads[engine.id] <= max(bound, least + cached[engine.id])
        ]

    def _explore(
        self,
        request: Request,
        readers: list[Engine],
        loads: dict[str, float],
        cached: dict[str, int],
        now: int,
    ) -> Engine:
        """The reader with the least sum of load, eviction cost and cost of the read."""
        key = request.arrival.session or str(request.id)

        def cost(engine: Engine) -> float:
            running = (request.arrival.prompt_tokens - cached[engine.id]) * self.health.slowness(
                engine
            )
            running *= 1 + self.loads.jitter(request, engine, now)
            return loads[engine.id] + EVICTION_WEIGHT * self._evicted_tokens(engine) + running

        return min(readers, key=lambda engine: (cost(engine), -rank(key, engine.id)))

    def _evicted_tokens(self, engine: Engine) -> float:
        """The credited tokens that a new prompt puts at risk; more at a fuller reader."""
        share = engine.memory_share
        credited = self.prefix_cache.credited_tokens.get(engine.id, 0)
        return credited * (DEFAULT_MEMORY_SHARE if share is None else share)

    def _first_in_time(
        self,
        request: Request,
        readers: list[Engine],
        last_resort: Engine,
        cached: dict[str, int],
        now: int,
    ) -> Engine:
        """The first reader that meets the latency objective, or else the last resort.

        This protects from a hot prefix, of whose load a gateway sees only its own part, and from a
        holder that became slow. If all would be late, the request stays with its holder: otherwise
        prefixes would scatter, be read anew everywhere, and readers would never catch up.
        """
        prompt_tokens = request.arrival.prompt_tokens
        for engine in readers:
            latency = self.predictor.read_latency(engine, prompt_tokens - cached[engine.id], now)
            if self.predictor.meets_objective(request, latency, SAFE_QUANTILE, now):
                return engine
        return last_resort
