"""Compression of configurations, as large ones are highly repetitive."""

import zlib
from typing import Final

import msgspec

from sardinepier.entry import model

_LEVEL: Final = 1
_MAX_BYTES: Final = 16_777_216
"""Limits the unpacked size of a damaged message; values of the platform are at
most one megabyte."""

_encoder: Final = msgspec.msgpack.Encoder()
_decoder: Final = msgspec.msgpack.Decoder(model.ServedConfiguration)


def pack(configuration: model.ServedConfiguration) -> bytes:
    """Return the configuration as compressed MessagePack."""
    return zlib.compress(_encoder.encode(configuration), _LEVEL)


def unpack(packed: bytes) -> model.ServedConfiguration:
    """Return the configuration.

    Raises ``zlib.error`` and ``msgspec.DecodeError`` for damaged bytes.
    """
    unpacker = zlib.decompressobj()
    return _decoder.decode(unpacker.decompress(packed, _MAX_BYTES))
