"""What every command needs: the platform, the entries and the time."""

from __future__ import annotations

import time
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final, final

from tornado.httpclient import AsyncHTTPClient

from damaskpoint.platform.http_instances import create_http_instance_list
from damaskpoint.platform.http_objects import create_http_object_store
from damaskpoint.platform.http_table import create_http_table
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
    client = AsyncHTTPClient(
        force_instance=True, max_clients=_MAX_CALLS_AT_ONCE
    )
    table = create_http_table(options, client)
    return Tool(
        table=table,
        acceptor=Acceptor(table, create_http_object_store(options, client)),
        instances=create_http_instance_list(options, client),
        probe=create_entry_probe(options.timeout_s),
        clock=time.monotonic,
    )
