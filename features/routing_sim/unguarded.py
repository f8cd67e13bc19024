"""Takes one guard of the cold-start protocol off a simulated entry."""

from __future__ import annotations

from typing import TYPE_CHECKING

from damaskpoint.routing.leases import NEVER

if TYPE_CHECKING:
    from collections.abc import Callable

    from features.routing_sim.entries import SimEntry


def without_deadline(entry: SimEntry) -> None:
    """Let the holder send for as long as it believes that it holds."""
    book = entry.core.permits

    def is_held(name: str, now: float) -> bool:
        lease = book.leases_by_name.get(name)
        return lease is not None and lease.deadline > NEVER

    _replace(book, 'is_held', is_held)


def without_bound(entry: SimEntry) -> None:
    """Let the holder count nothing but its own calls."""
    book = entry.core.permits

    def find_room(name: str, own: int, limit: int, now: float) -> int:
        return max(0, limit - own) if book.is_held(name, now) else 0

    _replace(book, 'find_room', find_room)


def without_lease(entry: SimEntry) -> None:
    """Let every entry send up to the cold limit."""
    book = entry.core.permits

    def find_room(name: str, own: int, limit: int, now: float) -> int:
        return max(0, limit - own)

    _replace(book, 'find_room', find_room)


def without_loans(entry: SimEntry) -> None:
    """Let the holder forget what it has lent."""
    book = entry.core.permits

    def find_room(name: str, own: int, limit: int, now: float) -> int:
        if not book.is_held(name, now):
            return 0
        inside = book.leases_by_name[name].inside
        if inside.others is None:
            return 0
        return max(0, limit - own - inside.others - len(inside.unseen_ends))

    _replace(book, 'find_room', find_room)


def without_proof_age(entry: SimEntry) -> None:
    """Let a proof of warmth hold for ever."""
    entry.warmth.bound_s = 1_000


def without_pause_guard(entry: SimEntry) -> None:
    """Let a paused entry believe its old messages."""
    _replace(entry.core.observations, 'note_alive', _notice_nothing)


def _notice_nothing(now: float) -> None:
    """Stand in for a notice of time."""


def _replace(owner: object, name: str, other: object) -> None:
    setattr(owner, name, other)


UNGUARDS_BY_NAME: dict[str, Callable[[SimEntry], None]] = {
    'lease': without_lease,
    "lease's deadline": without_deadline,
    'bound on work inside': without_bound,
    'count of loans': without_loans,
    "proof's age": without_proof_age,
    'notice of a pause': without_pause_guard,
}
