"""Applies updates of the endpoint list to the router's engines."""

from __future__ import annotations

from collections.abc import Callable

from ..interface import EndpointListUpdate, EngineEndpoint, EngineState, Settings, UpdateKind
from .engine import Engine
from .outlier_detection import OutlierDetector
from .prefix_cache import PrefixCacheIndex


class EndpointTable:
    """Keeps engines, cache credits and gossip tags consistent with the endpoint list."""

    def __init__(
        self,
        settings: Settings,
        health: OutlierDetector,
        prefix_cache: PrefixCacheIndex,
        tag_of: Callable[[str], int],
    ):
        self.settings = settings
        self.health = health
        self.prefix_cache = prefix_cache
        self.tag_of = tag_of

    def update(self, event: EndpointListUpdate) -> None:
        """Apply a full list or changes to the present one."""
        engines = self.health.engines
        removed: list[Engine] = []
        if event.kind != UpdateKind.CHANGES:
            listed = {entry.engine for entry in event.entries}
            for engine_id in sorted(engines.keys() - listed):
                removed += self._remove(engine_id)
        for entry in event.entries:
            if entry.state == EngineState.REMOVED or entry.machine_kind not in self.settings.roles:
                removed += self._remove(entry.engine)
            elif entry.engine in engines:
                self._change(engines[entry.engine], entry)
            else:
                engines[entry.engine] = self._new_engine(entry)
        listed_engines = [
            engines[entry.engine] for entry in event.entries if entry.engine in engines
        ]
        self.health.pool.update(removed + listed_engines)

    def _new_engine(self, entry: EngineEndpoint) -> Engine:
        memory = self.settings.memory.get(entry.machine_kind, 0)
        return Engine(entry, self.settings.roles[entry.machine_kind], memory)

    def _change(self, engine: Engine, entry: EngineEndpoint) -> None:
        if entry.started_at != engine.entry.started_at:
            engine.reset()
            self.prefix_cache.forget_reader(engine.id)
        engine.entry = entry

    def _remove(self, engine_id: str) -> list[Engine]:
        """Remove an engine; returns a list of it, or an empty one if it is unknown."""
        engine = self.health.engines.pop(engine_id, None)
        if engine is None:
            return []
        # Attempts in flight at the engine still refer to it.
        engine.entry.state = EngineState.REMOVED
        self.prefix_cache.forget_reader(engine_id)
        return [engine]

    def engines_with_tag(self, tag: int) -> list[Engine]:
        """Return the engines that have this tag in load gossip."""
        by_tag: dict[int, list[Engine]] = self.health.pool.memoize_briefly("tags", "", self._by_tag)
        return by_tag.get(tag, [])

    def _by_tag(self) -> dict[int, list[Engine]]:
        by_tag: dict[int, list[Engine]] = {}
        for engine in self.health.engines.values():
            by_tag.setdefault(self.tag_of(engine.id), []).append(engine)
        return by_tag
