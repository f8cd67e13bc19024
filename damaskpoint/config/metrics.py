"""Metrics of the configuration and its versions."""

from __future__ import annotations

from typing import Final

from aioprometheus.collectors import Counter, Gauge

VERSION: Final = Gauge(
    'damaskpoint_config_version', 'Version of the configuration in force.'
)
CLAIMS: Final = Counter(
    'damaskpoint_config_claims_total',
    'Claims of versions, by source and by what they meant.',
)
FETCHES: Final = Counter(
    'damaskpoint_config_fetches_total',
    'Fetches of a configuration, by source and how they ended.',
)
