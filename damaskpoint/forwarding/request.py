"""A caller's request, checked and allowed."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, final

if TYPE_CHECKING:
    from collections.abc import Sequence

    from damaskpoint.catalog.model import ClientAccount, Route
    from damaskpoint.forwarding.terms import RequestTerms


@final
@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A request as it was received; times are monotonic seconds."""

    method: str
    target: str
    headers: Sequence[tuple[str, str]]
    body: bytes
    terms: RequestTerms
    route: Route
    account: ClientAccount | None
    arrived_at: float
    # When the caller first asked, if this is known to be a second try.
    asked_at: float

    @property
    def request_id(self) -> str:
        """Return the caller's id of this request."""
        return self.terms.request_id

    @property
    def ends_at(self) -> float:
        """Return when the caller or the operator wants it ended."""
        limit_s = self.route.timeout_s
        if self.terms.deadline_s is not None:
            limit_s = min(limit_s, self.terms.deadline_s)
        return self.arrived_at + limit_s

    @property
    def starts_by(self) -> float:
        """Return until when the caller waits for the answer to begin."""
        return min(self.ends_at, self.arrived_at + self.route.caller_timeout_s)

    @property
    def due_at(self) -> float:
        """Return when the answer, or its first event, earns full credit."""
        return self.asked_at + self.route.objective_s
