"""Creates the components of an entry, one function for each."""

from __future__ import annotations

import functools
import random
import time
import uuid
from dataclasses import dataclass
from typing import TYPE_CHECKING, final


from damaskpoint.admission.controller import create_admission
from damaskpoint.config.follower import create_follower
from damaskpoint.entry.in_flight import InFlightRequests
from damaskpoint.entry.capacity import PoolCapacity
from damaskpoint.entry.instance_poller import InstancePoller
from damaskpoint.entry.bounded_listen import find_max_fds
from damaskpoint.entry.caller_connections import CallerConnections
from damaskpoint.entry.handler_dependencies import HandlerDependencies
from damaskpoint.entry.peer_demand import PeerDemand
from damaskpoint.entry.shutdown import ShutdownState
from damaskpoint.entry.stall_guard import StallGuard
from damaskpoint.gateway.intake import Intake, create_limits
from damaskpoint.journal.guard import Guard
from damaskpoint.journal.sweeper import Sweeper
from damaskpoint.journal.table_journal import create_table_journal
from damaskpoint.observe.state import StateRegistry
from damaskpoint.pipeline.attempt import CallDependencies
from damaskpoint.pipeline.background import BackgroundTasks
from damaskpoint.pipeline.call import AttemptIdGenerator
from damaskpoint.pipeline.pipeline_service import PipelineService
from damaskpoint.pipeline.retry_budget import RetryBudget
from damaskpoint.pipeline.service_caller import ServiceCaller
from damaskpoint.pipeline.stage_runner import StageRunner
from damaskpoint.pipeline.stage_times import StageTimes
from damaskpoint.pipeline.upstream_client import UpstreamClient
from damaskpoint.platform.store import create_store
from damaskpoint.platform.store_instances import StoreInstances
from damaskpoint.platform.store_table import StoreObjects, StoreTable
from damaskpoint.routing.wiring import Identity, Routing, create_routing

if TYPE_CHECKING:
    from damaskpoint.admission.backoff import CapacityBackoff
    from damaskpoint.admission.base import Admission
    from damaskpoint.admission.controller import AdmissionController
    from damaskpoint.config.follower import ConfigurationFollower
    from damaskpoint.config.model import Configuration
    from damaskpoint.membership.service import Membership
    from damaskpoint.platform.base import InstanceList, ObjectStore, Table
    from damaskpoint.routing.base import Router
    from damaskpoint.routing.directory import UpstreamDirectory
    from damaskpoint.settings import Options, PlatformOptions


@final
@dataclass(frozen=True, slots=True)
class PlatformServices:
    """The services of the platform that this process uses."""

    table: Table
    object_store: ObjectStore
    instance_list: InstanceList


@final
@dataclass(frozen=True, slots=True)
class SharedDependencies:
    """The dependencies that several components of an entry share."""

    options: Options
    platform: PlatformServices
    registry: StateRegistry
    background: BackgroundTasks
    attempt_ids: AttemptIdGenerator
    follower: ConfigurationFollower
    instances: InstancePoller
    stall_guard: StallGuard
    client: UpstreamClient


def create_shared_dependencies(options: Options) -> SharedDependencies:
    """Return the shared dependencies; must be called in the event loop."""
    platform = create_platform_services(options.platform)
    registry = StateRegistry()
    background = BackgroundTasks()
    registry.register('background', background)
    follower = create_follower(
        platform.table, platform.object_store, options.platform
    )
    registry.register('configuration', follower)
    instances = InstancePoller(platform.instance_list)
    registry.register('instances', instances)
    stall_guard = StallGuard()
    instances.add_listener(
        lambda _listed, requested_at: stall_guard.on_instance_list(requested_at)
    )
    registry.register('stalls', stall_guard)
    client = UpstreamClient(
        options.routing.connect_timeout_s, options.border.max_answer_bytes
    )
    registry.register('upstream_client', client)
    return SharedDependencies(
        options,
        platform,
        registry,
        background,
        AttemptIdGenerator(),
        follower,
        instances,
        stall_guard,
        client,
    )


def create_platform_services(options: PlatformOptions) -> PlatformServices:
    """Return the platform's services over one client of its store."""
    store = create_store(options.store_url, options.timeout_s)
    return PlatformServices(
        StoreTable(store), StoreObjects(store), StoreInstances(store)
    )


