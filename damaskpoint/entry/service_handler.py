"""``/v1/services/POOL/PATH``, passed on to a plain service."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, final

from damaskpoint import defaults
from damaskpoint.config.model import PoolKind
from damaskpoint.entry.caller_handler import CallerHandler
from damaskpoint.errors import Code, Failure, FailureError
from damaskpoint.pipeline.idempotency import is_idempotent
from damaskpoint.pipeline.service_caller import ServiceRequest, select_headers

if TYPE_CHECKING:
    from damaskpoint.config.model import Account, Configuration, Pool

_SEPARATOR = b'\0'


@final
class ServiceHandler(CallerHandler):
    """Passes a request on and its answer back, both whole."""

    kind = 'service'

    async def get(self, pool: str, path: str) -> None:
        """Pass a GET on."""
        await self.run_request(pool, path)

    async def head(self, pool: str, path: str) -> None:
        """Pass a HEAD on."""
        await self.run_request(pool, path)

    async def post(self, pool: str, path: str) -> None:
        """Pass a POST on."""
        await self.run_request(pool, path)

    async def put(self, pool: str, path: str) -> None:
        """Pass a PUT on."""
        await self.run_request(pool, path)

    async def delete(self, pool: str, path: str) -> None:
        """Pass a DELETE on."""
        await self.run_request(pool, path)

    async def serve(
        self,
        configuration: Configuration,
        account: Account,
        target: tuple[str, ...],
    ) -> None:
        """Admit, pass on, and give the final answer."""
        pool = configuration.pools_by_name.get(target[0])
        if pool is None or pool.kind is not PoolKind.SERVICE:
            raise FailureError(Failure(Code.UNKNOWN_SERVICE, target[0]))
        admitted = await self.admit(account, pool.name, defaults.DEADLINE_MS)
        request = self._make_request(account, pool)
        try:
            answer = await self.parts.services.answer(request)
        except BaseException:
            self.parts.admission.release(admitted, is_complete=False)
            raise
        is_complete = not isinstance(answer, Failure)
        self.parts.admission.release(admitted, is_complete)
        if isinstance(answer, Failure):
            raise FailureError(answer)
        self.give(answer)

    def _make_request(self, account: Account, pool: Pool) -> ServiceRequest:
        # The path as it was written; only the part that names the pool goes.
        path = self.request.path.split('/', _PARTS_BEFORE_PATH)[-1]
        uri = f'/{path}'
        if self.request.query:
            uri = f'{uri}?{self.request.query}'
        method = self.request.method or ''
        body = bytes(self.body)
        named = (pool.name.encode(), method.encode(), uri.encode(), body)
        return ServiceRequest(
            self.request_id,
            account.name,
            pool.name,
            method,
            uri,
            select_headers(tuple(self.request.headers.get_all())),
            body,
            is_idempotent(pool, f'/{path}'),
            self.input_headers.key,
            hashlib.sha256(_SEPARATOR.join(named)).hexdigest(),
            self.deadline,
        )


# '', 'v1', 'services' and the pool.
_PARTS_BEFORE_PATH = 4
