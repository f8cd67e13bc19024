"""Figures measured at several sizes, and a linear fit through them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, final

if TYPE_CHECKING:
    from collections.abc import Sequence


@final
@dataclass(frozen=True, slots=True)
class SizeRow:
    """Figures measured at one size; the name of each ends in its unit."""

    size: int
    figures_by_name: dict[str, float]


@final
@dataclass(frozen=True, slots=True)
class LinearFit:
    """A least-squares line: ``intercept`` at size 0, ``slope`` per unit."""

    intercept: float
    slope: float

    def value_at(self, size: float) -> float:
        """Return the fitted figure at a size."""
        return self.intercept + self.slope * size


def fit_line(rows: Sequence[SizeRow], name: str) -> LinearFit:
    """Fit a line through the named figure of the rows."""
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
    return LinearFit(mean_figure - slope * mean_size, slope)
