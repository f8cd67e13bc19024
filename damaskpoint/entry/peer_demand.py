"""Reports the demand of other entries to admission control."""

from __future__ import annotations

from typing import TYPE_CHECKING, final

from damaskpoint.admission.shares import DemandSource
from damaskpoint.membership.facts import Phase

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping, Sequence

    from damaskpoint.membership.service import Membership


@final
class PeerDemand(DemandSource):
    """Reads demand from the membership's view."""

    def __init__(
        self,
        membership: Membership,
        discovery_s: float,
        clock: Callable[[], float],
    ) -> None:
        """Count all listed entries as live for the first ``discovery_s``.

        A process that has just started does not know its peers yet, and must
        not use all of each limit itself.
        """
        self._membership = membership
        self._clock = clock
        self._discovery_ends_at = clock() + discovery_s
        self._names_updated_at = float('-inf')
        self._names: tuple[str, ...] = ()

    def entry_names(self, now: float) -> Sequence[str]:
        """Return the sorted names of all live entries, including this one."""
        if now != self._names_updated_at:
            self._names = self._collect_names(now)
            self._names_updated_at = now
        return self._names

    def peer_demands(self, account: str) -> Mapping[str, float]:
        """Return the offered requests per second of an account, by peer."""
        work = self._membership.view.work
        rates = dict.fromkeys(work.outstanding_by_peer(), float(0))
        for peer, demand in work.demands_of(account).items():
            rates[peer] = demand.offered_per_s
        return rates

    def peer_outstanding(self) -> Mapping[str, float]:
        """Return the running and waiting requests, by peer."""
        return self._membership.view.work.outstanding_by_peer()

    def _collect_names(self, now: float) -> tuple[str, ...]:
        names = {self._membership.view.own.name}
        for peer in self._membership.live_peers(now):
            if peer.phase is not Phase.STARTING:
                names.add(peer.name)
        if now < self._discovery_ends_at:
            names.update(self._membership.listed_by_name)
        return tuple(sorted(names))
