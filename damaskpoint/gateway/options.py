"""Settings of a gateway, read from JSON with comments and validated.

The descriptions of the options are printed into docs/SETTINGS.md.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, final

import pydantic

from damaskpoint import defaults
from damaskpoint.platform import names
from damaskpoint.settings_base import LogOptions, Section, read_model

if TYPE_CHECKING:
    import pathlib

    from damaskpoint.errors import Failure

# A round every 150 ms, so that a failed peer is detected within a second.
_GOSSIP_INTERVAL_S: Final = 0.15
_PEER_TIMEOUT_S: Final = 0.8
_GOSSIP_BYTES_PER_S: Final = 120_000
# Timeout for connecting to a runner in the same region (seconds): many round
# trips, but less than the first retransmission of a lost packet.
_CONNECT_TIMEOUT_S: Final = 0.5
_RETRY_WINDOW_S: Final = 10.0
_SILENCE_TIMEOUT_S: Final = 2.0
_STORE_TIMEOUT_S: Final = 1.0
_PLACEHOLDER: Final = '{{'


@final
class InstanceSection(Section):
    """Identity of this instance."""

    name: str = pydantic.Field(min_length=1)
    """Name of the instance."""
    zone: str = pydantic.Field(min_length=1)
    """Availability zone of the instance."""
    host: str
    """IP address at which peers and operators reach the instance."""


@final
class ListenSection(Section):
    """Addresses and ports on which the process listens."""

    callers: str
    """HOST:PORT for callers."""
    readiness: str
    """HOST:PORT of the balancer's readiness check."""
    operator_port: int = pydantic.Field(ge=0, le=defaults.MAX_PORT)
    """TCP port for operators: health, metrics and state."""
    peer_port: int = pydantic.Field(ge=0, le=defaults.MAX_PORT)
    """UDP port for gossip and TCP port for calls between peers."""

    @pydantic.field_validator('callers', 'readiness')
    @classmethod
    def check_address(cls, text: str) -> str:
        """Reject an address that is not HOST:PORT."""
        parse_address(text)
        return text


@final
class StoreSection(Section):
    """Address of the platform's store."""

    address: str
    """HOST:PORT of the store."""
    timeout_s: float = pydantic.Field(_STORE_TIMEOUT_S, gt=0)
    """Timeout of a call to the store (seconds)."""


@final
class BoundsSection(Section):
    """Limits set by the platform."""

    grace_s: float = pydantic.Field(gt=0)
    """Time from SIGTERM to SIGKILL (seconds)."""
    retry_ratio: float = pydantic.Field(ge=0)
    """Retries allowed, as a share of a service's requests."""
    retry_slack: float = pydantic.Field(ge=0)
    """Retries of a service allowed beyond that share, per window."""
    retry_window_s: float = pydantic.Field(_RETRY_WINDOW_S, gt=0)
    """Length of that window (seconds)."""
    cold_overshoot: float = pydantic.Field(ge=1)
    """Factor on the request rate that a cold runner can serve."""
    cold_slack: float = pydantic.Field(ge=0)
    """Requests to a cold runner allowed beyond that rate, in any second."""


@final
class RolloutsSection(Section):
    """Bounds on rollouts of a new version of a service."""

    exposure_share: float = pydantic.Field(gt=0, le=1)
    """Share of a service's requests that an unproven version may receive."""
    exposure_slack: float = pydantic.Field(ge=0)
    """Requests to it allowed beyond that share."""
    rollback_s: float = pydantic.Field(gt=0)
    """Time in which a bad version must not be used any more (seconds)."""


@final
class RunnersSection(Section):
    """Timeouts of calls to runners."""

    connect_s: float = pydantic.Field(_CONNECT_TIMEOUT_S, gt=0)
    """Timeout for connecting to a runner (seconds)."""
    silence_s: float = pydantic.Field(_SILENCE_TIMEOUT_S, gt=0)
    """Longest time that sent bytes may stay unacknowledged (seconds)."""


