"""The newest incarnation of each target that was ever listed.

A target may restart under its name. An entry of its previous incarnation may
still arrive late, and must not bring back a target that is gone.
"""

import collections
from collections.abc import Iterable
from typing import Final

from sardinepier.entry import model

_MAX_NAMES: Final = 65536
"""Names remembered: four times the targets of a fleet of sixteen thousand. The
name that was listed least recently is forgotten first."""


class NewestIncarnations:
    """Remembers the newest incarnation of each name, and drops older ones.

    For example::

        incarnations.keep_newest(listed)  # without older incarnations
    """

    def __init__(self) -> None:
        """Create an empty memory."""
        self._born_ms: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )

    def keep_newest(
        self,
        listed: Iterable[model.ListedTarget],
    ) -> list[model.ListedTarget]:
        """Return the targets that are the newest known incarnation."""
        targets = list(listed)
        for target in targets:
            self._record(target)
        return [entry for entry in targets if self._is_newest(entry)]

    def _is_newest(self, target: model.ListedTarget) -> bool:
        return target.born_ms >= self._born_ms.get(target.stable_name, 0)

    def _record(self, target: model.ListedTarget) -> None:
        if not target.born_ms:
            return
        name = target.stable_name
        known_ms = self._born_ms.pop(name, 0)
        self._born_ms[name] = max(known_ms, target.born_ms)
        if len(self._born_ms) > _MAX_NAMES:
            self._born_ms.popitem(last=False)
