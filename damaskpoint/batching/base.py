"""Interfaces that other packages implement for batching."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from damaskpoint.batching.model import Piece, PieceOutcome
    from damaskpoint.catalog.model import Runner
    from damaskpoint.errors import Failure
    from damaskpoint.membership.facts import Address


class PieceCaller(abc.ABC):
    """Calls the runners of stages."""

    @abc.abstractmethod
    async def run_pieces(
        self, runner: Runner, pieces: Sequence[Piece], timeout_s: float
    ) -> tuple[PieceOutcome, ...] | Failure | None:
        """Return one outcome per piece, or None if the runner was full.

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
        """Return the names of the live instances that batch for runners."""

    @abc.abstractmethod
    def find_address(self, name: str, now: float) -> Address | None:
        """Return the address of a live instance, or None."""
