"""The progress of a pool's orders, as its lease's row records it.

It is written with the holder's renewals, so it needs no write of its own and
no former holder can overwrite it.
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
    """How many upstreams of a pool have the state that a version names."""

    model_config = pydantic.ConfigDict(frozen=True)

    pool: str
    # Version of the configuration that the holder's orders follow.
    version: int
    # Highest version that any holder has sent orders for.
    highest_version: int
    upstreams: int
    done: int
    last_failure: str = ''
    holder: str = ''


def build_lease_key(pool: str) -> RowKey:
    """Return the key of a pool's lease row."""
    return RowKey(LEASE_TABLE, f'{LEASE_KEY_PREFIX}{pool}')


def parse_progress(row: Row) -> PoolProgress | None:
    """Return the progress in a lease's row, None if there is none yet."""
    try:
        return PoolProgress.model_validate(row.data.get('note'))
    except pydantic.ValidationError:
        return None
