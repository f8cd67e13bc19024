"""The row of the platform's table that names the accepted configuration."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, final

import pydantic

from damaskpoint.config.versions import VersionClaim
from damaskpoint.errors import Code, Failure
from damaskpoint.platform.base import RowKey

if TYPE_CHECKING:
    from damaskpoint.platform.base import Row

ACCEPTED_ROW: Final = RowKey('config', 'current')
# Number of earlier changes whose identifiers the row retains. They show whether
# a write whose response was lost took effect.
MAX_RECENT_CHANGES: Final = 64


@final
class AcceptedRow(pydantic.BaseModel):
    """The accepted version and the changes that led to it."""

    model_config = pydantic.ConfigDict(frozen=True)

    version: int = pydantic.Field(gt=0)
    digest: str
    object: str
    change_id: str
    # Identifiers of the preceding changes, newest first.
    recent_change_ids: tuple[str, ...] = ()

    @property
    def claim(self) -> VersionClaim:
        """Return the version and digest that the row names."""
        return VersionClaim(self.version, self.digest)

    def has_change(self, change_id: str) -> bool:
        """Return whether the change is the last or a recent one."""
        return change_id == self.change_id or change_id in (
            self.recent_change_ids
        )


def parse_accepted_row(row: Row) -> AcceptedRow | Failure:
    """Return the validated content of the row, else CONFIGURATION_CORRUPT."""
    try:
        return AcceptedRow.model_validate(row.data)
    except pydantic.ValidationError as error:
        return Failure(Code.CONFIGURATION_CORRUPT, str(error))


def create_next_row(
    previous: AcceptedRow | None, digest: str, object_name: str, change_id: str
) -> AcceptedRow:
    """Return the row that succeeds ``previous``; None starts at version 1."""
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
        recent_change_ids=recent[:MAX_RECENT_CHANGES],
    )
