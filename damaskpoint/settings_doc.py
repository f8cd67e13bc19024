"""Writes docs/SETTINGS.md from the model of the settings.

``python -m damaskpoint.settings_doc`` prints the page; a feature compares it
with the one in docs/.
"""

from __future__ import annotations

import json
import sys
from typing import TYPE_CHECKING, Any, Final, Literal, get_args, get_origin

from pydantic_core import PydanticUndefined

from damaskpoint.gateway.options import GatewayOptions
from damaskpoint.settings import Options

if TYPE_CHECKING:
    from pydantic import BaseModel
    from pydantic.fields import FieldInfo

_NAMES_BY_TYPE: Final[dict[Any, str]] = {
    str: 'text',
    int: 'whole number',
    float: 'number',
    bool: 'boolean',
}
_HEAD: Final = """\
# Settings

One file holds the options of the processes of an instance, as JSON with
comments. Unknown keys are refused; `--check-settings` of each binary lists
every fault with its path. `samples/entry.json5` is a commented sample for
entry and reconciler. The gateway has a file of its own, which the users'
platform renders from `deploy/settings.json5`.

This page is written by `python -m damaskpoint.settings_doc`.
"""


def write_page() -> str:
    """Return the whole page."""
    lines = [_HEAD]
    lines.extend(_write_model('Entry and reconciler', Options))
    lines.extend(_write_model('Gateway', GatewayOptions))
    return '\n'.join(lines)


def _write_model(title: str, model: type[BaseModel]) -> list[str]:
    lines = [f'## {title}\n']
    for name, field in model.model_fields.items():
        section: Any = field.annotation
        lines.append(f'### {name}\n')
        lines.append(f'{field.description}\n')
        lines.append('| option | type | default | meaning |')
        lines.append('|---|---|---|---|')
        for option, option_field in section.model_fields.items():
            lines.append(_write_row(option, option_field))
        lines.append('')
    return lines


def _write_row(option: str, field: FieldInfo) -> str:
    default = 'none: must be given'
    if field.default is not PydanticUndefined:
        default = f'`{json.dumps(field.default)}`'
    kind = _name_type(field.annotation)
    return f'| `{option}` | {kind} | {default} | {field.description} |'


def _name_type(annotation: Any) -> str:
    """Return what a person writes in the file."""
    arguments = get_args(annotation)
    if get_origin(annotation) is tuple:
        return f'list of {_name_type(arguments[0])}'
    if get_origin(annotation) is Literal:
        return ', '.join(f'`{json.dumps(choice)}`' for choice in arguments)
    return _NAMES_BY_TYPE[annotation]


if __name__ == '__main__':
    sys.stdout.write(write_page())
