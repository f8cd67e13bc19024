"""Sizes of facts on the wire, in bytes, as the compact protocol has them."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from damaskpoint.membership import facts

# What UDP and IP add to a datagram.
DATAGRAM_OVERHEAD_BYTES: Final = 28
# Stop byte of the message, and headers of its lists.
MESSAGE_OVERHEAD: Final = 32
_BITS_PER_BYTE: Final = 7
_FIELD: Final = 1
_STOP: Final = 1
_MS: Final = 1000
# A hash of 32 bits as a signed number of variable length.
_BEAT_ID: Final = 5


def measure_number(number: int) -> int:
    """Return the size of a number that is not negative."""
    return max(1, -(-(number.bit_length() + 1) // _BITS_PER_BYTE))


def measure_text(text: str) -> int:
    """Return the size of a text with its length."""
    size = len(text.encode())
    return size + measure_number(size)


def measure_peer(peer: facts.PeerFact) -> int:
    """Return the size of a peer's fact."""
    fields = (
        measure_text(peer.name),
        measure_text(peer.zone),
        measure_text(peer.host),
        measure_number(peer.peer_port),
        measure_number(peer.start),
        measure_number(peer.heartbeat),
        measure_number(peer.phase),
    )
    return _sum_fields(fields)


def measure_configuration(fact: facts.ConfigurationFact, now: float) -> int:
    """Return the size of a configuration's fact."""
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
    """Return the size of an in-flight share."""
    return _sum_fields(
        (measure_text(share.upstream), measure_number(share.in_flight))
    )


def measure_demand(demand: facts.DemandFact) -> int:
    """Return the size of an account's demand."""
    fields = (
        measure_text(demand.account),
        measure_number(round(demand.offered_per_s * _MS)),
        measure_number(demand.in_flight),
    )
    return _sum_fields(fields)


def measure_pace(told: facts.PaceFact) -> int:
    """Return the size of a group's pace."""
    fields = (
        measure_text(told.group),
        measure_number(round(told.pace * _MS)),
    )
    return _sum_fields(fields)


def measure_pledge(told: facts.PledgeFact) -> int:
    """Return the size of what is pledged at a group."""
    fields = (
        measure_text(told.group),
        measure_number(told.urgent),
        measure_number(told.deferred),
    )
    return _sum_fields(fields)


def measure_beat(beat: facts.HeartbeatFact) -> int:
    """Return the size of a heartbeat."""
    return _BEAT_ID + measure_number(beat.heartbeat)


def _measure_age(happened_at: float, now: float) -> int:
    return measure_number(max(0, round((now - happened_at) * _MS) + 1))


def _sum_fields(fields: tuple[int, ...]) -> int:
    return sum(fields) + _FIELD * len(fields) + _STOP
