"""Simulated entries: the real routing core, driven by virtual time."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from damaskpoint.config.model import Configuration, Pool, PoolKind, Zone
from damaskpoint.platform.base import ListedInstance, Presence
from damaskpoint.routing.base import CallEnd, CallReport, RouteQuery, Ticket
from damaskpoint.routing.choice import TwoChoices
from damaskpoint.routing.directory import UpstreamDirectory
from damaskpoint.routing.lending import Loan
from damaskpoint.routing.observations import UnprovenListener
from damaskpoint.routing.ranks import EntryRanks
from damaskpoint.routing.wiring import Identity, create_core, create_warmth
from damaskpoint.settings import RoutingOptions
from features.routing_sim.world import (
    BOUND_S,
    COLD_LIMIT,
    LAG_S,
    WARM_LIMIT,
    Fault,
    SimTable,
    SimUpstream,
    World,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from damaskpoint.errors import Failure
    from damaskpoint.platform.base import Committed, Conflicted
    from damaskpoint.routing.core import RoutingCore
    from damaskpoint.routing.leases import LeaseRow, LeaseWrite
    from damaskpoint.routing.report import LoadReport

UPSTREAM = 'u1'
_POOL = Pool('p', PoolKind.MODEL, COLD_LIMIT, WARM_LIMIT, True, True)
_CONFIGURATION = Configuration(
    1, 'd', {'z': Zone('z', is_out=False)}, {}, {'p': _POOL}
)
_LISTED = ListedInstance(
    UPSTREAM, 'p', 'z', '127.0.0.1', 1, 0, 1, Presence.LIVE
)
_OPTIONS = RoutingOptions(load_report_bound_s=BOUND_S, load_report_lag_s=LAG_S)
_TICK_S = 0.1
_POLL_S = 0.5
_GOSSIP_S = 0.5


class SimEntry(UnprovenListener):
    """A simulated entry, whose clock has its own offset."""

    def __init__(self, number: int, simulation: Simulation) -> None:
        """Start with the instance list and the configuration applied."""
        self.number = number
        self.sim = simulation
        self.world = simulation.world
        self.offset = 1_000.0 * (number + 1)
        self.ranks = EntryRanks(f'e{number}')
        self.ranks.update_entries(
            [f'e{peer}' for peer in range(simulation.size)]
        )
        directory = UpstreamDirectory()
        self.warmth = create_warmth(_OPTIONS)
        self.core: RoutingCore = create_core(
            Identity(f'e{number}', 'z', '1'),
            _OPTIONS,
            directory,
            self.ranks,
            self.warmth,
            TwoChoices('z', self.world.rng),
        )
        self.core.observations.listener = self
        directory.apply_configuration(_CONFIGURATION, self.clock())
        directory.apply_list([_LISTED], self.clock())
        self.last_report: tuple[float, LoadReport] | None = None

    def start(self) -> None:
        """Schedule the periodic work of an entry."""
        self._repeat(_TICK_S, self._tick)
        self._repeat(_POLL_S, self._poll)
        self._repeat(_GOSSIP_S, self._gossip)
        self._request()
        self._serve_claims()

    def clock(self) -> float:
        """Return the entry's own monotonic time."""
        return self.world.now + self.offset

    def on_unproven(self, name: str, incarnation: int) -> None:
        """Notify the peers at once."""
        for peer in self.sim.peers_of(self):
            self._send(peer, _receive_unproven(peer, incarnation))

    def _repeat(self, interval: float, action: Callable[[], None]) -> None:
        def repeat() -> None:
            action()
            self.world.schedule(interval, repeat, self.number)

        delay = self.world.rng.uniform(0, interval)
        self.world.schedule(delay, repeat, self.number)

    def _tick(self) -> None:
        self.core.tick(self.clock())

    def _poll(self) -> None:
        requested_at = self.clock()
        world = self.world
        if world.find_fault_end('cut_upstream', self.number):
            return

        def answer() -> None:
            report = self.sim.upstream.report()

            def receive() -> None:
                self.last_report = (requested_at, report)
                self.core.observations.apply_report(
                    UPSTREAM, report, requested_at, self.clock()
                )

            world.schedule(world.draw_delay(), receive, self.number)

        world.schedule(world.draw_delay(), answer)

    def _gossip(self) -> None:
        count = self.core.shares_by_name().get(UPSTREAM, 0)
        for peer in self.sim.peers_of(self):
            self._send(peer, _receive_share(peer, self.number, count))
            if self.last_report is not None:
                requested_at, report = self.last_report
                age = self.clock() - requested_at
                self._send(peer, _receive_report(peer, report, age))

    def _send(self, peer: SimEntry, action: Callable[[], None]) -> None:
        world = self.world
        if world.find_fault_end('cut_gossip') or world.rng.randrange(10) == 0:
            return
        world.schedule(world.draw_delay(), action, peer.number)

    def _request(self) -> None:
        world = self.world
        world.schedule(world.rng.uniform(0.02, 0.4), self._request, self.number)
        now = self.clock()
        query = RouteQuery('r', 'p', '', '', b'', frozenset(), now + 30)
        ticket = self.core.try_acquire(query, now)
        if ticket is not None:
            self._call(ticket)
            return
        if self.core.find_cold(query) is not None:
            self._borrow(query)

    def _borrow(self, query: RouteQuery) -> None:
        """Borrow a permit from the holder, as ``Borrower`` does."""
        holder = self.core.permits.find_holder(UPSTREAM)
        holder = holder or self.ranks.find_first(UPSTREAM)
        peer = self.sim.entries[int(holder[1:])]
        if peer is self:
            return
        requested_at = self.clock()

        def lend() -> None:
            loan = peer.core.lender.lend(UPSTREAM, peer.clock())
            if isinstance(loan, Loan):
                self._send(self, lambda: use(loan))

        def use(loan: Loan) -> None:
            ticket = self.core.use_loan(
                query, UPSTREAM, loan, requested_at, self.clock()
            )
            if ticket is None:
                return_permit(loan)
            else:
                self.sim.borrowed_calls += 1
                self._call(ticket, lambda: return_permit(loan))

        def return_permit(loan: Loan) -> None:
            self._send(
                peer,
                lambda: peer.core.lender.accept_return(
                    UPSTREAM, loan.number, peer.clock()
                ),
            )

        self._send(peer, lend)

    def _call(
        self, ticket: Ticket, on_confirmed_end: Callable[[], None] | None = None
    ) -> None:
        """Send the call; some are cancelled while the upstream runs them."""
        world = self.world
        upstream = self.sim.upstream
        duration = world.rng.choice((0.1, 0.5, 2, 8))
        is_abandoned = world.rng.randrange(10) == 0

        def release(report: CallReport) -> None:
            self.core.release(ticket, report, self.clock())
            is_confirmed = report.end is CallEnd.SUCCEEDED
            if is_confirmed and on_confirmed_end is not None:
                on_confirmed_end()

        def arrive() -> None:
            call = upstream.arrive(self.number, is_cold_ticket=ticket.is_cold)
            world.schedule(duration, lambda: end(call))

        def end(call: int) -> None:
            report = CallReport(CallEnd.BROKEN, duration)
            if upstream.leave(call):
                report = CallReport(
                    CallEnd.SUCCEEDED,
                    duration,
                    upstream.incarnation,
                    not upstream.is_cold,
                )
            if not is_abandoned:
                world.schedule(
                    world.draw_delay(), lambda: release(report), self.number
                )

        if is_abandoned:
            abandoned = CallReport(CallEnd.CANCELLED, 0.2)
            world.schedule(0.2, lambda: release(abandoned), self.number)
        world.schedule(world.draw_delay(), arrive)

    def _serve_claims(self) -> None:
        """Execute reads and writes in a loop, as ``PermitClient`` does."""
        claims = self.core.permits.claims
        names = claims.plan_reads(self.clock())
        if not names:
            self._write()
            return

        def on_read(rows: dict[str, LeaseRow | None] | None) -> None:
            if rows is None:
                claims.record_failed_read(names, self.clock())
            else:
                claims.apply_rows(rows, self.clock())
            self._write()

        self.sim.table.read(names, self.number, on_read)

    def _write(self) -> None:
        claims = self.core.permits.claims
        writes: Sequence[LeaseWrite] = claims.plan_writes(self.clock())
        if not writes:
            self.world.schedule(0.05, self._serve_claims, self.number)
            return

        def on_written(outcome: Committed | Conflicted | Failure) -> None:
            claims.apply_outcome(writes, outcome, self.clock())
            self._serve_claims()

        owner = self.core.permits.owner
        self.sim.table.transact(writes, owner, self.number, on_written)


