"""Decides the next phase of a rollout."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final, final

from damaskpoint.rollout.model import Phase

if TYPE_CHECKING:
    from collections.abc import Iterable

    from damaskpoint.rollout.model import RolloutState

# Time for the writes and reads of the store (seconds), beside that of gossip.
_STORE_S: Final = 0.4
# Requests take up to this multiple of the longest time measured.
_DRAIN_FACTOR: Final = 1.2
_MIN_LEAD_S: Final = 2.0
_MAX_LEAD_SHARE: Final = 0.5
# Score from which on the switch waits for more canaries, up to the least lead,
# and score from which on it is not made then. A bad version that is only found
# after the switch exceeds its exposure at services with few requests.
_SUSPECT_SCORE: Final = 3.0
_REJECTED_SCORE: Final = 9.0
# How long before the deadline the last decision is made (seconds), so that it
# is stored in time: the deadline counts from the order, which the first state
# follows by some tenths, and the instance whose turn it is may be gone.
_FINISH_MARGIN_S: Final = 1.2
# How long before it requests at old runners are no longer waited for
# (seconds), unless they must not be repeated.
_LAST_MARGIN_S: Final = 0.8
# How long the new version may be without a usable runner while switching
# (seconds).
_MAX_GAP_S: Final = 2.0
# A phase lasts at least this long (seconds), so that instances that follow the
# store see it.
_MIN_PHASE_S: Final = 0.3


@final
@dataclass(frozen=True, slots=True)
class OldWork:
    """What may still run at old runners, over all instances."""

    # Instances that have not reported that they have switched and have no
    # requests there; those that may be running but are silent are apart.
    busy: int
    # Those of them with requests that must not be repeated, or that have not
    # switched.
    unrepeatable: int
    silent: int


@final
@dataclass(frozen=True, slots=True)
class Report:
    """The requests of one instance at old runners."""

    is_switched: bool
    requests: int
    unrepeatable: int


@final
@dataclass(frozen=True, slots=True)
class Situation:
    """What is known of a rollout at one time; the store's, in seconds."""

    state: RolloutState
    is_ordered: bool
    # Why the version is bad; empty if it is not known to be.
    bad_reason: str
    # Score of the evidence against the version.
    score: float
    # Usable runners of the new version, and since when there is none.
    new_runners: int
    no_runner_s: float
    old_work: OldWork
    # Longest time that requests of the service take.
    request_s: float
    # Time in which each instance hears of each other one by gossip.
    gossip_s: float
    # Longest timeout of the routes of the service.
    timeout_s: float
    now_s: float


@final
@dataclass(frozen=True, slots=True)
class Change:
    """A phase to enter, and why."""

    phase: Phase
    reason: str


def sum_old_work(reports: Iterable[Report | None], silent: int) -> OldWork:
    """Return the work of live instances; None is one without a report."""
    busy = 0
    unrepeatable = 0
    for report in reports:
        if report is None or not report.is_switched:
            busy += 1
            unrepeatable += 1
            continue
        busy += int(report.requests > 0)
        unrepeatable += int(report.unrepeatable > 0)
    return OldWork(busy, unrepeatable, silent)


def compute_lead_s(situation: Situation) -> float:
    """Return how long before the deadline the switch begins (seconds)."""
    lead_s = (
        _FINISH_MARGIN_S
        + _STORE_S
        + situation.gossip_s
        + situation.request_s * _DRAIN_FACTOR
    )
    duration_s = situation.state.order.duration_s
    return min(max(_MIN_LEAD_S, lead_s), duration_s * _MAX_LEAD_SHARE)


def decide(situation: Situation) -> Change | None:
    """Return the phase to enter now, or None to stay."""
    state = situation.state
    if state.phase.is_final:
        return None
    if situation.bad_reason:
        return Change(Phase.ROLLED_BACK, situation.bad_reason)
    if not situation.is_ordered:
        return Change(Phase.ROLLED_BACK, 'the order was withdrawn')
    if state.from_version == state.order.to_version:
        return Change(Phase.COMPLETED, 'the version is established')
    if situation.now_s - state.phase_s < _MIN_PHASE_S:
        return None
    if state.phase is Phase.SWITCHING:
        return _decide_end(situation)
    return _decide_start(situation)


def _decide_start(situation: Situation) -> Change | None:
    state = situation.state
    lead_s = compute_lead_s(situation)
    left_s = state.deadline_s - situation.now_s
    if not situation.new_runners or state.phase is Phase.WAITING:
        if left_s <= _FINISH_MARGIN_S:
            return Change(Phase.ROLLED_BACK, 'no usable runner in time')
        if not situation.new_runners or left_s <= lead_s:
            # The version would be switched to without evidence.
            return None
        return Change(Phase.CANARY, f'{situation.new_runners} usable runners')
    if not state.from_version:
        return Change(Phase.SWITCHING, 'there was no version before')
    if left_s > lead_s:
        return None
    return _decide_switch(situation.score, left_s, lead_s)


def _decide_switch(score: float, left_s: float, lead_s: float) -> Change | None:
    """Return the end of the canary phase, which is due."""
    reason = f'{left_s:.1f} s left, lead {lead_s:.1f} s, score {score:.1f}'
    if left_s > _MIN_LEAD_S:
        if score > _SUSPECT_SCORE:
            return None
    elif score >= _REJECTED_SCORE:
        return Change(Phase.ROLLED_BACK, f'suspect at the switch: {reason}')
    return Change(Phase.SWITCHING, reason)


def _decide_end(situation: Situation) -> Change | None:
    state = situation.state
    work = situation.old_work
    if situation.no_runner_s > _MAX_GAP_S:
        return Change(Phase.ROLLED_BACK, 'no usable runner while switching')
    if situation.now_s < state.deadline_s - _FINISH_MARGIN_S:
        # Until then a bad version can still be rolled back.
        return None
    if not work.busy and not work.silent:
        return Change(Phase.COMPLETED, 'no request at old runners')
    if situation.now_s < state.deadline_s - _LAST_MARGIN_S:
        return None
    ends_s = state.phase_s + situation.timeout_s
    is_over = situation.now_s > ends_s + _STORE_S + situation.gossip_s
    if not work.unrepeatable or is_over:
        return Change(
            Phase.COMPLETED,
            f'deadline: {work.busy} instances with requests at old runners, '
            f'{work.silent} silent ones',
        )
    return None
