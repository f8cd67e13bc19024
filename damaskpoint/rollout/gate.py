"""Decides which runners a request may go to, by their versions.

Runner selection consults the gate for each request, and tells it how the
request ended.
"""

from __future__ import annotations

import collections
import math
from typing import TYPE_CHECKING, Final, final

from damaskpoint.balancing import rendezvous
from damaskpoint.observe.state import StateSource
from damaskpoint.rollout.book import RolloutBook
from damaskpoint.rollout.book_dump import dump_book
from damaskpoint.rollout.breaks import PendingBreaks
from damaskpoint.rollout.evidence import Counts, OldTimes, create_key
from damaskpoint.rollout.exposure import Exposure
from damaskpoint.rollout.model import Outcome, Phase
from damaskpoint.rollout.visits import Visit
from damaskpoint.rollout.work import ServiceWork

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from damaskpoint.catalog.model import Route, Runner
    from damaskpoint.rollout.book import ServiceRollout
    from damaskpoint.rollout.model import Order, RolloutBounds

    # Whether a canary's runner is avoided, whether it is cold, and its rank.
    _Penalty = tuple[bool, bool, int]
    _VersionCounts = tuple[Sequence[Runner], collections.Counter[str]]

# Time for which a runner that failed to answer gets no canary (seconds), if
# there is another one.
_AVOID_S: Final = 2.0


