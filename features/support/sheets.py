"""The sheets that the trials apply, and the workload they define."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from typing import Final

from features.support.checker import Workload

ZONES: Final = ('zone-a', 'zone-b', 'zone-c')
ACCOUNT: Final = 'caller'
MODEL_POOL: Final = 'engines'
SERVICE_POOL: Final = 'orders'
ANSWER_PATH: Final = '/v1/pipelines/answer'
ORDER_PATH: Final = '/v1/pipelines/order'
SERVICE_PATH: Final = f'/v1/services/{SERVICE_POOL}/submit'

WORKLOAD: Final = Workload(
    {
        ANSWER_PATH: ('encode', 'retrieve', 'rerank', 'generate'),
        ORDER_PATH: ('encode', 'retrieve', 'generate'),
    },
    frozenset(('commit',)),
)

# Pipeline, name, kind, and whether the stage has a side effect.
_STAGES: Final = (
    ('answer', 'encode', 'encode', 'no'),
    ('answer', 'retrieve', 'retrieve', 'no'),
    ('answer', 'rerank', 'rerank', 'no'),
    ('answer', 'generate', 'generate', 'no'),
    ('order', 'encode', 'encode', 'no'),
    ('order', 'retrieve', 'retrieve', 'no'),
    ('order', 'commit', 'generate', 'yes'),
)


@dataclass(frozen=True, slots=True)
class SheetOptions:
    """The cells that differ between the sheets of the trials."""

    # Sheet N names its model ``model-N``.
    number: int = 1
    cold_limit: int = 1
    warm_limit: int = 8
    checks_fencing: bool = True


def write_sheet(options: SheetOptions) -> str:
    """Return a sheet as CSV text."""
    credential = hashlib.sha256(f'{ACCOUNT}-secret'.encode()).hexdigest()
    fencing = 'yes' if options.checks_fencing else 'no'
    limits = f'{options.cold_limit},{options.warm_limit}'
    lines = ['[zones]', 'name,state']
    lines += [f'{zone},in' for zone in ZONES]
    lines += [
        '[accounts]',
        'name,credential_sha256,weight,rate_per_s,burst,max_in_flight,priority',
        f'{ACCOUNT},{credential},1,1000,1000,1000,1',
        '[pools]',
        'name,kind,cold_limit,warm_limit,checks_fencing,reports_load',
        f'{MODEL_POOL},model,{limits},{fencing},yes',
        f'{SERVICE_POOL},service,{limits},no,yes',
        '[pipelines]',
        'name,deadline_ms',
        'answer,20000',
        'order,20000',
        '[stages]',
        'pipeline,position,name,kind,pool,model,has_side_effect',
    ]
    lines += _list_stages(options.number)
    lines += ['[bindings]', 'pipeline,account']
    lines += [f'answer,{ACCOUNT}', f'order,{ACCOUNT}']
    lines += ['[targets]', 'pool,model,version,adapters,role']
    lines.append(f'{MODEL_POOL},model-{options.number},1,,any')
    return '\n'.join(lines) + '\n'


def _list_stages(number: int) -> list[str]:
    lines = []
    positions: dict[str, int] = {}
    for pipeline, name, kind, side_effect in _STAGES:
        position = positions.get(pipeline, 0) + 1
        positions[pipeline] = position
        lines.append(
            f'{pipeline},{position},{name},{kind},{MODEL_POOL},'
            f'model-{number},{side_effect}'
        )
    return lines
