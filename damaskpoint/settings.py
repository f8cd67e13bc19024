"""The settings of a process: read from JSON with comments, validated whole.

One file holds the options of all processes of an instance; each binary
reads the sections that it needs. Unknown keys are refused.
"""

from __future__ import annotations

import ipaddress
import pathlib
import sys
from typing import Final, Literal, Self, TypeVar, final

import json5
import pydantic

from damaskpoint import defaults
from damaskpoint.errors import Code, Failure

# Exit status of a binary whose settings are invalid.
EXIT_SETTINGS: Final = 1
_Model = TypeVar('_Model', bound=pydantic.BaseModel)


class Section(pydantic.BaseModel):
    """A part of the settings; immutable, and strict about its keys."""

    model_config = pydantic.ConfigDict(
        extra='forbid', frozen=True, use_attribute_docstrings=True
    )


@final
class InstanceOptions(Section):
    """Who this instance is."""

    name: str
    """Name of the instance in the platform's list."""
    zone: str
    """Availability zone of the instance."""
    host: str = '127.0.0.1'
    """IP number that the process listens on."""
    port: int = pydantic.Field(ge=0, le=defaults.MAX_PORT)
    """TCP port for callers."""
    operator_port: int = pydantic.Field(ge=0, le=defaults.MAX_PORT)
    """TCP port for operators: health, metrics and state."""
    peer_port: int = pydantic.Field(ge=0, le=defaults.MAX_PORT)
    """UDP port for gossip and TCP port for calls between peers."""


@final
class PlatformOptions(Section):
    """Where the platform's store is, and how it is read."""

    store_url: str
    """Base URL of the platform's store."""
    timeout_s: float = pydantic.Field(defaults.PLATFORM_TIMEOUT_S, gt=0)
    """Time after which a call to the platform counts as failed (seconds)."""
    configuration_poll_s: float = pydantic.Field(
        defaults.CONFIGURATION_POLL_S, gt=0
    )
    """Time between two reads of the configuration's row (seconds)."""
    instance_list_poll_s: float = pydantic.Field(
        defaults.INSTANCE_LIST_POLL_S, gt=0
    )
    """Time between two reads of the list of instances (seconds)."""
    confirmation_bound_s: float = pydantic.Field(
        defaults.CONFIRMATION_BOUND_S, gt=0
    )
    """Age of the last confirmation up to which an entry serves (seconds)."""


@final
class MembershipOptions(Section):
    """How entries find and hear each other."""

    peers: tuple[str, ...] = ()
    """Peers to start from, as HOST:PORT, while the list is down."""
    networks: tuple[str, ...] = ()
    """Networks that unlisted peers may speak from, as ADDRESS/BITS."""
    operator_networks: tuple[str, ...] = defaults.OPERATOR_NETWORKS
    """Networks that damaskpoint-sheet may hand over versions from."""
    gossip_interval_s: float = pydantic.Field(defaults.GOSSIP_INTERVAL_S, gt=0)
    """Time between two rounds of gossip (seconds)."""
    peer_timeout_s: float = pydantic.Field(defaults.PEER_TIMEOUT_S, gt=0)
    """Silence after which a peer counts as gone (seconds)."""
    bytes_per_s: int = pydantic.Field(defaults.GOSSIP_BYTES_PER_S, gt=0)
    """Bound on gossip that one instance sends (bytes a second)."""

    @pydantic.field_validator('peers')
    @classmethod
    def check_peers(cls, peers: tuple[str, ...]) -> tuple[str, ...]:
        """Refuse a peer that is not an IP number and a port."""
        for text in peers:
            host, _, port = text.rpartition(':')
            ipaddress.ip_address(host)
            if not 0 < int(port) <= defaults.MAX_PORT:
                raise ValueError(f'{text}: port out of range')
        return peers

    @pydantic.field_validator('networks', 'operator_networks')
    @classmethod
    def check_networks(cls, networks: tuple[str, ...]) -> tuple[str, ...]:
        """Refuse a network that is not an address and a number of bits."""
        for text in networks:
            ipaddress.ip_network(text)
        return networks


@final
class RoutingOptions(Section):
    """How upstreams are chosen and protected."""

    load_poll_s: float = pydantic.Field(defaults.LOAD_POLL_S, gt=0)
    """Time between two reads of an upstream's load (seconds)."""
    load_report_bound_s: float = pydantic.Field(
        defaults.LOAD_REPORT_BOUND_S, gt=0
    )
    """Age past which a load report proves nothing (seconds)."""
    load_report_lag_s: float = pydantic.Field(defaults.LOAD_REPORT_LAG_S, ge=0)
    """Longest lag of a load report behind the upstream's state (seconds)."""
    connect_timeout_s: float = pydantic.Field(defaults.CONNECT_TIMEOUT_S, gt=0)
    """Time to connect to an upstream (seconds)."""
    lease_s: float = pydantic.Field(defaults.LEASE_S, gt=0)
    """Length of a lease on a cold upstream (seconds)."""
    lease_margin_s: float = pydantic.Field(defaults.LEASE_MARGIN_S, gt=0)
    """Part of the lease, at its end, that its holder leaves unused."""


@final
class AdmissionOptions(Section):
    """How requests are let in."""

    queue_limit: int = pydantic.Field(defaults.QUEUE_LIMIT, ge=0)
    """Requests that may wait in one entry."""
    retry_share: float = pydantic.Field(defaults.RETRY_SHARE, ge=0, le=1)
    """Retries and hedges, as a share of first tries."""
    retry_burst: int = pydantic.Field(defaults.RETRY_BURST, ge=0)
    """Retries that a quiet entry may make at once."""


