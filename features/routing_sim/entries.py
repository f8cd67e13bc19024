"""Simulated entries: the product's deciding core, driven by the world."""

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
    """One entry; its clock has an offset of its own."""

    def __init__(self, number: int, simulation: Simulation) -> None:
        """Start with the list and the configuration known."""
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
        """Begin all that an entry does again and again."""
        self._again(_TICK_S, self._tick)
        self._again(_POLL_S, self._poll)
        self._again(_GOSSIP_S, self._gossip)
        self._request()
        self._serve_book()

    def clock(self) -> float:
        """Return the entry's own monotonic time."""
        return self.world.now + self.offset

    def on_unproven(self, name: str, incarnation: int) -> None:
        """Tell the peers at once."""
        for peer in self.sim.peers_of(self):
            self._send(peer, _hear_unproven(peer, incarnation))

    def _again(self, every: float, action: Callable[[], None]) -> None:
        def repeat() -> None:
            action()
            self.world.after(every, repeat, self.number)

        delay = self.world.rng.uniform(0, every)
        self.world.after(delay, repeat, self.number)

    def _tick(self) -> None:
        self.core.tick(self.clock())

    def _poll(self) -> None:
        asked_at = self.clock()
        world = self.world
        if world.find_end('cut_upstream', self.number):
            return

        def ask() -> None:
            report = self.sim.upstream.report()

            def hear() -> None:
                self.last_report = (asked_at, report)
                self.core.observations.note_report(
                    UPSTREAM, report, asked_at, self.clock()
                )

            world.after(world.net(), hear, self.number)

        world.after(world.net(), ask)

    def _gossip(self) -> None:
        count = self.core.shares_by_name().get(UPSTREAM, 0)
        for peer in self.sim.peers_of(self):
            self._send(peer, _hear_share(peer, self.number, count))
            if self.last_report is not None:
                asked_at, report = self.last_report
                age = self.clock() - asked_at
                self._send(peer, _hear_report(peer, report, age))

    def _send(self, peer: SimEntry, action: Callable[[], None]) -> None:
        world = self.world
        if world.find_end('cut_gossip') or world.rng.randrange(10) == 0:
            return
        world.after(world.net(), action, peer.number)

    def _request(self) -> None:
        world = self.world
        world.after(world.rng.uniform(0.02, 0.4), self._request, self.number)
        now = self.clock()
        query = RouteQuery('r', 'p', '', '', b'', frozenset(), now + 30)
        ticket = self.core.try_acquire(query, now)
        if ticket is not None:
            self._call(ticket)
            return
        if self.core.find_cold(query) is not None:
            self._borrow(query)

    def _borrow(self, query: RouteQuery) -> None:
        """Ask the holder for a permit, as the borrower does."""
        holder = self.core.permits.find_holder(UPSTREAM)
        holder = holder or self.ranks.find_first(UPSTREAM)
        peer = self.sim.entries[int(holder[1:])]
        if peer is self:
            return
        asked_at = self.clock()

        def lend() -> None:
            loan = peer.core.lender.lend(UPSTREAM, peer.clock())
            if isinstance(loan, Loan):
                self._send(self, lambda: use(loan))

        def use(loan: Loan) -> None:
            ticket = self.core.use_loan(
                query, UPSTREAM, loan, asked_at, self.clock()
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
        self, ticket: Ticket, on_seen_end: Callable[[], None] | None = None
    ) -> None:
        """Send the call; it may be given up without the upstream's hearing."""
        world = self.world
        upstream = self.sim.upstream
        duration = world.rng.choice((0.1, 0.5, 2, 8))
        is_given_up = world.rng.randrange(10) == 0

        def release(report: CallReport) -> None:
            self.core.release(ticket, report, self.clock())
            is_seen = report.end is CallEnd.SUCCEEDED
            if is_seen and on_seen_end is not None:
                on_seen_end()

        def arrive() -> None:
            call = upstream.arrive(self.number, is_cold_ticket=ticket.is_cold)
            world.after(duration, lambda: end(call))

        def end(call: int) -> None:
            report = CallReport(CallEnd.BROKEN, duration)
            if upstream.leave(call):
                report = CallReport(
                    CallEnd.SUCCEEDED,
                    duration,
                    upstream.incarnation,
                    not upstream.is_cold,
                )
            if not is_given_up:
                world.after(world.net(), lambda: release(report), self.number)

        if is_given_up:
            given_up = CallReport(CallEnd.CANCELLED, 0.2)
            world.after(0.2, lambda: release(given_up), self.number)
        world.after(world.net(), arrive)

    def _serve_book(self) -> None:
        """Do what the permit client does: read, then write, then again."""
        claims = self.core.permits.claims
        names = claims.plan_reads(self.clock())
        if not names:
            self._write()
            return

        def done(rows: dict[str, LeaseRow | None] | None) -> None:
            if rows is None:
                claims.note_read_failed(names, self.clock())
            else:
                claims.note_read(rows, self.clock())
            self._write()

        self.sim.table.read(names, self.number, done)

    def _write(self) -> None:
        claims = self.core.permits.claims
        writes: Sequence[LeaseWrite] = claims.plan_writes(self.clock())
        if not writes:
            self.world.after(0.05, self._serve_book, self.number)
            return

        def done(outcome: Committed | Conflicted | Failure) -> None:
            claims.note_written(writes, outcome, self.clock())
            self._serve_book()

        owner = self.core.permits.owner
        self.sim.table.transact(writes, owner, self.number, done)


