"""Encodes calls to runners of stages and decodes their answers."""

from __future__ import annotations

import json
import math
from typing import TYPE_CHECKING, Any, Final

from damaskpoint.batching.model import PieceOutcome, PieceReason, RunnerLoad
from damaskpoint.errors import Code, Failure

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from damaskpoint.batching.model import Piece

_MS_PER_S: Final = 1000
_DECODE_ERRORS: Final = (ValueError, TypeError, KeyError, AttributeError)
_REASONS: Final = {
    'late': PieceReason.LATE,
    # An input of the piece no longer exists at the runner that made it.
    'gone': PieceReason.INPUT_GONE,
    # The runner has no memory for the result.
    'room': PieceReason.NO_ROOM,
    'error': PieceReason.FAILED,
}
_PERCENT: Final = 100
# Running and waiting calls and slots, and the slowness in percent, if given.
_LOAD_FIELDS: Final = (3, 4)


def encode_pieces(pieces: Iterable[Piece], now: float) -> bytes:
    """Return the body of a call that runs pieces; ``now`` is monotonic."""
    return json.dumps(
        {'Entries': [_encode_piece(piece, now) for piece in pieces]}
    ).encode()


def encode_release(handles: Sequence[str]) -> bytes:
    """Return the body of a call that releases results."""
    return json.dumps({'Handles': list(handles)}).encode()


def decode_outcomes(
    body: bytes, count: int, runner: str
) -> tuple[PieceOutcome, ...] | Failure:
    """Return one outcome per piece, in the order of the call.

    Fails with ``MESSAGE_MALFORMED`` unless there are ``count`` outcomes.
    """
    try:
        entries = json.loads(body)['Entries']
        outcomes = tuple(_decode_entry(entry, runner) for entry in entries)
    except _DECODE_ERRORS as error:
        return Failure(Code.MESSAGE_MALFORMED, f'pieces: {error!r}')
    if len(outcomes) != count:
        return Failure(Code.MESSAGE_MALFORMED, 'pieces: wrong number')
    return outcomes


def decode_load(text: str) -> RunnerLoad | None:
    """Return the load in a runner's header; None if absent or malformed."""
    fields = text.split(',')
    if len(fields) not in _LOAD_FIELDS:
        return None
    numbers = []
    for entry in fields:
        if not entry.strip().isdecimal():
            return None
        numbers.append(int(entry))
    slowness = numbers[3] / _PERCENT if len(numbers) > 3 else float(1)
    return RunnerLoad(numbers[0], numbers[1], numbers[2], slowness)


def _encode_piece(piece: Piece, now: float) -> dict[str, object]:
    entry: dict[str, object] = {
        'Id': piece.request_id,
        'Stage': piece.stage,
        'Piece': piece.index,
        'LeftMs': max(1, math.floor((piece.ends_at - now) * _MS_PER_S)),
    }
    if piece.inputs:
        entry['Inputs'] = list(piece.inputs)
    else:
        entry['Key'] = piece.key
    return entry


def _decode_entry(entry: Any, runner: str) -> PieceOutcome:
    handle = entry.get('Handle')
    if isinstance(handle, str):
        return PieceOutcome(handle, None, runner)
    return PieceOutcome(None, _REASONS.get(entry['Reason'], PieceReason.FAILED))
