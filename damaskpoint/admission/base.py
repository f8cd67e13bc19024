"""The interface of admission control to the request path."""

from __future__ import annotations

import abc
from dataclasses import dataclass
from typing import TYPE_CHECKING, final

if TYPE_CHECKING:
    from damaskpoint.errors import Failure


@final
@dataclass(frozen=True, slots=True)
class AdmissionRequest:
    """A request of an authenticated client account, to be admitted."""

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
    """Permission to run one request."""

    number: int
    account: str
    target: str
    # Monotonic time in seconds at which the request was admitted.
    admitted_at: float


class Admission(abc.ABC):
    """Admits or refuses requests, with fairness between client accounts."""

    @abc.abstractmethod
    async def admit(self, request: AdmissionRequest) -> AdmissionPass | Failure:
        """Return a pass, after a bounded and fair wait, or a failure.

        The failures are ``ACCOUNT_LIMIT``, ``QUEUE_FULL`` and
        ``DEADLINE_TOO_SHORT``. Each is returned as soon as it is certain and
        carries a retry delay.
        """

    @abc.abstractmethod
    def release(self, admission_pass: AdmissionPass, is_complete: bool) -> None:
        """Release a pass, exactly once.

        ``is_complete`` is true if the request was served in full.
        """
