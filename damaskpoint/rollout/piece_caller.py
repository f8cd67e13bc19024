"""Records the calls of stage runners as evidence on their versions."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, final

from damaskpoint.batching.base import PieceCaller
from damaskpoint.batching.model import PieceReason
from damaskpoint.errors import Failure
from damaskpoint.rollout.model import Outcome
from damaskpoint.rollout.visits import classify

if TYPE_CHECKING:
    from collections.abc import Sequence

    from damaskpoint.batching.model import CallAnswer, Piece
    from damaskpoint.catalog.catalog import Catalog
    from damaskpoint.catalog.model import Runner
    from damaskpoint.rollout.gate import VersionGate


@final
class RecordingPieceCaller(PieceCaller):
    """Calls through another caller and records each call at the gate."""

    def __init__(
        self, caller: PieceCaller, gate: VersionGate, catalog: Catalog
    ) -> None:
        """Compare times with the expected ones of this catalog."""
        self._caller = caller
        self._gate = gate
        self._catalog = catalog

    async def run_pieces(
        self, runner: Runner, pieces: Sequence[Piece], timeout_s: float
    ) -> CallAnswer | Failure:
        """Return the runner's answer to a call."""
        began_at = time.monotonic()
        work = self._gate.work
        work.begin(runner.service, runner.version, is_repeatable=True)
        try:
            answer = await self._caller.run_pieces(runner, pieces, timeout_s)
        finally:
            now = time.monotonic()
            work.end(
                runner.service,
                runner.version,
                now - began_at,
                now,
                is_repeatable=True,
            )
        self._gate.record(
            runner,
            '',
            _classify(answer),
            (now - began_at) / self._expect_s(runner.service, len(pieces)),
            now,
        )
        return answer

    async def release(self, runner: Runner, handles: Sequence[str]) -> None:
        """Release results that are no longer needed at a runner."""
        await self._caller.release(runner, handles)

    def _expect_s(self, service_name: str, pieces: int) -> float:
        service = self._catalog.find_service(service_name)
        if service is None or service.batches is None:
            return 1
        return service.batches.estimate_call_s(pieces) or 1


def _classify(answer: CallAnswer | Failure) -> Outcome:
    if isinstance(answer, Failure):
        return classify(answer) or Outcome.NOT_RUN
    if answer.outcomes is None:
        return Outcome.NOT_RUN
    if any(item.reason is PieceReason.FAILED for item in answer.outcomes):
        return Outcome.FAILED
    return Outcome.GOOD
