"""``python -m damaskpoint.load.slopes``: the slopes behind docs/CAPACITY.md.

Measures the cost of each part of the product at several sizes, with synthetic
data in this process. Prints a table of the figures and, for each figure, its
linear fit and the value extrapolated to the target size.
"""

from __future__ import annotations

import argparse
import sys
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final, final

from damaskpoint.load import (
    slopes_admission,
    slopes_configuration,
    slopes_gossip,
    slopes_routing,
)
from damaskpoint.load.slope import SizeRow, fit_line

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence


@final
@dataclass(frozen=True, slots=True)
class Benchmark:
    """Measures one part of the product as one quantity grows."""

    # The quantity that grows, in the plural.
    scaled_by: str
    # The size to which the figures are extrapolated.
    target_size: int
    sizes: Sequence[int]
    measure: Callable[[Sequence[int]], list[SizeRow]]


_UPSTREAMS: Final = 6_600
_ACCOUNTS: Final = 440
_INSTANCES: Final = 690

BENCHMARKS_BY_NAME: dict[str, Benchmark] = {
    'routing': Benchmark(
        'upstreams', _UPSTREAMS, slopes_routing.SIZES, slopes_routing.measure
    ),
    'admission': Benchmark(
        'accounts',
        _ACCOUNTS,
        slopes_admission.SIZES,
        slopes_admission.measure,
    ),
    'configuration': Benchmark(
        'accounts',
        _ACCOUNTS,
        slopes_configuration.SIZES,
        slopes_configuration.measure,
    ),
    'gossip': Benchmark(
        'peers', _INSTANCES, slopes_gossip.SIZES, slopes_gossip.measure
    ),
}


def main() -> None:
    """Print the tables of the named parts, or of all parts."""
    parser = argparse.ArgumentParser(
        prog='damaskpoint.load.slopes', description=__doc__
    )
    parser.add_argument(
        'part', nargs='*', help=f'any of {", ".join(BENCHMARKS_BY_NAME)}'
    )
    names = parser.parse_args().part or list(BENCHMARKS_BY_NAME)
    for name in names:
        if name not in BENCHMARKS_BY_NAME:
            parser.error(f'unknown part: {name}')
        benchmark = BENCHMARKS_BY_NAME[name]
        _write_table(name, benchmark, benchmark.measure(benchmark.sizes))


def _write_table(name: str, benchmark: Benchmark, rows: list[SizeRow]) -> None:
    figures = list(rows[0].figures_by_name)
    lines = [
        f'## {name} against {benchmark.scaled_by}',
        '',
        ' | '.join(['', benchmark.scaled_by, *figures, '']).strip(),
        '|---' * (len(figures) + 1) + '|',
    ]
    for row in rows:
        cells = [f'{row.figures_by_name[figure]:.4g}' for figure in figures]
        lines.append(f'| {row.size} | {" | ".join(cells)} |')
    lines.append('')
    for figure in figures:
        fit = fit_line(rows, figure)
        lines.append(
            f'{figure}: {fit.intercept:.4g} + {fit.slope:.4g} each; '
            f'at {benchmark.target_size}: '
            f'{fit.value_at(benchmark.target_size):.4g}'
        )
    sys.stdout.write('\n'.join(lines) + '\n\n')
    sys.stdout.flush()


if __name__ == '__main__':
    main()
