"""Collects the actions that the router returns for one batch of events."""

from __future__ import annotations

from ..interface import Action, LogMessage

SECOND = 1_000_000_000  # ns
# Minimum time between two log lines of one kind.
LOG_INTERVAL_NS = 5 * SECOND


class ActionQueue:
    """The router's actions in order, until the end of the batch."""

    def __init__(self) -> None:
        self.actions: list[Action] = []
        self.logged_at: dict[str, int] = {}  # kind of line -> time of the last one

    def add(self, action: Action) -> None:
        """Append an action."""
        self.actions.append(action)

    def log(self, kind: str, text: str, now: int) -> None:
        """Add a log line, unless one of its kind was added within LOG_INTERVAL_NS."""
        if now - self.logged_at.get(kind, -LOG_INTERVAL_NS) >= LOG_INTERVAL_NS:
            self.logged_at[kind] = now
            self.add(LogMessage(text))

    def take(self) -> list[Action]:
        """Return the actions and start an empty list."""
        taken = self.actions
        self.actions = []
        return taken
