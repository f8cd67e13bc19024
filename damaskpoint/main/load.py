"""``damaskpoint-load``: generates an open-loop load and reports results."""

from __future__ import annotations

import argparse
import sys

from damaskpoint import __version__
from damaskpoint.load.command import add_arguments, run_command


def main() -> None:
    """Run the load tool and exit with its status."""
    parser = argparse.ArgumentParser(
        prog='damaskpoint-load', description=__doc__
    )
    parser.add_argument('--version', action='version', version=__version__)
    add_arguments(parser)
    sys.exit(run_command(parser.parse_args()))


if __name__ == '__main__':
    main()
