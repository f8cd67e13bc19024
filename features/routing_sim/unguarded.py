"""Removes one guard of the cold-start protocol from a simulated entry."""

from __future__ import annotations

from typing import TYPE_CHECKING

from damaskpoint.routing.leases import NEVER

if TYPE_CHECKING:
    from collections.abc import Callable

    from features.routing_sim.entries import SimEntry


def without_deadline(entry: SimEntry) -> None:
    """Let the holder send as long as it assumes that it holds the lease."""
    permits = entry.core.permits

    def is_held(name: str, now: float) -> bool:
        lease = permits.leases_by_name.get(name)
        return lease is not None and lease.deadline > NEVER

    _replace(permits, 'is_held', is_held)


def without_bound(entry: SimEntry) -> None:
    """Let the holder count only its own calls."""
    permits = entry.core.permits

    def count_free_permits(
        name: str, own_in_flight: int, limit: int, now: float
    ) -> int:
        return (
            max(0, limit - own_in_flight) if permits.is_held(name, now) else 0
        )

    _replace(permits, 'count_free_permits', count_free_permits)


def without_lease(entry: SimEntry) -> None:
    """Let every entry send up to the cold limit without a lease."""
    permits = entry.core.permits

    def count_free_permits(
        name: str, own_in_flight: int, limit: int, now: float
    ) -> int:
        return max(0, limit - own_in_flight)

    _replace(permits, 'count_free_permits', count_free_permits)


def without_loans(entry: SimEntry) -> None:
    """Let the holder not count the permits it has lent."""
    permits = entry.core.permits

    def count_free_permits(
        name: str, own_in_flight: int, limit: int, now: float
    ) -> int:
        if not permits.is_held(name, now):
            return 0
        uncounted = permits.leases_by_name[name].uncounted
        if uncounted.others is None:
            return 0
        return max(
            0,
            limit
            - own_in_flight
            - uncounted.others
            - len(uncounted.unconfirmed_ends),
        )

    _replace(permits, 'count_free_permits', count_free_permits)


def without_proof_age(entry: SimEntry) -> None:
    """Let a proof of warmth never expire."""
    entry.warmth.bound_s = 1_000


def without_pause_guard(entry: SimEntry) -> None:
    """Let a paused entry trust its old messages."""
    _replace(entry.core.observations, 'detect_pause', _detect_nothing)


def _detect_nothing(now: float) -> None:
    """Replace the detection of pauses."""


def _replace(owner: object, name: str, other: object) -> None:
    setattr(owner, name, other)


GUARD_REMOVERS_BY_NAME: dict[str, Callable[[SimEntry], None]] = {
    'lease': without_lease,
    "lease's deadline": without_deadline,
    'bound on other calls': without_bound,
    'count of loans': without_loans,
    'expiry of proofs': without_proof_age,
    'detection of pauses': without_pause_guard,
}
