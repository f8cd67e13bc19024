"""The object of an accepted configuration: compressed canonical JSON.

Equal configurations have equal canonical text, regardless of the order of the
sheet's rows. The digest of the text therefore identifies the content, and the
object is named by the digest. The version is not part of the object; it is
stored in the table's row.
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

# Limit of decompression, against objects that expand without bound.
MAX_TEXT_BYTES: Final = 16_777_216
_CONFIGURATION_ADAPTER: Final = pydantic.TypeAdapter(Configuration)


def encode_text(configuration: Configuration) -> bytes:
    """Return the canonical JSON of all fields but version and digest."""
    content = _collect_fields(configuration)
    content.pop('version')
    content.pop('digest')
    return json.dumps(
        content, sort_keys=True, separators=(',', ':'), default=_encode_value
    ).encode()


def assign_version(configuration: Configuration, version: int) -> Configuration:
    """Return the configuration with the version and its computed digest."""
    digest = compute_digest(encode_text(configuration))
    return dataclasses.replace(configuration, version=version, digest=digest)


def pack(configuration: Configuration) -> bytes:
    """Return the object of a configuration, its compressed canonical text."""
    return zlib.compress(encode_text(configuration))


def unpack(packed: bytes, version: int, digest: str) -> Configuration | Failure:
    """Return the configuration of an object.

    Returns ``CONFIGURATION_CORRUPT`` if its text does not have the digest or
    is not a valid configuration.
    """
    text = _decompress(packed)
    if text is None or compute_digest(text) != digest:
        return Failure(
            Code.CONFIGURATION_CORRUPT, f'version {version}: not {digest}'
        )
    try:
        return _validate_content(json.loads(text), version, digest)
    except (ValueError, TypeError, RecursionError) as error:
        return Failure(Code.CONFIGURATION_CORRUPT, str(error))


def compute_digest(text: bytes) -> str:
    """Return the hexadecimal SHA-256 of a canonical text."""
    return hashlib.sha256(text).hexdigest()


def build_object_name(digest: str) -> str:
    """Return the name of the object that holds a configuration."""
    return f'config/{digest}'


def replace_zone(configuration: Configuration, zone: Zone) -> Configuration:
    """Return a copy with one zone replaced; its digest is not updated."""
    zones_by_name: Mapping[str, Zone] = {
        **configuration.zones_by_name,
        zone.name: zone,
    }
    return dataclasses.replace(configuration, zones_by_name=dict(zones_by_name))


def _decompress(packed: bytes) -> bytes | None:
    """Return the text of an object, or None if truncated or too long."""
    unpacker = zlib.decompressobj()
    try:
        text = unpacker.decompress(packed, MAX_TEXT_BYTES)
    except zlib.error:
        return None
    is_complete = unpacker.eof and not unpacker.unused_data
    return text if is_complete else None


def _validate_content(
    content: object, version: int, digest: str
) -> Configuration:
    if not isinstance(content, dict):
        raise TypeError('the content is no JSON object')
    return _CONFIGURATION_ADAPTER.validate_python(
        {
            **content,
            'version': version,
            'digest': digest,
        }
    )


def _collect_fields(value: DataclassInstance) -> dict[str, object]:
    """Return the fields of a data class without copying their values."""
    fields: dict[str, object] = {}
    for field in dataclasses.fields(value):
        fields[field.name] = getattr(value, field.name)
    return fields


def _encode_value(value: object) -> object:
    if dataclasses.is_dataclass(value) and not isinstance(value, type):
        return _collect_fields(value)
    if isinstance(value, frozenset):
        return sorted(value)
    if isinstance(value, enum.Enum):
        return value.value
    raise TypeError(f'{type(value)} is not allowed in a configuration')
