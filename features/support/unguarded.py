"""Runs a process with one guard removed, to show that the checks detect it.

``python -m features.support.unguarded --unguard NAME --settings FILE`` runs
an entry, or a reconciler for the guard ``lease``.
The product has no switch for this: the guards are monkeypatched here before
the process starts.
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
    """Remove the named guard and run the process."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--unguard', choices=tuple(GUARDS_BY_NAME))
    arguments, rest = parser.parse_known_args()
    GUARDS_BY_NAME[arguments.unguard]()
    if arguments.unguard == _RECONCILER_GUARD:
        return reconciler.main(rest)
    return entry.main(rest)


def _drop_journal() -> None:
    """Send every request without a look at the journal of its key."""

    async def run(_guard: Any, _request: Any, send: Any) -> Any:
        return await send()

    async def look_up(_guard: Any, _request: Any) -> None:
        """Find no journal entry."""

    _replace(Guard, 'run', run)
    _replace(Guard, 'look_up', look_up)


def _drop_unknown_outcome() -> None:
    """Report every failed send as "not run"."""
    for module in (service_caller, stage_runner):
        _replace(module, 'describe_end', _always_not_run(module.describe_end))


def _always_not_run(describe: Callable[..., Any]) -> Callable[..., Any]:
    def describe_not_run(*arguments: Any) -> Any:
        failure = describe(*arguments)
        return type(failure)(failure.code, failure.detail, Ran.NO)

    return describe_not_run


def _drop_identity() -> None:
    """Accept every answer as that of the own request."""
    _replace(CallIdentity, 'is_echoed', _always_return(value=True))
    _replace(CallIdentity, '__eq__', _always_return(value=True))


def _drop_end_mark() -> None:
    """Treat a broken stream as a complete one."""

    def complete(attempt: Any, *_arguments: Any) -> Any:
        receiver = attempt._receiver
        return attempt._make_result(receiver.text, receiver.offset)

    make_failure = StageAttempt._make_failure

    def end_early(attempt: Any, *arguments: Any) -> Any:
        receiver = attempt._receiver
        if receiver is not None and receiver.offset:
            return complete(attempt)
        return make_failure(attempt, *arguments)

    _replace(StageAttempt, '_make_failure', end_early)


def _drop_permits() -> None:
    """Send to cold upstreams without a lease."""
    unguarded = functools.partial(create_routing, is_guarded=False)
    _replace(wiring, 'create_routing', unguarded)


def _drop_zones() -> None:
    _replace(UpstreamDirectory, 'is_zone_out', _always_return(value=False))


def _drop_leaving() -> None:
    _replace(UpstreamDirectory, 'is_leaving', _always_return(value=False))


def _drop_later_versions() -> None:
    """Keep the first configuration forever and ignore all later ones."""
    install = VersionTracker.install

    def install_first(tracker: Any, configuration: Any) -> bool:
        return tracker.current is None and install(tracker, configuration)

    _replace(VersionTracker, 'install', install_first)
    _replace(ConfigurationFollower, 'check_ready', _always_return(value=None))


def _drop_drain() -> None:
    """Exit immediately on termination, without draining."""

    def begin_shutdown(_runtime: Any) -> None:
        os._exit(0)

    _replace(runtime.EntryRuntime, 'begin_shutdown', begin_shutdown)


def _drop_lease() -> None:
    """Treat a lease as held forever once it was acquired."""

    def is_held(lease: Any, _now: float) -> bool:
        return bool(lease.fencing)

    def may_order(pool: Any, _now: float) -> bool:
        return pool._goal is not None and bool(pool._keeper.lease.fencing)

    _replace(Lease, 'is_held', is_held)
    _replace(PoolReconciler, 'may_order', may_order)


def _always_return(*, value: object) -> Callable[..., object]:
    """Return a method that always returns a value."""

    def return_value(*_arguments: object) -> object:
        return value

    return return_value


def _replace(owner: object, name: str, value: object) -> None:
    """Replace an existing attribute.

    A missing one would remove no guard, and the check would prove nothing.
    """
    assert hasattr(owner, name), name
    setattr(owner, name, value)


GUARDS_BY_NAME: dict[str, Callable[[], None]] = {
    'journal': _drop_journal,
    'unknown outcome': _drop_unknown_outcome,
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
