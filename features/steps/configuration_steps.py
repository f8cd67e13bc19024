"""Steps for the configuration in force, with an in-memory platform."""

from __future__ import annotations

import asyncio
import zlib
from typing import Any

from aioprometheus.collectors import REGISTRY
from aioprometheus.renderer import render
from behave import given, then, when
from hypothesis import given as draw
from hypothesis import seed, settings
from hypothesis import strategies as st

from damaskpoint.config import document
from damaskpoint.config.accepted_row import ACCEPTED_ROW, create_next_row
from damaskpoint.config.confirmation import (
    ConfirmationBounds,
    ConfirmationTracker,
)
from damaskpoint.config.follower import create_follower
from damaskpoint.config.model import Configuration, Zone
from damaskpoint.config.peers import ConfigurationPeers
from damaskpoint.config.versions import VersionClaim, VersionTracker
from damaskpoint.errors import Code, Failure
from damaskpoint.platform.base import Write
from damaskpoint.settings import PlatformOptions
from features.support.memory_platform import MemoryObjects, ScriptedTable

_OPTIONS = PlatformOptions(store_url='http://x')
_BOUND_S = 4.0


class ScriptedPeers(ConfigurationPeers):
    """Peers that serve the objects which a test sets."""

    def __init__(self) -> None:
        self.bodies_by_version: dict[int, bytes] = {}

    async def fetch_object(self, claim: VersionClaim) -> bytes | Failure:
        body = self.bodies_by_version.get(claim.version)
        return body or Failure(Code.PEER_UNREACHABLE)


@given('a new follower, while the platform is down')
def start_follower(context: Any) -> None:
    """Create a follower without a configuration."""
    context.now = 1000.0
    context.config_table = ScriptedTable()
    context.config_objects = MemoryObjects()
    context.config_peers = ScriptedPeers()
    context.follower = create_follower(
        context.config_table, context.config_objects, _OPTIONS
    )
    context.follower.attach_peers(context.config_peers)
    context.follower.set_reachability(0, 7)
    context.follower.record_loop_iteration(context.now)
    _take_platform_down(context)


@given('a follower with version {version:d} in force')
def follow(context: Any, version: int) -> None:
    """Accept all versions up to the given one, then poll."""
    start_follower(context)
    _bring_platform_up(context)
    context.notified_versions = []
    context.follower.add_listener(
        lambda configuration: context.notified_versions.append(
            configuration.version
        )
    )
    for number in range(1, version + 1):
        _accept(context, number)
    _poll(context)
    assert context.follower.current.version == version


@given('version {version:d} is accepted, but {what}')
def accept_but(context: Any, version: int, what: str) -> None:
    """Accept a version and break one way to fetch it."""
    _accept(context, version)
    if what == 'the object store corrupts it':
        context.config_objects.is_corrupt = True
    if what in {'the table is down', 'the platform is down'}:
        context.config_table.is_down = True
    if what == 'the platform is down':
        context.config_objects.is_down = True
    if what == 'the object store hangs':
        context.config_table.is_down = True
        context.config_objects.get = _hang


@given('a peer has version {version:d}')
@then('a peer has version {version:d}')
def set_peer_object(context: Any, version: int) -> None:
    """Let a peer serve the object of a version."""
    body = document.pack(_create_configuration(version))
    context.config_peers.bodies_by_version[version] = body


@given('a peer has a corrupt object of version {version:d}')
def set_corrupt_peer_object(context: Any, version: int) -> None:
    """Let a peer serve bytes that do not match the digest."""
    context.config_peers.bodies_by_version[version] = b'{}'


@when('a stale read of the platform returns version {version:d}')
def read_stale_row(context: Any, version: int) -> None:
    """Poll a row of a lower version, as a stale read returns it."""
    context.age_before = context.follower.own_claim(context.now).age_s
    context.now += 1
    _write_row(context, version)
    _poll(context)


@when('a peer offers version {version:d} confirmed {age:g} seconds ago')
def offer(context: Any, version: int, age: float) -> None:
    """Receive a peer's claim and fetch the claimed version."""
    _receive_claim(context, version, age)
    asyncio.run(context.follower.fetch_wanted())


@when('an operator pushes version {version:d}')
def push(context: Any, version: int) -> None:
    """Push a version with its object."""
    configuration = _create_configuration(version)
    claim = VersionClaim(version, configuration.digest)
    body = document.pack(configuration)
    assert (
        context.follower.install_pushed(claim, body, 0.2, context.now) is None
    )


@when('an operator pushes version {version:d} with a body that does not match')
def push_corrupt(context: Any, version: int) -> None:
    """Push bytes that do not match the digest."""
    claim = VersionClaim(version, _create_configuration(version).digest)
    assert context.follower.install_pushed(claim, b'{}', 0.2, context.now)


