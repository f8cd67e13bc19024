"""What every command needs: the platform, the entries and the time."""

from __future__ import annotations

import time
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final, final


from damaskpoint.platform.store import create_store
from damaskpoint.platform.store_instances import StoreInstances
from damaskpoint.platform.store_table import StoreObjects, StoreTable
from damaskpoint.sheet_tool.acceptance import Acceptor
from damaskpoint.sheet_tool.patience import Patience
from damaskpoint.sheet_tool.probe import EntryProbe, create_entry_probe

if TYPE_CHECKING:
    from collections.abc import Callable

    from damaskpoint.platform.base import InstanceList, Table
    from damaskpoint.settings import PlatformOptions

_MAX_CALLS_AT_ONCE: Final = 64


@final
@dataclass(frozen=True, slots=True)
class Tool:
    """The outside world of a command."""

    table: Table
    acceptor: Acceptor
    instances: InstanceList
    probe: EntryProbe
    clock: Callable[[], float]

    def start_patience(self, bound_s: float) -> Patience:
        """Return a bound of time that starts now."""
        return Patience(bound_s, self.clock)


def create_tool(options: PlatformOptions) -> Tool:
    """Return a tool over the platform that the options name."""
    store = create_store(options.store_url, options.timeout_s)
    table = StoreTable(store)
    return Tool(
        table=table,
        acceptor=Acceptor(table, StoreObjects(store)),
        instances=StoreInstances(store),
        probe=create_entry_probe(options.timeout_s),
        clock=time.monotonic,
    )
