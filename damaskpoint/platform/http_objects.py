"""The platform's object store over HTTP."""

from __future__ import annotations

import http
from typing import TYPE_CHECKING, final
from urllib.parse import quote

from damaskpoint.errors import Failure
from damaskpoint.platform.base import ObjectStore
from damaskpoint.platform.http_call import PlatformCall, PlatformCaller

if TYPE_CHECKING:
    from tornado.httpclient import AsyncHTTPClient

    from damaskpoint.settings import PlatformOptions


@final
class HttpObjectStore(ObjectStore):
    """Speaks the object store's protocol."""

    def __init__(self, caller: PlatformCaller, base_url: str) -> None:
        """Keep the caller and the store's base URL."""
        self._caller = caller
        self._base_url = base_url.rstrip('/')

    async def put(self, name: str, body: bytes) -> Failure | None:
        """Store an object, whole or not at all."""
        call = PlatformCall(
            'objects',
            'PUT',
            self._locate(name),
            body,
            is_write=True,
            expected=(http.HTTPStatus.NO_CONTENT, http.HTTPStatus.OK),
        )
        answer = await self._caller.send(call)
        return answer if isinstance(answer, Failure) else None

    async def get(self, name: str) -> bytes | Failure:
        """Return an object; ``PLATFORM_MISSING`` if there is none."""
        call = PlatformCall('objects', 'GET', self._locate(name))
        answer = await self._caller.send(call)
        return answer if isinstance(answer, Failure) else answer.body

    def _locate(self, name: str) -> str:
        return f'{self._base_url}/objects/{quote(name)}'


def create_http_object_store(
    options: PlatformOptions, client: AsyncHTTPClient
) -> HttpObjectStore:
    """Return the object store that the options name."""
    caller = PlatformCaller(client, options.timeout_s)
    return HttpObjectStore(caller, options.objects_url)
