"""Estimates how much an instance's machine can batch.

All calls of a group pass the link and the processor of its batching instance.
"""

from __future__ import annotations

from typing import Final

# What a piece costs its batching instance: bytes on the link in one direction,
# and processor time of a standard core (seconds).
_BYTES_PER_PIECE: Final = 400.0
_CPU_S_PER_PIECE: Final = 0.0002
_BYTES_PER_S_PER_MBPS: Final = 125_000.0


def compute_batch_rate(link_mbps: float, cores: float) -> int:
    """Return the pieces per second that a machine can batch."""
    by_link = link_mbps * _BYTES_PER_S_PER_MBPS / _BYTES_PER_PIECE
    by_processor = cores / _CPU_S_PER_PIECE
    return round(min(by_link, by_processor))
