"""Finds entries that no request can match or use.

A request is taken to have a target in origin form: its path starts with a
slash and holds neither a question mark nor white space.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from damaskpoint.config_check.findings import Finding, FindingKind
from damaskpoint.platform import configuration_fields as fields

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Mapping

    from damaskpoint.catalog.model import Configuration, Runner
    from damaskpoint.config_check.document import (
        Document,
        PlacedName,
        PlacedRoute,
    )

_ROOT: Final = '/'
_QUERY_START: Final = '?'


def shortest_path(prefix: str) -> str | None:
    """Return the shortest path with a prefix, or None if there is none.

    Of all paths with the prefix it is the one that longer prefixes take away
    last: only a route with the same prefix can take it.
    """
    if not prefix:
        return _ROOT
    if not prefix.startswith(_ROOT) or _QUERY_START in prefix:
        return None
    return None if _has_space(prefix) else prefix


def find_unused(
    document: Document, runners: Iterable[Runner] | None
) -> Iterator[Finding]:
    """Yield the entries that no request can match or use.

    Without a list of runners, services are not checked for them.
    """
    for placed in document.routes:
        yield from _check_match(placed, document.configuration)
        yield from _check_services(placed, document.configuration, runners)
        yield from _check_weights(placed)
        yield from _check_stages(placed)
    yield from _check_replaced(document)
    yield from _check_accounts(document)


def _check_match(
    placed: PlacedRoute, configuration: Configuration
) -> Iterator[Finding]:
    route = placed.route
    if not route.host or ':' in route.host or _has_space(route.host):
        yield _unused(
            'host-impossible',
            f'{placed.place}.{fields.HOST}',
            f'no request has the host {route.host!r}, ports are ignored',
        )
        return
    path = shortest_path(route.prefix)
    if path is None:
        yield _unused(
            'prefix-impossible',
            f'{placed.place}.{fields.PREFIX}',
            f'no path starts with {route.prefix!r}',
        )
        return
    found = configuration.find_route(route.host, path)
    if found is not None and found is not route:
        yield _unused(
            'route-shadowed',
            f'{placed.place}.{fields.PREFIX}',
            f'route {found.name!r} takes all of {route.host}{route.prefix}',
        )


def _check_services(
    placed: PlacedRoute,
    configuration: Configuration,
    runners: Iterable[Runner] | None,
) -> Iterator[Finding]:
    if not placed.route.targets:
        yield _unused('route-without-service', placed.place, 'no service')
    serving = None
    if runners is not None:
        serving = {item.service for item in runners if not item.is_draining}
    for name, place in _place_services(placed).items():
        if name not in configuration.services_by_name:
            yield _unused('service-unknown', place, f'no service {name!r}')
        elif serving is not None and name not in serving:
            text = f'no runner of {name!r} in the list takes requests'
            yield _unused('service-without-runner', place, text)


def _check_weights(placed: PlacedRoute) -> Iterator[Finding]:
    targets = placed.route.targets
    if not any(target.weight for target in targets):
        return
    for target in targets:
        if not target.weight:
            text = f'{target.service!r} gets no requests'
            yield _unused(
                'weight-zero', f'{placed.place}.{fields.TARGETS}', text
            )


def _check_stages(placed: PlacedRoute) -> Iterator[Finding]:
    for stage in placed.route.stages:
        place = f'{placed.place}.{fields.STAGES}.{stage.index}'
        try:
            placed.route.depth(stage.index)
        except IndexError:
            yield _unused('stage-unknown', place, 'awaits an unknown stage')
        except RecursionError:
            yield _unused('stage-cycle', place, 'its inputs form a cycle')


def _place_services(placed: PlacedRoute) -> Mapping[str, str]:
    """Return the places of the services that a route uses."""
    places_by_name: dict[str, str] = {}
    for target in placed.route.targets:
        places_by_name.setdefault(target.service, placed.place)
    for stage in placed.route.stages:
        places_by_name.setdefault(
            stage.service, f'{placed.place}.{fields.STAGES}.{stage.index}'
        )
    return places_by_name


def _check_replaced(document: Document) -> Iterator[Finding]:
    """Yield services and keys that a later entry replaces."""
    for service, last in _find_repeated(document.services):
        yield _unused(
            'service-twice', service.place, f'{last.place} replaces it'
        )
    for key, used in _find_repeated(document.keys):
        if key.account == used.account:
            yield _unused('key-twice', key.place, f'also at {used.place}')
            continue
        yield _unused(
            'key-of-two-accounts',
            key.place,
            f'{used.account!r} gets it ({used.place}), not {key.account!r}',
        )


def _find_repeated(
    entries: Iterable[PlacedName],
) -> Iterator[tuple[PlacedName, PlacedName]]:
    """Yield each entry that is not the last one of its name, with the last."""
    last_by_name = {entry.name: entry for entry in entries}
    for entry in entries:
        last = last_by_name[entry.name]
        if last is not entry:
            yield entry, last


def _check_accounts(document: Document) -> Iterator[Finding]:
    configuration = document.configuration
    if not configuration.needs_keys or configuration.accounts_by_key:
        return
    for placed in document.routes:
        if not placed.route.is_public:
            yield _unused(
                'route-without-key',
                placed.place,
                'requests need a key, and no account has one',
            )


def _has_space(text: str) -> bool:
    return any(letter.isspace() for letter in text)


def _unused(code: str, place: str, text: str) -> Finding:
    return Finding(FindingKind.UNUSED, code, place, text)
