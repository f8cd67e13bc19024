"""How long results stay at their runners until they are released."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, final

if TYPE_CHECKING:
    from collections.abc import Iterable

    from damaskpoint.catalog.model import BatchLimits

# Share of the weight that earlier results keep when one is released.
_DECAY: Final = 0.99


@final
class ResultStays:
    """The average stay of a group's results, weighted by their size.

    Times are monotonic seconds.
    """

    def __init__(self) -> None:
        """Start without results."""
        # Size and time of each result that has not been released.
        self._made_by_handle: dict[str, tuple[int, float]] = {}
        self._bytes = float(0)
        self._byte_seconds = float(0)

    def record_made(self, handle: str, size: int, now: float) -> None:
        """Record a new result."""
        self._made_by_handle[handle] = (size, now)

    def record_released(self, handles: Iterable[str], now: float) -> None:
        """Include released results in the average."""
        for handle in handles:
            made = self._made_by_handle.pop(handle, None)
            if made is None:
                continue
            size, made_at = made
            self._bytes = self._bytes * _DECAY + size
            self._byte_seconds *= _DECAY
            self._byte_seconds += size * (now - made_at)

    def forget(self, made_before: float) -> None:
        """Drop results that were made before a time: they have expired."""
        for handle, (_, made_at) in tuple(self._made_by_handle.items()):
            if made_at >= made_before:
                # The oldest results come first.
                return
            self._made_by_handle.pop(handle)

    def find_sustained_bytes(self, limits: BatchLimits, pace: float) -> float:
        """Return the size of results that a runner can make in each call.

        Larger calls use up its memory, and it is idle until the first results
        are released.
        """
        call_s = limits.estimate_call_s(limits.max_pieces) * pace
        share = call_s / (call_s + self.mean_s)
        return limits.result_capacity_bytes * share

    @property
    def mean_s(self) -> float:
        """Return the average stay after the call; 0 if unknown."""
        return self._byte_seconds / self._bytes if self._bytes else float(0)
