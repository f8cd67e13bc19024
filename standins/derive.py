"""Computes the answers of the simulated model engine from the call alone.

Answers are deterministic: a checker that knows a request's identifier and
input can compute the answer of every stage, and so detect an answer that
belongs to another request.
"""

from __future__ import annotations

import hashlib
import json
from typing import Final

# Input fields copied to the output, so that they reach all later stages.
_PASSED_THROUGH_FIELDS: Final = ('key', 'tokens', 'prefix')
_DEFAULT_TOKENS: Final = 12
_TOKEN_DIGITS: Final = 6


def encode_input(call_input: object) -> str:
    """Return the canonical JSON text of an input."""
    return json.dumps(call_input, sort_keys=True, separators=(',', ':'))


def hash_text(text: str) -> str:
    """Return the hexadecimal SHA-256 of a text."""
    return hashlib.sha256(text.encode()).hexdigest()


def derive_digest(kind: str, request_id: str, call_input: object) -> str:
    """Return the digest that identifies the answer to one call."""
    return hash_text(f'{kind}\n{request_id}\n{encode_input(call_input)}')


def derive_tokens(
    kind: str, request_id: str, call_input: object
) -> tuple[str, ...]:
    """Return the tokens of a generate stage; the first is the digest."""
    digest = derive_digest(kind, request_id, call_input)
    count = _DEFAULT_TOKENS
    if isinstance(call_input, dict):
        count = int(call_input.get('tokens', count))
    tokens = [digest]
    for number in range(1, max(count, 1)):
        tokens.append(f' {hash_text(f"{digest}{number}")[:_TOKEN_DIGITS]}')
    return tuple(tokens)


def derive_output(
    kind: str, request_id: str, call_input: object
) -> dict[str, object]:
    """Return the output of a call that does not stream."""
    output: dict[str, object] = {}
    if isinstance(call_input, dict):
        passed_through = [
            name for name in _PASSED_THROUGH_FIELDS if name in call_input
        ]
        output.update({name: call_input[name] for name in passed_through})
    output['stage'] = kind
    if kind == 'generate':
        output['text'] = ''.join(derive_tokens(kind, request_id, call_input))
    else:
        output['digest'] = derive_digest(kind, request_id, call_input)
    return output


def read_prefix(call_input: object) -> str:
    """Return the prompt prefix that an engine caches; empty for none."""
    if isinstance(call_input, dict) and 'prefix' in call_input:
        return str(call_input['prefix'])
    return ''
