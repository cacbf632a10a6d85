"""The record that an emulated engine keeps of each attempt."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class AttemptRecord:
    """What an engine saw of one attempt, for an audit. Times are seconds since the start."""

    request_id: str
    engine: str
    role: str
    priority_class: str
    begun_s: float
    timeout_ms: int  # as the request told; 0: none
    arrived_s: float  # when the last byte came, which a silent engine handles later
    ended_s: float = 0.0  # 0: it has not ended
    outcome: str = ""

    def as_row(self) -> list[object]:
        """Return the fields in the order in which the audit lists them."""
        return [
            self.request_id,
            self.engine,
            self.role,
            self.priority_class,
            self.begun_s,
            self.ended_s,
            self.outcome,
            self.timeout_ms,
            self.arrived_s,
        ]
