"""Polls the load reports of upstreams, each from a few entries only.

An entry polls the upstreams of which it is one of the owners, and those whose
lease it wants or holds; it receives the reports of all others from peers.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, final

from tornado.httpclient import AsyncHTTPClient, HTTPRequest
from tornado.ioloop import PeriodicCallback

from damaskpoint.errors import Code, Failure
from damaskpoint.http_errors import HTTP_CALL_ERRORS
from damaskpoint.http_statuses import check_status_line
from damaskpoint.routing import metrics
from damaskpoint.routing.report import LoadReport, PeerReport, parse_report

if TYPE_CHECKING:
    from collections.abc import Callable

    from damaskpoint.routing.base import Upstream
    from damaskpoint.routing.core import RoutingCore
    from damaskpoint.routing.ranks import EntryRanks
    from damaskpoint.settings import RoutingOptions

_MS_PER_S = 1_000
# Random jitter of a poll, as a share of the interval.
_JITTER = 0.2


@final
class LoadPoller:
    """Polls on a timer, with at most one poll per upstream in flight."""

    def __init__(
        self,
        core: RoutingCore,
        ranks: EntryRanks,
        options: RoutingOptions,
        client: AsyncHTTPClient,
        clock: Callable[[], float],
    ) -> None:
        """Start without reports."""
        self._core = core
        self._ranks = ranks
        self._options = options
        self._client = client
        self._clock = clock
        self._polls_by_name: dict[str, asyncio.Task[None]] = {}
        self._reports_by_name: dict[str, tuple[float, LoadReport]] = {}
        self._timer = PeriodicCallback(
            self.poll_all, options.load_poll_s * _MS_PER_S, _JITTER
        )

    # Commands.

    def start(self) -> None:
        """Start polling; requires a running event loop."""
        self.poll_all()
        self._timer.start()

    def stop(self) -> None:
        """Stop polling and cancel the polls in flight."""
        self._timer.stop()
        for task in self._polls_by_name.values():
            task.cancel()

    def poll_all(self) -> None:
        """Start a poll of each upstream that this entry has to poll."""
        for upstream in find_polled(self._core, self._ranks):
            if upstream.name in self._polls_by_name:
                continue
            task = asyncio.ensure_future(self._poll(upstream))
            self._polls_by_name[upstream.name] = task

    # Queries.

    def reports_to_share(self, now: float) -> tuple[PeerReport, ...]:
        """Return the reports that are recent enough to be proofs.

        These are the reports of this entry's polls and, for non-reporting
        upstreams, the content of their last responses.
        """
        responses = self._core.observations.responses_by_name
        seen_by_name = {**responses, **self._reports_by_name}
        shared = []
        for name, (requested_at, report) in seen_by_name.items():
            age_s = now - requested_at
            if age_s <= self._options.load_report_bound_s:
                shared.append(PeerReport(name, report, age_s))
        return tuple(shared)

    # Steps.

    async def _poll(self, upstream: Upstream) -> None:
        requested_at = self._clock()
        fetched = await fetch_report(self._client, upstream, self._options)
        self._polls_by_name.pop(upstream.name, None)
        now = self._clock()
        if isinstance(fetched, LoadReport):
            self._reports_by_name[upstream.name] = (requested_at, fetched)
            self._core.observations.apply_report(
                upstream.name, fetched, requested_at, now
            )
            _count('done')
            return
        self._reports_by_name.pop(upstream.name, None)
        _count('failed')
        if isinstance(fetched, Failure):
            return
        self._core.observations.record_unreachable(upstream.name, now)


async def fetch_report(
    client: AsyncHTTPClient, upstream: Upstream, options: RoutingOptions
) -> LoadReport | Failure | None:
    """Return the report; None if the connection was refused."""
    request = HTTPRequest(
        f'http://{upstream.host}:{upstream.port}/v1/load',
        connect_timeout=options.connect_timeout_s,
        request_timeout=options.load_report_bound_s,
        header_callback=check_status_line,
    )
    try:
        response = await client.fetch(request)
    except ConnectionRefusedError:
        return None
    except HTTP_CALL_ERRORS as error:
        return Failure(Code.UPSTREAM_UNREACHABLE, str(error))
    return parse_report(response.body)


def find_polled(core: RoutingCore, ranks: EntryRanks) -> tuple[Upstream, ...]:
    """Return the upstreams that this entry polls itself."""
    polled = []
    for name, node in core.fleet.nodes_by_name.items():
        pool_state = core.fleet.states_by_pool[node.upstream.pool]
        if not pool_state.pool.reports_load:
            continue
        if ranks.is_owner(name) or name in core.permits.leases_by_name:
            polled.append(node.upstream)
    return tuple(polled)


def _count(result: str) -> None:
    metrics.POLLS.inc({'result': result})


def create_poller(
    core: RoutingCore,
    ranks: EntryRanks,
    options: RoutingOptions,
    client: AsyncHTTPClient,
    clock: Callable[[], float],
) -> LoadPoller:
    """Return a poller; ``client`` must allow enough concurrent requests."""
    return LoadPoller(core, ranks, options, client, clock)
