"""The newest report of each runner on its load, from answers or from peers."""

from __future__ import annotations

import enum
import math
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final, final

from damaskpoint.membership.facts import CapacityFact

if TYPE_CHECKING:
    from collections.abc import Iterator

    from damaskpoint.catalog.model import Runner
    from damaskpoint.forwarding.metadata import LoadReport

# Reports are kept this long (seconds). Their figures are discounted before.
_KEEP_S: Final = 3.0
# Runners of a service tell their load if one has within this time (seconds).
_INFORMED_S: Final = 30.0
# Time constant in which a machine is assumed to return to its usual pace
# (seconds): slow episodes are about this long.
_PACE_MEMORY_S: Final = 0.6
# Bounds of a reported pace and, as a factor on the registered slots, of
# reported slots: a runner may report nonsense.
_MIN_PACE: Final = 0.5
_MAX_PACE: Final = 10.0
_MAX_SLOTS_FACTOR: Final = 4
_PERCENT: Final = 100
# Peers are told of reports that are at most this old (seconds), of runners
# with at least this pace before others.
_NEWS_PACE: Final = 1.3
_NEWS_AGE_S: Final = 0.5


@final
class Source(enum.Enum):
    """Where a figure comes from."""

    REPORT = 'report'
    PEER = 'peer'


@final
@dataclass(frozen=True, slots=True)
class RunnerReport:
    """A runner's report, with this instance's requests there at that time."""

    # Requests that run or wait, of all callers.
    busy: int
    slots: int
    # How long work takes on the machine, 1 is usual.
    pace: float
    measured_at: float
    own_in_flight: int
    source: Source

    def discount_pace(self, now: float) -> float:
        """Return the pace now; it returns to 1 with the age of the report."""
        if self.pace == 1:
            return 1
        left = math.exp((self.measured_at - now) / _PACE_MEMORY_S)
        return 1 + (self.pace - 1) * left


@final
class ReportTable:
    """The newest report by runner; times are monotonic seconds."""

    def __init__(self) -> None:
        """Start without reports."""
        self._reports_by_runner: dict[str, RunnerReport] = {}
        self._reported_at_by_service: dict[str, float] = {}

    # Commands.

    def record(
        self, runner: Runner, report: LoadReport, own_in_flight: int, now: float
    ) -> None:
        """Record the report in an answer that was received now."""
        slots = min(report.slots, runner.slots * _MAX_SLOTS_FACTOR)
        percent = _PERCENT if report.percent is None else report.percent
        self._reported_at_by_service[runner.service] = now
        self._reports_by_runner[runner.name] = RunnerReport(
            busy=report.running + report.waiting,
            slots=slots or runner.slots,
            pace=min(_MAX_PACE, max(_MIN_PACE, percent / _PERCENT)),
            measured_at=now,
            own_in_flight=own_in_flight,
            source=Source.REPORT,
        )

    def apply_fact(
        self, runner: Runner, fact: CapacityFact, own_in_flight: int
    ) -> None:
        """Apply a peer's report unless a newer one is known."""
        known = self._reports_by_runner.get(runner.name)
        if known is not None and known.measured_at >= fact.measured_at:
            return
        reported_at = self._reported_at_by_service.get(
            runner.service, fact.measured_at
        )
        self._reported_at_by_service[runner.service] = max(
            reported_at, fact.measured_at
        )
        self._reports_by_runner[runner.name] = RunnerReport(
            busy=fact.busy,
            slots=min(fact.slots, runner.slots * _MAX_SLOTS_FACTOR)
            or runner.slots,
            pace=min(_MAX_PACE, max(_MIN_PACE, fact.pace)),
            measured_at=fact.measured_at,
            own_in_flight=own_in_flight,
            source=Source.PEER,
        )

    def expire(self, now: float) -> None:
        """Drop reports that are too old to say anything."""
        for name, report in tuple(self._reports_by_runner.items()):
            if now - report.measured_at > _KEEP_S:
                self._reports_by_runner.pop(name)

    # Queries.

    def find(self, runner: str) -> RunnerReport | None:
        """Return the newest report of a runner, or None."""
        return self._reports_by_runner.get(runner)

    def is_reporting(self, service: str, now: float) -> bool:
        """Return whether runners of a service tell their load."""
        reported_at = self._reported_at_by_service.get(service)
        return reported_at is not None and now - reported_at <= _INFORMED_S

    def list_news(self, now: float, limit: int) -> list[CapacityFact]:
        """Return the reports that peers should know, slow runners first."""
        news = []
        for name, report in self._reports_by_runner.items():
            if now - report.measured_at <= _NEWS_AGE_S:
                news.append(_create_fact(name, report))
        news.sort(key=_rank, reverse=True)
        return news[:limit]

    def iterate(self) -> Iterator[tuple[str, RunnerReport]]:
        """Yield each runner's name with its newest report."""
        yield from self._reports_by_runner.items()


def _create_fact(name: str, report: RunnerReport) -> CapacityFact:
    return CapacityFact(
        name, report.busy, report.slots, report.pace, report.measured_at
    )


def _rank(fact: CapacityFact) -> tuple[bool, float]:
    return (fact.pace >= _NEWS_PACE, fact.measured_at)
