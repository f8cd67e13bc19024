"""The platform: table, object store, list of instances, weight store."""

from __future__ import annotations

import asyncio
import http
import time
from typing import TYPE_CHECKING, TypeVar

import pydantic
from tornado import web

from standins.http import JsonHandler
from standins.platform_faults import (
    InstanceListControl,
    PlatformControl,
    PlatformFaults,
    ServiceFault,
)
from standins.table import MemoryTable, ReadBody, TransactBody

if TYPE_CHECKING:
    from standins.history import History

_Body = TypeVar('_Body', bound=pydantic.BaseModel)

_SCAN_LIMIT = '1000'


class InstanceLog:
    """Every list of instances that was set, so that an old one can show."""

    def __init__(self, instances: list[dict[str, object]], now: float) -> None:
        """Start with a list."""
        self._lists = [(now, instances)]
        # Seconds for which a new list stays unseen.
        self.lag_s: float = 0
        # Number of lists that the shown one steps back from the newest.
        self.steps_back = 0

    def replace(self, instances: list[dict[str, object]], now: float) -> None:
        """Set the list."""
        self._lists.append((now, instances))

    def change(self, name: str, now: float, **fields: object) -> None:
        """Set fields of one instance in a new list."""
        changed = []
        for instance in self.newest():
            if instance['name'] == name:
                changed.append({**instance, **fields})
                continue
            changed.append(instance)
        self.replace(changed, now)

    def newest(self) -> list[dict[str, object]]:
        """Return the list that was set last."""
        return self._lists[-1][1]

    def show(self, now: float) -> list[dict[str, object]]:
        """Return the list that callers see."""
        seen = 0
        for position, (set_at, _instances) in enumerate(self._lists):
            if set_at <= now - self.lag_s:
                seen = position
        return self._lists[max(0, seen - self.steps_back)][1]


class Platform:
    """All that the platform keeps."""

    def __init__(self, history: History, instances: InstanceLog) -> None:
        """Start with empty stores."""
        self.history = history
        self.instances = instances
        self.table = MemoryTable()
        self.object_bodies: dict[str, bytes] = {}
        self.faults = PlatformFaults(time.monotonic())


class PlatformHandler(JsonHandler):
    """A handler that suffers the faults of its service."""

    def initialize(self, platform: Platform) -> None:
        """Keep the platform."""
        self.platform = platform

    def write_error(self, status_code: int, **kwargs: object) -> None:
        """Answer a bad body with its reason."""
        self.answer({'error': 'bad request'}, http.HTTPStatus(status_code))

    async def suffer(self, fault: ServiceFault) -> bool:
        """Wait as long as the fault says; tell whether to go on."""
        if fault.slow_s:
            await asyncio.sleep(fault.slow_s)
        if fault.mode == 'refuse':
            self.refuse(http.HTTPStatus.SERVICE_UNAVAILABLE, 'down')
        if fault.mode == 'close':
            self.drop()
        return fault.mode == 'up'

    def refuse_rate(self) -> None:
        """Answer that the rate is above its bound."""
        self.refuse(http.HTTPStatus.TOO_MANY_REQUESTS, 'rate')

    def parse(self, model: type[_Body]) -> _Body:
        """Return the body, validated; a bad one ends in 400."""
        try:
            return model.model_validate_json(self.request.body)
        except pydantic.ValidationError as error:
            raise web.HTTPError(http.HTTPStatus.BAD_REQUEST) from error


class _ReadHandler(PlatformHandler):
    async def post(self) -> None:
        """Answer rows by their keys."""
        faults = self.platform.faults
        if not await self.suffer(faults.table):
            return
        if not faults.reads.take(time.monotonic()):
            self.refuse_rate()
            return
        body = self.parse(ReadBody)
        table = self.platform.table
        self.answer({'rows': [table.read(*place) for place in body.keys]})


class _ScanHandler(PlatformHandler):
    async def get(self, table: str) -> None:
        """Answer rows by the order of their keys."""
        faults = self.platform.faults
        if not await self.suffer(faults.table):
            return
        if not faults.reads.take(time.monotonic()):
            self.refuse_rate()
            return
        rows = self.platform.table.scan(
            table,
            self.get_argument('prefix', ''),
            self.get_argument('after', ''),
            int(self.get_argument('limit', _SCAN_LIMIT)),
        )
        self.answer({'rows': rows})


