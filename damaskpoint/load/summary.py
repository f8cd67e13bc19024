"""Sums up what callers saw: attainment, times and refusals."""

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
_LONGEST_S: Final = 600
_LONGEST_US: Final = _LONGEST_S * _US_PER_S
_DIGITS: Final = 3
_PERCENTILES: Final = (50.0, 95.0, 99.0)


@final
@dataclass(frozen=True, slots=True)
class SecondCounts:
    """The requests that were due in one second of the run."""

    at_s: int
    offered: int
    whole: int


def summarize(samples: Iterable[Sample]) -> dict[str, object]:
    """Return the figures of a run as plain JSON data."""
    gathered = list(samples)
    return {
        'offered': len(gathered),
        'attainment': _attainment(gathered),
        'verdicts': _count_verdicts(gathered),
        'codes': _count_codes(gathered),
        'attainment_by_account': _attainment_by(
            gathered, lambda sample: sample.planned.account.name
        ),
        'attainment_by_target': _attainment_by(
            gathered, lambda sample: sample.planned.source.target
        ),
        'whole_ms': _percentiles(
            sample.duration_s
            for sample in gathered
            if sample.verdict is Verdict.WHOLE
        ),
        'refusal_ms': _percentiles(
            sample.duration_s
            for sample in gathered
            if sample.verdict is Verdict.REFUSED
        ),
        'first_token_ms': _percentiles(
            sample.first_token_s
            for sample in gathered
            if sample.first_token_s is not None
        ),
        'token_gap_ms': _percentiles(
            sample.token_gap_s
            for sample in gathered
            if sample.token_gap_s is not None
        ),
        'useful_units_by_stage': _useful_units(gathered),
    }


def count_by_second(samples: Iterable[Sample]) -> tuple[SecondCounts, ...]:
    """Return offered and whole requests by the second they were due."""
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


def _attainment(samples: list[Sample]) -> float:
    if not samples:
        return 0
    whole = 0
    for sample in samples:
        if sample.verdict is Verdict.WHOLE:
            whole += 1
    return round(whole / len(samples), 4)


def _attainment_by(
    samples: list[Sample], key: collections.abc.Callable[[Sample], str]
) -> dict[str, float]:
    grouped: dict[str, list[Sample]] = collections.defaultdict(list)
    for sample in samples:
        grouped[key(sample)].append(sample)
    return {name: _attainment(grouped[name]) for name in sorted(grouped)}


def _count_verdicts(samples: list[Sample]) -> dict[str, int]:
    counted = collections.Counter(sample.verdict for sample in samples)
    return {verdict.value: counted[verdict] for verdict in Verdict}


def _count_codes(samples: list[Sample]) -> dict[str, int]:
    counted = collections.Counter(
        sample.code for sample in samples if sample.code
    )
    return dict(counted.most_common())


def _percentiles(
    durations: Iterable[float | None],
) -> dict[str, float]:
    """Return percentiles in milliseconds, by name."""
    histogram = HdrHistogram(1, _LONGEST_US, _DIGITS)
    for duration_s in durations:
        histogram.record_value(max(1, int((duration_s or 0) * _US_PER_S)))
    percentiles: dict[str, float] = {}
    if not histogram.get_total_count():
        return percentiles
    for percentile in _PERCENTILES:
        value_us = histogram.get_value_at_percentile(percentile)
        percentiles[f'p{percentile:.0f}'] = round(value_us / _US_PER_MS, 1)
    return percentiles


def _useful_units(samples: list[Sample]) -> dict[str, int]:
    """Count the units behind answers that came whole and in time."""
    units: collections.Counter[str] = collections.Counter()
    for sample in samples:
        if sample.verdict is not Verdict.WHOLE:
            continue
        for stage in sample.stages:
            units[stage.name] += stage.units
    return dict(units)
