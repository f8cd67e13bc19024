"""Peers of a gateway: found in the store, heard by gossip."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, Final, final

from damaskpoint import defaults
from damaskpoint.batching.base import Peers
from damaskpoint.errors import Failure
from damaskpoint.membership import facts
from damaskpoint.membership.gossip import MembershipListener
from damaskpoint.platform.base import ListedInstance, Presence

if TYPE_CHECKING:
    from damaskpoint.balancing.loads import RunnerLoads
    from damaskpoint.batching.paces import PaceTable
    from damaskpoint.batching.pledges import PledgeTable
    from damaskpoint.batching.pool import StagePool
    from damaskpoint.forwarding.budgets import ServiceBudgets
    from damaskpoint.membership.service import Membership
    from damaskpoint.platform.store_instances import StoreInstances

_LOG: Final = logging.getLogger(__name__)
# Pauses between reads of the peers' table (seconds): short at first, as
# instances start together, then long, as gossip tells of new ones.
_READ_PAUSES_S: Final = (0.3, 0.7, 1.5, 3.0)
_READ_PAUSE_S: Final = 5.0
# Time for which the set of live instances is kept (seconds): a fraction of a
# round of gossip, as requests ask for it many times.
_VIEW_S: Final = 0.03


@final
class GatewayPeers(Peers):
    """The live instances, kept for one round of gossip."""

    def __init__(self, own_name: str, membership: Membership) -> None:
        """Ask this membership."""
        self._own_name = own_name
        self._membership = membership
        self._batching: frozenset[str] = frozenset()
        self._asked_at = float('-inf')

    def batching_names(self, now: float) -> frozenset[str]:
        """Return the live instances that may batch for runners."""
        if now - self._asked_at > _VIEW_S:
            self._asked_at = now
            self._batching = frozenset(
                peer.name
                for peer in self._membership.live_peers(now)
                if peer.phase is facts.Phase.SERVING
            )
        return self._batching

    def find_address(self, name: str, now: float) -> facts.Address | None:
        """Return where a live instance is, or None."""
        peer = self._membership.view.peers.find_live(name, now)
        return None if peer is None else peer.address


@final
class GatewayListener(MembershipListener):
    """Tells peers of the own queues and loads, and hears theirs."""

    def __init__(
        self,
        membership: Membership,
        pool: StagePool,
        paces: PaceTable,
        pledges: PledgeTable,
        loads: RunnerLoads,
        budgets: ServiceBudgets,
    ) -> None:
        """Stand between gossip and these parts."""
        self._membership = membership
        self._pool = pool
        self._paces = paces
        self._pledges = pledges
        self._loads = loads
        self._budgets = budgets

    def prepare_round(self, now: float) -> None:
        """Tell what has changed here, and take stock of the peers."""
        self._membership.publish_shares(self._loads.own_by_runner)
        self._membership.publish_paces(self._pool.own_paces(now))
        self._membership.publish_pledges(self._pledges.list_own())
        self._loads.set_peer_counts(self._membership.view.work.sum_shares())
        self._paces.expire(now)
        self._pledges.expire(now)
        self._budgets.set_instance_count(
            len(self._membership.live_peers(now)) + 1
        )

    def on_configuration(
        self, fact: facts.ConfigurationFact, peer: facts.PeerFact, now: float
    ) -> None:
        """Do nothing: each instance follows the store itself."""

    def on_mark(self, mark: facts.Mark, now: float) -> None:
        """Do nothing: each instance follows the store itself."""

    def on_load(self, load: facts.LoadFact, now: float) -> None:
        """Do nothing: runners are not asked for their load."""

    def on_shares(
        self, peer: str, shares: tuple[facts.ShareFact, ...], now: float
    ) -> None:
        """Wait for the next round, which takes them from the view."""

    def on_paces(
        self, peer: str, paces: tuple[facts.PaceFact, ...], now: float
    ) -> None:
        """Pass on how fast the groups of a peer work."""
        self._paces.record(paces, now)

    def on_pledges(
        self, peer: str, pledges: tuple[facts.PledgeFact, ...], now: float
    ) -> None:
        """Pass on the pieces that a peer's requests still need."""
        self._pledges.record_peer(peer, pledges, now)


@final
class Discovery:
    """Writes the own address to the store and reads the peers'."""

    def __init__(
        self,
        instances: StoreInstances,
        own: ListedInstance,
        membership: Membership,
    ) -> None:
        """Tell this membership of the peers that are found."""
        self._instances = instances
        self._own = own
        self._membership = membership

    async def run(self) -> None:
        """Register, then read the table again and again."""
        while await self._register() is not None:
            await asyncio.sleep(_READ_PAUSES_S[0])
        pauses = iter(_READ_PAUSES_S)
        while True:
            await self._read()
            await asyncio.sleep(next(pauses, _READ_PAUSE_S))

    async def deregister(self) -> None:
        """Remove the own address."""
        failure = await self._instances.deregister(self._own.name)
        if failure is not None:
            _LOG.warning(
                'own address not removed from the store',
                extra={'reason': failure.detail},
            )

    async def _register(self) -> Failure | None:
        failure = await self._instances.register(self._own)
        if failure is not None:
            _LOG.warning(
                'own address not written to the store',
                extra={'reason': failure.detail},
            )
        return failure

    async def _read(self) -> None:
        read = await self._instances.fetch_peers()
        if isinstance(read, Failure):
            _LOG.warning(
                'addresses of peers not read', extra={'reason': read.detail}
            )
            return
        listed = [peer for peer in read if peer.name != self._own.name]
        self._membership.apply_instances(listed)


def create_listed(
    name: str, zone: str, host: str, peer_port: int
) -> ListedInstance:
    """Return the line of an instance in the list of peers."""
    return ListedInstance(
        name=name,
        pool=defaults.ENTRY_POOL,
        zone=zone,
        host=host,
        port=0,
        peer_port=peer_port,
        incarnation=0,
        presence=Presence.LIVE,
    )
