"""Interfaces that other packages implement for batching."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from damaskpoint.batching.assignment import InstanceView
    from damaskpoint.batching.model import CallAnswer, Piece
    from damaskpoint.catalog.model import Runner
    from damaskpoint.errors import Failure
    from damaskpoint.membership.facts import Address


class PieceCaller(abc.ABC):
    """Calls the runners of stages."""

    @abc.abstractmethod
    async def run_pieces(
        self, runner: Runner, pieces: Sequence[Piece], timeout_s: float
    ) -> CallAnswer | Failure:
        """Return the runner's answer, also if it was full.

        Fails if the call takes longer than ``timeout_s`` seconds. A pause that
        the runner asks for is recorded before the result is returned.
        """

    @abc.abstractmethod
    async def release(self, runner: Runner, handles: Sequence[str]) -> None:
        """Release results that are no longer needed at a runner."""


class Peers(abc.ABC):
    """The other live instances according to membership."""

    @abc.abstractmethod
    def batching_names(self, now: float) -> frozenset[str]:
        """Return the names of the live instances that are not leaving."""

    @abc.abstractmethod
    def find_view(self, now: float) -> InstanceView:
        """Return the instances by what they do, this one included."""

    @abc.abstractmethod
    def find_address(self, name: str, now: float) -> Address | None:
        """Return the address of an instance, or None.

        The instance is live, or only listed while nothing was heard of it.
        """

    @abc.abstractmethod
    def find_last_seen(self, name: str) -> float | None:
        """Return when an instance was last heard of; None if it never was."""
