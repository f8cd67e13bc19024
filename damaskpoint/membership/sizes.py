"""Encoded sizes of facts in bytes, for Thrift's compact protocol."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Sequence

    from damaskpoint.membership import facts

# UDP and IP headers of a datagram.
DATAGRAM_OVERHEAD_BYTES: Final = 28
# Stop byte of the message and the headers of its lists.
MESSAGE_OVERHEAD_BYTES: Final = 32
_VARINT_BITS_PER_BYTE: Final = 7
_FIELD_HEADER_BYTES: Final = 1
_STOP_BYTES: Final = 1
# Header of a list that few messages have, counted with each of its items.
_RARE_LIST_BYTES: Final = 3
_MS: Final = 1000
# A 32-bit hash as a signed varint.
_BEAT_ID_BYTES: Final = 5


def measure_number(number: int) -> int:
    """Return the size of a non-negative number as a zigzag varint."""
    return max(1, -(-(number.bit_length() + 1) // _VARINT_BITS_PER_BYTE))


def measure_text(text: str) -> int:
    """Return the size of a text with its length prefix."""
    size = len(text.encode())
    return size + measure_number(size)


def measure_peer(peer: facts.PeerFact) -> int:
    """Return the size of a peer."""
    fields = [
        measure_text(peer.name),
        measure_text(peer.zone),
        measure_text(peer.host),
        measure_number(peer.peer_port),
        measure_number(peer.start),
        measure_number(peer.heartbeat),
        measure_number(peer.phase),
    ]
    if peer.batch_rate:
        fields.append(measure_number(peer.batch_rate))
    return _sum_fields(fields)


def measure_configuration(fact: facts.ConfigurationFact, now: float) -> int:
    """Return the size of a configuration version."""
    digest_size = len(fact.digest) // 2
    fields = (
        measure_number(fact.version),
        digest_size + measure_number(digest_size),
        _measure_age(fact.confirmed_at or now, now),
    )
    return _sum_fields(fields)


def measure_mark(mark: facts.Mark, now: float) -> int:
    """Return the size of a mark."""
    fields = (
        measure_number(mark.kind),
        measure_text(mark.subject),
        measure_number(mark.incarnation),
        _measure_age(mark.happened_at, now),
        measure_text(mark.origin),
        measure_number(mark.sequence),
        _RARE_LIST_BYTES,
    )
    return _sum_fields(fields)


def measure_load(load: facts.LoadFact, now: float) -> int:
    """Return the size of a load report."""
    fields = (
        measure_text(load.upstream),
        measure_number(load.incarnation),
        measure_number(load.in_flight),
        measure_number(load.limit),
        0,
        _measure_age(load.measured_at, now),
    )
    return _sum_fields(fields)


def measure_share(share: facts.ShareFact) -> int:
    """Return the size of the calls in flight to an upstream."""
    return _sum_fields(
        (measure_text(share.upstream), measure_number(share.in_flight))
    )


def measure_demand(demand: facts.DemandFact) -> int:
    """Return the size of a client account's demand."""
    fields = (
        measure_text(demand.account),
        measure_number(round(demand.offered_per_s * _MS)),
        measure_number(demand.in_flight),
    )
    return _sum_fields(fields)


def measure_pace(fact: facts.PaceFact) -> int:
    """Return the size of a group's pace."""
    fields = [measure_text(fact.group), measure_number(round(fact.pace * _MS))]
    if fact.drain_pace:
        fields.append(measure_number(round(fact.drain_pace * _MS)))
    if fact.order_s:
        fields.append(measure_number(round(fact.order_s * _MS)))
    return _sum_fields(fields)


def measure_pledge(pledge: facts.PledgeFact) -> int:
    """Return the size of the pieces that requests need from a group."""
    fields = (
        measure_text(pledge.group),
        measure_number(pledge.urgent),
        measure_number(pledge.deferred),
    )
    size = _sum_fields(fields)
    if pledge.less_urgent:
        counts = sum(map(measure_number, pledge.less_urgent))
        size += _RARE_LIST_BYTES + counts
    return size


def measure_run_count(fact: facts.RunCountFact) -> int:
    """Return the size of the number of runs at a service."""
    fields = (measure_text(fact.service), measure_number(fact.begun))
    return _sum_fields(fields) + _RARE_LIST_BYTES


def measure_capacity(fact: facts.CapacityFact, now: float) -> int:
    """Return the size of a runner's report."""
    fields = (
        measure_text(fact.runner),
        measure_number(fact.busy),
        measure_number(fact.slots),
        measure_number(round(fact.pace * _MS)),
        _measure_age(fact.measured_at, now),
        measure_number(fact.samples),
    )
    return _sum_fields(fields) + _RARE_LIST_BYTES


def measure_rollout(fact: facts.RolloutFact) -> int:
    """Return the size of the counts of a rollout."""
    fields = (
        measure_text(fact.service),
        measure_number(fact.started_ms),
        measure_text(fact.key),
        measure_number(fact.old),
        measure_number(fact.old_bad),
        measure_number(fact.new),
        measure_number(fact.new_bad),
        measure_number(fact.new_broken),
        # Two booleans, in the headers of their fields.
        0,
        0,
    )
    return _sum_fields(fields) + _RARE_LIST_BYTES


def measure_heartbeat(fact: facts.HeartbeatFact) -> int:
    """Return the size of a heartbeat."""
    return _BEAT_ID_BYTES + measure_number(fact.heartbeat)


def _measure_age(happened_at: float, now: float) -> int:
    return measure_number(max(0, round((now - happened_at) * _MS) + 1))


def _sum_fields(fields: Sequence[int]) -> int:
    return sum(fields) + _FIELD_HEADER_BYTES * len(fields) + _STOP_BYTES
