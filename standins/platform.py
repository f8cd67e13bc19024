"""The platform: its store of rows and objects, and the weight store.

The tables of runners and of the system's instances are read-only views of
the list of instances. A control request sets that list, the lag after which
a new list becomes visible, and how many lists the visible one steps back.
"""

from __future__ import annotations

import asyncio
import base64
import http
import json
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
from standins.row_store import FeedHandler, RowStore

if TYPE_CHECKING:
    from standins.history import History

_Body = TypeVar('_Body', bound=pydantic.BaseModel)

# Maximum rows in one response, unless the request sets a limit.
_DEFAULT_ROW_LIMIT = 500
_MS_PER_S = 1000
# Tables that are views of the list of instances.
_TABLE_RUNNERS = 'servers'
_TABLE_PEERS = 'peers'
_ENTRY_POOL = 'entry'


class InstanceLog:
    """All lists of instances that were set, so that old ones can be served."""

    def __init__(self, instances: list[dict[str, object]], now: float) -> None:
        """Start with an initial list."""
        self._lists = [(now, instances)]
        # Seconds before a new list becomes visible.
        self.lag_s: float = 0
        # Lists to step back from the newest one that is past the lag.
        self.steps_back = 0

    def replace(self, instances: list[dict[str, object]], now: float) -> None:
        """Append a new list."""
        self._lists.append((now, instances))

    def update_instance(self, name: str, now: float, **fields: object) -> None:
        """Append a list with changed fields of one instance."""
        updated = []
        for instance in self.newest():
            if instance['name'] == name:
                updated.append({**instance, **fields})
                continue
            updated.append(instance)
        self.replace(updated, now)

    def newest(self) -> list[dict[str, object]]:
        """Return the most recent list, whether or not it is visible yet."""
        return self._lists[-1][1]

    def visible(self, now: float) -> list[dict[str, object]]:
        """Return the list that is visible to callers at ``now``."""
        newest_visible = 0
        for position, (set_at, _instances) in enumerate(self._lists):
            if set_at <= now - self.lag_s:
                newest_visible = position
        return self._lists[max(0, newest_visible - self.steps_back)][1]


class Platform:
    """The state of the platform: stores, list of instances and faults."""

    def __init__(self, history: History, instances: InstanceLog) -> None:
        """Start with empty stores."""
        self.history = history
        self.instances = instances
        self.store = RowStore()
        self.object_bodies: dict[str, bytes] = {}
        self.faults = PlatformFaults(time.monotonic())


class PlatformHandler(JsonHandler):
    """A handler that applies the injected faults of its service."""

    def initialize(self, platform: Platform) -> None:
        """Store the platform."""
        self.platform = platform

    def write_error(self, status_code: int, **kwargs: object) -> None:
        """Send every error as JSON with the text ``bad request``."""
        self.send_json({'error': 'bad request'}, http.HTTPStatus(status_code))

    async def apply_fault(self, fault: ServiceFault) -> bool:
        """Apply a fault; return whether the handler is to continue."""
        if fault.slow_s:
            await asyncio.sleep(fault.slow_s)
        if fault.mode == 'refuse':
            self.refuse(http.HTTPStatus.SERVICE_UNAVAILABLE, 'down')
        if fault.mode == 'close':
            self.drop()
        return fault.mode == 'up'

    def refuse_over_rate(self) -> None:
        """Refuse a request above the rate limit."""
        self.refuse(http.HTTPStatus.TOO_MANY_REQUESTS, 'rate')

    def parse_body(self, model: type[_Body]) -> _Body:
        """Return the validated body.

        Raises an HTTPError with status 400 if the body is malformed.
        """
        try:
            return model.model_validate_json(self.request.body)
        except pydantic.ValidationError as error:
            raise web.HTTPError(http.HTTPStatus.BAD_REQUEST) from error


class _RowsHandler(PlatformHandler):
    """Serves the rows of a range of keys."""

    async def get(self) -> None:
        """Return the rows in the order of their keys."""
        table = self.get_query_argument('Table')
        first = self.get_query_argument('From', '', strip=False)
        last = self.get_query_argument('To', '', strip=False)
        limit = int(self.get_query_argument('Limit', str(_DEFAULT_ROW_LIMIT)))
        if table in {_TABLE_RUNNERS, _TABLE_PEERS}:
            await self._send_instances(table)
            return
        faults = self.platform.faults
        if not await self.apply_fault(faults.table):
            return
        if not faults.reads.take(time.monotonic()):
            self.refuse_over_rate()
            return
        rows = self.platform.store.read(table, first, last)
        self.send_rows(rows[:limit], is_truncated=len(rows) > limit)

    def send_rows(
        self,
        rows: list[dict[str, object]],
        status: http.HTTPStatus = http.HTTPStatus.OK,
        *,
        is_truncated: bool = False,
    ) -> None:
        """Send rows with the current version and time."""
        body = {
            'Rows': rows,
            'Truncated': is_truncated,
            'Ver': self.platform.store.version,
            'NowMs': round(time.monotonic() * _MS_PER_S),
        }
        self.send_json(body, status)

    async def _send_instances(self, table: str) -> None:
        """Send the visible list of instances."""
        if await self.apply_fault(self.platform.faults.instances):
            self.send_rows(
                _encode_instance_rows(table, self.platform.instances)
            )


