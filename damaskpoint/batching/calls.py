"""A call of a runner with a batch of pieces: its times, and its log lines."""

from __future__ import annotations

import logging
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Final, final

from damaskpoint.batching import metrics

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from damaskpoint.batching.capacity import RunnerCapacity
    from damaskpoint.batching.model import (
        CallAnswer,
        PieceOutcome,
        RunnerLoad,
    )
    from damaskpoint.batching.waiting import Ticket
    from damaskpoint.catalog.model import Runner

_LOG: Final = logging.getLogger(__name__)
_MS: Final = 1000
# Pause after a runner had no room for any piece (seconds): results of a lost
# instance stay for seconds, other results for about a call.
_OUT_OF_MEMORY_PAUSE_S: Final = 0.1


@final
@dataclass(frozen=True, slots=True)
class Batch:
    """The pieces of a call that has begun."""

    tickets: tuple[Ticket, ...]
    began_at: float
    # Memory of the runner that was assumed to be free before the call.
    free_bytes: float
    # Longest time for which a piece was left for a runner of its own zone
    # (seconds).
    held_s: float


def count_made(outcomes: Iterable[PieceOutcome]) -> int:
    """Return how many pieces have a result."""
    return sum(outcome.handle is not None for outcome in outcomes)


def record_no_room(
    batch: Batch,
    outcomes: Sequence[PieceOutcome],
    capacity: RunnerCapacity,
    now: float,
) -> None:
    """Record that a runner had no room for all pieces of a call."""
    made_bytes = 0
    for ticket, outcome in zip(batch.tickets, outcomes, strict=True):
        if outcome.handle is not None:
            made_bytes += ticket.piece.result_bytes
    capacity.record_out_of_memory(batch.free_bytes, made_bytes, batch.began_at)
    if not made_bytes:
        capacity.pause(_OUT_OF_MEMORY_PAUSE_S, now)


def add_times(
    batch: Batch, outcomes: Sequence[PieceOutcome], now: float
) -> list[PieceOutcome]:
    """Return the outcomes of a call with the times of their pieces."""
    return [
        replace(
            outcome,
            waited_s=batch.began_at - ticket.added_at,
            called_s=now - batch.began_at,
        )
        for ticket, outcome in zip(batch.tickets, outcomes, strict=True)
    ]


def log_call(
    runner: Runner,
    batch: Batch,
    outcomes: Sequence[PieceOutcome],
    answer: CallAnswer,
    capacity: RunnerCapacity,
) -> None:
    """Log a call that a runner has answered."""
    missing = [item.reason.value for item in outcomes if item.reason]
    waits_s = sorted(outcome.waited_s for outcome in outcomes)
    _LOG.info(
        'batch completed',
        extra={
            'runner': runner.name,
            'requests': list_requests(batch.tickets),
            'pieces': len(batch.tickets),
            'not_made': missing,
            'took_ms': round(outcomes[0].called_s * _MS),
            'nominal_ms': round(capacity.nominal_call_s(len(outcomes)) * _MS),
            'connect_ms': round(answer.connected_s * _MS),
            'sent_bytes': answer.sent_bytes,
            'waited_ms': round(waits_s[len(waits_s) // 2] * _MS),
            'max_waited_ms': round(waits_s[-1] * _MS),
            'held_ms': round(batch.held_s * _MS),
            'pace': round(capacity.pace, 2),
            'used_bytes': round(capacity.used_bytes),
        },
    )


def log_full(
    runner: Runner, tickets: Sequence[Ticket], load: RunnerLoad | None
) -> None:
    """Log and count a call that found its runner full."""
    metrics.FULL_RUNNERS.inc({'service': runner.service})
    _LOG.info(
        'runner full',
        extra={
            'runner': runner.name,
            'requests': list_requests(tickets),
            'pieces': len(tickets),
            'running': None if load is None else load.running,
            'waiting_calls': None if load is None else load.waiting,
        },
    )


def list_requests(tickets: Iterable[Ticket]) -> list[str]:
    """Return the IDs of the requests of pieces."""
    return sorted({ticket.piece.request_id for ticket in tickets})
