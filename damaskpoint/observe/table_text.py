"""Formats a dump as aligned text."""

from __future__ import annotations

import json
from typing import Final

_INDENT: Final = '  '


def format_table(data: object) -> str:
    """Return a line per value, and a table per collection of records.

    A record is a mapping of plain values; a mapping or list of records with
    the same keys becomes a table with a line per record.
    """
    return '\n'.join(_format(data, '')) + '\n'


def _format(data: object, indent: str) -> list[str]:
    if isinstance(data, dict):
        return _format_mapping(data, indent)
    if isinstance(data, list):
        return _format_list(data, indent)
    return [f'{indent}{_format_value(data)}']


def _format_mapping(data: dict[str, object], indent: str) -> list[str]:
    rows = _find_rows(list(data.values()))
    if rows is not None:
        return _format_rows(list(data), rows, indent)
    lines = []
    width = max((len(key) for key in data), default=0)
    for key, value in data.items():
        if _is_plain(value):
            lines.append(f'{indent}{key:<{width}}  {_format_value(value)}')
            continue
        lines.append(f'{indent}{key}:')
        lines.extend(_format(value, indent + _INDENT))
    return lines


def _format_list(data: list[object], indent: str) -> list[str]:
    rows = _find_rows(data)
    if rows is not None:
        names = [str(number) for number in range(1, len(rows) + 1)]
        return _format_rows(names, rows, indent)
    lines = []
    for item in data:
        lines.extend(_format(item, indent))
    return lines or [f'{indent}(none)']


def _find_rows(values: list[object]) -> list[dict[str, object]] | None:
    """Return the values if all are records with the same keys, else None."""
    rows = []
    for value in values:
        if not isinstance(value, dict) or not value:
            return None
        if not all(_is_plain(item) for item in value.values()):
            return None
        rows.append(value)
    if not rows or any(set(row) != set(rows[0]) for row in rows):
        return None
    return rows


def _format_rows(
    names: list[str], rows: list[dict[str, object]], indent: str
) -> list[str]:
    columns = list(rows[0])
    cells = [['', *columns]]
    for name, row in zip(names, rows, strict=True):
        shown = [_format_value(row[column]) for column in columns]
        cells.append([name, *shown])
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    return [f'{indent}{_pad(line, widths)}'.rstrip() for line in cells]


def _pad(line: list[str], widths: list[int]) -> str:
    padded = [
        cell.ljust(width) for cell, width in zip(line, widths, strict=True)
    ]
    return _INDENT.join(padded)


def _is_plain(value: object) -> bool:
    return not isinstance(value, (dict, list)) or not value


def _format_value(value: object) -> str:
    if value is None or isinstance(value, (dict, list)):
        return '-'
    return value if isinstance(value, str) else json.dumps(value)
