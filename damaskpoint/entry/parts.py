"""What the handlers of the callers' border share."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, final

if TYPE_CHECKING:
    from damaskpoint.admission.base import Admission
    from damaskpoint.config.follower import ConfigurationFollower
    from damaskpoint.entry.in_flight import InFlightRequests
    from damaskpoint.entry.shutdown import ShutdownState
    from damaskpoint.pipeline.pipeline_service import PipelineService
    from damaskpoint.pipeline.service_caller import ServiceCaller
    from damaskpoint.settings import BorderOptions


@final
@dataclass(frozen=True, slots=True)
class EntryParts:
    """The parts of an entry that serve callers."""

    follower: ConfigurationFollower
    admission: Admission
    pipelines: PipelineService
    services: ServiceCaller
    in_flight: InFlightRequests
    shutdown: ShutdownState
    border: BorderOptions
