"""Leases on cold upstreams: who holds the permits, and how many are free.

The protocol: an entry that needs a cold upstream claims its lease row. Only
the holder sends, while its own clock is before ``sent_at + lease_s - margin``,
where ``sent_at`` was read before the claim or renewal was sent. A rival takes
over a row only after it has seen the same version unchanged for ``lease_s``
plus the margin on its own clock, by a conditional write on that version.
Therefore the last send of the old holder precedes the first send of the rival.

Calls that were sent earlier, under an old lease or while the upstream counted
as warm, may still run. A new holder therefore sends nothing until their number
is bounded by a report that was requested after all other entries must have
stopped sending (see ``leases.UncountedCalls``).
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from damaskpoint import defaults
from damaskpoint.routing.claims import ClaimPlanner, LeaseOptions
from damaskpoint.routing.leases import NEVER, OWNER_SEPARATOR, Lease, LeaseState

if TYPE_CHECKING:
    from damaskpoint.routing.lease_hooks import LeaseHooks


class PermitManager:
    """Manages the leases of one entry and counts their free permits."""

    def __init__(self, options: LeaseOptions, hooks: LeaseHooks) -> None:
        """Start with no lease."""
        self._options = options
        self._hooks = hooks
        self.leases_by_name: dict[str, Lease] = {}
        self.claims = ClaimPlanner(options, hooks, self.leases_by_name)

    # Commands.

    def request_lease(
        self, name: str, now: float, *, is_nonreporting: bool
    ) -> None:
        """Request a lease, to be claimed after this entry's claim delay.

        A non-reporting upstream does not report its load.
        """
        lease = self.leases_by_name.get(name)
        if lease is None:
            lease = Lease(name)
            self.leases_by_name[name] = lease
        if now >= lease.wanted_until:
            lease.claim_at = now + self._hooks.find_claim_delay(name)
        lease.wanted_until = now + defaults.LEASE_REQUEST_KEEP_S
        lease.is_release_wanted = False
        lease.uncounted.is_nonreporting = is_nonreporting

    def release_lease(self, name: str) -> None:
        """Stop sending under the lease and release its row."""
        lease = self.leases_by_name.get(name)
        if lease is None:
            return
        lease.wanted_until = NEVER
        lease.is_release_wanted = True
        lease.deadline = NEVER

    def set_settled_at(self, name: str, settled_at: float) -> None:
        """Set the time from which no other entry sends; infinite if unknown.

        A later time than before means that the upstream may have been warm
        in between, so the bound on its calls is discarded.
        """
        lease = self.leases_by_name.get(name)
        if lease is None:
            return
        known_at = lease.uncounted.settled_at
        # Calls sent just before need the margin to arrive.
        arrived_at = settled_at + self._options.margin_s
        if math.isinf(known_at) or arrived_at > known_at:
            lease.uncounted.restart(arrived_at)

    def record_unconfirmed_end(self, name: str, now: float) -> None:
        """Count a call that may still be running in the upstream."""
        lease = self.leases_by_name.get(name)
        if lease is not None:
            lease.uncounted.add_unconfirmed_end(now)

    def apply_report(
        self, name: str, requested_at: float, in_flight: int
    ) -> None:
        """Apply a report that this entry requested itself."""
        lease = self.leases_by_name.get(name)
        if lease is not None:
            lease.uncounted.apply_report(
                requested_at, self._options.lag_s, in_flight
            )

    def sweep(self, now: float) -> None:
        """Release leases that are no longer wanted and remove finished ones."""
        done = []
        for name, lease in self.leases_by_name.items():
            lease.uncounted.expire(now)
            if lease.is_write_pending or now < lease.wanted_until:
                continue
            if lease.state is LeaseState.HELD:
                lease.is_release_wanted = True
                lease.deadline = NEVER
                continue
            if lease.state is not LeaseState.DOUBTFUL:
                done.append(name)
        for name in done:
            self.leases_by_name.pop(name)

    # Queries.

    @property
    def owner(self) -> str:
        """Return this entry's owner field in the rows."""
        return self._options.owner

    def is_held(self, name: str, now: float) -> bool:
        """Return whether this entry may send under its lease now."""
        lease = self.leases_by_name.get(name)
        return lease is not None and now < lease.deadline

    def count_free_permits(
        self, name: str, own_in_flight: int, limit: int, now: float
    ) -> int:
        """Return how many more calls may be sent; 0 without the lease."""
        lease = self.leases_by_name.get(name)
        if lease is None or not self.is_held(name, now):
            return 0
        bound = lease.uncounted.find_bound()
        if bound is None:
            return 0
        return max(0, limit - own_in_flight - bound)

    def find_holder(self, name: str) -> str | None:
        """Return the entry that held the lease in the last read, or None."""
        lease = self.leases_by_name.get(name)
        if lease is None or lease.state is not LeaseState.RIVAL:
            return None
        return lease.rival.partition(OWNER_SEPARATOR)[0]

    def find_ready_at(self, name: str) -> float:
        """Return when the holder may start to send; infinite if unknown."""
        lease = self.leases_by_name[name]
        if lease.uncounted.others is not None:
            return NEVER
        if lease.uncounted.is_nonreporting:
            return lease.uncounted.settled_at
        return lease.uncounted.settled_at + self._options.lag_s

    def find_claim_ready_at(self, name: str, now: float) -> float:
        """Return when a pending claim may yield a permit, or infinity."""
        lease = self.leases_by_name.get(name)
        if lease is None or lease.state is LeaseState.RIVAL:
            return math.inf
        return max(now, lease.claim_at) + self._options.lease_s


def create_permit_manager(
    options: LeaseOptions, hooks: LeaseHooks
) -> PermitManager:
    """Return a permit manager without leases."""
    return PermitManager(options, hooks)
