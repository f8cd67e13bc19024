"""Turns gossip into datagrams and datagrams into checked facts."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

from damaskpoint import defaults
from damaskpoint.errors import Code, Failure
from damaskpoint.membership import facts
from damaskpoint.wire import codec
from damaskpoint.wire.generated.peer import ttypes

if TYPE_CHECKING:
    from collections.abc import Iterable

_MS: Final = 1000
# Leaves room to add to a number that was read.
_MAX_NUMBER: Final = 4_611_686_018_427_387_903
# An age beyond this says no more than this one does (milliseconds).
_MAX_AGE_MS: Final = 86_400_000


def encode_gossip(message: facts.GossipMessage, now: float) -> bytes:
    """Return the datagram; times become ages as of ``now``."""
    gossip = ttypes.Gossip(
        sender=_from_peer(message.sender),
        configuration=_from_configuration(message.configuration, now),
        peers=[_from_peer(peer) for peer in message.peers] or None,
        beat_ids=[beat.beat_id for beat in message.beats] or None,
        beats=[beat.heartbeat for beat in message.beats] or None,
        marks=[_from_mark(mark, now) for mark in message.marks] or None,
        loads=[_from_load(load, now) for load in message.loads] or None,
        shares=[
            ttypes.ShareFact(share.upstream, share.in_flight)
            for share in message.shares
        ]
        or None,
        demands=[_from_demand(demand) for demand in message.demands] or None,
        paces=[_from_pace(told) for told in message.paces] or None,
        pledges=[_from_pledge(told) for told in message.pledges] or None,
    )
    return codec.encode(gossip)


def decode_gossip(datagram: bytes, now: float) -> facts.GossipMessage | Failure:
    """Return the facts of a datagram, or ``MESSAGE_MALFORMED``.

    Ages are counted from ``now``, the time of receipt.
    """
    gossip = codec.decode(
        ttypes.Gossip, datagram, defaults.MAX_RECEIVED_DATAGRAM_BYTES
    )
    if isinstance(gossip, Failure):
        return gossip
    try:
        return _to_message(gossip, now)
    except codec.DECODE_ERRORS as error:
        return Failure(Code.MESSAGE_MALFORMED, str(error))


def _from_peer(peer: facts.PeerFact) -> ttypes.PeerFact:
    return ttypes.PeerFact(
        name=peer.name,
        zone=peer.zone,
        host=peer.host,
        peer_port=peer.peer_port,
        start=peer.start,
        heartbeat=peer.heartbeat,
        phase=int(peer.phase),
    )


def _from_configuration(
    fact: facts.ConfigurationFact | None, now: float
) -> ttypes.ConfigurationFact | None:
    if fact is None:
        return None
    age_ms = -1
    if fact.confirmed_at is not None:
        age_ms = _age_ms(fact.confirmed_at, now)
    return ttypes.ConfigurationFact(
        fact.version, bytes.fromhex(fact.digest), age_ms
    )


def _from_mark(mark: facts.Mark, now: float) -> ttypes.MarkFact:
    return ttypes.MarkFact(
        kind=int(mark.kind),
        subject=mark.subject,
        incarnation=mark.incarnation,
        age_ms=_age_ms(mark.happened_at, now),
        origin=mark.origin or None,
        sequence=mark.sequence or None,
    )


def _from_load(load: facts.LoadFact, now: float) -> ttypes.LoadFact:
    return ttypes.LoadFact(
        upstream=load.upstream,
        incarnation=load.incarnation,
        in_flight=load.in_flight,
        limit=load.limit,
        is_warm=load.is_warm,
        age_ms=_age_ms(load.measured_at, now),
    )


def _from_demand(demand: facts.DemandFact) -> ttypes.DemandFact:
    return ttypes.DemandFact(
        demand.account, round(demand.offered_per_s * _MS), demand.in_flight
    )


def _from_pace(told: facts.PaceFact) -> ttypes.PaceFact:
    return ttypes.PaceFact(told.group, round(told.pace * _MS))


def _from_pledge(told: facts.PledgeFact) -> ttypes.PledgeFact:
    return ttypes.PledgeFact(told.group, told.urgent, told.deferred)


def _age_ms(happened_at: float, now: float) -> int:
    # Rounded up, so that no hop makes a fact look newer than it is.
    return min(max(0, math.ceil((now - happened_at) * _MS)), _MAX_AGE_MS)


def _to_message(gossip: ttypes.Gossip, now: float) -> facts.GossipMessage:
    beat_ids = gossip.beat_ids or ()
    heartbeats = gossip.beats or ()
    if len(beat_ids) != len(heartbeats):
        raise ValueError('beats without ids')
    return facts.GossipMessage(
        sender=_to_peer(gossip.sender),
        configuration=_to_configuration(gossip.configuration, now),
        peers=tuple(_to_peer(peer) for peer in gossip.peers or ()),
        beats=_to_beats(beat_ids, heartbeats),
        marks=tuple(_to_mark(mark, now) for mark in gossip.marks or ()),
        loads=tuple(_to_load(load, now) for load in gossip.loads or ()),
        shares=tuple(_to_share(share) for share in gossip.shares or ()),
        demands=tuple(_to_demand(demand) for demand in gossip.demands or ()),
        paces=tuple(_to_pace(told) for told in gossip.paces or ()),
        pledges=tuple(_to_pledge(told) for told in gossip.pledges or ()),
    )


def _to_beats(
    beat_ids: Iterable[int], heartbeats: Iterable[int]
) -> tuple[facts.HeartbeatFact, ...]:
    beats = []
    for beat_id, heartbeat in zip(beat_ids, heartbeats, strict=True):
        beats.append(facts.HeartbeatFact(beat_id, _check_number(heartbeat)))
    return tuple(beats)


def _to_peer(peer: ttypes.PeerFact) -> facts.PeerFact:
    peer.validate()
    port = _check_number(peer.peer_port)
    if not 0 < port <= defaults.MAX_PORT:
        raise ValueError('port out of range')
    return facts.PeerFact(
        name=_check_name(peer.name),
        zone=_check_name(peer.zone),
        host=_check_name(peer.host),
        peer_port=port,
        start=_check_number(peer.start),
        heartbeat=_check_number(peer.heartbeat),
        phase=facts.Phase(peer.phase),
    )


def _to_configuration(
    fact: ttypes.ConfigurationFact | None, now: float
) -> facts.ConfigurationFact | None:
    if fact is None:
        return None
    fact.validate()
    confirmed_at = None
    if fact.confirmed_age_ms >= 0:
        confirmed_at = _to_time(fact.confirmed_age_ms, now)
    if not 0 < len(fact.digest) <= defaults.MAX_DIGEST_BYTES:
        raise ValueError('digest out of range')
    return facts.ConfigurationFact(
        _check_number(fact.version), fact.digest.hex(), confirmed_at
    )


def _to_mark(mark: ttypes.MarkFact, now: float) -> facts.Mark:
    mark.validate()
    origin = ''
    if mark.origin is not None:
        origin = _check_name(mark.origin)
    return facts.Mark(
        kind=facts.MarkKind(mark.kind),
        subject=_check_name(mark.subject),
        incarnation=_check_number(mark.incarnation),
        happened_at=_to_time(mark.age_ms, now),
        origin=origin,
        sequence=_check_number(mark.sequence or 0),
    )


def _to_load(load: ttypes.LoadFact, now: float) -> facts.LoadFact:
    load.validate()
    return facts.LoadFact(
        upstream=_check_name(load.upstream),
        incarnation=_check_number(load.incarnation),
        in_flight=_check_number(load.in_flight),
        limit=_check_number(load.limit),
        is_warm=load.is_warm,
        measured_at=_to_time(load.age_ms, now),
    )


def _to_share(share: ttypes.ShareFact) -> facts.ShareFact:
    share.validate()
    return facts.ShareFact(
        _check_name(share.upstream), _check_number(share.in_flight)
    )


def _to_demand(demand: ttypes.DemandFact) -> facts.DemandFact:
    demand.validate()
    return facts.DemandFact(
        _check_name(demand.account),
        _check_number(demand.offered_milli) / _MS,
        _check_number(demand.in_flight),
    )


def _to_pace(told: ttypes.PaceFact) -> facts.PaceFact:
    told.validate()
    return facts.PaceFact(
        _check_name(told.group), _check_number(told.pace_permille) / _MS
    )


def _to_pledge(told: ttypes.PledgeFact) -> facts.PledgeFact:
    told.validate()
    return facts.PledgeFact(
        _check_name(told.group),
        _check_number(told.urgent),
        _check_number(told.deferred),
    )


def _to_time(age_ms: int, now: float) -> float:
    return now - min(_check_number(age_ms), _MAX_AGE_MS) / _MS


def _check_name(text: str) -> str:
    if not 0 < len(text) <= defaults.MAX_NAME_CHARACTERS:
        raise ValueError('name out of range')
    return text


def _check_number(number: int) -> int:
    if not 0 <= number <= _MAX_NUMBER:
        raise ValueError('number out of range')
    return number
