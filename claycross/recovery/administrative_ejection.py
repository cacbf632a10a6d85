"""Administrative ejection of engines, and the endpoint list as seen by the rest of the gateway.

An operator ejects an engine with `disable` and returns it to service with `enable`; discovery never
ends an ejection. The entry of an ejected engine is passed on as draining: requests in flight
complete, new attempts are not sent. The list is otherwise passed on unchanged. An engine that is
removed and listed again while ejected is listed as draining. The number of remembered ids is
bounded; the least recently listed ones are dropped first.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from ..interface import EndpointListUpdate, EngineEndpoint, EngineState, UpdateKind
from .persisted_state import MAX_EJECTIONS, stored_id_bytes

# Ids of engines ever listed; commands for an engine whose id was dropped are refused.
MAX_REMEMBERED_IDS = 16_384
# Of the ids of ejected engines in a state file.
MAX_EJECTED_ID_BYTES = 2 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class CommandResult:
    """The outcome of an operator's command."""

    succeeded: bool
    message: str  # for the operator
    update: EndpointListUpdate | None = None  # for the rest of the gateway to apply
    changed: bool = False  # whether the set of ejected engines changed


class AdministrativeEjections:
    """The engines that operators have ejected, applied to the endpoint list."""

    def __init__(self, remembered: int = MAX_REMEMBERED_IDS, limit: int = MAX_EJECTIONS):
        self.remembered = remembered
        self.limit = limit
        # Engine -> time of the ejection (Unix time in ns, shown to operators).
        self.ejected: dict[str, int] = {}
        # Engine -> its present entry in the list, as received from discovery.
        self.listed: dict[str, EngineEndpoint] = {}
        # Engines ever listed, ordered from least to most recently listed.
        self.known: OrderedDict[str, None] = OrderedDict()

    # ------------------------------------------------------------ the endpoint list

    def apply(self, update: EndpointListUpdate) -> EndpointListUpdate:
        """Return the update with the entries of ejected engines draining."""
        if update.kind == UpdateKind.FAILED:
            return update
        if update.kind != UpdateKind.CHANGES:
            self.listed = {}
        for entry in update.entries:
            self.remember(entry.engine)
            if entry.state == EngineState.REMOVED:
                self.listed.pop(entry.engine, None)
            else:
                self.listed[entry.engine] = entry
        entries = [self.apply_to_entry(entry) for entry in update.entries]
        return EndpointListUpdate(update.kind, entries)

    def apply_to_entry(self, entry: EngineEndpoint) -> EngineEndpoint:
        """Return a copy of the entry, draining where it is ready and its engine is ejected."""
        if entry.engine in self.ejected and entry.state == EngineState.READY:
            return entry.copy(EngineState.DRAINING)
        return entry.copy()

    def remember(self, engine: str) -> None:
        """Record that the engine was listed; drop the oldest ids beyond the limit.

        Engines that are listed or ejected now are never dropped.
        """
        self.known[engine] = None
        self.known.move_to_end(engine)
        while len(self.known) > self.remembered:
            oldest = self.oldest_unused()
            if oldest is None:
                break
            del self.known[oldest]

    def oldest_unused(self) -> str | None:
        """Return the least recently listed engine that is neither listed nor ejected now."""
        for engine in self.known:
            if engine not in self.ejected and engine not in self.listed:
                return engine
        return None

    # ------------------------------------------------------------ operators' commands

    def disable(self, engine: str, now: int) -> CommandResult:
        """Eject an engine. `now` is Unix time in ns."""
        if engine in self.ejected:
            return CommandResult(True, f"{engine} is out already")
        if engine not in self.known:
            return CommandResult(False, f"{engine} was never listed")
        if len(self.ejected) >= self.limit or not self.fits_state_file(engine):
            message = f"{len(self.ejected)} engines are out already; drain the gateway instead"
            return CommandResult(False, message)
        self.ejected[engine] = now
        return CommandResult(True, f"{engine} is out", self.update_for(engine), changed=True)

    def fits_state_file(self, engine: str) -> bool:
        """Return whether the ids of all ejected engines and this one can be stored."""
        size = sum(map(stored_id_bytes, (engine, *self.ejected)))
        return size <= MAX_EJECTED_ID_BYTES

    def enable(self, engine: str) -> CommandResult:
        """End the ejection of an engine."""
        if engine in self.ejected:
            del self.ejected[engine]
            return CommandResult(True, f"{engine} is back", self.update_for(engine), changed=True)
        if engine not in self.known:
            return CommandResult(False, f"{engine} was never listed")
        return CommandResult(True, f"{engine} is in already")

    def update_for(self, engine: str) -> EndpointListUpdate | None:
        """Return the update that carries an engine's current state, if the engine is listed."""
        entry = self.listed.get(engine)
        if entry is None:
            return None
        return EndpointListUpdate(UpdateKind.CHANGES, [self.apply_to_entry(entry)])

    def ejected_and_listed(self) -> list[str]:
        """Return the ejected engines that are in the endpoint list now."""
        return sorted(self.ejected.keys() & self.listed.keys())

    # ------------------------------------------------------------ persisted state

    def state(self) -> dict[str, int]:
        """Return a copy of the ejections: engine -> time of the ejection."""
        return dict(self.ejected)

    def adopt(self, ejected: dict[str, int]) -> list[EndpointListUpdate]:
        """Replace the ejections with those of a newer state of this gateway.

        Returns:
            An update for each listed engine whose ejection began or ended.
        """
        wanted = dict(sorted(ejected.items())[: self.limit])
        results = [self.enable(engine) for engine in sorted(self.ejected.keys() - wanted.keys())]
        for engine, ejected_at in wanted.items():
            self.remember(engine)
            if engine not in self.ejected:
                results.append(self.disable(engine, ejected_at))
        return [result.update for result in results if result.update is not None]
