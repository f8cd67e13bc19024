"""Encodes and decodes thrift structs with size limits.

The compact protocol is used, with thrift's extension module if available.
Its decoder limits the nesting; the lengths of strings and containers are
limited here. Any input is decoded to a struct or results in a
``MESSAGE_MALFORMED`` failure.
"""

from __future__ import annotations

import struct
from typing import TYPE_CHECKING, Final, Protocol, TypeVar

from thrift import Thrift
from thrift.protocol import TCompactProtocol
from thrift.transport import TTransport

from damaskpoint import defaults
from damaskpoint.errors import Code, Failure

if TYPE_CHECKING:
    from collections.abc import Callable

# Exceptions that decoding malformed input may raise.
DECODE_ERRORS: Final = (
    Thrift.TException,
    EOFError,
    TypeError,
    ValueError,
    OverflowError,
    MemoryError,
    AssertionError,
    LookupError,
    AttributeError,
    RecursionError,
    struct.error,
)


class ThriftStruct(Protocol):
    """The interface of thrift's generated structs."""

    def read(self, iprot: object) -> None:
        """Fill the fields from a protocol."""

    def write(self, oprot: object) -> None:
        """Write the fields to a protocol."""

    def validate(self) -> None:
        """Raise an exception if a required field is missing."""


_Struct = TypeVar('_Struct', bound=ThriftStruct)


def create_protocol(
    transport: TTransport.TMemoryBuffer, max_string_bytes: int
) -> TCompactProtocol.TCompactProtocolAccelerated:
    """Return the compact protocol over a buffer, with limited lengths."""
    return TCompactProtocol.TCompactProtocolAccelerated(
        transport,
        string_length_limit=max_string_bytes,
        container_length_limit=defaults.MAX_MESSAGE_ITEMS,
    )


def encode(message: ThriftStruct) -> bytes:
    """Return the encoded form of a struct whose fields are valid."""
    buffer = TTransport.TMemoryBuffer()
    message.write(create_protocol(buffer, defaults.MAX_PEER_BODY_BYTES))
    encoded: bytes = buffer.getvalue()
    return encoded


def decode(
    create: Callable[[], _Struct], encoded: bytes, max_bytes: int
) -> _Struct | Failure:
    """Return the decoded struct, or a ``MESSAGE_MALFORMED`` failure."""
    if len(encoded) > max_bytes:
        return Failure(Code.MESSAGE_MALFORMED, 'too many bytes')
    buffer = TTransport.TMemoryBuffer(encoded)
    message = create()
    try:
        _read_and_validate(message, create_protocol(buffer, max_bytes))
    except DECODE_ERRORS as error:
        return Failure(Code.MESSAGE_MALFORMED, type(error).__name__)
    return message


def _read_and_validate(message: ThriftStruct, protocol: object) -> None:
    message.read(protocol)
    message.validate()
