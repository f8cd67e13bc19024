"""Decides which callers may send, wait or must leave as memory runs short.

The bytes of all requests that are received, queued or forwarded are counted
against one budget. When it is used up, reading stops; then the uploads that
have made the least progress are refused.
"""

from __future__ import annotations

import enum
import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final, final

from damaskpoint.errors import Code, Failure
from damaskpoint.observe.state import StateSource

if TYPE_CHECKING:
    from collections.abc import Iterator

_BYTES_PER_MB: Final = 1_000_000
# Memory of a process without callers, with room for its growth (bytes).
_BASE_BYTES: Final = 64_000_000
# Shares of the remaining memory; the rest is for copies and fragmentation.
_UPLOADS_SHARE: Final = 0.4
_ANSWERS_SHARE: Final = 0.2
_CONNECTIONS_SHARE: Final = 0.25
# The smallest budget: a machine that is too small still serves requests.
_MIN_BUDGET_BYTES: Final = 8_000_000
# Objects of one connection, and the head of its request (bytes).
_CONNECTION_BYTES: Final = 40_000
# What the kernel and the parser may buffer of a body, counted from its head on
# (bytes).
_BUFFERED_BYTES: Final = 65_536
# Descriptors for files, the store, peers and operators.
_RESERVED_FDS: Final = 200
# A request in progress needs one to its caller and one to a runner.
_FDS_PER_CALLER: Final = 2
_MIN_CONNECTIONS: Final = 16
# Bodies up to this size may use the whole budget, larger ones only a share,
# so that small requests get in while large uploads wait (bytes).
_SMALL_BYTES: Final = 65_536
_LARGE_SHARE: Final = 0.8
# A body of which nothing arrives for this time has stalled; the second time
# applies while other uploads wait (seconds).
_STALL_S: Final = 10.0
_PRESSED_STALL_S: Final = 1.0
# A body that takes longer than the first (seconds) must arrive at this average
# rate, so that single bytes now and then do not hold a connection.
_SLOW_AFTER_S: Final = 60.0
_MIN_BYTES_PER_S: Final = 100.0
# How long uploads wait for room before one of them is refused (seconds).
_MAX_PAUSE_S: Final = 1.0
# Most bytes of room that one waiting upload needs to continue.
_RESUME_BYTES: Final = 262_144
_RETRY_AFTER_S: Final = 1.0


@final
@dataclass(frozen=True, slots=True)
class IntakeLimits:
    """What callers may use of a process."""

    # Bytes of requests, and of answers that are held for callers.
    request_bytes: int
    answer_bytes: int
    max_connections: int


def create_limits(memory_mb: int, max_fds: int) -> IntakeLimits:
    """Derive the limits from the memory and descriptors of the machine."""
    free = max(0, memory_mb * _BYTES_PER_MB - _BASE_BYTES)
    return IntakeLimits(
        request_bytes=max(_MIN_BUDGET_BYTES, int(free * _UPLOADS_SHARE)),
        answer_bytes=max(_MIN_BUDGET_BYTES, int(free * _ANSWERS_SHARE)),
        max_connections=max(
            _MIN_CONNECTIONS,
            min(
                (max_fds - _RESERVED_FDS) // _FDS_PER_CALLER,
                int(free * _CONNECTIONS_SHARE) // _CONNECTION_BYTES,
            ),
        ),
    )


@final
class Phase(enum.Enum):
    """What a connection is doing."""

    # No request, or a part of its head.
    IDLE = 'idle'
    BODY = 'body'
    # The body is complete; the request is served.
    SERVED = 'served'
    # The refusal is being sent.
    REFUSED = 'refused'
    CLOSED = 'closed'


@final
@dataclass(slots=True, eq=False)
class Upload:
    """A caller's connection and the request on it."""

    phase: Phase = Phase.IDLE
    # Bytes of the present body, read and possibly buffered, and its length if
    # it is known.
    held_bytes: int = 0
    buffered_bytes: int = 0
    length: int | None = None
    started_at: float = 0
    # When the last bytes arrived, or reading was resumed.
    progressed_at: float = 0
    is_paused: bool = False

    @property
    def needed_bytes(self) -> int:
        """Return the room that the upload needs to continue."""
        if self.length is None:
            return _RESUME_BYTES
        return min(_RESUME_BYTES, max(0, self.length - self.held_bytes))


