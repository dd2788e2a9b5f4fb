"""Compression of configurations, as large ones are highly repetitive."""

import zlib
from typing import Final

import msgspec

from sardinepier.core import decoding, errors
from sardinepier.entry import model

_LEVEL: Final = 1
_FAILURES: Final = (zlib.error, *decoding.FAILURES)
_MAX_BYTES: Final = 16_777_216
"""Limits the unpacked size of a damaged message; values of the platform are at
most one megabyte."""

_encoder: Final = msgspec.msgpack.Encoder()
_decoder: Final = msgspec.msgpack.Decoder(model.ServedConfiguration)


class DamagedError(errors.SardinepierError):
    """Bytes of another daemon that hold no configuration."""


def pack(configuration: model.ServedConfiguration) -> bytes:
    """Return the configuration as compressed MessagePack."""
    return zlib.compress(_encoder.encode(configuration), _LEVEL)


def unpack(packed: bytes) -> model.ServedConfiguration:
    """Return the configuration.

    Raises ``DamagedError`` for bytes that are not from :func:`pack`.
    """
    unpacker = zlib.decompressobj()
    try:
        return _decoder.decode(unpacker.decompress(packed, _MAX_BYTES))
    except _FAILURES as error:
        raise DamagedError(
            f'The bytes hold no configuration: {error}',
            'Use daemons of versions that fit each other',
        ) from error
