"""Judges a rollout by what the stand-ins saw, and by the status row."""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from features.support.rollout_platform import COMPLETED, ROLLED_BACK
from features.support.rollout_site import BOUNDS
from standins.versions import find_route

if TYPE_CHECKING:
    from features.support.rollout_site import RolloutSite
    from standins.versions import ServiceVersion

# A version must get no requests after this bad response.
_LAST_BAD: Final = 50
# Requests and statuses are seen this much later than they are sent, and late
# by the delay of the test's event loop.
_TRANSIT_S: Final = 0.1


@dataclass(slots=True)
class RolloutReport:
    """The figures of a rollout, and what is wrong with it."""

    # States of the status row with the seconds after the order.
    states: str = ''
    # Requests to the version up to the deadline, and their bound.
    exposure: int = 0
    bound: float = 0
    bad: int = 0
    # Seconds from the 50th bad response to the last request; None without one.
    last_after_s: float | None = None
    violations: list[str] = field(default_factory=list)

    def describe(self) -> str:
        """Return the figures in one line."""
        last = self.last_after_s
        return (
            f'[{self.states}], exposure {self.exposure}, bound '
            f'{self.bound:.0f}, {self.bad} bad, last request after the 50th '
            f'{"none" if last is None else f"{last:.1f} s"}: '
            f'{", ".join(self.violations) or "right"}'
        )


def create_report(site: RolloutSite) -> RolloutReport:
    """Return the report of a site whose rollout has ended."""
    plan = site.plan
    ends_at = min(site.ordered_at + plan.duration_s, site.withdrawn_at)
    exposure, earlier, old = (
        _count(version, site.ordered_at, ends_at)
        for version in (site.new, site.earlier, site.old)
    )
    total = exposure + earlier + old
    report = RolloutReport(
        states=', '.join(
            f'{status.to} {status.state} {status.at - site.ordered_at:.1f} s'
            for status in site.platform.statuses
        ),
        exposure=exposure,
        bound=total * BOUNDS['exposure_share'] + BOUNDS['exposure_slack'],
        bad=len(site.new.bad_at),
    )
    if report.bad >= _LAST_BAD:
        since = site.new.bad_at[_LAST_BAD - 1]
        report.last_after_s = site.new.received_at[-1] - since
    if not total:
        report.violations.append('no requests reached the service')
    if plan.is_bad and exposure > report.bound:
        report.violations.append('too many requests to the version')
    if (report.last_after_s or 0) > _last_request_s(site):
        report.violations.append('requests long after the 50th bad response')
    report.violations += _check_ends(site) + _check_stops(site)
    return report


def _count(version: ServiceVersion, first: float, last: float) -> int:
    times = version.received_at
    return bisect_right(times, last) - bisect_left(times, first)


def _last_request_s(site: RolloutSite) -> float:
    """Return how late a request to a stopped version may be seen."""
    return BOUNDS['rollback_s'] + _TRANSIT_S + site.lag_s


def _check_ends(site: RolloutSite) -> list[str]:
    """Check the final states of the ordered version."""
    plan = site.plan
    ends = [
        status
        for status in site.platform.statuses
        if status.to == site.new.name and status.state != 'running'
    ]
    if site.withdrawn_at < float('inf'):
        late = {end.state for end in ends if end.at > site.withdrawn_at}
        return ['completed without an order'] if COMPLETED in late else []
    expected = ROLLED_BACK if plan.is_bad else COMPLETED
    if {end.state for end in ends} != {expected}:
        return [f'not {expected}']
    limit_s = plan.duration_s + _TRANSIT_S + site.lag_s
    if plan.is_bad:
        # The last bad responses may arrive, or runners fail to, at the end.
        limit_s += BOUNDS['rollback_s']
    is_late = ends[0].at - site.ordered_at > limit_s
    return [f'{expected} late'] if is_late else []


def _check_stops(site: RolloutSite) -> list[str]:
    """Check that versions without an order get no requests any more."""
    violations = []
    limit_s = _last_request_s(site)
    if _count(site.new, site.withdrawn_at + limit_s, float('inf')):
        violations.append('requests to a withdrawn version')
    completed = [
        status.at
        for status in site.platform.statuses
        if status.state == COMPLETED and status.to == site.earlier.name
    ]
    if not completed and _count(
        site.earlier, site.ordered_at + limit_s, float('inf')
    ):
        violations.append('requests to a replaced version')
    run_once = site.plan.traffic.run_once_route
    if run_once in map(find_route, site.platform.interrupted_ids):
        violations.append('requests that run once were interrupted')
    return violations
