"""Which calls to a plain service may be repeated."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from damaskpoint.config.model import Pool

# A path with one of these may mean another path to the service than to us.
_UNCLEAR: Final = ('//', '/./', '/../', '%', '\\', ';')


def is_idempotent(pool: Pool, path: str) -> bool:
    """Return whether the settings say that a call may be repeated.

    Only the pool's list of paths says so, whatever the method: a service may
    well count or consume on a GET. A prefix matches whole segments.
    """
    if any(part in f'{path}/' for part in _UNCLEAR):
        return False
    for prefix in pool.idempotent_paths:
        trimmed = prefix.rstrip('/')
        if path == trimmed or path.startswith(f'{trimmed}/'):
            return True
    return False
