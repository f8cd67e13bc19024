"""Encodes gossip to datagrams, and decodes datagrams to validated facts."""

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

_MILLI_PER_UNIT: Final = 1000
# Leaves headroom to add to a received number without an overflow.
_MAX_NUMBER: Final = 4_611_686_018_427_387_903
# Maximum age (milliseconds). Greater ages are clamped: they are all equally
# outdated.
_MAX_AGE_MS: Final = 86_400_000
_PART_KINDS: Final = frozenset(
    (
        facts.MarkKind.SUSPECTED_PART,
        facts.MarkKind.QUARANTINED_PART,
        facts.MarkKind.BROKEN_RUN,
    )
)


def encode_gossip(message: facts.GossipMessage, now: float) -> bytes:
    """Return the datagram; times are encoded as their ages at ``now``."""
    gossip = ttypes.Gossip(
        sender=_encode_peer(message.sender),
        configuration=_encode_configuration(message.configuration, now),
        peers=[_encode_peer(peer) for peer in message.peers] or None,
        beat_ids=[beat.beat_id for beat in message.beats] or None,
        beats=[beat.heartbeat for beat in message.beats] or None,
        marks=_encode_marks(message.marks, now, are_of_parts=False),
        part_marks=_encode_marks(message.marks, now, are_of_parts=True),
        loads=[_encode_load(load, now) for load in message.loads] or None,
        shares=[
            ttypes.ShareFact(share.upstream, share.in_flight)
            for share in message.shares
        ]
        or None,
        demands=[_encode_demand(demand) for demand in message.demands] or None,
        paces=[_encode_pace(fact) for fact in message.paces] or None,
        pledges=[_encode_pledge(fact) for fact in message.pledges] or None,
        run_counts=[
            ttypes.RunCountFact(fact.service, fact.begun)
            for fact in message.run_counts
        ]
        or None,
        capacities=[_encode_capacity(fact, now) for fact in message.capacities]
        or None,
        rollouts=[_encode_rollout(fact) for fact in message.rollouts] or None,
    )
    return codec.encode(gossip)


def decode_gossip(datagram: bytes, now: float) -> facts.GossipMessage | Failure:
    """Return the facts of a datagram, or a ``MESSAGE_MALFORMED`` failure.

    Ages are relative to ``now``, the time of receipt.
    """
    gossip = codec.decode(
        ttypes.Gossip, datagram, defaults.MAX_RECEIVED_DATAGRAM_BYTES
    )
    if isinstance(gossip, Failure):
        return gossip
    try:
        return _decode_message(gossip, now)
    except codec.DECODE_ERRORS as error:
        return Failure(Code.MESSAGE_MALFORMED, str(error))


def _encode_peer(peer: facts.PeerFact) -> ttypes.PeerFact:
    return ttypes.PeerFact(
        name=peer.name,
        zone=peer.zone,
        host=peer.host,
        peer_port=peer.peer_port,
        start=peer.start,
        heartbeat=peer.heartbeat,
        phase=int(peer.phase),
        batch_rate=peer.batch_rate or None,
    )


