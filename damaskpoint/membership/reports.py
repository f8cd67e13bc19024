"""Load reports of upstreams, and each process's reports of its own work.

Load reports are relayed. Reports of own work are sent by their owner alone;
its shares and demands are dropped here when it becomes silent.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Generic, TypeVar, final

from damaskpoint import defaults
from damaskpoint.membership.rotation import Rotation

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

    from damaskpoint.membership.facts import (
        DemandFact,
        GossipMessage,
        LoadFact,
    )

_WorkFact = TypeVar('_WorkFact')


@final
class LoadTable:
    """The newest load report of each upstream."""

    def __init__(self) -> None:
        """Create an empty table."""
        self._loads_by_upstream: dict[str, LoadFact] = {}
        self.rotation: Rotation[str] = Rotation()

    def merge(self, load: LoadFact, now: float) -> bool:
        """Apply a report if it is newer; return whether it was."""
        if now - load.measured_at > defaults.FACT_KEEP_S:
            return False
        known = self._loads_by_upstream.get(load.upstream)
        if known is None:
            if len(self._loads_by_upstream) >= defaults.MAX_REPORTS:
                return False
        elif _load_order(load) <= _load_order(known):
            return False
        self._loads_by_upstream[load.upstream] = load
        self.rotation.ensure(load.upstream)
        return True

    def expire(self, now: float) -> None:
        """Drop reports that are too old to send."""
        for upstream, load in tuple(self._loads_by_upstream.items()):
            if now - load.measured_at > defaults.FACT_KEEP_S:
                self._loads_by_upstream.pop(upstream)
                self.rotation.discard(upstream)

    def find(self, upstream: str) -> LoadFact | None:
        """Return the newest report of an upstream, or None."""
        return self._loads_by_upstream.get(upstream)

    def __len__(self) -> int:
        """Return the number of reports."""
        return len(self._loads_by_upstream)


def _load_order(load: LoadFact) -> tuple[int, float]:
    return (load.incarnation, load.measured_at)


@final
class OwnWork(Generic[_WorkFact]):
    """This process's reports of its own work, by key."""

    def __init__(self) -> None:
        """Create without reports."""
        self._facts_by_key: dict[str, _WorkFact] = {}
        self.rotation: Rotation[str] = Rotation()

    def replace(self, facts_by_key: Mapping[str, _WorkFact]) -> None:
        """Replace all reports; present keys keep their sending position."""
        for key in self._facts_by_key:
            if key not in facts_by_key:
                self.rotation.discard(key)
        self._facts_by_key = dict(facts_by_key)
        for key in self._facts_by_key:
            self.rotation.ensure(key)

    def iterate(self) -> Iterator[_WorkFact]:
        """Yield the reports, the least recently sent first."""
        for key in self.rotation.iterate_others():
            yield self._facts_by_key[key]

    @property
    def facts_by_key(self) -> Mapping[str, _WorkFact]:
        """Return the reports by key."""
        return self._facts_by_key


@final
@dataclass(slots=True)
class _PeerWork:
    """One peer's reports of its own work, with their times of receipt."""

    # Start and heartbeat of the newest message that was applied.
    order: tuple[int, int] = (0, 0)
    shares_by_upstream: dict[str, tuple[int, float]] = field(
        default_factory=dict
    )
    demands_by_account: dict[str, tuple[DemandFact, float]] = field(
        default_factory=dict
    )


@final
class PeerWorkTable:
    """Calls in flight and demands of the peers, by peer."""

    def __init__(self) -> None:
        """Create an empty table."""
        self._work_by_peer: dict[str, _PeerWork] = {}

    def merge(self, message: GossipMessage, now: float) -> bool:
        """Apply the sender's reports of its own work.

        Messages older than one already applied are ignored. Returns whether
        the message had reports and was the newest of its sender.
        """
        if not _has_work(message):
            return False
        sender = message.sender
        order = (sender.start, sender.heartbeat)
        work = self._work_by_peer.setdefault(sender.name, _PeerWork())
        if order <= work.order:
            return False
        if order[0] != work.order[0]:
            work.shares_by_upstream.clear()
            work.demands_by_account.clear()
        work.order = order
        for share in message.shares:
            work.shares_by_upstream[share.upstream] = (share.in_flight, now)
        for demand in message.demands:
            work.demands_by_account[demand.account] = (demand, now)
        return True

    def expire(self, live_names: frozenset[str], now: float) -> None:
        """Drop the reports of silent peers and reports that are too old."""
        for peer, work in tuple(self._work_by_peer.items()):
            if peer not in live_names:
                self._work_by_peer.pop(peer)
                continue
            _drop_older(work.shares_by_upstream, now - defaults.FACT_KEEP_S)
            _drop_older(work.demands_by_account, now - defaults.DEMAND_KEEP_S)

    def sum_shares(self) -> dict[str, int]:
        """Return the sum of the peers' calls in flight, by upstream."""
        sums: dict[str, int] = {}
        for work in self._work_by_peer.values():
            for upstream, (in_flight, _) in work.shares_by_upstream.items():
                sums[upstream] = sums.get(upstream, 0) + in_flight
        return sums

    def demands_of(self, account: str) -> dict[str, DemandFact]:
        """Return each peer's demand of a client account."""
        demands_by_peer: dict[str, DemandFact] = {}
        for peer, work in self._work_by_peer.items():
            received = work.demands_by_account.get(account)
            if received is not None:
                demands_by_peer[peer] = received[0]
        return demands_by_peer

    def sum_outstanding(self) -> dict[str, int]:
        """Return the sum of what runs or waits at peers, by account."""
        sums: dict[str, int] = {}
        for work in self._work_by_peer.values():
            for account, (demand, _) in work.demands_by_account.items():
                if demand.in_flight:
                    sums[account] = sums.get(account, 0) + demand.in_flight
        return sums

    def outstanding_by_peer(self) -> dict[str, int]:
        """Return the requests that run or wait, by reporting peer."""
        outstanding_by_peer: dict[str, int] = {}
        for peer, work in self._work_by_peer.items():
            if not work.demands_by_account:
                continue
            outstanding_by_peer[peer] = sum(
                demand.in_flight
                for demand, _ in work.demands_by_account.values()
            )
        return outstanding_by_peer


def _has_work(message: GossipMessage) -> bool:
    work = (message.shares, message.demands, message.paces, message.pledges)
    return any(work)


def _drop_older(
    received_by_key: dict[str, tuple[_WorkFact, float]], oldest: float
) -> None:
    for key, (_, received_at) in tuple(received_by_key.items()):
        if received_at < oldest:
            received_by_key.pop(key)
