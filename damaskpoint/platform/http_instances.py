"""The platform's list of instances over HTTP."""

from __future__ import annotations

from typing import TYPE_CHECKING, final

import pydantic

from damaskpoint import defaults
from damaskpoint.errors import Failure
from damaskpoint.platform.base import InstanceList, ListedInstance, Presence
from damaskpoint.platform.http_call import (
    PlatformCall,
    PlatformCaller,
    lost_answer,
)

if TYPE_CHECKING:
    from tornado.httpclient import AsyncHTTPClient

    from damaskpoint.settings import PlatformOptions


class _InstanceBody(pydantic.BaseModel):
    name: str
    pool: str
    zone: str
    host: str
    port: int = pydantic.Field(ge=0, le=defaults.MAX_PORT)
    peer_port: int = pydantic.Field(ge=0, le=defaults.MAX_PORT)
    incarnation: int
    presence: Presence


class _ListBody(pydantic.BaseModel):
    instances: list[_InstanceBody]


@final
class HttpInstanceList(InstanceList):
    """Speaks the list's protocol; answers are validated."""

    def __init__(self, caller: PlatformCaller, base_url: str) -> None:
        """Keep the caller and the list's base URL."""
        self._caller = caller
        self._base_url = base_url.rstrip('/')

    async def fetch(self) -> tuple[ListedInstance, ...] | Failure:
        """Return the list as the platform shows it now."""
        call = PlatformCall('instances', 'GET', f'{self._base_url}/instances')
        answer = await self._caller.send(call)
        if isinstance(answer, Failure):
            return answer
        try:
            body = _ListBody.model_validate_json(answer.body)
        except pydantic.ValidationError as error:
            return lost_answer(call, str(error))
        listed = []
        for line in body.instances:
            listed.append(_decode(line))
        return tuple(listed)


def create_http_instance_list(
    options: PlatformOptions, client: AsyncHTTPClient
) -> HttpInstanceList:
    """Return the list of instances that the options name."""
    caller = PlatformCaller(client, options.timeout_s)
    return HttpInstanceList(caller, options.instances_url)


def _decode(line: _InstanceBody) -> ListedInstance:
    return ListedInstance(
        name=line.name,
        pool=line.pool,
        zone=line.zone,
        host=line.host,
        port=line.port,
        peer_port=line.peer_port,
        incarnation=line.incarnation,
        presence=line.presence,
    )
