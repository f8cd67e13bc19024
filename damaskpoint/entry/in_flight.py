"""Registry of the requests that have no final answer yet."""

from __future__ import annotations

import itertools
from dataclasses import dataclass
from typing import TYPE_CHECKING, final

from damaskpoint.entry import metrics
from damaskpoint.observe.state import StateSource

if TYPE_CHECKING:
    from collections.abc import Callable

_MAX_DUMPED_REQUESTS = 64


@final
@dataclass(frozen=True, slots=True)
class RequestRecord:
    """A request as the state dump shows it."""

    request_id: str
    account: str
    target: str
    # Monotonic times in seconds.
    arrived_at: float
    deadline: float
    # Returns the step that the request has reached.
    current_step: Callable[[], str]


@final
class InFlightRequests(StateSource):
    """Registers requests in flight; a shutdown waits until there are none."""

    def __init__(self) -> None:
        """Start without requests."""
        self._numbers = itertools.count(1)
        self._records_by_number: dict[int, RequestRecord] = {}

    @property
    def count(self) -> int:
        """Return the number of requests in flight."""
        return len(self._records_by_number)

    def add(self, record: RequestRecord) -> int:
        """Register a request, and return the number by which to remove it."""
        number = next(self._numbers)
        self._records_by_number[number] = record
        metrics.IN_FLIGHT.set({}, self.count)
        return number

    def remove(self, number: int) -> None:
        """Remove a request."""
        self._records_by_number.pop(number, None)
        metrics.IN_FLIGHT.set({}, self.count)

    def dump_state(self, now: float) -> dict[str, object]:
        """Return the oldest requests, and the total number of requests."""
        dumped = []
        for record in itertools.islice(
            self._records_by_number.values(), _MAX_DUMPED_REQUESTS
        ):
            dumped.append(
                {
                    'request_id': record.request_id,
                    'account': record.account,
                    'target': record.target,
                    'place': record.current_step(),
                    'age_s': now - record.arrived_at,
                    'left_s': record.deadline - now,
                }
            )
        return {'count': self.count, 'oldest': dumped}
