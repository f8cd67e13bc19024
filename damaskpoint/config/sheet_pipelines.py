"""Reads the pipelines of a sheet with their stages and client accounts."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, final

from damaskpoint import defaults
from damaskpoint.config.model import Pipeline, PoolKind, Stage, StageKind

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from damaskpoint.config.model import Account, ModelTarget, Pool
    from damaskpoint.config.sheet_cells import CellReader
    from damaskpoint.config.sheet_text import SheetRow

MIN_STAGES: Final = 3
MAX_STAGES: Final = 6
# Role of engines that can run every kind of stage.
ANY_ROLE: Final = 'any'


@final
class PipelineReader:
    """Reads pipelines and checks their references to the rest of the sheet."""

    def __init__(
        self,
        cells: CellReader,
        accounts: Mapping[str, Account],
        pools: Mapping[str, Pool],
        targets: Mapping[str, tuple[ModelTarget, ...]],
    ) -> None:
        """Use these entries, which stages and bindings may refer to."""
        self._cells = cells
        self._accounts = accounts
        self._pools = pools
        self._targets = targets

    def read(
        self,
        pipeline_rows: Sequence[SheetRow],
        stage_rows: Sequence[SheetRow],
        binding_rows: Sequence[SheetRow],
    ) -> dict[str, Pipeline]:
        """Return the pipelines by name; add faults to the cell reader."""
        names = {row.cells_by_column['name'] for row in pipeline_rows}
        stages = self._read_stages(stage_rows, names)
        accounts = self._read_bindings(binding_rows, names)
        pipelines_by_name = {}
        for row in pipeline_rows:
            name = self._cells.read_name(row, 'name')
            deadline_ms = self._cells.read_integer(
                row, 'deadline_ms', 1, defaults.MAX_DEADLINE_MS
            )
            sorted_stages = self._sort_stages(row, stages.get(name, {}))
            pipelines_by_name[name] = Pipeline(
                name=name,
                stages=sorted_stages,
                deadline_ms=deadline_ms,
                accounts=frozenset(accounts.get(name, ())),
            )
        return pipelines_by_name

    def _sort_stages(
        self, row: SheetRow, stages_by_position: Mapping[int, Stage]
    ) -> tuple[Stage, ...]:
        count = len(stages_by_position)
        if not MIN_STAGES <= count <= MAX_STAGES:
            fault = f'{count} stages; {MIN_STAGES} to {MAX_STAGES} are required'
            self._cells.add_fault(row, 'name', fault)
        positions = sorted(stages_by_position)
        if positions != list(range(1, count + 1)):
            fault = f'the positions of its stages are not 1 to {count}'
            self._cells.add_fault(row, 'name', fault)
        return tuple(stages_by_position[position] for position in positions)

    def _read_stages(
        self, rows: Sequence[SheetRow], pipelines: set[str]
    ) -> dict[str, dict[int, Stage]]:
        stages_by_pipeline: dict[str, dict[int, Stage]] = {}
        names: set[tuple[str, str]] = set()
        for row in rows:
            pipeline = self._cells.read_name(row, 'pipeline')
            if pipeline not in pipelines:
                fault = f'{pipeline!r} is not a pipeline'
                self._cells.add_fault(row, 'pipeline', fault)
            position = self._cells.read_integer(row, 'position', 1, MAX_STAGES)
            stage = self._read_stage(row)
            if (pipeline, stage.name) in names:
                fault = f'{stage.name!r} is repeated in {pipeline!r}'
                self._cells.add_fault(row, 'name', fault)
            names.add((pipeline, stage.name))
            stages = stages_by_pipeline.setdefault(pipeline, {})
            # Different spellings of one number, such as 1 and 01, pass the
            # check for duplicate rows.
            if position in stages:
                self._cells.add_fault(
                    row, 'position', 'the position is repeated'
                )
            stages[position] = stage
        return stages_by_pipeline

    def _read_stage(self, row: SheetRow) -> Stage:
        kinds = tuple(kind.value for kind in StageKind)
        stage = Stage(
            name=self._cells.read_name(row, 'name'),
            kind=StageKind(self._cells.read_choice(row, 'kind', kinds)),
            pool=self._cells.read_name(row, 'pool'),
            model=self._cells.read_name(row, 'model'),
            adapter=self._cells.read_optional_name(row, 'adapter'),
            has_side_effect=self._cells.read_boolean(row, 'has_side_effect'),
        )
        pool = self._pools.get(stage.pool)
        if pool is None or pool.kind is not PoolKind.MODEL:
            fault = f'{stage.pool!r} is not a pool of kind model'
            self._cells.add_fault(row, 'pool', fault)
            return stage
        self._check_model(row, stage)
        return stage

    def _check_model(self, row: SheetRow, stage: Stage) -> None:
        for target in self._targets.get(stage.pool, ()):
            if target.model != stage.model:
                continue
            if target.role not in {ANY_ROLE, stage.kind.value}:
                fault = f'the engines of {stage.pool!r} only run {target.role}'
                self._cells.add_fault(row, 'kind', fault)
            if stage.adapter and stage.adapter not in target.adapters:
                fault = (
                    f'no target of {stage.pool!r} has the adapter '
                    f'{stage.adapter!r}'
                )
                self._cells.add_fault(row, 'adapter', fault)
            return
        fault = f'no target of {stage.pool!r} has the model {stage.model!r}'
        self._cells.add_fault(row, 'model', fault)

    def _read_bindings(
        self, rows: Sequence[SheetRow], pipelines: set[str]
    ) -> dict[str, list[str]]:
        accounts_by_pipeline: dict[str, list[str]] = {}
        for row in rows:
            pipeline = self._cells.read_name(row, 'pipeline')
            account = self._cells.read_name(row, 'account')
            if pipeline not in pipelines:
                fault = f'{pipeline!r} is not a pipeline'
                self._cells.add_fault(row, 'pipeline', fault)
            if account not in self._accounts:
                fault = f'{account!r} is not a client account'
                self._cells.add_fault(row, 'account', fault)
            accounts_by_pipeline.setdefault(pipeline, []).append(account)
        return accounts_by_pipeline
