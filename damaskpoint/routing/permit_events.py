"""What the leases ask of, and tell to, the rest of routing."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from damaskpoint.routing.leases import LeaseWrite


class PermitEvents(abc.ABC):
    """Knows the upstreams, and hears of claims."""

    @abc.abstractmethod
    def find_incarnation(self, name: str) -> int:
        """Return the incarnation that answers showed last."""

    @abc.abstractmethod
    def find_settled(self, name: str, now: float) -> float:
        """Return when no other entry can hold a proof of warmth any more.

        A monotonic time in seconds; infinite while it is not known.
        """

    @abc.abstractmethod
    def find_delay(self, name: str) -> float:
        """Return how much later than others this entry claims (seconds)."""

    @abc.abstractmethod
    def on_won(self, write: LeaseWrite) -> None:
        """Hear that a claim took effect."""

    @abc.abstractmethod
    def on_lost(self, write: LeaseWrite) -> None:
        """Hear that another entry wrote first."""
