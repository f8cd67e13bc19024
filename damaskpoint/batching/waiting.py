"""Pieces that wait for a runner, and the runner that may take them."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final, final

if TYPE_CHECKING:
    from damaskpoint.batching.model import Piece

# Size of a piece that may overtake one that waits for memory, as a share of the
# latter's size.
_NEGLIGIBLE_SHARE: Final = 0.05


@final
@dataclass(frozen=True, slots=True, order=True)
class Ticket:
    """A queued piece with its position in the order of the queue."""

    virtual_deadline: float
    number: int
    piece: Piece = field(compare=False)
    added_at: float = field(compare=False)


@final
@dataclass(frozen=True, slots=True)
class IdleRunner:
    """A runner that can take a call now."""

    zone: str
    # Zones of all runners of the group.
    group_zones: frozenset[str]
    free_bytes: float
    # Whether the batch may be small because memory is short.
    allows_small_batch: bool
    # Calls that the group runs at the same time, and its pace.
    group_slots: int = 1
    group_pace: float = 1
    # Pace at which the group works off a backlog.
    group_drain_pace: float = 1
    # Memory for the results of one call that leaves room for the next ones.
    call_bytes: float = math.inf


@final
@dataclass(slots=True, order=True)
class WaitingRequest:
    """The pieces of one stage of a request that wait, at least one.

    They were ordered together, so they share all that decides on their order.
    """

    first: Ticket
    tickets: list[Ticket] = field(compare=False)
    # Whether pieces of it have been taken while others wait.
    is_begun: bool = field(default=False, compare=False)

    @property
    def piece(self) -> Piece:
        """Return a piece that stands for all of them."""
        return self.first.piece

    @property
    def has_cost(self) -> bool:
        """Return whether work for the request was begun."""
        return self.first.piece.has_cost or self.is_begun


@final
class FreeMemory:
    """The memory of a runner that the pieces of a call may still use."""

    def __init__(self, free_bytes: float) -> None:
        """Start with this much memory."""
        self._free_bytes = free_bytes
        self._max_piece_bytes = free_bytes

    def take(self, size: int, count: int) -> int:
        """Use memory for pieces of one size; return how many have room."""
        if size * count <= min(self._free_bytes, self._max_piece_bytes):
            self._free_bytes -= size * count
            return count
        taken = 0
        while taken < count and self._take_one(size):
            taken += 1
        return taken

    def _take_one(self, size: int) -> bool:
        """Use memory for a piece; return False if it has to wait for more."""
        if size > self._free_bytes:
            # Only pieces that need hardly any memory may overtake one that is
            # waiting for it.
            limit = size * _NEGLIGIBLE_SHARE
            self._max_piece_bytes = min(self._max_piece_bytes, limit)
        if size > min(self._free_bytes, self._max_piece_bytes):
            return False
        self._free_bytes -= size
        return True
