"""Makes a configuration the accepted one, by compare-and-set.

A write whose answer was lost is made again with the same expected version.
It takes effect once at most: if the first did, the second conflicts and the
row names the change. That settles the matter also when later versions have
overtaken it, as long as the row remembers the change.
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
    from damaskpoint.sheet_tool.patience import Patience

_NOT_FOUND: Final = 'the object store does not give back what was stored'


@final
@dataclass(frozen=True, slots=True)
class Accepted:
    """The accepted configuration as the platform shows it."""

    # Version of the table's row, for compare-and-set; 0 if it is absent.
    row_version: int = 0
    row: AcceptedRow | None = None
    configuration: Configuration | None = None

    @property
    def version(self) -> int:
        """Return the accepted version, 0 before the first."""
        return self.row.version if self.row else 0


@final
@dataclass(frozen=True, slots=True)
class Receipt:
    """The change was accepted as this version."""

    version: int


@final
@dataclass(frozen=True, slots=True)
class Overtaken:
    """Another change was accepted first; this one was not."""

    accepted: Accepted


@final
class Acceptor:
    """Reads and writes the accepted configuration."""

    def __init__(self, table: Table, object_store: ObjectStore) -> None:
        """Keep the platform's services."""
        self._table = table
        self._object_store = object_store

    async def read(self, patience: Patience) -> Accepted | Failure:
        """Return the accepted configuration, asking until it is known."""
        while True:
            accepted = await self._read_once()
            if not _may_repeat(accepted) or not await patience.wait(accepted):
                return accepted

    async def accept(
        self,
        base: Accepted,
        configuration: Configuration,
        change_id: str,
        patience: Patience,
    ) -> Receipt | Overtaken | Failure:
        """Accept a configuration if the base is still the accepted one.

        A failure with ``Ran.UNKNOWN`` may or may not have been accepted.
        """
        stored = await self._store(configuration, patience)
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
        outcome = await self._write(write, patience)
        if isinstance(outcome, Committed):
            return Receipt(row.version)
        if isinstance(outcome, Failure):
            return outcome
        return await self._settle(row, patience)

    async def _store(
        self, configuration: Configuration, patience: Patience
    ) -> Failure | None:
        """Store the object and read it back: entries must find it whole."""
        body = document.pack(configuration)
        name = document.build_object_name(configuration.digest)
        while True:
            failure = await self._store_once(name, body)
            if failure is None or not await patience.wait(failure):
                return failure

    async def _store_once(self, name: str, body: bytes) -> Failure | None:
        failure = await self._object_store.put(name, body)
        if failure is None:
            found = await self._object_store.get(name)
            if found == body:
                return None
            failure = Failure(Code.CONFIGURATION_CORRUPT, _NOT_FOUND)
            if isinstance(found, Failure):
                failure = found
        # Without the row, an object alone changes nothing.
        return Failure(
            failure.code, failure.detail, Ran.NO, failure.retry_after_s
        )

    async def _write(
        self, write: Write, patience: Patience
    ) -> Committed | Conflicted | Failure:
        """Write until the platform says whether it took effect."""
        is_doubtful = False
        while True:
            outcome = await self._table.transact((write,))
            if not isinstance(outcome, Failure):
                return outcome
            is_doubtful = is_doubtful or outcome.ran is Ran.UNKNOWN
            if not _may_repeat(outcome) or not await patience.wait(outcome):
                ran = Ran.UNKNOWN if is_doubtful else Ran.NO
                return Failure(outcome.code, outcome.detail, ran)

    async def _settle(
        self, row: AcceptedRow, patience: Patience
    ) -> Receipt | Overtaken | Failure:
        """Tell our own earlier write from that of another operator."""
        while True:
            found = await self._read_row()
            if not _may_repeat(found) or not await patience.wait(found):
                break
        if isinstance(found, Failure):
            return Failure(found.code, found.detail, Ran.UNKNOWN)
        if found.row and found.row.has_change(row.change_id):
            return Receipt(row.version)
        accepted = await self.read(patience)
        if isinstance(accepted, Failure):
            # The row is known to lack the change.
            return Failure(Code.PLATFORM_CONFLICT, accepted.detail)
        return Overtaken(accepted)

    async def _read_once(self) -> Accepted | Failure:
        found = await self._read_row()
        if isinstance(found, Failure) or found.row is None:
            return found
        return await self._load(found.row_version, found.row)

    async def _read_row(self) -> Accepted | Failure:
        rows = await self._table.read((ACCEPTED_ROW,))
        if isinstance(rows, Failure):
            return rows
        table_row = rows[0]
        if table_row is None:
            return Accepted()
        row = parse_accepted_row(table_row)
        if isinstance(row, Failure):
            return row
        return Accepted(table_row.version, row)

    async def _load(
        self, row_version: int, row: AcceptedRow
    ) -> Accepted | Failure:
        body = await self._object_store.get(row.object)
        if isinstance(body, Failure):
            return body
        configuration = document.unpack(body, row.version, row.digest)
        if isinstance(configuration, Failure):
            return configuration
        return Accepted(row_version, row, configuration)


def _may_repeat(answer: object) -> bool:
    return (
        isinstance(answer, Failure) and answer.code is Code.PLATFORM_UNAVAILABLE
    )
