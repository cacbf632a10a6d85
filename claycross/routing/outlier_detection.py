"""Outlier detection: ejects engines that fail or are far slower than others of their role.

The evidence is failures, missing responses and the pace of an engine. The pace of a reader is its
time for each prompt token, that of other engines their time to the first token.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable
from statistics import median

from ..interface import EngineRole, Settings
from .candidate_sampling import collect_accepted, sample_evenly
from .engine import Attempt, Engine
from .engine_pool import EnginePool
from .slow_start import SlowStart

MS = 1_000_000  # ns
SECOND = 1_000_000_000  # ns

# Pace of readers before the first sample: ns a prompt token.
INITIAL_READ_PACE_NS = 80_000
# Pace of other engines before the first sample: ns to the first token.
INITIAL_FIRST_TOKEN_NS = 150 * MS
# Weight of a new sample in an engine's pace.
PACE_GAIN = 0.2
# The same between an ejection and the next success.
TRIAL_PACE_GAIN = 0.5
# Samples from which on an engine's pace has its full weight.
TRUSTED_PACE_SAMPLES = 3
# Last samples of a role that are kept for its median pace.
RECENT_PACES_KEPT = 11
# Slowness above which an engine is ejected: a multiple of the typical pace of its role.
EJECTION_SLOWNESS = 3.0
# Consecutive failures after which an engine is ejected.
MAX_CONSECUTIVE_FAILURES = 2
# Duration of the first ejection, doubled for each further one.
EJECTION_BASE_NS = SECOND
EJECTION_MAX_NS = 8 * SECOND
EJECTION_MAX_DOUBLINGS = 6
# Random factor on the duration of an ejection: its minimum, and the range above that.
EJECTION_JITTER_MIN = 0.75
EJECTION_JITTER_RANGE = 0.5
# An ejection is lengthened until this many requests are expected to arrive while it lasts ...
EJECTION_ARRIVALS = 4
# ... but at most by this factor.
EJECTION_MAX_STRETCH = 4.0
# Lower bound of the arrival rate (requests a nanosecond) as a divisor.
MIN_ARRIVAL_RATE = 1e-12
# While more than this share of a role is ejected, ejections are ignored.
MAX_EJECTED_SHARE = 0.6
# Time since its last response for which an engine's pace counts towards the typical one.
PACE_FRESHNESS_NS = 8 * SECOND
# Share of an attempt's response timeout after which its engine gets no further requests.
SUSPECT_TIMEOUT_SHARE = 0.5
# Consecutive timeouts of a role that lengthen further ones; beyond them the backoff stays.
MAX_BACKED_OFF_TIMEOUTS = 3
# Engines of a large fleet that are sampled for one decision.
SAMPLE_SIZE = 120
# Healthy engines of a large fleet that are compared for one decision.
MAX_CANDIDATES = 48


def ignore_failure(_engine_id: str) -> None:
    """Discard a failure report; the default while there is no gossip."""


class OutlierDetector:
    """Compares engines with others of their role, ejects outliers and selects candidates."""

    def __init__(self, settings: Settings, random_number: Callable[[], float]):
        self.random_number = random_number  # from 0 to 1
        self.pool = EnginePool()
        self.slow_start = SlowStart(settings, self.pool)
        # Reports a failure to other gateways, by engine id.
        self.report_failure: Callable[[str], None] = ignore_failure
        # The last samples of each role, starting with the initial pace.
        self.recent_paces: dict[str, deque[float]] = {
            role: deque([float(initial_pace(role))], maxlen=RECENT_PACES_KEPT)
            for role in EngineRole
        }
        # Consecutive timeouts by role, with no response of any engine in between.
        self.timeouts = Counter[str]()

    @property
    def engines(self) -> dict[str, Engine]:
        """The pool's engines by id."""
        return self.pool.engines

    @property
    def rates(self) -> dict[str, tuple[float, int]]:
        """Decayed counts of arrivals and of attempts served, for a warm-start snapshot."""
        return self.slow_start.rates.totals

    # Paces

    def typical_pace(self, role: str) -> float:
        """Return the median pace of a role's engines, which a few outliers don't change.

        Where this gateway has few samples of most engines, as one of many gateways has, it is the
        median of the role's last samples instead.
        """
        pace: float = self.pool.memoize_briefly("typical", role, lambda: self._median_pace(role))
        return pace

    def _median_pace(self, role: str) -> float:
        engines = self.pool.ready(role)
        now = self.pool.now
        paces = [
            engine.pace
            for engine in engines
            if now - engine.last_response < PACE_FRESHNESS_NS
            and engine.samples >= TRUSTED_PACE_SAMPLES
        ]
        if not paces or 2 * len(paces) < len(engines):
            return median(self.recent_paces[role])
        return median(paces)

    def slowness(self, engine: Engine) -> float:
        """Return the ratio of an engine's pace to the typical one, at least 1.

        If all engines of a role are slow, the ratio is 1. With few samples it is moved towards 1.
        """
        slowness = 1.0
        if engine.samples:
            confidence = min(engine.samples, TRUSTED_PACE_SAMPLES) / TRUSTED_PACE_SAMPLES
            slowness = max(1.0, engine.pace / self.typical_pace(engine.role)) ** confidence
        return max(slowness, 1 / self.slow_start.capacity_share(engine))

    def record_pace(self, engine: Engine, pace: float, now: int, timed_out: bool = False) -> None:
        """Add a sample to an engine's pace, and eject the engine if it is far too slow.

        A timeout without any response concerns its engine alone, which may be dead or unreachable.
        It lengthens further timeouts, as in Karn's algorithm, and counts towards the role's pace
        only while no engine of the role answers. Otherwise a cut link would make a gateway predict
        latencies that are ten times too long, and so reject all requests.
        """
        pace = max(pace, 1.0)
        self._update_pace(engine, pace)
        self.timeouts[engine.role] = self.timeouts[engine.role] + 1 if timed_out else 0
        if not timed_out or self.timeouts[engine.role] > MAX_BACKED_OFF_TIMEOUTS:
            self.recent_paces[engine.role].append(pace)
        self.pool.invalidate("typical", engine.role)
        warming_up = self.slow_start.is_warming_up(engine, now)
        if self.slowness(engine) > EJECTION_SLOWNESS and not warming_up:
            self.eject(engine, now)

    def _update_pace(self, engine: Engine, pace: float) -> None:
        """Update an engine's pace, a geometric moving average of its samples."""
        gain = TRIAL_PACE_GAIN if engine.ejections else max(PACE_GAIN, 1 / (engine.samples + 1))
        if engine.samples:
            pace = engine.pace ** (1 - gain) * pace**gain
        engine.pace = pace
        engine.samples += 1

    # Failures and ejections

    def record_success(self, engine: Engine) -> None:
        """Record that an engine has served an attempt."""
        engine.consecutive_failures = 0
        if engine.last_response >= engine.ejected_until:
            engine.ejections = 0

    def record_failure(self, engine: Engine, now: int, unresponsive: bool = False) -> None:
        """Record that an engine has failed or does not respond."""
        # A late response of an engine in slow start is expected, and not worth a failure report.
        if not unresponsive or not self.slow_start.is_warming_up(engine, now):
            self.report_failure(engine.id)
        responded_recently = now - engine.last_response < EJECTION_MAX_NS
        # An engine that this gateway seldom uses is ejected at its first failure.
        engine.consecutive_failures += 1 if responded_recently else MAX_CONSECUTIVE_FAILURES
        if engine.consecutive_failures >= MAX_CONSECUTIVE_FAILURES or engine.ejections:
            self.eject(engine, now)

    def eject(self, engine: Engine, now: int) -> None:
        """Send no requests to an engine for a time with exponential backoff and jitter.

        The jitter keeps gateways from returning to the engine all at once. Ejecting many engines at
        once would overload the rest, and so candidates() ignores ejections of more than
        MAX_EJECTED_SHARE of a role.
        """
        if now < engine.ejected_until:
            return
        # With little traffic an ejection would be over before the next request arrives.
        rate = max(MIN_ARRIVAL_RATE, self.slow_start.arrival_rate(now))
        stretch = max(1.0, EJECTION_ARRIVALS / SECOND / rate)
        doublings = min(engine.ejections, EJECTION_MAX_DOUBLINGS)
        duration = min(EJECTION_BASE_NS << doublings, EJECTION_MAX_NS) * min(
            stretch, EJECTION_MAX_STRETCH
        )
        jitter = EJECTION_JITTER_MIN + EJECTION_JITTER_RANGE * self.random_number()
        engine.ejected_until = now + int(duration * jitter)
        engine.ejections += 1
        engine.consecutive_failures = 0
        # The pace is kept, since timeouts have to grow while all engines are slow.

    # Candidates

    def is_unresponsive(
        self, engine: Engine, attempt: Attempt, now: int, share: float = 1.0
    ) -> bool:
        """Return whether the engine did not respond for a share of the response timeout."""
        if engine.last_response >= attempt.sent_at:
            return False
        return now - attempt.sent_at > attempt.response_timeout * share

    def is_healthy(self, engine: Engine, now: int) -> bool:
        """Return whether the engine is neither ejected nor probably unresponsive.

        After an ejection it is half-open: until a success it gets one request at a time.
        """
        if now < engine.ejected_until:
            return False
        if not engine.pending:  # so for most of a large fleet: avoids building a generator
            return True
        if engine.ejections:
            return False
        return not any(
            self.is_unresponsive(engine, attempt, now, SUSPECT_TIMEOUT_SHARE)
            for attempt in engine.pending.values()
        )

    def _has_budget(self, engine: Engine, now: int) -> bool:
        return self.slow_start.budget(engine, now) > 0

    def candidates(self, role: str, now: int) -> list[Engine]:
        """Return the engines of a role that can be chosen."""
        candidates: list[Engine] = self.pool.memoize(
            "candidates", role, lambda: self._find_candidates(role, now)
        )
        return candidates

    def _find_candidates(self, role: str, now: int) -> list[Engine]:
        ready = self.pool.ready(role)
        healthy = [engine for engine in ready if self.is_healthy(engine, now)]
        if len(healthy) < len(ready) * (1 - MAX_EJECTED_SHARE):
            # So many ejections are more likely wrong than right, or leave no better engines.
            healthy = ready
        return [engine for engine in healthy if self._has_budget(engine, now)]

    def sample_candidates(
        self, role: str, now: int, salt: str, preferred: list[list[Engine]]
    ) -> list[Engine]:
        """Return up to MAX_CANDIDATES engines of a large fleet that can be chosen.

        Args:
            role: the role of the engines.
            now: the present time.
            salt: selects the sample.
            preferred: groups of engines that are considered before the sample.
        """
        sample = list(sample_evenly(self.pool.ready(role), salt, SAMPLE_SIZE))
        groups = [*preferred, sample]

        def can_be_chosen(engine: Engine) -> bool:
            return self.is_healthy(engine, now) and self.slow_start.budget(engine, now) > 0

        candidates = collect_accepted(groups, can_be_chosen, MAX_CANDIDATES)
        if len(candidates) < min(MAX_CANDIDATES, len(sample) * (1 - MAX_EJECTED_SHARE)):
            # As in candidates(), so many ejections are ignored.
            candidates = collect_accepted(
                groups, lambda engine: self._has_budget(engine, now), MAX_CANDIDATES
            )
        return candidates


def initial_pace(role: EngineRole) -> int:
    """Return the assumed pace of a role's engines before the first sample."""
    return INITIAL_READ_PACE_NS if role is EngineRole.READER else INITIAL_FIRST_TOKEN_NS