@final
class GossipSection(Section):
    """Gossip between instances."""

    interval_s: float = pydantic.Field(_GOSSIP_INTERVAL_S, gt=0)
    """Interval between rounds of gossip (seconds)."""
    peer_timeout_s: float = pydantic.Field(_PEER_TIMEOUT_S, gt=0)
    """Time without gossip after which a peer is considered failed (seconds)."""
    bytes_per_s: int = pydantic.Field(_GOSSIP_BYTES_PER_S, gt=0)
    """Maximum rate of gossip that one instance sends (bytes per second)."""


@final
class StagesSection(Section):
    """Use of the runners of stages."""

    contracts: str = ''
    """Parts of the platform's rules in force, separated by commas. With the one
    on shared pools, requests give way by urgency and account where not all can
    be in time; without it they run by the time at which they are due."""

    @property
    def shares_capacity(self) -> bool:
        """Return whether requests give way by urgency and account."""
        return names.CONTRACT_SHARED_POOL in self.contracts.split(',')


@final
class LimitsSection(Section):
    """Resources of the machine that callers may use."""

    memory_mb: int = pydantic.Field(defaults.MEMORY_MB, gt=0)
    """Memory of the machine that the process may use (MB)."""
    max_fds: int = pydantic.Field(defaults.MAX_FDS, gt=0)
    """File descriptors that the process may open."""
    link_mbps: float = pydantic.Field(defaults.LINK_MBPS, gt=0)
    """Bandwidth of the machine's network link (Mbit/s)."""
    cpu_share: float = pydantic.Field(defaults.CPU_SHARE, gt=0)
    """Processor time that the process may use, as a share of one core."""
    core_speed: float = pydantic.Field(defaults.CORE_SPEED, gt=0)
    """Speed of that core as a multiple of a standard one."""

    @pydantic.model_validator(mode='before')
    @classmethod
    def drop_absent(cls, raw: object) -> object:
        """Leave out the values that the platform has not filled in."""
        if not isinstance(raw, dict):
            return raw
        return {
            name: value for name, value in raw.items() if not _is_absent(value)
        }


@final
class GatewayOptions(Section):
    """All options of a gateway."""

    instance: InstanceSection
    """Identity of this instance."""
    listen: ListenSection
    """Addresses and ports on which the process listens."""
    store: StoreSection
    """Address of the platform's store."""
    bounds: BoundsSection
    """Limits set by the platform."""
    limits: LimitsSection = LimitsSection()
    """Resources of the machine that callers may use.

    A value that the platform has not filled in has its default."""
    runners: RunnersSection = RunnersSection()
    """Timeouts of calls to runners."""
    stages: StagesSection = StagesSection()
    """Use of the runners of stages."""
    gossip: GossipSection = GossipSection()
    """Gossip between instances."""
    rollouts: RolloutsSection | None = None
    """Rollouts of service versions. Without this section, or where the platform
    has not filled in its share, versions of runners are ignored."""
    log: LogOptions = LogOptions()
    """Level and format of the log."""

    @pydantic.field_validator('rollouts', mode='before')
    @classmethod
    def drop_absent_rollouts(cls, raw: object) -> object:
        """Return None for a section whose share is not filled in."""
        if isinstance(raw, dict) and _is_absent(raw.get('exposure_share')):
            return None
        return raw


def load_gateway_options(path: pathlib.Path) -> GatewayOptions | Failure:
    """Read and validate a settings file; a failure lists every error."""
    return read_model(path, GatewayOptions)


def parse_address(text: str) -> tuple[str, int]:
    """Return the host and port of HOST:PORT.

    Raises ``ValueError`` for any other text.
    """
    host, _, port = text.rpartition(':')
    number = int(port)
    if not host or not 0 <= number <= defaults.MAX_PORT:
        raise ValueError(f'{text}: not HOST:PORT')
    return host, number


def _is_absent(value: object) -> bool:
    """Return whether a placeholder of the template was not filled in."""
    return isinstance(value, str) and (
        not value or value.startswith(_PLACEHOLDER)
    )
