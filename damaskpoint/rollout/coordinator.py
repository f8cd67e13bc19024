"""Advances the rollouts: evaluates the evidence and stores phases.

Every instance does; the first by rendezvous hashing stores a change at once,
the others leave those before them the time to do it.
"""

from __future__ import annotations

import logging
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Final, final

from damaskpoint.balancing import rendezvous
from damaskpoint.errors import Failure
from damaskpoint.observe.state import StateSource
from damaskpoint.platform.rollout_rows import encode_changes
from damaskpoint.platform.store import ABSENT_VERSION, ChangeConflict
from damaskpoint.rollout import metrics, phases
from damaskpoint.rollout.evidence import Counts, SequentialTest
from damaskpoint.rollout.model import Phase, RolloutState
from damaskpoint.rollout.sharing import SharedEvidence, encode_counts

if TYPE_CHECKING:
    from collections.abc import Iterable

    from damaskpoint.membership.facts import PeerFact, RolloutFact
    from damaskpoint.platform.store import PlatformStore
    from damaskpoint.rollout.book import ServiceRollout
    from damaskpoint.rollout.exposure import Exposure
    from damaskpoint.rollout.fleet import Fleet
    from damaskpoint.rollout.gate import VersionGate
    from damaskpoint.rollout.state_follower import StateFollower

_LOG: Final = logging.getLogger(__name__)
_MS_PER_S: Final = 1000
# How long an instance leaves a write to each one that ranks before it, and at
# most in total (seconds).
_RANK_DELAY_S: Final = 0.4
_MAX_RANK_DELAY_S: Final = 3.0
# Interval at which the versions of all runners are looked at (seconds): there
# may be thousands.
_VERSIONS_INTERVAL_S: Final = 1.0
# Least time between two attempts to store a change (seconds).
_RETRY_PAUSE_S: Final = 0.5


@final
@dataclass(slots=True)
class _Progress:
    """What this instance computes on one rollout."""

    identity: tuple[str, float]
    test: SequentialTest
    # Since when the new version has had no usable runner; None if it has.
    no_runner_since: float | None = None

    def find_gap_s(self, new_runners: int, now: float) -> float:
        """Return how long there has been no usable runner (seconds)."""
        if new_runners:
            self.no_runner_since = None
            return 0
        if self.no_runner_since is None:
            self.no_runner_since = now
        return now - self.no_runner_since