@when('it polls the platform')
def poll(context: Any) -> None:
    """Poll once."""
    _poll(context)


@when('version {version:d} is accepted and polled')
def accept_and_poll(context: Any, version: int) -> None:
    """Accept a version, then poll."""
    _accept(context, version)
    context.now += 1
    _poll(context)


@when('{seconds:g} seconds pass without the platform')
@when('{seconds:g} seconds pass with the event loop running')
def pass_time(context: Any, seconds: float) -> None:
    """Let time pass with an iteration of the loop every 0.25 seconds."""
    end = context.now + seconds
    while context.now < end:
        context.now = min(context.now + 0.25, end)
        _record_iteration(context)


@when('it is frozen for {seconds:g} seconds')
def freeze(context: Any, seconds: float) -> None:
    """Let time pass without an iteration of the event loop."""
    _record_iteration(context)
    context.now += seconds


@when('it reaches {reached:d} of {known:d} peers')
def reach(context: Any, reached: int, known: int) -> None:
    """Set how many peers are reachable."""
    context.follower.set_reachability(reached, known)


@when("a peer's claim of version {version:d} is {age:g} seconds old")
@when("a peer's claim of version {version:d} reports an age of {age:g} seconds")
def claim(context: Any, version: int, age: float) -> None:
    """Receive a peer's claim."""
    _receive_claim(context, version, age)


@when('the table answers a poll with 429 and Retry-After 5')
def answer_busy(context: Any) -> None:
    """Poll a table that is overloaded."""
    context.config_table.read_failure = Failure(
        Code.PLATFORM_UNAVAILABLE, '429', retry_after_s=5
    )
    context.now += 1
    _poll(context)


@then('version {version:d} is in force')
def check_in_force(context: Any, version: int) -> None:
    """Compare the version in force."""
    assert context.follower.current.version == version


@then('its confirmation is not renewed')
def check_age(context: Any) -> None:
    """Check that a stale read is no confirmation."""
    age_s = context.follower.own_claim(context.now).age_s
    assert age_s >= context.age_before + 1


@then('it is ready')
def check_ready(context: Any) -> None:
    """Ask for readiness."""
    failure = context.follower.check_ready(context.now)
    assert failure is None, failure


@then('it is not ready')
def check_not_ready(context: Any) -> None:
    """Ask for readiness."""
    assert context.follower.check_ready(context.now)


@then('a fetch that ended as {end} is counted')
def check_counted(context: Any, end: str) -> None:
    """Find the counter in the metrics."""
    text = render(REGISTRY, ['text/plain'])[0].decode()
    lines = [line for line in text.splitlines() if end in line]
    assert any('config_fetches_total' in line for line in lines), lines


@then('its listener was notified of versions 1 and 2')
def check_notified(context: Any) -> None:
    """Compare the versions that the listener received."""
    assert context.notified_versions == [1, 2]


@then('no poll is due')
def check_not_due(context: Any) -> None:
    """Ask often: the spread is random."""
    for _ in range(50):
        assert not context.follower.is_poll_due(context.now)


@then('a poll is due')
def check_due(context: Any) -> None:
    """Ask often: the spread is random."""
    for _ in range(50):
        assert context.follower.is_poll_due(context.now)


@then('no poll is due for {seconds:d} seconds')
def check_not_due_for(context: Any, seconds: int) -> None:
    """Check every 0.1 seconds of that time."""
    for step in range(seconds * 10):
        assert not context.follower.is_poll_due(context.now + step / 10)


@then('{count:d} random histories of claims never lower the version')
def check_claims(context: Any, count: int) -> None:
    """Claim and install versions in any order, some with a wrong digest."""
    event = st.tuples(
        st.sampled_from(('claim', 'conflict', 'install')), st.integers(1, 9)
    )

    @seed(22)
    @settings(max_examples=count, database=None, deadline=None)
    @draw(st.lists(event, max_size=40))
    def run(events: list[tuple[str, int]]) -> None:
        _check_claims(events)

    run()


@then('{count:d} random histories of confirmations keep the age limit')
def check_confirmations(context: Any, count: int) -> None:
    """Check how long an isolated process serves after a confirmation."""
    event = st.tuples(
        st.sampled_from(('read', 'peer', 'freeze', 'tick')),
        st.floats(0, 6),
    )

    @seed(23)
    @settings(max_examples=count, database=None, deadline=None)
    @draw(st.lists(event, max_size=40))
    def run(events: list[tuple[str, float]]) -> None:
        _check_age_limit(events)

    run()


