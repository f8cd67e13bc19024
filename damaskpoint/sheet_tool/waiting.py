"""Polls the live entries until all have a version in force."""

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

    from damaskpoint.sheet_tool.backoff import Backoff
    from damaskpoint.sheet_tool.tool import Tool


@final
@dataclass(frozen=True, slots=True)
class EntryReply:
    """The reply of one listed entry, or the failure to get one."""

    entry: ListedInstance
    result: EntryVersion | Failure

    def has_version(self, version: int) -> bool:
        """Return whether the entry has this version or a later one."""
        return (
            isinstance(self.result, EntryVersion)
            and self.result.version >= version
        )


@final
@dataclass(frozen=True, slots=True)
class Progress:
    """The replies of all live entries about one version."""

    version: int
    replies: tuple[EntryReply, ...] = ()
    # Set if the list of instances could not be read.
    failure: Failure | None = None

    @property
    def in_force_count(self) -> int:
        """Return the number of entries that have the version in force."""
        return sum(reply.has_version(self.version) for reply in self.replies)

    @property
    def is_everywhere(self) -> bool:
        """Return whether all live entries are known to have the version."""
        return self.failure is None and self.in_force_count == len(self.replies)


async def wait_until_in_force(
    tool: Tool,
    version: int,
    backoff: Backoff,
    show_progress: Callable[[Progress], None],
) -> Progress:
    """Poll until all live entries have the version or the time is up.

    The list of instances is read again in each round, as entries may fail
    or start meanwhile.
    """
    while True:
        progress = await query_entries(tool, version)
        show_progress(progress)
        if progress.is_everywhere or not await backoff.wait():
            return progress


async def query_entries(tool: Tool, version: int) -> Progress:
    """Query each live entry once and return the replies."""
    listed = await tool.instances.fetch()
    if isinstance(listed, Failure):
        return Progress(version, failure=listed)
    entries = select_live_entries(listed)
    results = await asyncio.gather(
        *(tool.probe.fetch_version(entry) for entry in entries)
    )
    paired = []
    for entry, result in zip(entries, results, strict=True):
        paired.append(EntryReply(entry, result))
    return Progress(version, tuple(paired))


def select_live_entries(
    listed: Sequence[ListedInstance],
) -> list[ListedInstance]:
    """Return the live entries among the listed instances."""
    entries = []
    for instance in listed:
        if instance.pool != defaults.ENTRY_POOL:
            continue
        if instance.presence is Presence.LIVE:
            entries.append(instance)
    return entries
