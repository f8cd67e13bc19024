"""Reads typed values from the cells of a sheet and collects all faults."""

from __future__ import annotations

import math
import re
from typing import TYPE_CHECKING, Final, final

from damaskpoint.config.sheet_text import SheetFault, SheetRow

if TYPE_CHECKING:
    from collections.abc import Sequence

_NAME_PATTERN: Final = re.compile(r'[A-Za-z0-9][A-Za-z0-9._-]{0,62}')
_SHA256_PATTERN: Final = re.compile('[0-9a-f]{64}')
_DIGITS_PATTERN: Final = re.compile('[0-9]{1,15}')
_BOOLEANS: Final = {'yes': True, 'no': False}


@final
class CellReader:
    """Reads cells of rows; an invalid cell adds a fault.

    It is then read as a placeholder, so that one pass finds all faults. The
    placeholder is never used: a sheet with any fault is rejected as a whole.
    """

    def __init__(self) -> None:
        """Start without faults."""
        self.faults: list[SheetFault] = []

    def add_fault(self, row: SheetRow, column: str, text: str) -> None:
        """Add a fault of one cell."""
        number = row.numbers_by_column.get(column, 0)
        self.faults.append(SheetFault(row.line, number, f'{column}: {text}'))

    def read_name(self, row: SheetRow, column: str) -> str:
        """Return a cell that must contain a name."""
        cell = row.cells_by_column.get(column, '')
        if not _NAME_PATTERN.fullmatch(cell):
            self.add_fault(row, column, f'{cell!r} is not a valid name')
        return cell

    def read_optional_name(self, row: SheetRow, column: str) -> str:
        """Return a cell that contains a name or is empty."""
        if not row.cells_by_column.get(column, ''):
            return ''
        return self.read_name(row, column)

    def read_names(self, row: SheetRow, column: str) -> tuple[str, ...]:
        """Return the space-separated names of a cell."""
        names = tuple(row.cells_by_column.get(column, '').split())
        for name in names:
            if not _NAME_PATTERN.fullmatch(name):
                self.add_fault(row, column, f'{name!r} is not a valid name')
        if len(set(names)) < len(names):
            self.add_fault(row, column, 'a name is repeated')
        return names

    def read_paths(self, row: SheetRow, column: str) -> tuple[str, ...]:
        """Return the space-separated path prefixes of a cell."""
        paths = tuple(row.cells_by_column.get(column, '').split())
        for path in paths:
            if not path.startswith('/'):
                self.add_fault(row, column, f'{path!r} does not start with /')
        return paths

    def read_sha256(self, row: SheetRow, column: str) -> str:
        """Return a cell that must contain a SHA-256 in lowercase hex."""
        cell = row.cells_by_column.get(column, '')
        if not _SHA256_PATTERN.fullmatch(cell):
            self.add_fault(
                row, column, 'not a SHA-256 of 64 lowercase hex digits'
            )
        return cell

    def read_integer(
        self, row: SheetRow, column: str, low: int, high: int
    ) -> int:
        """Return an integer from ``low`` to ``high``, both included."""
        cell = row.cells_by_column.get(column, '')
        # ASCII digits only: int() also accepts signs, spaces, underscores and
        # the digits of other scripts.
        number = int(cell) if _DIGITS_PATTERN.fullmatch(cell) else None
        if number is None or not low <= number <= high:
            fault = f'{cell!r} is not an integer from {low} to {high}'
            self.add_fault(row, column, fault)
            return low
        return number

    def read_rate(self, row: SheetRow, column: str, high: float) -> float:
        """Return a positive number, written with a decimal point."""
        cell = row.cells_by_column.get(column, '')
        try:
            number = float(cell)
        except ValueError:
            number = math.nan
        if not 0 < number <= high:
            fault = f'{cell!r} is not a number above 0 and up to {high:g}'
            self.add_fault(row, column, fault)
            return high
        return number

    def read_boolean(self, row: SheetRow, column: str) -> bool:
        """Return whether a cell is ``yes``; an empty cell means ``no``."""
        cell = row.cells_by_column.get(column, '') or 'no'
        if cell not in _BOOLEANS:
            self.add_fault(row, column, f'{cell!r} is neither yes nor no')
        return _BOOLEANS.get(cell, False)

    def read_choice(
        self, row: SheetRow, column: str, choices: Sequence[str]
    ) -> str:
        """Return a cell that must contain one of the choices."""
        cell = row.cells_by_column.get(column, '')
        if cell in choices:
            return cell
        self.add_fault(
            row, column, f'{cell!r} is not one of {", ".join(choices)}'
        )
        return choices[0]
