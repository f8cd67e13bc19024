"""Accepts a change and hands it to entries at once.

Entries find an accepted version by themselves; but if the platform goes
down right behind the acceptance, before any entry has read the row, nobody
would know of it. So the tool hands the version to a few entries itself, and
gossip takes it to the others.
"""

from __future__ import annotations

import asyncio
import random
import uuid
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final, final

from damaskpoint.config import document
from damaskpoint.errors import Failure
from damaskpoint.sheet_tool.acceptance import Accepted, Overtaken
from damaskpoint.sheet_tool.waiting import choose_entries
from damaskpoint.wire.encoded_configuration import EncodedConfiguration

if TYPE_CHECKING:
    from damaskpoint.config.model import Configuration
    from damaskpoint.platform.base import ListedInstance
    from damaskpoint.sheet_tool.patience import Patience
    from damaskpoint.sheet_tool.tool import Tool

_MAX_HANDED: Final = 8


@final
@dataclass(frozen=True, slots=True)
class Spread:
    """A version that was accepted, and who has it from the tool."""

    version: int
    # Live entries that were listed before the acceptance, and how many of
    # those that it was handed to have it in force.
    listed_count: int
    held_count: int


async def accept_and_spread(
    tool: Tool, base: Accepted, configuration: Configuration, patience: Patience
) -> Spread | Overtaken | Failure:
    """Accept a configuration on top of a base, then hand it to entries."""
    # Read before: afterwards the platform may be gone.
    listed = await tool.instances.fetch()
    entries = [] if isinstance(listed, Failure) else choose_entries(listed)
    sent_at = tool.clock()
    outcome = await tool.acceptor.accept(
        base, configuration, uuid.uuid4().hex, patience
    )
    if isinstance(outcome, (Failure, Overtaken)):
        return outcome
    held = EncodedConfiguration(
        outcome.version, configuration.digest, document.pack(configuration)
    )
    held_count = await _hand_over(tool, entries, held, sent_at)
    return Spread(outcome.version, len(entries), held_count)


async def _hand_over(
    tool: Tool,
    entries: list[ListedInstance],
    held: EncodedConfiguration,
    sent_at: float,
) -> int:
    chosen = random.sample(entries, min(len(entries), _MAX_HANDED))
    age_s = tool.clock() - sent_at
    answers = await asyncio.gather(
        *(tool.probe.hand_over(entry, held, age_s) for entry in chosen)
    )
    return answers.count(None)
