"""Steps for connections that are opened before they are needed."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import Any, Final, final

from behave import given, then, when

from damaskpoint.errors import Code, Failure
from damaskpoint.forwarding.spare_connections import SpareConnections
from features.support.virtual_loop import run_virtually

_ADDRESS: Final = ('10.0.0.1', 80)
_END_S: Final = 3.0
_TOLERANCE_S: Final = 1e-6


@final
@dataclass(slots=True)
class _Stream:
    """A connection, without a peer."""

    is_silent: bool = True

    def close(self) -> None:
        """Close it."""
        self.is_silent = False


@final
@dataclass(slots=True)
class _Opener:
    """Opens connections, or fails."""

    connect_s: float
    opened: list[_Stream] = field(default_factory=list)
    fails: bool = False

    async def open(self, address: tuple[str, int]) -> Any:
        """Return a connection after a while."""
        await asyncio.sleep(self.connect_s)
        if self.fails:
            self.fails = False
            return Failure(Code.UPSTREAM_UNREACHABLE, str(address))
        self.opened.append(_Stream())
        return self.opened[-1]


@given('connections that take {connect:g} s to open')
def create_opener(context: Any, connect: float) -> None:
    """Keep the opener."""
    context.opener = _Opener(connect)


@when(
    'a call is followed by another one {after:g} s later, and meanwhile {event}'
)
def make_calls(context: Any, after: float, event: str) -> None:
    """Open connections for two calls, and wait."""
    with run_virtually() as runner:
        context.second = runner.run(_call_twice(context.opener, after, event))


async def _call_twice(opener: _Opener, after_s: float, event: str) -> Any:
    connections = SpareConnections(opener.open)
    await connections.open(_ADDRESS)
    opener.fails = event == 'connections fail once'
    await asyncio.sleep(after_s)
    if event == 'the spare one closes':
        opener.opened[-1].close()
    second = await connections.open(_ADDRESS)
    await asyncio.sleep(_END_S)
    return second


@when('two calls are made {apart:g} s apart, each on a new connection')
def make_new_calls(context: Any, apart: float) -> None:
    """Open new connections while a spare one may be there."""
    with run_virtually() as runner:
        runner.run(_open_twice(context.opener, apart))


async def _open_twice(opener: _Opener, apart_s: float) -> None:
    connections = SpareConnections(opener.open)
    await connections.open_new(_ADDRESS)
    await asyncio.sleep(apart_s)
    await connections.open_new(_ADDRESS)
    await asyncio.sleep(_END_S)


@then('the second call waits {wait:g} s for its connection')
def check_wait(context: Any, wait: float) -> None:
    """Compare the time to connect."""
    found = context.second.waited_s
    assert abs(found - wait) < _TOLERANCE_S, found


@then('{opened:d} connections were opened and {left:d} are open after 3 s')
def check_opened(context: Any, opened: int, left: int) -> None:
    """Count them; those of the two calls are not closed here."""
    streams = context.opener.opened
    assert len(streams) == opened, len(streams)
    still_open = sum(stream.is_silent for stream in streams)
    assert still_open == left, still_open
