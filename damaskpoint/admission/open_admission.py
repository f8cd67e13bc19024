"""Admission that lets every request in, for a measurement's baseline."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING, final

from damaskpoint.admission.base import Admission, AdmissionPass

if TYPE_CHECKING:
    from collections.abc import Callable

    from damaskpoint.admission.base import AdmissionRequest
    from damaskpoint.errors import Failure


def create_open_admission(clock: Callable[[], float]) -> Admission:
    """Return an admission without limits."""
    return _OpenAdmission(clock)


@final
class _OpenAdmission(Admission):
    """Numbers the requests and nothing else."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._numbers = itertools.count(1)

    async def admit(self, request: AdmissionRequest) -> AdmissionPass | Failure:
        """Return a pass at once."""
        return AdmissionPass(
            next(self._numbers),
            request.account,
            request.target,
            self._clock(),
        )

    def release(self, admission_pass: AdmissionPass, is_complete: bool) -> None:
        """Do nothing: there is nothing to give back."""
