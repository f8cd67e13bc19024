"""What is inside each upstream, as one entry can know it.

Own calls in flight are exact. Peers' shares and the upstream's own reports
lag, so both only estimate what others have sent there.
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
    """One peer's calls in flight; heard at a monotonic time."""

    count: int
    heard_at: float


@final
@dataclass(slots=True)
class UpstreamLoad:
    """The load of one upstream; times are monotonic seconds."""

    own: int = 0
    # Sum over the peers that were heard lately.
    peers_total: int = 0
    shares_by_peer: dict[str, PeerShare] = field(default_factory=dict)
    report: LoadReport | None = None
    reported_at: float = 0
    own_when_reported: int = 0
    # Smoothed service time in seconds; 0 until one was measured.
    service_s: float = 0
    is_outlier: bool = False

    def estimate_others(self, now: float) -> int:
        """Return what others have probably in flight there."""
        report = self.report
        if report is None:
            return self.peers_total
        if now - self.reported_at > defaults.LOAD_REPORT_BOUND_S:
            return self.peers_total
        rest = report.in_flight - self.own_when_reported
        return max(self.peers_total, rest)

    def update_report(self, report: LoadReport, reported_at: float) -> bool:
        """Take a report; return whether it is newer than the held one."""
        if self.report is not None and reported_at <= self.reported_at:
            return False
        self.report = report
        self.reported_at = reported_at
        self.own_when_reported = self.own
        return True

    def hear_share(self, peer: str, count: int, heard_at: float) -> None:
        """Take a peer's number of calls in flight."""
        held = self.shares_by_peer.get(peer)
        if held is not None and held.heard_at > heard_at:
            return
        held_count = 0 if held is None else held.count
        self.peers_total += count - held_count
        if count:
            self.shares_by_peer[peer] = PeerShare(count, heard_at)
        else:
            self.shares_by_peer.pop(peer, None)

    def drop_silent(self, before: float) -> None:
        """Forget the shares that were heard before this time."""
        silent = []
        for peer, share in self.shares_by_peer.items():
            if share.heard_at < before:
                silent.append(peer)
        for peer in silent:
            self.peers_total -= self.shares_by_peer.pop(peer).count

    def note_service(self, duration_s: float) -> None:
        """Smooth a measured service time in."""
        if not self.service_s:
            self.service_s = duration_s
            return
        change = duration_s - self.service_s
        self.service_s += change * defaults.SERVICE_TIME_WEIGHT
