"""The dependencies of the commands: platform, entries and clock."""

from __future__ import annotations

import time
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final, final

from damaskpoint.platform.store import create_store
from damaskpoint.platform.store_instances import StoreInstances
from damaskpoint.platform.store_table import StoreObjects, StoreTable
from damaskpoint.sheet_tool.acceptance import Acceptor
from damaskpoint.sheet_tool.backoff import Backoff
from damaskpoint.sheet_tool.probe import EntryProbe, create_entry_probe

if TYPE_CHECKING:
    from collections.abc import Callable

    from damaskpoint.platform.base import InstanceList, Table
    from damaskpoint.settings import PlatformOptions

_MAX_CALLS_AT_ONCE: Final = 64


@final
@dataclass(frozen=True, slots=True)
class Tool:
    """The services that a command uses, and its clock."""

    table: Table
    acceptor: Acceptor
    instances: InstanceList
    probe: EntryProbe
    clock: Callable[[], float]

    def start_backoff(self, timeout_s: float) -> Backoff:
        """Return a backoff whose timeout starts now."""
        return Backoff(timeout_s, self.clock)


def create_tool(options: PlatformOptions) -> Tool:
    """Return a tool for the platform of the options."""
    store = create_store(options.store_url, options.timeout_s)
    table = StoreTable(store)
    return Tool(
        table=table,
        acceptor=Acceptor(table, StoreObjects(store)),
        instances=StoreInstances(store),
        probe=create_entry_probe(options.timeout_s),
        clock=time.monotonic,
    )
