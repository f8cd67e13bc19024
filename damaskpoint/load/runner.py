"""Runs a planned load against entries and gathers what callers saw."""

from __future__ import annotations

import asyncio
import gc
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING, final

from tornado.httpclient import AsyncHTTPClient

from damaskpoint.load.caller import Target, send
from damaskpoint.load.script import Step, run_script

if TYPE_CHECKING:
    from damaskpoint.load.model import Planned, Profile, Sample

# More requests at once than any run has, so that none waits in the client.
_MAX_CLIENTS = 100_000


@final
@dataclass(frozen=True, slots=True)
class Plan:
    """A load, the entries that take it, and the faults on the way."""

    profile: Profile
    arrivals: tuple[Planned, ...]
    # Base URLs; requests go to them in turn, as from a balancer.
    entry_urls: tuple[str, ...]
    steps: tuple[Step, ...] = ()


@final
@dataclass(frozen=True, slots=True)
class RunResult:
    """What callers saw, and how late the tool itself sent at the worst."""

    samples: tuple[Sample, ...]
    # Longest delay between a request's due time and its send (seconds).
    worst_send_delay_s: float


async def run_plan(plan: Plan) -> RunResult:
    """Send every request when it is due and wait for every answer."""
    client = AsyncHTTPClient(force_instance=True, max_clients=_MAX_CLIENTS)
    # Pauses of the collector would look like delays of the system.
    gc.disable()
    run = await _send_all(plan, client)
    gc.enable()
    client.close()
    return run


async def _send_all(plan: Plan, client: AsyncHTTPClient) -> RunResult:
    targets = _create_targets(plan, client)
    started = time.monotonic()
    script = asyncio.ensure_future(
        run_script(list(plan.steps), client, started)
    )
    calls: list[asyncio.Task[Sample]] = []
    worst_delay_s: float = 0
    for planned in plan.arrivals:
        due = started + planned.at_s
        await asyncio.sleep(max(0, due - time.monotonic()))
        worst_delay_s = max(worst_delay_s, time.monotonic() - due)
        call = send(planned, targets[planned.number % len(targets)], due)
        calls.append(asyncio.ensure_future(call))
    samples = await asyncio.gather(*calls)
    script.cancel()
    return RunResult(tuple(samples), worst_delay_s)


def _create_targets(plan: Plan, client: AsyncHTTPClient) -> list[Target]:
    targets: list[Target] = []
    for url in plan.entry_urls:
        targets.append(
            Target(
                client=client,
                url=url.rstrip('/'),
                deadline_ms=plan.profile.deadline_ms,
                input_text='x' * plan.profile.input_bytes,
            )
        )
    return targets
