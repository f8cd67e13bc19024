"""The validated and authorized request of a caller."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, final

if TYPE_CHECKING:
    from collections.abc import Sequence

    from damaskpoint.catalog.model import ClientAccount, Route
    from damaskpoint.forwarding.metadata import RequestMetadata


@final
@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A request as it was received; times are monotonic seconds."""

    method: str
    target: str
    headers: Sequence[tuple[str, str]]
    body: bytes
    metadata: RequestMetadata
    route: Route
    account: ClientAccount | None
    arrived_at: float
    # Estimated arrival of the first attempt if this is a retry of the caller.
    first_sent_at: float

    @property
    def request_id(self) -> str:
        """Return the id that the caller gave this request."""
        return self.metadata.request_id

    @property
    def account_name(self) -> str:
        """Return the name of the client account, empty without one."""
        return '' if self.account is None else self.account.name

    @property
    def ends_at(self) -> float:
        """Return the earlier of the caller's deadline and the route's limit."""
        limit_s = self.route.timeout_s
        if self.metadata.deadline_s is not None:
            limit_s = min(limit_s, self.metadata.deadline_s)
        return self.arrived_at + limit_s

    @property
    def starts_by(self) -> float:
        """Return the deadline for the start of the answer."""
        return min(self.ends_at, self.arrived_at + self.route.caller_timeout_s)

    @property
    def due_at(self) -> float:
        """Return by when the answer or first event earns full credit."""
        return self.first_sent_at + self.route.objective_s
