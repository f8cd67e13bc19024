"""Reads typed values out of a sheet's cells and collects every fault."""

from __future__ import annotations

import math
import re
from typing import TYPE_CHECKING, Final, final

from damaskpoint.config.sheet_text import SheetFault, SheetRow

if TYPE_CHECKING:
    from collections.abc import Sequence

_NAME: Final = re.compile(r'[A-Za-z0-9][A-Za-z0-9._-]{0,62}')
_SHA256: Final = re.compile('[0-9a-f]{64}')
_DIGITS: Final = re.compile('[0-9]{1,15}')
_BOOLEANS: Final = {'yes': True, 'no': False}


@final
class CellReader:
    """Reads cells of rows; a bad cell is noted and read as a stand-in.

    The stand-in only keeps the reading going, so that one pass finds all
    faults: a sheet with any fault is refused whole.
    """

    def __init__(self) -> None:
        """Start without faults."""
        self.faults: list[SheetFault] = []

    def add_fault(self, row: SheetRow, column: str, text: str) -> None:
        """Note what is wrong with one cell."""
        number = row.numbers_by_column.get(column, 0)
        self.faults.append(SheetFault(row.line, number, f'{column}: {text}'))

    def read_name(self, row: SheetRow, column: str) -> str:
        """Return a cell that must hold a name."""
        cell = row.cells_by_column.get(column, '')
        if not _NAME.fullmatch(cell):
            self.add_fault(row, column, f'{cell!r} is no name')
        return cell

    def read_optional_name(self, row: SheetRow, column: str) -> str:
        """Return a cell that holds a name or nothing."""
        if not row.cells_by_column.get(column, ''):
            return ''
        return self.read_name(row, column)

    def read_names(self, row: SheetRow, column: str) -> tuple[str, ...]:
        """Return the names of a cell, which stand apart by spaces."""
        names = tuple(row.cells_by_column.get(column, '').split())
        for name in names:
            if not _NAME.fullmatch(name):
                self.add_fault(row, column, f'{name!r} is no name')
        if len(set(names)) < len(names):
            self.add_fault(row, column, 'a name stands twice')
        return names

    def read_paths(self, row: SheetRow, column: str) -> tuple[str, ...]:
        """Return the path prefixes of a cell, apart by spaces."""
        paths = tuple(row.cells_by_column.get(column, '').split())
        for path in paths:
            if not path.startswith('/'):
                self.add_fault(row, column, f'{path!r} does not start with /')
        return paths

    def read_sha256(self, row: SheetRow, column: str) -> str:
        """Return a cell that holds a SHA-256 in lower hexadecimal."""
        cell = row.cells_by_column.get(column, '')
        if not _SHA256.fullmatch(cell):
            self.add_fault(row, column, 'no SHA-256 of 64 lower hex digits')
        return cell

    def read_integer(
        self, row: SheetRow, column: str, low: int, high: int
    ) -> int:
        """Return a whole number within bounds, both included."""
        cell = row.cells_by_column.get(column, '')
        # Digits alone: no sign, no space, no underscore, no other script.
        number = int(cell) if _DIGITS.fullmatch(cell) else None
        if number is None or not low <= number <= high:
            fault = f'{cell!r} is no whole number from {low} to {high}'
            self.add_fault(row, column, fault)
            return low
        return number

    def read_rate(self, row: SheetRow, column: str, high: float) -> float:
        """Return a positive number with a point for its decimals."""
        cell = row.cells_by_column.get(column, '')
        try:
            number = float(cell)
        except ValueError:
            number = math.nan
        if not 0 < number <= high:
            fault = f'{cell!r} is no number above 0 and up to {high:g}'
            self.add_fault(row, column, fault)
            return high
        return number

    def read_boolean(self, row: SheetRow, column: str) -> bool:
        """Return whether a cell says ``yes``; nothing means ``no``."""
        cell = row.cells_by_column.get(column, '') or 'no'
        if cell not in _BOOLEANS:
            self.add_fault(row, column, f'{cell!r} is neither yes nor no')
        return _BOOLEANS.get(cell, False)

    def read_choice(
        self, row: SheetRow, column: str, choices: Sequence[str]
    ) -> str:
        """Return a cell that must hold one of the choices."""
        cell = row.cells_by_column.get(column, '')
        if cell in choices:
            return cell
        self.add_fault(row, column, f'{cell!r} is none of {", ".join(choices)}')
        return choices[0]
