"""Peers of a gateway, discovered in the store and tracked by gossip."""

from __future__ import annotations

import asyncio
import logging
import time
from typing import TYPE_CHECKING, Final, final

from damaskpoint import defaults
from damaskpoint.balancing import metrics
from damaskpoint.batching.assignment import (
    InstanceView,
    Introduction,
    is_introduced,
)
from damaskpoint.batching.base import Peers
from damaskpoint.batching.report_age import find_max_age_s
from damaskpoint.errors import Failure
from damaskpoint.membership import facts
from damaskpoint.membership.gossip import MembershipListener
from damaskpoint.platform.base import ListedInstance, Presence

if TYPE_CHECKING:
    from damaskpoint.forwarding.context import ForwardingContext
    from damaskpoint.membership.service import Membership
    from damaskpoint.platform.store_instances import StoreInstances
    from damaskpoint.rollout.coordinator import RolloutCoordinator

_LOG: Final = logging.getLogger(__name__)
# Intervals between reads of the table of peers (seconds): short at first, as
# instances start together, then longer, as gossip announces new instances.
_INITIAL_READ_INTERVALS_S: Final = (0.3, 1.2)
_READ_INTERVAL_S: Final = 30.0
# Interval at which the store's era is compared with that of the last read
# (seconds); a restored store may lack this instance's row.
_ERA_CHECK_INTERVAL_S: Final = 1.0
# Time for which the set of live instances is cached (seconds): a fraction of
# a round of gossip. It is cached because each request reads it many times.
_LIVE_PEERS_CACHE_S: Final = 0.03


@final
class GatewayPeers(Peers):
    """The live instances, cached for a fraction of a round of gossip."""

    def __init__(self, own_name: str, membership: Membership) -> None:
        """Read the live instances from this membership."""
        self._own_name = own_name
        self._membership = membership
        self._serving: frozenset[str] = frozenset()
        self._starting: frozenset[str] = frozenset()
        self._batch_rates_by_name: dict[str, int] = {}
        self._refreshed_at = float('-inf')

    def batching_names(self, now: float) -> frozenset[str]:
        """Return the live instances that are not leaving."""
        self._refresh(now)
        return self._serving | self._starting

    def find_view(self, now: float) -> InstanceView:
        """Return the instances by what they do, this one included."""
        self._refresh(now)
        phase = self._membership.view.own.phase
        is_starting = phase is facts.Phase.STARTING
        return InstanceView(
            self._own_name,
            phase,
            self._serving,
            self._starting,
            self._list_unheard() if is_starting else frozenset(),
            self._batch_rates_by_name,
        )

    def find_address(self, name: str, now: float) -> facts.Address | None:
        """Return the address of an instance, or None."""
        peers = self._membership.view.peers
        if peers.find(name) is None:
            return self._membership.listed_by_name.get(name)
        peer = peers.find_live(name, now)
        return None if peer is None else peer.address

    def find_last_seen(self, name: str) -> float | None:
        """Return when an instance was last heard of; None if it never was."""
        peers = self._membership.view.peers
        return None if peers.find(name) is None else peers.last_seen(name)

    def _refresh(self, now: float) -> None:
        if now - self._refreshed_at <= _LIVE_PEERS_CACHE_S:
            return
        self._refreshed_at = now
        names_by_phase: dict[facts.Phase, set[str]] = {}
        rates_by_name = dict(self._membership.addresses.batch_rates_by_name)
        own = self._membership.view.own
        rates_by_name[own.name] = own.batch_rate
        for peer in self._membership.live_peers(now):
            names_by_phase.setdefault(peer.phase, set()).add(peer.name)
            rates_by_name[peer.name] = peer.batch_rate
        self._batch_rates_by_name = rates_by_name
        self._serving = frozenset(names_by_phase.get(facts.Phase.SERVING, ()))
        self._starting = frozenset(names_by_phase.get(facts.Phase.STARTING, ()))

    def _list_unheard(self) -> frozenset[str]:
        listed = set(self._membership.listed_by_name) - {self._own_name}
        return frozenset(listed.difference(self._membership.view.peers.names()))


