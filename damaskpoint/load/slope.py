"""Figures measured at several sizes, and the straight line through them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, final

if TYPE_CHECKING:
    from collections.abc import Sequence


@final
@dataclass(frozen=True, slots=True)
class SizeRow:
    """Figures at one size; a figure's name says its unit."""

    size: int
    figures_by_name: dict[str, float]


@final
@dataclass(frozen=True, slots=True)
class Line:
    """A least-squares line: ``base`` at size 0, ``slope`` for each more."""

    base: float
    slope: float

    def at(self, size: float) -> float:
        """Return the figure that the line gives at a size."""
        return self.base + self.slope * size


def fit_line(rows: Sequence[SizeRow], name: str) -> Line:
    """Return the line through one figure of the rows."""
    sizes = [row.size for row in rows]
    figures = [row.figures_by_name[name] for row in rows]
    mean_size = sum(sizes) / len(sizes)
    mean_figure = sum(figures) / len(figures)
    covariance: float = 0
    variance: float = 0
    for size, figure in zip(sizes, figures, strict=True):
        covariance += (size - mean_size) * (figure - mean_figure)
        variance += (size - mean_size) ** 2
    slope = covariance / variance if variance else float(0)
    return Line(mean_figure - slope * mean_size, slope)
