"""The errors with which a call of tornado's HTTP client can fail."""

from __future__ import annotations

from typing import Final

from tornado.httpclient import HTTPClientError
from tornado.iostream import UnsatisfiableReadError

# A head that is too long is not turned into an ``HTTPClientError``.
HTTP_CALL_ERRORS: Final = (HTTPClientError, UnsatisfiableReadError, OSError)
