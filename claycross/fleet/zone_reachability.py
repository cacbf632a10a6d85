"""Detection of zones that this gateway can't reach, from the results of its own attempts.

The evidence for a zone is which engines there were unresponsive (a connection that was not
established, an attempt without any response), and when an engine there last responded. A zone with
two unresponsive engines and no response since is suspect for a while. After that it is tried again,
and a single unresponsive engine makes it suspect again, until one responds. An engine that responds
with errors is no evidence: that is a fault of the engine. No I/O and no clock: times are
nanoseconds and come in as arguments.
"""

from __future__ import annotations

from dataclasses import dataclass, field

SECOND = 1_000_000_000  # nanoseconds in a second
MIN_UNRESPONSIVE_ENGINES = 2  # distinct engines that make a zone suspect
EVIDENCE_LIFETIME_NS = 6 * SECOND
MIN_SUSPICION_NS = SECOND  # doubled with each further suspicion in a row
MAX_SUSPICION_NS = 4 * SECOND
MAX_DOUBLINGS = 8  # bounds the shift; MAX_SUSPICION_NS is reached earlier


@dataclass(slots=True)
class ZoneEvidence:
    """The evidence for one zone since an engine there last responded."""

    unresponsive: dict[str, int] = field(default_factory=dict)  # engine -> when it last was
    suspicions: int = 0  # in a row, with no response in between
    suspect_until: int = 0


class ZoneReachability:
    """The zones that are suspect to be unreachable for this gateway."""

    def __init__(self) -> None:
        self.zones: dict[str, ZoneEvidence] = {}

    def engine_responded(self, zone: str) -> None:
        """Record that an engine in the zone responded."""
        self.zones.pop(zone, None)

    def engine_unresponsive(self, zone: str, engine: str, now: int) -> None:
        """Record that an attempt at an engine in the zone got no response."""
        evidence = self.zones.setdefault(zone, ZoneEvidence())
        evidence.unresponsive = {
            name: recorded_at
            for name, recorded_at in evidence.unresponsive.items()
            if now - recorded_at < EVIDENCE_LIFETIME_NS
        }
        evidence.unresponsive[engine] = now
        is_suspect = (
            len(evidence.unresponsive) >= MIN_UNRESPONSIVE_ENGINES or evidence.suspicions > 0
        )
        if is_suspect and now >= evidence.suspect_until:
            doublings = min(evidence.suspicions, MAX_DOUBLINGS)
            evidence.suspect_until = now + min(MAX_SUSPICION_NS, MIN_SUSPICION_NS << doublings)
            evidence.suspicions += 1

    def is_suspect(self, zone: str, now: int) -> bool:
        """Return whether the zone is suspect, so that others are preferred."""
        evidence = self.zones.get(zone)
        return evidence is not None and now < evidence.suspect_until