@final
class GatewayListener(MembershipListener):
    """Exchanges paces, pledges, loads and marks with peers by gossip."""

    def __init__(
        self,
        membership: Membership,
        context: ForwardingContext,
        rollouts: RolloutCoordinator | None,
    ) -> None:
        """Connect the gossip of a membership with this context."""
        self._rollouts = rollouts
        self._membership = membership
        self._context = context
        # When the platform's list was first known.
        self._listed_at: float | None = None

    def prepare_round(self, now: float) -> None:
        """Publish this instance's facts and refresh those of its peers."""
        context = self._context
        for name, started_ms in context.signals.take_unpublished():
            self._membership.publish_mark(
                facts.MarkKind.LEAVING, name, started_ms
            )
        self._membership.publish_shares(context.loads.own_by_runner)
        self._membership.publish_paces(context.pool.own_paces(now))
        self._membership.publish_counts(
            context.prompts.list_run_counts(),
            self._rollouts.list_facts(now) if self._rollouts else (),
        )
        self._apply_work()
        self._share_capacities(now)
        self._advance(now)
        context.budgets.update(self._count_instances(), now)

    def on_configuration(
        self, fact: facts.ConfigurationFact, peer: facts.PeerFact, now: float
    ) -> None:
        """Do nothing: each instance follows the store itself."""

    def on_mark(self, mark: facts.Mark, now: float) -> None:
        """Exclude a runner that announced its exit, or a prompt part."""
        if mark.kind is facts.MarkKind.LEAVING:
            self._context.catalog.runners.mark_leaving(
                mark.subject, mark.incarnation, now
            )
            return
        self._context.prompts.apply_mark(mark, now)

    def on_load(self, load: facts.LoadFact, now: float) -> None:
        """Do nothing: runners are not asked for their load."""

    def on_shares(
        self, peer: str, shares: tuple[facts.ShareFact, ...], now: float
    ) -> None:
        """Do nothing: ``prepare_round`` reads shares from the view."""

    def on_paces(
        self, peer: str, paces: tuple[facts.PaceFact, ...], now: float
    ) -> None:
        """Record how fast a peer's batching groups work."""
        self._context.pool.paces.record(paces, now)

    def on_pledges(
        self, peer: str, pledges: tuple[facts.PledgeFact, ...], now: float
    ) -> None:
        """Record the pieces that a peer's requests still need."""
        self._context.planner.pledges.record_peer(peer, pledges, now)

    def on_run_counts(
        self,
        peer: facts.PeerFact,
        counts: tuple[facts.RunCountFact, ...],
        now: float,
    ) -> None:
        """Record how many runs a peer has begun."""
        for count in counts:
            self._context.prompts.record_peer_runs(peer, count, now)

    def on_capacities(
        self, capacities: tuple[facts.CapacityFact, ...], now: float
    ) -> None:
        """Apply the reports of runners that a peer knows."""
        context = self._context
        for fact in capacities:
            runner = context.catalog.runners.find(fact.runner)
            if runner is not None:
                context.capacities.apply_fact(runner, fact)

    def on_rollouts(
        self,
        peer: facts.PeerFact,
        rollouts: tuple[facts.RolloutFact, ...],
        now: float,
    ) -> None:
        """Record what a peer has counted of rollouts."""
        if self._rollouts is not None:
            self._rollouts.apply_facts(peer, rollouts)

    def _apply_work(self) -> None:
        """Publish pledges and the demand of accounts; apply peers' work."""
        work = self._membership.view.work
        self._context.loads.set_peer_counts(work.sum_shares())
        pledges = self._context.planner.pledges
        pledges.demand.set_peers(work.sum_outstanding())
        self._membership.publish_pledges(pledges.list_own())
        self._membership.publish_demands(pledges.demand.list_own())

    def _end_start(self, now: float) -> None:
        """Announce that this instance batches, once it knows its peers."""
        introduction = self._describe_start(now)
        if not is_introduced(introduction):
            return
        self._membership.set_phase(facts.Phase.SERVING)
        # Until now this instance may have batched for itself, like all others
        # that started with it.
        self._context.pool.hand_back(now)
        _LOG.info(
            'batching for runners',
            extra={
                'listed': introduction.listed,
                'heard': introduction.heard,
                'listed_for_s': introduction.listed_for_s,
            },
        )

    def _describe_start(self, now: float) -> Introduction:
        membership = self._membership
        if membership.has_list and self._listed_at is None:
            self._listed_at = now
        listed_for_s = None
        if self._listed_at is not None:
            listed_for_s = round(now - self._listed_at, 3)
        catalog = self._context.catalog
        listed = set(membership.listed_by_name)
        listed.discard(self._context.options.own_name)
        return Introduction(
            has_catalog=catalog.configuration is not None
            and len(catalog.runners) > 0,
            listed_for_s=listed_for_s,
            listed=len(listed),
            heard=len(listed.intersection(membership.view.peers.names())),
        )

    def _count_instances(self) -> int | None:
        """Return the most instances that may be running, this one included.

        None before the platform's list has been read: unseen peers may run.
        """
        membership = self._membership
        if not membership.has_list:
            return None
        listed = frozenset(membership.listed_by_name)
        return len(membership.view.peers.unended_names(listed)) + 1

    def _share_capacities(self, now: float) -> None:
        """Exchange the load of runners, and log the limits learned."""
        context = self._context
        self._membership.publish_capacities(
            context.capacities.take_news(now, defaults.MAX_CAPACITIES)
        )
        for change in context.capacities.take_limit_changes(now):
            metrics.RUNNER_LIMIT.set({'runner': change.runner}, change.limit)
            _LOG.info(
                'learned limit of a runner changed',
                extra={
                    'runner': change.runner,
                    'slots': change.slots,
                    'limit': round(change.limit, 1),
                    'previous': round(change.previous, 1),
                    'pace': round(change.pace, 2),
                },
            )

    def _advance(self, now: float) -> None:
        """End the start once it is due, and drop old reports of peers."""
        if self._membership.view.own.phase is facts.Phase.STARTING:
            self._end_start(now)
        max_age_s = find_max_age_s(self._membership.cycle_s)
        self._context.pool.paces.expire(now, max_age_s)
        self._context.planner.pledges.expire(now, max_age_s)
        self._context.prompts.expire(now)
        self._context.capacities.expire(
            (runner.name for runner in self._context.catalog.runners.known()),
            now,
        )