class _TransactHandler(PlatformHandler):
    async def post(self) -> None:
        """Apply all writes or none; the answer may get lost."""
        faults = self.platform.faults
        if not await self.suffer(faults.table):
            return
        if not faults.writes.take(time.monotonic()):
            self.refuse_rate()
            return
        writes = self.parse(TransactBody).writes
        conflicts = self.platform.table.find_conflicts(writes)
        if conflicts:
            body = {'error': 'conflict', 'conflicts': conflicts}
            self.answer(body, http.HTTPStatus.CONFLICT)
            return
        versions = self.platform.table.apply(writes)
        is_lost = faults.draw_loss({write.table for write in writes})
        for write, version in zip(writes, versions, strict=True):
            self.platform.history.record(
                'written',
                table=write.table,
                key=write.key,
                version=version,
                content=write.data,
                is_answer_lost=is_lost,
            )
        if is_lost:
            self.drop()
            return
        self.answer({'versions': versions})


class _ObjectHandler(PlatformHandler):
    async def get(self, name: str) -> None:
        """Answer an object."""
        if not await self.suffer(self.platform.faults.object_store):
            return
        bodies = self.platform.object_bodies
        if name not in bodies:
            self.refuse(http.HTTPStatus.NOT_FOUND, 'no such object')
            return
        self.finish(bodies[name])

    async def put(self, name: str) -> None:
        """Store an object."""
        if not await self.suffer(self.platform.faults.object_store):
            return
        self.platform.object_bodies[name] = self.request.body
        self.set_status(http.HTTPStatus.NO_CONTENT)


class _InstancesHandler(PlatformHandler):
    async def get(self) -> None:
        """Answer the list of instances, as late as it is."""
        if not await self.suffer(self.platform.faults.instances):
            return
        shown = self.platform.instances.show(time.monotonic())
        self.answer({'instances': shown})


class _WeightsHandler(PlatformHandler):
    async def get(self, model: str, version: str) -> None:
        """Answer a small body that stands for a model's weights."""
        if not self.platform.faults.weights.take(time.monotonic()):
            self.refuse_rate()
            return
        self.platform.history.record('weights', model=model, version=version)
        self.answer({'model': model, 'version': version})


class _ControlFaultsHandler(PlatformHandler):
    async def post(self) -> None:
        """Put faults in force."""
        control = self.parse(PlatformControl)
        self.platform.faults.apply(control, time.monotonic())
        self.platform.history.record(
            'faults', control=control.model_dump(exclude_unset=True)
        )
        self.answer({})


class _ControlInstancesHandler(PlatformHandler):
    async def get(self) -> None:
        """Answer the newest list, however late callers see it."""
        self.answer({'instances': self.platform.instances.newest()})

    async def post(self) -> None:
        """Set the list, its lag and how far it steps back."""
        control = self.parse(InstanceListControl)
        log = self.platform.instances
        if control.instances is not None:
            log.replace(control.instances, time.monotonic())
        if control.lag_s is not None:
            log.lag_s = control.lag_s
        if control.steps_back is not None:
            log.steps_back = control.steps_back
        self.platform.history.record(
            'instances', control=control.model_dump(exclude_unset=True)
        )
        self.answer({})


class _HealthHandler(PlatformHandler):
    async def get(self) -> None:
        """Answer that the process serves."""
        self.answer({'role': 'platform'})


def create_platform_app(platform: Platform) -> web.Application:
    """Return the platform's HTTP application."""
    bound = {'platform': platform}
    return web.Application(
        [
            ('/table/read', _ReadHandler, bound),
            ('/table/transact', _TransactHandler, bound),
            ('/table/([^/]+)', _ScanHandler, bound),
            ('/objects/(.+)', _ObjectHandler, bound),
            ('/instances', _InstancesHandler, bound),
            ('/weights/([^/]+)/([^/]+)', _WeightsHandler, bound),
            ('/control/faults', _ControlFaultsHandler, bound),
            ('/control/instances', _ControlInstancesHandler, bound),
            ('/control/health', _HealthHandler, bound),
        ]
    )
