"""Puts routing together for one entry."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, final

from tornado.httpclient import AsyncHTTPClient

from damaskpoint.routing.borrower import Borrower
from damaskpoint.routing.choice import ChoicePolicy, TwoChoices
from damaskpoint.routing.claims import LeaseTerms
from damaskpoint.routing.core import RoutingCore
from damaskpoint.routing.directory import UpstreamDirectory
from damaskpoint.routing.dump import RoutingDump, create_dump
from damaskpoint.routing.fleet import Fleet
from damaskpoint.routing.leases import OWNER_MARK
from damaskpoint.routing.observations import ClaimFacts, UpstreamObservations
from damaskpoint.routing.permit_client import (
    PermitClient,
    create_permit_client,
)
from damaskpoint.routing.permits import create_permit_book
from damaskpoint.routing.poller import LoadPoller, create_poller
from damaskpoint.routing.ranks import EntryRanks
from damaskpoint.routing.router import CoreRouter, create_router
from damaskpoint.routing.warmth import WarmthBook

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from damaskpoint.platform.base import Table
    from damaskpoint.settings import RoutingOptions

# Load polls at once; more wait for each other.
_MAX_POLLS = 256
# Time between two polls with jitter and delay, in intervals.
_POLL_SPACING = 1.5


@final
@dataclass(frozen=True, slots=True)
class Identity:
    """Who routes: an instance's name, its zone and its start."""

    name: str
    zone: str
    # Differs with each start of the process.
    start: str


@final
@dataclass(frozen=True, slots=True)
class Routing:
    """The parts of routing that the process runs and asks."""

    directory: UpstreamDirectory
    ranks: EntryRanks
    core: RoutingCore
    router: CoreRouter
    poller: LoadPoller
    permit_client: PermitClient
    dump: RoutingDump
    borrower: Borrower

    def start(self) -> None:
        """Keep time and poll; ``permit_client.run`` is a task besides."""
        self.router.start()
        self.poller.start()

    def stop(self) -> None:
        """Stop keeping time and polling."""
        self.poller.stop()
        self.router.stop()


def create_warmth(options: RoutingOptions) -> WarmthBook:
    """Return the proofs' book; its bounds follow from the polling."""
    lag_s = options.load_report_lag_s
    # Two reports of one poller are at most this far apart.
    span_s = options.load_poll_s * _POLL_SPACING + lag_s
    return WarmthBook(options.load_report_bound_s, span_s, span_s + lag_s)


def create_core(
    identity: Identity,
    options: RoutingOptions,
    directory: UpstreamDirectory,
    ranks: EntryRanks,
    warmth: WarmthBook,
    policy: ChoicePolicy,
    *,
    is_guarded: bool = True,
) -> RoutingCore:
    """Return the deciding part alone."""
    terms = LeaseTerms(
        f'{identity.name}{OWNER_MARK}{identity.start}',
        options.lease_s,
        options.lease_margin_s,
        options.load_report_lag_s,
    )
    permits = create_permit_book(terms, ClaimFacts(directory, warmth, ranks))
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

    ``policy`` and ``is_guarded`` are for a measurement's baseline and for
    tests: no setting reaches them.
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
    client = AsyncHTTPClient(force_instance=True, max_clients=_MAX_POLLS)
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
