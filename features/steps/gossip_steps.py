"""Steps for gossip and peer calls over real sockets and processes."""

from __future__ import annotations

import asyncio
import json
import socket
import time
from typing import Any

from behave import given, then, when

from damaskpoint import defaults, protocol
from damaskpoint.errors import Code, Failure
from damaskpoint.membership import facts
from damaskpoint.membership.service import create_membership
from damaskpoint.settings_base import InstanceOptions, MembershipOptions
from damaskpoint.wire.peer_client import create_peer_client
from damaskpoint.wire.peer_server import create_peer_server
from features.steps.membership_bench import FixedVersionService
from features.support.cluster import Cluster
from features.support.launcher import Launcher, fetch
from features.support.sheets import SheetOptions

_PORT = 8082
_LEAVING = facts.MarkKind.LEAVING
_TIMEOUT_S = 20.0


@given('two entries that gossip on one event loop')
def create_two(context: Any) -> None:
    """Start two memberships that have each other as seed peers."""
    launcher = Launcher()
    context.closers.append(launcher.stop_all)
    context.hosts = [launcher.next_host(), launcher.next_host()]
    context.stranger = launcher.next_host()
    context.jump_s = float(0)
    peers = tuple(f'{host}:{_PORT}' for host in context.hosts)
    context.entries = []
    for number, host in enumerate(context.hosts):
        membership = create_membership(
            MembershipOptions(peers=peers),
            InstanceOptions(
                name=f'entry-{number}',
                zone='zone-a',
                host=host,
                port=1,
                operator_port=2,
                peer_port=_PORT,
            ),
            _create_clock(context, number),
        )
        assert not isinstance(membership, Failure)
        context.entries.append(membership)

    async def start() -> None:
        for membership in context.entries:
            membership.start()
            context.closers.append(membership.stop)
        await _wait_for(lambda: _count_live(context) == [1, 1])

    context.loop.run_until_complete(start())


@when("{count:d} malformed datagrams arrive from a peer's address")
def send_malformed(context: Any, count: int) -> None:
    """Send from the second entry's IP address."""
    _send_datagrams(context.hosts[1], context.hosts[0], count)


@when('{count:d} datagrams arrive from an unknown address')
def send_from_unknown(context: Any, count: int) -> None:
    """Send from an IP address that is not a peer's."""
    _send_datagrams(context.stranger, context.hosts[0], count)


@then(
    'the first entry has counted {malformed:d} malformed and {unknown:d} of unknown senders'
)
def check_counts(context: Any, malformed: int, unknown: int) -> None:
    """Wait for the counts in the state dump."""

    def is_counted() -> bool:
        state = context.entries[0].dump_state(time.monotonic())
        counts = state['datagrams']
        found = (counts['malformed'], counts['unknown_senders'])
        return bool(found == (malformed, unknown))

    context.loop.run_until_complete(_wait_for(is_counted))


@then('a mark of the second entry reaches the first')
def check_mark_arrives(context: Any) -> None:
    """Publish a mark and wait for it."""
    context.entries[1].publish_mark(_LEAVING, 'engine-1', 1)
    marks = context.entries[0].view.marks
    context.loop.run_until_complete(_wait_for(lambda: len(marks) == 1))


@when("the first entry's clock has jumped by {seconds:d} seconds")
def jump_clock(context: Any, seconds: int) -> None:
    """Advance the first clock, as if the process had been frozen."""
    context.jump_s = float(seconds)


@when("the second entry sends gossip before the first entry's next round")
def send_before_round(context: Any) -> None:
    """Publish a mark, and run the event loop for less than a round."""
    context.received = context.entries[0].dump_state(0)['datagrams']['received']
    context.entries[1].publish_mark(_LEAVING, 'engine-9', 1)

    async def run_loop() -> None:
        await asyncio.sleep(0)
        await asyncio.sleep(0.01)

    context.loop.run_until_complete(run_loop())


@then('the first entry discards it')
def check_discarded(context: Any) -> None:
    """Check that no datagram was decoded and no mark arrived."""
    state = context.entries[0].dump_state(0)
    assert state['datagrams']['received'] == context.received
    assert not len(context.entries[0].view.marks)


@given('a peer server with version {version:d} in force')
def create_server(context: Any, version: int) -> None:
    """Serve peer calls, with one client from a peer's address."""
    launcher = Launcher()
    context.closers.append(launcher.stop_all)
    context.address = facts.Address(launcher.next_host(), _PORT)
    peer_host = launcher.next_host()
    context.client = create_peer_client(5.0, peer_host)
    context.stranger = create_peer_client(5.0)

    async def start() -> None:
        server = create_peer_server(
            FixedVersionService(version),
            'entry-0',
            lambda host: host == peer_host,
        )
        server.listen(context.address.port, context.address.host)
        context.closers.append(server.stop)

    context.loop.run_until_complete(start())


@then('any host may ask for the version in force')
def check_in_force(context: Any) -> None:
    """Ask from an unknown address."""
    answer = _run(context, context.stranger.get_in_force(context.address))
    assert (answer.version, answer.digest) == (7, 'ab' * 32)


@then('only peers may fetch the object of the version')
def check_object(context: Any) -> None:
    """Ask from an unknown address, then from a peer's."""
    call = context.stranger.get_configuration(context.address, 7)
    refused = _run(context, call)
    assert refused.code is Code.PEER_UNKNOWN, refused
    fetched = _run(
        context, context.client.get_configuration(context.address, 7)
    )
    assert fetched.body == b'the object'


