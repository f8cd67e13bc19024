"""Steps on changes that a gateway learns of while it serves."""

from __future__ import annotations

import json
import time
from typing import Any
from unittest import mock

from behave import then, when

from damaskpoint.forwarding import sender
from damaskpoint.forwarding.exchange import open_exchange
from features.steps.gateway_steps import send
from features.support.gateway_site import (
    KEY,
    create_configuration,
    run,
    until,
)


@when(
    'a configuration with the tenants {tenants} is applied, with /safe/'
    ' {access}'
)
def apply_tenants(context: Any, tenants: str, access: str) -> None:
    """Apply a configuration with other tenants, or without the field."""
    changed = create_configuration(2)
    changed.pop('Tenants')
    if tenants != 'none':
        changed['Tenants'] = json.loads(tenants)
    for route in changed['Routes']:
        route['Public'] = access == 'public'
    context.site.store.put('op', 'config', changed)
    catalog = context.site.gateway.catalog
    run(context, until(lambda: catalog.configuration.version == 2))


@when(
    'the first runner that is connected to leaves while a caller sends POST'
    ' {path}'
)
def leave_while_connecting(context: Any, path: str) -> None:
    """Mark the runner as leaving when its connection is open."""
    site = context.site
    context.left = []

    async def open_and_leave(
        address: Any, connect_s: float, ack_timeout_s: float
    ) -> Any:
        opened = await open_exchange(address, connect_s, ack_timeout_s)
        for name, port in site.ports_by_name.items():
            if port == address[1] and not context.left:
                context.left.append(name)
                site.gateway.catalog.runners.mark_leaving(
                    name, 0, time.monotonic()
                )
        return opened

    with mock.patch.object(sender, 'open_exchange', open_and_leave):
        send(context, 'POST', path, KEY)


@then('the runner that left saw no request')
def check_left(context: Any) -> None:
    """Check the one that was connected to first."""
    assert context.left
    for name in context.left:
        assert not context.site.runners_by_name[name].requests
