"""``python -m damaskpoint.load.slopes``: the slopes behind docs/CAPACITY.md.

Measures each part at several sizes with synthetic tables in this process,
prints the figures as tables and, for each figure, its line and what that
line gives at the target's size.
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
class Part:
    """A part that is measured: against what, how, and at which target."""

    against: str
    target: int
    sizes: Sequence[int]
    measure: Callable[[Sequence[int]], list[SizeRow]]


_UPSTREAMS: Final = 6_600
_ACCOUNTS: Final = 440
_INSTANCES: Final = 690

PARTS_BY_NAME: dict[str, Part] = {
    'routing': Part(
        'upstreams', _UPSTREAMS, slopes_routing.SIZES, slopes_routing.measure
    ),
    'admission': Part(
        'accounts',
        _ACCOUNTS,
        slopes_admission.SIZES,
        slopes_admission.measure,
    ),
    'configuration': Part(
        'accounts',
        _ACCOUNTS,
        slopes_configuration.SIZES,
        slopes_configuration.measure,
    ),
    'gossip': Part(
        'peers', _INSTANCES, slopes_gossip.SIZES, slopes_gossip.measure
    ),
}


def main() -> None:
    """Measure the named parts, all by default, and print the tables."""
    parser = argparse.ArgumentParser(
        prog='damaskpoint.load.slopes', description=__doc__
    )
    parser.add_argument(
        'part', nargs='*', help=f'any of {", ".join(PARTS_BY_NAME)}'
    )
    names = parser.parse_args().part or list(PARTS_BY_NAME)
    for name in names:
        if name not in PARTS_BY_NAME:
            parser.error(f'no such part: {name}')
        part = PARTS_BY_NAME[name]
        _write_table(name, part, part.measure(part.sizes))


def _write_table(name: str, part: Part, rows: list[SizeRow]) -> None:
    figures = list(rows[0].figures_by_name)
    lines = [
        f'## {name} against {part.against}',
        '',
        ' | '.join(['', part.against, *figures, '']).strip(),
        '|---' * (len(figures) + 1) + '|',
    ]
    for row in rows:
        shown = [f'{row.figures_by_name[figure]:.4g}' for figure in figures]
        lines.append(f'| {row.size} | {" | ".join(shown)} |')
    lines.append('')
    for figure in figures:
        line = fit_line(rows, figure)
        lines.append(
            f'{figure}: {line.base:.4g} + {line.slope:.4g} each; '
            f'at {part.target}: {line.at(part.target):.4g}'
        )
    sys.stdout.write('\n'.join(lines) + '\n\n')
    sys.stdout.flush()


if __name__ == '__main__':
    main()
