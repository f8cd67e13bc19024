"""Leases on cold upstreams: whose few permits they are, and how many.

The protocol. Whoever needs a cold upstream claims its row. Only the holder
sends, while its own clock is before ``sent_at + lease_s - margin``, where
``sent_at`` was read before the claim or renewal left. A rival takes a row
over only after it has seen the same version unchanged for ``lease_s`` plus
the margin on its own clock, by a conditional write on that version. So the
old holder's last send comes before the rival's first. What was sent before,
under an old lease or while the upstream passed for warm, may still be
inside: a new holder sends nothing until a report that was asked for after
everybody else must have stopped bounds it (``leases.Inside``).
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from damaskpoint import defaults
from damaskpoint.routing.claims import ClaimPlanner, LeaseTerms
from damaskpoint.routing.leases import NEVER, OWNER_MARK, Lease, LeaseState

if TYPE_CHECKING:
    from damaskpoint.routing.permit_events import PermitEvents


class PermitBook:
    """The leases of one entry, and the room that they give."""

    def __init__(self, terms: LeaseTerms, events: PermitEvents) -> None:
        """Start with no lease."""
        self._terms = terms
        self._events = events
        self.leases_by_name: dict[str, Lease] = {}
        self.claims = ClaimPlanner(terms, events, self.leases_by_name)

    # Commands.

    def want(self, name: str, now: float, *, is_silent: bool) -> None:
        """Wish for a lease, to be claimed when it is this entry's turn.

        A silent upstream does not report its load.
        """
        lease = self.leases_by_name.get(name)
        if lease is None:
            lease = Lease(name)
            self.leases_by_name[name] = lease
        if now >= lease.wanted_until:
            lease.wish_at = now + self._events.find_delay(name)
        lease.wanted_until = now + defaults.CLAIM_WISH_S
        lease.is_release_wanted = False
        lease.inside.is_silent = is_silent

    def give_up(self, name: str) -> None:
        """Send nothing more under the lease, and release its row."""
        lease = self.leases_by_name.get(name)
        if lease is None:
            return
        lease.wanted_until = NEVER
        lease.is_release_wanted = True
        lease.deadline = NEVER

    def note_settled(self, name: str, settled_at: float) -> None:
        """Take from when nobody else sends; infinite while not known.

        A later time than before means that the upstream may have been warm
        in between, so the bound on what is inside starts anew.
        """
        lease = self.leases_by_name.get(name)
        if lease is None:
            return
        held = lease.inside.settled_at
        # What was sent last needs a moment to arrive.
        arrived_at = settled_at + self._terms.margin_s
        if math.isinf(held) or arrived_at > held:
            lease.inside.restart(arrived_at)

    def note_unseen_end(self, name: str, now: float) -> None:
        """Count a call that may go on in the upstream."""
        lease = self.leases_by_name.get(name)
        if lease is not None:
            lease.inside.add_unseen_end(now)

    def note_report(
        self, name: str, requested_at: float, in_flight: int
    ) -> None:
        """Take a report that this entry asked for itself."""
        lease = self.leases_by_name.get(name)
        if lease is not None:
            lease.inside.note_report(requested_at, self._terms.lag_s, in_flight)

    def sweep(self, now: float) -> None:
        """Release what nobody wants and forget what is over."""
        done = []
        for name, lease in self.leases_by_name.items():
            lease.inside.wait_out(now)
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
        """Return the owner as it stands in the rows."""
        return self._terms.owner

    def is_held(self, name: str, now: float) -> bool:
        """Return whether this entry may send under its lease now."""
        lease = self.leases_by_name.get(name)
        return lease is not None and now < lease.deadline

    def find_room(self, name: str, own: int, limit: int, now: float) -> int:
        """Return how many more calls may be sent; 0 without the lease."""
        lease = self.leases_by_name.get(name)
        if lease is None or not self.is_held(name, now):
            return 0
        bound = lease.inside.find_bound()
        if bound is None:
            return 0
        return max(0, limit - own - bound)

    def find_holder(self, name: str) -> str | None:
        """Return the entry that holds the lease, as far as was read."""
        lease = self.leases_by_name.get(name)
        if lease is None or lease.state is not LeaseState.RIVAL:
            return None
        return lease.rival.partition(OWNER_MARK)[0]

    def find_ready(self, name: str) -> float:
        """Return from when the holder may send; infinite if not known."""
        lease = self.leases_by_name[name]
        if lease.inside.others is not None:
            return NEVER
        if lease.inside.is_silent:
            return lease.inside.settled_at
        return lease.inside.settled_at + self._terms.lag_s

    def find_claimed(self, name: str, now: float) -> float:
        """Return when a claim under way may give a permit, or infinity."""
        lease = self.leases_by_name.get(name)
        if lease is None or lease.state is LeaseState.RIVAL:
            return math.inf
        return max(now, lease.wish_at) + self._terms.lease_s


def create_permit_book(terms: LeaseTerms, events: PermitEvents) -> PermitBook:
    """Return an empty book."""
    return PermitBook(terms, events)
