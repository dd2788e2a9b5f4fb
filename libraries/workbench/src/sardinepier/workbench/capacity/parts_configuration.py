"""What holding and changing all files costs, at the target size."""

import functools
import itertools
from typing import Final

import msgspec

from sardinepier.configuration import store as stores
from sardinepier.core import ids
from sardinepier.platform import interface
from sardinepier.settings import parsing, routes
from sardinepier.workbench.capacity import parts, sizes, texts

_SERVICE_COUNTS: Final = (3, 34, 113, 340)
_ROUTE_COUNTS: Final = (30, 1000, 10_000)
_LISTS: Final = ((36, 48), (1600, 150), (16_000, 1500))
_PARTS_A_WATCHER: Final = 2
_PEER_PORT: Final = 7000
_FLEET: Final = ids.FileName('fleet')
_PATH: Final = '/things7/42/a'


def full_store(service_count: int) -> stores.Store:
    """Return a store with ``service_count`` files of the target size."""
    store = stores.Store()
    store.offer(_FLEET, ids.Revision(1), texts.fleet_text())
    for number in range(service_count):
        store.offer(
            ids.FileName(f'service/{texts.service_name(number)}'),
            ids.Revision(number + 2),
            texts.service_text(number),
        )
    return store


def instance_list(targets: int, daemons: int) -> interface.InstanceList:
    """Return what the platform lists at a size."""
    per_service = round(sizes.TARGET.targets_per_service)
    return interface.InstanceList(
        targets=tuple(
            interface.ListedTarget(
                texts.service_name(number // per_service),
                ids.TargetId(f'worker-{number % per_service}'),
                ids.TargetIncarnation(f'i-{number:014x}'),
                interface.ListedState.LIVE,
            )
            for number in range(targets)
        ),
        daemons=tuple(
            interface.ListedDaemon(
                ids.DaemonId(f'entry-{number:04}'),
                texts.address(number),
                _PEER_PORT,
            )
            for number in range(daemons)
        ),
    )


def measure(quick: bool) -> parts.Part:
    """Measure files, store, listings and routes."""
    part = parts.Part('configuration')
    text = texts.service_text(0)
    part.amount('service file', texts.TARGETS, len(text.encode()), 'bytes')
    part.cost(
        'service file parsed',
        texts.TARGETS,
        functools.partial(parsing.parse_service, text, 'service/service-0'),
    )
    for count in _SERVICE_COUNTS[: 2 if quick else None]:
        _measure_store(part, count)
    for targets, daemons in _LISTS:
        body = msgspec.json.encode(instance_list(targets, daemons))
        part.amount('instance list', targets, len(body), 'bytes')
        decoder = msgspec.json.Decoder(interface.InstanceList)
        part.cost(
            'instance list decoded',
            targets,
            functools.partial(decoder.decode, body),
        )
    _measure_shares(part)
    for route_count in _ROUTE_COUNTS:
        table = routes.RouteTable(texts.routes(route_count))
        match = functools.partial(table.match, 'GET', _PATH)
        part.cost('route matched', route_count, match)
    part.held(
        'route table',
        _ROUTE_COUNTS[-1],
        lambda: routes.RouteTable(texts.routes(_ROUTE_COUNTS[-1])),
    )
    return part


class _Changes:
    """Newer and newer revisions of one file."""

    def __init__(self, store: stores.Store, count: int) -> None:
        self._store = store
        self._revisions = itertools.count(count + 2)
        self._text = texts.service_text(0)

    def offer(self) -> None:
        """Offer the next revision."""
        self._store.offer(
            ids.FileName('service/service-0'),
            ids.Revision(next(self._revisions)),
            self._text,
        )


def _measure_shares(part: parts.Part) -> None:
    """Measure what one watcher reads: two parts of as many as watchers."""
    size = sizes.TARGET
    watchers = size.zones * sizes.WATCHERS_PER_ZONE
    targets = size.workers * _PARTS_A_WATCHER // watchers
    share = msgspec.json.encode(instance_list(targets, 0))
    part.amount('share of the instance list', targets, len(share), 'bytes')
    daemons = msgspec.json.encode(instance_list(0, size.daemons))
    part.amount('list of daemons', size.daemons, len(daemons), 'bytes')


def _measure_store(part: parts.Part, count: int) -> None:
    store = part.held('store', count, functools.partial(full_store, count))
    part.cost('change taken', count, _Changes(store, count).offer)
    listing = interface.Listing(
        ids.Revision(count),
        tuple(
            interface.FileRevision(file, ids.Revision(known.newest_revision))
            for file, known in store.known().items()
        ),
    )
    part.amount('listing', count, len(msgspec.json.encode(listing)), 'bytes')
