"""The accepted configuration as an object: packed canonical JSON.

Equal configurations have equal text, so its digest names the content
whatever the order of the sheet's rows was, and the object's name follows
from the digest. The version stands outside, in the table's row.
"""

from __future__ import annotations

import dataclasses
import enum
import hashlib
import json
import zlib
from typing import TYPE_CHECKING, Final

import pydantic

from damaskpoint.config.model import Configuration, Zone
from damaskpoint.errors import Code, Failure

if TYPE_CHECKING:
    from collections.abc import Mapping

    from _typeshed import DataclassInstance

# The longest canonical text that is unpacked.
MAX_TEXT_BYTES: Final = 16_777_216
_ADAPTER: Final = pydantic.TypeAdapter(Configuration)


def encode_text(configuration: Configuration) -> bytes:
    """Return the canonical text of all but the version and the digest."""
    content = _list_fields(configuration)
    content.pop('version')
    content.pop('digest')
    return json.dumps(
        content, sort_keys=True, separators=(',', ':'), default=_encode_value
    ).encode()


def assign_version(configuration: Configuration, version: int) -> Configuration:
    """Return the configuration with a version and its own digest."""
    digest = compute_digest(encode_text(configuration))
    return dataclasses.replace(configuration, version=version, digest=digest)


def pack(configuration: Configuration) -> bytes:
    """Return the object of a configuration: its canonical text, compressed."""
    return zlib.compress(encode_text(configuration))


def unpack(packed: bytes, version: int, digest: str) -> Configuration | Failure:
    """Return the configuration, if its text has the expected digest."""
    body = _decompress(packed)
    if body is None or compute_digest(body) != digest:
        return Failure(
            Code.CONFIGURATION_CORRUPT, f'version {version}: not {digest}'
        )
    try:
        return _build(json.loads(body), version, digest)
    except (ValueError, TypeError, RecursionError) as error:
        return Failure(Code.CONFIGURATION_CORRUPT, str(error))


def compute_digest(body: bytes) -> str:
    """Return the hexadecimal SHA-256 of a canonical text."""
    return hashlib.sha256(body).hexdigest()


def build_object_name(digest: str) -> str:
    """Return the name of the object that holds a configuration."""
    return f'config/{digest}'


def replace_zone(configuration: Configuration, zone: Zone) -> Configuration:
    """Return the configuration with one zone changed, not yet stamped."""
    zones_by_name: Mapping[str, Zone] = {
        **configuration.zones_by_name,
        zone.name: zone,
    }
    return dataclasses.replace(configuration, zones_by_name=dict(zones_by_name))


def _decompress(packed: bytes) -> bytes | None:
    """Return the text of an object, None if it is not whole or too long."""
    unpacker = zlib.decompressobj()
    try:
        body = unpacker.decompress(packed, MAX_TEXT_BYTES)
    except zlib.error:
        return None
    is_whole = unpacker.eof and not unpacker.unused_data
    return body if is_whole else None


def _build(content: object, version: int, digest: str) -> Configuration:
    if not isinstance(content, dict):
        raise TypeError('the content is no JSON object')
    return _ADAPTER.validate_python(
        {
            **content,
            'version': version,
            'digest': digest,
        }
    )


def _list_fields(value: DataclassInstance) -> dict[str, object]:
    """Return the fields of a data class, without a copy of their values."""
    fields: dict[str, object] = {}
    for field in dataclasses.fields(value):
        fields[field.name] = getattr(value, field.name)
    return fields


def _encode_value(value: object) -> object:
    if dataclasses.is_dataclass(value) and not isinstance(value, type):
        return _list_fields(value)
    if isinstance(value, frozenset):
        return sorted(value)
    if isinstance(value, enum.Enum):
        return value.value
    raise TypeError(f'{type(value)} has no place in a configuration')
