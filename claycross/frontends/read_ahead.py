"""How far a frontend reads on a connection while a request of it is under way.

A client has left once its FIN is seen, and the FIN stands behind all bytes that were sent before
it: TCP holds it back for as long as the receive buffer is full. So a backlog behind a request is
read to its end for as long as an attempt of the request may still begin. What is kept of it is
bounded for each connection and, by the memory account, for all of them; requests beyond that are
rejected when their turn comes.
"""

from __future__ import annotations

from ..net.connection import MAX_READ_BYTES
from ..net.loop import Connection
from ..requests.memory_account import MemoryAccount, MemoryKind
from .inbox import Inbox

READ_AHEAD_BYTES = 65_536  # read behind any request; more stays in the socket until it floods
# Once so many bytes wait in the socket, the client's FIN could remain unseen behind them.
FLOOD_THRESHOLD_BYTES = 16_384
MAX_KEPT_BYTES = 4 << 20  # of one connection


def may_read_ahead(
    connection: Connection,
    inbox: Inbox,
    memory: MemoryAccount,
    awaits_attempts: bool,
    draining: bool,
) -> bool:
    """Return whether to read bytes behind the request under way.

    Args:
        connection: The client's connection.
        inbox: Its unhandled bytes.
        memory: The account of the memory that clients hold.
        awaits_attempts: Whether attempts of the request under way may still begin.
        draining: Whether the connection is to be closed after its present requests.
    """
    if inbox.malformed():
        return True
    has_room = memory.fits(MemoryKind.READ_AHEAD, MAX_READ_BYTES)
    if has_room and not (draining or inbox.dropping) and inbox.size() < READ_AHEAD_BYTES:
        return True
    if not awaits_attempts:
        return False
    # After such a backlog all of it has to be read: TCP announces a larger window to the sender
    # only when the receive queue is empty.
    inbox.flooded = (
        inbox.flooded or inbox.dropping or connection.unread_bytes() >= FLOOD_THRESHOLD_BYTES
    )
    return inbox.flooded


def keep(inbox: Inbox, size: int, memory: MemoryAccount) -> bool:
    """Charge the account for `size` further bytes; False: they can't be kept."""
    kept = inbox.held_bytes() + size
    if kept > MAX_KEPT_BYTES:
        return False
    return memory.charge(MemoryKind.READ_AHEAD, inbox, kept)
