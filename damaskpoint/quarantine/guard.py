"""Finds the prompt part that crashes runners, and refuses it for a time.

A runner that crashes breaks all of its runs; the one that caused it had begun
its answer and has no event yet. A part is put in quarantine once enough
consecutive runs with it have broken that way, on any instances, none with it
has succeeded meanwhile, and runs without it succeed. Parts that nothing has
told apart yet are put in quarantine together: only prompts with all of them are
refused, until a run with some of them succeeds.
"""

from __future__ import annotations

import logging
import math
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final, final

from damaskpoint import defaults
from damaskpoint.errors import Code, Failure
from damaskpoint.membership.facts import Mark, MarkKind, RunCountFact
from damaskpoint.observe.state import StateSource
from damaskpoint.quarantine import metrics
from damaskpoint.quarantine.causes import (
    MIN_FAILURES,
    choose_causes,
    create_key,
    split_key,
)
from damaskpoint.quarantine.model import (
    OUTCOME_KEEP_S,
    Quarantine,
    Suspicion,
)
from damaskpoint.quarantine.outcomes import RunOutcomes
from damaskpoint.quarantine.quarantines import QuarantineTable
from damaskpoint.quarantine.suspicions import SuspicionTable

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from damaskpoint.forwarding.metadata import RequestMetadata
    from damaskpoint.membership.facts import PeerFact

    # Sends a mark to all peers: kind, subject, incarnation and sequence.
    PublishMark = Callable[[MarkKind, str, int, int], None]

_LOG: Final = logging.getLogger(__name__)
# A part is the cause if so many consecutive failures would be less likely than
# this by the failure rate of the runs without it.
_SIGNIFICANCE: Final = 0.001
# Separates the service and the parts in the subject of a mark.
_SEPARATOR: Final = '\n'
# Failures of one request that count: a part must fail in several requests.
_COUNTED_PER_REQUEST: Final = 2
# How long before a quarantine a success may have been that its instance did not
# know of (seconds): the delay of a mark.
_MARK_DELAY_S: Final = 1.0


@final
@dataclass(frozen=True, slots=True)
class PromptRun:
    """A send of a request, with what was known of its parts at that time."""

    service: str
    suspicions_by_part: Mapping[str, Suspicion]
    # Whether a failure counts against the parts.
    is_counted: bool

    @property
    def part_ids(self) -> tuple[str, ...]:
        """Return the parts that other requests can have too, in order."""
        return tuple(self.suspicions_by_part)


