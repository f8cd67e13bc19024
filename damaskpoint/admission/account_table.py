"""The limits of each client account, as this entry applies them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final, final

from damaskpoint import defaults
from damaskpoint.admission.limits import AccountLimits
from damaskpoint.admission.shares import ShareStabilizer, compute_share

if TYPE_CHECKING:
    from damaskpoint.admission.shares import DemandSource, LimitShare
    from damaskpoint.config.model import Account, Configuration

# Entries per additional ``SHARE_REFRESH_S`` between two computations of a
# share: the cost of a computation grows with the number of entries.
_ENTRIES_PER_REFRESH_STEP: Final = 100


@final
@dataclass(slots=True)
class _AccountRecord:
    """One account's limits, and when its share was last computed."""

    limits: AccountLimits
    stabilizer: ShareStabilizer
    computed_at: float


@final
class AccountTable:
    """Holds the limits of accounts and refreshes their shares on demand."""

    def __init__(self, own_name: str, demand: DemandSource) -> None:
        """Start without accounts; ``demand`` supplies the peers' demand."""
        self._own_name = own_name
        self._demand = demand
        self._accounts_by_name: dict[str, Account] = {}
        self._records_by_account: dict[str, _AccountRecord] = {}

    # Commands.

    def apply_configuration(
        self, configuration: Configuration, now: float
    ) -> None:
        """Replace the accounts.

        Running requests of a removed account run to their end.
        """
        self._accounts_by_name = dict(configuration.accounts_by_name)
        for name, record in tuple(self._records_by_account.items()):
            account = self._accounts_by_name.get(name)
            if account is not None:
                self._update(record, account, now)
                continue
            if not record.limits.in_flight:
                self._records_by_account.pop(name)

    def find_limits(self, name: str, now: float) -> AccountLimits | None:
        """Return the limits of an account, with an up-to-date share.

        None for an account that is not configured.
        """
        account = self._accounts_by_name.get(name)
        if account is None:
            return None
        record = self._records_by_account.get(name)
        if record is None:
            record = self._create(account, now)
            self._records_by_account[name] = record
        if now - record.computed_at >= self._refresh_interval_s(now):
            self._update(record, account, now)
        return record.limits

    # Queries.

    def find_existing(self, name: str) -> AccountLimits | None:
        """Return the limits of an account; None before its first request."""
        record = self._records_by_account.get(name)
        return None if record is None else record.limits

    @property
    def first_account_name(self) -> str | None:
        """Return the name of the first configured account, if there is any."""
        return next(iter(self._accounts_by_name), None)

    def list_existing(self) -> tuple[AccountLimits, ...]:
        """Return the limits of all accounts that have made a request here."""
        return tuple(
            record.limits for record in self._records_by_account.values()
        )

    def _create(self, account: Account, now: float) -> _AccountRecord:
        stabilizer = ShareStabilizer()
        share = stabilizer.stabilize(self._compute_share(account, 0, now), now)
        return _AccountRecord(
            AccountLimits(account, share, now), stabilizer, now
        )

    def _update(
        self, record: _AccountRecord, account: Account, now: float
    ) -> None:
        rate_per_s = record.limits.demand.rate_per_s(now)
        share = self._compute_share(account, rate_per_s, now)
        record.limits.apply(
            account, record.stabilizer.stabilize(share, now), now
        )
        record.computed_at = now

    def _compute_share(
        self, account: Account, rate_per_s: float, now: float
    ) -> LimitShare:
        return compute_share(
            self._own_name,
            rate_per_s,
            self._demand.entry_names(now),
            self._demand.peer_demands(account.name),
            account.name,
        )

    def _refresh_interval_s(self, now: float) -> float:
        entries = len(self._demand.entry_names(now))
        return defaults.SHARE_REFRESH_S * (
            1 + entries // _ENTRIES_PER_REFRESH_STEP
        )
