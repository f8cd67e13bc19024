"""The client accounts of an entry with their parts of the limits."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final, final

from damaskpoint import defaults
from damaskpoint.admission.limits import AccountLimits
from damaskpoint.admission.shares import PartKeeper, compute_part

if TYPE_CHECKING:
    from damaskpoint.admission.shares import DemandSource, Part
    from damaskpoint.config.model import Account, Configuration

# Entries above which parts are computed less often, for their cost.
_MANY_ENTRIES: Final = 100


@final
@dataclass(slots=True)
class _Record:
    """One account's limits, and when its part was last computed."""

    limits: AccountLimits
    keeper: PartKeeper
    computed_at: float


@final
class AccountTable:
    """Computes parts when they are asked for, at bounded intervals."""

    def __init__(self, own_name: str, demand: DemandSource) -> None:
        """Start without accounts."""
        self._own_name = own_name
        self._demand = demand
        self._accounts_by_name: dict[str, Account] = {}
        self._records_by_account: dict[str, _Record] = {}

    # Commands.

    def apply_configuration(
        self, configuration: Configuration, now: float
    ) -> None:
        """Take over the accounts; what runs of others goes on."""
        self._accounts_by_name = dict(configuration.accounts_by_name)
        for name, record in tuple(self._records_by_account.items()):
            account = self._accounts_by_name.get(name)
            if account is not None:
                self._compute(record, account, now)
                continue
            if not record.limits.in_flight:
                self._records_by_account.pop(name)

    def find_limits(self, name: str, now: float) -> AccountLimits | None:
        """Return the limits of an account, with a part that is fresh."""
        account = self._accounts_by_name.get(name)
        if account is None:
            return None
        record = self._records_by_account.get(name)
        if record is None:
            record = self._create(account, now)
            self._records_by_account[name] = record
        if now - record.computed_at >= self._refresh_s(now):
            self._compute(record, account, now)
        return record.limits

    # Queries.

    def find_known(self, name: str) -> AccountLimits | None:
        """Return the limits of an account that was used here."""
        record = self._records_by_account.get(name)
        return None if record is None else record.limits

    @property
    def first_name(self) -> str | None:
        """Return the name of the first account of the configuration."""
        return next(iter(self._accounts_by_name), None)

    def list_known(self) -> tuple[AccountLimits, ...]:
        """Return the limits of all accounts that were used here."""
        return tuple(
            record.limits for record in self._records_by_account.values()
        )

    def _create(self, account: Account, now: float) -> _Record:
        keeper = PartKeeper()
        part = keeper.keep(self._find_part(account, 0, now), now)
        return _Record(AccountLimits(account, part, now), keeper, now)

    def _compute(self, record: _Record, account: Account, now: float) -> None:
        rate_per_s = record.limits.demand.rate_per_s(now)
        part = self._find_part(account, rate_per_s, now)
        record.limits.apply(account, record.keeper.keep(part, now), now)
        record.computed_at = now

    def _find_part(
        self, account: Account, rate_per_s: float, now: float
    ) -> Part:
        return compute_part(
            self._own_name,
            rate_per_s,
            self._demand.entry_names(now),
            self._demand.peer_demands(account.name),
            account.name,
        )

    def _refresh_s(self, now: float) -> float:
        entries = len(self._demand.entry_names(now))
        return defaults.SHARE_REFRESH_S * (1 + entries // _MANY_ENTRIES)
