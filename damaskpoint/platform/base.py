"""The services that the system needs from the platform, as abstract classes.

The adapters in ``platform.store_*`` implement them over the platform's
protocol; tests replace them by implementations in memory. Every method returns
a ``Failure`` if the platform does not answer; a write that ends in
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
    """Identifies a row by its table and key."""

    table: str
    key: str


@final
@dataclass(frozen=True, slots=True)
class Row:
    """A row as it was read; its version increases with each write."""

    row_key: RowKey
    version: int
    data: dict[str, object]


@final
@dataclass(frozen=True, slots=True)
class Write:
    """A conditional write of one row.

    An ``expected_version`` of 0 requires that the row is absent; None sets no
    condition. ``data`` of None deletes the row.
    """

    row_key: RowKey
    expected_version: int | None
    data: dict[str, object] | None


@final
@dataclass(frozen=True, slots=True)
class Committed:
    """The transaction took effect; ``versions`` are in order of its writes."""

    versions: tuple[int, ...]


@final
@dataclass(frozen=True, slots=True)
class Conflicted:
    """No write took effect; those at ``positions`` failed their condition."""

    positions: tuple[int, ...]


class Table(abc.ABC):
    """The platform's transactional table."""

    @abc.abstractmethod
    async def read(
        self, row_keys: Sequence[RowKey]
    ) -> tuple[Row | None, ...] | Failure:
        """Return the rows in the order of the keys; None if one is absent."""

    @abc.abstractmethod
    async def scan(
        self, table: str, prefix: str, after: str, limit: int
    ) -> tuple[Row, ...] | Failure:
        """Return up to ``limit`` rows with the prefix and keys past ``after``.

        The rows are in key order.
        """

    @abc.abstractmethod
    async def transact(
        self, writes: Sequence[Write]
    ) -> Committed | Conflicted | Failure:
        """Apply all writes or none."""


class ObjectStore(abc.ABC):
    """The platform's object store."""

    @abc.abstractmethod
    async def put(self, name: str, body: bytes) -> Failure | None:
        """Store an object atomically."""

    @abc.abstractmethod
    async def get(self, name: str) -> bytes | Failure:
        """Return an object; ``PLATFORM_MISSING`` if there is none."""


@final
class Presence(enum.Enum):
    """State of a listed machine as the platform sees it."""

    LIVE = 'live'
    LEAVING = 'leaving'


@final
@dataclass(frozen=True, slots=True)
class ListedInstance:
    """One entry of the platform's instance list.

    The system's own instances have the pool ``entry``; all others are
    upstreams. The incarnation increases each time that the machine restarts.
    """

    name: str
    pool: str
    zone: str
    # IP address and TCP port for callers.
    host: str
    port: int
    # Port for peers; 0 for an upstream.
    peer_port: int
    incarnation: int
    presence: Presence
    # Pieces per second that its machine can batch; 0 if unknown.
    batch_rate: int = 0


class InstanceList(abc.ABC):
    """The platform's list of live and leaving instances, which may lag."""

    @abc.abstractmethod
    async def fetch(self) -> tuple[ListedInstance, ...] | Failure:
        """Return the platform's current list."""