@final
class JournalOptions(Section):
    """How non-idempotent requests are recorded."""

    keep_s: int = pydantic.Field(defaults.JOURNAL_KEEP_S, gt=0)
    """Time for which an idempotency key is remembered (seconds)."""
    inline_bytes: int = pydantic.Field(defaults.INLINE_OUTCOME_BYTES, ge=0)
    """Answers up to this size stay in the table (bytes)."""


@final
class ReconcilerOptions(Section):
    """How orders to engines are given."""

    operator_port: int = pydantic.Field(0, ge=0, le=defaults.MAX_PORT)
    """TCP port of the reconciler for operators; 0 takes any free one."""
    lease_s: float = pydantic.Field(defaults.RECONCILE_LEASE_S, gt=0)
    """Length of the lease on a pool's orders; equal everywhere (seconds)."""
    lease_margin_s: float = pydantic.Field(
        defaults.RECONCILE_LEASE_MARGIN_S, gt=0
    )
    """Part of the lease, at its end, that its holder leaves unused."""
    state_poll_s: float = pydantic.Field(defaults.ENGINE_STATE_POLL_S, gt=0)
    """Time between two reads of an engine's state (seconds)."""
    order_timeout_s: float = pydantic.Field(defaults.ORDER_TIMEOUT_S, gt=0)
    """Longest time that an order may take; equal everywhere (seconds)."""
    max_orders: int = pydantic.Field(defaults.MAX_ORDERS, gt=0)
    """Engines of a pool that load at once, as the weight store bears."""

    @pydantic.model_validator(mode='after')
    def check_margin(self) -> Self:
        """Refuse a margin that clocks running apart would use up."""
        least_s = self.lease_s * defaults.MIN_LEASE_MARGIN_SHARE
        if not least_s <= self.lease_margin_s < self.lease_s:
            raise ValueError(
                f'lease_margin_s must be {least_s:g} to {self.lease_s:g}'
            )
        return self


@final
class BorderOptions(Section):
    """Bounds at the callers' border."""

    max_body_bytes: int = pydantic.Field(defaults.MAX_BODY_BYTES, gt=0)
    """Largest body of a request (bytes)."""
    max_answer_bytes: int = pydantic.Field(defaults.MAX_ANSWER_BYTES, gt=0)
    """Largest answer of an upstream (bytes)."""


@final
class ShutdownOptions(Section):
    """How a process ends."""

    notice_s: float = pydantic.Field(defaults.SHUTDOWN_NOTICE_S, ge=0)
    """Time for the balancer to see that the entry is leaving (seconds)."""
    limit_s: float = pydantic.Field(defaults.SHUTDOWN_LIMIT_S, gt=0)
    """The platform's bound on a shutdown (seconds)."""


@final
class LogOptions(Section):
    """How the process writes its log."""

    level: Literal['debug', 'info', 'warning', 'error'] = 'info'
    """Least level that is written: debug, info, warning or error."""
    as_json: bool = False
    """Whether log lines are JSON."""


@final
class Options(Section):
    """All options of an instance."""

    instance: InstanceOptions
    """Who this instance is."""
    platform: PlatformOptions
    """Where the platform's store is, and how it is read."""
    membership: MembershipOptions = MembershipOptions()
    """How entries find and hear each other."""
    routing: RoutingOptions = RoutingOptions()
    """How upstreams are chosen and protected."""
    admission: AdmissionOptions = AdmissionOptions()
    """How requests are let in."""
    journal: JournalOptions = JournalOptions()
    """How non-idempotent requests are recorded."""
    reconciler: ReconcilerOptions = ReconcilerOptions()
    """How orders to engines are given."""
    border: BorderOptions = BorderOptions()
    """Bounds at the callers' border."""
    shutdown: ShutdownOptions = ShutdownOptions()
    """How a process ends."""
    log: LogOptions = LogOptions()
    """How the process writes its log."""


def load_options(path: pathlib.Path) -> Options | Failure:
    """Read and validate a settings file; every fault is listed."""
    return read_model(path, Options)


def read_model(path: pathlib.Path, model: type[_Model]) -> _Model | Failure:
    """Read a file of JSON with comments; fails with ``SETTINGS_INVALID``."""
    try:
        raw = json5.loads(path.read_text(encoding='utf-8'))
    except (OSError, ValueError, RecursionError) as error:
        return Failure(Code.SETTINGS_INVALID, f'{path.name}: {error}')
    try:
        return model.model_validate(raw)
    except pydantic.ValidationError as error:
        return Failure(Code.SETTINGS_INVALID, _list_faults(error))


def load_platform_options(path: pathlib.Path) -> PlatformOptions | Failure:
    """Read a settings file and return where the platform is."""
    options = load_options(path)
    return options if isinstance(options, Failure) else options.platform


def check_settings(path: pathlib.Path) -> int:
    """Tell on the standard streams whether a settings file is valid.

    Returns the exit code of a binary that ran with ``--check-settings``.
    """
    options = load_options(path)
    if isinstance(options, Failure):
        return report_invalid(options)
    sys.stdout.write(f'{path.name} is valid.\n')
    return 0


def report_invalid(failure: Failure) -> int:
    """Tell on standard error why settings are invalid; return the status."""
    sys.stderr.write(f'{failure.kind.title}\n{failure.detail}\n')
    return EXIT_SETTINGS


def _list_faults(error: pydantic.ValidationError) -> str:
    lines = []
    for fault in error.errors():
        place = '.'.join(str(part) for part in fault['loc'])
        lines.append(f'{place}: {fault["msg"]}')
    return '\n'.join(lines)
