"""The states of a client connection, and the order in which connections are evicted."""

from __future__ import annotations

from enum import Enum, auto
from typing import NamedTuple

from ..net.loop import MS


class ClientState(Enum):
    """The state of a client connection; docs/lifecycles.md has the transitions."""

    BUSY = auto()  # a request is under way
    REQUESTING = auto()  # part of a request has arrived
    IDLE = auto()  # between two requests
    SILENT = auto()  # nothing has been received yet
    REJECTED = auto()  # requests were malformed, and an error response is being delayed
    CLOSING = auto()  # no further requests are accepted


class ClientEntry(NamedTuple):
    """The state of a connection, and since when it has been in it."""

    state: ClientState
    since: int


# At the limit on connections, those in the first of these states are evicted first. BUSY
# connections are never evicted.
EVICTION_ORDER = (
    ClientState.CLOSING,
    ClientState.REJECTED,
    ClientState.SILENT,
    ClientState.IDLE,
    ClientState.REQUESTING,
)
# Time for which a connection must have been in a state before it may be evicted.
EVICTION_GRACE_NS = {
    ClientState.REQUESTING: 500 * MS,
    ClientState.IDLE: 0,
    ClientState.SILENT: 100 * MS,
    ClientState.REJECTED: 0,
    ClientState.CLOSING: 0,
}
# Connections in these states may be evicted even with unread bytes.
EVICTED_WITH_UNREAD_BYTES = frozenset((ClientState.REJECTED, ClientState.CLOSING))
