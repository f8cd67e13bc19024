"""Accepts a change and immediately hands it over to entries.

Entries poll for accepted versions. If the platform went down right after the
acceptance, before any entry had read the row, no entry would learn of it. The
tool therefore sends the version to a few entries itself, and gossip spreads
it to the others.
"""

from __future__ import annotations

import asyncio
import random
import uuid
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final, final

from damaskpoint.config import document
from damaskpoint.errors import Failure
from damaskpoint.sheet_tool.acceptance import AcceptedState, Overtaken
from damaskpoint.sheet_tool.waiting import select_live_entries
from damaskpoint.wire.encoded_configuration import EncodedConfiguration

if TYPE_CHECKING:
    from damaskpoint.config.model import Configuration
    from damaskpoint.platform.base import ListedInstance
    from damaskpoint.sheet_tool.backoff import Backoff
    from damaskpoint.sheet_tool.tool import Tool

_MAX_HANDOVERS: Final = 8


@final
@dataclass(frozen=True, slots=True)
class Handover:
    """An accepted version and the number of entries that took it."""

    version: int
    # Live entries that were listed before the acceptance, and how many of
    # those called have put the version in force.
    listed_count: int
    delivered_count: int


async def accept_and_hand_over(
    tool: Tool,
    base: AcceptedState,
    configuration: Configuration,
    backoff: Backoff,
) -> Handover | Overtaken | Failure:
    """Accept a configuration on top of a base and hand it over."""
    # Read first, as the platform may be down after the acceptance.
    listed = await tool.instances.fetch()
    entries = [] if isinstance(listed, Failure) else select_live_entries(listed)
    sent_at = tool.clock()
    outcome = await tool.acceptor.accept(
        base, configuration, uuid.uuid4().hex, backoff
    )
    if isinstance(outcome, (Failure, Overtaken)):
        return outcome
    encoded = EncodedConfiguration(
        outcome.version, configuration.digest, document.pack(configuration)
    )
    delivered_count = await _hand_over(tool, entries, encoded, sent_at)
    return Handover(outcome.version, len(entries), delivered_count)


async def _hand_over(
    tool: Tool,
    entries: list[ListedInstance],
    encoded: EncodedConfiguration,
    sent_at: float,
) -> int:
    chosen = random.sample(entries, min(len(entries), _MAX_HANDOVERS))
    age_s = tool.clock() - sent_at
    failures = await asyncio.gather(
        *(tool.probe.hand_over(entry, encoded, age_s) for entry in chosen)
    )
    return failures.count(None)
