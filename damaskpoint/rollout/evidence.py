"""Evidence on a version: counts of responses, and the test that decides."""

from __future__ import annotations

import math
import statistics
from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final, final

if TYPE_CHECKING:
    from collections.abc import Mapping

    # When a response ended, and how long it took.
    _Times = deque[tuple[float, float]]

# Score at which a version is bad: an excursion of the score of a good version
# reaches it with a chance of about e^-14.
_THRESHOLD: Final = 14.0
# The rate of bad responses that is taken for the old version, from its counts:
# floor and weight of the prior.
_RATE_FLOOR: Final = 0.01
_PRIOR_RESPONSES: Final = 40.0
_MAX_OLD_RATE: Final = 0.8
# The alternative: this multiple of the old version's rate plus an addition.
_ALTERNATIVE_FACTOR: Final = 2.0
_ALTERNATIVE_ADDITION: Final = 0.12
_MAX_ALTERNATIVE: Final = 0.97
# The old version's counts of the last seconds are compared with; of more
# seconds if there are few.
_BASELINE_S: Final = 4.0
_BASELINE_RESPONSES: Final = 60
# A fault of a zone shows in all its routes within this time; the weight of the
# prior on its rate.
_PRESENT_S: Final = 1.2
_PRESENT_PRIOR: Final = 10.0
_PRESENT_PRIOR_BAD: Final = 0.2
# Rate of a zone's old version from which on nothing is concluded there: work
# then moves between its runners, and canaries cannot.
_DISTURBED_RATE: Final = 0.2
_MAX_BASELINE_STEPS: Final = 600
# Breaks after which nothing came from the runner that count at once, over all
# instances, and their rate: a crash breaks all connections to a runner.
_BREAK_BURST: Final = 2.0
_BREAKS_PER_S: Final = 1.5
# A response is slow if it takes this multiple of the old version's median on
# the same route and in the same zone, in the last seconds.
_SLOW_FACTOR: Final = 2.5
_TIMES_WINDOW_S: Final = 8.0
_MIN_TIMES: Final = 8
_MAX_TIMES: Final = 150
_MEDIAN_KEEP_S: Final = 0.25
_SEPARATOR: Final = '\n'


@final
@dataclass(slots=True)
class Counts:
    """Responses of one route and zone since a start; they only grow."""

    old: int = 0
    old_bad: int = 0
    new: int = 0
    new_bad: int = 0
    # Broken connections to runners that then were silent, which are in none of
    # the other counts.
    new_broken: int = 0

    def add(self, other: Counts) -> None:
        """Add the responses of another process."""
        self.old += other.old
        self.old_bad += other.old_bad
        self.new += other.new
        self.new_bad += other.new_bad
        self.new_broken += other.new_broken

    def raise_to(self, other: Counts) -> Counts:
        """Apply a message of the same process, which may be an older one.

        Returns the responses that were not known.
        """
        step = Counts(
            max(0, other.old - self.old),
            max(0, other.old_bad - self.old_bad),
            max(0, other.new - self.new),
            max(0, other.new_bad - self.new_bad),
            max(0, other.new_broken - self.new_broken),
        )
        self.add(step)
        return step


def create_key(route: str, zone: str) -> str:
    """Return the key of the counts of a route and a runner's zone.

    Versions are compared within a zone, so that a slow zone is not blamed on
    the version whose few runners are in it.
    """
    return f'{route}{_SEPARATOR}{zone}'


def _find_zone_key(key: str) -> str:
    """Return the key of all routes of a zone."""
    return _SEPARATOR + key.partition(_SEPARATOR)[2]


def _create_times() -> _Times:
    return deque(maxlen=_MAX_TIMES)


def find_route(key: str) -> str:
    """Return the route of a key."""
    return key.partition(_SEPARATOR)[0]


@final
class OldTimes:
    """Times of the old version, by route and zone; judges new ones."""

    def __init__(self) -> None:
        """Start without times."""
        self._times_by_key: dict[str, _Times] = {}
        self._medians_by_key: dict[str, tuple[float, float | None]] = {}

    def record(self, key: str, took_s: float, now: float) -> None:
        """Record a good response of the old version."""
        for name in (key, find_route(key)):
            times = self._times_by_key.setdefault(name, _create_times())
            times.append((now, took_s))

    def is_slow(self, key: str, took_s: float, now: float) -> bool:
        """Return whether a response was several times slower than usual."""
        median_s = self._find_median_s(key, now)
        if median_s is None:
            median_s = self._find_median_s(find_route(key), now)
        if median_s is None:
            return False
        return took_s > _SLOW_FACTOR * median_s

    def _find_median_s(self, name: str, now: float) -> float | None:
        cached = self._medians_by_key.get(name)
        if cached is not None and now - cached[0] < _MEDIAN_KEEP_S:
            return cached[1]
        times = self._times_by_key.get(name, _create_times())
        recent: list[float] = []
        for at, took_s in reversed(times):
            if now - at > _TIMES_WINDOW_S and len(recent) >= _MIN_TIMES:
                break
            recent.append(took_s)
        median_s = None
        if len(recent) >= _MIN_TIMES:
            median_s = statistics.median(recent)
        self._medians_by_key[name] = (now, median_s)
        return median_s


