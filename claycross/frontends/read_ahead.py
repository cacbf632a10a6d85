"""How far a frontend reads on a connection while a request of it is under way.

A client has left once its FIN is seen, and the FIN stands behind all bytes that were sent before
it: TCP holds it back for as long as the receive buffer is full. So a backlog behind a request is
read to its end for as long as an attempt of the request may still begin. What is kept of it is
bounded for each connection and for all of them; requests beyond that are rejected when their turn
comes.
"""

from __future__ import annotations

from ..net.loop import Connection
from .inbox import Inbox

READ_AHEAD_BYTES = 65_536  # read behind any request; more stays in the socket until it floods
# Once so many bytes wait in the socket, the client's FIN could remain unseen behind them.
FLOOD_THRESHOLD_BYTES = 16_384
MAX_KEPT_BYTES = 1 << 20  # of one connection
MAX_TOTAL_KEPT_BYTES = 16 << 20  # of all connections beyond READ_AHEAD_BYTES each


def may_read_ahead(
    connection: Connection, inbox: Inbox, awaits_attempts: bool, draining: bool
) -> bool:
    """Return whether to read bytes behind the request under way.

    Args:
        connection: The client's connection.
        inbox: Its unhandled bytes.
        awaits_attempts: Whether attempts of the request under way may still begin.
        draining: Whether the connection is to be closed after its present requests.
    """
    if inbox.malformed():
        return True
    if not (draining or inbox.dropping) and inbox.size() < READ_AHEAD_BYTES:
        return True
    if not awaits_attempts:
        return False
    # After such a backlog all of it has to be read: TCP announces a larger window to the sender
    # only when the receive queue is empty.
    inbox.flooded = (
        inbox.flooded or inbox.dropping or connection.unread_bytes() >= FLOOD_THRESHOLD_BYTES
    )
    return inbox.flooded


def may_keep(inbox: Inbox, size: int, total_size: int) -> bool:
    """Return whether `size` further bytes may be kept; `total_size`: kept by all connections."""
    kept = inbox.size() + size
    if kept <= READ_AHEAD_BYTES:
        return True
    return kept <= MAX_KEPT_BYTES and total_size + size <= MAX_TOTAL_KEPT_BYTES
