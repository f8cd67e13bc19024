"""Measured run times of requests at their runner, by route.

The time of a run is taken to grow at most in proportion to the size of its
request, so a run of a smaller request gives an upper bound for a larger one.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final, final

if TYPE_CHECKING:
    from damaskpoint.forwarding.request import CallerRequest

# Number of recent runs that the estimates are based on.
_MAX_RUNS: Final = 100
# Runs needed for an upper bound: the maximum of a few runs says little about
# a distribution with a long tail.
_MIN_RUNS: Final = 20
# Factor from the longest recent run to the upper bound.
_BOUND_FACTOR: Final = 2.0
# Requests whose sizes differ by at most this factor are of similar size.
_SIMILAR_FACTOR: Final = 2.0


@final
@dataclass(frozen=True, slots=True)
class WorkSize:
    """How much work a request is, in quantities that its time depends on."""

    prompt_tokens: int = 0
    # The most that may be generated.
    generated_tokens: int = 0
    pieces: int = 0
    # 0 if tokens are known, which say more.
    body_bytes: int = 0

    def find_growth(self, other: WorkSize) -> float:
        """Return the largest factor from a quantity of ``other`` to this one.

        Infinite if ``other`` lacks a quantity; 0 if this one has none.
        """
        growth = float(0)
        for own, others in (
            (self.prompt_tokens, other.prompt_tokens),
            (self.generated_tokens, other.generated_tokens),
            (self.pieces, other.pieces),
            (self.body_bytes, other.body_bytes),
        ):
            if own and not others:
                return float('inf')
            if own:
                growth = max(growth, own / others)
        return growth


@final
@dataclass(frozen=True, slots=True)
class _Run:
    size: WorkSize
    took_s: float


@final
class RunTimes:
    """Times from the send to the end of the answer, in seconds."""

    def __init__(self) -> None:
        """Start without measurements."""
        self._runs_by_route: dict[str, deque[_Run]] = {}

    def record(self, route: str, size: WorkSize, took_s: float) -> None:
        """Record the duration of a complete run."""
        runs = self._runs_by_route.setdefault(route, deque(maxlen=_MAX_RUNS))
        runs.append(_Run(size, took_s))

    def mean_s(self, route: str, size: WorkSize) -> float:
        """Return the mean time of a request of this size.

        It is 0 for a route without comparable runs.
        """
        times_s = self._list_times_s(route, size)
        return sum(times_s) / len(times_s) if times_s else 0

    def bound_s(self, route: str, size: WorkSize) -> float:
        """Return a time that hardly any run of this size exceeds.

        Infinite for a route with too few comparable runs.
        """
        times_s = self._list_times_s(route, size)
        if len(times_s) < _MIN_RUNS:
            return float('inf')
        return max(times_s) * _BOUND_FACTOR

    def _list_times_s(self, route: str, size: WorkSize) -> list[float]:
        """Return the times of the runs that are comparable to a size.

        Those are the ones of similar size, and more of the nearest if they are
        few. The time of a run of smaller size is scaled up.
        """
        distances_and_times: list[tuple[float, float]] = []
        for run in self._runs_by_route.get(route, ()):
            growth = size.find_growth(run.size)
            if growth == float('inf'):
                continue
            distance = max(growth, run.size.find_growth(size))
            distances_and_times.append((distance, run.took_s * max(1, growth)))
        distances_and_times.sort()
        return [
            took_s
            for rank, (distance, took_s) in enumerate(distances_and_times)
            if rank < _MIN_RUNS or distance <= _SIMILAR_FACTOR
        ]


def measure_work(request: CallerRequest) -> WorkSize:
    """Return the size of a request by its metadata and its body."""
    metadata = request.metadata
    counts = metadata.token_counts
    return WorkSize(
        prompt_tokens=counts[0] if counts else metadata.prompt_tokens,
        generated_tokens=sum(counts[1:]),
        pieces=sum(metadata.piece_counts),
        body_bytes=0 if counts else len(request.body),
    )
