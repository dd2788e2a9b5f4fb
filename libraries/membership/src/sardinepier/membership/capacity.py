"""What an instance can do, as it knows of itself.

Instances of a fleet may differ by a factor of five in their processors and of
twenty in their links. Each tells its own figures, so that the others can
choose it for what it can bear.
"""

from typing import Annotated, Final

import msgspec

_MOST: Final = 2_000_000_000
"""Two million cores, or two terabits a second."""

_Figure = Annotated[int, msgspec.Meta(ge=1, le=_MOST)]


class Capacity(msgspec.Struct, frozen=True, array_like=True):
    """The processor in thousandths of a core, and the link in kilobits a second."""

    processor_millis: _Figure = 1000
    link_kbit_per_s: _Figure = 1_000_000


DEFAULT: Final = Capacity()
"""Of an instance that says nothing: a whole core, and a link of a gigabit."""
