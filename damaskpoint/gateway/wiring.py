"""Creates the components of a gateway and connects them."""

from __future__ import annotations

import time
from functools import partial
from typing import TYPE_CHECKING

from damaskpoint.balancing.capacities import RunnerCapacities
from damaskpoint.balancing.cold_limit import ColdBound, ColdLimiter
from damaskpoint.balancing.health import RunnerHealth
from damaskpoint.balancing.loads import RunnerLoads
from damaskpoint.balancing.signals import RunnerSignals
from damaskpoint.batching.instance_rates import compute_batch_rate
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
from damaskpoint.entry.bounded_listen import find_max_fds
from damaskpoint.entry.shutdown import ShutdownState
from damaskpoint.errors import Failure, FailureError
from damaskpoint.forwarding.answer_budget import AnswerBudget
from damaskpoint.forwarding.budgets import ServiceBudgets
from damaskpoint.forwarding.completion import CompletionCheck
from damaskpoint.forwarding.context import ForwardingContext, ForwardingOptions
from damaskpoint.forwarding.first_events import FirstEventTimes
from damaskpoint.forwarding.sizes import RequestSizes
from damaskpoint.forwarding.usual_deadlines import UsualDeadlines
from damaskpoint.gateway.handler import RequestHandler
from damaskpoint.gateway.intake import Intake, create_limits
from damaskpoint.gateway.peers import (
    Discovery,
    GatewayListener,
    GatewayPeers,
    create_listed_instance,
)
from damaskpoint.gateway.rollout_wiring import (
    create_gateway_rollouts,
    create_piece_caller,
    create_version_gate,
)
from damaskpoint.gateway.runtime import GatewayComponents, GatewayRuntime
from damaskpoint.membership.service import create_membership
from damaskpoint.observe.loop_load import LoopLoad
from damaskpoint.observe.state import StateRegistry
from damaskpoint.platform import names
from damaskpoint.platform.store import create_store
from damaskpoint.platform.store_instances import StoreInstances
from damaskpoint.quarantine.guard import PromptGuard
from damaskpoint.quarantine.stored import QuarantineSink, QuarantineWriter
from damaskpoint.settings_base import (
    InstanceOptions,
    MembershipOptions,
    ShutdownOptions,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from damaskpoint.gateway.options import GatewayOptions
    from damaskpoint.membership.service import Membership
    from damaskpoint.platform.store import PlatformStore

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
    rollouts = create_gateway_rollouts(options, store, forwarding, membership)
    membership.add_listener(
        GatewayListener(
            membership, forwarding, rollouts.coordinator if rollouts else None
        )
    )
    if rollouts is not None:
        registry.register('rollouts', rollouts.coordinator)
    registry.register('shutdown', shutdown)
    registry.register('membership', membership)
    intake, answers = _create_intake(options, registry)
    quarantine_sink = QuarantineSink(forwarding.prompts)
    return GatewayRuntime(
        GatewayComponents(
            options=options,
            forwarding=forwarding,
            handler=RequestHandler(forwarding, shutdown, answers),
            shutdown=shutdown,
            intake=intake,
            answers=answers,
            followers=_create_followers(
                store,
                OperatorSink(
                    forwarding.catalog, rollouts.orders if rollouts else None
                ),
                forwarding.catalog,
                quarantine_sink,
                registry,
                partial(_count_known, membership),
            ),
            rollouts=rollouts,
            quarantine_writer=QuarantineWriter(
                store,
                quarantine_sink,
                forwarding.prompts,
                options.instance.name,
                forwarding.peers,
            ),
            membership=membership,
            discovery=_create_discovery(options, store, membership),
            order_server=create_order_server(
                forwarding.pool, membership.is_peer_host
            ),
            registry=registry,
            loop_load=_create_loop_load(registry),
        )
    )


def _create_loop_load(registry: StateRegistry) -> LoopLoad:
    loop_load = LoopLoad()
    registry.register('loop', loop_load)
    return loop_load


def _create_intake(
    options: GatewayOptions, registry: StateRegistry
) -> tuple[Intake, AnswerBudget]:
    limits = create_limits(
        options.limits.memory_mb, find_max_fds(options.limits.max_fds)
    )
    intake = Intake(limits)
    answers = AnswerBudget(limits.answer_bytes)
    registry.register('intake', intake)
    registry.register('answers', answers)
    return intake, answers


def _create_discovery(
    options: GatewayOptions, store: PlatformStore, membership: Membership
) -> Discovery:
    instance = options.instance
    own = create_listed_instance(
        instance.name,
        instance.zone,
        instance.host,
        options.listen.peer_port,
        _find_batch_rate(options),
    )
    return Discovery(StoreInstances(store), own, membership)


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
        _find_batch_rate(options),
    )
    if isinstance(membership, Failure):
        raise FailureError(membership)
    return membership


def _find_batch_rate(options: GatewayOptions) -> int:
    limits = options.limits
    return compute_batch_rate(
        limits.link_mbps, limits.cpu_share * limits.core_speed
    )


def _create_forwarding(
    options: GatewayOptions,
    membership: Membership,
    shutdown: ShutdownState,
    registry: StateRegistry,
) -> ForwardingContext:
    bounds = options.bounds
    catalog = Catalog()
    health = RunnerHealth()
    loads = RunnerLoads()
    capacities = RunnerCapacities(loads)
    signals = RunnerSignals(catalog.runners, health, capacities)
    versions = create_version_gate(options, catalog)
    pool = StagePool(
        options.instance.name,
        catalog,
        GatewayPeers(options.instance.name, membership),
        health,
        create_piece_caller(options, signals, versions, catalog),
        PieceOrderClient(options.instance.host),
        versions,
    )
    pool.shares_capacity = options.stages.shares_capacity
    prompts = PromptGuard(membership.publish_mark)
    registry.register('catalog', catalog)
    registry.register('health', health)
    registry.register('capacities', capacities)
    registry.register('stages', pool)
    registry.register('prompts', prompts)
    return ForwardingContext(
        options=ForwardingOptions(
            own_name=options.instance.name,
            zone=options.instance.zone,
            connect_s=options.runners.connect_s,
            ack_timeout_s=options.runners.silence_s,
        ),
        catalog=catalog,
        health=health,
        loads=loads,
        capacities=capacities,
        signals=signals,
        cold=ColdLimiter(
            options.instance.name,
            ColdBound(bounds.cold_overshoot, bounds.cold_slack),
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


def _create_followers(
    store: PlatformStore,
    operator_sink: OperatorSink,
    catalog: Catalog,
    quarantine_sink: QuarantineSink,
    registry: StateRegistry,
    count_instances: Callable[[], int],
) -> tuple[TableFollower, ...]:
    operator = TableFollower(
        store,
        names.TABLE_OPERATOR,
        operator_sink,
        count_instances=count_instances,
    )
    followers = (
        operator,
        TableFollower(
            store,
            names.TABLE_RUNNERS,
            RunnerSink(catalog),
            count_instances=count_instances,
        ),
        TableFollower(
            store, names.TABLE_QUARANTINES, quarantine_sink, leader=operator
        ),
    )
    for follower in followers:
        registry.register(f'table {follower.table}', follower)
    return followers


def _count_known(membership: Membership) -> int:
    """Return the number of known instances, this one included."""
    return len(membership.view.peers) + 1
