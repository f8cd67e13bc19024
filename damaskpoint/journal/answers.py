"""Storage for the answers of completed requests."""

from __future__ import annotations

import base64
import binascii
import hashlib
from typing import TYPE_CHECKING, Final, final

from damaskpoint.errors import Code, Failure, Ran
from damaskpoint.journal.base import StoredAnswer
from damaskpoint.journal.rows import AnswerData

if TYPE_CHECKING:
    from damaskpoint.journal.base import Intent
    from damaskpoint.platform.base import ObjectStore

_OBJECT_PREFIX: Final = 'journal-'


@final
class AnswerStore:
    """Stores small bodies in the journal row, large ones as objects."""

    def __init__(self, object_store: ObjectStore, inline_bytes: int) -> None:
        """Create a store; bodies above ``inline_bytes`` become objects."""
        self._object_store = object_store
        self._inline_bytes = inline_bytes

    async def save(
        self, intent: Intent, answer: StoredAnswer
    ) -> AnswerData | Failure:
        """Store an answer, and return its columns for the row."""
        digest = hashlib.sha256(answer.body).hexdigest()
        if len(answer.body) <= self._inline_bytes:
            return AnswerData(
                status=answer.status,
                headers=answer.headers,
                body=base64.b64encode(answer.body).decode(),
                sha256=digest,
            )
        # The attempt id makes the name unique among answers.
        name = f'{_OBJECT_PREFIX}{intent.row_name}-{intent.attempt}'
        failure = await self._object_store.put(name, answer.body)
        if failure is not None:
            return failure
        return AnswerData(
            status=answer.status,
            headers=answer.headers,
            object_name=name,
            sha256=digest,
        )

    async def load(self, data: AnswerData) -> StoredAnswer | Failure:
        """Return a stored answer, or a failure if it is not intact."""
        body = await self._load_body(data)
        if isinstance(body, Failure):
            return body
        if hashlib.sha256(body).hexdigest() != data.sha256:
            return _make_failure('the stored answer does not match its digest')
        return StoredAnswer(data.status, data.headers, body)

    async def _load_body(self, data: AnswerData) -> bytes | Failure:
        if data.object_name:
            found = await self._object_store.get(data.object_name)
            if isinstance(found, Failure):
                return _make_failure(found.detail)
            return found
        try:
            return base64.b64decode(data.body, validate=True)
        except binascii.Error as error:
            return _make_failure(str(error))


def _make_failure(detail: str) -> Failure:
    """Return the failure for a request that ran but has no readable answer."""
    return Failure(Code.PLATFORM_UNAVAILABLE, detail, Ran.YES, retry_after_s=1)
