"""One send of a request to a runner, as evidence on the runner's version."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, final

from damaskpoint.errors import Code, Failure, Ran
from damaskpoint.rollout.model import Outcome

if TYPE_CHECKING:
    from damaskpoint.catalog.model import Route, Runner
    from damaskpoint.rollout.gate import VersionGate

# Failures of connections, which a crash of the runner causes as well.
_BROKEN_CODES: Final = frozenset((Code.UPSTREAM_BROKEN, Code.UPSTREAM_TIMEOUT))
# A request that ends this close to its deadline was cut off by it (seconds).
_DEADLINE_MARGIN_S: Final = 0.02


@final
class Visit:
    """A send to a runner; times are monotonic seconds."""

    def __init__(
        self, gate: VersionGate, runner: Runner, route: Route, began_at: float
    ) -> None:
        """Count the request as in flight."""
        self._gate = gate
        self._runner = runner
        self._route = route
        self._began_at = began_at
        self._is_failed = False
        self._is_recorded = False
        self._has_missed_deadline = False
        gate.work.begin(
            runner.service, runner.version, is_repeatable=route.is_repeatable
        )

    def record_begun(self, now: float) -> None:
        """Record a stream's first event, or another answer's last byte."""
        self._record(Outcome.GOOD, now)

    def record_failed_status(self) -> None:
        """Record that the answer has a status of 500 or more."""
        self._is_failed = True

    def end(self, now: float, deadline: float) -> None:
        """Count the request as no longer in flight.

        Without a result, the request was cut off, at its deadline or by its
        caller.
        """
        self._has_missed_deadline = now >= deadline - _DEADLINE_MARGIN_S
        if self._has_missed_deadline and not self._is_recorded:
            self._record(Outcome.BROKEN, now)
        self._gate.work.end(
            self._runner.service,
            self._runner.version,
            now - self._began_at,
            now,
            is_repeatable=self._route.is_repeatable,
        )

    def record_answer(self, failure: Failure | None, now: float) -> None:
        """Record the result, after the end."""
        if self._is_failed:
            self._record(Outcome.FAILED, now)
            return
        outcome = classify(failure) if failure else None
        if outcome is not None and not self._has_missed_deadline:
            self._record(outcome, now)

    def _record(self, outcome: Outcome, now: float) -> None:
        self._is_recorded = True
        self._gate.record(
            self._runner, self._route.name, outcome, now - self._began_at, now
        )


def classify(failure: Failure) -> Outcome | None:
    """Return what a failure tells of the runner; None if nothing."""
    if failure.code is Code.RESULT_LOST:
        return None
    if failure.ran is Ran.NO or failure.code is Code.UPSTREAM_UNREACHABLE:
        return Outcome.NOT_RUN
    if failure.code in _BROKEN_CODES:
        return Outcome.BROKEN
    return Outcome.FAILED
