"""The results of measurements, kept one JSON object a line."""

import pathlib
from typing import Final, TypeVar

import msgspec

FLEETS_FILE: Final = 'fleets.jsonl'
CHANGES_FILE: Final = 'changes.jsonl'
STARTS_FILE: Final = 'starts.jsonl'
EVENTS_FILE: Final = 'events.jsonl'
PARTS_FILE: Final = 'parts.jsonl'

Sample = TypeVar('Sample', bound=msgspec.Struct)


class Shape(msgspec.Struct, frozen=True, kw_only=True):
    """What was running while something was measured."""

    label: str
    daemons: int
    services: int
    targets: int
    zones: int
    requests_per_s: float = 0.0


class Spread(msgspec.Struct, frozen=True):
    """A figure over all daemons: mean, standard deviation and highest."""

    mean: float
    deviation: float
    highest: float


class FleetSample(msgspec.Struct, frozen=True, kw_only=True):
    """A fleet of real processes over one window, each figure a daemon.

    Bytes and messages are those of peers' messages, without the headers of
    TCP and IP.
    """

    shape: Shape
    window_s: float
    cpu_percent: Spread
    resident_mb: Spread
    sockets: Spread
    wake_ups_per_s: Spread
    sent_bytes_per_s: Spread
    received_bytes_per_s: Spread
    sent_messages_per_s: Spread
    received_messages_per_s: Spread
    services_held: Spread
    members_known: Spread
    platform_calls_per_s: float
    load_average: float


class ChangeSample(msgspec.Struct, frozen=True, kw_only=True):
    """One published change: seconds until the median and the last daemon."""

    shape: Shape
    daemons_reached: int
    median_s: float
    last_s: float
    platform_calls: int


class StartSample(msgspec.Struct, frozen=True, kw_only=True):
    """A killed daemon's next start."""

    shape: Shape
    serving_after_s: float
    full_view_after_s: float
    received_bytes: int
    sent_bytes: int
    cpu_ms: float
    platform_calls: int


class EventSample(msgspec.Struct, frozen=True, kw_only=True):
    """An event of a bad day, as the daemons that stay up pay for it.

    Rates are the highest of any second, a daemon: the mean over daemons, and
    the highest of any.
    """

    shape: Shape
    event: str
    seconds: int
    mean_peak_messages_per_s: float
    highest_messages_per_s: float
    mean_peak_bytes_per_s: float
    highest_bytes_per_s: float
    cpu_percent: Spread
    platform_calls_per_s: float
    settled_after_s: float


class PartSample(msgspec.Struct, frozen=True, kw_only=True):
    """A figure measured inside one process with the real objects."""

    part: str
    name: str
    size: float
    amount: float
    unit: str
    deviation: float = 0.0


def append(directory: pathlib.Path, name: str, sample: msgspec.Struct) -> None:
    """Add a line to the file ``name`` of ``directory``."""
    directory.mkdir(parents=True, exist_ok=True)
    with (directory / name).open('ab') as file:
        file.write(b'%b\n' % msgspec.json.encode(sample))


def read(
    directory: pathlib.Path,
    name: str,
    kind: type[Sample],
) -> list[Sample]:
    """Return all lines of a file; none when there is no such file."""
    path = directory / name
    if not path.exists():
        return []
    decoder = msgspec.json.Decoder(kind)
    return [decoder.decode(line) for line in path.read_bytes().splitlines()]
