"""Callers' traffic over the entries, as a balancer would spread it."""

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

_POLL_S: Final = 0.15
# Bound on one question (seconds): with the pause between two, less than the
# notice that entries give before they close.
_LOOK_S: Final = 0.3
_BACKOFF_S: Final = 0.3
_ORDER_TRIES: Final = 4
_PATIENT_MS: Final = 20_000
_MAX_TOKENS: Final = 40
# One in so many callers takes any entry.
_STUBBORN_SHARE: Final = 8


class Traffic:
    """Sends requests to the entries that say they are ready."""

    def __init__(
        self, cluster: Cluster, draw: random.Random, heeds_readiness: bool
    ) -> None:
        """Keep the deployment; all choices come from the given numbers."""
        self._heeds_readiness = heeds_readiness
        self._cluster = cluster
        self._draw = draw
        self._numbers = itertools.count(1)
        self._ready_names: set[str] = set()
        self._tasks: set[asyncio.Task[object]] = set()
        self.sent = 0
        self.whole = 0

    async def watch(self) -> None:
        """Ask each entry again and again whether it is ready.

        An entry that answers late does not hold up the others.
        """
        await asyncio.gather(*map(self._watch_entry, self._entries()))

    async def look(self) -> None:
        """Ask every entry once whether it is ready."""
        await asyncio.gather(*map(self._look_at, self._entries()))

    async def run(
        self, kinds: tuple[str, ...], count: int, within_s: float
    ) -> None:
        """Start so many requests within a time; wait for none."""
        for _ in range(count):
            kind = self._draw.choice(kinds)
            await self.start(kind)
            await asyncio.sleep(self._draw.uniform(0, 2 * within_s / count))

    async def start(self, kind: str) -> None:
        """Start one request of a kind: answer, stream, order or service."""
        number = next(self._numbers)
        if kind in {'answer', 'stream'}:
            work = self.answer(number, kind == 'stream')
        else:
            work = self.order(kind, number)
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def start_at(self, entry: str) -> None:
        """Start one patient request at one entry."""
        number = next(self._numbers)
        request = CallerRequest(
            f'answer-{number}',
            sheets.ANSWER_PATH,
            {'input': {'key': f'a{number}', 'tokens': 1}},
            deadline_ms=_PATIENT_MS,
        )
        task = asyncio.ensure_future(self._call(entry, request))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def finish(self) -> None:
        """Wait for every request that was started."""
        while self._tasks:
            await asyncio.wait(list(self._tasks))

    async def answer(self, number: int, is_stream: bool) -> None:
        """Ask the idempotent pipeline once."""
        asked = {
            'key': f'a{number}',
            'tokens': self._draw.randint(1, _MAX_TOKENS),
            'prefix': f'p{self._draw.randint(0, 3)}',
        }
        request = CallerRequest(
            f'answer-{number}',
            sheets.ANSWER_PATH,
            {'input': asked, 'stream': is_stream},
        )
        await self._call(self._choose(), request)

    async def order(self, kind: str, number: int) -> None:
        """Place one order: try until it is known what became of it.

        Some callers lose patience and try at two entries at once.
        """
        key = f'{kind}-{number}'
        body: dict[str, object] = {'key': key, 'count': 1}
        path = sheets.SERVICE_PATH
        if kind == 'order':
            body = {'input': {**body, 'tokens': 3}}
            path = sheets.ORDER_PATH
        twins = self._draw.choice(('a', 'a', 'ab'))
        for attempt in range(1, _ORDER_TRIES + 1):
            requests = [
                CallerRequest(f'{key}-{attempt}{twin}', path, body, key)
                for twin in twins
            ]
            calls = [self._call(self._choose(), one) for one in requests]
            answers = await asyncio.gather(*calls)
            if any(answer.is_whole for answer in answers):
                return
            await asyncio.sleep(_BACKOFF_S * attempt)

    async def _watch_entry(self, entry: Member) -> None:
        while True:
            await self._look_at(entry)
            await asyncio.sleep(_POLL_S)

    async def _look_at(self, entry: Member) -> None:
        """Ask one entry; a late answer counts as not ready."""
        status, _said = await fetch(
            f'{entry.operator_url}/readyz', timeout_s=_LOOK_S
        )
        if status == 200:
            self._ready_names.add(entry.name)
        else:
            self._ready_names.discard(entry.name)

    def _entries(self) -> list[Member]:
        members = self._cluster.members_by_name.values()
        return [member for member in members if member.pool == 'entry']

    def _choose(self) -> str:
        """Return the name of an entry, mostly a ready one.

        Unless callers heed readiness, some go to whichever entry they know.
        """
        names = sorted(self._ready_names)
        is_stubborn = self._draw.randrange(_STUBBORN_SHARE) == 0
        if not names or (is_stubborn and not self._heeds_readiness):
            names = [entry.name for entry in self._entries()]
        return self._draw.choice(names)

    async def _call(self, entry: str, request: CallerRequest) -> CallerAnswer:
        member = self._cluster.members_by_name[entry]
        self.sent += 1
        answer = await self._cluster.caller.call(entry, member.url, request)
        self.whole += answer.is_whole
        return answer
