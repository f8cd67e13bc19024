"""The requests that have no final answer yet."""

from __future__ import annotations

import itertools
from dataclasses import dataclass
from typing import TYPE_CHECKING, final

from damaskpoint.entry import metrics
from damaskpoint.observe.state import StateSource

if TYPE_CHECKING:
    from collections.abc import Callable

_SHOWN = 64


@final
@dataclass(frozen=True, slots=True)
class RequestRecord:
    """What the dump shows of a request."""

    request_id: str
    account: str
    target: str
    # Monotonic times in seconds.
    arrived_at: float
    deadline: float
    # Tells where the request is now.
    place: Callable[[], str]


@final
class InFlightRequests(StateSource):
    """Counts requests in and out; a shutdown waits for the last."""

    def __init__(self) -> None:
        """Start with no request."""
        self._numbers = itertools.count(1)
        self._records_by_number: dict[int, RequestRecord] = {}

    @property
    def count(self) -> int:
        """Return the number of requests."""
        return len(self._records_by_number)

    def add(self, record: RequestRecord) -> int:
        """Count a request in and return the number to count it out."""
        number = next(self._numbers)
        self._records_by_number[number] = record
        metrics.IN_FLIGHT.set({}, self.count)
        return number

    def remove(self, number: int) -> None:
        """Count a request out."""
        self._records_by_number.pop(number, None)
        metrics.IN_FLIGHT.set({}, self.count)

    def dump_state(self, now: float) -> dict[str, object]:
        """Return the oldest requests, and how many there are."""
        shown = []
        for record in itertools.islice(
            self._records_by_number.values(), _SHOWN
        ):
            shown.append(
                {
                    'request_id': record.request_id,
                    'account': record.account,
                    'target': record.target,
                    'place': record.place(),
                    'age_s': now - record.arrived_at,
                    'left_s': record.deadline - now,
                }
            )
        return {'count': self.count, 'oldest': shown}
