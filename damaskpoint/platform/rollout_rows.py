"""Parses orders of rollouts, and encodes and parses the rows of their states.

Times in rows are the store's clock, which all instances can read.
"""

from __future__ import annotations

import json
from typing import Annotated, Final

import pydantic

from damaskpoint.errors import Code, Failure
from damaskpoint.platform import names
from damaskpoint.platform.store import RowChange
from damaskpoint.rollout.model import Order, Phase, RolloutState

_MS_PER_S: Final = 1000
_Count = Annotated[int, pydantic.Field(ge=0)]
# What the platform is told of each phase.
_STATES_BY_PHASE: Final = {
    Phase.WAITING: 'running',
    Phase.CANARY: 'running',
    Phase.SWITCHING: 'running',
    Phase.COMPLETED: 'completed',
    Phase.ROLLED_BACK: 'rolled_back',
}


class _OrderBody(pydantic.BaseModel):
    """Content of an order; unknown fields are ignored."""

    Service: str = pydantic.Field(min_length=1)
    To: str = pydantic.Field(min_length=1)
    DurationS: float = pydantic.Field(gt=0, allow_inf_nan=False)


class _StateBody(pydantic.BaseModel):
    """Content of the row of a rollout's state."""

    order: _Count
    era: _Count
    to: str = pydantic.Field(min_length=1)
    from_version: str
    duration_ms: _Count
    phase: Phase
    started_ms: _Count
    phase_ms: _Count
    reason: str = ''


def read_order(content: bytes, number: int, era: int) -> Order | Failure:
    """Parse an order; fails with ``MESSAGE_MALFORMED``."""
    try:
        body = _OrderBody.model_validate_json(content)
    except pydantic.ValidationError as error:
        return Failure(Code.MESSAGE_MALFORMED, str(error))
    return Order(body.Service, body.To, body.DurationS, number, era)


def read_state(service: str, content: bytes) -> RolloutState | Failure:
    """Parse the row of a state; fails with ``MESSAGE_MALFORMED``."""
    try:
        body = _StateBody.model_validate_json(content)
    except pydantic.ValidationError as error:
        return Failure(Code.MESSAGE_MALFORMED, str(error))
    return RolloutState(
        Order(
            service,
            body.to,
            body.duration_ms / _MS_PER_S,
            body.order,
            body.era,
        ),
        body.from_version,
        body.phase,
        body.started_ms / _MS_PER_S,
        body.phase_ms / _MS_PER_S,
        body.reason,
    )


def encode_changes(
    state: RolloutState, expected_version: int
) -> tuple[RowChange, RowChange]:
    """Return the changes of one transaction: the state and the status."""
    order = state.order
    body = _StateBody(
        order=order.number,
        era=order.era,
        to=order.to_version,
        from_version=state.from_version,
        duration_ms=_to_ms(order.duration_s),
        phase=state.phase,
        started_ms=_to_ms(state.started_s),
        phase_ms=_to_ms(state.phase_s),
        reason=state.reason,
    )
    status = {'State': _STATES_BY_PHASE[state.phase], 'To': order.to_version}
    return (
        RowChange(
            names.TABLE_ROLLOUTS,
            order.service,
            expected_version,
            body.model_dump_json().encode(),
        ),
        RowChange(
            names.TABLE_STATUS,
            f'{names.KEY_PREFIX_ROLLOUT}{order.service}',
            None,
            json.dumps(status).encode(),
        ),
    )


def _to_ms(time_s: float) -> int:
    return max(0, round(time_s * _MS_PER_S))