@final
class _Baseline:
    """The old version's counts of the last seconds, for one key."""

    def __init__(self) -> None:
        self._steps: deque[tuple[float, int, int]] = deque(
            maxlen=_MAX_BASELINE_STEPS
        )

    @property
    def is_known(self) -> bool:
        return bool(self._steps)

    def add(self, old: int, old_bad: int, now: float) -> None:
        if old:
            self._steps.append((now, old, old_bad))

    def find_rate(self, now: float) -> float:
        """Return the rate of bad responses of the last seconds."""
        responses = 0
        bad = 0
        for at, old, old_bad in reversed(self._steps):
            if now - at > _BASELINE_S and responses >= _BASELINE_RESPONSES:
                break
            responses += old
            bad += old_bad
        return (bad + 1) / (responses + _PRIOR_RESPONSES) + _RATE_FLOOR

    def is_disturbed(self, now: float) -> bool:
        """Return whether the old version has a fault of its own."""
        rate = max(self.find_rate(now), self.find_present_rate(now))
        return rate > _DISTURBED_RATE

    def find_present_rate(self, now: float) -> float:
        """Return the rate of this second, which a fault has just raised."""
        responses = 0
        bad = 0
        for at, old, old_bad in reversed(self._steps):
            if now - at > _PRESENT_S:
                break
            responses += old
            bad += old_bad
        return (bad + _PRESENT_PRIOR_BAD) / (responses + _PRESENT_PRIOR)


@final
class SequentialTest:
    """CUSUM of log-likelihood ratios on one rollout; times are seconds."""

    def __init__(self) -> None:
        """Start without evidence."""
        self._seen_by_key: dict[str, Counts] = {}
        self._baselines_by_key: dict[str, _Baseline] = {}
        self._scores_by_route: dict[str, float] = {}
        self._total_score = float(0)
        self._break_tokens = _BREAK_BURST
        self._updated_at: float | None = None
        self.totals = Counts()

    @property
    def score(self) -> float:
        """Return the highest score."""
        return max((self._total_score, *self._scores_by_route.values()))

    def update(self, totals_by_key: Mapping[str, Counts], now: float) -> str:
        """Apply the present totals; return why the version is bad, or ''."""
        if self._updated_at is not None:
            self._break_tokens = min(
                _BREAK_BURST,
                self._break_tokens + (now - self._updated_at) * _BREAKS_PER_S,
            )
        self._updated_at = now
        for key, totals in totals_by_key.items():
            seen = self._seen_by_key.setdefault(key, Counts())
            step = seen.raise_to(totals)
            self.totals.add(step)
            self._apply(key, step, now)
            route = find_route(key)
            if self._scores_by_route[route] >= _THRESHOLD:
                return self._describe(f'route {route}')
        if self._total_score >= _THRESHOLD:
            return self._describe('all routes')
        return ''

    def _apply(self, key: str, step: Counts, now: float) -> None:
        route = find_route(key)
        self._scores_by_route.setdefault(route, float(0))
        for name in (key, route, _find_zone_key(key)):
            baseline = self._baselines_by_key.setdefault(name, _Baseline())
            baseline.add(step.old, step.old_bad, now)
        bad, good = self._weigh(step)
        if not bad and not good:
            return
        zone = self._baselines_by_key[_find_zone_key(key)]
        if zone.is_disturbed(now):
            return
        gain, loss = _compute_steps(self._find_old_rate(key, now))
        # Losses first: within a step the order of responses is not known, and
        # the reverse order would forget the bad ones.
        self._scores_by_route[route] = (
            max(0, self._scores_by_route[route] - good * loss) + bad * gain
        )
        self._total_score = max(0, self._total_score - good * loss) + bad * gain

    def _find_old_rate(self, key: str, now: float) -> float:
        """Return the old version's rate of bad responses at this time."""
        baseline = self._baselines_by_key[key]
        if not baseline.is_known:
            baseline = self._baselines_by_key[find_route(key)]
        in_zone = self._baselines_by_key[_find_zone_key(key)]
        return min(
            _MAX_OLD_RATE,
            max(baseline.find_rate(now), in_zone.find_present_rate(now)),
        )

    def _weigh(self, step: Counts) -> tuple[int, int]:
        """Return the bad and the good responses that count."""
        breaks = min(step.new_broken, int(self._break_tokens))
        self._break_tokens -= breaks
        good = max(0, step.new - step.new_bad)
        if breaks < step.new_broken:
            # Good responses do not outweigh breaks that are not counted.
            good = 0
        return step.new_bad + breaks, good

    def _describe(self, where: str) -> str:
        totals = self.totals
        bad = totals.new_bad + totals.new_broken
        return (
            f'{where}: score {self.score:.1f}, new version {bad} bad of '
            f'{totals.new + totals.new_broken}, old version '
            f'{totals.old_bad} bad of {totals.old}'
        )


def _compute_steps(old_rate: float) -> tuple[float, float]:
    """Return the gain of a bad response and the loss of a good one."""
    alternative = min(
        _MAX_ALTERNATIVE, _ALTERNATIVE_FACTOR * old_rate + _ALTERNATIVE_ADDITION
    )
    gain = math.log(alternative / old_rate)
    loss = math.log((1 - old_rate) / (1 - alternative))
    return gain, loss
