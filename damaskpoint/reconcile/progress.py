"""The table's rows that tell how far the orders of a pool have come."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, final

import pydantic

from damaskpoint.platform.base import RowKey

if TYPE_CHECKING:
    from damaskpoint.platform.base import Row

PROGRESS_TABLE: Final = 'reconcile-progress'


@final
class PoolProgress(pydantic.BaseModel):
    """How many upstreams of a pool have what a version asks of them."""

    model_config = pydantic.ConfigDict(frozen=True)

    pool: str
    # Version of the configuration that the orders follow.
    version: int
    upstreams: int
    done: int
    last_failure: str = ''
    holder: str = ''


def locate_progress(pool: str) -> RowKey:
    """Return the key of a pool's row."""
    return RowKey(PROGRESS_TABLE, pool)


def read_progress(row: Row) -> PoolProgress | None:
    """Return the validated row, None if it is malformed."""
    try:
        return PoolProgress.model_validate(row.data)
    except pydantic.ValidationError:
        return None