@final
class VersionGate(StateSource):
    """The versions that requests may go to; times are monotonic seconds."""

    def __init__(
        self,
        own_name: str,
        bounds: RolloutBounds | None,
        is_cold: Callable[[str, float], bool],
    ) -> None:
        """Let all versions pass if ``bounds`` is None."""
        self.exposure = Exposure(own_name, bounds) if bounds else None
        self.book = RolloutBook(bounds.rollback_s if bounds else 0)
        self.work = ServiceWork()
        self._is_cold = is_cold
        self._avoided_until_by_runner: dict[str, float] = {}
        self._breaks = PendingBreaks()
        # Usable runners and their number by version.
        self._counts_by_service: dict[str, _VersionCounts] = {}
        self._times_by_service: dict[str, OldTimes] = {}

    # Queries; those that select runners count canaries.

    def select(
        self,
        service: str,
        route: str,
        runners: Sequence[Runner],
        now: float,
        *,
        is_retry: bool = False,
    ) -> Sequence[Runner]:
        """Return the runners that are eligible for this request.

        Samples the canary share; retries never go to a version under test.
        """
        if self.exposure is None or not runners:
            return runners
        rollout = self.book.find(service)
        if rollout is None or is_retry:
            return self.select_steady(service, runners, now)
        if self.book.is_open(service, Phase.CANARY, now):
            # Not while it is closed, or all instances would send their saved
            # canaries at once when it opens.
            self.exposure.add(service, route, 1)
        return self._sample(rollout, service, route, runners, now)

    def select_stage(
        self, service: str, runners: Sequence[Runner], now: float
    ) -> Sequence[Runner]:
        """Return the runners of the version that runs a stage request.

        The share is added by ``record_stage_pieces``.
        """
        if self.exposure is None or not runners:
            return runners
        rollout = self.book.find(service)
        if rollout is None:
            return self.select_steady(service, runners, now)
        return self._sample(rollout, service, '', runners, now)

    def select_steady(
        self, service: str, runners: Sequence[Runner], now: float
    ) -> Sequence[Runner]:
        """Return the runners for requests that cannot be canaries."""
        if self.exposure is None:
            return runners
        tested = self.book.find_tested(service)
        if tested and self.book.is_open(service, Phase.SWITCHING, now):
            found = [item for item in runners if item.version == tested]
            if not all(self._is_cold(item.name, now) for item in found):
                return found
        established = self.book.versions.find(service)
        if established is None:
            self.book.versions.update(service, runners, tested)
            established = self.book.versions.find(service)
        found = [item for item in runners if item.version == established]
        if found and established != tested:
            return found
        if not tested:
            return runners
        return [item for item in runners if item.version != tested]

    def filter_group(
        self, group: Sequence[Runner], usable: Sequence[Runner], now: float
    ) -> list[Runner]:
        """Return the runners of a stage group that may be called now.

        If the version of the group must not be used any more, its waiting
        pieces go to some ``usable`` runners of another one.
        """
        if self.exposure is None or not group:
            return list(group)
        if self.book.may_use(group[0], now):
            return list(group)
        steady = self.select_steady(group[0].service, usable, now)
        return list(steady[: len(group)])

    def has_rollout(self, service: str) -> bool:
        """Return whether a rollout of a service is known."""
        return self.book.find(service) is not None

    def count_alike(self, runner: Runner, usable: Sequence[Runner]) -> int:
        """Return the number of usable runners with the version of a runner.

        Counted once for each table of runners, as each call of a stage needs
        it for all runners.
        """
        if self.exposure is None:
            return len(usable)
        known = self._counts_by_service.get(runner.service)
        if known is None or known[0] is not usable:
            counts = collections.Counter(item.version for item in usable)
            known = (usable, counts)
            self._counts_by_service[runner.service] = known
        return known[1][runner.version]

    def group_prefix(self, version: str) -> str:
        """Return what names the groups of a version's stage runners."""
        if self.exposure is None or not version:
            return ''
        return f'{version.replace("#", "_")}.'

    def dump_state(self, now: float) -> dict[str, object]:
        """Return what is known of each rollout."""
        if self.exposure is None:
            return {}
        dumped: dict[str, object] = dump_book(self.book, now)
        for service in self.book.rollouts_by_service:
            dumped[f'sent {service}'] = {
                'exposure': self.exposure.dump(service),
                **self.work.dump(service),
            }
        return dumped

    # Commands.

    def record_stage_pieces(
        self, runner: Runner, calls: float, now: float
    ) -> None:
        """Record pieces for a runner's group, as the fewest calls they take."""
        if self.exposure is None:
            return
        service = runner.service
        if runner.version == self.book.find_tested(service):
            # One call was taken when the group was chosen.
            self.exposure.charge(service, '', math.ceil(calls) - 1)
        elif self.book.is_open(service, Phase.CANARY, now):
            self.exposure.add(service, '', calls)

    def expire_breaks(self, now: float) -> None:
        """Count the breaks of runners that have stayed silent since."""
        for name in self._breaks.expire(now):
            self._avoided_until_by_runner[name] = now + _AVOID_S

    def begin(self, runner: Runner, route: Route, now: float) -> Visit:
        """Record a send to a runner; its end must be recorded."""
        return Visit(self, runner, route, now)

    def record(
        self,
        runner: Runner,
        route: str,
        outcome: Outcome,
        took_s: float,
        now: float,
    ) -> None:
        """Record a finished response and its time at the runner."""
        if self.exposure is None:
            return
        key = create_key(route, runner.zone)
        is_old = runner.version != self.book.find_tested(runner.service)
        times = self._times_by_service.setdefault(runner.service, OldTimes())
        rollout = self.book.find(runner.service)
        is_slow = outcome is Outcome.GOOD and times.is_slow(key, took_s, now)
        if is_old and outcome is Outcome.GOOD:
            # Also without a rollout, so that its first canaries are compared.
            times.record(key, took_s, now)
        if rollout is None or not rollout.is_active:
            return
        if outcome is Outcome.NOT_RUN:
            self._avoided_until_by_runner[runner.name] = now + _AVOID_S
            return
        counts = rollout.counts_by_key.setdefault(key, Counts())
        if is_old:
            counts.old += 1
            counts.old_bad += int(is_slow or outcome is not Outcome.GOOD)
            return
        if outcome is Outcome.BROKEN:
            self._breaks.add(runner.name, counts, now)
            return
        self._breaks.confirm(runner.name, now - took_s)
        if rollout.is_switching or self._is_cold(runner.name, now):
            # No old response of the same seconds, or no warm runner, to
            # compare with: a burst or a slow zone would be blamed on the
            # version.
            is_slow = False
        counts.new += 1
        counts.new_bad += int(is_slow or outcome is Outcome.FAILED)

    # Helpers.

    def _sample(
        self,
        rollout: ServiceRollout,
        service: str,
        route: str,
        runners: Sequence[Runner],
        now: float,
    ) -> Sequence[Runner]:
        """Return the runners of a canary if there is credit for one."""
        steady = self.select_steady(service, runners, now)
        order, exposure = rollout.order, self.exposure
        if order is None or exposure is None:
            return steady
        if not self.book.is_open(service, Phase.CANARY, now):
            return steady
        new = [item for item in runners if item.version == order.to_version]
        if not new or not exposure.take(service, route):
            return steady
        # So few that each gets the load of an old one.
        count = max(1, math.ceil(exposure.share * len(steady)))
        return self._rank_canaries(order, new, now)[:count]

    def _rank_canaries(
        self, order: Order, new: Sequence[Runner], now: float
    ) -> list[Runner]:
        """Return the new runners, those first that canaries go to."""
        by_name = {item.name: item for item in new}
        ranked: list[tuple[_Penalty, Runner]] = []
        key = f'{order.service}/{order.to_version}'
        for rank, name in enumerate(rendezvous.order(by_name, key)):
            is_avoided = now < self._avoided_until_by_runner.get(name, 0)
            penalty = (is_avoided, self._is_cold(name, now), rank)
            ranked.append((penalty, by_name[name]))
        ranked.sort(key=_by_penalty)
        return [item for _, item in ranked]


def _by_penalty(ranked: tuple[_Penalty, Runner]) -> _Penalty:
    return ranked[0]
