"""Summarizes samples: attainment, latency percentiles and refusals."""

from __future__ import annotations

import collections
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final, final

from hdrh.histogram import HdrHistogram

from damaskpoint.load.model import Verdict

if TYPE_CHECKING:
    from collections.abc import Iterable

    from damaskpoint.load.model import Sample

_US_PER_S: Final = 1_000_000
_US_PER_MS: Final = 1_000
_MAX_DURATION_S: Final = 600
_MAX_DURATION_US: Final = _MAX_DURATION_S * _US_PER_S
_SIGNIFICANT_DIGITS: Final = 3
_PERCENTILES: Final = (50.0, 95.0, 99.0)


@final
@dataclass(frozen=True, slots=True)
class SecondCounts:
    """The requests planned for one second of the run."""

    at_s: int
    offered: int
    whole: int


def summarize(samples: Iterable[Sample]) -> dict[str, object]:
    """Return the figures of a run as JSON-serializable data."""
    collected = list(samples)
    return {
        'offered': len(collected),
        'attainment': _compute_attainment(collected),
        'verdicts': _count_verdicts(collected),
        'codes': _count_codes(collected),
        'attainment_by_account': _compute_attainment_by(
            collected, lambda sample: sample.planned.account.name
        ),
        'attainment_by_target': _compute_attainment_by(
            collected, lambda sample: sample.planned.traffic_class.target
        ),
        'whole_ms': _compute_percentiles_ms(
            sample.duration_s
            for sample in collected
            if sample.verdict is Verdict.WHOLE
        ),
        'refusal_ms': _compute_percentiles_ms(
            sample.duration_s
            for sample in collected
            if sample.verdict is Verdict.REFUSED
        ),
        'first_token_ms': _compute_percentiles_ms(
            sample.first_token_s
            for sample in collected
            if sample.first_token_s is not None
        ),
        'token_gap_ms': _compute_percentiles_ms(
            sample.token_gap_s
            for sample in collected
            if sample.token_gap_s is not None
        ),
        'useful_units_by_stage': _count_useful_units(collected),
    }


def count_by_second(samples: Iterable[Sample]) -> tuple[SecondCounts, ...]:
    """Return offered and whole requests per second of planned time."""
    offered: collections.Counter[int] = collections.Counter()
    whole: collections.Counter[int] = collections.Counter()
    for sample in samples:
        at_s = int(sample.planned.at_s)
        offered[at_s] += 1
        if sample.verdict is Verdict.WHOLE:
            whole[at_s] += 1
    seconds: list[SecondCounts] = []
    for at_s in sorted(offered):
        seconds.append(SecondCounts(at_s, offered[at_s], whole[at_s]))
    return tuple(seconds)


def _compute_attainment(samples: list[Sample]) -> float:
    if not samples:
        return 0
    whole = 0
    for sample in samples:
        if sample.verdict is Verdict.WHOLE:
            whole += 1
    return round(whole / len(samples), 4)


def _compute_attainment_by(
    samples: list[Sample], key: collections.abc.Callable[[Sample], str]
) -> dict[str, float]:
    grouped: dict[str, list[Sample]] = collections.defaultdict(list)
    for sample in samples:
        grouped[key(sample)].append(sample)
    return {
        name: _compute_attainment(grouped[name]) for name in sorted(grouped)
    }


def _count_verdicts(samples: list[Sample]) -> dict[str, int]:
    counts = collections.Counter(sample.verdict for sample in samples)
    return {verdict.value: counts[verdict] for verdict in Verdict}


def _count_codes(samples: list[Sample]) -> dict[str, int]:
    counts = collections.Counter(
        sample.code for sample in samples if sample.code
    )
    return dict(counts.most_common())


def _compute_percentiles_ms(
    durations: Iterable[float | None],
) -> dict[str, float]:
    """Return percentiles in milliseconds by name, such as ``p99``."""
    histogram = HdrHistogram(1, _MAX_DURATION_US, _SIGNIFICANT_DIGITS)
    for duration_s in durations:
        histogram.record_value(max(1, int((duration_s or 0) * _US_PER_S)))
    percentiles: dict[str, float] = {}
    if not histogram.get_total_count():
        return percentiles
    for percentile in _PERCENTILES:
        value_us = histogram.get_value_at_percentile(percentile)
        percentiles[f'p{percentile:.0f}'] = round(value_us / _US_PER_MS, 1)
    return percentiles


def _count_useful_units(samples: list[Sample]) -> dict[str, int]:
    """Return the units by stage that whole, timely answers used."""
    units: collections.Counter[str] = collections.Counter()
    for sample in samples:
        if sample.verdict is not Verdict.WHOLE:
            continue
        for stage in sample.stages:
            units[stage.name] += stage.units
    return dict(units)
