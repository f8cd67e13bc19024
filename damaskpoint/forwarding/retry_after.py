"""Computes when callers of refused requests should try again."""

from __future__ import annotations

from typing import Final

import xxhash

# Shortest ``Retry-After`` when the stages are busy (seconds), as a burst of
# requests lasts at least that long, and its upper bound as a share of the
# time left.
_MIN_BUSY_S: Final = 1.0
_MAX_LEFT_SHARE: Final = 0.33
# Range of the factor by which it differs from request to request, so that the
# callers that were refused in a burst do not return together.
_LEAST_FACTOR: Final = 0.75
_FACTOR_RANGE: Final = 0.5
_DIGESTS: Final = 4_294_967_296


def compute_busy_s(request_id: str, late_s: float, left_s: float) -> float:
    """Return the ``Retry-After`` of a refusal as the stages are busy (seconds).

    The request would miss its objective by ``late_s``, and its caller waits
    for another ``left_s``.
    """
    usual_s = min(left_s * _MAX_LEFT_SHARE, max(_MIN_BUSY_S, 2 * late_s))
    share = xxhash.xxh32_intdigest(request_id.encode()) / _DIGESTS
    return usual_s * (_LEAST_FACTOR + _FACTOR_RANGE * share)
