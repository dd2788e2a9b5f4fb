"""Reads the body of an answer, and nothing of one that is known to be broken."""

from collections.abc import AsyncIterator

from aiohttp import client_reqrep


async def read(response: client_reqrep.ClientResponse) -> bytes:
    """Return the bytes of a body that have arrived, none at its end.

    Raises a ``ClientError`` or ``OSError`` if the body is not whole. The last
    bytes are not returned then: a caller who got as many bytes as the answer
    states takes it for complete.
    """
    chunk = await response.content.readany()
    error = response.content.exception()
    if error is not None:
        raise error
    return chunk


async def iterate(
    response: client_reqrep.ClientResponse,
) -> AsyncIterator[bytes]:
    """Yield the bytes as they arrive; raises as :func:`read` does."""
    while chunk := await read(response):
        yield chunk
