"""Errors raised by connections of the event loop."""

from __future__ import annotations


class ConnectionClosedError(Exception):
    """The connection failed, or this process or the peer closed it."""


class NoLocalSocketError(ConnectionClosedError):
    """This machine could not open a socket or a connection; the peer is not at fault."""


class TimeoutExpired(ConnectionClosedError):
    """The connection did not become ready in time."""


class ReadInterrupted(Exception):
    """Connection.interrupt() ended the wait of the task that reads."""
