"""What the system needs of the platform, as abstract base classes.

The adapters in ``platform.http_*`` speak the platform's protocol; tests may
put others in their place. Every method returns a ``Failure`` instead of its
answer when the platform does not give one; a write that ends in
``PLATFORM_UNAVAILABLE`` may or may not have taken effect (``Ran.UNKNOWN``).
"""

from __future__ import annotations

import abc
import enum
from dataclasses import dataclass
from typing import TYPE_CHECKING, final

if TYPE_CHECKING:
    from collections.abc import Sequence

    from damaskpoint.errors import Failure


@final
@dataclass(frozen=True, slots=True)
class RowKey:
    """Names one row of one table."""

    table: str
    key: str


@final
@dataclass(frozen=True, slots=True)
class Row:
    """A row as it was read; its version goes up with each write."""

    row_key: RowKey
    version: int
    data: dict[str, object]


@final
@dataclass(frozen=True, slots=True)
class Write:
    """One conditional write.

    ``expected_version`` 0 means that the row must be absent; None means no
    condition. ``data`` None deletes the row.
    """

    row_key: RowKey
    expected_version: int | None
    data: dict[str, object] | None


@final
@dataclass(frozen=True, slots=True)
class Committed:
    """All writes of a transaction took effect, with these versions."""

    versions: tuple[int, ...]


@final
@dataclass(frozen=True, slots=True)
class Conflicted:
    """No write took effect; the rows at these positions did not match."""

    positions: tuple[int, ...]


class Table(abc.ABC):
    """The platform's transactional table."""

    @abc.abstractmethod
    async def read(
        self, row_keys: Sequence[RowKey]
    ) -> tuple[Row | None, ...] | Failure:
        """Return the rows in order, None for each that is absent."""

    @abc.abstractmethod
    async def scan(
        self, table: str, prefix: str, after: str, limit: int
    ) -> tuple[Row, ...] | Failure:
        """Return rows by key order, behind ``after``, with the prefix."""

    @abc.abstractmethod
    async def transact(
        self, writes: Sequence[Write]
    ) -> Committed | Conflicted | Failure:
        """Apply all writes or none."""


class ObjectStore(abc.ABC):
    """The platform's object store."""

    @abc.abstractmethod
    async def put(self, name: str, body: bytes) -> Failure | None:
        """Store an object, whole or not at all."""

    @abc.abstractmethod
    async def get(self, name: str) -> bytes | Failure:
        """Return an object; ``PLATFORM_MISSING`` if there is none."""


@final
class Presence(enum.Enum):
    """How the platform sees a machine of its list."""

    LIVE = 'live'
    LEAVING = 'leaving'


@final
@dataclass(frozen=True, slots=True)
class ListedInstance:
    """One line of the platform's instance list.

    The system's own instances have the pool ``entry``; all other lines are
    upstreams. The incarnation goes up each time that the machine restarts.
    """

    name: str
    pool: str
    zone: str
    # IP number and TCP port of the callers' side.
    host: str
    port: int
    # Port of the peers' side; 0 for an upstream.
    peer_port: int
    incarnation: int
    presence: Presence


class InstanceList(abc.ABC):
    """The platform's lagging list of live and leaving instances."""

    @abc.abstractmethod
    async def fetch(self) -> tuple[ListedInstance, ...] | Failure:
        """Return the list as the platform shows it now."""
