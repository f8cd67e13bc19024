"""What this instance knows of all rollouts: orders, states and versions."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final, final

from damaskpoint.rollout.evidence import Counts
from damaskpoint.rollout.model import Phase
from damaskpoint.rollout.versions import EstablishedVersions

if TYPE_CHECKING:
    from damaskpoint.catalog.model import Runner
    from damaskpoint.rollout.model import Order, RolloutState

# Time since the states were last read for which they count as confirmed
# (seconds), and its bound as a share of the time for a rollback.
_CONFIRMED_S: Final = 2.0
_CONFIRMED_SHARE: Final = 0.4


@final
@dataclass(slots=True)
class ServiceRollout:
    """What this instance knows of the rollout of one service."""

    order: Order | None = None
    state: RolloutState | None = None
    # Evidence of this process on the rollout of the state.
    counts_by_key: dict[str, Counts] = field(default_factory=dict)
    # Why this instance does not send to the new version any more.
    blocked_reason: str = ''

    @property
    def is_switching(self) -> bool:
        """Return whether the last known phase is the switch."""
        return self.state is not None and self.state.phase is Phase.SWITCHING

    @property
    def is_unanswered(self) -> bool:
        """Return whether there is an order without a state."""
        if self.order is None:
            return False
        return self.state is None or not self.state.answers(self.order)

    @property
    def is_active(self) -> bool:
        """Return whether the rollout has not ended."""
        if self.is_unanswered:
            return True
        return self.state is not None and not self.state.phase.is_final

    def begin(self) -> None:
        """Drop what is known of an earlier rollout."""
        self.counts_by_key.clear()
        self.blocked_reason = ''


@final
class RolloutBook:
    """The rollouts of all services; times are monotonic seconds."""

    def __init__(self, rollback_s: float) -> None:
        """Start without rollouts.

        A bad version must be out of use ``rollback_s`` after it is known.
        """
        self._max_age_s = min(_CONFIRMED_S, rollback_s * _CONFIRMED_SHARE)
        self.versions = EstablishedVersions()
        self.rollouts_by_service: dict[str, ServiceRollout] = {}
        self._confirmed_at = float('-inf')

    # Queries.

    def find(self, service: str) -> ServiceRollout | None:
        """Return the rollout of a service, or None."""
        return self.rollouts_by_service.get(service)

    def find_tested(self, service: str) -> str:
        """Return the version that must not be used freely, or ''."""
        rollout = self.rollouts_by_service.get(service)
        if rollout is None:
            return ''
        order, state = rollout.order, rollout.state
        if rollout.is_unanswered and order is not None:
            is_new = order.to_version != self.versions.find(service)
            return order.to_version if is_new else ''
        if state is None or state.phase is Phase.COMPLETED:
            return ''
        return state.order.to_version

    def is_open(self, service: str, phase: Phase, now: float) -> bool:
        """Return whether the version under test may be used as in a phase.

        The phase must have been confirmed just now.
        """
        rollout = self.rollouts_by_service.get(service)
        if rollout is None or rollout.blocked_reason or rollout.order is None:
            return False
        state = rollout.state
        if state is None or state.phase is not phase or rollout.is_unanswered:
            return False
        return now - self._confirmed_at <= self._max_age_s

    def may_use(self, runner: Runner, now: float) -> bool:
        """Return whether anything may be sent to a runner now."""
        service = runner.service
        if runner.version != self.find_tested(service):
            return True
        if service not in self.rollouts_by_service:
            return True
        return self.is_open(service, Phase.CANARY, now) or self.is_open(
            service, Phase.SWITCHING, now
        )

    def confirmed_age_s(self, now: float) -> float:
        """Return how long ago the states of the rollouts were read."""
        return now - self._confirmed_at

    # Commands.

    def find_or_create(self, service: str) -> ServiceRollout:
        """Return what is known of a service's rollout; empty at first."""
        return self.rollouts_by_service.setdefault(service, ServiceRollout())

    def record_confirmed(self, now: float) -> None:
        """Record that the states of all rollouts were read."""
        self._confirmed_at = now

    def set_order(self, service: str, order: Order | None) -> None:
        """Apply an order, or its removal."""
        rollout = self.find_or_create(service)
        previous = rollout.order
        if order is not None and previous is not None:
            if not previous.is_same_as(order):
                rollout.begin()
        rollout.order = order

    def set_state(self, service: str, state: RolloutState) -> None:
        """Apply a state; one of another rollout drops the evidence."""
        rollout = self.find_or_create(service)
        previous = rollout.state
        rollout.state = state
        if previous is None or previous.identity != state.identity:
            rollout.begin()
        self.versions.set_decided(service, state.established)

    def block(self, service: str, reason: str) -> bool:
        """Send nothing to the version of a service any more.

        Returns whether this is new.
        """
        rollout = self.find_or_create(service)
        if rollout.blocked_reason:
            return False
        rollout.blocked_reason = reason
        return True
