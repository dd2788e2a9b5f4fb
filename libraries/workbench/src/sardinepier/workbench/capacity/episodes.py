"""Changes, starts and bad days of a running fleet of processes."""

import asyncio
import contextlib
import math
import re
import signal
import statistics
import time
from collections.abc import Callable, Sequence
from typing import Final

import aiohttp

from sardinepier.core import clock as clocks
from sardinepier.core import errors
from sardinepier.telemetry import file_events, status, timeline
from sardinepier.workbench.capacity import fleet as fleets
from sardinepier.workbench.capacity import proc, samples, steady

_QUEUE_LINE: Final = re.compile(r'^queue_length = \d+$', re.MULTILINE)
_FIRST_LENGTH: Final = 100
_MS_PER_S: Final = 1000
_PERCENT: Final = 100
_POLL_S: Final = 0.1
_SECOND_S: Final = 1.0
_WAIT_S: Final = 60.0
_CHANGE_PAUSE_S: Final = 3.0
_SAMPLED: Final = 10
_SERVICE: Final = 'service-1'


class TooLateError(errors.SardinepierError):
    """A daemon did not get as far as it should in the time given."""


async def measure_changes(
    fleet: fleets.MeasuredFleet,
    shape: samples.Shape,
    count: int,
) -> list[samples.ChangeSample]:
    """Publish ``count`` changes one after the other and time each.

    The moments are those of the daemons' time lines, which on one machine
    share a clock with this process. The stand-in platform looks for changed
    files five times a second; that wait is part of the figure.
    """
    found = []
    for number in range(count):
        calls = await fleet.count_platform_calls()
        revision = await _revision(fleet) + 1
        published_ms = time.time() * _MS_PER_S
        _publish(fleet, _FIRST_LENGTH + number)
        await asyncio.sleep(_CHANGE_PAUSE_S)
        taken_ms = await _acceptances(fleet, revision)
        found.append(
            samples.ChangeSample(
                shape=shape,
                daemons_reached=len(taken_ms),
                median_s=(statistics.median(taken_ms) - published_ms)
                / _MS_PER_S,
                last_s=(max(taken_ms) - published_ms) / _MS_PER_S,
                platform_calls=await fleet.count_platform_calls() - calls,
            ),
        )
    return found


async def measure_start(
    fleet: fleets.MeasuredFleet,
    shape: samples.Shape,
    name: str,
) -> samples.StartSample:
    """Kill a daemon and follow its next start until it knows the fleet."""
    old_pid = fleet.pid(name)
    calls = await fleet.count_platform_calls()
    fleet.processes.signal(name, signal.SIGKILL)
    pid = await _new_pid(fleet, name, old_pid)
    born_s = proc.started_s(pid)
    await _until(fleet, name, lambda document: True)
    serving_after_s = time.clock_gettime(time.CLOCK_BOOTTIME) - born_s
    wanted = len(fleet.daemons)
    whole = await _until(
        fleet,
        name,
        lambda document: _alive(document) >= wanted,
    )
    return samples.StartSample(
        shape=shape,
        serving_after_s=serving_after_s,
        full_view_after_s=time.clock_gettime(time.CLOCK_BOOTTIME) - born_s,
        received_bytes=whole.peers.received_bytes,
        sent_bytes=whole.peers.sent_bytes,
        cpu_ms=proc.read(pid).cpu_ms,
        platform_calls=await fleet.count_platform_calls() - calls,
    )


async def measure_loss(
    fleet: fleets.MeasuredFleet,
    shape: samples.Shape,
    lost: Sequence[str],
    event: str,
    clock: clocks.Clock,
) -> samples.EventSample:
    """Kill ``lost`` at once; watch some of those that stay."""
    stay = [name for name in fleet.daemons if name not in lost]
    watched = _some(stay)
    for name in lost:
        fleet.processes.hold(name)
        fleet.processes.signal(name, signal.SIGKILL)
    return await _watch(
        fleet,
        shape,
        watched,
        event,
        lambda document: _alive(document) == len(stay),
        clock,
    )


async def measure_return(
    fleet: fleets.MeasuredFleet,
    shape: samples.Shape,
    lost: Sequence[str],
    event: str,
    clock: clocks.Clock,
) -> samples.EventSample:
    """Let ``lost`` start again; watch some of those that stayed."""
    stay = [name for name in fleet.daemons if name not in lost]
    watched = _some(stay)
    for name in lost:
        fleet.processes.release(name)
    wanted = len(fleet.daemons)
    return await _watch(
        fleet,
        shape,
        watched,
        event,
        lambda document: _alive(document) >= wanted,
        clock,
    )


async def measure_platform(
    fleet: fleets.MeasuredFleet,
    shape: samples.Shape,
    mode: str,
    event: str,
    seconds: int,
    clock: clocks.Clock,
) -> samples.EventSample:
    """Put the platform into ``mode`` and watch for some seconds."""
    await fleet.set_platform(mode)
    began_s = clock.monotonic_s()
    watched = _some(fleet.daemons)
    return await _watch(
        fleet,
        shape,
        watched,
        event,
        lambda document: clock.monotonic_s() - began_s > seconds,
        clock,
    )


