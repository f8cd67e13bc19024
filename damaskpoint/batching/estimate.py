"""How long a group of runners will take for new pieces."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final, final

if TYPE_CHECKING:
    from damaskpoint.catalog.model import BatchLimits

_HALF: Final = 0.5


@final
@dataclass(frozen=True, slots=True)
class GroupLoad:
    """What lies before new pieces at a group of runners."""

    limits: BatchLimits
    # Runners that are sound.
    runners: int
    # Pieces that admitted requests need before.
    ahead: int
    # How long calls take, as a multiple of what they should.
    pace: float


def estimate_end_s(load: GroupLoad, pieces: int, begin_s: float) -> float:
    """Return when pieces will be made that can begin at ``begin_s``.

    Both times are seconds from now. The pieces are made once a runner is
    free after they can begin, but not before all pieces ahead of them.
    """
    limits = load.limits
    servers = load.runners * limits.max_concurrent_calls
    total = (load.ahead + pieces) / servers
    call_s = limits.estimate_call_s(min(limits.max_pieces, total))
    # Of the calls that are being worked on, one ends soon.
    wait_s = call_s * _HALF / servers if load.ahead else float(0)
    full_s = limits.estimate_call_s(limits.max_pieces)
    drain_s = total / limits.max_pieces * full_s
    return max(begin_s + (wait_s + call_s) * load.pace, drain_s * load.pace)
