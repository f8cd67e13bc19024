"""Settings of an instance, read from JSON with comments and validated.

One file holds the options of all processes of an instance; each binary uses
the sections that it needs. Unknown keys are rejected. The descriptions of the
options are printed into docs/SETTINGS.md.
"""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, Self, final

import pydantic

from damaskpoint import defaults
from damaskpoint.errors import Failure
from damaskpoint.settings_base import (
    InstanceOptions,
    LogOptions,
    MembershipOptions,
    Section,
    ShutdownOptions,
    read_model,
    report_invalid,
)

if TYPE_CHECKING:
    import pathlib


@final
class PlatformOptions(Section):
    """Address and polling of the platform's store."""

    store_url: str
    """Base URL of the platform's store."""
    timeout_s: float = pydantic.Field(defaults.PLATFORM_TIMEOUT_S, gt=0)
    """Timeout of a call to the platform (seconds)."""
    configuration_poll_s: float = pydantic.Field(
        defaults.CONFIGURATION_POLL_S, gt=0
    )
    """Interval at which the configuration's row is polled (seconds)."""
    instance_list_poll_s: float = pydantic.Field(
        defaults.INSTANCE_LIST_POLL_S, gt=0
    )
    """Interval at which the instance list is polled (seconds)."""
    confirmation_bound_s: float = pydantic.Field(
        defaults.CONFIRMATION_BOUND_S, gt=0
    )
    """Maximum age of the last confirmation for an entry to serve (seconds)."""


@final
class RoutingOptions(Section):
    """Selection and protection of upstreams."""

    load_poll_s: float = pydantic.Field(defaults.LOAD_POLL_S, gt=0)
    """Interval at which an upstream's load is polled (seconds)."""
    load_report_bound_s: float = pydantic.Field(
        defaults.LOAD_REPORT_BOUND_S, gt=0
    )
    """Age after which a load report is no longer valid (seconds)."""
    load_report_lag_s: float = pydantic.Field(defaults.LOAD_REPORT_LAG_S, ge=0)
    """Maximum lag of a load report behind the upstream's state (seconds)."""
    connect_timeout_s: float = pydantic.Field(defaults.CONNECT_TIMEOUT_S, gt=0)
    """Timeout for connecting to an upstream (seconds)."""
    lease_s: float = pydantic.Field(defaults.LEASE_S, gt=0)
    """Duration of a lease on a cold upstream (seconds)."""
    lease_margin_s: float = pydantic.Field(defaults.LEASE_MARGIN_S, gt=0)
    """Safety margin at the end of the lease, unused by its holder (seconds)."""


@final
class AdmissionOptions(Section):
    """Limits on the requests that are admitted."""

    queue_limit: int = pydantic.Field(defaults.QUEUE_LIMIT, ge=0)
    """Maximum number of requests that wait in one entry."""
    retry_share: float = pydantic.Field(defaults.RETRY_SHARE, ge=0, le=1)
    """Retries and hedges allowed, as a share of first attempts."""
    retry_burst: int = pydantic.Field(defaults.RETRY_BURST, ge=0)
    """Retries that an idle entry may make at once."""


@final
class JournalOptions(Section):
    """Recording of non-idempotent requests."""

    keep_s: int = pydantic.Field(defaults.JOURNAL_KEEP_S, gt=0)
    """Time for which an idempotency key is stored (seconds)."""
    inline_bytes: int = pydantic.Field(defaults.INLINE_OUTCOME_BYTES, ge=0)
    """Maximum size of an answer that is stored in the table (bytes)."""


@final
class ReconcilerOptions(Section):
    """Orders to engines."""

    operator_port: int = pydantic.Field(0, ge=0, le=defaults.MAX_PORT)
    """TCP port of the reconciler for operators; 0 selects any free one."""
    lease_s: float = pydantic.Field(defaults.RECONCILE_LEASE_S, gt=0)
    """Duration of the lease on a pool's orders, equal everywhere (seconds)."""
    lease_margin_s: float = pydantic.Field(
        defaults.RECONCILE_LEASE_MARGIN_S, gt=0
    )
    """Safety margin at the end of the lease, unused by its holder (seconds)."""
    state_poll_s: float = pydantic.Field(defaults.ENGINE_STATE_POLL_S, gt=0)
    """Interval at which an engine's state is polled (seconds)."""
    order_timeout_s: float = pydantic.Field(defaults.ORDER_TIMEOUT_S, gt=0)
    """Timeout of an order, equal everywhere (seconds)."""
    max_orders: int = pydantic.Field(defaults.MAX_ORDERS, gt=0)
    """Maximum engines of a pool that load at once (a weight store limit)."""

    @pydantic.model_validator(mode='after')
    def check_margin(self) -> Self:
        """Reject a margin that the drift between clocks could exceed."""
        least_s = self.lease_s * defaults.MIN_LEASE_MARGIN_SHARE
        if not least_s <= self.lease_margin_s < self.lease_s:
            raise ValueError(
                f'lease_margin_s must be {least_s:g} to {self.lease_s:g}'
            )
        return self


@final
class BorderOptions(Section):
    """Size limits of requests and answers, and resources for callers."""

    max_body_bytes: int = pydantic.Field(defaults.MAX_BODY_BYTES, gt=0)
    """Maximum size of a request body (bytes)."""
    max_answer_bytes: int = pydantic.Field(defaults.MAX_ANSWER_BYTES, gt=0)
    """Maximum size of an upstream's answer (bytes)."""
    memory_mb: int = pydantic.Field(defaults.MEMORY_MB, gt=0)
    """Memory of the machine that the entry may use (MB)."""
    max_fds: int = pydantic.Field(defaults.MAX_FDS, gt=0)
    """File descriptors that the entry may open."""


@final
class Options(Section):
    """All options of an instance."""

    instance: InstanceOptions
    """Identity and ports of this instance."""
    platform: PlatformOptions
    """Address and polling of the platform's store."""
    membership: MembershipOptions = MembershipOptions()
    """Discovery of peers and gossip between entries."""
    routing: RoutingOptions = RoutingOptions()
    """Selection and protection of upstreams."""
    admission: AdmissionOptions = AdmissionOptions()
    """Limits on the requests that are admitted."""
    journal: JournalOptions = JournalOptions()
    """Recording of non-idempotent requests."""
    reconciler: ReconcilerOptions = ReconcilerOptions()
    """Orders to engines."""
    border: BorderOptions = BorderOptions()
    """Size limits of requests and answers."""
    shutdown: ShutdownOptions = ShutdownOptions()
    """Timing of a graceful shutdown."""
    log: LogOptions = LogOptions()
    """Level and format of the log."""


def load_options(path: pathlib.Path) -> Options | Failure:
    """Read and validate a settings file; a failure lists every error."""
    return read_model(path, Options)


def load_platform_options(path: pathlib.Path) -> PlatformOptions | Failure:
    """Read a settings file and return its platform section."""
    options = load_options(path)
    return options if isinstance(options, Failure) else options.platform


def check_settings(path: pathlib.Path) -> int:
    """Report on the standard streams whether a settings file is valid.

    Returns the exit status of a binary that was run with
    ``--check-settings``.
    """
    options = load_options(path)
    if isinstance(options, Failure):
        return report_invalid(options)
    sys.stdout.write(f'{path.name} is valid.\n')
    return 0
