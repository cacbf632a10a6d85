"""An index of what readers have cached of prompts, by shared prefix and by session.

It is an estimate from the reads that this gateway sent: engines do not report their caches.
"""

from __future__ import annotations

from typing import NamedTuple

from ..interface import RequestArrived

SECOND = 1_000_000_000  # ns
# A credit that is not renewed for so long is forgotten.
CREDIT_LIFETIME_NS = 30 * SECOND
# Prefixes, and sessions, that are kept.
MAX_ENTRIES = 8192
# Decayed arrivals, under which a prefix's demand is forgotten.
MIN_DEMAND = 0.1
# The key of all arrivals in the demand, whatever their prefix.
ALL_PREFIXES = ""


class Credit(NamedTuple):
    """A prefix that was read at some reader."""

    tokens: int
    at: int


class SessionRecord(NamedTuple):
    """Where a session's last prompt was read."""

    reader: str
    prompt: int
    at: int


NO_SESSION = SessionRecord("", 0, 0)


class PrefixCacheIndex:
    """Which readers read each prefix, and each session's last reader and prompt length."""

    def __init__(self) -> None:
        # Prefix -> reader -> credit; the prefix that was not read for longest comes first.
        self.prefixes: dict[str, dict[str, Credit]] = {}
        self.sessions: dict[str, SessionRecord] = {}  # oldest first
        self.credited_tokens: dict[str, int] = {}  # reader -> prefix tokens credited there
        self.demand: dict[str, float] = {}  # prefix -> decayed arrivals

    def record_arrival(self, arrival: RequestArrived) -> None:
        """Count a request towards the demand for its prefix and towards all demand."""
        for key in {arrival.prefix, ALL_PREFIXES}:
            self.demand[key] = self.demand.get(key, 0.0) + 1

    def record_read(self, arrival: RequestArrived, reader: str, now: int) -> None:
        """Credit a reader with the prompt that it has just read."""
        if arrival.prefix:
            self._credit_prefix(arrival, reader, now)
        if arrival.session:
            self.sessions.pop(arrival.session, None)
            self.sessions[arrival.session] = SessionRecord(reader, arrival.prompt_tokens, now)
        self._evict()

    def _credit_prefix(self, arrival: RequestArrived, reader: str, now: int) -> None:
        """Credit a reader with the prefix, which becomes the newest one."""
        credits_by_reader = self.prefixes.pop(arrival.prefix, {})
        former = credits_by_reader.get(reader)
        self._add_tokens(reader, arrival.prefix_tokens - (former.tokens if former else 0))
        credits_by_reader[reader] = Credit(arrival.prefix_tokens, now)
        self.prefixes[arrival.prefix] = credits_by_reader

    def _add_tokens(self, reader: str, tokens: int) -> None:
        self.credited_tokens[reader] = self.credited_tokens.get(reader, 0) + tokens

    def _evict(self) -> None:
        """Forget the oldest prefix and session beyond the table's capacity."""
        if len(self.prefixes) > MAX_ENTRIES:
            oldest = self.prefixes.pop(next(iter(self.prefixes)))
            for reader, credit in oldest.items():
                self._add_tokens(reader, -credit.tokens)
        if len(self.sessions) > MAX_ENTRIES:
            del self.sessions[next(iter(self.sessions))]

    def matches(self, arrival: RequestArrived, now: int) -> dict[str, int]:
        """Tokens of this prompt credited at each reader that has any."""
        found = {
            reader: min(credit.tokens, arrival.prompt_tokens)
            for reader, credit in self.prefixes.get(arrival.prefix, {}).items()
            if now - credit.at < CREDIT_LIFETIME_NS
        }
        last = self.sessions.get(arrival.session, NO_SESSION)
        if last.reader and now - last.at < CREDIT_LIFETIME_NS:
            of_session = min(last.prompt, arrival.prompt_tokens)
            found[last.reader] = max(found.get(last.reader, 0), of_session)
        return found

    def forget_reader(self, reader: str) -> None:
        """Drop a reader's credits: it restarted, left, or had far less cached than credited."""
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
        """Forget expired credits and sessions, and let the demand decay.

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
