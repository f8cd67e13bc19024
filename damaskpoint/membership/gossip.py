"""Runs gossip on the event loop: rounds, updates and incoming datagrams."""

from __future__ import annotations

import abc
import logging
from typing import TYPE_CHECKING, Final, final

from tornado import ioloop

from damaskpoint import defaults
from damaskpoint.errors import Code, Failure
from damaskpoint.membership import metrics, sizes
from damaskpoint.membership.endpoint import create_endpoint

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from damaskpoint.membership import facts
    from damaskpoint.membership.endpoint import Endpoint
    from damaskpoint.membership.gossiper import Gossiper, Outgoing
    from damaskpoint.membership.view import MergeResult

_LOG: Final = logging.getLogger(__name__)
_MS: Final = 1000
# More datagrams than the socket's receive buffer holds.
_READS_PER_DRAIN: Final = 10_000


class MembershipListener(abc.ABC):
    """Receives the facts of peers; called on the event loop's thread."""

    @abc.abstractmethod
    def prepare_round(self, now: float) -> None:
        """Publish local changes, before a round's datagrams are packed."""

    @abc.abstractmethod
    def on_configuration(
        self, fact: facts.ConfigurationFact, peer: facts.PeerFact, now: float
    ) -> None:
        """Handle the version that a peer has in force, new or not."""

    @abc.abstractmethod
    def on_mark(self, mark: facts.Mark, now: float) -> None:
        """Handle a mark that was not known here."""

    @abc.abstractmethod
    def on_load(self, load: facts.LoadFact, now: float) -> None:
        """Handle a load report that is newer than the one known here."""

    @abc.abstractmethod
    def on_shares(
        self, peer: str, shares: tuple[facts.ShareFact, ...], now: float
    ) -> None:
        """Handle a peer's own calls in flight, for some of its upstreams."""

    @abc.abstractmethod
    def on_paces(
        self, peer: str, paces: tuple[facts.PaceFact, ...], now: float
    ) -> None:
        """Handle the paces of runner groups that a peer batches for."""

    @abc.abstractmethod
    def on_pledges(
        self, peer: str, pledges: tuple[facts.PledgeFact, ...], now: float
    ) -> None:
        """Handle the pieces that a peer's requests still need."""

    @abc.abstractmethod
    def on_run_counts(
        self,
        peer: facts.PeerFact,
        counts: tuple[facts.RunCountFact, ...],
        now: float,
    ) -> None:
        """Handle how many runs a peer has begun since its start."""

    def on_capacities(
        self, capacities: tuple[facts.CapacityFact, ...], now: float
    ) -> None:
        """Handle reports of runners that a peer knows; none by default."""

    @abc.abstractmethod
    def on_rollouts(
        self,
        peer: facts.PeerFact,
        rollouts: tuple[facts.RolloutFact, ...],
        now: float,
    ) -> None:
        """Handle what a peer has counted of rollouts."""


