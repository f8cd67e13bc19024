"""Admission control without limits, as the baseline of measurements."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING, final

from damaskpoint.admission.base import Admission, AdmissionPass

if TYPE_CHECKING:
    from collections.abc import Callable

    from damaskpoint.admission.base import AdmissionRequest
    from damaskpoint.errors import Failure


def create_open_admission(clock: Callable[[], float]) -> Admission:
    """Return an ``Admission`` that admits every request."""
    return _OpenAdmission(clock)


@final
class _OpenAdmission(Admission):
    """Admits every request at once."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._numbers = itertools.count(1)

    async def admit(self, request: AdmissionRequest) -> AdmissionPass | Failure:
        """Return a pass without waiting."""
        return AdmissionPass(
            next(self._numbers),
            request.account,
            request.target,
            self._clock(),
        )

    def release(self, admission_pass: AdmissionPass, is_complete: bool) -> None:
        """Do nothing: passes hold no resources."""