@final
class RolloutCoordinator(StateSource):
    """Evaluates and advances all rollouts; times are monotonic seconds."""

    def __init__(
        self,
        store: PlatformStore,
        gate: VersionGate,
        follower: StateFollower,
        fleet: Fleet,
        started_at: float,
    ) -> None:
        """Start without rollouts; the process started at ``started_at``."""
        self._store = store
        self._gate = gate
        self._book = gate.book
        self._follower = follower
        self._fleet = fleet
        self._started_at = started_at
        self._shared = SharedEvidence()
        self._progress_by_service: dict[str, _Progress] = {}
        # Since when a change of a service has been due, and which.
        self._due_by_service: dict[str, tuple[object, float]] = {}
        self._retry_at = float('-inf')
        # When the known runners were last looked at.
        self._versions_at = float('-inf')

    # Commands.

    async def advance(self, now: float) -> None:
        """Evaluate the evidence and store what is due; called periodically."""
        if now - self._versions_at >= _VERSIONS_INTERVAL_S:
            self._versions_at = now
            self._fleet.update_versions(self._book)
        self.check_evidence(now)
        for service, rollout in tuple(self._book.rollouts_by_service.items()):
            changed = self._find_change(service, rollout, now)
            if changed is None:
                self._due_by_service.pop(service, None)
            elif self._is_due(service, changed, now):
                await self._store_state(changed, now)

    def check_evidence(self, now: float) -> None:
        """Evaluate the evidence alone, which waits for nothing."""
        for rollout in self._book.rollouts_by_service.values():
            state = rollout.state
            if state is not None and not state.phase.is_final:
                self._check_evidence(rollout, state, now)

    def apply_facts(
        self, peer: PeerFact, received: Iterable[RolloutFact]
    ) -> None:
        """Merge what a peer has counted."""
        self._shared.apply(peer, received)

    # Queries.

    def is_needed(self) -> bool:
        """Return whether the states must be followed in the store."""
        rollouts = self._book.rollouts_by_service
        if not self._follower.has_read:
            return bool(rollouts) or self._fleet.has_mixed_versions()
        if self._follower.lost_services:
            return True
        return any(rollout.is_active for rollout in rollouts.values())

    def list_facts(self, now: float) -> list[RolloutFact]:
        """Return what this instance publishes by gossip."""
        published = []
        for service, rollout in self._book.rollouts_by_service.items():
            state = rollout.state
            if state is None or state.phase.is_final:
                continue
            started_ms = _to_ms(state.started_s)
            published.append(self._create_report(state, rollout, now))
            for key, counts in rollout.counts_by_key.items():
                published.append(
                    encode_counts(service, started_ms, key, counts)
                )
        return published

    def dump_state(self, now: float) -> dict[str, object]:
        """Return the gate's state, and the score of each rollout."""
        return {
            **self._gate.dump_state(now),
            'evidence': {
                service: self._list_figures(service)
                for service in self._progress_by_service
            },
            'clock_offset_s': self._follower.clock_offset_s,
            'lost': sorted(self._follower.lost_services),
        }

    # Evidence.

    def _check_evidence(
        self, rollout: ServiceRollout, state: RolloutState, now: float
    ) -> None:
        """Evaluate the evidence; block the version if it is bad."""
        service = state.order.service
        if state.phase is not Phase.WAITING:
            self._begin_exposure(state)
        reason = self._evaluate(rollout, state, now)
        if not reason or not self._book.block(service, reason):
            return
        _LOG.warning(
            'version is bad, not used any more',
            extra={
                'service': service,
                'to': state.order.to_version,
                'phase': state.phase.value,
                'reason': reason,
                **self._list_figures(service),
            },
        )

    def _evaluate(
        self, rollout: ServiceRollout, state: RolloutState, now: float
    ) -> str:
        """Return why the version is bad, or an empty string."""
        service = state.order.service
        started_ms = _to_ms(state.started_s)
        self._gate.expire_breaks(now)
        totals_by_key: dict[str, Counts] = {}
        for key, counts in rollout.counts_by_key.items():
            totals_by_key.setdefault(key, Counts()).add(counts)
        self._shared.sum_into(totals_by_key, service, started_ms)
        progress = self._find_progress(state)
        reason = progress.test.update(totals_by_key, now)
        metrics.SCORE.set({'service': service}, progress.test.score)
        if reason:
            return reason
        peer = self._shared.find_blocking_peer(service, started_ms)
        return f'verdict of {peer}' if peer else ''

    def _begin_exposure(self, state: RolloutState) -> None:
        if self._gate.exposure is None:
            return
        service = state.order.service
        instances = self._fleet.count_instances()
        started_s = self._to_store_time(self._started_at)
        if started_s is None or started_s > state.started_s:
            instances = None
        self._gate.exposure.begin(
            service,
            state.identity,
            instances,
            self._fleet.find_usage(service).routes,
        )

    def _find_progress(self, state: RolloutState) -> _Progress:
        service = state.order.service
        progress = self._progress_by_service.get(service)
        if progress is None or progress.identity != state.identity:
            progress = _Progress(state.identity, SequentialTest())
            self._progress_by_service[service] = progress
            started_ms = _to_ms(state.started_s)
            self._shared.drop_before(service, started_ms)
        return progress

    def _list_figures(self, service: str) -> dict[str, object]:
        """Return the figures that phases are decided by."""
        progress = self._progress_by_service.get(service)
        if progress is None:
            return {}
        totals = progress.test.totals
        return {
            'score': round(progress.test.score, 2),
            'new': totals.new + totals.new_broken,
            'new_bad': totals.new_bad + totals.new_broken,
            'old': totals.old,
            'old_bad': totals.old_bad,
            # The share and what this instance has sent of it.
            **_list_canaries(self._gate.exposure, service),
        }

    # Phases.

    def _find_change(
        self, service: str, rollout: ServiceRollout, now: float
    ) -> RolloutState | None:
        """Return the state to store, or None."""
        now_s = self._to_store_time(now)
        if now_s is None or not self._follower.has_read:
            return None
        state, order = rollout.state, rollout.order
        if state is not None and service in self._follower.lost_services:
            return state
        if rollout.is_unanswered and order is not None:
            established = self._book.versions.find(service) or ''
            return RolloutState(
                order, established, Phase.WAITING, now_s, now_s, 'ordered'
            )
        if state is None:
            return None
        metrics.PHASE.set({'service': service}, state.phase.rank)
        if state.phase.is_final:
            return None
        change = phases.decide(self._describe(rollout, state, now, now_s))
        if change is None:
            return None
        return replace(
            state, phase=change.phase, phase_s=now_s, reason=change.reason
        )

    def _to_store_time(self, at: float) -> float | None:
        offset_s = self._follower.clock_offset_s
        return None if offset_s is None else at + offset_s

    def _describe(
        self,
        rollout: ServiceRollout,
        state: RolloutState,
        now: float,
        now_s: float,
    ) -> phases.Situation:
        service = state.order.service
        usage = self._fleet.find_usage(service)
        new_runners = self._fleet.count_runners(service, state.order.to_version)
        progress = self._find_progress(state)
        return phases.Situation(
            state=state,
            is_ordered=rollout.order is not None,
            bad_reason=rollout.blocked_reason,
            score=progress.test.score,
            new_runners=new_runners,
            no_runner_s=progress.find_gap_s(new_runners, now),
            old_work=self._sum_old_work(state, rollout, now),
            request_s=self._gate.work.longest_s(service) + usage.hold_s,
            gossip_s=self._fleet.gossip_s,
            timeout_s=usage.timeout_s,
            now_s=now_s,
        )

    def _create_report(
        self, state: RolloutState, rollout: ServiceRollout, now: float
    ) -> RolloutFact:
        service = state.order.service
        own = self._gate.work.find_old(service, state.order.to_version)
        # Results of the last calls of a stage may still be needed.
        hold_s = self._fleet.find_usage(service).hold_s
        held = int(now - own.ended_at < hold_s)
        counts = Counts(old=own.requests + held, old_bad=own.unrepeatable)
        return replace(
            encode_counts(service, _to_ms(state.started_s), '', counts),
            is_switched=self._book.is_open(service, Phase.SWITCHING, now),
            is_blocked=bool(rollout.blocked_reason),
        )

    def _sum_old_work(
        self, state: RolloutState, rollout: ServiceRollout, now: float
    ) -> phases.OldWork:
        own = self._create_report(state, rollout, now)
        reports: list[phases.Report | None] = [
            phases.Report(own.is_switched, own.old, own.old_bad)
        ]
        silent = 0
        started_ms = _to_ms(state.started_s)
        for name in self._fleet.unended_names():
            if self._fleet.is_live(name, now):
                reports.append(
                    self._shared.find_report(own.service, started_ms, name)
                )
            else:
                silent += 1
        return phases.sum_old_work(reports, silent)

    # Writes.

    def _is_due(self, service: str, changed: RolloutState, now: float) -> bool:
        """Return whether it is this instance's turn to store a change."""
        what = (changed.phase, changed.order)
        due = self._due_by_service.get(service)
        if due is None or due[0] != what:
            due = (what, now)
            self._due_by_service[service] = due
        ranks = rendezvous.order(
            self._fleet.candidate_names(now), f'rollout/{service}'
        )
        rank = ranks.index(self._fleet.own_name)
        delay_s = min(_MAX_RANK_DELAY_S, rank * _RANK_DELAY_S)
        return now - due[1] >= delay_s and now >= self._retry_at

    async def _store_state(self, state: RolloutState, now: float) -> None:
        service = state.order.service
        version = self._follower.versions_by_service.get(
            service, ABSENT_VERSION
        )
        outcome = await self._store.change(encode_changes(state, version))
        if not isinstance(outcome, Failure | ChangeConflict):
            self._follower.apply_written(state, outcome)
            self._due_by_service.pop(service, None)
            self._log_write('rollout phase stored', state, '')
            return
        self._retry_at = now + _RETRY_PAUSE_S
        if isinstance(outcome, Failure):
            self._log_write('rollout phase not stored', state, outcome.detail)
        else:
            self._log_write('rollout phase stored by a peer', state, '')

    def _log_write(
        self, message: str, state: RolloutState, failure: str
    ) -> None:
        service = state.order.service
        metrics.WRITES.inc({'outcome': message})
        _LOG.info(
            message,
            extra={
                'service': service,
                'to': state.order.to_version,
                'phase': state.phase.value,
                'reason': state.reason,
                'failure': failure,
                **self._list_figures(service),
            },
        )


def _list_canaries(
    exposure: Exposure | None, service: str
) -> dict[str, object]:
    if exposure is None:
        return {}
    return {
        'share': exposure.share,
        'own_canaries': exposure.dump(service).get('taken', 0),
    }


def _to_ms(time_s: float) -> int:
    return round(time_s * _MS_PER_S)
