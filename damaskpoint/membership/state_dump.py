"""The membership section of the state dump."""

from __future__ import annotations

from dataclasses import asdict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from damaskpoint.membership.gossiper import Gossiper
    from damaskpoint.membership.view import View


def dump_gossiper(gossiper: Gossiper, now: float) -> dict[str, object]:
    """Return the state as plain data; times are ages in seconds."""
    view = gossiper.view
    reach = view.reach(now)
    return {
        'own': asdict(view.own),
        'peers_reachable': reach.reachable,
        'peers_known': reach.known,
        'peers_by_name': _dump_peers(view, now),
        'configuration': _dump_configuration(view, now),
        'marks': _dump_marks(view, now),
        'load_reports': len(view.loads),
        'peers_in_flight_by_upstream': view.work.sum_shares(),
        'datagrams': asdict(gossiper.counts),
    }


def _dump_peers(view: View, now: float) -> dict[str, object]:
    peers_by_name: dict[str, object] = {}
    live_names = {peer.name for peer in view.live_peers(now)}
    for name in sorted(view.peers.names()):
        peer = view.peers.find(name)
        if peer is None:
            continue
        peers_by_name[name] = {
            'zone': peer.zone,
            'address': f'{peer.host}:{peer.peer_port}',
            'phase': peer.phase.name.lower(),
            'start': peer.start,
            'heartbeat': peer.heartbeat,
            'silent_s': round(now - view.peers.last_seen(name), 3),
            'is_live': name in live_names,
        }
    return peers_by_name


def _dump_configuration(view: View, now: float) -> dict[str, object]:
    current = view.configuration
    if current is None:
        return {}
    confirmed_age_s = None
    if current.confirmed_at is not None:
        confirmed_age_s = round(now - current.confirmed_at, 3)
    return {
        'version': current.version,
        'digest': current.digest,
        'confirmed_age_s': confirmed_age_s,
    }


def _dump_marks(view: View, now: float) -> list[dict[str, object]]:
    marks: list[dict[str, object]] = []
    for mark in view.marks.iterate():
        marks.append(
            {
                'kind': mark.kind.name.lower(),
                'subject': mark.subject,
                'incarnation': mark.incarnation,
                'age_s': round(now - mark.happened_at, 3),
                'origin': mark.origin,
            }
        )
    return marks