async def _new_pid(
    fleet: fleets.MeasuredFleet,
    name: str,
    old_pid: int,
) -> int:
    """Return the id of the next process under that name."""
    for _ in range(int(_WAIT_S / _POLL_S)):
        await asyncio.sleep(_POLL_S)
        with contextlib.suppress(FileNotFoundError, ValueError):
            if fleet.pid(name) != old_pid:
                return fleet.pid(name)
    raise _too_late(name)


async def _until(
    fleet: fleets.MeasuredFleet,
    name: str,
    is_done: Callable[[status.DaemonStatus], bool],
) -> status.DaemonStatus:
    """Return the daemon's status as soon as it is as it should be."""
    for _ in range(int(_WAIT_S / _POLL_S)):
        with contextlib.suppress(aiohttp.ClientError, OSError):
            document = await fleet.read_status(name)
            if is_done(document):
                return document
        await asyncio.sleep(_POLL_S)
    raise _too_late(name)


async def _watch(
    fleet: fleets.MeasuredFleet,
    shape: samples.Shape,
    watched: Sequence[str],
    event: str,
    is_settled: Callable[[status.DaemonStatus], bool],
    clock: clocks.Clock,
) -> samples.EventSample:
    """Read the watched daemons each second until all have settled."""
    began_s = clock.monotonic_s()
    cpu_before = {name: fleet.reading(name).cpu_ms for name in watched}
    calls = await fleet.count_platform_calls()
    rows = [await _peers(fleet, watched)]
    settled = False
    while not settled and clock.monotonic_s() - began_s < _WAIT_S:
        await asyncio.sleep(_SECOND_S)
        documents = [await fleet.read_status(name) for name in watched]
        rows.append([document.peers for document in documents])
        settled = all(map(is_settled, documents))
    taken_s = clock.monotonic_s() - began_s
    messages = _peaks(rows, 'sent_messages', 'received_messages')
    sizes = _peaks(rows, 'sent_bytes', 'received_bytes')
    return samples.EventSample(
        shape=shape,
        event=event,
        seconds=len(rows) - 1,
        mean_peak_messages_per_s=statistics.fmean(messages),
        highest_messages_per_s=max(messages),
        mean_peak_bytes_per_s=statistics.fmean(sizes),
        highest_bytes_per_s=max(sizes),
        cpu_percent=steady.spread(
            (fleet.reading(name).cpu_ms - earlier)
            * _PERCENT
            / (taken_s * _MS_PER_S)
            for name, earlier in cpu_before.items()
        ),
        platform_calls_per_s=(await fleet.count_platform_calls() - calls)
        / taken_s,
        settled_after_s=taken_s if settled else float('inf'),
    )


def _peaks(
    rows: Sequence[Sequence[status.PeerCounters]],
    *fields: str,
) -> list[float]:
    """Return for each daemon the highest growth from one row to the next."""
    return [
        max(
            sum(getattr(now, one) - getattr(earlier, one) for one in fields)
            for earlier, now in zip(column, column[1:], strict=False)
        )
        for column in zip(*rows, strict=True)
    ]


async def _peers(
    fleet: fleets.MeasuredFleet,
    watched: Sequence[str],
) -> list[status.PeerCounters]:
    return [(await fleet.read_status(name)).peers for name in watched]


def _some(names: Sequence[str]) -> Sequence[str]:
    return names[:: math.ceil(len(names) / _SAMPLED)]


def _alive(document: status.DaemonStatus) -> int:
    return sum(one.state == 'alive' for one in document.members)


def _publish(fleet: fleets.MeasuredFleet, length: int) -> None:
    services = fleet.processes.directory / 'platform' / 'services'
    path = services / f'{_SERVICE}.ini'
    text = _QUEUE_LINE.sub(f'queue_length = {length}', path.read_text())
    draft = services / f'.{_SERVICE}'
    draft.write_text(text)
    draft.replace(path)


async def _revision(fleet: fleets.MeasuredFleet) -> int:
    document = await fleet.read_status(fleet.daemons[0])
    return max(file.revision for file in document.files)


async def _acceptances(
    fleet: fleets.MeasuredFleet,
    revision: int,
) -> list[int]:
    """Return when each daemon took the revision, in wall milliseconds."""
    taken: list[int] = []
    for name in fleet.daemons:
        document = await fleet.read_timeline(name)
        taken.extend(
            entry.stamp.wall_ms
            for entry in document.entries
            if _is_acceptance(entry, revision)
        )
    return taken


def _is_acceptance(entry: timeline.TimelineEntry, revision: int) -> bool:
    event = entry.event
    return (
        isinstance(event, file_events.FileAccepted)
        and event.revision == revision
    )


def _too_late(name: str) -> TooLateError:
    return TooLateError(
        f'{name} was not as it should be within {_WAIT_S} s',
        'Look into its log, and at the load of the machine',
    )