@final
class Discovery:
    """Registers this instance in the store and reads its peers from it."""

    def __init__(
        self,
        instances: StoreInstances,
        own: ListedInstance,
        membership: Membership,
    ) -> None:
        """Pass the peers that are found to this membership."""
        self._instances = instances
        self._own_instance = own
        self._membership = membership
        self._is_leaving = False

    async def run(self) -> None:
        """Register, then poll the table of peers until cancelled."""
        while await self._register() is not None:
            await asyncio.sleep(_INITIAL_READ_INTERVALS_S[0])
        pauses = iter(_INITIAL_READ_INTERVALS_S)
        while True:
            if not await self._read() and not self._is_leaving:
                # The store was restored from a copy without this row.
                await self._register()
            await self._pause(next(pauses, _READ_INTERVAL_S))

    async def deregister(self) -> None:
        """Remove this instance's row; a failure is only logged."""
        self._is_leaving = True
        failure = await self._instances.deregister(self._own_instance.name)
        if failure is not None:
            _LOG.warning(
                'deregistration from the store failed',
                extra={'reason': failure.detail},
            )

    async def _pause(self, pause_s: float) -> None:
        """Wait until the next read; shorter if the store was restored."""
        era = self._instances.era
        ends_at = time.monotonic() + pause_s
        while self._instances.era == era:
            left_s = ends_at - time.monotonic()
            if left_s <= 0:
                return
            await asyncio.sleep(min(left_s, _ERA_CHECK_INTERVAL_S))

    async def _register(self) -> Failure | None:
        failure = await self._instances.register(self._own_instance)
        if failure is not None:
            _LOG.warning(
                'registration in the store failed',
                extra={'reason': failure.detail},
            )
        return failure

    async def _read(self) -> bool:
        """Read the peers; return False if this instance's row is missing."""
        read = await self._instances.fetch_peers()
        if isinstance(read, Failure):
            _LOG.warning(
                'reading the peers failed', extra={'reason': read.detail}
            )
            return True
        listed = [peer for peer in read if peer.name != self._own_instance.name]
        self._membership.apply_instances(listed)
        return self._own_instance in read


def create_listed_instance(
    name: str, zone: str, host: str, peer_port: int, batch_rate: int
) -> ListedInstance:
    """Return the entry of a gateway in the list of peers."""
    return ListedInstance(
        name=name,
        pool=defaults.ENTRY_POOL,
        zone=zone,
        host=host,
        port=0,
        peer_port=peer_port,
        incarnation=0,
        presence=Presence.LIVE,
        batch_rate=batch_rate,
    )
