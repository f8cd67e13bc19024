"""The era of the store: how often it was restored from a copy.

A restored store has lost the changes since the copy and assigns their versions
again, so answers of an older era say nothing about its present content.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, final

from damaskpoint.platform import names

if TYPE_CHECKING:
    from collections.abc import Mapping


@final
class StoreEra:
    """The highest era of any answer of the store so far."""

    def __init__(self) -> None:
        """Start before the first answer."""
        self.number = 0

    def accept(self, headers: Mapping[str, str]) -> bool:
        """Record an answer's era; return False if it is older than another's.

        An answer without a valid era counts as current.
        """
        text = headers.get(names.STORE_ERA, '')
        if not text.isdecimal():
            return True
        era = int(text)
        if era < self.number:
            return False
        self.number = era
        return True
