"""Compares two configurations entry by entry."""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING, Any, Final, final

if TYPE_CHECKING:
    from collections.abc import Mapping

    from damaskpoint.config.model import Configuration

_ATTRIBUTES_BY_SECTION: Final = {
    'zone': 'zones_by_name',
    'account': 'accounts_by_name',
    'pool': 'pools_by_name',
    'pipeline': 'pipelines_by_name',
    'targets': 'targets_by_pool',
}


@final
class ChangeKind(enum.Enum):
    """How an entry differs from the earlier configuration."""

    ADDED = 'added'
    CHANGED = 'changed'
    REMOVED = 'removed'


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """One difference.

    ``field``, ``old`` and ``new`` are set only for a changed field.
    """

    kind: ChangeKind
    section: str
    name: str
    field: str = ''
    old: str = ''
    new: str = ''


def compare(
    old: Configuration | None, new: Configuration
) -> tuple[Change, ...]:
    """Return all differences, ordered by section and name."""
    changes: list[Change] = []
    for section, attribute in _ATTRIBUTES_BY_SECTION.items():
        before = getattr(old, attribute) if old else {}
        after = getattr(new, attribute)
        changes.extend(_compare_section(section, before, after))
    return tuple(changes)


def _compare_section(
    section: str, before: Mapping[str, Any], after: Mapping[str, Any]
) -> list[Change]:
    changes = []
    for name in sorted({*before, *after}):
        if name not in before:
            changes.append(Change(ChangeKind.ADDED, section, name))
            continue
        if name not in after:
            changes.append(Change(ChangeKind.REMOVED, section, name))
            continue
        if before[name] != after[name]:
            changes.extend(
                _compare_entry(section, name, before[name], after[name])
            )
    return changes


def _compare_entry(
    section: str, name: str, before: Any, after: Any
) -> list[Change]:
    if isinstance(before, tuple):
        return _compare_lists(section, name, before, after)
    changes = []
    for field in dataclasses.fields(before):
        old = getattr(before, field.name)
        new = getattr(after, field.name)
        if old == new:
            continue
        if field.name == 'stages':
            changes.extend(_compare_lists(section, name, old, new))
            continue
        changes.append(
            Change(
                ChangeKind.CHANGED,
                section,
                name,
                field.name,
                _format_value(old),
                _format_value(new),
            )
        )
    return changes


def _compare_lists(
    section: str, name: str, before: tuple[Any, ...], after: tuple[Any, ...]
) -> list[Change]:
    """Compare lists such as stages by position, counted from 1."""
    changes = []
    for position in range(max(len(before), len(after))):
        old = before[position] if position < len(before) else None
        new = after[position] if position < len(after) else None
        if old == new:
            continue
        changes.append(
            Change(
                ChangeKind.CHANGED,
                section,
                name,
                str(position + 1),
                _format_value(old),
                _format_value(new),
            )
        )
    return changes


def _format_value(value: Any) -> str:
    if value is None:
        return '-'
    if isinstance(value, bool):
        return 'yes' if value else 'no'
    if isinstance(value, enum.Enum):
        return str(value.value)
    if isinstance(value, (tuple, frozenset)):
        return ' '.join(sorted(str(item) for item in value)) or '-'
    if dataclasses.is_dataclass(value):
        texts = []
        for field in dataclasses.fields(value):
            texts.append(_format_value(getattr(value, field.name)))
        return ' '.join(texts)
    return str(value)
