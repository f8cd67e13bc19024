"""Reads the operator's and the runners' rows into the project's types.

Whatever a row holds, reading it ends in a value or in a
``MESSAGE_MALFORMED`` failure that says what is wrong.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Annotated, Final, Literal

import pydantic

from damaskpoint.catalog import model
from damaskpoint.errors import Code, Failure

if TYPE_CHECKING:
    from collections.abc import Mapping

_MS: Final = 1000
_MEGABYTE: Final = 1_000_000
_Count = Annotated[int, pydantic.Field(ge=0)]
_Number = Annotated[float, pydantic.Field(ge=0, allow_inf_nan=False)]


class _Row(pydantic.BaseModel):
    """Fields of a row; unknown ones are ignored, as new ones may come."""

    model_config = pydantic.ConfigDict(extra='ignore', frozen=True)


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
    # The time for full credit, despite its name; not a level over many.
    SloMs: _Number
    Priority: int = 0
    Service: str | None = None
    Split: tuple[_Target, ...] = ()
    MaxAttempts: _Count = 1
    Stages: tuple[_Stage, ...] = ()
    Public: bool = False
    Resumable: bool = False
    # Longest pause between events for full credit.
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
    # Counted from the end of the call that made the result.
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
    model_config = pydantic.ConfigDict(extra='ignore', strict=True)

    Service: str = pydantic.Field(min_length=1)
    Address: str
    Zone: str = pydantic.Field(min_length=1)
    Slots: _Count = 0
    State: Literal['ready', 'draining']
    # How much longer the runner is cold, as of the write of this entry.
    ColdLeftMs: _Number = 0
    # Unix milliseconds of its start.
    born: _Count = 0


def read_configuration(raw: object) -> model.Configuration | Failure:
    """Return the configuration that a row holds."""
    try:
        read = _Configuration.model_validate(raw)
    except pydantic.ValidationError as error:
        return _malformed(error)
    return model.Configuration(
        version=read.Version,
        routes_by_host=_group_routes(read.Routes),
        services_by_name={
            service.Name: _to_service(service) for service in read.Services
        },
        limits=model.CallerLimits(
            read.Limits.MaxHeaderBytes,
            read.Limits.MaxBodyBytes,
            read.Limits.HeaderTimeoutMs / _MS,
            read.Limits.IdleTimeoutMs / _MS,
        ),
        accounts_by_key=_collect_keys(read.Tenants),
    )


def read_runner(name: str, raw: object) -> model.Runner | Failure:
    """Return the runner that a row names."""
    try:
        read = _RunnerEntry.model_validate(raw)
    except pydantic.ValidationError as error:
        return _malformed(error)
    host, _, port = read.Address.rpartition(':')
    if not host or not port.isdecimal():
        return Failure(Code.MESSAGE_MALFORMED, f'address {read.Address!r}')
    return model.Runner(
        name=name,
        service=read.Service,
        host=host,
        port=int(port),
        zone=read.Zone,
        slots=read.Slots,
        is_draining=read.State == 'draining',
        cold_left_s=read.ColdLeftMs / _MS,
        started_ms=read.born,
    )


def _malformed(error: pydantic.ValidationError) -> Failure:
    fault = error.errors()[0]
    place = '.'.join(str(part) for part in fault['loc'])
    return Failure(Code.MESSAGE_MALFORMED, f'{place}: {fault["msg"]}')


def _group_routes(
    routes: tuple[_Route, ...],
) -> Mapping[str, tuple[model.Route, ...]]:
    grouped: dict[str, list[model.Route]] = {}
    for read in routes:
        grouped.setdefault(read.Host.lower(), []).append(_to_route(read))
    return {
        host: tuple(sorted(found, key=_longest_prefix_first))
        for host, found in grouped.items()
    }


def _longest_prefix_first(route: model.Route) -> int:
    return -len(route.prefix)


def _to_route(read: _Route) -> model.Route:
    targets = tuple(
        model.Target(target.Service, target.Weight) for target in read.Split
    )
    if read.Service is not None:
        targets = (model.Target(read.Service, 1), *targets)
    return model.Route(
        name=read.Name,
        host=read.Host.lower(),
        prefix=read.Prefix,
        kind=model.RequestKind(read.Kind),
        timeout_s=read.TimeoutMs / _MS,
        objective_s=read.SloMs / _MS,
        priority=read.Priority,
        targets=targets,
        max_attempts=max(1, read.MaxAttempts),
        stages=tuple(
            model.Stage(index, stage.Service, stage.After, int(stage.Bytes))
            for index, stage in enumerate(read.Stages)
        ),
        is_public=read.Public,
        is_resumable=read.Resumable,
        max_event_gap_s=read.GapTargetMs / _MS,
    )


def _to_service(read: _Service) -> model.Service:
    engine = None
    if read.Engine is not None:
        engine = model.EngineLimits(
            read.Engine.Slots, read.Engine.KvCapacityTokens
        )
    batches = None
    if read.Pieces is not None:
        batches = model.BatchLimits(
            max_concurrent_calls=max(1, read.Pieces.Slots),
            max_pieces=max(1, read.Pieces.Batch),
            call_s=read.Pieces.CallMs / _MS,
            piece_s=read.Pieces.ItemMs / _MS,
            result_capacity_bytes=read.Pieces.HeadroomMb * _MEGABYTE,
            result_ttl_s=read.Pieces.HandleS,
        )
    return model.Service(
        name=read.Name,
        health_path=read.HealthPath,
        max_connections=read.MaxConns,
        cold_s=read.ColdS,
        cold_per_s=read.ColdPerS,
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
