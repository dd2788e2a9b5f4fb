"""Digests of the living records, one for each bucket of names."""

import struct
from typing import Final

from sardinepier.core import ids, rendezvous
from sardinepier.membership import kinds
from sardinepier.membership.internal import record

_DIGEST_SIZE_BYTES: Final = 4
_DIGEST_MASK: Final = 0xFFFFFFFF
BUCKETS: Final = kinds.DIGEST_BYTES // _DIGEST_SIZE_BYTES
_FORMAT: Final = f'>{BUCKETS}I'


def bucket_of(instance_id: ids.InstanceId) -> int:
    """Return the bucket of an instance, the same on every daemon."""
    return rendezvous.score('bucket', instance_id) % BUCKETS


class Digests:
    """One exclusive-or of hashes a bucket, so that each change costs one.

    Suspicion is left out: it ends by itself, in death or refutation. The
    dead are left out, because each daemon forgets them at its own time.
    """

    def __init__(self) -> None:
        """Start with no record."""
        self._digests = [0 for _ in range(BUCKETS)]
        self._total = 0

    def toggle(self, bucket: int, held: record.Record) -> None:
        """Add a living record, or take away the same one."""
        key = f'{held.incarnation}/{held.leaving:d}'
        token = rendezvous.score(key, held.instance_id) & _DIGEST_MASK
        self._digests[bucket] ^= token
        self._total ^= token

    def encode(self) -> bytes:
        """Return all digests as they travel."""
        return struct.pack(_FORMAT, *self._digests)

    def total(self) -> int:
        """Return one digest of all records."""
        return self._total

    def differing(self, encoded: bytes) -> list[int]:
        """Return the buckets whose digest is not the one in ``encoded``."""
        theirs = struct.unpack(_FORMAT, encoded)
        return [
            bucket
            for bucket, digest in enumerate(self._digests)
            if digest != theirs[bucket]
        ]
