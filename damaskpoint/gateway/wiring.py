"""Creates the components of a gateway and connects them."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from damaskpoint.balancing.cold_limit import ColdBound, ColdLimiter
from damaskpoint.balancing.health import RunnerHealth
from damaskpoint.balancing.loads import RunnerLoads
from damaskpoint.balancing.signals import RunnerSignals
from damaskpoint.batching.peer_orders import (
    PieceOrderClient,
    create_order_server,
)
from damaskpoint.batching.planner import Planner
from damaskpoint.batching.pledges import PledgeTable
from damaskpoint.batching.pool import StagePool
from damaskpoint.catalog.catalog import Catalog
from damaskpoint.catalog.follower import (
    OperatorSink,
    RunnerSink,
    TableFollower,
)
from damaskpoint.entry.shutdown import ShutdownState
from damaskpoint.errors import Failure, FailureError
from damaskpoint.forwarding.budgets import ServiceBudgets
from damaskpoint.forwarding.completion import CompletionCheck
from damaskpoint.forwarding.context import ForwardingContext, ForwardingOptions
from damaskpoint.forwarding.first_events import FirstEventTimes
from damaskpoint.forwarding.sizes import RequestSizes
from damaskpoint.forwarding.usual_deadlines import UsualDeadlines
from damaskpoint.gateway.handler import RequestHandler
from damaskpoint.gateway.peers import (
    Discovery,
    GatewayListener,
    GatewayPeers,
    create_listed_instance,
)
from damaskpoint.gateway.runtime import GatewayComponents, GatewayRuntime
from damaskpoint.membership.service import create_membership
from damaskpoint.observe.state import StateRegistry
from damaskpoint.platform import names
from damaskpoint.platform.piece_caller import HttpPieceCaller
from damaskpoint.platform.store import create_store
from damaskpoint.platform.store_instances import StoreInstances
from damaskpoint.quarantine.guard import PromptGuard
from damaskpoint.quarantine.stored import QuarantineSink, QuarantineWriter
from damaskpoint.rollout.components import create_rollouts
from damaskpoint.rollout.fleet import GatewayFleet
from damaskpoint.rollout.gate import VersionGate
from damaskpoint.rollout.model import RolloutBounds
from damaskpoint.rollout.piece_caller import RecordingPieceCaller
from damaskpoint.settings_base import (
    InstanceOptions,
    MembershipOptions,
    ShutdownOptions,
)

if TYPE_CHECKING:
    from damaskpoint.batching.base import PieceCaller
    from damaskpoint.gateway.options import GatewayOptions
    from damaskpoint.membership.service import Membership
    from damaskpoint.platform.store import PlatformStore
    from damaskpoint.rollout.components import RolloutComponents

# Share of the platform's grace period in which a shutdown drains requests; the
# rest is for closing connections.
_SHUTDOWN_GRACE_SHARE = 0.9
# Time in which the balancer removes an instance that is not ready (seconds):
# two of its checks, one a second, and the connections already being opened.
# The platform excuses interrupted requests that were sent up to 3 s after the
# signal, which includes their time in transit.
_BALANCER_NOTICE_S = 2.5


def create_gateway(options: GatewayOptions) -> GatewayRuntime:
    """Return a gateway; must be called inside its event loop.

    Raises ``FailureError`` for settings that cannot be used.
    """
    registry = StateRegistry()
    store = create_store(
        f'http://{options.store.address}', options.store.timeout_s
    )
    membership = _create_membership(options)
    shutdown = ShutdownState(
        ShutdownOptions(
            notice_s=_BALANCER_NOTICE_S,
            limit_s=options.bounds.grace_s * _SHUTDOWN_GRACE_SHARE,
        )
    )
    forwarding = _create_forwarding(options, membership, shutdown, registry)
    rollouts = _create_rollouts(options, store, forwarding, membership)
    membership.add_listener(
        GatewayListener(
            membership, forwarding, rollouts.coordinator if rollouts else None
        )
    )
    if rollouts is not None:
        registry.register('rollouts', rollouts.coordinator)
    registry.register('shutdown', shutdown)
    registry.register('membership', membership)
    handler = RequestHandler(forwarding, shutdown)
    instance = options.instance
    quarantine_sink = QuarantineSink(forwarding.prompts)
    return GatewayRuntime(
        GatewayComponents(
            options=options,
            forwarding=forwarding,
            handler=handler,
            shutdown=shutdown,
            followers=_create_followers(
                store,
                OperatorSink(
                    forwarding.catalog, rollouts.orders if rollouts else None
                ),
                forwarding.catalog,
                quarantine_sink,
                registry,
            ),
            rollouts=rollouts,
            quarantine_writer=QuarantineWriter(
                store,
                quarantine_sink,
                forwarding.prompts,
                instance.name,
                forwarding.peers,
            ),
            membership=membership,
            discovery=Discovery(
                StoreInstances(store),
                create_listed_instance(
                    instance.name,
                    instance.zone,
                    instance.host,
                    options.listen.peer_port,
                ),
                membership,
            ),
            order_server=create_order_server(
                forwarding.pool, membership.is_peer_host
            ),
            registry=registry,
        )
    )


def _create_membership(options: GatewayOptions) -> Membership:
    instance = options.instance
    membership = create_membership(
        MembershipOptions(
            gossip_interval_s=options.gossip.interval_s,
            peer_timeout_s=options.gossip.peer_timeout_s,
            bytes_per_s=options.gossip.bytes_per_s,
        ),
        InstanceOptions(
            name=instance.name,
            zone=instance.zone,
            host=instance.host,
            port=0,
            operator_port=options.listen.operator_port,
            peer_port=options.listen.peer_port,
        ),
        time.monotonic,
    )
    if isinstance(membership, Failure):
        raise FailureError(membership)
    return membership


def _create_forwarding(
    options: GatewayOptions,
    membership: Membership,
    shutdown: ShutdownState,
    registry: StateRegistry,
) -> ForwardingContext:
    bounds = options.bounds
    own_name = options.instance.name
    catalog = Catalog()
    health = RunnerHealth()
    signals = RunnerSignals(catalog.runners, health)
    loads = RunnerLoads()
    versions = VersionGate(
        own_name, _create_rollout_bounds(options), catalog.runners.is_cold
    )
    pool = StagePool(
        own_name,
        catalog,
        GatewayPeers(own_name, membership),
        health,
        _create_piece_caller(options, signals, versions, catalog),
        PieceOrderClient(),
        versions,
    )
    prompts = PromptGuard(membership.publish_mark)
    registry.register('catalog', catalog)
    registry.register('health', health)
    registry.register('stages', pool)
    registry.register('prompts', prompts)
    return ForwardingContext(
        options=ForwardingOptions(
            own_name=own_name,
            zone=options.instance.zone,
            connect_s=options.runners.connect_s,
            ack_timeout_s=options.runners.silence_s,
        ),
        catalog=catalog,
        health=health,
        loads=loads,
        signals=signals,
        cold=ColdLimiter(
            own_name, ColdBound(bounds.cold_overshoot, bounds.cold_slack)
        ),
        budgets=ServiceBudgets(
            bounds.retry_ratio,
            bounds.retry_slack,
            bounds.retry_window_s,
            time.monotonic(),
        ),
        first_events=FirstEventTimes(),
        completion=CompletionCheck(shutdown),
        sizes=RequestSizes(),
        deadlines=UsualDeadlines(),
        planner=Planner(catalog, pool, health, PledgeTable()),
        pool=pool,
        peers=pool.peers,
        prompts=prompts,
        versions=versions,
    )


def _create_piece_caller(
    options: GatewayOptions,
    signals: RunnerSignals,
    versions: VersionGate,
    catalog: Catalog,
) -> PieceCaller:
    caller = HttpPieceCaller(
        options.runners.connect_s, options.runners.silence_s, signals
    )
    if options.rollouts is None:
        return caller
    return RecordingPieceCaller(caller, versions, catalog)


def _create_rollout_bounds(options: GatewayOptions) -> RolloutBounds | None:
    section = options.rollouts
    if section is None:
        return None
    return RolloutBounds(
        section.exposure_share, section.exposure_slack, section.rollback_s
    )


def _create_rollouts(
    options: GatewayOptions,
    store: PlatformStore,
    forwarding: ForwardingContext,
    membership: Membership,
) -> RolloutComponents | None:
    if options.rollouts is None:
        return None
    fleet = GatewayFleet(
        options.instance.name,
        membership,
        forwarding.peers,
        forwarding.catalog,
    )
    return create_rollouts(store, forwarding.versions, fleet, time.monotonic())


def _create_followers(
    store: PlatformStore,
    operator_sink: OperatorSink,
    catalog: Catalog,
    quarantine_sink: QuarantineSink,
    registry: StateRegistry,
) -> tuple[TableFollower, ...]:
    operator = TableFollower(store, names.TABLE_OPERATOR, operator_sink)
    followers = (
        operator,
        TableFollower(store, names.TABLE_RUNNERS, RunnerSink(catalog)),
        TableFollower(
            store, names.TABLE_QUARANTINES, quarantine_sink, leader=operator
        ),
    )
    for follower in followers:
        registry.register(f'table {follower.table}', follower)
    return followers
