"""Describes what callers notice of a change of the configuration.

The prefixes of both versions divide the paths of a host into parts in which
each version has one route; the shortest path of each part stands for it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from damaskpoint.config_check.findings import Finding, FindingKind
from damaskpoint.config_check.matching import shortest_path
from damaskpoint.platform import configuration_fields as fields

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping, Sequence

    from damaskpoint.catalog.model import Configuration, Route
    from damaskpoint.config_check.document import Document

_MS_PER_S: Final = 1000


def find_differences(before: Document, after: Document) -> Iterator[Finding]:
    """Yield what callers notice once ``after`` replaces ``before``."""
    old = before.configuration
    new = after.configuration
    if new.version < old.version or (new.version == old.version and new != old):
        yield _difference(
            'version-not-newer',
            fields.VERSION,
            f'{new.version} is not applied, {old.version} is in force',
        )
    for host, path in _collect_parts((before, after)):
        yield from _compare_routes(
            f'{host}{path}*',
            (old, old.find_route(host, path)),
            (new, new.find_route(host, path)),
        )
    yield from _compare_limits(old, new)
    yield from _compare_keys(before, new)


def _collect_parts(
    documents: Sequence[Document],
) -> Sequence[tuple[str, str]]:
    parts: set[tuple[str, str]] = set()
    for document in documents:
        for placed in document.routes:
            path = shortest_path(placed.route.prefix)
            if path is not None:
                parts.add((placed.route.host, path))
    return sorted(parts)


def _compare_routes(
    place: str,
    before: tuple[Configuration, Route | None],
    after: tuple[Configuration, Route | None],
) -> Iterator[Finding]:
    old = before[1]
    new = after[1]
    if _weigh_targets(old) != _weigh_targets(new):
        yield _difference(
            'goes-elsewhere',
            place,
            f'to {_describe_targets(new)}, not {_describe_targets(old)}',
        )
    if old is None or new is None:
        return
    old_terms = _describe_terms(before[0], old)
    for term, now in _describe_terms(after[0], new).items():
        if now != old_terms[term]:
            yield _difference(
                'terms-changed', place, f'{term} {now}, was {old_terms[term]}'
            )


def _weigh_targets(route: Route | None) -> Mapping[str, float] | None:
    """Return the share of requests by service; None without a route."""
    if route is None:
        return None
    total = sum(target.weight for target in route.targets)
    shares: dict[str, float] = {}
    for target in route.targets:
        share = target.weight / total if total else 0
        shares[target.service] = shares.get(target.service, 0) + share
    if route.targets and not total:
        # As in Route.choose_service.
        shares[route.targets[-1].service] = 1
    return {name: share for name, share in shares.items() if share}


def _describe_targets(route: Route | None) -> str:
    shares = _weigh_targets(route)
    if shares is None:
        return 'no route (404)'
    if len(shares) == 1:
        return next(iter(shares))
    described = [f'{name} ({share:.3g})' for name, share in shares.items()]
    return ', '.join(described) or 'no service'


def _describe_terms(
    configuration: Configuration, route: Route
) -> Mapping[str, str]:
    """Return what else callers notice of a route, by its name in the file."""
    needs_key = configuration.needs_keys and not route.is_public
    stages = [
        f'{stage.service} after {list(stage.after)}' for stage in route.stages
    ]
    return {
        fields.NAME: route.name,
        fields.KIND: route.kind.value,
        fields.TIMEOUT_MS: f'{route.timeout_s * _MS_PER_S:g}',
        fields.OBJECTIVE_MS: f'{route.objective_s * _MS_PER_S:g}',
        fields.MAX_EVENT_GAP_MS: f'{route.max_event_gap_s * _MS_PER_S:g}',
        fields.PRIORITY: str(route.priority),
        fields.MAX_ATTEMPTS: str(route.max_attempts),
        fields.RESUMABLE: str(route.is_resumable),
        fields.STAGES: '; '.join(stages) or 'none',
        'key': 'required' if needs_key else 'not required',
    }


def _compare_limits(
    old: Configuration, new: Configuration
) -> Iterator[Finding]:
    old_limits = _describe_limits(old)
    for name, limit in _describe_limits(new).items():
        if limit != old_limits[name]:
            yield _difference(
                'limit-changed',
                f'{fields.LIMITS}.{name}',
                f'{limit}, was {old_limits[name]}',
            )


def _describe_limits(configuration: Configuration) -> Mapping[str, str]:
    limits = configuration.limits
    return {
        fields.MAX_HEADER_BYTES: str(limits.max_header_bytes),
        fields.MAX_BODY_BYTES: str(limits.max_body_bytes),
        fields.HEADER_TIMEOUT_MS: f'{limits.header_timeout_s * _MS_PER_S:g}',
        fields.IDLE_TIMEOUT_MS: f'{limits.idle_timeout_s * _MS_PER_S:g}',
    }


def _compare_keys(before: Document, new: Configuration) -> Iterator[Finding]:
    if not new.needs_keys or not before.configuration.needs_keys:
        return
    place_by_key = {key.name: key.place for key in before.keys}
    for key, account in before.configuration.accounts_by_key.items():
        place = f'{place_by_key[key]} in force'
        now = new.accounts_by_key.get(key)
        if now is None:
            yield _difference(
                'key-stops', place, f'a key of {account.name!r} is refused'
            )
            continue
        if now.name != account.name:
            yield _difference(
                'key-moves',
                place,
                f'a key of {account.name!r} is one of {now.name!r} now',
            )


def _difference(code: str, place: str, text: str) -> Finding:
    return Finding(FindingKind.DIFFERENCE, code, place, text)
