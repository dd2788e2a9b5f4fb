"""Which start of each target is the newest that was ever listed.

A target may start again under its name. An entry of the start before may
still come in late, and must not bring back a target that is gone.
"""

import collections
from collections.abc import Iterable
from typing import Final

from sardinepier.entry import model

_MOST_NAMES: Final = 65536
"""Names remembered, four times the targets of a fleet of sixteen thousand: one
that is forgotten was not listed for longer than four times as many were."""


class NewestIncarnations:
    """Remembers the newest start of each name, and drops older ones.

    For example::

        starts.newest_of(listed)  # without what came before a later start
    """

    def __init__(self) -> None:
        """Start without any name."""
        self._born_ms: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )

    def keep_newest(
        self,
        listed: Iterable[model.ListedTarget],
    ) -> list[model.ListedTarget]:
        """Return those that are the newest known start of their name."""
        found = list(listed)
        for target in found:
            self._note(target)
        return [one for one in found if self._is_newest(one)]

    def _is_newest(self, target: model.ListedTarget) -> bool:
        return target.born_ms >= self._born_ms.get(target.stable_name, 0)

    def _note(self, target: model.ListedTarget) -> None:
        if not target.born_ms:
            return
        name = target.stable_name
        known_ms = self._born_ms.pop(name, 0)
        self._born_ms[name] = max(known_ms, target.born_ms)
        if len(self._born_ms) > _MOST_NAMES:
            self._born_ms.popitem(last=False)
