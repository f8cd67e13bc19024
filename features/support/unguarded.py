"""Runs a process with one guard taken out, to see the checks fail.

``python -m features.support.unguarded --unguard NAME --settings FILE`` runs
an entry, or a reconciler for the guard ``lease``.
The product has no switch for this: the guards are replaced here, from
outside, before the process starts.
"""

from __future__ import annotations

import argparse
import functools
import os
import sys
from typing import TYPE_CHECKING

from damaskpoint.config.follower import ConfigurationFollower
from damaskpoint.config.versions import VersionTracker
from damaskpoint.entry import runtime, wiring
from damaskpoint.errors import Ran
from damaskpoint.journal.guard import Guard
from damaskpoint.main import entry, reconciler
from damaskpoint.pipeline import service_caller, stage_runner
from damaskpoint.pipeline.answer_check import CallIdentity
from damaskpoint.pipeline.attempt import StageAttempt
from damaskpoint.reconcile.lease import Lease
from damaskpoint.reconcile.pool import PoolReconciler
from damaskpoint.routing.directory import UpstreamDirectory
from damaskpoint.routing.wiring import create_routing

if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Any


_RECONCILER_GUARD = 'lease'


def main() -> int:
    """Take the named guard out and run the process."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--unguard', choices=tuple(GUARDS_BY_NAME))
    arguments, rest = parser.parse_known_args()
    GUARDS_BY_NAME[arguments.unguard]()
    if arguments.unguard == _RECONCILER_GUARD:
        return reconciler.main(rest)
    return entry.main(rest)


def _drop_journal() -> None:
    """Send at once, whatever was sent under the key before."""

    async def run(_guard: Any, _request: Any, send: Any) -> Any:
        return await send()

    async def look_up(_guard: Any, _request: Any) -> None:
        """Know nothing."""

    _replace(Guard, 'run', run)
    _replace(Guard, 'look_up', look_up)


def _drop_doubt() -> None:
    """Call every failed send "not run"."""
    for module in (service_caller, stage_runner):
        _replace(module, 'describe_end', _without_doubt(module.describe_end))


def _without_doubt(describe: Callable[..., Any]) -> Callable[..., Any]:
    def without_doubt(*arguments: Any) -> Any:
        failure = describe(*arguments)
        return type(failure)(failure.code, failure.detail, Ran.NO)

    return without_doubt


def _drop_identity() -> None:
    """Take every answer for one's own."""
    _replace(CallIdentity, 'is_echoed', _say(value=True))
    _replace(CallIdentity, '__eq__', _say(value=True))


def _drop_end_mark() -> None:
    """Take a stream that breaks for one that has ended."""

    def judge(attempt: Any, *_arguments: Any) -> Any:
        receiver = attempt._receiver
        return attempt._make_result(receiver.text, receiver.offset)

    fault = StageAttempt._make_failure

    def end_early(attempt: Any, *arguments: Any) -> Any:
        receiver = attempt._receiver
        if receiver is not None and receiver.offset:
            return judge(attempt)
        return fault(attempt, *arguments)

    _replace(StageAttempt, '_make_failure', end_early)


def _drop_permits() -> None:
    """Send to cold upstreams without a lease."""
    unguarded = functools.partial(create_routing, is_guarded=False)
    _replace(wiring, 'create_routing', unguarded)


def _drop_zones() -> None:
    _replace(UpstreamDirectory, 'is_zone_out', _say(value=False))


def _drop_leaving() -> None:
    _replace(UpstreamDirectory, 'is_leaving', _say(value=False))


def _drop_later_versions() -> None:
    """Keep the first configuration for good, however the next one comes."""
    install = VersionTracker.install

    def install_first(tracker: Any, configuration: Any) -> bool:
        return tracker.current is None and install(tracker, configuration)

    _replace(VersionTracker, 'install', install_first)
    _replace(ConfigurationFollower, 'check_ready', _say(value=None))


def _drop_drain() -> None:
    """End at once when terminated."""

    def begin_shutdown(_runtime: Any) -> None:
        os._exit(0)

    _replace(runtime.EntryRuntime, 'begin_shutdown', begin_shutdown)


def _drop_lease() -> None:
    """Believe in a lease for good, once it was held."""

    def is_held(lease: Any, _now: float) -> bool:
        return bool(lease.fencing)

    def may_order(pool: Any, _now: float) -> bool:
        return pool._goal is not None and bool(pool._keeper.lease.fencing)

    _replace(Lease, 'is_held', is_held)
    _replace(PoolReconciler, 'may_order', may_order)


def _say(*, value: object) -> Callable[..., object]:
    """Return a method that always returns the value."""

    def say(*_arguments: object) -> object:
        return value

    return say


def _replace(owner: object, name: str, value: object) -> None:
    """Replace a part that must be there, or the check proves nothing."""
    assert hasattr(owner, name), name
    setattr(owner, name, value)


GUARDS_BY_NAME: dict[str, Callable[[], None]] = {
    'journal': _drop_journal,
    'doubt': _drop_doubt,
    'identity': _drop_identity,
    'end mark': _drop_end_mark,
    'permits': _drop_permits,
    'zones': _drop_zones,
    'leave marks': _drop_leaving,
    'later versions': _drop_later_versions,
    'drain': _drop_drain,
    _RECONCILER_GUARD: _drop_lease,
}

if __name__ == '__main__':
    sys.exit(main())
