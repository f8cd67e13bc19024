"""Accepts a configuration by compare-and-set.

A write whose response was lost is retried with the same expected version, so
it takes effect at most once. If the first attempt took effect, the retry
conflicts, and the row lists the identifier of the change. This also holds if
later versions have been accepted since, as long as the row still lists the
change.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final, final

from damaskpoint.config import document
from damaskpoint.config.accepted_row import (
    ACCEPTED_ROW,
    AcceptedRow,
    create_next_row,
    parse_accepted_row,
)
from damaskpoint.errors import Code, Failure, Ran
from damaskpoint.platform.base import Committed, Conflicted, Write

if TYPE_CHECKING:
    from damaskpoint.config.model import Configuration
    from damaskpoint.platform.base import ObjectStore, Table
    from damaskpoint.sheet_tool.backoff import Backoff

_READ_BACK_MISMATCH: Final = (
    'the object store returned other bytes than were stored'
)


@final
@dataclass(frozen=True, slots=True)
class AcceptedState:
    """The accepted configuration as read from the platform."""

    # Version of the table row, for compare-and-set; 0 if it is absent.
    row_version: int = 0
    row: AcceptedRow | None = None
    configuration: Configuration | None = None

    @property
    def version(self) -> int:
        """Return the accepted version; 0 if none has been accepted."""
        return self.row.version if self.row else 0


@final
@dataclass(frozen=True, slots=True)
class Receipt:
    """Confirms that a change was accepted as this version."""

    version: int


@final
@dataclass(frozen=True, slots=True)
class Overtaken:
    """Another change was accepted first, and this one was not."""

    accepted: AcceptedState


@final
class Acceptor:
    """Reads and writes the accepted configuration."""

    def __init__(self, table: Table, object_store: ObjectStore) -> None:
        """Create an acceptor over a platform's table and object store."""
        self._table = table
        self._object_store = object_store

    async def read(self, backoff: Backoff) -> AcceptedState | Failure:
        """Return the accepted configuration; retry while it is unavailable."""
        while True:
            accepted = await self._read_once()
            if not _is_retryable(accepted) or not await backoff.wait(accepted):
                return accepted

    async def accept(
        self,
        base: AcceptedState,
        configuration: Configuration,
        change_id: str,
        backoff: Backoff,
    ) -> Receipt | Overtaken | Failure:
        """Accept a configuration if the base is still the accepted one.

        After a failure with ``Ran.UNKNOWN`` it may have been accepted.
        """
        stored = await self._store(configuration, backoff)
        if stored:
            return stored
        row = create_next_row(
            base.row,
            configuration.digest,
            document.build_object_name(configuration.digest),
            change_id,
        )
        write = Write(
            ACCEPTED_ROW, base.row_version, row.model_dump(mode='json')
        )
        outcome = await self._write(write, backoff)
        if isinstance(outcome, Committed):
            return Receipt(row.version)
        if isinstance(outcome, Failure):
            return outcome
        return await self._resolve_conflict(row, backoff)

    async def _store(
        self, configuration: Configuration, backoff: Backoff
    ) -> Failure | None:
        """Store the object and read it back to verify it for the entries."""
        body = document.pack(configuration)
        name = document.build_object_name(configuration.digest)
        while True:
            failure = await self._store_once(name, body)
            if failure is None or not await backoff.wait(failure):
                return failure

    async def _store_once(self, name: str, body: bytes) -> Failure | None:
        failure = await self._object_store.put(name, body)
        if failure is None:
            found = await self._object_store.get(name)
            if found == body:
                return None
            failure = Failure(Code.CONFIGURATION_CORRUPT, _READ_BACK_MISMATCH)
            if isinstance(found, Failure):
                failure = found
        # An object that no row refers to has no effect.
        return Failure(
            failure.code, failure.detail, Ran.NO, failure.retry_after_s
        )

    async def _write(
        self, write: Write, backoff: Backoff
    ) -> Committed | Conflicted | Failure:
        """Retry a write until its outcome is known or the time is up."""
        may_have_committed = False
        while True:
            outcome = await self._table.transact((write,))
            if not isinstance(outcome, Failure):
                return outcome
            may_have_committed = (
                may_have_committed or outcome.ran is Ran.UNKNOWN
            )
            if not _is_retryable(outcome) or not await backoff.wait(outcome):
                ran = Ran.UNKNOWN if may_have_committed else Ran.NO
                return Failure(outcome.code, outcome.detail, ran)

    async def _resolve_conflict(
        self, row: AcceptedRow, backoff: Backoff
    ) -> Receipt | Overtaken | Failure:
        """Determine whether the conflict is with our own earlier attempt."""
        while True:
            found = await self._read_row()
            if not _is_retryable(found) or not await backoff.wait(found):
                break
        if isinstance(found, Failure):
            return Failure(found.code, found.detail, Ran.UNKNOWN)
        if found.row and found.row.has_change(row.change_id):
            return Receipt(row.version)
        accepted = await self.read(backoff)
        if isinstance(accepted, Failure):
            # The row was read and does not list the change.
            return Failure(Code.PLATFORM_CONFLICT, accepted.detail)
        return Overtaken(accepted)

    async def _read_once(self) -> AcceptedState | Failure:
        found = await self._read_row()
        if isinstance(found, Failure) or found.row is None:
            return found
        return await self._fetch_configuration(found.row_version, found.row)

    async def _read_row(self) -> AcceptedState | Failure:
        rows = await self._table.read((ACCEPTED_ROW,))
        if isinstance(rows, Failure):
            return rows
        table_row = rows[0]
        if table_row is None:
            return AcceptedState()
        row = parse_accepted_row(table_row)
        if isinstance(row, Failure):
            return row
        return AcceptedState(table_row.version, row)

    async def _fetch_configuration(
        self, row_version: int, row: AcceptedRow
    ) -> AcceptedState | Failure:
        body = await self._object_store.get(row.object)
        if isinstance(body, Failure):
            return body
        configuration = document.unpack(body, row.version, row.digest)
        if isinstance(configuration, Failure):
            return configuration
        return AcceptedState(row_version, row, configuration)


def _is_retryable(outcome: object) -> bool:
    return (
        isinstance(outcome, Failure)
        and outcome.code is Code.PLATFORM_UNAVAILABLE
    )
