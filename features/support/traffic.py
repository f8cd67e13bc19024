"""Traffic of callers, spread over the entries as by a load balancer."""

from __future__ import annotations

import asyncio
import itertools
from typing import TYPE_CHECKING, Final

from features.support import sheets
from features.support.caller import CallerAnswer, CallerRequest
from features.support.launcher import fetch

if TYPE_CHECKING:
    import random

    from features.support.cluster import Cluster, Member

_CHECK_INTERVAL_S: Final = 0.15
# Timeout of one readiness check. With the interval between two checks it is
# less than the notice that entries give before they close.
_CHECK_TIMEOUT_S: Final = 0.3
_BACKOFF_S: Final = 0.3
_ORDER_ATTEMPTS: Final = 4
_LONG_DEADLINE_MS: Final = 20_000
_MAX_TOKENS: Final = 40
# One caller in this many may choose an entry without regard to readiness.
_UNCHECKED_ONE_IN: Final = 8


class Traffic:
    """Sends requests to the entries that report to be ready."""

    def __init__(
        self, cluster: Cluster, rng: random.Random, respects_readiness: bool
    ) -> None:
        """Set the deployment and the source of all random choices."""
        self._respects_readiness = respects_readiness
        self._cluster = cluster
        self._rng = rng
        self._numbers = itertools.count(1)
        self._ready_names: set[str] = set()
        self._tasks: set[asyncio.Task[object]] = set()
        self.sent = 0
        # Number of complete answers.
        self.complete = 0

    async def watch(self) -> None:
        """Poll the readiness of all entries until cancelled.

        An entry that answers late does not delay the checks of the others.
        """
        await asyncio.gather(*map(self._watch_entry, self._entries()))

    async def check_readiness(self) -> None:
        """Check the readiness of all entries once."""
        await asyncio.gather(*map(self._check_entry, self._entries()))

    async def run(
        self, kinds: tuple[str, ...], count: int, duration_s: float
    ) -> None:
        """Start a number of requests within a duration; wait for none."""
        for _ in range(count):
            kind = self._rng.choice(kinds)
            await self.start(kind)
            await asyncio.sleep(self._rng.uniform(0, 2 * duration_s / count))

    async def start(self, kind: str) -> None:
        """Start one request of a kind: answer, stream, order or service."""
        number = next(self._numbers)
        if kind in {'answer', 'stream'}:
            request = self.answer(number, kind == 'stream')
        else:
            request = self.order(kind, number)
        task = asyncio.ensure_future(request)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def start_at_entry(self, entry: str) -> None:
        """Start one request with a long deadline at one entry."""
        number = next(self._numbers)
        request = CallerRequest(
            f'answer-{number}',
            sheets.ANSWER_PATH,
            {'input': {'key': f'a{number}', 'tokens': 1}},
            deadline_ms=_LONG_DEADLINE_MS,
        )
        task = asyncio.ensure_future(self._call(entry, request))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def finish(self) -> None:
        """Wait for all requests that were started."""
        while self._tasks:
            await asyncio.wait(list(self._tasks))

    async def answer(self, number: int, is_stream: bool) -> None:
        """Send one request to the idempotent pipeline."""
        pipeline_input = {
            'key': f'a{number}',
            'tokens': self._rng.randint(1, _MAX_TOKENS),
            'prefix': f'p{self._rng.randint(0, 3)}',
        }
        request = CallerRequest(
            f'answer-{number}',
            sheets.ANSWER_PATH,
            {'input': pipeline_input, 'stream': is_stream},
        )
        await self._call(self._choose_entry(), request)

    async def order(self, kind: str, number: int) -> None:
        """Place one order and retry a few times until its outcome is known.

        Some callers send each attempt to two entries at once.
        """
        key = f'{kind}-{number}'
        body: dict[str, object] = {'key': key, 'count': 1}
        path = sheets.SERVICE_PATH
        if kind == 'order':
            body = {'input': {**body, 'tokens': 3}}
            path = sheets.ORDER_PATH
        suffixes = self._rng.choice(('a', 'a', 'ab'))
        for attempt in range(1, _ORDER_ATTEMPTS + 1):
            requests = [
                CallerRequest(f'{key}-{attempt}{suffix}', path, body, key)
                for suffix in suffixes
            ]
            calls = [self._call(self._choose_entry(), one) for one in requests]
            answers = await asyncio.gather(*calls)
            if any(answer.is_whole for answer in answers):
                return
            await asyncio.sleep(_BACKOFF_S * attempt)

    async def _watch_entry(self, entry: Member) -> None:
        while True:
            await self._check_entry(entry)
            await asyncio.sleep(_CHECK_INTERVAL_S)

    async def _check_entry(self, entry: Member) -> None:
        """Check one entry; a late answer counts as not ready."""
        status, _body = await fetch(
            f'{entry.operator_url}/readyz', timeout_s=_CHECK_TIMEOUT_S
        )
        if status == 200:
            self._ready_names.add(entry.name)
        else:
            self._ready_names.discard(entry.name)

    def _entries(self) -> list[Member]:
        members = self._cluster.members_by_name.values()
        return [member for member in members if member.pool == 'entry']

    def _choose_entry(self) -> str:
        """Return the name of a random ready entry, or of any if none is ready.

        Unless callers respect readiness, some choose among all entries.
        """
        names = sorted(self._ready_names)
        is_unchecked = self._rng.randrange(_UNCHECKED_ONE_IN) == 0
        if not names or (is_unchecked and not self._respects_readiness):
            names = [entry.name for entry in self._entries()]
        return self._rng.choice(names)

    async def _call(self, entry: str, request: CallerRequest) -> CallerAnswer:
        member = self._cluster.members_by_name[entry]
        self.sent += 1
        answer = await self._cluster.caller.call(entry, member.url, request)
        self.complete += answer.is_whole
        return answer
