"""Handler of ``/v1/services/POOL/PATH``, forwarded to a plain service."""

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
    """Forwards a request and its answer, each buffered in full."""

    kind = 'service'

    async def get(self, pool: str, path: str) -> None:
        """Forward a GET."""
        await self.run_request(pool, path)

    async def head(self, pool: str, path: str) -> None:
        """Forward a HEAD."""
        await self.run_request(pool, path)

    async def post(self, pool: str, path: str) -> None:
        """Forward a POST."""
        await self.run_request(pool, path)

    async def put(self, pool: str, path: str) -> None:
        """Forward a PUT."""
        await self.run_request(pool, path)

    async def delete(self, pool: str, path: str) -> None:
        """Forward a DELETE."""
        await self.run_request(pool, path)

    async def serve(
        self,
        configuration: Configuration,
        account: Account,
        target: tuple[str, ...],
    ) -> None:
        """Admit and forward the request, and send the final answer."""
        pool = configuration.pools_by_name.get(target[0])
        if pool is None or pool.kind is not PoolKind.SERVICE:
            raise FailureError(Failure(Code.UNKNOWN_SERVICE, target[0]))
        admitted = await self.admit(account, pool.name, defaults.DEADLINE_MS)
        request = self._make_request(account, pool)
        try:
            answer = await self.dependencies.services.answer(request)
        except BaseException:
            self.dependencies.admission.release(admitted, is_complete=False)
            raise
        is_complete = not isinstance(answer, Failure)
        self.dependencies.admission.release(admitted, is_complete)
        if isinstance(answer, Failure):
            raise FailureError(answer)
        self.send_answer(answer)

    def _make_request(self, account: Account, pool: Pool) -> ServiceRequest:
        # The path as received, without the prefix that names the pool.
        path = self.request.path.split('/', _SEGMENTS_BEFORE_PATH)[-1]
        uri = f'/{path}'
        if self.request.query:
            uri = f'{uri}?{self.request.query}'
        method = self.request.method or ''
        body = bytes(self.body)
        digest_input = (pool.name.encode(), method.encode(), uri.encode(), body)
        return ServiceRequest(
            self.request_id,
            account.name,
            pool.name,
            method,
            uri,
            select_headers(tuple(self.request.headers.get_all())),
            body,
            is_idempotent(pool, f'/{path}'),
            self.input_headers.idempotency_key,
            hashlib.sha256(_SEPARATOR.join(digest_input)).hexdigest(),
            self.deadline,
        )


# The empty segment, 'v1', 'services' and the pool.
_SEGMENTS_BEFORE_PATH = 4