def _check_claims(events: list[tuple[str, int]]) -> None:
    tracker = VersionTracker()
    highest = 0
    for kind, version in events:
        digest = 'other' if kind == 'conflict' else f'd{version}'
        if kind == 'install':
            tracker.install(Configuration(version, f'd{version}'))
        else:
            tracker.record_claim(VersionClaim(version, digest))
        current = tracker.current.version if tracker.current else 0
        assert current >= highest
        highest = current
        assert tracker.highest_version >= current
        if tracker.wanted:
            assert tracker.wanted.version > current


def _check_age_limit(events: list[tuple[str, float]]) -> None:
    """Simulate an isolated process whose messages wait while it is frozen.

    It has no reachable peers. It reads a peer's message in the first
    iteration of its loop after the message was sent; the age in the message is
    correct at the time of sending.
    """
    tracker = ConfirmationTracker(ConfirmationBounds(_BOUND_S, 1.5))
    tracker.set_reachability(0, 7)
    now = 100.0
    last_confirmed_at: float = 0
    buffered: list[tuple[float, float]] = []
    for kind, seconds in events:
        if kind == 'freeze':
            # Sent when the freeze begins, read when it ends.
            buffered.append((now, seconds / 10))
            now += seconds * 5
        if kind == 'tick':
            now += min(seconds, 1)
            tracker.record_loop_iteration(now)
        if kind == 'read':
            tracker.confirm(1, now)
            last_confirmed_at = now
        if kind == 'peer':
            buffered.append((now, seconds))
        for sent_at, age_s in buffered:
            tracker.confirm_through_peer(1, age_s, now)
            last_confirmed_at = max(last_confirmed_at, sent_at - age_s)
        buffered.clear()
        tracker.record_loop_iteration(now)
        if tracker.check(1, 1, now) is None:
            # A gap shorter than a stall is not detected.
            assert now - last_confirmed_at <= _BOUND_S + 1.5


def _create_configuration(version: int) -> Configuration:
    zone = Zone(f'zone-{version}', is_out=False)
    return document.assign_version(
        Configuration(0, '', zones_by_name={zone.name: zone}), version
    )


def _accept(context: Any, version: int) -> None:
    configuration = _create_configuration(version)
    name = document.build_object_name(configuration.digest)
    body = document.pack(configuration)
    asyncio.run(context.config_objects.put(name, body))
    _write_row(context, version)


def _write_row(context: Any, version: int) -> None:
    digest = _create_configuration(version).digest
    row = create_next_row(None, digest, document.build_object_name(digest), 'x')
    row = row.model_copy(update={'version': version})
    write = Write(ACCEPTED_ROW, None, row.model_dump(mode='json'))
    asyncio.run(context.config_table.transact((write,)))


def _poll(context: Any) -> None:
    asyncio.run(context.follower.poll(context.now))


def _receive_claim(context: Any, version: int, age: float) -> None:
    digest = _create_configuration(version).digest
    context.follower.handle_peer_claim(version, digest, age, context.now)


def _record_iteration(context: Any) -> None:
    context.follower.record_loop_iteration(context.now)


def _take_platform_down(context: Any) -> None:
    context.config_table.is_down = True
    context.config_objects.is_down = True


def _bring_platform_up(context: Any) -> None:
    context.config_table.is_down = False
    context.config_objects.is_down = False


async def _hang(name: str) -> bytes | Failure:
    await asyncio.sleep(60)
    return Failure(Code.PLATFORM_UNAVAILABLE, name)


@when('the object of a version is {corruption}')
def corrupt_object(context: Any, corruption: str) -> None:
    """Unpack the object after its corruption."""
    configuration = _create_configuration(1)
    packed = document.pack(configuration)
    middle = len(packed) // 2
    corrupted_objects = {
        'truncated': lambda: packed[:-1],
        'followed by extra bytes': lambda: packed + b'more',
        'changed in the middle': lambda: (
            packed[:middle] + bytes([packed[middle] ^ 1]) + packed[middle + 1 :]
        ),
        'the uncompressed text': lambda: document.encode_text(configuration),
        'a compressed gigabyte': _pack_gigabyte,
    }
    context.unpacked = document.unpack(
        corrupted_objects[corruption](), 1, configuration.digest
    )


@then('it is rejected as configuration_corrupt')
def check_corrupt(context: Any) -> None:
    """Check that the object was rejected."""
    assert isinstance(context.unpacked, Failure), context.unpacked
    assert context.unpacked.code is Code.CONFIGURATION_CORRUPT


def _pack_gigabyte() -> bytes:
    packer = zlib.compressobj()
    megabyte = bytes(1_000_000)
    pieces = [packer.compress(megabyte) for _ in range(1000)]
    return b''.join(pieces) + packer.flush()
