"""What the operator and the platform do for a rollout: rows and runners."""

from __future__ import annotations

import asyncio
import json
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final, NamedTuple

from standins.runner import RunnerState

if TYPE_CHECKING:
    from tornado.httpserver import HTTPServer

    from features.support.gateway_site import Site
    from standins.versions import ServiceVersion

COMPLETED: Final = 'completed'
ROLLED_BACK: Final = 'rolled_back'


class Status(NamedTuple):
    """A content of the status row; ``at`` is in monotonic seconds."""

    at: float
    state: str
    to: str


@dataclass(slots=True)
class RolloutPlatform:
    """Writes orders, and stops or drains the runners of a service."""

    site: Site
    service: str
    # Time from ``rolled_back`` to the drain, and from there to the stop.
    drain_delay_s: float
    statuses: list[Status] = field(default_factory=list)
    # Ids of the requests that ran when their runners were stopped.
    interrupted_ids: list[str] = field(default_factory=list)
    _versions: dict[str, ServiceVersion] = field(default_factory=dict)
    _servers: dict[str, dict[str, HTTPServer]] = field(default_factory=dict)
    _draining: asyncio.Future[None] | None = None

    def start_runners(
        self, version: ServiceVersion, count: int, time_s: float
    ) -> None:
        """Start runners of a version and register them."""
        self._versions[version.name] = version
        servers = self._servers.setdefault(version.name, {})
        for number in range(count):
            name = f'{self.service}-{version.name}-{number}'
            events = 5 if self.service == 'model' else 0
            state = RunnerState(name, time_s, events, version=version)
            self.site.start_runner(state, self.service, Version=version.name)
            servers[name] = self.site.servers[-1]

    def order(self, to: str, duration_s: float) -> None:
        """Order a rollout, also in place of the present order."""
        order = {'Service': self.service, 'To': to, 'DurationS': duration_s}
        self.site.store.put('op', f'rollout/{self.service}', order)

    def withdraw(self) -> None:
        """Remove the order."""
        self.site.store.remove('op', f'rollout/{self.service}')

    async def follow(self) -> None:
        """Act on each change of the status row until cancelled."""
        store = self.site.store
        seen = ('', '')
        while True:
            changed = store.changed
            row = store.rows.get(('status', f'rollout/{self.service}'))
            content = json.loads(store.decode(row)) if row else {}
            status = (content.get('State', ''), content.get('To', ''))
            if status != seen:
                seen = status
                self.statuses.append(Status(time.monotonic(), *status))
                await self._apply(*status)
            await changed.wait()

    async def _apply(self, state: str, to: str) -> None:
        if state == COMPLETED:
            for version in self._servers.keys() - {to}:
                await self._stop(version)
        elif state == ROLLED_BACK:
            self._draining = asyncio.ensure_future(self._drain(to))

    async def _drain(self, version: str) -> None:
        await asyncio.sleep(self.drain_delay_s)
        for name in self._servers.get(version, ()):
            self.site.register(
                name, self.service, Version=version, State='draining'
            )
        await asyncio.sleep(self.drain_delay_s)
        await self._stop(version)

    async def _stop(self, version: str) -> None:
        """Stop runners at once; requests that they run are lost."""
        servers = self._servers.pop(version, {})
        if servers:
            self.interrupted_ids += self._versions[version].running_ids
        for name, server in servers.items():
            self.site.store.remove('servers', name)
            server.stop()
            await server.close_all_connections()
