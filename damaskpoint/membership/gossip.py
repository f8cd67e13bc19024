"""The asynchronous side of gossip: rounds, news and what is received."""

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
    from damaskpoint.membership.view import News

_LOG: Final = logging.getLogger(__name__)
_MS: Final = 1000
# Datagrams read in one turn of the loop, so that other work gets its turn.
_READS_PER_TURN: Final = 64
# More than the socket's buffer holds.
_READS_PER_DRAIN: Final = 10_000


class MembershipListener(abc.ABC):
    """Hears what peers tell; each call comes on the loop's thread."""

    @abc.abstractmethod
    def prepare_round(self, now: float) -> None:
        """Tell what has changed here, before a round is packed."""

    @abc.abstractmethod
    def on_configuration(
        self, fact: facts.ConfigurationFact, peer: facts.PeerFact, now: float
    ) -> None:
        """Take a version that a peer has in force, new or not."""

    @abc.abstractmethod
    def on_mark(self, mark: facts.Mark, now: float) -> None:
        """Take a mark that was not known here."""

    @abc.abstractmethod
    def on_load(self, load: facts.LoadFact, now: float) -> None:
        """Take a load report newer than the one known here."""

    @abc.abstractmethod
    def on_shares(
        self, peer: str, shares: tuple[facts.ShareFact, ...], now: float
    ) -> None:
        """Take a peer's own calls in flight, not all of them maybe."""

    @abc.abstractmethod
    def on_paces(
        self, peer: str, paces: tuple[facts.PaceFact, ...], now: float
    ) -> None:
        """Take what waits for runners that a peer batches for."""

    @abc.abstractmethod
    def on_pledges(
        self, peer: str, pledges: tuple[facts.PledgeFact, ...], now: float
    ) -> None:
        """Take the pieces that a peer's requests still need."""


@final
class GossipLoop:
    """Drives a gossiper from the process's loop."""

    def __init__(
        self, gossiper: Gossiper, interval_s: float, clock: Callable[[], float]
    ) -> None:
        """Run a round each ``interval_s`` seconds, once opened."""
        self.gossiper = gossiper
        self.listeners: list[MembershipListener] = []
        self._interval_s = interval_s
        self._freeze_gap_s = max(defaults.FREEZE_GAP_S, 2 * interval_s)
        self._clock = clock
        self._endpoint: Endpoint | None = None
        self._rounds = ioloop.PeriodicCallback(self._on_round, interval_s * _MS)
        self._last_round_at = clock()
        self._live_names: frozenset[str] = frozenset()

    def open(self) -> None:
        """Open the socket and begin the rounds; raises ``OSError``."""
        self._endpoint = create_endpoint(self.gossiper.view.own.address)
        self._last_round_at = self._clock()
        ioloop.IOLoop.current().add_handler(
            self._endpoint.file_number, self._on_readable, ioloop.IOLoop.READ
        )
        self._rounds.start()
        self._on_round()

    def close(self) -> None:
        """Send what is new, end the rounds and close the socket."""
        if self._endpoint is None:
            return
        self._send_news()
        self._rounds.stop()
        ioloop.IOLoop.current().remove_handler(self._endpoint.file_number)
        self._endpoint.close()
        self._endpoint = None

    def schedule_updates(self) -> None:
        """Send news once this turn of the loop has gathered them all."""
        self.gossiper.schedule_updates()
        if self._endpoint is not None:
            ioloop.IOLoop.current().add_callback(self._send_news)

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
        for _ in range(_READS_PER_TURN):
            received = self._read()
            if received is None:
                return
            self._take(*received)

    def _take(self, datagram: bytes, host: str) -> None:
        now = self._clock()
        # A process that was frozen finds old datagrams in its socket, and
        # would take their ages as if they had been sent just now.
        if now - self._last_round_at > self._freeze_gap_s:
            _count(metrics.OUTCOME_STALE)
            return
        news = self.gossiper.receive(datagram, host, now)
        if isinstance(news, Failure):
            _count(
                metrics.OUTCOME_UNKNOWN
                if news.code is Code.PEER_UNKNOWN
                else metrics.OUTCOME_MALFORMED
            )
            return
        _count(metrics.OUTCOME_TAKEN)
        self._announce(news, now)
        if self.gossiper.has_pending_updates:
            self.schedule_updates()

    def _announce(self, news: News, now: float) -> None:
        for mark in news.marks:
            metrics.MARKS_HEARD.inc({'kind': mark.kind.name.lower()})
        for listener in self.listeners:
            for mark in news.marks:
                listener.on_mark(mark, now)
            for load in news.loads:
                listener.on_load(load, now)
            if news.shares:
                listener.on_shares(news.sender.name, news.shares, now)
            if news.paces:
                listener.on_paces(news.sender.name, news.paces, now)
            if news.pledges:
                listener.on_pledges(news.sender.name, news.pledges, now)
            if news.configuration is not None:
                listener.on_configuration(news.configuration, news.sender, now)

    def _send_news(self) -> None:
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
        """Drop the datagrams that came while the process was frozen."""
        for _ in range(_READS_PER_DRAIN):
            if self._read() is None:
                return
            _count(metrics.OUTCOME_STALE)

    def _log_changes(self, now: float) -> None:
        """Log each peer that came or went since the last round."""
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
