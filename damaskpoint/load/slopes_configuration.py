"""Measures the size and decoding cost of a configuration by accounts."""

from __future__ import annotations

import hashlib
import time
import tracemalloc
from typing import TYPE_CHECKING, Final

from damaskpoint import defaults
from damaskpoint.config import document
from damaskpoint.config.model import (
    Account,
    Configuration,
    Pipeline,
    Pool,
    PoolKind,
    Stage,
    StageKind,
    Zone,
)
from damaskpoint.errors import Failure, FailureError
from damaskpoint.load.slope import SizeRow

if TYPE_CHECKING:
    from collections.abc import Sequence

SIZES: Final = (5, 50, 440, 2_000)

_ZONES: Final = 5
_PIPELINES: Final = 35
_MODELS: Final = 37
_REPEATS: Final = 5
_MS_PER_S: Final = 1_000
_BYTES_PER_KB: Final = 1_000


def measure(sizes: Sequence[int] = SIZES) -> list[SizeRow]:
    """Return document size, decoding time and memory by accounts."""
    return [_measure_one(size) for size in sizes]


def _measure_one(size: int) -> SizeRow:
    configuration = _create_configuration(size)
    text = document.encode_text(configuration)
    packed = document.pack(configuration)
    digest = document.compute_digest(text)
    started = time.perf_counter()
    for _ in range(_REPEATS):
        _decode(packed, digest)
    elapsed_s = (time.perf_counter() - started) / _REPEATS
    return SizeRow(
        size,
        {
            'text_kb': len(text) / _BYTES_PER_KB,
            'object_kb': len(packed) / _BYTES_PER_KB,
            'decode_ms': elapsed_s * _MS_PER_S,
            'memory_kb': _measure_memory_kb(packed, digest),
        },
    )


def _measure_memory_kb(packed: bytes, digest: str) -> float:
    """Return the memory in kilobytes that a configuration uses."""
    tracemalloc.start()
    configuration = _decode(packed, digest)
    memory_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return memory_bytes / _BYTES_PER_KB if configuration else 0


def _decode(body: bytes, digest: str) -> Configuration:
    decoded = document.unpack(body, 1, digest)
    if isinstance(decoded, Failure):
        raise FailureError(decoded)
    return decoded


def _create_configuration(accounts: int) -> Configuration:
    """Return a configuration of the target size with so many accounts."""
    names = [f'account-{number}' for number in range(accounts)]
    pools = [f'pool-{number}' for number in range(_MODELS)]
    return Configuration(
        version=1,
        digest='',
        zones_by_name={
            f'zone-{number}': Zone(f'zone-{number}', is_out=False)
            for number in range(_ZONES)
        },
        accounts_by_name={name: _create_account(name) for name in names},
        pools_by_name={name: _create_pool(name) for name in pools},
        pipelines_by_name={
            f'pipeline-{number}': _create_pipeline(number, pools, names)
            for number in range(_PIPELINES)
        },
    )


def _create_account(name: str) -> Account:
    return Account(
        name=name,
        # A distinct digest each, as a repeated one would compress better.
        credential_sha256=hashlib.sha256(name.encode()).hexdigest(),
        weight=1,
        rate_per_s=100,
        burst=100,
        max_in_flight=100,
        priority=5,
    )


def _create_pool(name: str) -> Pool:
    return Pool(
        name=name,
        kind=PoolKind.MODEL,
        cold_limit=2,
        warm_limit=8,
        checks_fencing=True,
        reports_load=True,
    )


def _create_pipeline(
    number: int, pools: list[str], accounts: list[str]
) -> Pipeline:
    stages: list[Stage] = []
    for position, kind in enumerate(StageKind):
        pool = pools[(number + position) % len(pools)]
        stages.append(Stage(kind.value, kind, pool, 'model', '', False))
    return Pipeline(
        name=f'pipeline-{number}',
        stages=tuple(stages),
        deadline_ms=defaults.DEADLINE_MS,
        accounts=frozenset(accounts),
    )
