"""Applies what runners say about themselves in the headers of answers."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Final, final

from damaskpoint.balancing import metrics

if TYPE_CHECKING:
    from damaskpoint.balancing.capacities import RunnerCapacities
    from damaskpoint.balancing.health import RunnerHealth
    from damaskpoint.catalog.model import Runner
    from damaskpoint.catalog.runners import RunnerTable
    from damaskpoint.forwarding.metadata import AnswerMetadata

_LOG: Final = logging.getLogger(__name__)


@final
class RunnerSignals:
    """Passes what runners say to the state that is kept of them."""

    def __init__(
        self,
        runners: RunnerTable,
        health: RunnerHealth,
        capacities: RunnerCapacities,
    ) -> None:
        """Apply signals to this table, this health and these figures."""
        self._runners = runners
        self._health = health
        self._capacities = capacities
        self._unpublished: list[tuple[str, int]] = []

    def record(
        self, runner: Runner, metadata: AnswerMetadata, now: float
    ) -> None:
        """Apply the signals in an answer; ``now`` is monotonic seconds."""
        if metadata.load is not None:
            self._capacities.record_report(runner, metadata.load, now)
            metrics.REPORTS.inc({'service': runner.service})
        if metadata.cold_left_s is not None:
            self._runners.record_cold(runner.name, metadata.cold_left_s, now)
        if metadata.pause_s is not None:
            self._health.record_pause(runner.name, metadata.pause_s, now)
            _LOG.info(
                'runner asked for a pause',
                extra={'runner': runner.name, 'pause_s': metadata.pause_s},
            )
        if not metadata.is_leaving:
            return
        if self._runners.mark_leaving(runner.name, runner.started_ms, now):
            self._unpublished.append((runner.name, runner.started_ms))
            _LOG.info(
                'runner announced its exit', extra={'runner': runner.name}
            )

    def take_unpublished(self) -> list[tuple[str, int]]:
        """Return name and start of runners that peers must be told of.

        Each announced exit is returned once.
        """
        unpublished = self._unpublished
        self._unpublished = []
        return unpublished
