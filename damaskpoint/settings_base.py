"""Sections and functions that the settings of all processes share.

Apart from those of one process, so that a gateway starts without the sections
of entry and reconciler: after a loss of power, callers wait for its start.
"""

from __future__ import annotations

import ipaddress
import pathlib
import sys
from typing import Final, Literal, TypeVar, final

import json5
import pydantic

from damaskpoint import defaults
from damaskpoint.errors import Code, Failure

# Exit status of a binary with invalid settings.
EXIT_SETTINGS: Final = 1
_Model = TypeVar('_Model', bound=pydantic.BaseModel)


class Section(pydantic.BaseModel):
    """Base of the settings sections: immutable, rejects unknown keys."""

    # The start of a process builds only the validators that it uses.
    model_config = pydantic.ConfigDict(
        extra='forbid', frozen=True, defer_build=True
    )


@final
class InstanceOptions(Section):
    """Identity and ports of this instance."""

    name: str
    """Name of the instance in the platform's instance list."""
    zone: str
    """Availability zone of the instance."""
    host: str = '127.0.0.1'
    """IP address that the process listens on."""
    port: int = pydantic.Field(ge=0, le=defaults.MAX_PORT)
    """TCP port for callers."""
    operator_port: int = pydantic.Field(ge=0, le=defaults.MAX_PORT)
    """TCP port for operators: health, metrics and state."""
    peer_port: int = pydantic.Field(ge=0, le=defaults.MAX_PORT)
    """UDP port for gossip and TCP port for calls between peers."""


@final
class MembershipOptions(Section):
    """Discovery of peers and gossip between entries."""

    peers: tuple[str, ...] = ()
    """Seed peers, as HOST:PORT, used while the instance list is unavailable."""
    networks: tuple[str, ...] = ()
    """Networks from which unlisted peers are accepted, as ADDRESS/BITS."""
    operator_networks: tuple[str, ...] = defaults.OPERATOR_NETWORKS
    """Networks from which damaskpoint-sheet may push versions."""
    gossip_interval_s: float = pydantic.Field(defaults.GOSSIP_INTERVAL_S, gt=0)
    """Interval between rounds of gossip (seconds)."""
    peer_timeout_s: float = pydantic.Field(defaults.PEER_TIMEOUT_S, gt=0)
    """Time without gossip after which a peer is considered failed (seconds)."""
    bytes_per_s: int = pydantic.Field(defaults.GOSSIP_BYTES_PER_S, gt=0)
    """Maximum rate of gossip that one instance sends (bytes per second)."""

    @pydantic.field_validator('peers')
    @classmethod
    def check_peers(cls, peers: tuple[str, ...]) -> tuple[str, ...]:
        """Reject a peer that is not an IP address and a port."""
        for text in peers:
            host, _, port = text.rpartition(':')
            ipaddress.ip_address(host)
            if not 0 < int(port) <= defaults.MAX_PORT:
                raise ValueError(f'{text}: port out of range')
        return peers

    @pydantic.field_validator('networks', 'operator_networks')
    @classmethod
    def check_networks(cls, networks: tuple[str, ...]) -> tuple[str, ...]:
        """Reject a network that is not an address and a prefix length."""
        for text in networks:
            ipaddress.ip_network(text)
        return networks


@final
class ShutdownOptions(Section):
    """Timing of a graceful shutdown."""

    notice_s: float = pydantic.Field(defaults.SHUTDOWN_NOTICE_S, ge=0)
    """Time for the balancer to notice that the entry is leaving (seconds)."""
    limit_s: float = pydantic.Field(defaults.SHUTDOWN_LIMIT_S, gt=0)
    """The platform's limit on the duration of a shutdown (seconds)."""


@final
class LogOptions(Section):
    """Level and format of the log."""

    level: Literal['debug', 'info', 'warning', 'error'] = 'info'
    """Minimum level that is logged: debug, info, warning or error."""
    as_json: bool = False
    """Whether log lines are JSON."""


def read_model(path: pathlib.Path, model: type[_Model]) -> _Model | Failure:
    """Read and validate a file of JSON with comments.

    Fails with ``SETTINGS_INVALID``.
    """
    try:
        raw = json5.loads(path.read_text(encoding='utf-8'))
    except (OSError, ValueError, RecursionError) as error:
        return Failure(Code.SETTINGS_INVALID, f'{path.name}: {error}')
    try:
        return model.model_validate(raw)
    except pydantic.ValidationError as error:
        return Failure(Code.SETTINGS_INVALID, _list_errors(error))


def report_invalid(failure: Failure) -> int:
    """Print why the settings are invalid and return the exit status."""
    sys.stderr.write(f'{failure.kind.title}\n{failure.detail}\n')
    return EXIT_SETTINGS


def _list_errors(error: pydantic.ValidationError) -> str:
    lines = []
    for item in error.errors():
        location = '.'.join(str(part) for part in item['loc'])
        lines.append(f'{location}: {item["msg"]}')
    return '\n'.join(lines)
