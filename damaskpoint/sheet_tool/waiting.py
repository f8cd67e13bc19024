"""Waits until every live entry has a version in force."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING, final

from damaskpoint import defaults
from damaskpoint.errors import Failure
from damaskpoint.platform.base import ListedInstance, Presence
from damaskpoint.sheet_tool.probe import EntryVersion

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from damaskpoint.sheet_tool.patience import Patience
    from damaskpoint.sheet_tool.tool import Tool


@final
@dataclass(frozen=True, slots=True)
class EntryAnswer:
    """What one listed entry said, or why it said nothing."""

    entry: ListedInstance
    answer: EntryVersion | Failure

    def has_version(self, version: int) -> bool:
        """Return whether the entry has this version or a later one."""
        return (
            isinstance(self.answer, EntryVersion)
            and self.answer.version >= version
        )


@final
@dataclass(frozen=True, slots=True)
class Progress:
    """How far a version has come over the live entries."""

    version: int
    answers: tuple[EntryAnswer, ...] = ()
    # Why the list of instances could not be read, if so.
    failure: Failure | None = None

    @property
    def in_force_count(self) -> int:
        """Return how many entries have the version in force."""
        return sum(answer.has_version(self.version) for answer in self.answers)

    @property
    def is_everywhere(self) -> bool:
        """Return whether the list was read and no entry lacks it."""
        return self.failure is None and self.in_force_count == len(self.answers)


async def wait_in_force(
    tool: Tool,
    version: int,
    patience: Patience,
    show: Callable[[Progress], None],
) -> Progress:
    """Ask until all live entries have the version, or time is up.

    The list of instances is read again each round: an entry that died
    leaves it, and one that started joins.
    """
    while True:
        progress = await ask_entries(tool, version)
        show(progress)
        if progress.is_everywhere or not await patience.wait():
            return progress


async def ask_entries(tool: Tool, version: int) -> Progress:
    """Return what every live entry of the list says, asked once."""
    listed = await tool.instances.fetch()
    if isinstance(listed, Failure):
        return Progress(version, failure=listed)
    entries = choose_entries(listed)
    answers = await asyncio.gather(*(tool.probe.ask(one) for one in entries))
    paired = []
    for entry, answer in zip(entries, answers, strict=True):
        paired.append(EntryAnswer(entry, answer))
    return Progress(version, tuple(paired))


def choose_entries(
    listed: Sequence[ListedInstance],
) -> list[ListedInstance]:
    """Return the live entries of a list of instances."""
    entries = []
    for instance in listed:
        if instance.pool != defaults.ENTRY_POOL:
            continue
        if instance.presence is Presence.LIVE:
            entries.append(instance)
    return entries
