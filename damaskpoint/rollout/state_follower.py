"""Reads the table of the rollouts' states while a rollout may need it."""

from __future__ import annotations

import asyncio
import logging
import time
from typing import TYPE_CHECKING, Final, final

from damaskpoint.catalog import metrics
from damaskpoint.errors import Code, Failure
from damaskpoint.platform import names
from damaskpoint.platform.rollout_rows import read_state

if TYPE_CHECKING:
    from damaskpoint.platform.store import PlatformStore, Rows, StoredRow
    from damaskpoint.rollout.book import RolloutBook
    from damaskpoint.rollout.model import RolloutState

_LOG: Final = logging.getLogger(__name__)
# Wait of a watch (seconds). Each answer confirms the state, which has to
# happen within 2 s.
_WAIT_S: Final = 1.2
_IDLE_POLL_S: Final = 0.1
# Pause after an answer with changes, and after a failed call (seconds).
_CHANGE_PAUSE_S: Final = 0.1
_FAILURE_PAUSE_S: Final = 0.5


@final
class StateFollower:
    """Passes the states to the book; remembers the versions of their rows."""

    def __init__(self, store: PlatformStore, book: RolloutBook) -> None:
        """Start before the first read."""
        self._store = store
        self._book = book
        self._version: int | None = None
        self._era: int | None = None
        self._is_failing = False
        # The store's clock minus the monotonic clock; None before a read.
        self.clock_offset_s: float | None = None
        self.versions_by_service: dict[str, int] = {}
        # Services whose row is older than what is known here: the store was
        # restored from a copy.
        self.lost_services: set[str] = set()

    @property
    def has_read(self) -> bool:
        """Return whether the table has been read in the present era."""
        return self._era is not None and self._store.era <= self._era

    async def step(self, is_needed: bool) -> None:
        """Read once if the table is needed, and pause until the next step."""
        pause_s = _IDLE_POLL_S
        if is_needed:
            pause_s = await self.advance()
        await asyncio.sleep(pause_s)

    async def advance(self) -> float:
        """Read the table or its changes once; return the pause (seconds)."""
        if not self.has_read:
            self._version = None
        if self._version is None:
            read = await self._store.read_table(names.TABLE_ROLLOUTS)
        else:
            read = await self._store.watch(
                names.TABLE_ROLLOUTS, self._version, _WAIT_S
            )
        now = time.monotonic()
        if isinstance(read, Failure):
            return self._handle_failure(read)
        if self._version is not None and read.era != self._era:
            self._version = None
            return 0
        self.apply(read, now, is_whole=self._version is None)
        return _CHANGE_PAUSE_S if read.rows else 0

    def apply(self, read: Rows, now: float, *, is_whole: bool) -> None:
        """Apply rows that were read at ``now`` (monotonic seconds)."""
        if read.now_s is not None:
            self.clock_offset_s = read.now_s - now
        is_restored = self._era is not None and read.era > self._era
        if is_restored:
            self._find_missing(read)
        for row in read.rows:
            self._apply_row(row, is_restored=is_restored)
        self._version = max(self._version or 0, read.version)
        if is_whole:
            self._version = read.version
        self._era = read.era
        self._is_failing = False
        self._book.record_confirmed(now)

    def apply_written(self, state: RolloutState, version: int) -> None:
        """Apply a state that this instance has stored."""
        service = state.order.service
        self.versions_by_service[service] = version
        self.lost_services.discard(service)
        self._book.set_state(service, state)

    def _handle_failure(self, failure: Failure) -> float:
        metrics.TABLE_FAILURES.inc(
            {'table': names.TABLE_ROLLOUTS, 'code': failure.code.value}
        )
        if failure.code is Code.PLATFORM_MISSING:
            self._version = None
            return _CHANGE_PAUSE_S
        if not self._is_failing:
            self._is_failing = True
            _LOG.warning(
                'rollouts not read, no canaries until they are',
                extra={'reason': failure.detail},
            )
        return _FAILURE_PAUSE_S

    def _find_missing(self, read: Rows) -> None:
        """Find rows that a restored copy of the table lacks."""
        present = {row.key for row in read.rows if row.content is not None}
        for service in tuple(self.versions_by_service):
            if service not in present:
                self.versions_by_service.pop(service)
                self.lost_services.add(service)

    def _apply_row(self, row: StoredRow, *, is_restored: bool) -> None:
        known_version = self.versions_by_service.get(row.key, 0)
        if row.version < known_version and not is_restored:
            # Read before this instance's own last write.
            return
        if row.content is None:
            self.versions_by_service.pop(row.key, None)
            return
        self.versions_by_service[row.key] = row.version
        state = read_state(row.key, row.content)
        if isinstance(state, Failure):
            metrics.BAD_ROWS.inc({'table': names.TABLE_ROLLOUTS})
            _LOG.warning(
                'ignoring an invalid state of a rollout',
                extra={'service': row.key, 'reason': state.detail},
            )
            return
        known = self._book.find_or_create(row.key).state
        if known is not None and is_restored and _is_older(state, known):
            self.lost_services.add(row.key)
            return
        self.lost_services.discard(row.key)
        if state != known:
            _log_state(state)
        self._book.set_state(row.key, state)


def _is_older(state: RolloutState, known: RolloutState) -> bool:
    """Return whether a stored state is behind the known one."""
    if state.identity == known.identity:
        return state.phase.rank < known.phase.rank
    return state.started_s < known.started_s


def _log_state(state: RolloutState) -> None:
    _LOG.info(
        'rollout phase',
        extra={
            'service': state.order.service,
            'to': state.order.to_version,
            'phase': state.phase.value,
            'reason': state.reason,
        },
    )
