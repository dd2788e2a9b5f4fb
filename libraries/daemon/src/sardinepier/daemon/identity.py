"""The identifier of one run of a daemon."""

import random
from typing import Final

from sardinepier.core import ids

_RANDOM_BITS: Final = 64


def new_instance_id(
    daemon_id: ids.DaemonId,
    random_source: random.Random,
) -> ids.InstanceId:
    """Return ``<daemon id>~<16 hex digits>``, unique to this run.

    ``random_source`` must differ between runs; pass ``random.SystemRandom()``.
    A counter or the clock would not be unique: no state survives a restart,
    and a clock may be set back.
    """
    return ids.InstanceId(
        f'{daemon_id}~{random_source.getrandbits(_RANDOM_BITS):016x}'
    )