def _encode_configuration(
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


def _encode_marks(
    marks: Iterable[facts.Mark], now: float, *, are_of_parts: bool
) -> list[ttypes.MarkFact] | None:
    """Return the marks of prompt parts, or all others; None without marks."""
    encoded = []
    for mark in marks:
        if (mark.kind in _PART_KINDS) == are_of_parts:
            encoded.append(_encode_mark(mark, now))
    return encoded or None


def _encode_mark(mark: facts.Mark, now: float) -> ttypes.MarkFact:
    return ttypes.MarkFact(
        kind=int(mark.kind),
        subject=mark.subject,
        incarnation=mark.incarnation,
        age_ms=_age_ms(mark.happened_at, now),
        origin=mark.origin or None,
        sequence=mark.sequence or None,
    )


def _encode_load(load: facts.LoadFact, now: float) -> ttypes.LoadFact:
    return ttypes.LoadFact(
        upstream=load.upstream,
        incarnation=load.incarnation,
        in_flight=load.in_flight,
        limit=load.limit,
        is_warm=load.is_warm,
        age_ms=_age_ms(load.measured_at, now),
    )


def _encode_demand(demand: facts.DemandFact) -> ttypes.DemandFact:
    return ttypes.DemandFact(
        demand.account,
        round(demand.offered_per_s * _MILLI_PER_UNIT),
        demand.in_flight,
    )


def _encode_pace(fact: facts.PaceFact) -> ttypes.PaceFact:
    return ttypes.PaceFact(
        fact.group,
        round(fact.pace * _MILLI_PER_UNIT),
        round(fact.drain_pace * _MILLI_PER_UNIT) or None,
        round(fact.order_s * _MILLI_PER_UNIT) or None,
    )


def _encode_pledge(fact: facts.PledgeFact) -> ttypes.PledgeFact:
    return ttypes.PledgeFact(
        fact.group, fact.urgent, fact.deferred, list(fact.less_urgent) or None
    )


def _encode_capacity(
    fact: facts.CapacityFact, now: float
) -> ttypes.CapacityFact:
    return ttypes.CapacityFact(
        runner=fact.runner,
        busy=fact.busy,
        slots=fact.slots,
        pace_permille=round(fact.pace * _MILLI_PER_UNIT),
        age_ms=_age_ms(fact.measured_at, now),
        samples=fact.samples or None,
    )


def _encode_rollout(fact: facts.RolloutFact) -> ttypes.RolloutFact:
    return ttypes.RolloutFact(
        service_name=fact.service,
        started_ms=fact.started_ms,
        evidence_key=fact.key,
        old_count=fact.old,
        old_bad=fact.old_bad,
        new_count=fact.new,
        new_bad=fact.new_bad,
        new_broken=fact.new_broken,
        is_switched=fact.is_switched,
        is_blocked=fact.is_blocked,
    )


def _age_ms(happened_at: float, now: float) -> int:
    # Rounded up, so that no hop makes a fact appear newer than it is.
    return min(
        max(0, math.ceil((now - happened_at) * _MILLI_PER_UNIT)), _MAX_AGE_MS
    )


def _decode_message(gossip: ttypes.Gossip, now: float) -> facts.GossipMessage:
    return facts.GossipMessage(
        sender=_decode_peer(gossip.sender),
        configuration=_decode_configuration(gossip.configuration, now),
        peers=tuple(_decode_peer(peer) for peer in gossip.peers or ()),
        beats=_decode_beats(gossip.beat_ids or (), gossip.beats or ()),
        marks=tuple(
            _decode_mark(mark, now)
            for mark in (*(gossip.marks or ()), *(gossip.part_marks or ()))
        ),
        loads=tuple(_decode_load(load, now) for load in gossip.loads or ()),
        shares=tuple(_decode_share(share) for share in gossip.shares or ()),
        demands=tuple(
            _decode_demand(demand) for demand in gossip.demands or ()
        ),
        paces=tuple(_decode_pace(fact) for fact in gossip.paces or ()),
        pledges=tuple(_decode_pledge(fact) for fact in gossip.pledges or ()),
        run_counts=tuple(
            _decode_run_count(fact) for fact in gossip.run_counts or ()
        ),
        capacities=tuple(
            _decode_capacity(fact, now) for fact in gossip.capacities or ()
        ),
        rollouts=tuple(_decode_rollout(fact) for fact in gossip.rollouts or ()),
    )


def _decode_beats(
    beat_ids: Iterable[int], heartbeats: Iterable[int]
) -> tuple[facts.HeartbeatFact, ...]:
    beats = []
    for beat_id, heartbeat in zip(beat_ids, heartbeats, strict=True):
        beats.append(facts.HeartbeatFact(beat_id, _check_number(heartbeat)))
    return tuple(beats)


def _decode_peer(peer: ttypes.PeerFact) -> facts.PeerFact:
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
        batch_rate=_check_number(peer.batch_rate or 0),
    )


def _decode_configuration(
    fact: ttypes.ConfigurationFact | None, now: float
) -> facts.ConfigurationFact | None:
    if fact is None:
        return None
    fact.validate()
    confirmed_at = None
    if fact.confirmed_age_ms >= 0:
        confirmed_at = _decode_time(fact.confirmed_age_ms, now)
    if not 0 < len(fact.digest) <= defaults.MAX_DIGEST_BYTES:
        raise ValueError('digest out of range')
    return facts.ConfigurationFact(
        _check_number(fact.version), fact.digest.hex(), confirmed_at
    )


