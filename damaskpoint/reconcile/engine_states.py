"""Caches the last known states of the engines of a pool."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, final

from damaskpoint.errors import Failure
from damaskpoint.reconcile.planner import EngineState, EngineView

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from damaskpoint.platform.base import ListedInstance
    from damaskpoint.reconcile.engine_client import EngineClient


@final
class EngineStateCache:
    """Reads the states of engines and caches them.

    The result of a read that began before an order ended or before the cache
    was invalidated may be older than the cached state, and is dropped.
    """

    def __init__(self, client: EngineClient) -> None:
        """Start with an empty cache."""
        self._client = client
        self._views_by_name: dict[str, EngineView] = {}
        self._revisions_by_name: dict[str, int] = {}
        self._generation = 0
        self._is_reading = False
        self.last_failure = ''

    @property
    def views_by_name(self) -> Mapping[str, EngineView]:
        """Return the cached views."""
        return self._views_by_name

    def invalidate_all(self) -> None:
        """Drop all views, as another holder may have sent orders."""
        self._generation += 1
        self._views_by_name.clear()

    def keep_only(self, names: Iterable[str]) -> None:
        """Drop the views of all engines but the named ones."""
        for name in set(self._views_by_name) - set(names):
            self._views_by_name.pop(name)
            self._revisions_by_name.pop(name, None)

    def record_applied(self, name: str, target: EngineState) -> None:
        """Record that an engine reached the state that its order named."""
        view = self._views_by_name.get(name)
        self._bump_revision(name)
        if view:
            self._views_by_name[name] = EngineView(
                name, view.incarnation, target, view.is_zone_out
            )

    def invalidate(self, name: str) -> None:
        """Drop the view of an engine after a failed order, until it is read."""
        self._bump_revision(name)
        self._views_by_name.pop(name, None)

    def count_matching(self, target: EngineState) -> int:
        """Return how many engines have the target state."""
        return len(self._views_by_name) - len(self.list_differing(target))

    def list_differing(self, target: EngineState) -> list[str]:
        """Return the sorted names of engines whose last known state differs."""
        differing = []
        for name, view in self._views_by_name.items():
            if view.state != target:
                differing.append(name)
        return sorted(differing)

    async def read_all(
        self, engines: Iterable[ListedInstance], zones_out: frozenset[str]
    ) -> None:
        """Read all states concurrently, unless a read is in progress."""
        if self._is_reading:
            return
        self._is_reading = True
        reads = [self._read(engine, zones_out) for engine in engines]
        await asyncio.gather(*reads)
        self._is_reading = False

    async def _read(
        self, engine: ListedInstance, zones_out: frozenset[str]
    ) -> None:
        generation = self._generation
        revision = self._revisions_by_name.get(engine.name, 0)
        report = await self._client.read_state(engine)
        if generation != self._generation:
            return
        if revision != self._revisions_by_name.get(engine.name, 0):
            return
        is_zone_out = engine.zone in zones_out
        if isinstance(report, Failure):
            self.last_failure = f'{engine.name}: {report.detail}'
            self._views_by_name[engine.name] = EngineView(
                engine.name, engine.incarnation, None, is_zone_out
            )
            return
        self._views_by_name[engine.name] = EngineView(
            engine.name, report.incarnation, report.state, is_zone_out
        )

    def _bump_revision(self, name: str) -> None:
        self._revisions_by_name[name] = self._revisions_by_name.get(name, 0) + 1
