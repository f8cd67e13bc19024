"""Steps that check rules on the structure of the code."""

from __future__ import annotations

import ast
import pathlib
from typing import Any

from behave import given, then

from damaskpoint import errors

_ROOT = pathlib.Path(__file__).resolve().parents[2]
_LIST = _ROOT / 'features' / 'deciding_modules.txt'


@given('the list of decision modules')
def list_modules(context: Any) -> None:
    """Read the paths of the modules that make decisions without I/O."""
    context.paths = [
        _ROOT / line
        for line in _LIST.read_text().splitlines()
        if line and not line.startswith('#')
    ]
    assert context.paths


@then('none of them imports any of')
def check_imports(context: Any) -> None:
    """Fail on the first module that imports one of the refused modules."""
    refused = {row['module'] for row in context.table}
    for path in context.paths:
        found = _imported_roots(path) & refused
        assert not found, f'{path.name} imports {sorted(found)}'


@then('each failure code has a status and a title')
def check_kinds(context: Any) -> None:
    """Fail on a code without an entry in ``KINDS``."""
    for code in errors.Code:
        assert errors.KINDS[code].title, code


def _imported_roots(path: pathlib.Path) -> set[str]:
    roots: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            roots.update(alias.name.split('.')[0] for alias in node.names)
        if isinstance(node, ast.ImportFrom) and node.module:
            roots.add(node.module.split('.')[0])
    return roots
