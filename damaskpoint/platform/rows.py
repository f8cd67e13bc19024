"""Parses the rows of the operator and the runners into the catalog's model.

Parsing any content returns a value or a ``MESSAGE_MALFORMED`` failure with the
reason. The fields of the row models have the names of the platform's protocol.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Annotated, Final, Literal

import pydantic

from damaskpoint.catalog import model
from damaskpoint.errors import Code, Failure

if TYPE_CHECKING:
    from collections.abc import Mapping

_MS_PER_S: Final = 1000
_MEGABYTE: Final = 1_000_000
_Count = Annotated[int, pydantic.Field(ge=0)]
_Number = Annotated[float, pydantic.Field(ge=0, allow_inf_nan=False)]


class _Row(pydantic.BaseModel):
    """Base of the row models.

    Unknown fields are ignored, as the platform may add new ones.
    """

    model_config = pydantic.ConfigDict(
        extra='ignore', frozen=True, defer_build=True
    )


class _Stage(_Row):
    Service: str
    After: tuple[_Count, ...] = ()
    Bytes: _Number = 0


class _Target(_Row):
    Service: str
    Weight: _Number


class _Route(_Row):
    Name: str
    Host: str
    Prefix: str
    Kind: Literal['safe', 'unsafe', 'stream']
    TimeoutMs: _Number
    # Latency for full credit of a single request; despite the name, it is not
    # an objective over many requests.
    SloMs: _Number
    Priority: int = 0
    Service: str | None = None
    Split: tuple[_Target, ...] = ()
    MaxAttempts: _Count = 1
    Stages: tuple[_Stage, ...] = ()
    Public: bool = False
    Resumable: bool = False
    # Longest gap between events for full credit.
    GapTargetMs: _Number = 0


class _Engine(_Row):
    Slots: _Count
    KvCapacityTokens: _Count


class _Pieces(_Row):
    Slots: _Count = 1
    Batch: _Count
    CallMs: _Number
    ItemMs: _Number
    HeadroomMb: _Number
    # Time to live of a handle, from the end of the call that made the result.
    HandleS: _Number


class _Service(_Row):
    Name: str
    HealthPath: str = '/health'
    MaxConns: _Count = 0
    ColdS: _Number = 0
    ColdPerS: _Number = 0
    Engine: _Engine | None = None
    Pieces: _Pieces | None = None


class _Limits(_Row):
    MaxHeaderBytes: _Count
    MaxBodyBytes: _Count
    HeaderTimeoutMs: _Number
    IdleTimeoutMs: _Number


class _Tenant(_Row):
    Name: str
    ApiKeys: tuple[str, ...] = ()
    Priority: int | None = None


class _Configuration(_Row):
    Version: _Count
    Routes: tuple[_Route, ...]
    Services: tuple[_Service, ...]
    Limits: _Limits
    Tenants: tuple[_Tenant, ...] = ()


class _RunnerEntry(_Row):
    model_config = pydantic.ConfigDict(
        extra='ignore', strict=True, defer_build=True
    )

    Service: str = pydantic.Field(min_length=1)
    Address: str
    Zone: str = pydantic.Field(min_length=1)
    Slots: _Count = 0
    State: Literal['ready', 'draining']
    # Time that the runner stays cold, from when this entry was written.
    ColdLeftMs: _Number = 0
    # Start of the runner, in Unix milliseconds.
    born: _Count = 0
    Version: str = ''


def read_configuration(raw: object) -> model.Configuration | Failure:
    """Parse the row of the configuration."""
    try:
        parsed = _Configuration.model_validate(raw)
    except pydantic.ValidationError as error:
        return _malformed(error)
    return model.Configuration(
        version=parsed.Version,
        routes_by_host=_group_routes(parsed.Routes),
        services_by_name={
            service.Name: _to_service(service) for service in parsed.Services
        },
        limits=model.CallerLimits(
            parsed.Limits.MaxHeaderBytes,
            parsed.Limits.MaxBodyBytes,
            parsed.Limits.HeaderTimeoutMs / _MS_PER_S,
            parsed.Limits.IdleTimeoutMs / _MS_PER_S,
        ),
        accounts_by_key=_collect_keys(parsed.Tenants),
        needs_keys='Tenants' in parsed.model_fields_set,
    )


def read_runner(name: str, raw: object) -> model.Runner | Failure:
    """Parse the row of a runner."""
    try:
        parsed = _RunnerEntry.model_validate(raw)
    except pydantic.ValidationError as error:
        return _malformed(error)
    host, _, port = parsed.Address.rpartition(':')
    if not host or not port.isdecimal():
        return Failure(Code.MESSAGE_MALFORMED, f'address {parsed.Address!r}')
    return model.Runner(
        name=name,
        service=parsed.Service,
        host=host,
        port=int(port),
        zone=parsed.Zone,
        slots=parsed.Slots,
        is_draining=parsed.State == 'draining',
        cold_left_s=parsed.ColdLeftMs / _MS_PER_S,
        started_ms=parsed.born,
        version=parsed.Version,
    )


def _malformed(error: pydantic.ValidationError) -> Failure:
    first_error = error.errors()[0]
    location = '.'.join(str(part) for part in first_error['loc'])
    return Failure(Code.MESSAGE_MALFORMED, f'{location}: {first_error["msg"]}')


def _group_routes(
    routes: tuple[_Route, ...],
) -> Mapping[str, tuple[model.Route, ...]]:
    grouped: dict[str, list[model.Route]] = {}
    for parsed in routes:
        grouped.setdefault(parsed.Host.lower(), []).append(_to_route(parsed))
    return {
        host: tuple(sorted(found, key=_longest_prefix_first))
        for host, found in grouped.items()
    }


def _longest_prefix_first(route: model.Route) -> int:
    return -len(route.prefix)


def _to_route(parsed: _Route) -> model.Route:
    targets = tuple(
        model.Target(target.Service, target.Weight) for target in parsed.Split
    )
    if parsed.Service is not None:
        targets = (model.Target(parsed.Service, 1), *targets)
    return model.Route(
        name=parsed.Name,
        host=parsed.Host.lower(),
        prefix=parsed.Prefix,
        kind=model.RequestKind(parsed.Kind),
        timeout_s=parsed.TimeoutMs / _MS_PER_S,
        objective_s=parsed.SloMs / _MS_PER_S,
        priority=parsed.Priority,
        targets=targets,
        max_attempts=max(1, parsed.MaxAttempts),
        stages=tuple(
            model.Stage(index, stage.Service, stage.After, int(stage.Bytes))
            for index, stage in enumerate(parsed.Stages)
        ),
        is_public=parsed.Public,
        is_resumable=parsed.Resumable,
        max_event_gap_s=parsed.GapTargetMs / _MS_PER_S,
    )


def _to_service(parsed: _Service) -> model.Service:
    engine = None
    if parsed.Engine is not None:
        engine = model.EngineLimits(
            parsed.Engine.Slots, parsed.Engine.KvCapacityTokens
        )
    batches = None
    if parsed.Pieces is not None:
        batches = model.BatchLimits(
            max_concurrent_calls=max(1, parsed.Pieces.Slots),
            max_pieces=max(1, parsed.Pieces.Batch),
            call_s=parsed.Pieces.CallMs / _MS_PER_S,
            piece_s=parsed.Pieces.ItemMs / _MS_PER_S,
            result_capacity_bytes=parsed.Pieces.HeadroomMb * _MEGABYTE,
            result_ttl_s=parsed.Pieces.HandleS,
        )
    return model.Service(
        name=parsed.Name,
        health_path=parsed.HealthPath,
        max_connections=parsed.MaxConns,
        cold_s=parsed.ColdS,
        cold_per_s=parsed.ColdPerS,
        engine=engine,
        batches=batches,
    )


def _collect_keys(
    tenants: tuple[_Tenant, ...],
) -> Mapping[str, model.ClientAccount]:
    accounts_by_key: dict[str, model.ClientAccount] = {}
    for tenant in tenants:
        account = model.ClientAccount(tenant.Name, tenant.Priority)
        for key in tenant.ApiKeys:
            accounts_by_key[key] = account
    return accounts_by_key