@final
class GossipLoop:
    """Drives a gossiper from the event loop of the process."""

    def __init__(
        self, gossiper: Gossiper, interval_s: float, clock: Callable[[], float]
    ) -> None:
        """Create a stopped loop with rounds ``interval_s`` seconds apart."""
        self.gossiper = gossiper
        self.listeners: list[MembershipListener] = []
        self._interval_s = interval_s
        self._freeze_gap_s = max(defaults.GOSSIP_STALL_S, 2 * interval_s)
        self._clock = clock
        self._endpoint: Endpoint | None = None
        self._rounds = ioloop.PeriodicCallback(self._on_round, interval_s * _MS)
        self._last_round_at = clock()
        self._live_names: frozenset[str] = frozenset()

    def open(self) -> None:
        """Open the socket and start the rounds; raises ``OSError``."""
        self._endpoint = create_endpoint(self.gossiper.view.own.address)
        self._last_round_at = self._clock()
        ioloop.IOLoop.current().add_handler(
            self._endpoint.file_descriptor,
            self._on_readable,
            ioloop.IOLoop.READ,
        )
        self._rounds.start()
        self._on_round()

    def close(self) -> None:
        """Send pending updates, stop the rounds and close the socket."""
        if self._endpoint is None:
            return
        self._send_updates()
        self._rounds.stop()
        ioloop.IOLoop.current().remove_handler(self._endpoint.file_descriptor)
        self._endpoint.close()
        self._endpoint = None

    @property
    def cycle_s(self) -> float:
        """Return the time in which each live peer is sent a datagram."""
        return self._interval_s * self.gossiper.cycle_rounds

    def schedule_updates(self) -> None:
        """Send updates in the next iteration of the event loop.

        All updates that are scheduled in one iteration are sent together.
        """
        self.gossiper.schedule_updates()
        if self._endpoint is not None:
            ioloop.IOLoop.current().add_callback(self._send_updates)

    def _on_round(self) -> None:
        now = self._clock()
        if now - self._last_round_at > self._freeze_gap_s:
            self._drain()
        self._last_round_at = now
        for listener in self.listeners:
            listener.prepare_round(now)
        self._send(self.gossiper.start_round(now))
        self._log_changes(now)

    def _on_readable(self, _fd: object, _events: int) -> None:
        # One datagram an event: a second read mostly finds nothing, and the
        # loop calls again as long as there are more.
        received = self._read()
        if received is not None:
            self._handle_datagram(*received)

    def _handle_datagram(self, datagram: bytes, host: str) -> None:
        now = self._clock()
        # After a freeze of the process, the socket holds old datagrams. The
        # ages in them are as of sending; decoded now, their facts would look
        # newer than they are.
        if now - self._last_round_at > self._freeze_gap_s:
            _count(metrics.OUTCOME_STALE)
            return
        merged = self.gossiper.receive(datagram, host, now)
        if isinstance(merged, Failure):
            _count(
                metrics.OUTCOME_UNKNOWN
                if merged.code is Code.PEER_UNKNOWN
                else metrics.OUTCOME_MALFORMED
            )
            return
        _count(metrics.OUTCOME_TAKEN)
        self._notify_listeners(merged, now)
        if self.gossiper.has_pending_updates:
            self.schedule_updates()

    def _notify_listeners(self, merged: MergeResult, now: float) -> None:
        for mark in merged.marks:
            metrics.MARKS_RECEIVED.inc({'kind': mark.kind.name.lower()})
        for listener in self.listeners:
            # Counts first: they say how many runs preceded a mark.
            if merged.run_counts:
                listener.on_run_counts(merged.sender, merged.run_counts, now)
            if merged.rollouts:
                listener.on_rollouts(merged.sender, merged.rollouts, now)
            for mark in merged.marks:
                listener.on_mark(mark, now)
            for load in merged.loads:
                listener.on_load(load, now)
            self._notify_of_work(listener, merged, now)
            if merged.configuration is not None:
                listener.on_configuration(
                    merged.configuration, merged.sender, now
                )

    def _notify_of_work(
        self, listener: MembershipListener, merged: MergeResult, now: float
    ) -> None:
        sender = merged.sender.name
        if merged.capacities:
            listener.on_capacities(merged.capacities, now)
        if merged.shares:
            listener.on_shares(sender, merged.shares, now)
        if merged.paces:
            listener.on_paces(sender, merged.paces, now)
        if merged.pledges:
            listener.on_pledges(sender, merged.pledges, now)

    def _send_updates(self) -> None:
        if self.gossiper.has_pending_updates and self._endpoint is not None:
            self._send(self.gossiper.send_updates(self._clock()))

    def _send(self, outgoing: Iterable[Outgoing]) -> None:
        if self._endpoint is None:
            return
        for item in outgoing:
            self._endpoint.send(item.address, item.datagram)
            metrics.DATAGRAMS_SENT.inc({})
            metrics.BYTES_SENT.add(
                {}, len(item.datagram) + sizes.DATAGRAM_OVERHEAD_BYTES
            )

    def _read(self) -> tuple[bytes, str] | None:
        return None if self._endpoint is None else self._endpoint.read()

    def _drain(self) -> None:
        """Discard the datagrams that arrived while the process was frozen."""
        for _ in range(_READS_PER_DRAIN):
            if self._read() is None:
                return
            _count(metrics.OUTCOME_STALE)

    def _log_changes(self, now: float) -> None:
        """Log the peers that became live or silent since the last round."""
        names = frozenset(
            peer.name for peer in self.gossiper.view.live_peers(now)
        )
        for name in sorted(names - self._live_names):
            _LOG.info('peer %s is live', name)
        for name in sorted(self._live_names - names):
            _LOG.info('peer %s is no longer live', name)
        self._live_names = names
        metrics.PEERS.set({'state': 'live'}, len(names))
        metrics.PEERS.set({'state': 'known'}, len(self.gossiper.view.peers))
        metrics.DATAGRAMS_HELD_BACK.set({}, self.gossiper.counts.held_back)


def _count(outcome: str) -> None:
    metrics.DATAGRAMS_RECEIVED.inc({'outcome': outcome})
