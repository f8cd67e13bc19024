"""The command line of the stand-ins; one subcommand per role."""

from __future__ import annotations

import argparse

from damaskpoint import __version__

_DEFAULT_STAGE_MS = 40.0
_DEFAULT_TOKEN_MS = 2.0
_DEFAULT_LOAD_LAG_S = 0.3


def create_parser() -> argparse.ArgumentParser:
    """Return the parser with a subcommand for each role."""
    parser = argparse.ArgumentParser(
        prog='damaskpoint-standin',
        description='Run a stand-in for the platform, an upstream or a site.',
    )
    parser.add_argument('--version', action='version', version=__version__)
    roles = parser.add_subparsers(dest='role', required=True)
    _add_platform(roles.add_parser('platform', help='run the platform'))
    _add_engine(roles.add_parser('engine', help='run a model engine'))
    _add_service(roles.add_parser('service', help='run a plain service'))
    _add_site(
        roles.add_parser('site', help='run a whole deployment in one process')
    )
    return parser


def _add_address(parser: argparse.ArgumentParser) -> None:
    parser.add_argument('--host', default='127.0.0.1', help='IP address')
    parser.add_argument('--port', type=int, required=True, help='TCP port')
    _add_history(parser)


def _add_history(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        '--history', default='', help='file to append events to'
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
        default=_DEFAULT_LOAD_LAG_S,
        help='age of load reports in seconds',
    )


def _add_limits(parser: argparse.ArgumentParser, default_start: str) -> None:
    parser.add_argument(
        '--cold-limit', type=int, default=1, help='concurrent calls when cold'
    )
    parser.add_argument(
        '--warm-limit', type=int, default=8, help='concurrent calls when warm'
    )
    parser.add_argument(
        '--warm-after-s', type=float, default=5, help='seconds until warm'
    )
    parser.add_argument(
        '--warm-after-calls',
        type=int,
        default=0,
        help='calls until warm; 0 to count only time',
    )
    parser.add_argument(
        '--starts', choices=('cold', 'warm'), default=default_start
    )


def _add_engine(parser: argparse.ArgumentParser) -> None:
    _add_upstream(parser)
    _add_engine_times(parser)
    parser.add_argument(
        '--role',
        dest='role_at_start',
        default='any',
        help='role at start',
    )
    parser.add_argument(
        '--platform-url', default='', help='base URL of the weight store'
    )


def _add_engine_times(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        '--model',
        action='append',
        default=[],
        help='MODEL:VERSION[:ADAPTER,...] to load at start; repeatable',
    )
    for kind in ('encode', 'retrieve', 'rerank', 'generate'):
        parser.add_argument(
            f'--{kind}-ms',
            type=float,
            default=_DEFAULT_STAGE_MS,
            help='milliseconds per call',
        )
    parser.add_argument(
        '--token-ms',
        type=float,
        default=_DEFAULT_TOKEN_MS,
        help='milliseconds per token',
    )
    parser.add_argument(
        '--ignores-fencing',
        action='store_true',
        help='also execute orders with stale fencing numbers',
    )
    parser.add_argument(
        '--load-s', type=float, default=0.1, help='seconds to load a model'
    )


def _add_service(parser: argparse.ArgumentParser) -> None:
    _add_upstream(parser)
    _add_service_time(parser)
    parser.add_argument(
        '--no-load', action='store_true', help='serve no load reports'
    )


def _add_site(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        '--profile', choices=('lagos', 'pt-interior'), default='lagos'
    )
    parser.add_argument(
        '--base-host',
        default='127.10.0',
        help='first three octets of the loopback addresses',
    )
    parser.add_argument(
        '--entry',
        action='append',
        default=[],
        help='NAME,ZONE,HOST,PORT,PEER_PORT of an entry to list; repeatable',
    )
    _add_limits(parser, 'warm')
    _add_engine_times(parser)
    _add_service_time(parser)
    parser.add_argument(
        '--history-dir',
        default='',
        help='folder for one history file per stand-in',
    )


def _add_service_time(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        '--service-ms',
        type=float,
        default=_DEFAULT_STAGE_MS,
        help='milliseconds per call',
    )
