"""The objects that forwarding needs, created once per process."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, final

if TYPE_CHECKING:
    from damaskpoint.balancing.capacities import RunnerCapacities
    from damaskpoint.balancing.cold_limit import ColdLimiter
    from damaskpoint.balancing.health import RunnerHealth
    from damaskpoint.balancing.loads import RunnerLoads
    from damaskpoint.balancing.signals import RunnerSignals
    from damaskpoint.batching.base import Peers
    from damaskpoint.batching.planner import Planner
    from damaskpoint.batching.pool import StagePool
    from damaskpoint.catalog.catalog import Catalog
    from damaskpoint.forwarding.budgets import ServiceBudgets
    from damaskpoint.forwarding.completion import CompletionCheck
    from damaskpoint.forwarding.first_events import FirstEventTimes
    from damaskpoint.forwarding.sizes import RequestSizes
    from damaskpoint.forwarding.usual_deadlines import UsualDeadlines
    from damaskpoint.quarantine.guard import PromptGuard
    from damaskpoint.rollout.gate import VersionGate


@final
@dataclass(frozen=True, slots=True)
class ForwardingOptions:
    """Identity of this instance and limits of its calls; times in seconds."""

    own_name: str
    zone: str
    connect_s: float
    # Longest time that sent bytes may stay unacknowledged.
    ack_timeout_s: float


@final
@dataclass(frozen=True, slots=True)
class ForwardingContext:
    """The state and services that all requests share."""

    options: ForwardingOptions
    catalog: Catalog
    health: RunnerHealth
    loads: RunnerLoads
    capacities: RunnerCapacities
    cold: ColdLimiter
    signals: RunnerSignals
    budgets: ServiceBudgets
    first_events: FirstEventTimes
    completion: CompletionCheck
    sizes: RequestSizes
    deadlines: UsualDeadlines
    planner: Planner
    pool: StagePool
    peers: Peers
    prompts: PromptGuard
    versions: VersionGate