class _TransactionHandler(_RowsHandler):
    """Applies transactions."""

    async def post(self) -> None:
        """Apply all writes or none; a fault may drop the response."""
        faults = self.platform.faults
        if not await self.apply_fault(faults.table):
            return
        if not faults.writes.take(time.monotonic()):
            self.refuse_over_rate()
            return
        transaction = json.loads(self.request.body)
        conflicting = self.platform.store.transact(transaction)
        if conflicting is not None:
            self.send_rows(conflicting, http.HTTPStatus.PRECONDITION_FAILED)
            return
        changed_rows = (*transaction['Writes'], *transaction['Remove'])
        is_lost = faults.should_lose_answer(
            {row['Table'] for row in changed_rows}
        )
        for row in changed_rows:
            value = base64.b64decode(row.get('Value', ''))
            self.platform.history.record(
                'written',
                table=row['Table'],
                key=row['Key'],
                version=self.platform.store.version,
                content=json.loads(value) if value else None,
                is_answer_lost=is_lost,
            )
        if is_lost:
            self.drop()
            return
        self.send_rows([])


class _GetObjectHandler(PlatformHandler):
    async def get(self, name: str) -> None:
        """Return an object."""
        if not await self.apply_fault(self.platform.faults.object_store):
            return
        bodies = self.platform.object_bodies
        if name not in bodies:
            self.refuse(http.HTTPStatus.NOT_FOUND, 'no such object')
            return
        self.finish(bodies[name])


class _PutObjectHandler(PlatformHandler):
    async def put(self, name: str) -> None:
        """Store an object."""
        if not await self.apply_fault(self.platform.faults.object_store):
            return
        self.platform.object_bodies[name] = self.request.body


class _WeightsHandler(PlatformHandler):
    async def get(self, model: str, version: str) -> None:
        """Return a small body in place of a model's weights."""
        if not self.platform.faults.weights.take(time.monotonic()):
            self.refuse_over_rate()
            return
        self.platform.history.record('weights', model=model, version=version)
        self.send_json({'model': model, 'version': version})


class _ControlFaultsHandler(PlatformHandler):
    async def post(self) -> None:
        """Set faults."""
        control = self.parse_body(PlatformControl)
        self.platform.faults.apply(control, time.monotonic())
        self.platform.history.record(
            'faults', control=control.model_dump(exclude_unset=True)
        )
        self.send_json({})


class _ControlInstancesHandler(PlatformHandler):
    async def get(self) -> None:
        """Return the newest list, also if callers can't see it yet."""
        self.send_json({'instances': self.platform.instances.newest()})

    async def post(self) -> None:
        """Set the list, its lag and the number of lists to step back."""
        control = self.parse_body(InstanceListControl)
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
        self.send_json({})


class _HealthHandler(PlatformHandler):
    async def get(self) -> None:
        """Report that the process is serving."""
        self.send_json({'role': 'platform'})


def _encode_instance_rows(
    table: str, log: InstanceLog
) -> list[dict[str, object]]:
    """Return the visible instances as rows of one of the two tables."""
    rows: list[dict[str, object]] = []
    for instance in log.visible(time.monotonic()):
        is_peer = instance['pool'] == _ENTRY_POOL
        if is_peer != (table == _TABLE_PEERS):
            continue
        content = instance if is_peer else _encode_runner(instance)
        value = base64.b64encode(json.dumps(content).encode()).decode()
        row = {'Table': table, 'part': '', 'Key': instance['name']}
        rows.append({**row, 'Value': value, 'Ver': 1})
    return rows


def _encode_runner(instance: dict[str, object]) -> dict[str, object]:
    """Return the row content with which a runner registers itself."""
    is_leaving = instance['presence'] == 'leaving'
    return {
        'Service': instance['pool'],
        'Address': f'{instance["host"]}:{instance["port"]}',
        'Zone': instance['zone'],
        'State': 'draining' if is_leaving else 'ready',
        'born': instance['incarnation'],
    }


def create_platform_app(platform: Platform) -> web.Application:
    """Return the platform's HTTP application."""
    handler_arguments = {'platform': platform}
    return web.Application(
        [
            ('/v1/rows-get', _RowsHandler, handler_arguments),
            ('/v1/rows-tx', _TransactionHandler, handler_arguments),
            ('/v1/rows-feed', FeedHandler, {'store': platform.store}),
            ('/v1/blob-get/([^/]+)', _GetObjectHandler, handler_arguments),
            ('/v1/blob-put/([^/]+)', _PutObjectHandler, handler_arguments),
            ('/weights/([^/]+)/([^/]+)', _WeightsHandler, handler_arguments),
            ('/control/faults', _ControlFaultsHandler, handler_arguments),
            ('/control/instances', _ControlInstancesHandler, handler_arguments),
            ('/control/health', _HealthHandler, handler_arguments),
        ]
    )
