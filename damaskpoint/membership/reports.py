"""Loads of upstreams, and what each process says of its own work.

Loads are relayed; shares and demands are told by their owner alone and lose
their meaning when the owner falls silent.
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

_Told = TypeVar('_Told')


@final
class LoadTable:
    """The newest load report of each upstream."""

    def __init__(self) -> None:
        """Start without reports."""
        self._loads_by_upstream: dict[str, LoadFact] = {}
        self.rotation: Rotation[str] = Rotation()

    def merge(self, load: LoadFact, now: float) -> bool:
        """Take over a newer report; return whether it was newer."""
        if now - load.measured_at > defaults.FACT_KEEP_S:
            return False
        known = self._loads_by_upstream.get(load.upstream)
        if known is None:
            if len(self._loads_by_upstream) >= defaults.MAX_REPORTS:
                return False
        elif _load_order(load) <= _load_order(known):
            return False
        self._loads_by_upstream[load.upstream] = load
        self.rotation.keep(load.upstream)
        return True

    def expire(self, now: float) -> None:
        """Drop reports that are too old to tell."""
        for upstream, load in tuple(self._loads_by_upstream.items()):
            if now - load.measured_at > defaults.FACT_KEEP_S:
                self._loads_by_upstream.pop(upstream)
                self.rotation.discard(upstream)

    def find(self, upstream: str) -> LoadFact | None:
        """Return the newest report of an upstream, or None."""
        return self._loads_by_upstream.get(upstream)

    def __len__(self) -> int:
        """Return how many reports are held."""
        return len(self._loads_by_upstream)


def _load_order(load: LoadFact) -> tuple[int, float]:
    return (load.incarnation, load.measured_at)


@final
class OwnWork(Generic[_Told]):
    """What this process says of its own work, by key."""

    def __init__(self) -> None:
        """Start without work."""
        self._facts_by_key: dict[str, _Told] = {}
        self.rotation: Rotation[str] = Rotation()

    def replace(self, facts_by_key: Mapping[str, _Told]) -> None:
        """Say this from now on; each key keeps its turn."""
        for key in self._facts_by_key:
            if key not in facts_by_key:
                self.rotation.discard(key)
        self._facts_by_key = dict(facts_by_key)
        for key in self._facts_by_key:
            self.rotation.keep(key)

    def iterate(self) -> Iterator[_Told]:
        """Return what is said, the least recently told first."""
        for key in self.rotation.iterate_others():
            yield self._facts_by_key[key]

    @property
    def facts_by_key(self) -> Mapping[str, _Told]:
        """Return what is said, by key."""
        return self._facts_by_key


@final
@dataclass(slots=True)
class _PeerWork:
    """What one peer said of its own work, with the time of each word."""

    # Start and heartbeat of the newest message.
    order: tuple[int, int] = (0, 0)
    shares_by_upstream: dict[str, tuple[int, float]] = field(
        default_factory=dict
    )
    demands_by_account: dict[str, tuple[DemandFact, float]] = field(
        default_factory=dict
    )


@final
class PeerWorkTable:
    """In-flight shares and demands of the peers, by their owner."""

    def __init__(self) -> None:
        """Start without peers."""
        self._work_by_peer: dict[str, _PeerWork] = {}

    def merge(self, message: GossipMessage, now: float) -> bool:
        """Take over what a peer says itself; late messages say nothing.

        Returns whether the message was the newest of its sender.
        """
        if not _tells_work(message):
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
        """Drop what silent peers said, and what was not said again."""
        for peer, work in tuple(self._work_by_peer.items()):
            if peer not in live_names:
                self._work_by_peer.pop(peer)
                continue
            _drop_older(work.shares_by_upstream, now - defaults.FACT_KEEP_S)
            _drop_older(work.demands_by_account, now - defaults.DEMAND_KEEP_S)

    def sum_shares(self) -> dict[str, int]:
        """Return the peers' calls in flight by upstream."""
        sums: dict[str, int] = {}
        for work in self._work_by_peer.values():
            for upstream, (in_flight, _) in work.shares_by_upstream.items():
                sums[upstream] = sums.get(upstream, 0) + in_flight
        return sums

    def demands_of(self, account: str) -> dict[str, DemandFact]:
        """Return what each peer says of its demand of an account."""
        demands_by_peer: dict[str, DemandFact] = {}
        for peer, work in self._work_by_peer.items():
            told = work.demands_by_account.get(account)
            if told is not None:
                demands_by_peer[peer] = told[0]
        return demands_by_peer

    def work_by_peer(self) -> dict[str, int]:
        """Return requests running or waiting, by the peers that told."""
        work_by_peer: dict[str, int] = {}
        for peer, work in self._work_by_peer.items():
            if not work.demands_by_account:
                continue
            work_by_peer[peer] = sum(
                demand.in_flight
                for demand, _ in work.demands_by_account.values()
            )
        return work_by_peer


def _tells_work(message: GossipMessage) -> bool:
    told = (message.shares, message.demands, message.paces, message.pledges)
    return any(told)


def _drop_older(
    told_by_key: dict[str, tuple[_Told, float]], oldest: float
) -> None:
    for key, (_, told_at) in tuple(told_by_key.items()):
        if told_at < oldest:
            told_by_key.pop(key)
