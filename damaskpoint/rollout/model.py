"""Orders and states of rollouts, as immutable data."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import Final, final


@final
@enum.unique
class Phase(enum.Enum):
    """How far a rollout has come; the last two are final."""

    # No runner of the new version is usable yet.
    WAITING = 'waiting'
    # A bounded share of the requests goes to the new version.
    CANARY = 'canary'
    # All new requests go to the new version.
    SWITCHING = 'switching'
    COMPLETED = 'completed'
    ROLLED_BACK = 'rolled_back'

    @property
    def is_final(self) -> bool:
        """Return whether the rollout has ended."""
        return self in _FINAL

    @property
    def rank(self) -> int:
        """Return a number that grows from phase to phase."""
        return _RANKS[self]


_FINAL: Final = frozenset((Phase.COMPLETED, Phase.ROLLED_BACK))
_RANKS: Final = {phase: rank for rank, phase in enumerate(Phase)}


@final
@enum.unique
class Outcome(enum.Enum):
    """What came of a request at its runner."""

    GOOD = 'good'
    FAILED = 'failed'
    # The connection broke or stayed silent: the runner may have crashed.
    BROKEN = 'broken'
    # The runner did not run it, or the caller left: no evidence.
    NOT_RUN = 'not_run'


@final
@dataclass(frozen=True, slots=True)
class Order:
    """An operator's order to move a service to a version."""

    service: str
    to_version: str
    duration_s: float
    # Version of the order's row, and the era of the store in which it was
    # read.
    number: int
    era: int = 0

    def is_same_as(self, other: Order) -> bool:
        """Return whether both are one order.

        After a restore of the store from a copy the operator writes its rows
        again, so orders of different eras are told apart by their content.
        """
        if self.era == other.era:
            return self.number == other.number
        return self.has_content_of(other)

    def has_content_of(self, other: Order) -> bool:
        """Return whether both order the same, whenever they were written."""
        return (self.service, self.to_version, self.duration_s) == (
            other.service,
            other.to_version,
            other.duration_s,
        )


@final
@dataclass(frozen=True, slots=True)
class RolloutState:
    """The stored state of a rollout; times are the store's, in seconds."""

    order: Order
    # The established version when the rollout began; empty if unknown.
    from_version: str
    phase: Phase
    started_s: float
    phase_s: float
    # Why the phase was entered, with the figures that decided it.
    reason: str = ''

    @property
    def deadline_s(self) -> float:
        """Return by when the rollout has to end."""
        return self.started_s + self.order.duration_s

    @property
    def identity(self) -> tuple[str, float]:
        """Return a key that stays the same when the store is restored."""
        return (self.order.to_version, self.started_s)

    @property
    def established(self) -> str:
        """Return the version that requests go to without restriction."""
        if self.phase is Phase.COMPLETED:
            return self.order.to_version
        return self.from_version

    def answers(self, order: Order) -> bool:
        """Return whether this is the rollout of an order."""
        return order.is_same_as(self.order)


@final
@dataclass(frozen=True, slots=True)
class RolloutBounds:
    """The platform's bounds on the exposure to an unproven version."""

    exposure_share: float
    exposure_slack: float
    rollback_s: float
