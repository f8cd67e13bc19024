"""How far the orders of a pool have come, as its lease's row tells it.

The holder's renewals carry it, so that it costs no write of its own and no
former holder can overwrite it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, final

import pydantic

from damaskpoint.platform.base import RowKey

if TYPE_CHECKING:
    from damaskpoint.platform.base import Row

LEASE_TABLE: Final = 'leases'
LEASE_KEY_PREFIX: Final = 'reconcile/'


@final
class PoolProgress(pydantic.BaseModel):
    """How many upstreams of a pool have what a version asks of them."""

    model_config = pydantic.ConfigDict(frozen=True)

    pool: str
    # Version of the configuration that the orders follow.
    version: int
    # Highest version that any holder has given orders for.
    highest_version: int
    upstreams: int
    done: int
    last_failure: str = ''
    holder: str = ''


def build_lease_key(pool: str) -> RowKey:
    """Return the key of the row of a pool's lease."""
    return RowKey(LEASE_TABLE, f'{LEASE_KEY_PREFIX}{pool}')


def parse_progress(row: Row) -> PoolProgress | None:
    """Return what the row of a lease tells, None if it tells nothing yet."""
    try:
        return PoolProgress.model_validate(row.data.get('note'))
    except pydantic.ValidationError:
        return None