def _decode_mark(mark: ttypes.MarkFact, now: float) -> facts.Mark:
    mark.validate()
    origin = ''
    if mark.origin is not None:
        origin = _check_name(mark.origin)
    return facts.Mark(
        kind=facts.MarkKind(mark.kind),
        subject=_check_name(mark.subject),
        incarnation=_check_number(mark.incarnation),
        happened_at=_decode_time(mark.age_ms, now),
        origin=origin,
        sequence=_check_number(mark.sequence or 0),
    )


def _decode_load(load: ttypes.LoadFact, now: float) -> facts.LoadFact:
    load.validate()
    return facts.LoadFact(
        upstream=_check_name(load.upstream),
        incarnation=_check_number(load.incarnation),
        in_flight=_check_number(load.in_flight),
        limit=_check_number(load.limit),
        is_warm=load.is_warm,
        measured_at=_decode_time(load.age_ms, now),
    )


def _decode_share(share: ttypes.ShareFact) -> facts.ShareFact:
    share.validate()
    return facts.ShareFact(
        _check_name(share.upstream), _check_number(share.in_flight)
    )


def _decode_demand(demand: ttypes.DemandFact) -> facts.DemandFact:
    demand.validate()
    return facts.DemandFact(
        _check_name(demand.account),
        _check_number(demand.offered_milli) / _MILLI_PER_UNIT,
        _check_number(demand.in_flight),
    )


def _decode_pace(fact: ttypes.PaceFact) -> facts.PaceFact:
    fact.validate()
    return facts.PaceFact(
        _check_name(fact.group),
        _check_number(fact.pace_permille) / _MILLI_PER_UNIT,
        _check_number(fact.drain_permille or 0) / _MILLI_PER_UNIT,
        _check_number(fact.order_ms or 0) / _MILLI_PER_UNIT,
    )


def _decode_pledge(fact: ttypes.PledgeFact) -> facts.PledgeFact:
    fact.validate()
    return facts.PledgeFact(
        _check_name(fact.group),
        _check_number(fact.urgent),
        _check_number(fact.deferred),
        tuple(map(_check_number, fact.less_urgent or ())),
    )


def _decode_run_count(fact: ttypes.RunCountFact) -> facts.RunCountFact:
    fact.validate()
    return facts.RunCountFact(
        _check_name(fact.service_name), _check_number(fact.begun)
    )


def _decode_capacity(
    fact: ttypes.CapacityFact, now: float
) -> facts.CapacityFact:
    fact.validate()
    return facts.CapacityFact(
        runner=_check_name(fact.runner),
        busy=_check_number(fact.busy),
        slots=_check_number(fact.slots),
        pace=_check_number(fact.pace_permille) / _MILLI_PER_UNIT,
        measured_at=_decode_time(fact.age_ms, now),
        samples=_check_number(fact.samples or 0),
    )


def _decode_rollout(fact: ttypes.RolloutFact) -> facts.RolloutFact:
    fact.validate()
    if len(fact.evidence_key) > 2 * defaults.MAX_NAME_CHARACTERS + 1:
        raise ValueError('key out of range')
    return facts.RolloutFact(
        service=_check_name(fact.service_name),
        started_ms=_check_number(fact.started_ms),
        key=fact.evidence_key,
        old=_check_number(fact.old_count),
        old_bad=_check_number(fact.old_bad),
        new=_check_number(fact.new_count),
        new_bad=_check_number(fact.new_bad),
        new_broken=_check_number(fact.new_broken),
        is_switched=fact.is_switched,
        is_blocked=fact.is_blocked,
    )


def _decode_time(age_ms: int, now: float) -> float:
    return now - min(_check_number(age_ms), _MAX_AGE_MS) / _MILLI_PER_UNIT


def _check_name(text: str) -> str:
    if not 0 < len(text) <= defaults.MAX_NAME_CHARACTERS:
        raise ValueError('name out of range')
    return text


def _check_number(number: int) -> int:
    if not 0 <= number <= _MAX_NUMBER:
        raise ValueError('number out of range')
    return number
