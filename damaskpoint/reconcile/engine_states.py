"""Keeps what is known of the engines of a pool."""

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
class EngineStates:
    """Reads engines' states and remembers them.

    A read that began before an order ended, or before all was forgotten,
    may be older than what is known, and is dropped.
    """

    def __init__(self, client: EngineClient) -> None:
        """Start knowing nothing."""
        self._client = client
        self._views_by_name: dict[str, EngineView] = {}
        self._changes_by_name: dict[str, int] = {}
        self._forgets = 0
        self._is_reading = False
        self.last_failure = ''

    @property
    def views_by_name(self) -> Mapping[str, EngineView]:
        """Return what is known."""
        return self._views_by_name

    def forget_all(self) -> None:
        """Forget everything: another may have given orders."""
        self._forgets += 1
        self._views_by_name.clear()

    def keep_only(self, names: Iterable[str]) -> None:
        """Forget engines that have left."""
        for name in set(self._views_by_name) - set(names):
            self._views_by_name.pop(name)
            self._changes_by_name.pop(name, None)

    def hear_obeyed(self, name: str, target: EngineState) -> None:
        """Note that an engine has become what its order named."""
        view = self._views_by_name.get(name)
        self._count_change(name)
        if view:
            self._views_by_name[name] = EngineView(
                name, view.incarnation, target, view.is_zone_out
            )

    def hear_doubt(self, name: str) -> None:
        """Forget an engine whose order failed: it is read again first."""
        self._count_change(name)
        self._views_by_name.pop(name, None)

    def count_done(self, target: EngineState) -> int:
        """Return how many engines are what they must become."""
        return len(self._views_by_name) - len(self.list_differing(target))

    def list_differing(self, target: EngineState) -> list[str]:
        """Return the names of engines known to differ."""
        differing = []
        for name, view in self._views_by_name.items():
            if view.state != target:
                differing.append(name)
        return sorted(differing)

    async def read_all(
        self, engines: Iterable[ListedInstance], zones_out: frozenset[str]
    ) -> None:
        """Read the states of all engines at once, unless that goes on."""
        if self._is_reading:
            return
        self._is_reading = True
        reads = [self._read(engine, zones_out) for engine in engines]
        await asyncio.gather(*reads)
        self._is_reading = False

    async def _read(
        self, engine: ListedInstance, zones_out: frozenset[str]
    ) -> None:
        forgets = self._forgets
        changes = self._changes_by_name.get(engine.name, 0)
        report = await self._client.read_state(engine)
        if forgets != self._forgets:
            return
        if changes != self._changes_by_name.get(engine.name, 0):
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

    def _count_change(self, name: str) -> None:
        self._changes_by_name[name] = self._changes_by_name.get(name, 0) + 1
