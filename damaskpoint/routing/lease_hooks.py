"""The interface through which the leases query and notify routing."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from damaskpoint.routing.leases import LeaseWrite


class LeaseHooks(abc.ABC):
    """Provides facts about upstreams and is notified of claims."""

    @abc.abstractmethod
    def find_incarnation(self, name: str) -> int:
        """Return the last incarnation observed in a response."""

    @abc.abstractmethod
    def find_settled_at(self, name: str, now: float) -> float:
        """Return the time from which no other entry can hold a proof of warmth.

        A monotonic time in seconds; infinite while it is unknown.
        """

    @abc.abstractmethod
    def find_claim_delay(self, name: str) -> float:
        """Return the delay before this entry claims a lease (seconds)."""

    @abc.abstractmethod
    def on_won(self, write: LeaseWrite) -> None:
        """Handle a claim that took effect."""

    @abc.abstractmethod
    def on_lost(self, write: LeaseWrite) -> None:
        """Handle a write that failed because another entry wrote first."""