def _receive_unproven(peer: SimEntry, incarnation: int) -> Callable[[], None]:
    return lambda: peer.core.observations.receive_unproven(
        UPSTREAM, incarnation, peer.clock()
    )


def _receive_share(
    peer: SimEntry, sender: int, count: int
) -> Callable[[], None]:
    return lambda: peer.core.observations.receive_shares(
        f'e{sender}', {UPSTREAM: count}, 0, peer.clock()
    )


def _receive_report(
    peer: SimEntry, report: LoadReport, age: float
) -> Callable[[], None]:
    return lambda: peer.core.observations.receive_report(
        UPSTREAM, report, age, peer.clock()
    )


@dataclass(frozen=True, slots=True)
class Verdict:
    """What the upstream observed in one run."""

    violations: tuple[str, ...]
    cold_calls: int
    window_calls: int
    last_warm_at: float
    borrowed_calls: int


class Simulation:
    """Several entries and one upstream, under a schedule of faults."""

    def __init__(
        self,
        size: int,
        seed: int,
        faults: Sequence[Fault],
        remove_guard: Callable[[SimEntry], None] | None = None,
    ) -> None:
        """Set up time 0; ``remove_guard`` removes a guard from an entry."""
        self.size = size
        self.world = World(seed, faults)
        self.table = SimTable(self.world)
        self.upstream = SimUpstream(self.world, warm_after_s=12)
        self.borrowed_calls = 0
        self.entries = [SimEntry(number, self) for number in range(size)]
        for entry in self.entries:
            if remove_guard is not None:
                remove_guard(entry)

    def peers_of(self, entry: SimEntry) -> list[SimEntry]:
        """Return all other entries."""
        return [peer for peer in self.entries if peer is not entry]

    def run(self, end: float) -> Verdict:
        """Run until ``end`` and return what was observed."""
        for entry in self.entries:
            entry.start()
        for fault in self.world.faults:
            if fault.kind in {'turn_cold', 'restart'}:
                self._schedule_turn_cold(fault)
        self.world.run(end)
        return Verdict(
            tuple(self.upstream.violations),
            self.upstream.cold_calls,
            self.upstream.window_calls,
            self.upstream.last_warm_at,
            self.borrowed_calls,
        )

    def _schedule_turn_cold(self, fault: Fault) -> None:
        is_restart = fault.kind == 'restart'

        def turn() -> None:
            self.upstream.turn_cold(is_restart=is_restart)

        self.world.schedule(fault.start, turn)
