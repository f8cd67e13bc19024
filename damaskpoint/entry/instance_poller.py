"""Polls the platform's list of instances."""

from __future__ import annotations

import logging
import time
from typing import TYPE_CHECKING, Final, final

from damaskpoint.errors import Failure
from damaskpoint.observe.state import StateSource

if TYPE_CHECKING:
    from collections.abc import Callable

    from damaskpoint.platform.base import InstanceList, ListedInstance

    Listener = Callable[[tuple[ListedInstance, ...], float], None]

_LOG: Final = logging.getLogger(__name__)


@final
class InstancePoller(StateSource):
    """Passes each list to its listeners, and stores the last one."""

    def __init__(self, instance_list: InstanceList) -> None:
        """Start without a list."""
        self._instance_list = instance_list
        self._listeners: list[Listener] = []
        self._instances: tuple[ListedInstance, ...] = ()
        self._read_at: float | None = None
        self._failure: Failure | None = None

    def add_listener(self, listener: Listener) -> None:
        """Add a callback for each list and the time just before its read."""
        self._listeners.append(listener)

    async def poll(self) -> None:
        """Read the list once."""
        now = time.monotonic()
        fetched = await self._instance_list.fetch()
        if isinstance(fetched, Failure):
            if self._failure is None:
                _LOG.warning('instance list unavailable')
            self._failure = fetched
            return
        if self._failure is not None:
            _LOG.info('instance list available again')
        self._failure = None
        self._instances = fetched
        self._read_at = now
        for listener in self._listeners:
            listener(fetched, now)

    def dump_state(self, now: float) -> dict[str, object]:
        """Return the size and age of the last list, and the last failure."""
        age_s = None if self._read_at is None else now - self._read_at
        failure = self._failure
        return {
            'instances': len(self._instances),
            'age_s': age_s,
            'failure': None if failure is None else failure.detail,
        }
