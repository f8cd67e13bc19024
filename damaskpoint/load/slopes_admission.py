"""Measures the cost of admission by the number of client accounts.

Run it with ``python -m damaskpoint.load.slopes_admission``.
"""

from __future__ import annotations

import json
import sys
import time
import tracemalloc
from dataclasses import asdict
from typing import TYPE_CHECKING, Final

from damaskpoint.admission.base import AdmissionPass, AdmissionRequest
from damaskpoint.admission.core import AdmissionCore, Queued
from damaskpoint.admission.pool_limiter import CapacitySource
from damaskpoint.admission.shares import DemandSource
from damaskpoint.config.model import Account, Configuration, Pool, PoolKind
from damaskpoint.errors import FailureError
from damaskpoint.load.slope import SizeRow

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

SIZES: Final = (5, 50, 440, 2_000)
ENTRIES: Final = (1, 8, 690)

_POOL: Final = 'model-pool'
_OWN_ENTRY: Final = 'entry-000'
_SLOTS: Final = 64
_RUNNING: Final = 80
_WAITING: Final = 128
_REQUESTS: Final = 4_000
# Request rate of one entry at the target load.
_RATE_PER_S: Final = 65
# Entries whose demand is known, the own one included.
_REPORTING_ENTRIES: Final = 50
_DEADLINE_S: Final = 1_000
_US_PER_S: Final = 1_000_000
_UNBOUNDED: Final = 1_000_000
_BYTES_PER_KB: Final = 1_000


def measure(sizes: Sequence[int] = SIZES) -> list[SizeRow]:
    """Return the cost of a request by the number of client accounts.

    Virtual time advances at the target request rate, so that shares are
    recomputed as often as they would be at that load.
    """
    rows = []
    for size in sizes:
        figures: dict[str, float] = {}
        for entries in ENTRIES:
            loaded_key = f'us_a_request_{entries}_entries_{_WAITING}_waiting'
            figures[loaded_key] = _measure_requests(size, entries, _WAITING)
            idle_key = f'us_a_request_{entries}_entries_none_waiting'
            figures[idle_key] = _measure_requests(size, entries, 0)
        figures['memory_kb'] = _measure_memory(size)
        rows.append(SizeRow(size, figures))
    return rows


class _FixedCapacity(CapacitySource):
    def __init__(self, entries: int) -> None:
        self._capacity = _SLOTS * entries

    def find_capacity(self, pool: str) -> float | None:
        return self._capacity


class _FixedDemand(DemandSource):
    """Peers of equal demand, some of which have reported it recently."""

    def __init__(self, entries: int, outstanding: int) -> None:
        self._names = tuple(f'entry-{index:03d}' for index in range(entries))
        reporting = self._names[1:_REPORTING_ENTRIES]
        self._rates = dict.fromkeys(reporting, float(1))
        self._outstanding = dict.fromkeys(reporting, float(outstanding))

    def entry_names(self, now: float) -> Sequence[str]:
        return self._names

    def peer_demands(self, account: str) -> Mapping[str, float]:
        return self._rates

    def peer_outstanding(self) -> Mapping[str, float]:
        return self._outstanding


def _create_core(size: int, entries: int, waiting: int) -> AdmissionCore:
    accounts = {}
    for index in range(size):
        name = f'account-{index:04d}'
        accounts[name] = Account(
            name,
            credential_sha256='',
            weight=1 + index % 3,
            rate_per_s=_UNBOUNDED,
            burst=_UNBOUNDED,
            max_in_flight=_UNBOUNDED,
            priority=0,
        )
    pool = Pool(_POOL, PoolKind.MODEL, 1, 8, True, True)
    demand = _FixedDemand(entries, _RUNNING + waiting)
    core = AdmissionCore(
        _OWN_ENTRY, 2 * _WAITING, demand, _FixedCapacity(entries)
    )
    core.apply_configuration(
        Configuration(
            1, '', accounts_by_name=accounts, pools_by_name={_POOL: pool}
        ),
        0,
    )
    return core


def _measure_requests(size: int, entries: int, waiting: int) -> float:
    """Return microseconds per request while ``waiting`` requests queue."""
    core = _create_core(size, entries, waiting)
    running: list[AdmissionPass] = []
    now: float = 0
    for number in range(_RUNNING + waiting):
        _offer(core, number % size, now, running)
    started = time.process_time()
    for number in range(_REQUESTS):
        now += 1 / _RATE_PER_S
        core.release(running.pop(0), now, is_complete=True)
        _offer(core, number % size, now, running)
        for outcome in core.advance(now):
            if not isinstance(outcome.result, AdmissionPass):
                raise FailureError(outcome.result)
            running.append(outcome.result)
    return (time.process_time() - started) / _REQUESTS * _US_PER_S


def _offer(
    core: AdmissionCore, index: int, now: float, running: list[AdmissionPass]
) -> None:
    request = AdmissionRequest(
        'r', f'account-{index:04d}', _POOL, now, now + _DEADLINE_S
    )
    decision = core.offer(request, now)
    if isinstance(decision, AdmissionPass):
        running.append(decision)
    elif not isinstance(decision, Queued):
        raise FailureError(decision)


def _measure_memory(size: int) -> float:
    """Return kilobytes in use after one request of each account."""
    tracemalloc.start()
    core = _create_core(size, 1, 0)
    before, _ = tracemalloc.get_traced_memory()
    running: list[AdmissionPass] = []
    for index in range(size):
        _offer(core, index, 0, running)
        for admitted in running:
            core.release(admitted, 1, is_complete=True)
        running.clear()
        core.advance(1)
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return (after - before) / _BYTES_PER_KB


def main() -> None:
    """Print a row of JSON for each number of accounts in the arguments."""
    sizes = [int(text) for text in sys.argv[1:]] or SIZES
    for row in measure(sizes):
        sys.stdout.write(f'{json.dumps(asdict(row))}\n')


if __name__ == '__main__':
    main()
