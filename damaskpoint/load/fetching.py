"""HTTP calls that may end without a response."""

from __future__ import annotations

from typing import TYPE_CHECKING

from damaskpoint.http_errors import HTTP_CALL_ERRORS

if TYPE_CHECKING:
    from tornado.httpclient import (
        AsyncHTTPClient,
        HTTPRequest,
        HTTPResponse,
    )


async def fetch(
    client: AsyncHTTPClient, request: HTTPRequest
) -> HTTPResponse | None:
    """Return a response of any status; None if there was none."""
    try:
        return await client.fetch(request, raise_error=False)
    except HTTP_CALL_ERRORS:
        return None
