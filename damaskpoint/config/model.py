"""The accepted configuration as immutable data.

``config.sheet`` builds it from the planners' sheet; every decision of the
entry and the reconciler reads it. Collections are named by their key.
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
    """An availability zone; one that is out receives no new work."""

    name: str
    is_out: bool


@final
@dataclass(frozen=True, slots=True)
class Account:
    """A client account and its limits over all entries together."""

    name: str
    # Hexadecimal SHA-256 of the account's credential.
    credential_sha256: str
    # Share of capacity under contention, relative to other accounts.
    weight: int
    # Admitted requests a second, and the burst above that rate.
    rate_per_s: float
    burst: int
    # Requests running at once.
    max_in_flight: int
    # Passed on to engines; a higher number goes first.
    priority: int


@final
@dataclass(frozen=True, slots=True)
class Pool:
    """A named group of equal upstreams."""

    name: str
    kind: PoolKind
    # Calls at once that one upstream bears when cold, and when warm.
    cold_limit: int
    warm_limit: int
    # Whether its engines refuse an order with an old fencing number.
    checks_fencing: bool
    # Whether its upstreams report their load.
    reports_load: bool
    # Path prefixes of a service whose calls may be repeated.
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
    """Three to six stages under one deadline."""

    name: str
    stages: tuple[Stage, ...]
    # Default and longest deadline of a request, in milliseconds.
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
    """One accepted configuration; versions only go up."""

    version: int
    # Hexadecimal digest of the canonical text of the sheet.
    digest: str
    zones_by_name: dict[str, Zone] = field(default_factory=dict)
    accounts_by_name: dict[str, Account] = field(default_factory=dict)
    pools_by_name: dict[str, Pool] = field(default_factory=dict)
    pipelines_by_name: dict[str, Pipeline] = field(default_factory=dict)
    targets_by_pool: dict[str, tuple[ModelTarget, ...]] = field(
        default_factory=dict
    )
