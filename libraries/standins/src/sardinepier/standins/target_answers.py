"""The answers of a stand-in target, and how a caller checks them.

An answer repeats the tag, method and path of its request and a digest of the
request's body. A caller can thus distinguish the complete answer to its own
request from a truncated one and from the answer to any other request.
"""

import hashlib
from typing import Final

import msgspec

KEY_HEADER: Final = 'Idempotency-Key'
TAG_HEADER: Final = 'Request-Tag'
DEADLINE_HEADER: Final = 'Sardinepier-Deadline-Ms'
SHED_STATUS: Final = 503
SHED_HEADER: Final = 'Shed'
SHED_VALUE: Final = 'not-run'
DRAINING_HEADER: Final = 'Draining'
DRAINING_VALUE: Final = 'yes'

_DIGEST_BYTES: Final = 8


class TargetAnswer(msgspec.Struct, frozen=True):
    """The JSON body of the response to a request that was run."""

    target_id: str
    request_tag: str
    method: str
    path: str
    body_digest: str
    padding_bytes: int = 0
    padding: str = ''


def digest(body: bytes) -> str:
    """Return the digest of a request's body as 16 hex digits."""
    return hashlib.blake2b(body, digest_size=_DIGEST_BYTES).hexdigest()


def answers_request(raw: bytes, tag: str, path: str, body: bytes) -> bool:
    """Return whether ``raw`` is the complete answer to exactly this request.

    ``path`` is the path that the caller requested. It may be longer than the
    one that the target received, as the name of the service precedes that.
    """
    try:
        answer = msgspec.json.decode(raw, type=TargetAnswer)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return False
    return (
        answer.request_tag == tag
        and path.endswith(answer.path)
        and answer.body_digest == digest(body)
        and answer.padding_bytes == len(answer.padding)
    )
