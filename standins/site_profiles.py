"""The two deployments that a site can simulate."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final, final


@final
@dataclass(frozen=True, slots=True)
class PoolProfile:
    """A pool of identical upstreams."""

    name: str
    is_model: bool
    size: int
    reports_load: bool = True


@final
@dataclass(frozen=True, slots=True)
class Profile:
    """The zones and pools of a deployment."""

    zones: tuple[str, ...]
    pools: tuple[PoolProfile, ...]
    # Models loaded at start, as MODEL:VERSION[:ADAPTER,...].
    models: tuple[str, ...]


_LAGOS = Profile(
    ('ikeja', 'apapa', 'lekki', 'ikorodu'),
    (
        PoolProfile('model-pool', True, 10),
        PoolProfile('dosing-desk', False, 4, reports_load=False),
        PoolProfile('member-portal', False, 4),
        PoolProfile('invoice-svc', False, 4),
        PoolProfile('audit-log', False, 4),
    ),
    ('encoder:1', 'retriever:1', 'reranker:1', 'writer:3:alarms,pumps'),
)
_PT_INTERIOR = Profile(
    ('pti-a', 'pti-b', 'pti-c'),
    (
        PoolProfile('damask-llm', True, 10),
        PoolProfile('encomendas', False, 3, reports_load=False),
        PoolProfile('franquia-portal', False, 3),
        PoolProfile('faturas', False, 3),
        PoolProfile('notificacoes', False, 3),
    ),
    ('encoder:1', 'retriever:1', 'reranker:1', 'writer:3:counter,orders'),
)
PROFILES_BY_NAME: Final = {'lagos': _LAGOS, 'pt-interior': _PT_INTERIOR}