def create_entry_routing(shared: SharedDependencies) -> Routing:
    """Return routing, subscribed to the configuration and instance list."""
    instance = shared.options.instance
    identity = Identity(instance.name, instance.zone, uuid.uuid4().hex)
    routing = create_routing(
        identity,
        shared.options.routing,
        shared.platform.table,
        time.monotonic,
        random.Random(),
    )
    shared.follower.add_listener(
        functools.partial(_apply_configuration, routing.directory)
    )
    shared.instances.add_listener(routing.directory.apply_list)
    shared.registry.register('routing', routing.dump)
    return routing


def create_call_dependencies(
    shared: SharedDependencies, router: Router
) -> CallDependencies:
    """Return the dependencies of calls to upstreams."""
    return CallDependencies(
        router,
        shared.client,
        shared.background,
        shared.attempt_ids,
        shared.options.border.max_answer_bytes,
    )


def create_guard(shared: SharedDependencies) -> Guard:
    """Return the guard of non-idempotent requests, with its journal."""
    journal = create_table_journal(
        shared.options.instance.name,
        shared.platform.table,
        shared.platform.object_store,
        shared.options.journal,
        shared.background,
        shared.attempt_ids,
    )
    shared.registry.register('journal', journal)
    return Guard(journal, shared.background)


def create_sweeper(shared: SharedDependencies) -> Sweeper:
    """Return the sweeper that deletes expired rows of the journal."""
    return Sweeper(
        shared.options.instance.name,
        shared.platform.table,
        shared.options.journal.keep_s,
    )


def create_pipelines(
    shared: SharedDependencies,
    calls: CallDependencies,
    budget: RetryBudget,
    guard: Guard,
) -> PipelineService:
    """Return the service that runs pipelines."""
    times = StageTimes()
    shared.follower.add_listener(functools.partial(_prune_stage_times, times))
    shared.registry.register('stage_times', times)
    runner = StageRunner(calls, budget, times)
    return PipelineService(runner, times, guard)


def create_entry_admission(
    shared: SharedDependencies,
    membership: Membership,
    routing: Routing,
    backoff: CapacityBackoff,
) -> AdmissionController:
    """Return admission that uses the peers' demand and the pools' capacity."""
    options = shared.options
    admission = create_admission(
        options.admission,
        time.monotonic,
        own_name=options.instance.name,
        demand=PeerDemand(
            membership, options.membership.peer_timeout_s, time.monotonic
        ),
        capacity=PoolCapacity(routing.core, backoff),
    )
    shared.follower.add_listener(admission.apply_configuration)
    shared.registry.register('admission', admission)
    return admission


def create_handler_dependencies(
    shared: SharedDependencies, router: Router, admission: Admission
) -> HandlerDependencies:
    """Return the dependencies of the handlers that serve callers."""
    options = shared.options
    in_flight = InFlightRequests()
    shared.registry.register('requests', in_flight)
    shutdown = ShutdownState(options.shutdown)
    shared.registry.register('shutdown', shutdown)
    budget = RetryBudget(
        options.admission.retry_share, options.admission.retry_burst
    )
    shared.registry.register('retry_budget', budget)
    calls = create_call_dependencies(shared, router)
    guard = create_guard(shared)
    return HandlerDependencies(
        shared.follower,
        admission,
        create_pipelines(shared, calls, budget, guard),
        ServiceCaller(calls, budget, guard),
        in_flight,
        shutdown,
        options.border,
        _create_callers(shared),
    )


def _create_callers(shared: SharedDependencies) -> CallerConnections:
    border = shared.options.border
    limits = create_limits(border.memory_mb, find_max_fds(border.max_fds))
    callers = CallerConnections(Intake(limits))
    shared.registry.register('callers', callers)
    return callers


def _apply_configuration(
    directory: UpstreamDirectory, configuration: Configuration
) -> None:
    directory.apply_configuration(configuration, time.monotonic())


def _prune_stage_times(times: StageTimes, configuration: Configuration) -> None:
    times.keep_only(frozenset(configuration.pipelines_by_name))
