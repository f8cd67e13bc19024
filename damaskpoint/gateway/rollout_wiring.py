"""Creates the components of rollouts, which a gateway may be set up without."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from damaskpoint.platform.piece_caller import HttpPieceCaller
from damaskpoint.rollout.components import create_rollouts
from damaskpoint.rollout.fleet import GatewayFleet
from damaskpoint.rollout.gate import VersionGate
from damaskpoint.rollout.model import RolloutBounds
from damaskpoint.rollout.piece_caller import RecordingPieceCaller

if TYPE_CHECKING:
    from damaskpoint.balancing.signals import RunnerSignals
    from damaskpoint.batching.base import PieceCaller
    from damaskpoint.catalog.catalog import Catalog
    from damaskpoint.forwarding.context import ForwardingContext
    from damaskpoint.gateway.options import GatewayOptions
    from damaskpoint.membership.service import Membership
    from damaskpoint.platform.store import PlatformStore
    from damaskpoint.rollout.components import RolloutComponents


def create_piece_caller(
    options: GatewayOptions,
    signals: RunnerSignals,
    versions: VersionGate,
    catalog: Catalog,
) -> PieceCaller:
    """Return the client of stage runners."""
    caller = HttpPieceCaller(
        options.runners.connect_s, options.runners.silence_s, signals
    )
    if options.rollouts is None:
        return caller
    return RecordingPieceCaller(caller, versions, catalog)


def create_version_gate(
    options: GatewayOptions, catalog: Catalog
) -> VersionGate:
    """Return the gate; it lets all versions pass without the settings."""
    section = options.rollouts
    bounds = None
    if section is not None:
        bounds = RolloutBounds(
            section.exposure_share, section.exposure_slack, section.rollback_s
        )
    return VersionGate(options.instance.name, bounds, catalog.runners.is_cold)


def create_gateway_rollouts(
    options: GatewayOptions,
    store: PlatformStore,
    forwarding: ForwardingContext,
    membership: Membership,
) -> RolloutComponents | None:
    """Return what rolls services out; None without the settings for it."""
    if options.rollouts is None:
        return None
    fleet = GatewayFleet(
        options.instance.name,
        membership,
        forwarding.peers,
        forwarding.catalog,
    )
    return create_rollouts(store, forwarding.versions, fleet, time.monotonic())
