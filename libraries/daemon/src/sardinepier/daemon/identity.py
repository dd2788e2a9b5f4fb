"""The name of one start of a daemon."""

import random
from typing import Final

from sardinepier.core import ids

_BITS: Final = 64


def new_instance_id(
    daemon_id: ids.DaemonId,
    random_source: random.Random,
) -> ids.InstanceId:
    """Return ``<daemon id>~<16 hex digits>``, never given out before.

    ``random_source`` must differ between starts; pass
    ``random.SystemRandom()``. A counter or the clock would not do: nothing
    survives a restart, and a clock may be set back.
    """
    return ids.InstanceId(
        f'{daemon_id}~{random_source.getrandbits(_BITS):016x}'
    )
