"""The accepted configuration as immutable data.

``config.sheet`` builds it from the planners' sheet; the entry and the
reconciler read it. Field names of collections end in the key's name.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from typing import final


@final
class StageKind(enum.Enum):
    """What a stage of a pipeline does."""

    ENCODE = 'encode'
    RETRIEVE = 'retrieve'
    RERANK = 'rerank'
    GENERATE = 'generate'


@final
class PoolKind(enum.Enum):
    """What the upstreams of a pool serve."""

    MODEL = 'model'
    SERVICE = 'service'


@final
@dataclass(frozen=True, slots=True)
class Zone:
    """An availability zone; while it is out, it receives no new work."""

    name: str
    is_out: bool


@final
@dataclass(frozen=True, slots=True)
class Account:
    """A client account and its limits, summed over all entries."""

    name: str
    # Hexadecimal SHA-256 of the account's credential.
    credential_sha256: str
    # Share of capacity under contention, relative to other accounts.
    weight: int
    # Rate of admitted requests per second, and the burst above it.
    rate_per_s: float
    burst: int
    # Maximum concurrent requests.
    max_in_flight: int
    # Passed on to engines; higher numbers are served first.
    priority: int


@final
@dataclass(frozen=True, slots=True)
class Pool:
    """A named group of interchangeable upstreams."""

    name: str
    kind: PoolKind
    # Maximum concurrent calls to one cold and to one warm upstream.
    cold_limit: int
    warm_limit: int
    # Whether its engines reject an order with an outdated fencing number.
    checks_fencing: bool
    # Whether its upstreams report their load.
    reports_load: bool
    # Path prefixes of a service whose calls may be retried.
    idempotent_paths: tuple[str, ...] = ()


@final
@dataclass(frozen=True, slots=True)
class Stage:
    """One stage of a pipeline."""

    name: str
    kind: StageKind
    pool: str
    model: str
    adapter: str
    # Whether the stage has a side effect that must happen at most once.
    has_side_effect: bool


@final
@dataclass(frozen=True, slots=True)
class Pipeline:
    """A sequence of three to six stages with one deadline."""

    name: str
    stages: tuple[Stage, ...]
    # Default and maximum deadline of a request, in milliseconds.
    deadline_ms: int
    # Client accounts that may use it.
    accounts: frozenset[str]


@final
@dataclass(frozen=True, slots=True)
class ModelTarget:
    """What the engines of a pool must have loaded."""

    pool: str
    model: str
    version: str
    adapters: tuple[str, ...]
    role: str


@final
@dataclass(frozen=True, slots=True)
class Configuration:
    """One version of the configuration; versions only increase."""

    version: int
    # Hexadecimal SHA-256 of the canonical text (see ``config.document``).
    digest: str
    zones_by_name: dict[str, Zone] = field(default_factory=dict)
    accounts_by_name: dict[str, Account] = field(default_factory=dict)
    pools_by_name: dict[str, Pool] = field(default_factory=dict)
    pipelines_by_name: dict[str, Pipeline] = field(default_factory=dict)
    targets_by_pool: dict[str, tuple[ModelTarget, ...]] = field(
        default_factory=dict
    )
