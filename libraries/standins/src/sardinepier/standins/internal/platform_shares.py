"""The shares of the instance list that readers request of a stand-in."""

import dataclasses
from typing import Final

import msgspec
import xxhash

from sardinepier.platform import interface, shares

_MAX_SHARES: Final = 1024


@dataclasses.dataclass(frozen=True, slots=True)
class ServedShare:
    """A share, its encoded form and the entity tag of its bytes."""

    listed: interface.InstanceList
    body: bytes
    tag: str


class ServedShares:
    """Selects each share once for each instance list.

    A share that does not change with a new list stays the same object with the
    same tag, so that a reader can detect that nothing changed for it.
    """

    def __init__(self) -> None:
        """Start without shares."""
        self._whole = interface.InstanceList()
        self._current: dict[shares.InstanceShare, ServedShare] = {}
        self._earlier: dict[shares.InstanceShare, ServedShare] = {}

    def find(
        self,
        whole: interface.InstanceList,
        share: shares.InstanceShare,
    ) -> ServedShare:
        """Return the ``share`` of the ``whole`` list."""
        if whole is not self._whole:
            self._whole = whole
            self._earlier |= self._current
            self._current = {}
        if share not in self._current:
            self._limit_cache()
            selected = _encode(_select(whole, share))
            earlier = self._earlier.get(share, selected)
            is_unchanged = earlier.body == selected.body
            self._current[share] = earlier if is_unchanged else selected
        return self._current[share]

    def _limit_cache(self) -> None:
        if len(self._earlier) + len(self._current) >= _MAX_SHARES:
            self._earlier.clear()
            self._current.clear()


def _select(
    whole: interface.InstanceList,
    share: shares.InstanceShare,
) -> interface.InstanceList:
    services = {target.service for target in whole.targets}
    covered = {service for service in services if share.covers(service)}
    return interface.InstanceList(
        targets=tuple(
            target for target in whole.targets if target.service in covered
        ),
        daemons=whole.daemons if share.has_daemons else (),
        share=share,
    )


def _encode(listed: interface.InstanceList) -> ServedShare:
    body = msgspec.json.encode(listed)
    return ServedShare(listed, body, f'"{xxhash.xxh3_64_hexdigest(body)}"')
