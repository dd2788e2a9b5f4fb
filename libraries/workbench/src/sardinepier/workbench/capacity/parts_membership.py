"""What knowing the whole fleet costs one daemon."""

import functools
import random
from typing import Final

from sardinepier.core import clock as clocks
from sardinepier.core import ids
from sardinepier.membership import (
    groups,
    kinds,
    marks,
    members,
    membership,
    options,
)
from sardinepier.wire import memory_network, messages
from sardinepier.workbench.capacity import measuring, parts, sizes, texts

_SIZES: Final = (48, 150, 500, 1500)
_PEER_PORT: Final = 7000
_HTTP_PORT: Final = 8080
_START_S: Final = 1000.0
_OLD_MS: Final = 60_000
_NEW_MS: Final = 1000
_BATCH: Final = 256
_REPEATS: Final = 7
_PER_ZONE: Final = sizes.TARGET.group_daemons_per_zone
_SERVICES: Final = tuple(
    texts.service_name(number) for number in range(sizes.TARGET.services)
)


def peer_address(number: int) -> messages.PeerAddress:
    """Return where daemon ``number`` hears its peers."""
    return messages.PeerAddress(texts.address(number), _PEER_PORT)


def instance_id(number: int, start: int = 0) -> ids.InstanceId:
    """Return the name of one start of daemon ``number``."""
    return ids.InstanceId(f'entry-{number:04}~{start:016x}')


def member(number: int, started_at_s: float, start: int = 0) -> members.Member:
    """Return daemon ``number`` as it starts."""
    return members.Member(
        instance_id=instance_id(number, start),
        daemon_id=members.daemon_of(instance_id(number)),
        zone=texts.zone(number),
        region=texts.region(number),
        peer_address=peer_address(number),
        http_ip=texts.address(number),
        http_port=_HTTP_PORT,
        incarnation=0,
        state=members.MemberState.ALIVE,
        started_at_s=started_at_s,
    )


def update(number: int, start: int = 0) -> kinds.MemberUpdate:
    """Return what travels about daemon ``number`` in its start ``start``."""
    return kinds.MemberUpdate(
        instance_id=instance_id(number, start),
        zone=texts.zone(number),
        region=texts.region(number),
        peer_address=peer_address(number),
        http_ip=texts.address(number),
        http_port=_HTTP_PORT,
        incarnation=0,
        liveness=kinds.Liveness.ALIVE,
        leaving=False,
        age_ms=_NEW_MS if start else _OLD_MS,
    )


class KnowingDaemon:
    """The real membership of daemon 0, which was told of all others."""

    def __init__(self, size: int) -> None:
        """Tell it of ``size - 1`` others."""
        clock = clocks.ManualClock(start_s=_START_S)
        self._hub = memory_network.MemoryHub(
            kinds.KINDS,
            clock,
            random.Random(1),
        )
        own = member(0, clock.monotonic_s())
        self.membership = membership.Membership(
            own,
            self._hub.network(
                messages.Sender(own.instance_id, own.peer_address),
            ),
            clock,
            random.Random(1),
            options.MembershipOptions(),
            lambda: marks.ConfigurationMark(1, 1),
            lambda sender, mark: None,
            lambda event: None,
        )
        self._teller = self._hub.network(
            messages.Sender(instance_id(1), peer_address(1)),
        )
        self._size = size
        self.tell([update(number) for number in range(1, size)])

    def tell(self, updates: list[kinds.MemberUpdate]) -> None:
        """Hand it updates as another daemon would."""
        for begin in range(0, len(updates), _BATCH):
            part = tuple(updates[begin : begin + _BATCH])
            self._teller.send(
                peer_address(0),
                kinds.SyncPatch(updates=part, doubts=()),
            )
        self._hub.deliver()

    def replace(self, start: int) -> None:
        """Tell it of the next start of one of the others."""
        number = 2 + (start * _BATCH) % (self._size - 2)
        self.tell([update(number, start)])

    def ask_groups(self) -> None:
        """Ask for the groups of all services, as is done after a change."""
        for service in _SERVICES:
            groups.service_group(self.membership, service, _PER_ZONE)


def measure(quick: bool) -> parts.Part:
    """Measure state and groups by the size of the fleet."""
    part = parts.Part('membership')
    for size in _SIZES[: 2 if quick else None]:
        _measure_at(part, size)
    return part


def _measure_at(part: parts.Part, size: int) -> None:
    daemon = part.held('view', size, functools.partial(KnowingDaemon, size))
    first_us = measuring.once_us(daemon.ask_groups)
    part.amount('340 groups for the first time', size, first_us, 'us')
    heard_us = []
    groups_us = []
    for start in range(1, _REPEATS + 1):
        heard_us.append(
            measuring.once_us(functools.partial(daemon.replace, start)),
        )
        groups_us.append(measuring.once_us(daemon.ask_groups))
    part.costs('replacement heard', size, heard_us)
    part.costs('340 groups after a replacement', size, groups_us)
    part.cost(
        'one group, unchanged',
        size,
        functools.partial(
            groups.service_group,
            daemon.membership,
            _SERVICES[0],
            _PER_ZONE,
        ),
    )
