"""Decides which calls to a plain service may be repeated."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from damaskpoint.config.model import Pool

# The service may resolve a path that contains one of these to another path.
_AMBIGUOUS: Final = ('//', '/./', '/../', '%', '\\', ';')


def is_idempotent(pool: Pool, path: str) -> bool:
    """Return whether a call may be repeated, according to its pool.

    Only the pool's list of path prefixes decides, not the method: a GET may
    have side effects as well. A prefix matches whole path segments.
    """
    if any(part in f'{path}/' for part in _AMBIGUOUS):
        return False
    for prefix in pool.idempotent_paths:
        trimmed = prefix.rstrip('/')
        if path == trimmed or path.startswith(f'{trimmed}/'):
            return True
    return False