@final
class PromptGuard(StateSource):
    """Tracks the parts of prompts; times are monotonic seconds."""

    def __init__(self, publish: PublishMark) -> None:
        """Send what peers must know with ``publish``."""
        self._publish = publish
        self._suspicions = SuspicionTable()
        self._outcomes_by_service: dict[str, RunOutcomes] = {}
        self._quarantines = QuarantineTable()

    # Queries.

    def check(self, metadata: RequestMetadata, now: float) -> Failure | None:
        """Return why a request must not be sent, or None.

        The failure has no Retry-After: a caller cannot wait that long.
        """
        for key in self._quarantines.list_covering(metadata.shared_part_ids):
            left_s = self._quarantines.left_s(key, now)
            if left_s <= 0:
                continue
            return Failure(
                Code.PROMPT_QUARANTINED,
                f'prompt part {key}: runners crash when they answer it;'
                f' refused for up to {math.ceil(left_s)} s',
            )
        return None

    @property
    def quarantines_by_key(self) -> Mapping[str, Quarantine]:
        """Return the newest quarantine of each set of parts."""
        return self._quarantines.quarantines_by_key

    def list_run_counts(self) -> list[RunCountFact]:
        """Return the runs of this instance that have begun, by service."""
        return [
            RunCountFact(service, outcomes.begun_here)
            for service, outcomes in self._outcomes_by_service.items()
            if outcomes.begun_here
        ]

    def dump_state(self, now: float) -> dict[str, object]:
        """Return the suspected parts and those in quarantine."""
        left_s_by_key: dict[str, float] = {}
        for key in self._quarantines.quarantines_by_key:
            left_s = self._quarantines.left_s(key, now)
            if left_s > 0:
                left_s_by_key[key] = round(left_s, 1)
        return {
            'quarantined_s_by_part': left_s_by_key,
            'failures_by_part': self._suspicions.list_suspected(now),
        }

    # Commands.

    def begin_run(
        self,
        service: str,
        metadata: RequestMetadata,
        earlier_failures: int,
        now: float,
    ) -> PromptRun:
        """Return a new send of a request that has failed so often before."""
        return PromptRun(
            service,
            {
                part_id: self._suspicions.find(part_id, now)
                for part_id in metadata.shared_part_ids
                if 0 < len(part_id) <= defaults.MAX_NAME_CHARACTERS
            },
            earlier_failures < _COUNTED_PER_REQUEST,
        )

    def record_begun(self, run: PromptRun, now: float) -> None:
        """Record a first event or a whole answer, which clears the parts."""
        self._outcomes(run.service).record_begun(run.part_ids, now)
        for part_id in run.part_ids:
            if self._suspicions.clear(part_id, now):
                self._publish_suspicion(part_id, now)
                _LOG.info('prompt part cleared', extra={'part': part_id})
        for key in self._quarantines.list_touching(run.part_ids):
            self._narrow(key, run.part_ids, now)

    def record_broken(self, run: PromptRun, now: float) -> None:
        """Record a run that broke after its head and before an event."""
        self._outcomes(run.service).record_broken(run.part_ids, now)
        self._publish_break(run)
        if not run.is_counted or not run.part_ids:
            return
        for part_id, seen in run.suspicions_by_part.items():
            if self._suspicions.record_failure(part_id, seen, now):
                self._publish_suspicion(part_id, now)
        failures_by_part = {
            known_id: self._suspicions.find(known_id, now).failures
            for known_id in run.part_ids
        }
        _LOG.info(
            'prompt parts suspected',
            extra={'failures_by_part': failures_by_part},
        )
        self._quarantine_cause(run, now)

    def apply_mark(self, mark: Mark, now: float) -> None:
        """Apply the suspicion or the quarantine that a peer has published."""
        if mark.kind is MarkKind.SUSPECTED_PART:
            suspicion = Suspicion(
                mark.incarnation, mark.sequence, mark.happened_at
            )
            is_new = self._suspicions.merge(mark.subject, suspicion, now)
            if is_new and not suspicion.failures:
                self._apply_success(mark.subject, mark.happened_at, now)
        elif mark.kind is MarkKind.QUARANTINED_PART:
            quarantine = Quarantine(
                mark.incarnation, bool(mark.sequence), mark.happened_at
            )
            self.apply_quarantine(mark.subject, quarantine, now)
        elif mark.kind is MarkKind.BROKEN_RUN:
            service, *part_ids = mark.subject.split(_SEPARATOR)
            self._outcomes(service).record_broken(tuple(part_ids), now)

    def record_peer_runs(
        self, peer: PeerFact, count: RunCountFact, now: float
    ) -> None:
        """Record how many runs a peer has begun at a service."""
        self._outcomes(count.service).record_peer(
            peer.name, peer.start, count.begun, now
        )

    def apply_quarantine(
        self, key: str, quarantine: Quarantine, now: float
    ) -> None:
        """Apply a quarantine that a peer has begun or lifted."""
        if self._quarantines.merge(key, quarantine, now):
            _log_quarantine(key, quarantine, now, 'peer')

    def expire(self, now: float) -> None:
        """Drop what is too old, and update the metrics."""
        self._suspicions.expire(now)
        self._quarantines.expire(now)
        for outcomes in self._outcomes_by_service.values():
            outcomes.expire(now)
        quarantined = [
            key
            for key in self._quarantines.quarantines_by_key
            if self._quarantines.left_s(key, now) > 0
        ]
        metrics.PARTS.set({'state': 'quarantined'}, len(quarantined))
        suspected = self._suspicions.list_suspected(now)
        metrics.PARTS.set({'state': 'suspected'}, len(suspected))

    def _quarantine_cause(self, run: PromptRun, now: float) -> None:
        """Put the parts in quarantine that explain the failures, if any."""
        covering = self._quarantines.list_covering(run.part_ids)
        on_trial = None
        for key in covering:
            if self._quarantines.left_s(key, now) > 0:
                # It explains the run, which was sent before.
                return
            if self._quarantines.is_on_trial(key, now):
                on_trial = key
        if on_trial is not None:
            # It had failed often enough before its quarantine.
            self._begin(run, on_trial, MIN_FAILURES, now - OUTCOME_KEEP_S, now)
            return
        failures_by_part = {
            part_id: self._suspicions.find(part_id, now).failures
            for part_id in run.part_ids
        }
        causes = choose_causes(failures_by_part)
        if not causes:
            return
        first = max(causes, key=lambda part_id: failures_by_part[part_id])
        self._begin(
            run,
            create_key(causes),
            failures_by_part[first],
            self._suspicions.suspected_since(first, now),
            now,
        )

    def _begin(
        self,
        run: PromptRun,
        key: str,
        failures: int,
        since: float,
        now: float,
    ) -> None:
        """Begin a quarantine if runs without its parts succeed."""
        outcomes = self._outcomes(run.service)
        rate = outcomes.estimate_failure_rate(split_key(key), since)
        if rate**failures >= _SIGNIFICANCE:
            _LOG.warning(
                'prompt part not quarantined, other runs fail or are missing',
                extra={
                    'part': key,
                    'failures': failures,
                    'other_failure_rate': round(rate, 3),
                },
            )
            return
        self._announce(key, self._quarantines.begin(key, now), now)

    def _apply_success(
        self, part_id: str, happened_at: float, now: float
    ) -> None:
        """Apply a success that a peer has seen to the quarantines."""
        for key in self._quarantines.list_touching((part_id,)):
            quarantine = self._quarantines.quarantines_by_key[key]
            if happened_at > quarantine.began_at - _MARK_DELAY_S:
                self._narrow(key, (part_id,), now)

    def _narrow(self, key: str, sound_ids: Iterable[str], now: float) -> None:
        """End a quarantine of parts of which some have not crashed a runner.

        The others are the cause. A quarantine that has ended stays on trial for
        them.
        """
        rest = split_key(key).difference(sound_ids)
        is_active = self._quarantines.left_s(key, now) > 0
        if rest and not is_active:
            return
        lifted = self._quarantines.lift(key, now)
        if lifted is None:
            return
        self._announce(key, lifted, now)
        rest_key = create_key(rest)
        if rest and not self._quarantines.left_s(rest_key, now):
            self._announce(
                rest_key, self._quarantines.begin(rest_key, now), now
            )

    def _outcomes(self, service: str) -> RunOutcomes:
        return self._outcomes_by_service.setdefault(service, RunOutcomes())

    def _publish_break(self, run: PromptRun) -> None:
        subject = _SEPARATOR.join((run.service, *run.part_ids))
        if len(subject) <= defaults.MAX_NAME_CHARACTERS:
            self._publish(MarkKind.BROKEN_RUN, subject, 0, 0)

    def _publish_suspicion(self, part_id: str, now: float) -> None:
        suspicion = self._suspicions.find(part_id, now)
        self._publish(
            MarkKind.SUSPECTED_PART,
            part_id,
            suspicion.epoch,
            suspicion.failures,
        )

    def _announce(self, key: str, quarantine: Quarantine, now: float) -> None:
        """Publish and log a quarantine that begins or ends here."""
        self._publish(
            MarkKind.QUARANTINED_PART,
            key,
            quarantine.number,
            int(quarantine.is_lifted),
        )
        _log_quarantine(key, quarantine, now, 'own runs')


def _log_quarantine(
    key: str, quarantine: Quarantine, now: float, source: str
) -> None:
    _LOG.warning(
        'prompt part released'
        if quarantine.is_lifted
        else 'prompt part quarantined',
        extra={
            'part': key,
            'number': quarantine.number,
            'left_s': round(max(0, quarantine.left_s(now)), 1),
            'source': source,
        },
    )
