"""Calls over HTTP that may end without an answer."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tornado.httpclient import HTTPError

if TYPE_CHECKING:
    from tornado.httpclient import (
        AsyncHTTPClient,
        HTTPRequest,
        HTTPResponse,
    )


async def fetch(
    client: AsyncHTTPClient, request: HTTPRequest
) -> HTTPResponse | None:
    """Return the answer of any status, or None if there was none."""
    try:
        return await client.fetch(request, raise_error=False)
    except (OSError, HTTPError):
        return None
