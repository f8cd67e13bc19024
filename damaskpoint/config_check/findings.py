"""What a check of a configuration reports."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import final


@final
class FindingKind(enum.Enum):
    """What a finding is about."""

    # The row is not accepted.
    ERROR = 'error'
    # An entry that no request can match or use.
    UNUSED = 'unused'
    # Limits that contradict each other.
    LIMIT = 'limit'
    # What callers notice of the change from the version in force.
    DIFFERENCE = 'difference'


@final
@dataclass(frozen=True, slots=True)
class Finding:
    """One result of a check, with its place in the configuration."""

    kind: FindingKind
    # Stable name of the rule.
    code: str
    # Path of fields and indexes, or host and path of the requests concerned.
    place: str
    # Never contains a key of an account.
    text: str

    def format_line(self) -> str:
        """Return the finding as one line of text."""
        # Names come from the checked file and may contain line breaks.
        line = f'{self.place}: {self.code}: {self.text}'
        return ''.join(
            letter if letter.isprintable() else repr(letter)[1:-1]
            for letter in line
        )

    def to_json(self) -> dict[str, str]:
        """Return the finding as a JSON object."""
        return {
            'kind': self.kind.value,
            'code': self.code,
            'place': self.place,
            'text': self.text,
        }
