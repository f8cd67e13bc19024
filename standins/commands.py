"""The command line of the stand-ins."""

from __future__ import annotations

import argparse

from damaskpoint import __version__

_STAGE_MS = 40.0
_TOKEN_MS = 2.0
_LOAD_LAG_S = 0.3


def create_parser() -> argparse.ArgumentParser:
    """Return the parser of all roles."""
    parser = argparse.ArgumentParser(
        prog='damaskpoint-standin',
        description='Small stand-ins for the platform and for upstreams.',
    )
    parser.add_argument('--version', action='version', version=__version__)
    roles = parser.add_subparsers(dest='role', required=True)
    _add_platform(roles.add_parser('platform', help='the platform'))
    _add_engine(roles.add_parser('engine', help='a model engine'))
    _add_service(roles.add_parser('service', help='a plain service'))
    _add_site(roles.add_parser('site', help='all of a deployment at once'))
    return parser


def _add_address(parser: argparse.ArgumentParser) -> None:
    parser.add_argument('--host', default='127.0.0.1', help='IP number')
    parser.add_argument('--port', type=int, required=True, help='TCP port')
    _add_history(parser)


def _add_history(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        '--history', default='', help='file that events are appended to'
    )


def _add_platform(parser: argparse.ArgumentParser) -> None:
    _add_address(parser)
    parser.add_argument(
        '--instances', default='', help='JSON file with the list of instances'
    )


def _add_upstream(parser: argparse.ArgumentParser) -> None:
    _add_address(parser)
    for name in ('--name', '--pool', '--zone'):
        parser.add_argument(name, required=True)
    _add_limits(parser, 'cold')
    parser.add_argument('--incarnation', type=int, default=1)
    parser.add_argument(
        '--load-lag-s',
        type=float,
        default=_LOAD_LAG_S,
        help='lag of load reports',
    )


def _add_limits(parser: argparse.ArgumentParser, warmth: str) -> None:
    parser.add_argument(
        '--cold-limit', type=int, default=1, help='calls at once when cold'
    )
    parser.add_argument(
        '--warm-limit', type=int, default=8, help='calls at once when warm'
    )
    parser.add_argument(
        '--warm-after-s', type=float, default=5, help='seconds to be warm'
    )
    parser.add_argument(
        '--warm-after-calls',
        type=int,
        default=0,
        help='calls to be warm; 0 for time alone',
    )
    parser.add_argument('--starts', choices=('cold', 'warm'), default=warmth)


def _add_engine(parser: argparse.ArgumentParser) -> None:
    _add_upstream(parser)
    _add_engine_times(parser)
    parser.add_argument(
        '--role',
        dest='role_at_start',
        default='any',
        help='role at the start',
    )
    parser.add_argument(
        '--platform-url', default='', help='where the weight store is'
    )


def _add_engine_times(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        '--model',
        action='append',
        default=[],
        help='MODEL:VERSION[:ADAPTER,...] that is loaded at the start',
    )
    for kind in ('encode', 'retrieve', 'rerank', 'generate'):
        parser.add_argument(
            f'--{kind}-ms', type=float, default=_STAGE_MS, help='its time'
        )
    parser.add_argument(
        '--token-ms', type=float, default=_TOKEN_MS, help='time of a token'
    )
    parser.add_argument(
        '--ignores-fencing',
        action='store_true',
        help='obey orders with old fencing numbers too',
    )
    parser.add_argument(
        '--load-s', type=float, default=0.1, help='time to load a model'
    )


def _add_service(parser: argparse.ArgumentParser) -> None:
    _add_upstream(parser)
    _add_service_time(parser)
    parser.add_argument('--no-load', action='store_true', help='report no load')


def _add_site(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        '--profile', choices=('lagos', 'pt-interior'), default='lagos'
    )
    parser.add_argument(
        '--base-host',
        default='127.10.0',
        help='first three numbers of the loopback addresses',
    )
    parser.add_argument(
        '--entry',
        action='append',
        default=[],
        help='NAME,ZONE,HOST,PORT,PEER_PORT of an entry for the list',
    )
    _add_limits(parser, 'warm')
    _add_engine_times(parser)
    _add_service_time(parser)
    parser.add_argument(
        '--history-dir', default='', help='folder for a file of each stand-in'
    )


def _add_service_time(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        '--service-ms', type=float, default=_STAGE_MS, help='time of a call'
    )
