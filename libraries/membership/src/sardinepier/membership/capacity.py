"""The capacity that an instance announces about itself.

Instances of a fleet may differ by a factor of five in processor capacity and
by a factor of twenty in link capacity. Each instance announces its own
figures, so that other daemons can choose instances by their capacity.
"""

from typing import Annotated, Final

import msgspec

_MAX_FIGURE: Final = 2_000_000_000
"""The upper bound: two million cores, or two terabits per second."""

_Figure = Annotated[int, msgspec.Meta(ge=1, le=_MAX_FIGURE)]


class Capacity(msgspec.Struct, frozen=True, array_like=True):
    """Processor capacity in thousandths of a core, link capacity in kbit/s."""

    processor_millis: _Figure = 1000
    link_kbit_per_s: _Figure = 1_000_000


DEFAULT: Final = Capacity()
"""Assumed for an instance that announces no capacity: one core, 1 Gbit/s."""
