"""A configuration with the places of its entries.

The models of the product keep neither the order of the routes nor entries that
a later one replaces. Their places are taken from the JSON value once
``read_configuration`` has accepted it.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, final

from damaskpoint.errors import Failure
from damaskpoint.platform.rows import read_configuration
from damaskpoint.platform import configuration_fields as fields

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from damaskpoint.catalog.model import Configuration, Route


@final
@dataclass(frozen=True, slots=True)
class PlacedRoute:
    """A route and its place."""

    place: str
    route: Route


@final
@dataclass(frozen=True, slots=True)
class PlacedName:
    """A name or a key, its place, and the account of a key."""

    place: str
    name: str
    account: str = ''


@final
@dataclass(frozen=True, slots=True)
class Document:
    """A valid configuration and its entries in the order of the file."""

    configuration: Configuration
    routes: Sequence[PlacedRoute]
    services: Sequence[PlacedName]
    keys: Sequence[PlacedName]


def create_document(raw: Any) -> Document | Failure:
    """Read the JSON value of a configuration."""
    configuration = read_configuration(raw)
    if isinstance(configuration, Failure):
        return configuration
    return Document(
        configuration,
        _place_routes(configuration, raw[fields.ROUTES]),
        tuple(
            PlacedName(f'{fields.SERVICES}.{index}', service[fields.NAME])
            for index, service in enumerate(raw[fields.SERVICES])
        ),
        _place_keys(raw.get(fields.ACCOUNTS, ())),
    )


def _place_routes(
    configuration: Configuration, raw_routes: Sequence[Mapping[str, Any]]
) -> tuple[PlacedRoute, ...]:
    """Return the routes in the order of the file.

    Routes with the same host and prefix are in this order in the model too.
    """
    routes_by_id: dict[tuple[str, str], list[Route]] = {}
    for routes in configuration.routes_by_host.values():
        for route in routes:
            routes_by_id.setdefault((route.host, route.prefix), []).append(
                route
            )
    placed = []
    for index, raw_route in enumerate(raw_routes):
        route_id = (raw_route[fields.HOST].lower(), raw_route[fields.PREFIX])
        placed.append(
            PlacedRoute(
                f'{fields.ROUTES}.{index}', routes_by_id[route_id].pop(0)
            )
        )
    return tuple(placed)


def _place_keys(
    raw_accounts: Sequence[Mapping[str, Any]],
) -> tuple[PlacedName, ...]:
    placed = []
    for index, account in enumerate(raw_accounts):
        for key_index, key in enumerate(account.get(fields.KEYS, ())):
            place = f'{fields.ACCOUNTS}.{index}.{fields.KEYS}.{key_index}'
            placed.append(PlacedName(place, key, account[fields.NAME]))
    return tuple(placed)
