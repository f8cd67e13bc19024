"""Creates the routing objects of one entry."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, final

from damaskpoint.forwarding.report_client import create_report_client
from damaskpoint.routing.borrower import Borrower
from damaskpoint.routing.choice import ChoicePolicy, TwoChoices
from damaskpoint.routing.claims import LeaseOptions
from damaskpoint.routing.core import RoutingCore
from damaskpoint.routing.directory import UpstreamDirectory
from damaskpoint.routing.dump import RoutingDump, create_dump
from damaskpoint.routing.fleet import Fleet
from damaskpoint.routing.leases import OWNER_SEPARATOR
from damaskpoint.routing.observations import (
    RoutingLeaseHooks,
    UpstreamObservations,
)
from damaskpoint.routing.permit_client import (
    PermitClient,
    create_permit_client,
)
from damaskpoint.routing.permits import create_permit_manager
from damaskpoint.routing.poller import LoadPoller, create_poller
from damaskpoint.routing.ranks import EntryRanks
from damaskpoint.routing.router import CoreRouter, create_router
from damaskpoint.routing.warmth import WarmthTracker

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from damaskpoint.platform.base import Table
    from damaskpoint.settings import RoutingOptions

# Concurrent load polls; further ones are queued.
_MAX_POLLS = 256
# Maximum time between two polls in poll intervals, jitter and delay included.
_POLL_SPACING = 1.5


@final
@dataclass(frozen=True, slots=True)
class Identity:
    """The name, the zone and the process start of this entry."""

    name: str
    zone: str
    # Differs with each start of the process.
    start: str


@final
@dataclass(frozen=True, slots=True)
class Routing:
    """The routing objects that the process uses."""

    directory: UpstreamDirectory
    ranks: EntryRanks
    core: RoutingCore
    router: CoreRouter
    poller: LoadPoller
    permit_client: PermitClient
    dump: RoutingDump
    borrower: Borrower

    def start(self) -> None:
        """Start ticks and polls; ``permit_client.run`` is a separate task."""
        self.router.start()
        self.poller.start()

    def stop(self) -> None:
        """Stop ticks and polls."""
        self.poller.stop()
        self.router.stop()


def create_warmth(options: RoutingOptions) -> WarmthTracker:
    """Return a warmth tracker; its bounds follow from the poll options."""
    lag_s = options.load_report_lag_s
    # Maximum time between the states of two reports of one poller.
    span_s = options.load_poll_s * _POLL_SPACING + lag_s
    return WarmthTracker(options.load_report_bound_s, span_s, span_s + lag_s)


def create_core(
    identity: Identity,
    options: RoutingOptions,
    directory: UpstreamDirectory,
    ranks: EntryRanks,
    warmth: WarmthTracker,
    policy: ChoicePolicy,
    *,
    is_guarded: bool = True,
) -> RoutingCore:
    """Return the routing core without its asynchronous modules."""
    lease_options = LeaseOptions(
        f'{identity.name}{OWNER_SEPARATOR}{identity.start}',
        options.lease_s,
        options.lease_margin_s,
        options.load_report_lag_s,
    )
    permits = create_permit_manager(
        lease_options, RoutingLeaseHooks(directory, warmth, ranks)
    )
    fleet = Fleet(directory, warmth, permits, ranks, is_guarded=is_guarded)
    observations = UpstreamObservations(
        fleet, warmth, permits, options.load_report_lag_s
    )
    return RoutingCore(directory, fleet, observations, permits, policy)


def create_routing(
    identity: Identity,
    options: RoutingOptions,
    table: Table,
    clock: Callable[[], float],
    rng: random.Random,
    *,
    policy: ChoicePolicy | None = None,
    is_guarded: bool = True,
) -> Routing:
    """Return routing, not yet started.

    Only the baseline of measurements and tests set ``policy`` and
    ``is_guarded``; no setting does.
    """
    directory = UpstreamDirectory()
    ranks = EntryRanks(identity.name)
    warmth = create_warmth(options)
    core = create_core(
        identity,
        options,
        directory,
        ranks,
        warmth,
        policy or TwoChoices(identity.zone, rng),
        is_guarded=is_guarded,
    )
    borrower = Borrower(core, ranks, identity.name, clock)
    client = create_report_client(_MAX_POLLS)
    return Routing(
        directory,
        ranks,
        core,
        create_router(core, clock, borrower),
        create_poller(core, ranks, options, client, clock),
        create_permit_client(core.permits, table, clock),
        create_dump(core, directory, warmth),
        borrower,
    )
