"""Selects the instances whose machines can batch for groups of runners.

All calls of a group pass the link and the processor of its batching instance.
On a small machine they wait there, which makes each call of the group longer,
so small machines batch only if the larger ones cannot bear all groups.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Set as AbstractSet

    from damaskpoint.catalog.model import BatchLimits

# What a piece costs its batching instance: bytes on the link in one direction,
# and processor time of a standard core (seconds).
_BYTES_PER_PIECE: Final = 400.0
_CPU_S_PER_PIECE: Final = 0.0002
_BYTES_PER_S_PER_MBPS: Final = 125_000.0
# Multiple of the load that the selected machines must bear together, since
# groups are not spread evenly.
_HEADROOM: Final = 2.0
# Machines with this share of the largest rate are as good as the largest one.
_SIMILAR_SHARE: Final = 0.5


def compute_batch_rate(link_mbps: float, cores: float) -> int:
    """Return the pieces per second that a machine can batch."""
    by_link = link_mbps * _BYTES_PER_S_PER_MBPS / _BYTES_PER_PIECE
    by_processor = cores / _CPU_S_PER_PIECE
    return round(min(by_link, by_processor))


def compute_runner_rate(limits: BatchLimits) -> float:
    """Return the pieces per second that one runner makes in full calls."""
    calls_per_s = limits.max_concurrent_calls / limits.estimate_call_s(
        limits.max_pieces
    )
    return limits.max_pieces * calls_per_s


def select_largest(
    candidates: AbstractSet[str],
    rates_by_name: Mapping[str, int],
    load_per_s: float,
) -> frozenset[str]:
    """Return the candidates with the largest rates that bear a load.

    ``load_per_s`` are the pieces per second of all groups. Candidates with
    similar rates are selected together; an unknown rate counts as 0.
    """
    ordered = sorted(
        candidates, key=lambda name: (-rates_by_name.get(name, 0), name)
    )
    selected: list[str] = []
    total = 0
    similar = float(0)
    for name in ordered:
        rate = rates_by_name.get(name, 0)
        similar = similar or rate * _SIMILAR_SHARE
        if rate < similar and total >= load_per_s * _HEADROOM:
            break
        selected.append(name)
        total += rate
    return frozenset(selected)
