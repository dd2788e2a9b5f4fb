"""Start-up settings of a stand-in target."""

import dataclasses
from typing import Final

from sardinepier.core import errors

_MAX_SLOTS: Final = 10_000
_MAX_ANSWER_BYTES: Final = 67_108_864


@dataclasses.dataclass(frozen=True, slots=True)
class TargetStandinSettings:
    """Settings of one stand-in target.

    ``slots`` requests run at once, each for ``service_ms`` milliseconds plus
    or minus ``jitter_percent``. The first ``cold_requests`` requests take
    ``cold_factor`` times as long. ``/load`` is refreshed every
    ``load_lag_ms``. Answers are padded to about ``answer_bytes``. A body above
    ``body_limit_bytes`` is refused with status 413. If ``executions_path`` is
    not empty, each execution is also appended to that file when it starts, so
    that the counts survive a killed process. A request whose body contains the
    text ``poison`` crashes the target, also after a restart.
    """

    target_id: str
    slots: int = 3
    service_ms: float = 10.0
    jitter_percent: float = 0.0
    cold_requests: int = 0
    cold_factor: float = 1.0
    load_lag_ms: float = 1000.0
    answer_bytes: int = 0
    body_limit_bytes: int = 4 * 1024 * 1024
    drain_ms: float = 1000.0
    executions_path: str = ''
    poison: str = ''

    def __post_init__(self) -> None:
        """Check all ranges; raise ``InvalidArgumentError`` on a violation."""
        _check_range('slots', self.slots, 1, _MAX_SLOTS)
        _check_range('answer_bytes', self.answer_bytes, 0, _MAX_ANSWER_BYTES)
        _check_range('jitter_percent', self.jitter_percent, 0, 100)
        for name in ('service_ms', 'cold_requests', 'load_lag_ms', 'drain_ms'):
            _check_range(name, getattr(self, name), 0, float('inf'))
        _check_range('cold_factor', self.cold_factor, 1, float('inf'))


def _check_range(
    name: str,
    number: float,
    lowest: float,
    highest: float,
) -> None:
    if not isinstance(number, int | float):
        raise errors.InvalidArgumentError(
            f'The value of {name} is {number!r}, not a number',
            f'Pass a number from {lowest} to {highest}',
        )
    if not lowest <= number <= highest:
        raise errors.InvalidArgumentError(
            f'The value of {name} is {number}',
            f'Pass a number from {lowest} to {highest}',
        )
