"""What batching asks of the outside."""

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
    """Calls runners of stages."""

    @abc.abstractmethod
    async def run_pieces(
        self, runner: Runner, pieces: Sequence[Piece], limit_s: float
    ) -> tuple[PieceOutcome, ...] | Failure | None:
        """Return an outcome a piece, or None if the runner was full.

        The call fails when it takes longer than ``limit_s``.
        """

    @abc.abstractmethod
    async def release(self, runner: Runner, handles: Sequence[str]) -> None:
        """Tell a runner that results are not wanted any more."""


class Peers(abc.ABC):
    """The other instances, as membership knows them."""

    @abc.abstractmethod
    def batching_names(self, now: float) -> frozenset[str]:
        """Return the live instances that may batch for runners."""

    @abc.abstractmethod
    def find_address(self, name: str, now: float) -> Address | None:
        """Return where a live instance is, or None."""
