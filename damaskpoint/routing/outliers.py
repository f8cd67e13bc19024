"""Detects upstreams that are slow compared with the median of their pool."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

from damaskpoint import defaults
from damaskpoint.routing import metrics

if TYPE_CHECKING:
    from damaskpoint.routing.nodes import Node, PoolState


def review_outliers(pool_state: PoolState, node: Node, now: float) -> None:
    """Compare one upstream with the median, which is cached for a while.

    The share of outliers in a pool is bounded, so that a pool that is slow as
    a whole stays in use. An outlier gets little work, so its service time is
    decayed towards the median until it is tried again.
    """
    if now - pool_state.median_at >= defaults.MEDIAN_KEEP_S:
        pool_state.median_at = now
        pool_state.median_s = _find_median(pool_state)
    if not pool_state.median_s or not node.load.service_s:
        return
    bound_s = pool_state.median_s * defaults.OUTLIER_FACTOR
    if node.load.service_s <= bound_s:
        _clear_outlier(pool_state, node)
        return
    if node.load.is_outlier:
        return
    max_outliers = int(len(pool_state.nodes_by_name) * defaults.OUTLIER_SHARE)
    if pool_state.outliers >= max_outliers:
        return
    node.load.is_outlier = True
    pool_state.outliers += 1
    metrics.OUTLIERS.inc({'pool': pool_state.pool.name})


def decay_outlier(pool_state: PoolState, node: Node, now: float) -> None:
    """Move the service time of an outlier towards the median."""
    distance_s = node.load.service_s - pool_state.median_s
    node.load.service_s -= distance_s * defaults.OUTLIER_DECAY
    review_outliers(pool_state, node, now)


def _clear_outlier(pool_state: PoolState, node: Node) -> None:
    if not node.load.is_outlier:
        return
    node.load.is_outlier = False
    pool_state.outliers -= 1


def _find_median(pool_state: PoolState) -> float:
    """Return the median service time of a bounded sample; 0 without any."""
    times = []
    nodes = pool_state.nodes_by_name.values()
    for node in itertools.islice(nodes, defaults.MEDIAN_SAMPLE):
        if node.load.service_s:
            times.append(node.load.service_s)
    if not times:
        return 0
    times.sort()
    return times[len(times) // 2]