def _hear_unproven(peer: SimEntry, incarnation: int) -> Callable[[], None]:
    return lambda: peer.core.observations.receive_unproven(
        UPSTREAM, incarnation, peer.clock()
    )


def _hear_share(peer: SimEntry, sender: int, count: int) -> Callable[[], None]:
    return lambda: peer.core.observations.receive_shares(
        f'e{sender}', {UPSTREAM: count}, 0, peer.clock()
    )


def _hear_report(
    peer: SimEntry, report: LoadReport, age: float
) -> Callable[[], None]:
    return lambda: peer.core.observations.receive_report(
        UPSTREAM, report, age, peer.clock()
    )


@dataclass(frozen=True, slots=True)
class Verdict:
    """What the upstream saw in one run."""

    violations: tuple[str, ...]
    cold_calls: int
    window_calls: int
    last_warm_at: float
    borrowed_calls: int


class Simulation:
    """Some entries before one upstream, under a schedule of faults."""

    def __init__(
        self,
        size: int,
        seed: int,
        faults: Sequence[Fault],
        unguard: Callable[[SimEntry], None] | None = None,
    ) -> None:
        """Set all up at time 0; ``unguard`` takes a guard off an entry."""
        self.size = size
        self.world = World(seed, faults)
        self.table = SimTable(self.world)
        self.upstream = SimUpstream(self.world, warm_after_s=12)
        self.borrowed_calls = 0
        self.entries = [SimEntry(number, self) for number in range(size)]
        for entry in self.entries:
            if unguard is not None:
                unguard(entry)

    def peers_of(self, entry: SimEntry) -> list[SimEntry]:
        """Return all other entries."""
        return [peer for peer in self.entries if peer is not entry]

    def run(self, end: float) -> Verdict:
        """Run to the end and return what was seen."""
        for entry in self.entries:
            entry.start()
        for fault in self.world.faults:
            if fault.kind in {'turn_cold', 'restart'}:
                self._turn_later(fault)
        self.world.run(end)
        return Verdict(
            tuple(self.upstream.violations),
            self.upstream.cold_calls,
            self.upstream.window_calls,
            self.upstream.last_warm_at,
            self.borrowed_calls,
        )

    def _turn_later(self, fault: Fault) -> None:
        is_restart = fault.kind == 'restart'

        def turn() -> None:
            self.upstream.turn_cold(is_restart=is_restart)

        self.world.after(fault.start, turn)
