"""Outlier detection: ejects engines that fail or are far slower than their peers of one role.

Engines are judged by symptom alone: failures, missing responses and their pace. The pace of a
reader is the time for each prompt token, that of other engines the time to the first token.
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

# The pace of readers, in ns a token, until some reads are seen.
INITIAL_READ_PACE_NS = 80_000
# The pace of other engines, the time to the first token, until some are seen.
INITIAL_FIRST_TOKEN_NS = 150 * MS
# Weight of a new sample in an engine's pace.
PACE_GAIN = 0.2
# The same while the engine is on trial after an ejection.
TRIAL_PACE_GAIN = 0.5
# Samples from which on an engine's pace is believed in full.
TRUSTED_PACE_SAMPLES = 3
# The last paces of a role that are kept for its median.
RECENT_PACES_KEPT = 11
# Times the typical pace of its peers, above which an engine is ejected.
EJECTION_SLOWNESS = 3.0
# Failures in a row that eject an engine.
MAX_CONSECUTIVE_FAILURES = 2
# The first ejection; doubled for each further one.
EJECTION_BASE_NS = SECOND
EJECTION_MAX_NS = 8 * SECOND
EJECTION_MAX_DOUBLINGS = 6
# Random factor on an ejection: the least, and the range above it.
EJECTION_JITTER_MIN = 0.75
EJECTION_JITTER_RANGE = 0.5
# Arrivals at this gateway that an ejection outlasts ...
EJECTION_ARRIVALS = 4
# ... by becoming so many times longer at most.
EJECTION_MAX_STRETCH = 4.0
# Least arrival rate a nanosecond, to divide by.
MIN_ARRIVAL_RATE = 1e-12
# Share of a role that is ejected at most; beyond it no ejection is believed.
MAX_EJECTED_SHARE = 0.6
# For which the pace of an engine counts towards the typical one after its last response.
PACE_FRESHNESS_NS = 8 * SECOND
# Share of an attempt's response timeout, after which its engine gets no further requests.
SUSPECT_TIMEOUT_SHARE = 0.5
# Timeouts in a row at a role that lengthen further ones.
MAX_BACKED_OFF_TIMEOUTS = 3
# Engines of a large fleet that are looked at for one decision, and those that are weighed.
SAMPLE_SIZE = 120
MAX_CANDIDATES = 48


def ignore_failure(_engine_id: str) -> None:
    """Report a failure to nobody."""


class OutlierDetector:
    """Judges engines against the other engines of their role."""

    def __init__(self, settings: Settings, random_number: Callable[[], float]):
        self.random_number = random_number  # from 0 to 1
        self.pool = EnginePool()
        self.slow_start = SlowStart(settings, self.pool)
        # Reports a failure to other gateways, by engine id.
        self.report_failure: Callable[[str], None] = ignore_failure
        # The last paces of each role, after an initial one.
        self.recent_paces: dict[str, deque[float]] = {
            role: deque([float(initial_pace(role))], maxlen=RECENT_PACES_KEPT)
            for role in EngineRole
        }
        # Timeouts in a row by role, with no response of any engine in between.
        self.timeouts = Counter[str]()

    @property
    def engines(self) -> dict[str, Engine]:
        """All engines by id."""
        return self.pool.engines

    @property
    def rates(self) -> dict[str, tuple[float, int]]:
        """Decayed counts of arrivals and of attempts served, for a warm-start snapshot."""
        return self.slow_start.rates.totals

    # Paces

    def typical_pace(self, role: str) -> float:
        """The median pace of a role's engines.

        Where most engines are seldom seen, as with many gateways, it is the median of the role's
        last samples. A few outliers don't move it.
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
        """How many times slower than its peers an engine is, at least 1.

        If all are slow, nobody stands out. Few samples are believed less.
        """
        found = 1.0
        if engine.samples:
            belief = min(engine.samples, TRUSTED_PACE_SAMPLES) / TRUSTED_PACE_SAMPLES
            found = max(1.0, engine.pace / self.typical_pace(engine.role)) ** belief
        return max(found, 1 / self.slow_start.capacity_share(engine))

    def record_pace(self, engine: Engine, pace: float, now: int, timed_out: bool = False) -> None:
        """Learn from one sample of an engine's pace, and eject it if it is far too slow.

        A timeout without any sign of life says something of its engine alone, which may be dead or
        cut off: it lengthens further timeouts (Karn's algorithm), and counts for the role only
        where nothing answers. Otherwise a cut link makes a gateway predict ten times too long
        latencies, and so reject all requests.
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
        """Average in proportions: the mean is a geometric one."""
        gain = TRIAL_PACE_GAIN if engine.ejections else max(PACE_GAIN, 1 / (engine.samples + 1))
        if engine.samples:
            pace = engine.pace ** (1 - gain) * pace**gain
        engine.pace = pace
        engine.samples += 1

    # Failures and ejections

    def record_success(self, engine: Engine) -> None:
        """An engine has served an attempt."""
        engine.consecutive_failures = 0
        if engine.last_response >= engine.ejected_until:
            engine.ejections = 0

    def record_failure(self, engine: Engine, now: int, unresponsive: bool = False) -> None:
        """An engine has failed, or gives no sign of life."""
        # That a warming engine is slow to answer is of no concern to other gateways.
        if not unresponsive or not self.slow_start.is_warming_up(engine, now):
            self.report_failure(engine.id)
        seen_of_late = now - engine.last_response < EJECTION_MAX_NS
        # An engine that is seldom seen is ejected without waiting for a second failure.
        engine.consecutive_failures += 1 if seen_of_late else MAX_CONSECUTIVE_FAILURES
        if engine.consecutive_failures >= MAX_CONSECUTIVE_FAILURES or engine.ejections:
            self.eject(engine, now)

    def eject(self, engine: Engine, now: int) -> None:
        """Keep requests away from an engine for a while, with backoff and jitter.

        The jitter keeps gateways from coming back at the same time. Ejections could do harm when
        many engines suffer at once; candidates() believes them only up to MAX_EJECTED_SHARE of a
        role.
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
        engine.consecutive_failures = 0  # the pace stays: timeouts must grow while all are slow

    # Candidates

    def is_unresponsive(
        self, engine: Engine, attempt: Attempt, now: int, share: float = 1.0
    ) -> bool:
        """Whether the engine gave no sign of life for a share of the response timeout."""
        if engine.last_response >= attempt.sent_at:
            return False
        return now - attempt.sent_at > attempt.response_timeout * share

    def is_healthy(self, engine: Engine, now: int) -> bool:
        """Whether the engine is neither ejected nor suspected of being unresponsive.

        After an ejection it is half-open: it gets one request at a time.
        """
        if now < engine.ejected_until:
            return False
        if not engine.pending:  # most of a large fleet: the hot path builds no generator
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
        """The engines of a role that can be chosen."""
        found: list[Engine] = self.pool.memoize(
            "candidates", role, lambda: self._find_candidates(role, now)
        )
        return found

    def _find_candidates(self, role: str, now: int) -> list[Engine]:
        ready = self.pool.ready(role)
        healthy = [engine for engine in ready if self.is_healthy(engine, now)]
        if len(healthy) < len(ready) * (1 - MAX_EJECTED_SHARE):
            # A judgement against so many is more likely wrong, or leaves nothing better.
            healthy = ready
        return [engine for engine in healthy if self._has_budget(engine, now)]

    def sample_candidates(
        self, role: str, now: int, salt: str, preferred: list[list[Engine]]
    ) -> list[Engine]:
        """Up to MAX_CANDIDATES engines of a large fleet that can be chosen, preferred first."""
        sample = list(sample_evenly(self.pool.ready(role), salt, SAMPLE_SIZE))
        groups = [*preferred, sample]

        def can_be_chosen(engine: Engine) -> bool:
            return self.is_healthy(engine, now) and self.slow_start.budget(engine, now) > 0

        found = collect_accepted(groups, can_be_chosen, MAX_CANDIDATES)
        if len(found) < min(MAX_CANDIDATES, len(sample) * (1 - MAX_EJECTED_SHARE)):
            # As in candidates(): so many ejections are not believed.
            found = collect_accepted(
                groups, lambda engine: self._has_budget(engine, now), MAX_CANDIDATES
            )
        return found


def initial_pace(role: EngineRole) -> int:
    """The pace of a role's engines before any is seen."""
    return INITIAL_READ_PACE_NS if role is EngineRole.READER else INITIAL_FIRST_TOKEN_NS
