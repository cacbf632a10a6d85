"""When a reserved state has to be released although the write that needs it is in flight.

Sending a write does not prove that its engine has received it: an engine that is suspended or
partitioned receives nothing, and its connection shows no error. The reservation therefore keeps
running until a response of the engine shows that the write has arrived. Engines ignore a release
for a state that an attempt is waiting for, so a write that did arrive is not affected; one that did
not finds no state when it arrives, is rejected as never run, and the prompt is read again.

Reads no clock and does no I/O: times are nanoseconds and come in as arguments.
"""

from __future__ import annotations

from enum import Enum, auto

MS = 1_000_000  # ns
# Both margins are added to the release time. The protocol allows 300 ms beyond it; the rest of that
# is left for the release call itself and for delays of this process.
ARRIVAL_MARGIN_NS = 50 * MS  # for a write that was sent to arrive
CONNECT_MARGIN_NS = 250 * MS  # for the connection of a write to be established


class ReservationStatus(Enum):
    """What is known of the state created by the last read; the names appear in the trace."""

    NONE = auto()  # no read has completed yet
    RESERVED = auto()
    UNCERTAIN = auto()  # released with a write in flight, which keeps it if it had arrived
    RELEASED = auto()  # released while no write was in flight


class ReservationTimer:
    """Computes when the state that is reserved for one request has to be released."""

    def __init__(self, release_within: int) -> None:
        self.release_within = release_within
        self.last_result_at = 0  # start of the release time
        # How many states were created for the request; identifies which one a release is for.
        self.state_count = 0
        self.status = ReservationStatus.NONE

    def restart(self, now: int) -> None:
        """Restart the release time, as an attempt that had been sent has finished."""
        self.last_result_at = now

    def state_created(self) -> None:
        """Record that a read has created a state."""
        self.state_count += 1
        self.status = ReservationStatus.RESERVED

    def due(self) -> int:
        """Return when the state has to be released unless the answer has started."""
        return self.last_result_at + self.release_within + ARRIVAL_MARGIN_NS

    def due_while_connecting(self) -> int:
        """Return the same for a write whose connection is not established yet."""
        return self.last_result_at + self.release_within + CONNECT_MARGIN_NS

    def due_after_send(self, now: int) -> int:
        """Return the same for a write whose last byte is sent now."""
        return max(self.due(), min(self.due_while_connecting(), now + ARRIVAL_MARGIN_NS))

    def mark_released(self, write_in_flight: bool) -> None:
        """Record a release; `write_in_flight`: a write that needs the state may have arrived."""
        self.status = ReservationStatus.UNCERTAIN if write_in_flight else ReservationStatus.RELEASED

    def state_may_exist(self) -> bool:
        """Tell whether a write may still find its state."""
        return self.status is not ReservationStatus.RELEASED
