"""The dependencies of the handlers that serve callers."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, final

if TYPE_CHECKING:
    from damaskpoint.admission.base import Admission
    from damaskpoint.config.follower import ConfigurationFollower
    from damaskpoint.entry.caller_connections import CallerConnections
    from damaskpoint.entry.in_flight import InFlightRequests
    from damaskpoint.entry.shutdown import ShutdownState
    from damaskpoint.pipeline.pipeline_service import PipelineService
    from damaskpoint.pipeline.service_caller import ServiceCaller
    from damaskpoint.settings import BorderOptions


@final
@dataclass(frozen=True, slots=True)
class HandlerDependencies:
    """The components of an entry that handlers use."""

    follower: ConfigurationFollower
    admission: Admission
    pipelines: PipelineService
    services: ServiceCaller
    in_flight: InFlightRequests
    shutdown: ShutdownState
    border: BorderOptions
    callers: CallerConnections
