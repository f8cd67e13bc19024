"""What admission is told of the other entries' demand."""

from __future__ import annotations

from typing import TYPE_CHECKING, final

from damaskpoint.admission.shares import DemandSource
from damaskpoint.membership.facts import Phase

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping, Sequence

    from damaskpoint.membership.service import Membership


@final
class PeerDemand(DemandSource):
    """Reads demand out of the membership's view."""

    def __init__(
        self,
        membership: Membership,
        settle_s: float,
        clock: Callable[[], float],
    ) -> None:
        """Count all listed entries as live for the first ``settle_s``.

        A process that has just started has not heard of its peers yet; it
        must not take all limits for its own.
        """
        self._membership = membership
        self._clock = clock
        self._settled_at = clock() + settle_s
        self._names_at = float('-inf')
        self._names: tuple[str, ...] = ()

    def entry_names(self, now: float) -> Sequence[str]:
        """Return the names of all live entries in order, own included."""
        if now != self._names_at:
            self._names = self._collect_names(now)
            self._names_at = now
        return self._names

    def peer_demands(self, account: str) -> Mapping[str, float]:
        """Return requests a second offered, by the peers that told them."""
        work = self._membership.view.work
        rates = dict.fromkeys(work.work_by_peer(), float(0))
        for peer, demand in work.demands_of(account).items():
            rates[peer] = demand.offered_per_s
        return rates

    def peer_outstanding(self) -> Mapping[str, float]:
        """Return requests running or waiting, by the peers that told."""
        return self._membership.view.work.work_by_peer()

    def _collect_names(self, now: float) -> tuple[str, ...]:
        names = {self._membership.view.own.name}
        for peer in self._membership.live_peers(now):
            if peer.phase is not Phase.STARTING:
                names.add(peer.name)
        if now < self._settled_at:
            names.update(self._membership.listed_names)
        return tuple(sorted(names))
