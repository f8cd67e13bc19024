"""Applies all rules to a configuration."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, final

from damaskpoint.config_check.differences import find_differences
from damaskpoint.config_check.document import Document, create_document
from damaskpoint.config_check.findings import Finding, FindingKind
from damaskpoint.config_check.limits import Figures, find_contradictions
from damaskpoint.config_check.matching import find_unused
from damaskpoint.errors import Failure
from damaskpoint.platform.rows import read_runner

if TYPE_CHECKING:
    from collections.abc import Mapping

    from damaskpoint.catalog.model import Runner


@final
@dataclass(frozen=True, slots=True)
class CheckInput:
    """What is checked, and against what."""

    # JSON value of the configuration.
    raw: Any
    # The version in force.
    in_force: Document | None = None
    # Rows of the runners, by id.
    runner_rows: Mapping[str, Any] | None = None
    figures: Figures = field(default_factory=Figures)


def check_configuration(given: CheckInput) -> list[Finding]:
    """Return the findings.

    An error in the configuration is the only finding on it, since the other
    rules need a valid one.
    """
    findings: list[Finding] = []
    runners: list[Runner] = []
    for name, row in (given.runner_rows or {}).items():
        runner = read_runner(name, row)
        if isinstance(runner, Failure):
            findings.append(_describe_error(f'runners {name}', runner))
            continue
        runners.append(runner)
    document = create_document(given.raw)
    if isinstance(document, Failure):
        findings.append(_describe_error('', document))
        return findings
    listed = None if given.runner_rows is None else runners
    findings.extend(find_unused(document, listed))
    findings.extend(find_contradictions(document, given.figures, runners))
    if given.in_force is not None:
        findings.extend(find_differences(given.in_force, document))
    return findings


def _describe_error(owner: str, failure: Failure) -> Finding:
    """Split the detail of a failure into the place and the reason."""
    place, separator, reason = failure.detail.partition(': ')
    if not separator:
        place, reason = '', failure.detail
    place = f'{owner} {place}'.strip() or '(whole)'
    return Finding(FindingKind.ERROR, 'invalid', place, reason)
