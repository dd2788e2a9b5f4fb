"""Digests of the living records, one per bucket of instance ids."""

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
    """Return the bucket of an instance, which is the same on every daemon."""
    return rendezvous.score('bucket', instance_id) % BUCKETS


class Digests:
    """Per bucket, the exclusive-or of the hashes of its records.

    A change of a record therefore costs one update of its bucket. Suspicion is
    excluded because it ends by itself, in death or refutation. Dead records
    are excluded because each daemon removes them at a different time.
    """

    def __init__(self) -> None:
        """Start with the digests of an empty table."""
        self._digests = [0 for _ in range(BUCKETS)]
        self._total = 0

    def toggle(self, bucket: int, member_record: record.Record) -> None:
        """Add a living record, or remove one that was added."""
        key = f'{member_record.incarnation}/{member_record.leaving:d}'
        record_hash = (
            rendezvous.score(key, member_record.instance_id) & _DIGEST_MASK
        )
        self._digests[bucket] ^= record_hash
        self._total ^= record_hash

    def encode(self) -> bytes:
        """Return all digests in their wire format."""
        return struct.pack(_FORMAT, *self._digests)

    def total(self) -> int:
        """Return a single digest of all records."""
        return self._total

    def differing(self, encoded: bytes) -> list[int]:
        """Return the buckets whose digest differs from that in ``encoded``."""
        peer_digests = struct.unpack(_FORMAT, encoded)
        return [
            bucket
            for bucket, digest in enumerate(self._digests)
            if digest != peer_digests[bucket]
        ]
