"""Counters and histograms of forwarding."""

from __future__ import annotations

from typing import Final

from aioprometheus.collectors import Counter, Histogram

_BUCKETS: Final = [0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 20]

REQUESTS: Final = Counter(
    'damaskpoint_requests_total',
    "Callers' requests, by route and end.",
)
REQUEST_SECONDS: Final = Histogram(
    'damaskpoint_request_seconds',
    'Time from the head of a request to the end of its answer, by route.',
    buckets=_BUCKETS,
)
FIRST_EVENT_SECONDS: Final = Histogram(
    'damaskpoint_first_event_seconds',
    'Time from the head of a request to the first bytes of its answer.',
    buckets=_BUCKETS,
)
STAGES_SECONDS: Final = Histogram(
    'damaskpoint_request_stages_seconds',
    'Time that the stages of a request took, by route.',
    buckets=_BUCKETS,
)
SENDS: Final = Counter(
    'damaskpoint_sends_total',
    'Requests sent to runners, by service and end.',
)
RUNNER_ANSWERS: Final = Counter(
    'damaskpoint_runner_answers_total',
    'Answers of runners, by service, framing of the body and its ending.',
)
RUNS_BROKEN: Final = Counter(
    'damaskpoint_runs_broken_total',
    'Sends whose connection broke, by service and how far the answer had come:'
    ' none, head or events.',
)
PROMPT_CHOICES: Final = Counter(
    'damaskpoint_prompt_choices_total',
    'Runners chosen for a prompt, by service and zone: home, where the prompt'
    ' probably is in a cache, or other.',
)
