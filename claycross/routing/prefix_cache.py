"""An index of the prompts that readers have cached, by shared prefix and by session.

It is an estimate from the reads that this gateway sent, since engines do not report their caches.
"""

from __future__ import annotations

from typing import NamedTuple

from ..interface import RequestArrived

SECOND = 1_000_000_000  # ns
# Time after which a credit expires unless another read renews it.
CREDIT_LIFETIME_NS = 30 * SECOND
# Maximum number of prefixes, and of sessions.
MAX_ENTRIES = 8192
# Demand in decayed arrivals below which a prefix is dropped from the demand table.
MIN_DEMAND = 0.1
# Key of the demand for all prefixes together.
ALL_PREFIXES = ""


class Credit(NamedTuple):
    """A prefix that a reader has read."""

    tokens: int
    at: int  # time of the last read


class SessionRecord(NamedTuple):
    """The reader of a session's last prompt."""

    reader: str
    prompt: int  # tokens
    at: int  # time of the read


NO_SESSION = SessionRecord("", 0, 0)


class PrefixCacheIndex:
    """The readers of each prefix, and the last reader and prompt length of each session."""

    def __init__(self) -> None:
        # Prefix -> reader -> credit; the least recently read prefix comes first.
        self.prefixes: dict[str, dict[str, Credit]] = {}
        self.sessions: dict[str, SessionRecord] = {}  # oldest first
        self.credited_tokens: dict[str, int] = {}  # reader -> sum of its credits
        self.demand: dict[str, float] = {}  # prefix -> decayed arrivals

    def record_arrival(self, arrival: RequestArrived) -> None:
        """Count a request towards the demand for its prefix and for all prefixes."""
        for key in {arrival.prefix, ALL_PREFIXES}:
            self.demand[key] = self.demand.get(key, 0.0) + 1

    def record_read(self, arrival: RequestArrived, reader: str, now: int) -> None:
        """Credit a reader with a prompt that it has read."""
        if arrival.prefix:
            self._credit_prefix(arrival, reader, now)
        if arrival.session:
            self.sessions.pop(arrival.session, None)
            self.sessions[arrival.session] = SessionRecord(reader, arrival.prompt_tokens, now)
        self._evict()

    def _credit_prefix(self, arrival: RequestArrived, reader: str, now: int) -> None:
        """Credit a reader with a prefix, which becomes the most recent one."""
        credits_by_reader = self.prefixes.pop(arrival.prefix, {})
        previous = credits_by_reader.get(reader)
        self._add_tokens(reader, arrival.prefix_tokens - (previous.tokens if previous else 0))
        credits_by_reader[reader] = Credit(arrival.prefix_tokens, now)
        self.prefixes[arrival.prefix] = credits_by_reader

    def _add_tokens(self, reader: str, tokens: int) -> None:
        self.credited_tokens[reader] = self.credited_tokens.get(reader, 0) + tokens

    def _evict(self) -> None:
        """Drop the oldest prefix and the oldest session beyond MAX_ENTRIES."""
        if len(self.prefixes) > MAX_ENTRIES:
            oldest = self.prefixes.pop(next(iter(self.prefixes)))
            for reader, credit in oldest.items():
                self._add_tokens(reader, -credit.tokens)
        if len(self.sessions) > MAX_ENTRIES:
            del self.sessions[next(iter(self.sessions))]

    def matches(self, arrival: RequestArrived, now: int) -> dict[str, int]:
        """Return the credited tokens of a prompt by reader, without readers that have none."""
        matches = {
            reader: min(credit.tokens, arrival.prompt_tokens)
            for reader, credit in self.prefixes.get(arrival.prefix, {}).items()
            if now - credit.at < CREDIT_LIFETIME_NS
        }
        last = self.sessions.get(arrival.session, NO_SESSION)
        if last.reader and now - last.at < CREDIT_LIFETIME_NS:
            session_tokens = min(last.prompt, arrival.prompt_tokens)
            matches[last.reader] = max(matches.get(last.reader, 0), session_tokens)
        return matches

    def forget_reader(self, reader: str) -> None:
        """Drop a reader's credits, because it restarted, was removed or lost its cache."""
        credited = [prefix for prefix, readers in self.prefixes.items() if reader in readers]
        for prefix in credited:
            del self.prefixes[prefix][reader]
            if not self.prefixes[prefix]:
                del self.prefixes[prefix]
        self.sessions = {
            session: record for session, record in self.sessions.items() if record.reader != reader
        }
        self.credited_tokens.pop(reader, None)

    def age(self, now: int, elapsed: int) -> None:
        """Drop expired credits and sessions, and decay the demand.

        Args:
            now: the present time.
            elapsed: the time since the last call.
        """
        self._decay_demand(elapsed)
        for prefix, credits_by_reader in list(self.prefixes.items()):
            expired = [
                reader
                for reader, credit in credits_by_reader.items()
                if now - credit.at >= CREDIT_LIFETIME_NS
            ]
            for reader in expired:
                self._add_tokens(reader, -credits_by_reader.pop(reader).tokens)
            if not credits_by_reader:
                del self.prefixes[prefix]
        self.sessions = {
            session: record
            for session, record in self.sessions.items()
            if now - record.at < CREDIT_LIFETIME_NS
        }

    def _decay_demand(self, elapsed: int) -> None:
        remaining = 0.5 ** (elapsed / CREDIT_LIFETIME_NS)
        decayed = {prefix: demand * remaining for prefix, demand in self.demand.items()}
        self.demand = {prefix: demand for prefix, demand in decayed.items() if demand > MIN_DEMAND}
