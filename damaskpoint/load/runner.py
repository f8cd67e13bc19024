"""Runs a planned load against entries and collects the samples."""

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
    from damaskpoint.load.model import PlannedRequest, Profile, Sample

# Above the concurrency of any run, so that no request queues in the client.
_MAX_CLIENTS = 100_000


@final
@dataclass(frozen=True, slots=True)
class Plan:
    """A load, the entries that receive it, and the faults injected."""

    profile: Profile
    arrivals: tuple[PlannedRequest, ...]
    # Base URLs, used round-robin like a load balancer would.
    entry_urls: tuple[str, ...]
    steps: tuple[Step, ...] = ()


@final
@dataclass(frozen=True, slots=True)
class RunResult:
    """The samples of a run and the worst lag of the load generator."""

    samples: tuple[Sample, ...]
    # Longest delay between the planned and the actual send of a request.
    worst_send_delay_s: float


async def run_plan(plan: Plan) -> RunResult:
    """Send each request at its planned time and wait for all responses."""
    client = AsyncHTTPClient(force_instance=True, max_clients=_MAX_CLIENTS)
    # Garbage collection pauses would be measured as latency of the system.
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
