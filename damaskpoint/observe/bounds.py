"""Bounds the size of a dump, independent of the size of a process's tables."""

from __future__ import annotations

_OMITTED = '(omitted)'


def bound_collections(data: object, max_items: int) -> object:
    """Return the data with at most ``max_items`` entries per collection.

    The number of omitted entries is added under the key ``(omitted)``; in a
    list, as a last item that is a mapping with this key.
    """
    if isinstance(data, dict):
        return _bound_dict(data, max_items)
    if isinstance(data, (list, tuple)):
        return _bound_list(data, max_items)
    if data is None or isinstance(data, (str, bool, int, float)):
        return data
    return str(data)


def _bound_dict(data: dict[object, object], max_items: int) -> object:
    bounded: dict[str, object] = {}
    for key, value in data.items():
        if len(bounded) == max_items:
            bounded[_OMITTED] = len(data) - max_items
            break
        bounded[str(key)] = bound_collections(value, max_items)
    return bounded


def _bound_list(
    data: list[object] | tuple[object, ...], max_items: int
) -> object:
    bounded: list[object] = []
    for item in data[:max_items]:
        bounded.append(bound_collections(item, max_items))
    if len(data) > max_items:
        bounded.append({_OMITTED: len(data) - max_items})
    return bounded
