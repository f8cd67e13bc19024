"""What the request path asks of admission."""

from __future__ import annotations

import abc
from dataclasses import dataclass
from typing import TYPE_CHECKING, final

if TYPE_CHECKING:
    from damaskpoint.errors import Failure


@final
@dataclass(frozen=True, slots=True)
class AdmissionRequest:
    """A request of a known client account that asks to start."""

    request_id: str
    account: str
    # Name of the pipeline, or of the pool for a plain service.
    target: str
    # Monotonic times in seconds.
    arrived_at: float
    deadline: float


@final
@dataclass(frozen=True, slots=True)
class AdmissionPass:
    """The right to run one request."""

    number: int
    account: str
    target: str
    # Monotonic time in seconds when the request was let in.
    admitted_at: float


class Admission(abc.ABC):
    """Lets requests in by client account, fairly, or refuses them."""

    @abc.abstractmethod
    async def admit(self, request: AdmissionRequest) -> AdmissionPass | Failure:
        """Return a pass, after a bounded and fair wait, or a failure.

        Failures, each at once when it is certain and with a time to come
        back: ``ACCOUNT_LIMIT``, ``QUEUE_FULL``, ``DEADLINE_TOO_SHORT``.
        """

    @abc.abstractmethod
    def release(self, admission_pass: AdmissionPass, is_complete: bool) -> None:
        """Give a pass back, exactly once; ``is_complete`` if it was served."""
