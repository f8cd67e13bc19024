"""Runs a gateway that loses all gossip datagrams while a file exists.

``python -m features.support.severed_gateway FILE --settings SETTINGS``. The
product has no switch for this: its socket is patched before the start.
"""

from __future__ import annotations

import pathlib
import sys
from typing import Any

from damaskpoint.main import gateway
from damaskpoint.membership.endpoint import Endpoint

_CUT = pathlib.Path(sys.argv[1])


def _patch(endpoint: Any) -> None:
    send = endpoint.send
    read = endpoint.read

    def send_unless_cut(*arguments: Any) -> None:
        if not _CUT.exists():
            send(*arguments)

    def read_unless_cut(*arguments: Any) -> Any:
        received = read(*arguments)
        while received is not None and _CUT.exists():
            received = read(*arguments)
        return received

    endpoint.send = send_unless_cut
    endpoint.read = read_unless_cut


if __name__ == '__main__':
    _patch(Endpoint)
    sys.exit(gateway.main(sys.argv[2:]))
