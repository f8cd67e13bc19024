"""The load of each upstream as one entry knows it.

The entry's own calls in flight are exact. Peers' shares and the upstream's
reports lag, so they only estimate the calls of other entries.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, final

from damaskpoint import defaults

if TYPE_CHECKING:
    from damaskpoint.routing.report import LoadReport


@final
@dataclass(slots=True)
class PeerShare:
    """One peer's calls in flight, and the monotonic time of the message."""

    count: int
    received_at: float


@final
@dataclass(slots=True)
class UpstreamLoad:
    """The load of one upstream; times are monotonic seconds."""

    own_in_flight: int = 0
    # Sum over the peers with a recent share.
    peers_in_flight: int = 0
    shares_by_peer: dict[str, PeerShare] = field(default_factory=dict)
    report: LoadReport | None = None
    reported_at: float = 0
    own_when_reported: int = 0
    # EWMA of the service time in seconds; 0 until one is measured.
    service_s: float = 0
    is_outlier: bool = False

    def estimate_others(self, now: float) -> int:
        """Return the estimated calls in flight of other entries."""
        report = self.report
        if report is None:
            return self.peers_in_flight
        if now - self.reported_at > defaults.LOAD_REPORT_BOUND_S:
            return self.peers_in_flight
        others = report.in_flight - self.own_when_reported
        return max(self.peers_in_flight, others)

    def update_report(self, report: LoadReport, reported_at: float) -> bool:
        """Apply a report; return whether it is newer than the current one."""
        if self.report is not None and reported_at <= self.reported_at:
            return False
        self.report = report
        self.reported_at = reported_at
        self.own_when_reported = self.own_in_flight
        return True

    def update_share(self, peer: str, count: int, received_at: float) -> None:
        """Apply a peer's number of calls in flight."""
        known = self.shares_by_peer.get(peer)
        if known is not None and known.received_at > received_at:
            return
        known_count = 0 if known is None else known.count
        self.peers_in_flight += count - known_count
        if count:
            self.shares_by_peer[peer] = PeerShare(count, received_at)
        else:
            self.shares_by_peer.pop(peer, None)

    def drop_stale_shares(self, before: float) -> None:
        """Remove the shares that were received before this time."""
        stale = []
        for peer, share in self.shares_by_peer.items():
            if share.received_at < before:
                stale.append(peer)
        for peer in stale:
            self.peers_in_flight -= self.shares_by_peer.pop(peer).count

    def add_service_time(self, duration_s: float) -> None:
        """Add a measured service time to the average."""
        if not self.service_s:
            self.service_s = duration_s
            return
        change = duration_s - self.service_s
        self.service_s += change * defaults.SERVICE_TIME_WEIGHT
