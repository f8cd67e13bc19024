"""Parses the planners' sheet into a configuration, or lists every fault.

docs/SHEET.md describes the sections and columns. A sheet with any fault is
rejected as a whole.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final, final

from damaskpoint import defaults
from damaskpoint.config import document, sheet_pipelines
from damaskpoint.config.model import (
    Account,
    Configuration,
    ModelTarget,
    Pool,
    PoolKind,
    StageKind,
    Zone,
)
from damaskpoint.config.sheet_cells import CellReader
from damaskpoint.config.sheet_text import SheetFault, SheetRow, split_sheet

if TYPE_CHECKING:
    from collections.abc import Sequence

    from damaskpoint.config.sheet_text import SheetSection, SplitSheet

MAX_WEIGHT: Final = 1_000
MAX_RATE_PER_S: Final = 1_000_000.0
MAX_COUNT: Final = 1_000_000
MAX_PRIORITY: Final = 9
MAX_UPSTREAM_LIMIT: Final = 10_000
# Roles of engines: every kind of stage, or a single kind.
ROLES: Final = (sheet_pipelines.ANY_ROLE, *(kind.value for kind in StageKind))


@final
@dataclass(frozen=True, slots=True)
class _SectionRule:
    """The columns of a section and whether it may be missing or empty."""

    required: tuple[str, ...]
    optional: tuple[str, ...] = ()
    # Columns whose values together identify a row.
    key: tuple[str, ...] = ('name',)
    is_optional: bool = False


_RULES_BY_SECTION: Final = {
    'zones': _SectionRule(('name', 'state')),
    'accounts': _SectionRule(
        (
            'name',
            'credential_sha256',
            'weight',
            'rate_per_s',
            'burst',
            'max_in_flight',
            'priority',
        )
    ),
    'pools': _SectionRule(
        (
            'name',
            'kind',
            'cold_limit',
            'warm_limit',
            'checks_fencing',
            'reports_load',
        ),
        ('idempotent_paths',),
    ),
    'pipelines': _SectionRule(('name', 'deadline_ms')),
    'stages': _SectionRule(
        ('pipeline', 'position', 'name', 'kind', 'pool', 'model'),
        ('adapter', 'has_side_effect'),
        ('pipeline', 'position'),
    ),
    'bindings': _SectionRule(
        ('pipeline', 'account'), key=('pipeline', 'account'), is_optional=True
    ),
    'targets': _SectionRule(
        ('pool', 'model', 'version', 'role'),
        ('adapters',),
        ('pool', 'model'),
        is_optional=True,
    ),
}


def read_sheet(body: bytes) -> Configuration | tuple[SheetFault, ...]:
    """Return the configuration of a sheet, or all its faults by line.

    The configuration has version 0; the accepted version is assigned when it
    is applied.
    """
    sheet = split_sheet(body)
    if sheet.faults and not sheet.sections_by_name:
        return tuple(sheet.faults)
    reader = _SheetReader(sheet)
    configuration = reader.build()
    faults = sheet.faults + reader.cells.faults
    if faults:
        return tuple(sorted(faults, key=_fault_sort_key))
    return document.assign_version(configuration, version=0)


def _fault_sort_key(fault: SheetFault) -> tuple[int, int, str]:
    return (fault.line, fault.column, fault.text)


class _SheetReader:
    """Reads one sheet, section by section."""

    def __init__(self, sheet: SplitSheet) -> None:
        self.cells = CellReader()
        self._sheet = sheet

    def build(self) -> Configuration:
        """Return the configuration, which is valid only without faults."""
        self._check_section_names()
        zones = self._read_zones(self._select_rows('zones'))
        accounts = self._read_accounts(self._select_rows('accounts'))
        pools = self._read_pools(self._select_rows('pools'))
        targets = self._read_targets(self._select_rows('targets'), pools)
        pipelines = sheet_pipelines.PipelineReader(
            self.cells, accounts, pools, targets
        ).read(
            self._select_rows('pipelines'),
            self._select_rows('stages'),
            self._select_rows('bindings'),
        )
        return Configuration(
            version=0,
            digest='',
            zones_by_name=zones,
            accounts_by_name=accounts,
            pools_by_name=pools,
            pipelines_by_name=pipelines,
            targets_by_pool=targets,
        )

    def _check_section_names(self) -> None:
        for name, section in self._sheet.sections_by_name.items():
            if name not in _RULES_BY_SECTION:
                known = ', '.join(_RULES_BY_SECTION)
                fault = f'[{name}] is not one of the sections {known}'
                self._add_fault_at(section.line, 1, fault)
        for name, rule in _RULES_BY_SECTION.items():
            if name in self._sheet.sections_by_name or rule.is_optional:
                continue
            self._add_fault_at(0, 0, f'[{name}] is missing')

    def _select_rows(self, name: str) -> Sequence[SheetRow]:
        """Return the unique rows of a section, none if a column is missing."""
        section = self._sheet.sections_by_name.get(name)
        if section is None or section.numbers_by_column is None:
            return ()
        rule = _RULES_BY_SECTION[name]
        if not section.rows and not rule.is_optional:
            fault = f'[{name}] has no rows'
            self._add_fault_at(section.line, 1, fault)
        if not self._check_header(section, rule):
            return ()
        return self._drop_duplicates(section.rows, rule)

    def _check_header(self, section: SheetSection, rule: _SectionRule) -> bool:
        """Return whether all required columns exist; report unknown ones."""
        numbers_by_column = section.numbers_by_column or {}
        for column, number in numbers_by_column.items():
            if column in rule.required or column in rule.optional:
                continue
            fault = f'[{section.name}] has no column {column!r}'
            self._add_fault_at(section.header_line, number, fault)
        is_complete = True
        for column in rule.required:
            if column in numbers_by_column:
                continue
            fault = f'[{section.name}] is missing the column {column!r}'
            self._add_fault_at(section.header_line, 0, fault)
            is_complete = False
        return is_complete

    def _add_fault_at(self, line: int, column: int, text: str) -> None:
        self.cells.faults.append(SheetFault(line, column, text))

    def _drop_duplicates(
        self, rows: Sequence[SheetRow], rule: _SectionRule
    ) -> Sequence[SheetRow]:
        lines_by_key: dict[tuple[str, ...], int] = {}
        unique_rows = []
        for row in rows:
            key = tuple(row.cells_by_column[column] for column in rule.key)
            first_line = lines_by_key.setdefault(key, row.line)
            if first_line == row.line:
                unique_rows.append(row)
                continue
            fault = f'{" ".join(key)!r} is already defined in line {first_line}'
            self.cells.add_fault(row, rule.key[-1], fault)
        return unique_rows

    def _read_zones(self, rows: Sequence[SheetRow]) -> dict[str, Zone]:
        zones_by_name = {}
        for row in rows:
            name = self.cells.read_name(row, 'name')
            state = self.cells.read_choice(row, 'state', ('in', 'out'))
            zones_by_name[name] = Zone(name, is_out=state == 'out')
        return zones_by_name

    def _read_accounts(self, rows: Sequence[SheetRow]) -> dict[str, Account]:
        accounts_by_name = {}
        cells = self.cells
        for row in rows:
            account = Account(
                name=cells.read_name(row, 'name'),
                credential_sha256=cells.read_sha256(row, 'credential_sha256'),
                weight=cells.read_integer(row, 'weight', 1, MAX_WEIGHT),
                rate_per_s=cells.read_rate(row, 'rate_per_s', MAX_RATE_PER_S),
                burst=cells.read_integer(row, 'burst', 1, MAX_COUNT),
                max_in_flight=cells.read_integer(
                    row, 'max_in_flight', 1, MAX_COUNT
                ),
                priority=cells.read_integer(row, 'priority', 0, MAX_PRIORITY),
            )
            accounts_by_name[account.name] = account
        return accounts_by_name

    def _read_pools(self, rows: Sequence[SheetRow]) -> dict[str, Pool]:
        pools_by_name = {}
        for row in rows:
            pool = self._read_pool(row)
            pools_by_name[pool.name] = pool
            if pool.cold_limit > pool.warm_limit:
                fault = 'it exceeds the warm limit'
                self.cells.add_fault(row, 'cold_limit', fault)
            if pool.idempotent_paths and pool.kind is PoolKind.MODEL:
                fault = 'only a pool of kind service can have paths'
                self.cells.add_fault(row, 'idempotent_paths', fault)
        return pools_by_name

    def _read_pool(self, row: SheetRow) -> Pool:
        cells = self.cells
        high = MAX_UPSTREAM_LIMIT
        kinds = tuple(kind.value for kind in PoolKind)
        name = cells.read_name(row, 'name')
        if name == defaults.ENTRY_POOL:
            cells.add_fault(row, 'name', 'the name is reserved by the system')
        return Pool(
            name=name,
            kind=PoolKind(cells.read_choice(row, 'kind', kinds)),
            cold_limit=cells.read_integer(row, 'cold_limit', 1, high),
            warm_limit=cells.read_integer(row, 'warm_limit', 1, high),
            checks_fencing=cells.read_boolean(row, 'checks_fencing'),
            reports_load=cells.read_boolean(row, 'reports_load'),
            idempotent_paths=cells.read_paths(row, 'idempotent_paths'),
        )

    def _read_targets(
        self, rows: Sequence[SheetRow], pools: dict[str, Pool]
    ) -> dict[str, tuple[ModelTarget, ...]]:
        targets_by_pool: dict[str, tuple[ModelTarget, ...]] = {}
        for row in rows:
            target = ModelTarget(
                pool=self.cells.read_name(row, 'pool'),
                model=self.cells.read_name(row, 'model'),
                version=self.cells.read_name(row, 'version'),
                adapters=self.cells.read_names(row, 'adapters'),
                role=self.cells.read_choice(row, 'role', ROLES),
            )
            pool = pools.get(target.pool)
            if pool is None or pool.kind is not PoolKind.MODEL:
                fault = f'{target.pool!r} is not a pool of kind model'
                self.cells.add_fault(row, 'pool', fault)
                continue
            others = targets_by_pool.get(target.pool, ())
            if others and others[0].role != target.role:
                fault = f'the pool already has the role {others[0].role!r}'
                self.cells.add_fault(row, 'role', fault)
            # Sorted by model, since the order of rows has no meaning.
            targets_by_pool[target.pool] = tuple(
                sorted((*others, target), key=_model_sort_key)
            )
        return targets_by_pool


def _model_sort_key(target: ModelTarget) -> str:
    return target.model
