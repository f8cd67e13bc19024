"""Runs drawn rollouts with real gateway processes, by hand.

Run it with ``python -m features.drawn_rollouts --first 1 --count 14``, also
with ``--gateways 40``. Prints one line a rollout and a summary; the exit
status is 1 if one did not end right.
"""

from __future__ import annotations

import argparse
import asyncio
import shutil
import sys
from typing import TYPE_CHECKING, Final

from features.support.launcher import ROOT
from features.support.rollout_plan import FAULTS, KINDS, draw_plan
from features.support.rollout_report import RolloutReport, create_report
from features.support.rollout_site import RolloutSite

if TYPE_CHECKING:
    from features.support.rollout_plan import RolloutPlan

# Folder for the logs of rollouts that did not end right.
_SAVED: Final = ROOT / 'out' / 'rollouts'


def main() -> int:
    """Run the rollouts and return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--first', type=int, default=1)
    parser.add_argument('--count', type=int, default=len(KINDS))
    parser.add_argument('--gateways', type=int, default=8)
    parser.add_argument('--kind', choices=KINDS, default='')
    parser.add_argument('--fault', choices=FAULTS, default='')
    options = parser.parse_args()
    reports = []
    for seed in range(options.first, options.first + options.count):
        plan = draw_plan(seed, options.gateways, options.kind, options.fault)
        reports.append(asyncio.run(run_rollout(plan)))
    right = sum(not report.violations for report in reports)
    bad = [report for report in reports if report.bad]
    worst = max(
        bad, key=lambda report: report.exposure - report.bound, default=None
    )
    lasts = [report.last_after_s or 0 for report in bad]
    _print(
        f'{right} of {len(reports)} rollouts ended right; largest exposure of '
        f'a bad version {worst and worst.exposure}, bound '
        f'{worst and round(worst.bound)}; last request after the 50th bad '
        f'response {max(lasts, default=0):.1f} s'
    )
    return int(right < len(reports))


async def run_rollout(
    plan: RolloutPlan, *, has_rollouts: bool = True
) -> RolloutReport:
    """Run and print one rollout; keep the logs unless it ended right."""
    site = RolloutSite(plan, has_rollouts=has_rollouts)
    report = RolloutReport()
    try:
        await site.run()
    except RuntimeError as error:
        report.violations.append(str(error))
    else:
        report = create_report(site)
    finally:
        if report.violations and has_rollouts:
            saved = _SAVED / f'{plan.gateways}-{plan.seed}'
            shutil.copytree(site.launcher.folder, saved, dirs_exist_ok=True)
        await site.close()
    _print(f'{_describe(plan)}: {report.describe()}')
    _print(
        f'  answers {dict(site.counts_by_status)}, largest delay of the test '
        f'{site.lag_s:.2f} s'
    )
    return report


def _describe(plan: RolloutPlan) -> str:
    return (
        f'seed {plan.seed}: {plan.kind}, fault {plan.fault}, {plan.gateways} '
        f'gateways, {plan.service}, {plan.rate:.0f}/s, {plan.duration_s:.0f} s'
    )


def _print(line: str) -> None:
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    sys.exit(main())
