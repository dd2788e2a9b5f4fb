"""What each role costs at the target size, worked out of the slopes."""

import enum
from typing import Final

import msgspec

GOOD: Final = 'OK'
FAILING: Final = 'FAILING'


class Basis(enum.Enum):
    """Where a figure comes from."""

    MEASURED = 'measured at this size'
    EXTRAPOLATED = 'extrapolated'
    BOUND = 'bound in the code'


class Line(msgspec.Struct, frozen=True, kw_only=True):
    """One figure of one role, beside its limit if it has one."""

    role: str
    what: str
    figure: float
    unit: str
    basis: Basis
    module: str
    error: float = 0.0
    limit: float | None = None
    mended_by: str = ''

    @property
    def verdict(self) -> str:
        """Return ``OK``, ``FAILING`` or nothing when there is no limit.

        The error counts against the figure: what may be above its limit by
        one standard error is not called good.
        """
        if self.limit is None:
            return ''
        return GOOD if self.figure + self.error <= self.limit else FAILING
