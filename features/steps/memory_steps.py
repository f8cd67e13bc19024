"""Steps for the memory and descriptors of a gateway process under a crowd."""

from __future__ import annotations

import asyncio
import contextlib
import resource
import sys
import time
from http import HTTPStatus
from typing import Any, Final

from behave import given, then, when
from tornado import httpclient

from features.steps.entry_border_steps import ask_pipeline, start_entry_site
from features.support.cluster import Sections
from features.support.crowd import Crowd
from features.support.gateway_site import run
from features.support.process_site import ProcessSite, encode_head, exchange
from features.support.process_use import ProcessUse

_BYTES_PER_MB: Final = 1_000_000
# How long one try of the ordinary request, and all of them, may take.
_TRY_S: Final = 10.0
_ALL_TRIES_S: Final = 120.0
_BETWEEN_S: Final = 0.5
# Memory of the process with a limit of its own, and its bodies (bytes).
_MEMORY_MB: Final = 552
_BODY_BYTES: Final = 1_500_000


@given(
    'a gateway process with {memory:d} MB, {descriptors:d} descriptors and'
    ' bodies up to {body:d} bytes'
)
def start_process(
    context: Any, memory: int, descriptors: int, body: int
) -> None:
    """Start the process and its stand-ins; prepare its callers."""
    context.site = ProcessSite()
    context.closers.append(context.site.close)
    context.use = context.site.use
    context.most_descriptors = 0
    limits = {'memory_mb': memory, 'max_fds': descriptors}

    async def start() -> None:
        await context.site.start(body, limits)
        context.crowd = Crowd(context.site.address, body)
        context.closers.append(context.crowd.close)

    run(context, start())


@given(
    'a gateway process that may open {own:d} descriptors, with settings for'
    ' {descriptors:d}'
)
def start_limited(context: Any, own: int, descriptors: int) -> None:
    """Start the process with a limit that it inherits from this one."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (own, hard))
    try:
        start_process(context, _MEMORY_MB, descriptors, _BODY_BYTES)
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


def _sample(context: Any) -> float:
    """Record the descriptors; return the processor time (seconds)."""
    assert context.use.is_running, context.use.log
    context.most_descriptors = max(
        context.most_descriptors, context.use.count_descriptors()
    )
    return float(context.use.read_cpu_s())


@given(
    'an entry process with {memory:d} MB, {descriptors:d} descriptors and'
    ' bodies up to {body:d} bytes'
)
def start_entry_process(
    context: Any, memory: int, descriptors: int, body: int
) -> None:
    """Start the entry and what it needs; prepare its callers."""
    sections: Sections = {
        'border': {
            'max_body_bytes': body,
            'memory_mb': memory,
            'max_fds': descriptors,
        }
    }
    run(context, start_entry_site(context, sections))
    context.use = ProcessUse(context.cluster.launcher, 'entry-1')
    context.most_descriptors = 0
    member = context.cluster.members_by_name['entry-1']
    context.crowd = Crowd(
        (member.host, member.port), body, '/v1/services/none/1'
    )
    context.closers.append(context.crowd.close)


@when('a crowd of {count:d} sends {form}')
def send_all(context: Any, count: int, form: str) -> None:
    """Let the crowd send until nothing more is taken."""
    run(context, context.crowd.send(count, form, lambda: _sample(context)))


@when('a crowd of {count:d} hardly reads {form}')
def read_hardly(context: Any, count: int, form: str) -> None:
    """Let the crowd request answers that it does not read."""
    path = '/large/1' if form == 'large answers' else '/model/1'
    run(context, context.crowd.read(count, path, lambda: _sample(context)))


@then(
    'the process has used less than {memory:d} MB and {descriptors:d}'
    ' descriptors'
)
def check_use(context: Any, memory: int, descriptors: int) -> None:
    """Check the peaks since the start of the process."""
    assert context.use.is_running, context.use.log
    peak_mb = context.use.read_peak_bytes() / _BYTES_PER_MB
    context.most_mb = memory
    seen = f'{peak_mb:.1f} MB, {context.most_descriptors} descriptors'
    sys.stdout.write(f'peak: {seen}\n')
    assert peak_mb < memory, seen
    assert context.most_descriptors < descriptors, seen


@then('an ordinary request is answered')
def check_ordinary(context: Any) -> None:
    """Try until one is answered while the crowd is still connected."""
    request = encode_head(
        'POST /plain/ordinary HTTP/1.1',
        'Content-Length: 4',
        'Connection: close',
    )

    async def ask() -> bytes:
        ends_at = time.monotonic() + _ALL_TRIES_S
        answer = b''
        while time.monotonic() < ends_at:
            answer = await exchange(
                context.site.address, request + b'body', _TRY_S
            )
            if answer.startswith(b'HTTP/1.1 200 '):
                break
            await asyncio.sleep(_BETWEEN_S)
        return answer

    answer = run(context, ask())
    assert answer.startswith(b'HTTP/1.1 200 '), (answer, context.use.log)
    assert context.use.is_running, context.use.log
    peak_mb = context.use.read_peak_bytes() / _BYTES_PER_MB
    assert peak_mb < context.most_mb, peak_mb


@then('an ordinary pipeline request is answered')
def check_pipeline(context: Any) -> None:
    """Try until one is answered while the crowd is still connected."""

    async def ask() -> int:
        ends_at = time.monotonic() + _ALL_TRIES_S
        status = 0
        while status != HTTPStatus.OK and time.monotonic() < ends_at:
            # The connection may be closed before the answer.
            with contextlib.suppress(OSError, httpclient.HTTPError):
                status = await ask_pipeline(context)
            await asyncio.sleep(_BETWEEN_S)
        return status

    status = run(context, ask())
    assert status == HTTPStatus.OK, (status, context.use.log)
    assert context.use.is_running, context.use.log
    peak_mb = context.use.read_peak_bytes() / _BYTES_PER_MB
    assert peak_mb < context.most_mb, peak_mb
