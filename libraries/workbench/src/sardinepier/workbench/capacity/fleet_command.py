"""What ``scripts/capacity.sh`` calls while a fleet of processes runs."""

import pathlib
from typing import Final

import aiohttp

from sardinepier.core import clock as clocks
from sardinepier.core import errors
from sardinepier.workbench.capacity import episodes, samples, steady
from sardinepier.workbench.capacity import fleet as fleets

STEADY: Final = 'steady'
CHANGES: Final = 'changes'
START: Final = 'start'
ZONE: Final = 'zone'
PLATFORM: Final = 'platform'
KINDS: Final = (STEADY, CHANGES, START, ZONE, PLATFORM)

_CHANGES: Final = 5
_STARTS: Final = 3
_AWAY_S: Final = 15
_BACK_S: Final = 8


class UnknownMeasurementError(errors.SardinepierError):
    """The command line named a measurement that there is not."""


class FleetMeasurement:
    """One fleet, and the file to which its samples go."""

    def __init__(
        self,
        fleet: fleets.MeasuredFleet,
        shape: samples.Shape,
        output: pathlib.Path,
    ) -> None:
        """Measure ``fleet``, which has the shape ``shape``."""
        self._fleet = fleet
        self._shape = shape
        self._output = output
        self._clock = clocks.SystemClock()

    async def run(self, kind: str, window_s: float) -> None:
        """Take one kind of measurement.

        Raises ``UnknownMeasurementError``.
        """
        match kind:
            case 'steady':
                await self._steady(window_s)
            case 'changes':
                await self._changes()
            case 'start':
                await self._starts()
            case 'zone':
                await self._zone()
            case 'platform':
                await self._platform()
            case _:
                raise UnknownMeasurementError(
                    f'There is no measurement {kind!r}',
                    f'Name one of {", ".join(KINDS)}',
                )

    async def _steady(self, window_s: float) -> None:
        sample = await steady.measure(
            self._fleet,
            self._shape,
            window_s,
            self._clock,
        )
        samples.append(self._output, samples.FLEETS_FILE, sample)

    async def _changes(self) -> None:
        for sample in await episodes.measure_changes(
            self._fleet,
            self._shape,
            _CHANGES,
        ):
            samples.append(self._output, samples.CHANGES_FILE, sample)

    async def _starts(self) -> None:
        for name in self._fleet.daemons[-_STARTS:]:
            sample = await episodes.measure_start(
                self._fleet,
                self._shape,
                name,
            )
            samples.append(self._output, samples.STARTS_FILE, sample)

    async def _zone(self) -> None:
        # The script deals the zones out in turn; the seeds are in others.
        lost = self._fleet.daemons[self._shape.zones - 1 :: self._shape.zones]
        event = f'{len(lost)} of {len(self._fleet.daemons)} daemons'
        for kind, measure in (
            ('die', episodes.measure_loss),
            ('come back', episodes.measure_return),
        ):
            sample = await measure(
                self._fleet,
                self._shape,
                lost,
                f'{event} {kind}',
                self._clock,
            )
            samples.append(self._output, samples.EVENTS_FILE, sample)

    async def _platform(self) -> None:
        for mode, event, seconds in (
            ('failing', 'platform away', _AWAY_S),
            ('up', 'platform back', _BACK_S),
        ):
            sample = await episodes.measure_platform(
                self._fleet,
                self._shape,
                mode,
                event,
                seconds,
                self._clock,
            )
            samples.append(self._output, samples.EVENTS_FILE, sample)


async def measure(
    directory: str,
    kind: str,
    window_s: float,
    output: pathlib.Path,
    **shape: float | str,
) -> None:
    """Take one measurement of the fleet with its files in ``directory``."""
    async with aiohttp.ClientSession() as session:
        fleet = fleets.MeasuredFleet(pathlib.Path(directory), session)
        described = samples.Shape(
            daemons=len(fleet.daemons),
            **shape,  # type: ignore[arg-type]  # fields of the command line
        )
        await FleetMeasurement(fleet, described, output).run(kind, window_s)
