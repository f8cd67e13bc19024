"""Logging setup: text or JSON lines on the standard error stream."""

from __future__ import annotations

import logging
import sys
from typing import TYPE_CHECKING, Final

from pythonjsonlogger import json as json_logger

if TYPE_CHECKING:
    from damaskpoint.settings_base import LogOptions

_TEXT_FORMAT: Final = '%(asctime)s %(levelname)s %(name)s %(message)s'
_JSON_FORMAT: Final = '%(asctime)s %(levelname)s %(name)s %(message)s'
# tornado logs each refused request and failed connection; metrics count them.
_SILENCED_LOGGERS: Final = ('tornado.access', 'tornado.general')


def set_up_logs(options: LogOptions, process: str) -> None:
    """Send all log lines of the process to the standard error stream.

    ``process`` is the name of the binary; JSON lines have it as a field.
    """
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(_create_formatter(options, process))
    root = logging.getLogger()
    for previous in tuple(root.handlers):
        root.removeHandler(previous)
    root.addHandler(handler)
    root.setLevel(options.level.upper())
    silence_library_loggers()


def silence_library_loggers() -> None:
    """Suppress what libraries log per request; metrics count the requests."""
    for name in _SILENCED_LOGGERS:
        logging.getLogger(name).setLevel(logging.ERROR)


def _create_formatter(options: LogOptions, process: str) -> logging.Formatter:
    if options.as_json:
        return json_logger.JsonFormatter(
            _JSON_FORMAT, static_fields={'process': process}
        )
    return logging.Formatter(_TEXT_FORMAT)