@final
@dataclass(slots=True)
class Actions:
    """What is to be done with uploads."""

    resumed: list[Upload] = field(default_factory=list)
    refused: list[tuple[Upload, Failure]] = field(default_factory=list)


@final
class Intake(StateSource):
    """The connections of callers and the bytes that they hold."""

    def __init__(self, limits: IntakeLimits) -> None:
        """Start without connections."""
        self._limits = limits
        self._held_bytes = 0
        # In the order in which they became idle; values are not used.
        self._idle: dict[Upload, None] = {}
        self._uploads: dict[Upload, None] = {}
        self._count = 0
        # When room was last found for a waiting upload.
        self._relieved_at = -math.inf
        self._refusals = 0

    @property
    def connections(self) -> int:
        """Return the number of connections."""
        return self._count

    @property
    def held_bytes(self) -> int:
        """Return the bytes of requests that are held."""
        return self._held_bytes

    def open(self, now: float) -> Upload:
        """Count a new connection."""
        upload = Upload(progressed_at=now)
        self._count += 1
        self._idle[upload] = None
        return upload

    def close(self, upload: Upload) -> None:
        """Forget a connection; does nothing if it is closed."""
        if upload.phase is Phase.CLOSED:
            return
        self._release(upload)
        self._forget(upload)
        upload.phase = Phase.CLOSED
        self._count -= 1

    def choose_surplus(self) -> Upload | None:
        """Return the connection to be closed if there are too many.

        It is the one that has been without a request for the longest time,
        else the upload that has made the least progress.
        """
        if self._count <= self._limits.max_connections:
            return None
        # The newest one is at the end of the order.
        if len(self._idle) > 1:
            return next(iter(self._idle))
        least = min(self._uploads, key=_rank, default=None)
        return least or next(iter(self._idle), None)

    def begin_body(
        self, upload: Upload, length: int | None, now: float
    ) -> None:
        """Expect the body of a request, of ``length`` bytes if known."""
        if upload.phase is Phase.CLOSED:
            return
        self._idle.pop(upload, None)
        self._uploads[upload] = None
        upload.phase = Phase.BODY
        upload.length = length
        upload.buffered_bytes = _BUFFERED_BYTES
        if length is not None:
            upload.buffered_bytes = min(length, _BUFFERED_BYTES)
        self._held_bytes += upload.buffered_bytes
        upload.started_at = now
        upload.progressed_at = now

    def receive(self, upload: Upload, count: int, now: float) -> None:
        """Count bytes of a body; may pause the upload."""
        if upload.phase is not Phase.BODY:
            return
        upload.held_bytes += count
        upload.progressed_at = now
        self._held_bytes += count
        is_whole = upload.held_bytes == upload.length
        if is_whole or self._held_bytes <= self._find_limit(upload):
            return
        if not any(self._paused()):
            self._relieved_at = now
        upload.is_paused = True

    def finish_body(self, upload: Upload) -> None:
        """Record that the request is whole and is served now."""
        if upload.phase is not Phase.BODY:
            return
        self._forget(upload)
        self._held_bytes -= upload.buffered_bytes
        upload.buffered_bytes = 0
        upload.phase = Phase.SERVED

    def refuse(self, upload: Upload) -> None:
        """Record that the request is refused; its bytes are released."""
        if upload.phase is Phase.CLOSED:
            return
        self._release(upload)
        self._forget(upload)
        upload.phase = Phase.REFUSED
        self._refusals += 1

    def end_request(self, upload: Upload, now: float) -> None:
        """Record that the connection waits for its next request."""
        if upload.phase is Phase.CLOSED:
            return
        self._release(upload)
        # Moves it to the end of the order.
        self._forget(upload)
        upload.phase = Phase.IDLE
        upload.progressed_at = now
        self._idle[upload] = None

    def advance(self, now: float) -> Actions:
        """Return which uploads are refused and which may continue.

        The caller must apply the refusals by ``refuse``.
        """
        actions = Actions()
        freed = self._refuse_stalled(actions, now)
        waiting = sorted(self._paused(), key=_rank, reverse=True)
        if not waiting:
            return actions
        self._resume(actions, waiting, freed, now)
        if actions.resumed or actions.refused:
            self._relieved_at = now
        elif now - self._relieved_at >= _MAX_PAUSE_S:
            self._shed(actions, waiting)
            self._relieved_at = now
        return actions

    def dump_state(self, now: float) -> dict[str, object]:
        """Return the use of the limits."""
        return {
            'connections': self._count,
            'max_connections': self._limits.max_connections,
            'idle': len(self._idle),
            'uploads': len(self._uploads),
            'paused': sum(1 for _ in self._paused()),
            'held_bytes': self._held_bytes,
            'budget_bytes': self._limits.request_bytes,
            'refused': self._refusals,
        }

    def _paused(self) -> Iterator[Upload]:
        return (upload for upload in self._uploads if upload.is_paused)

    def _find_limit(self, upload: Upload) -> int:
        """Return the sum of held bytes at which an upload is paused."""
        if upload.held_bytes <= _SMALL_BYTES:
            return self._limits.request_bytes
        return int(self._limits.request_bytes * _LARGE_SHARE)

    def _forget(self, upload: Upload) -> None:
        self._idle.pop(upload, None)
        self._uploads.pop(upload, None)
        upload.is_paused = False

    def _release(self, upload: Upload) -> None:
        self._held_bytes -= upload.held_bytes + upload.buffered_bytes
        upload.held_bytes = 0
        upload.buffered_bytes = 0

    def _refuse_stalled(self, actions: Actions, now: float) -> int:
        """Refuse stalled uploads; return the bytes that this frees."""
        is_pressed = any(self._paused())
        freed = 0
        for upload in self._uploads:
            if upload.is_paused:
                continue
            failure = _check_progress(upload, now, is_pressed=is_pressed)
            if failure is not None:
                freed += upload.held_bytes + upload.buffered_bytes
                actions.refused.append((upload, failure))
        return freed

    def _resume(
        self, actions: Actions, waiting: list[Upload], freed: int, now: float
    ) -> None:
        """Resume the most advanced uploads for which there is room."""
        held = self._held_bytes - freed
        for upload in waiting:
            if held + upload.needed_bytes > self._find_limit(upload):
                # A small one may still have room.
                continue
            held += upload.needed_bytes
            upload.is_paused = False
            upload.progressed_at = now
            actions.resumed.append(upload)

    def _shed(self, actions: Actions, waiting: list[Upload]) -> None:
        """Refuse the least advanced uploads until the most advanced has room.

        Small ones are refused last, as that frees little.
        """
        first = waiting[0]
        held = self._held_bytes + first.needed_bytes
        for upload in sorted(waiting[1:], key=_rank_shed):
            if held <= self._find_limit(first):
                return
            held -= upload.held_bytes + upload.buffered_bytes
            actions.refused.append((upload, _short_of_memory()))
        if held > self._find_limit(first):
            # Only requests that are served hold the budget.
            actions.refused.append((first, _short_of_memory()))


def _rank(upload: Upload) -> int:
    return upload.held_bytes


def _rank_shed(upload: Upload) -> tuple[bool, int]:
    return upload.held_bytes <= _SMALL_BYTES, upload.held_bytes


def _check_progress(
    upload: Upload, now: float, *, is_pressed: bool
) -> Failure | None:
    """Return the failure of an upload that has stalled."""
    silent_s = now - upload.progressed_at
    if is_pressed and silent_s >= _PRESSED_STALL_S:
        return _short_of_memory()
    took_s = now - upload.started_at
    is_slow = (
        took_s > _SLOW_AFTER_S and upload.held_bytes < took_s * _MIN_BYTES_PER_S
    )
    if is_slow or silent_s >= _STALL_S:
        return Failure(Code.BODY_STALLED, 'the body does not arrive')
    return None


def _short_of_memory() -> Failure:
    return Failure(
        Code.MEMORY_SHORT,
        'too many bodies arrive',
        retry_after_s=_RETRY_AFTER_S,
    )
