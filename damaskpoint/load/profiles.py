"""Traffic profiles of the first two deployments."""

from __future__ import annotations

from typing import Final

from damaskpoint.load.model import (
    AccountLoad,
    Profile,
    RequestKind,
    TrafficClass,
)

_SECRET_SUFFIX: Final = '-secret'

# Weights of the kinds of requests: half are pipelines without streaming.
_PIPELINE_SHARE: Final = 50
_STREAM_SHARE: Final = 20
_LOOKUP_SHARE: Final = 15
_ORDER_SHARE: Final = 15

# Two large accounts and three small ones.
_ACCOUNT_SHARES: Final = (40, 30, 15, 10, 5)

_DEADLINE_MS: Final = 3_000
_INPUT_BYTES: Final = 400


def _create_profile(
    name: str,
    accounts: tuple[str, ...],
    pipelines: tuple[str, str],
    lookup: str,
    order: str,
) -> Profile:
    loads: list[AccountLoad] = []
    for account, share in zip(accounts, _ACCOUNT_SHARES, strict=True):
        loads.append(AccountLoad(account, account + _SECRET_SUFFIX, share))
    answered, streamed = pipelines
    return Profile(
        name=name,
        accounts=tuple(loads),
        traffic_classes=(
            TrafficClass(RequestKind.PIPELINE, answered, _PIPELINE_SHARE),
            TrafficClass(RequestKind.STREAM, streamed, _STREAM_SHARE),
            TrafficClass(RequestKind.LOOKUP, lookup, _LOOKUP_SHARE),
            TrafficClass(RequestKind.ORDER, order, _ORDER_SHARE),
        ),
        deadline_ms=_DEADLINE_MS,
        input_bytes=_INPUT_BYTES,
    )


PROFILES_BY_NAME: dict[str, Profile] = {
    'lagos': _create_profile(
        'lagos',
        (
            'breweries',
            'hospital-laundries',
            'bottling',
            'small-plants',
            'training',
        ),
        ('read-schedule', 'explain-alarm'),
        'member-portal/v1/members/7',
        'dosing-desk/v1/adjustments',
    ),
    'pt-interior': _create_profile(
        'pt-interior',
        (
            'franquias-norte',
            'franquias-centro',
            'franquias-sul',
            'gas-engarrafado',
            'formacao',
        ),
        ('explore-stock', 'chat-customer'),
        'franquia-portal/v1/lojas/7',
        'encomendas/v1/pedidos',
    ),
}
