"""The table's row that names the accepted configuration."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, final

import pydantic

from damaskpoint.config.versions import VersionClaim
from damaskpoint.errors import Code, Failure
from damaskpoint.platform.base import RowKey

if TYPE_CHECKING:
    from damaskpoint.platform.base import Row

ACCEPTED_ROW: Final = RowKey('config', 'current')
# Changes that the row remembers, to settle a write whose answer was lost.
MAX_REMEMBERED_CHANGES: Final = 64


@final
class AcceptedRow(pydantic.BaseModel):
    """Which configuration is in force, and the changes that led to it."""

    model_config = pydantic.ConfigDict(frozen=True)

    version: int = pydantic.Field(gt=0)
    digest: str
    object: str
    change_id: str
    # Identifiers of the last changes, the latest first.
    recent_change_ids: tuple[str, ...] = ()

    @property
    def claim(self) -> VersionClaim:
        """Return the version and digest that the row names."""
        return VersionClaim(self.version, self.digest)

    def has_change(self, change_id: str) -> bool:
        """Return whether a change led to this row, lately or at last."""
        return change_id == self.change_id or change_id in (
            self.recent_change_ids
        )


def parse_accepted_row(row: Row) -> AcceptedRow | Failure:
    """Return the validated content of the row."""
    try:
        return AcceptedRow.model_validate(row.data)
    except pydantic.ValidationError as error:
        return Failure(Code.CONFIGURATION_CORRUPT, str(error))


def create_next_row(
    previous: AcceptedRow | None, digest: str, object_name: str, change_id: str
) -> AcceptedRow:
    """Return the row of the next version."""
    recent: tuple[str, ...] = ()
    version = 1
    if previous:
        version = previous.version + 1
        recent = (previous.change_id, *previous.recent_change_ids)
    return AcceptedRow(
        version=version,
        digest=digest,
        object=object_name,
        change_id=change_id,
        recent_change_ids=recent[:MAX_REMEMBERED_CHANGES],
    )
