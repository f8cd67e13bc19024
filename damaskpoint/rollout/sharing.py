"""What instances tell each other of rollouts by gossip.

Each instance publishes its own facts. Counts only grow, and of the reports of
an instance's own requests the newest is kept, so the order of arrival and
repetitions do not matter.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, final

from damaskpoint.membership.facts import RolloutFact
from damaskpoint.rollout.evidence import Counts
from damaskpoint.rollout.phases import Report

if TYPE_CHECKING:
    from collections.abc import Iterable

    from damaskpoint.membership.facts import PeerFact


@final
@dataclass(slots=True)
class _Shared:
    """The peers' facts on one rollout."""

    # By peer, start of the peer, and key of the counts.
    counts: dict[tuple[str, int, str], Counts] = field(default_factory=dict)
    # The sums over the peers, by key of the counts.
    totals_by_key: dict[str, Counts] = field(default_factory=dict)
    # With the start and the heartbeat of the peer.
    reports_by_peer: dict[str, tuple[int, int, Report]] = field(
        default_factory=dict
    )
    blocking_peer: str = ''


@final
class SharedEvidence:
    """Facts of the peers, by service and start of the rollout."""

    def __init__(self) -> None:
        """Start without facts."""
        self._shared_by_rollout: dict[tuple[str, int], _Shared] = {}

    def apply(self, peer: PeerFact, received: Iterable[RolloutFact]) -> None:
        """Merge the facts of a peer's message."""
        for fact in received:
            rollout = (fact.service, fact.started_ms)
            shared = self._shared_by_rollout.setdefault(rollout, _Shared())
            if fact.is_report:
                _apply_report(shared, peer, fact)
                continue
            key = (peer.name, peer.start, fact.key)
            counts = shared.counts.setdefault(key, Counts())
            totals = shared.totals_by_key.setdefault(fact.key, Counts())
            totals.add(counts.raise_to(decode_counts(fact)))

    def drop_before(self, service: str, started_ms: int) -> None:
        """Drop the facts on earlier rollouts of a service.

        Facts on rollouts whose state has not been read yet stay.
        """
        for rollout in tuple(self._shared_by_rollout):
            if rollout[0] == service and rollout[1] < started_ms:
                self._shared_by_rollout.pop(rollout)

    def sum_into(
        self, totals_by_key: dict[str, Counts], service: str, started_ms: int
    ) -> None:
        """Add the peers' counts to those of this instance."""
        shared = self._shared_by_rollout.get((service, started_ms))
        if shared is None:
            return
        for key, counts in shared.totals_by_key.items():
            totals_by_key.setdefault(key, Counts()).add(counts)

    def find_report(
        self, service: str, started_ms: int, peer: str
    ) -> Report | None:
        """Return the newest report of a peer, or None."""
        shared = self._shared_by_rollout.get((service, started_ms))
        if shared is None or peer not in shared.reports_by_peer:
            return None
        return shared.reports_by_peer[peer][-1]

    def find_blocking_peer(self, service: str, started_ms: int) -> str:
        """Return a peer that knows the version to be bad, or ''."""
        shared = self._shared_by_rollout.get((service, started_ms))
        return shared.blocking_peer if shared else ''


def encode_counts(
    service: str, started_ms: int, key: str, counts: Counts
) -> RolloutFact:
    """Return the fact of a key's counts."""
    return RolloutFact(
        service=service,
        started_ms=started_ms,
        key=key,
        old=counts.old,
        old_bad=counts.old_bad,
        new=counts.new,
        new_bad=counts.new_bad,
        new_broken=counts.new_broken,
    )


def decode_counts(fact: RolloutFact) -> Counts:
    """Return the counts of a fact."""
    return Counts(
        fact.old, fact.old_bad, fact.new, fact.new_bad, fact.new_broken
    )


def _apply_report(shared: _Shared, peer: PeerFact, fact: RolloutFact) -> None:
    if fact.is_blocked:
        shared.blocking_peer = peer.name
    known = shared.reports_by_peer.get(peer.name)
    if known is not None and (peer.start, peer.heartbeat) < known[:2]:
        return
    shared.reports_by_peer[peer.name] = (
        peer.start,
        peer.heartbeat,
        Report(fact.is_switched, fact.old, fact.old_bad),
    )
