"""The slopes, out of the samples of one run."""

import contextlib
import pathlib
from collections.abc import Callable, Iterator
from typing import Final

import msgspec

from sardinepier.workbench.capacity import linear_fit, samples, units

TARGETS: Final = 'targets'
MESSAGES: Final = 'messages'
SIZE: Final = 'size'

_HEALTH: Final = 'health'
_MEMBERSHIP: Final = 'membership'
_CONFIGURATION: Final = 'configuration'
_TIMES: Final = (
    (_HEALTH, 'idle tick'),
    (_HEALTH, 'tick with 4 attempts'),
    (_HEALTH, 'report made'),
    (_HEALTH, 'reports of 8 peers heard'),
    (_HEALTH, 'a report of each peer heard, 47 targets'),
    (_MEMBERSHIP, '340 groups after a replacement'),
    ('pages', 'addresses chosen'),
)
_SIZES: Final = (
    (_HEALTH, 'whole report'),
    (_HEALTH, 'report with news of all'),
    (_HEALTH, 'state with 27 observers'),
    (_CONFIGURATION, 'store'),
    (_CONFIGURATION, 'instance list'),
    (_MEMBERSHIP, 'view'),
    ('tables', 'keys held'),
    ('tables', 'callers remembered'),
    ('wire', 'peers both ways'),
    ('pages', 'status'),
)
_FITTED: Final = (
    *((*figure, units.MICROSECONDS) for figure in _TIMES),
    *((*figure, units.BYTES) for figure in _SIZES),
)
_MakeFit = Callable[[], linear_fit.LinearFit]


class Results(msgspec.Struct, frozen=True):
    """All samples that a run has left in its directory."""

    fleets: list[samples.FleetSample]
    changes: list[samples.ChangeSample]
    starts: list[samples.StartSample]
    events: list[samples.EventSample]
    parts: list[samples.PartSample]

    def of_part(
        self, part: str, name: str, unit: str
    ) -> list[samples.PartSample]:
        """Return the samples of one figure at all of its sizes."""
        return [
            sample
            for sample in self.parts
            if (sample.part, sample.name, sample.unit) == (part, name, unit)
        ]

    def part_fit(self, part: str, name: str, unit: str) -> linear_fit.LinearFit:
        """Fit one figure by its size; raises ``TooFewPointsError``."""
        found = self.of_part(part, name, unit)
        return linear_fit.fit(
            {SIZE: [sample.size for sample in found]},
            [sample.amount for sample in found],
        )

    def largest(self, part: str, name: str, unit: str) -> samples.PartSample:
        """Return the sample at the largest size that was measured."""
        return max(
            self.of_part(part, name, unit),
            key=lambda sample: sample.size,
        )

    def cpu_fit(self) -> linear_fit.LinearFit:
        """Fit a daemon's share of a core by its targets and messages.

        Only idle fleets count. Probes grow with the targets and so are part
        of that slope.
        """
        idle = self.idle_fleets()
        return linear_fit.fit(
            {
                TARGETS: [_targets(one) for one in idle],
                MESSAGES: [one.sent_messages_per_s.mean for one in idle],
            },
            [one.cpu_percent.mean for one in idle],
        )

    def memory_fit(self) -> linear_fit.LinearFit:
        """Fit a daemon's resident memory in MB by targets and sockets."""
        idle = self.idle_fleets()
        return linear_fit.fit(
            {
                TARGETS: [_targets(one) for one in idle],
                'sockets': [one.sockets.mean for one in idle],
            },
            [one.resident_mb.mean for one in idle],
        )

    def change_fit(self) -> linear_fit.LinearFit:
        """Fit the seconds until a change is in force by daemons."""
        return linear_fit.fit(
            {'daemons': [one.shape.daemons for one in self.changes]},
            [one.last_s for one in self.changes],
        )

    def all_fits(self) -> Iterator[tuple[str, linear_fit.LinearFit]]:
        """Return each fit with its name; one with too few points is left out."""
        named: tuple[tuple[str, _MakeFit], ...] = (
            ('core %, idle', self.cpu_fit),
            ('resident MB, idle', self.memory_fit),
            ('change in force everywhere, s', self.change_fit),
        )
        for name, make in named:
            with contextlib.suppress(linear_fit.TooFewPointsError):
                yield name, make()
        for part, figure, unit in _FITTED:
            with contextlib.suppress(linear_fit.TooFewPointsError):
                fitted = self.part_fit(part, figure, unit)
                yield f'{figure}, {unit}', fitted

    def idle_fleets(self) -> list[samples.FleetSample]:
        """Return the fleets that had no requests."""
        return [one for one in self.fleets if not one.shape.requests_per_s]


def read(directory: pathlib.Path) -> Results:
    """Read what a run has left in ``directory``."""
    return Results(
        samples.read(directory, samples.FLEETS_FILE, samples.FleetSample),
        samples.read(directory, samples.CHANGES_FILE, samples.ChangeSample),
        samples.read(directory, samples.STARTS_FILE, samples.StartSample),
        samples.read(directory, samples.EVENTS_FILE, samples.EventSample),
        samples.read(directory, samples.PARTS_FILE, samples.PartSample),
    )


def _targets(sample: samples.FleetSample) -> float:
    return sample.services_held.mean * sample.shape.targets
