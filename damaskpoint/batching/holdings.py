"""Calls in flight at runners, as instances report them to each other.

An order reports what its sender has in flight, and an answer that hands pieces
back what the leaving instance has, so that the next batching instance knows
of calls that it did not make.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, final

if TYPE_CHECKING:
    from collections.abc import Iterable

    from damaskpoint.batching.model import CallHolding

    # Instance and runner.
    _Holder = tuple[str, str]


@final
class HoldingTable:
    """The reported calls of other instances, until they should have ended."""

    def __init__(self) -> None:
        """Start without reports."""
        # By group, then by instance and runner.
        self._by_group: dict[str, dict[_Holder, CallHolding]] = {}

    def record(self, group: str, held: Iterable[CallHolding]) -> None:
        """Record reports; each replaces an earlier one of its instance."""
        for holding in held:
            known = self._by_group.setdefault(group, {})
            known[(holding.instance, holding.runner)] = holding

    def list_held(self, group: str, now: float) -> list[CallHolding]:
        """Return the reports on a group that still hold; drop the others."""
        known = self._by_group.get(group, {})
        for identity, holding in tuple(known.items()):
            if holding.busy_until <= now:
                known.pop(identity)
        if not known:
            self._by_group.pop(group, None)
        return list(known.values())
