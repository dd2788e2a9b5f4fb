"""What may go wrong as bytes of another process are decoded."""

from typing import Final

FAILURES: Final = (
    ValueError,
    TypeError,
    RecursionError,
    OverflowError,
    MemoryError,
)
"""The errors of decoders. Errors of msgspec, of base64 and of UTF-8 are kinds of
``ValueError``; keys of a type that can't be hashed raise ``TypeError``, and deeply
nested documents ``RecursionError`` before their end is known."""