@then('a body that is not a call is rejected with status {status:d}')
def check_invalid_body(context: Any, status: int) -> None:
    """Post bytes that are not a message."""
    url = f'http://{context.address.host}:{_PORT}{protocol.PATH_PEER}'
    answered, body = _run(context, fetch(url, 'no call at all'))
    assert answered == status, (answered, body)
    assert json.loads(body)['code'] == Code.MESSAGE_MALFORMED.value


@then('a body above the size limit is rejected')
def check_large(context: Any) -> None:
    """Post more than the limit; the server must keep serving."""
    url = f'http://{context.address.host}:{_PORT}{protocol.PATH_PEER}'
    body = 'x' * (2 * defaults.MAX_PEER_REQUEST_BYTES)
    status, _ = _run(context, fetch(url, body))
    assert status in {0, 400, 413}, status
    check_in_force(context)


@then('a call for the object of version {version:d} fails with "{code}"')
def check_missing_version(context: Any, version: int, code: str) -> None:
    """Ask for a version that the server does not have."""
    call = context.client.get_configuration(context.address, version)
    assert _run(context, call).code is Code(code)


@given('three entries, two of them cut off from the platform')
def create_cluster(context: Any) -> None:
    """Start an engine and entries, and block the relays of two."""
    context.cluster = Cluster()
    context.closers.append(context.cluster.close)
    context.loop.run_until_complete(_create_cluster(context))


async def _create_cluster(context: Any) -> None:
    cluster = context.cluster
    await cluster.start_platform()
    await cluster.add_upstream('engine', 'engine-1', 'model-pool', 'zone-a')
    context.names = ['entry-1', 'entry-2', 'entry-3']
    assert await cluster.apply(SheetOptions(), '--wait-s=0') in {0, 7}
    for name in context.names:
        await cluster.add_entry(name, 'zone-a')
    for name in context.names:
        await cluster.wait_entry(name)
    for name in context.names[1:]:
        relay = cluster.relays_by_name[name]
        relay.block()
        relay.close_links()


@when('the list shows an engine as leaving')
def list_leaving(context: Any) -> None:
    """Change the engine's presence in the platform's list."""
    cluster = context.cluster
    cluster.members_by_name['engine-1'].presence = 'leaving'
    context.loop.run_until_complete(cluster.publish())


@then('the other two mark it within 1 s of the first')
def check_marked(context: Any) -> None:
    """Compare the state dumps of all entries."""
    spread_s = _run(context, _watch(context, _has_leaving_mark))
    assert spread_s <= 1, spread_s


@when('a zone is taken out')
def take_zone_out(context: Any) -> None:
    """Run the operator's tool against the platform."""
    status = _run(
        context,
        context.cluster.run_sheet_tool('zone', 'out', 'zone-a', '--wait-s=0'),
    )
    assert status in {0, 7}, context.cluster.events()[-1]


@then('the other two have the zone out within 1 s of the first')
def check_zone(context: Any) -> None:
    """Compare the zones that routing excludes."""
    spread_s = _run(context, _watch(context, _has_zone_out))
    assert spread_s <= 1, spread_s


@when('one of the two is killed and started again')
def restart_entry(context: Any) -> None:
    """Kill an entry, and start it with the same settings."""
    _run(context, _watch(context, _has_leaving_mark))
    _run(context, context.cluster.kill_entry('entry-3'))
    context.cluster.start_entry('entry-3')


@then('it becomes ready with the version of its peers')
def check_ready(context: Any) -> None:
    """Wait for its readiness on the operator port."""
    _run(context, context.cluster.wait_entry('entry-3'))


@then('it marks the engine as leaving')
def check_restarted_mark(context: Any) -> None:
    """Wait for the mark in its state dump."""
    _run(context, _watch(context, _has_leaving_mark))


def _has_leaving_mark(state: Any) -> bool:
    marks = state['membership']['marks']
    return any(
        mark['kind'] == 'leaving' and mark['subject'] == 'engine-1'
        for mark in marks
    )


def _has_zone_out(state: Any) -> bool:
    return 'zone-a' in state['routing']['marks']['zones_out']


async def _watch(context: Any, is_met: Any) -> Any:
    """Wait for a condition in all state dumps; return the spread in seconds.

    The spread is the time between the first and the last entry to meet it.
    """
    seen_at: dict[str, float] = {}
    deadline = time.monotonic() + _TIMEOUT_S
    while len(seen_at) < len(context.names):
        assert time.monotonic() < deadline, seen_at
        for name in context.names:
            member = context.cluster.members_by_name[name]
            status, body = await fetch(f'{member.operator_url}/state')
            if status == 200 and is_met(json.loads(body)):
                seen_at.setdefault(name, time.monotonic())
        await asyncio.sleep(0.02)
    spread_s: float = max(seen_at.values()) - min(seen_at.values())
    return spread_s


async def _wait_for(is_done: Any) -> None:
    deadline = time.monotonic() + _TIMEOUT_S
    while not is_done():
        assert time.monotonic() < deadline
        await asyncio.sleep(0.02)


def _run(context: Any, call: Any) -> Any:
    return context.loop.run_until_complete(call)


def _create_clock(context: Any, number: int) -> Any:
    def read_clock() -> float:
        jump_s = 0 if number else float(context.jump_s)
        return time.monotonic() + jump_s

    return read_clock


def _count_live(context: Any) -> list[int]:
    return [
        len(membership.live_peers(time.monotonic()))
        for membership in context.entries
    ]


def _send_datagrams(source: str, target: str, count: int) -> None:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        sender.bind((source, 0))
        for _ in range(count):
            sender.sendto(b'\xfcno gossip', (target, _PORT))
