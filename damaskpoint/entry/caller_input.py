"""Parses and validates the input of callers, within limits."""

from __future__ import annotations

import hashlib
import hmac
import json
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final, final

from damaskpoint import defaults, protocol
from damaskpoint.errors import Code, Failure

if TYPE_CHECKING:
    from collections.abc import Mapping

    from damaskpoint.config.model import Account, Configuration

_BEARER: Final = 'Bearer '
# Compared for an unknown account, so that timing reveals no account names.
_PLACEHOLDER_DIGEST: Final = '0' * hashlib.sha256().digest_size * 2
_MS_PER_S: Final = 1000


@final
@dataclass(frozen=True, slots=True)
class CallerHeaders:
    """The validated request headers that the system interprets."""

    # Texts are empty where the caller sent none.
    request_id: str
    account: str
    credential: str
    idempotency_key: str
    deadline_ms: int | None


def read_headers(headers: Mapping[str, str]) -> CallerHeaders | Failure:
    """Return the headers, or a failure for the first invalid one."""
    for name in (
        protocol.HEADER_REQUEST_ID,
        protocol.HEADER_IDEMPOTENCY_KEY,
        protocol.HEADER_ACCOUNT,
    ):
        fault = _check_token(name, headers.get(name))
        if fault is not None:
            return fault
    deadline_ms = _read_deadline(headers.get(protocol.HEADER_DEADLINE_MS))
    if isinstance(deadline_ms, Failure):
        return deadline_ms
    authorization = headers.get(protocol.HEADER_AUTHORIZATION, '')
    credential = ''
    if authorization.startswith(_BEARER):
        credential = authorization.removeprefix(_BEARER).strip()
    return CallerHeaders(
        headers.get(protocol.HEADER_REQUEST_ID, ''),
        headers.get(protocol.HEADER_ACCOUNT, ''),
        credential,
        headers.get(protocol.HEADER_IDEMPOTENCY_KEY, ''),
        deadline_ms,
    )


def authenticate(
    configuration: Configuration, headers: CallerHeaders
) -> Account | Failure:
    """Return the client account that the credential authenticates.

    An unknown account and a wrong credential take the same time.
    """
    if not headers.account:
        return Failure(Code.CREDENTIAL_MISSING, protocol.HEADER_ACCOUNT)
    if not headers.credential:
        return Failure(Code.CREDENTIAL_MISSING, protocol.HEADER_AUTHORIZATION)
    account = configuration.accounts_by_name.get(headers.account)
    expected = (
        account.credential_sha256.lower() if account else _PLACEHOLDER_DIGEST
    )
    found = hashlib.sha256(headers.credential.encode()).hexdigest()
    is_equal = hmac.compare_digest(found.encode(), expected.encode())
    if account is None:
        return Failure(Code.UNKNOWN_ACCOUNT)
    if not is_equal:
        return Failure(Code.CREDENTIAL_WRONG)
    return account


def read_json(body: bytes) -> object | Failure:
    """Return the parsed body, or a failure if it is malformed or too deep."""
    try:
        parsed: object = json.loads(body, parse_constant=_reject_constant)
    except (ValueError, RecursionError) as error:
        return Failure(Code.BODY_MALFORMED, str(error))
    if _is_too_deep(parsed):
        max_depth = defaults.MAX_JSON_DEPTH
        return Failure(Code.BODY_MALFORMED, f'deeper than {max_depth} levels')
    return parsed


def choose_deadline_s(requested_ms: int | None, max_ms: int) -> float:
    """Return the time limit of a request (seconds), at most ``max_ms``."""
    if requested_ms is None:
        return max_ms / _MS_PER_S
    return min(requested_ms, max_ms) / _MS_PER_S


def _check_token(name: str, value: str | None) -> Failure | None:
    """Check a header that holds an identifier, if it is present."""
    if value is None:
        return None
    is_visible = value.isascii() and value.isprintable() and ' ' not in value
    if value and is_visible and len(value) <= defaults.MAX_KEY_CHARACTERS:
        return None
    max_characters = defaults.MAX_KEY_CHARACTERS
    detail = f'{name}: 1 to {max_characters} visible ASCII characters'
    return Failure(Code.HEADER_MALFORMED, detail)


def _read_deadline(value: str | None) -> int | None | Failure:
    if value is None:
        return None
    is_decimal = value.isascii() and value.isdecimal()
    digits = len(str(defaults.MAX_DEADLINE_MS))
    if is_decimal and len(value) <= digits:
        deadline_ms = int(value)
        if 0 < deadline_ms <= defaults.MAX_DEADLINE_MS:
            return deadline_ms
    max_ms = defaults.MAX_DEADLINE_MS
    detail = f'{protocol.HEADER_DEADLINE_MS}: 1 to {max_ms} milliseconds'
    return Failure(Code.HEADER_MALFORMED, detail)


def _is_too_deep(parsed: object) -> bool:
    """Check the depth level by level, which needs no recursion."""
    level = [parsed]
    for _ in range(defaults.MAX_JSON_DEPTH + 1):
        children: list[object] = []
        for node in level:
            if isinstance(node, dict):
                children.extend(node.values())
            elif isinstance(node, list):
                children.extend(node)
        if not children:
            return False
        level = children
    return True


def _reject_constant(constant: str) -> object:
    raise ValueError(f'{constant} is not JSON')
