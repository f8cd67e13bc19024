"""Decides how long watches of a table wait, and when to call again.

A silent store still accepts connections, and its kernel acknowledges what is
sent. A watch that arrives in the silence is never answered, also not after the
store's return, so until its own timeout it would hide all changes. A watch may
therefore wait long only if the store answered just before; after a failure, or
after a pause in which the store may have fallen silent, a short one comes
first.
"""

from __future__ import annotations

import random
from typing import Final, final

# Wait of a watch that is sent right after an answer (seconds). Each call has a
# price, and a connection that stops responding is closed by the kernel much
# earlier.
_LONG_WAIT_S: Final = 20.0
# Wait of any other watch (seconds). With the client's timeout and the least
# backoff, a watch that is never answered is replaced within about 2 s.
_SHORT_WAIT_S: Final = 1.0
# Backoff after a failed call: first value, growth factor and limit (seconds).
# The store can handle only a few calls of each instance, and its recovery must
# be detected quickly.
_INITIAL_BACKOFF_S: Final = 0.1
_BACKOFF_GROWTH: Final = 2.0
_MAX_BACKOFF_S: Final = 1.6
# Least pause after a failed call (seconds), however long it took.
_MIN_PAUSE_S: Final = 0.05
# Pause after an answer with changes (seconds), so that changes in quick
# succession cost one call: at least, for each instance, and at most. All
# instances share the calls that the store accepts; all bounds on the use of
# changes are several times the longest pause.
_MIN_CHANGE_PAUSE_S: Final = 0.25
_CHANGE_PAUSE_PER_INSTANCE_S: Final = 0.01
_MAX_CHANGE_PAUSE_S: Final = 0.6


@final
class WatchSchedule:
    """The waits of one table's watches, and the pauses between its calls."""

    def __init__(self) -> None:
        """Start before the first call."""
        self._may_wait_long = False
        self._pause_s = float(0)
        self._backoff_s = _INITIAL_BACKOFF_S

    # Queries.

    @property
    def wait_s(self) -> float:
        """Return how long the next watch waits for a change (seconds)."""
        return _LONG_WAIT_S if self._may_wait_long else _SHORT_WAIT_S

    @property
    def pause_s(self) -> float:
        """Return the pause before the next call (seconds)."""
        return self._pause_s

    # Commands.

    def record_answer(self, has_changes: bool, instances: int) -> None:
        """Record a successful call; ``instances`` call the store alike."""
        self._backoff_s = _INITIAL_BACKOFF_S
        self._may_wait_long = not has_changes
        self._pause_s = float(0)
        if has_changes:
            pause_s = instances * _CHANGE_PAUSE_PER_INSTANCE_S
            self._pause_s = min(
                _MAX_CHANGE_PAUSE_S, max(_MIN_CHANGE_PAUSE_S, pause_s)
            )

    def record_lost_history(self) -> None:
        """Record that the whole table has to be read, which is done at once."""
        self._may_wait_long = False
        self._pause_s = float(0)

    def record_failure(self, call_s: float) -> None:
        """Record a failed call that was waited for ``call_s`` seconds.

        That time counts towards the backoff.
        """
        self._may_wait_long = False
        backoff_s = self._backoff_s * random.uniform(0.5, 1)
        self._pause_s = max(_MIN_PAUSE_S, backoff_s - call_s)
        self._backoff_s = min(_MAX_BACKOFF_S, self._backoff_s * _BACKOFF_GROWTH)
