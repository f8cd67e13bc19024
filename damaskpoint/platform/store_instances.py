"""The instance list, read from the tables of runners and of own instances."""

from __future__ import annotations

import json
import logging
from typing import TYPE_CHECKING, Final, final

import pydantic

from damaskpoint import defaults
from damaskpoint.errors import Code, Failure
from damaskpoint.platform import names, rows
from damaskpoint.platform.base import InstanceList, ListedInstance, Presence
from damaskpoint.platform.store import RowChange

if TYPE_CHECKING:
    from collections.abc import Callable

    from damaskpoint.platform.store import PlatformStore, StoredRow

    _ParseRow = Callable[[StoredRow], ListedInstance | Failure]

_LOG: Final = logging.getLogger(__name__)


class _InstanceBody(pydantic.BaseModel):
    """Content of the row of an instance of the system."""

    zone: str
    host: str
    # 0 if callers do not connect to the instance by this list.
    port: int = pydantic.Field(0, ge=0, le=defaults.MAX_PORT)
    peer_port: int = pydantic.Field(ge=0, le=defaults.MAX_PORT)
    incarnation: int = 0
    presence: Presence = Presence.LIVE
    batch_rate: int = pydantic.Field(0, ge=0)


@final
class StoreInstances(InstanceList):
    """Lists the instances of the system and all runners."""

    def __init__(self, store: PlatformStore) -> None:
        """Read and write through this client of the store."""
        self._store = store

    @property
    def era(self) -> int:
        """Return the highest era of any answer of the store so far."""
        return self._store.era

    async def fetch(self) -> tuple[ListedInstance, ...] | Failure:
        """Return the current list: own instances first, then runners."""
        own = await self.fetch_peers()
        if isinstance(own, Failure):
            return own
        runners = await self._read(names.TABLE_RUNNERS, _read_runner)
        return runners if isinstance(runners, Failure) else own + runners

    async def fetch_peers(self) -> tuple[ListedInstance, ...] | Failure:
        """Return only the system's own instances."""
        return await self._read(names.TABLE_PEERS, _read_instance)

    async def register(self, own: ListedInstance) -> Failure | None:
        """Write the row of an instance of the system."""
        content = {
            'zone': own.zone,
            'host': own.host,
            'port': own.port,
            'peer_port': own.peer_port,
            'incarnation': own.incarnation,
            'presence': own.presence.value,
            'batch_rate': own.batch_rate,
        }
        return await self._change(own.name, json.dumps(content).encode())

    async def deregister(self, name: str) -> Failure | None:
        """Remove the row of an instance of the system."""
        return await self._change(name, None)

    async def _read(
        self, table: str, read_row: _ParseRow
    ) -> tuple[ListedInstance, ...] | Failure:
        """Return the instances of a table; logs and skips invalid rows."""
        read = await self._store.read_table(table)
        if isinstance(read, Failure):
            return read
        listed = []
        for row in read.rows:
            instance = read_row(row)
            if isinstance(instance, Failure):
                _log_unreadable(row, instance)
                continue
            listed.append(instance)
        return tuple(listed)

    async def _change(self, name: str, content: bytes | None) -> Failure | None:
        change = RowChange(names.TABLE_PEERS, name, None, content)
        outcome = await self._store.change((change,))
        return outcome if isinstance(outcome, Failure) else None


def _read_instance(row: StoredRow) -> ListedInstance | Failure:
    try:
        body = _InstanceBody.model_validate_json(row.content or b'')
    except pydantic.ValidationError as error:
        return Failure(Code.MESSAGE_MALFORMED, str(error))
    return ListedInstance(
        name=row.key,
        pool=defaults.ENTRY_POOL,
        zone=body.zone,
        host=body.host,
        port=body.port,
        peer_port=body.peer_port,
        incarnation=body.incarnation,
        presence=body.presence,
        batch_rate=body.batch_rate,
    )


def _read_runner(row: StoredRow) -> ListedInstance | Failure:
    try:
        content = json.loads(row.content or b'')
    except (ValueError, RecursionError) as error:
        return Failure(Code.MESSAGE_MALFORMED, str(error))
    runner = rows.read_runner(row.key, content)
    if isinstance(runner, Failure):
        return runner
    return ListedInstance(
        name=runner.name,
        pool=runner.service,
        zone=runner.zone,
        host=runner.host,
        port=runner.port,
        peer_port=0,
        incarnation=runner.started_ms,
        presence=Presence.LEAVING if runner.is_draining else Presence.LIVE,
    )


def _log_unreadable(row: StoredRow, failure: Failure) -> None:
    _LOG.warning(
        'ignoring an invalid instance row',
        extra={'instance': row.key, 'reason': failure.detail},
    )
