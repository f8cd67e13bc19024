"""Splits the bytes of a sheet into sections of rows, with their positions.

A sheet is CSV in UTF-8. A row whose first cell is a section's name in
brackets opens the section, the next row names its columns, and each following
row is one entry. Empty rows and rows that start with ``#`` are ignored.
"""

from __future__ import annotations

import codecs
import csv
import io
from dataclasses import dataclass, field
from typing import Final, final

MAX_SHEET_BYTES: Final = 16_777_216
MAX_SHEET_ROWS: Final = 100_000
MAX_CELL_CHARACTERS: Final = 1_000
MAX_SHEET_COLUMNS: Final = 50


@final
@dataclass(frozen=True, slots=True)
class SheetFault:
    """An error at a position of a sheet.

    Lines and columns are counted from 1; 0 denotes the whole sheet or line.
    """

    line: int
    column: int
    text: str


@final
@dataclass(frozen=True, slots=True)
class SheetRow:
    """One entry of a section: cells and column numbers by column name."""

    line: int
    cells_by_column: dict[str, str]
    numbers_by_column: dict[str, int]


@final
@dataclass(slots=True)
class SheetSection:
    """The header and rows of a section."""

    name: str
    line: int
    header_line: int = 0
    numbers_by_column: dict[str, int] | None = None
    rows: list[SheetRow] = field(default_factory=list)


@final
@dataclass(slots=True)
class SplitSheet:
    """The sections of a sheet, and the faults found while splitting it."""

    sections_by_name: dict[str, SheetSection] = field(default_factory=dict)
    faults: list[SheetFault] = field(default_factory=list)


def split_sheet(body: bytes) -> SplitSheet:
    """Split a sheet into sections; faults are collected in the result."""
    if len(body) > MAX_SHEET_BYTES:
        text = f'the sheet has more than {MAX_SHEET_BYTES} bytes'
        return SplitSheet(faults=[SheetFault(0, 0, text)])
    body = body.removeprefix(codecs.BOM_UTF8)
    try:
        decoded = body.decode('utf-8')
    except UnicodeDecodeError as error:
        return SplitSheet(faults=[_locate_bad_byte(body, error)])
    splitter = _SectionSplitter()
    reader = csv.reader(
        io.StringIO(decoded, newline=''),
        delimiter=_find_delimiter(decoded),
        strict=True,
    )
    line = 1
    try:
        for cells in reader:
            if not splitter.add(line, cells):
                break
            line = reader.line_num + 1
    except csv.Error as error:
        splitter.add_fault(line, 0, f'the CSV is malformed: {error}')
    return splitter.finish()


class _SectionSplitter:
    """Assigns the rows of a sheet, in their order, to sections."""

    def __init__(self) -> None:
        self._sheet = SplitSheet()
        self._current: SheetSection | None = None
        self._row_count = 0

    def add(self, line: int, cells: list[str]) -> bool:
        """Add one row; return False once the sheet has too many rows."""
        self._row_count += 1
        if self._row_count > MAX_SHEET_ROWS:
            fault = f'the sheet has more than {MAX_SHEET_ROWS} rows'
            self.add_fault(line, 0, fault)
            return False
        cells = _trim(cells)
        if not cells or cells[0].startswith('#'):
            return True
        if self._has_bad_size(line, cells):
            return True
        if cells[0].startswith('['):
            self._open_section(line, cells)
            return True
        self._add_to_section(line, cells)
        return True

    def add_fault(self, line: int, column: int, text: str) -> None:
        """Add a fault at a position."""
        self._sheet.faults.append(SheetFault(line, column, text))

    def finish(self) -> SplitSheet:
        """Return all sections; report those without a header."""
        for section in self._sheet.sections_by_name.values():
            if section.numbers_by_column is None:
                self.add_fault(
                    section.line, 1, f'[{section.name}] has no header row'
                )
        return self._sheet

    def _has_bad_size(self, line: int, cells: list[str]) -> bool:
        if len(cells) > MAX_SHEET_COLUMNS:
            fault = f'the row has more than {MAX_SHEET_COLUMNS} cells'
            self.add_fault(line, MAX_SHEET_COLUMNS + 1, fault)
            return True
        for column, cell in enumerate(cells, start=1):
            if len(cell) > MAX_CELL_CHARACTERS:
                fault = f'more than {MAX_CELL_CHARACTERS} characters'
                self.add_fault(line, column, fault)
                return True
        return False

    def _open_section(self, line: int, cells: list[str]) -> None:
        title = cells[0]
        name = title[1:-1]
        self._current = SheetSection(name, line)
        if not title.endswith(']') or len(cells) > 1:
            self.add_fault(line, 1, f'{title!r} is not a section title')
            return
        first = self._sheet.sections_by_name.get(name)
        if first:
            fault = f'[{name}] is already open at line {first.line}'
            self.add_fault(line, 1, fault)
            return
        self._sheet.sections_by_name[name] = self._current

    def _add_to_section(self, line: int, cells: list[str]) -> None:
        section = self._current
        if section is None:
            self.add_fault(line, 1, 'the row is before any [section]')
            return
        if section.numbers_by_column is None:
            section.header_line = line
            section.numbers_by_column = self._read_header(line, cells)
            return
        if len(cells) > len(section.numbers_by_column):
            column = len(section.numbers_by_column) + 1
            self.add_fault(line, column, 'a cell without a column')
            return
        cells_by_column: dict[str, str] = {}
        for column_name, number in section.numbers_by_column.items():
            cell = cells[number - 1] if number <= len(cells) else ''
            cells_by_column[column_name] = cell
        section.rows.append(
            SheetRow(line, cells_by_column, section.numbers_by_column)
        )

    def _read_header(self, line: int, cells: list[str]) -> dict[str, int]:
        numbers_by_column: dict[str, int] = {}
        for number, cell in enumerate(cells, start=1):
            if cell in numbers_by_column:
                self.add_fault(line, number, f'column {cell!r} is repeated')
                continue
            numbers_by_column[cell] = number
        return numbers_by_column


def _trim(cells: list[str]) -> list[str]:
    """Strip the cells and drop the empty ones at the end of the row."""
    stripped = [cell.strip() for cell in cells]
    while stripped and not stripped[-1]:
        stripped.pop()
    return stripped


def _find_delimiter(decoded: str) -> str:
    """Return the semicolon if the first header has one and no comma."""
    for line in decoded.splitlines():
        if not line or line.startswith(('[', '#')):
            continue
        return ';' if ';' in line and ',' not in line else ','
    return ','


def _locate_bad_byte(body: bytes, error: UnicodeDecodeError) -> SheetFault:
    before = body[: error.start]
    line = before.count(b'\n') + 1
    start = before.rfind(b'\n') + 1
    column = before[start:].count(b',') + before[start:].count(b';') + 1
    text = f'byte {body[error.start]:#04x} is not UTF-8; export as UTF-8'
    return SheetFault(line, column, text)
