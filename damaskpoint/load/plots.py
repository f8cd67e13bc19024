"""Plots attainment over time."""

from __future__ import annotations

import pathlib
from dataclasses import dataclass
from typing import TYPE_CHECKING, final

if TYPE_CHECKING:
    from collections.abc import Sequence

    from damaskpoint.load.summary import SecondCounts


@final
@dataclass(frozen=True, slots=True)
class Curve:
    """Attainment per second of one run."""

    label: str
    seconds: tuple[SecondCounts, ...]


def plot_attainment(
    curves: Sequence[Curve], fault_times_s: Sequence[float], path: pathlib.Path
) -> None:
    """Write a PNG of attainment over time, with a line at each fault."""
    # Imported here: it takes a second, and most commands plot nothing.
    from matplotlib import pyplot as plt

    figure, axes = plt.subplots(figsize=(9, 4))
    for curve in curves:
        times = [second.at_s for second in curve.seconds]
        shares = [second.whole / second.offered for second in curve.seconds]
        axes.plot(times, shares, label=curve.label)
    for fault_s in fault_times_s:
        axes.axvline(fault_s, color='grey', linestyle=':')
    axes.set_xlabel('seconds from the start')
    axes.set_ylabel('attainment')
    axes.set_ylim(bottom=0)
    axes.legend()
    figure.savefig(path)
    plt.close(figure)
