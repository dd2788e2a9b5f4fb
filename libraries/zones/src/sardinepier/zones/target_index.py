"""Short names of targets and services, for messages that name many of them."""

import collections

from sardinepier.core import ids
from sardinepier.entry import model, service_registry


class TargetIndex:
    """The places of targets and services in their sorted lists.

    Two daemons with the same ``digest`` have the same places. ``slots`` are
    those of the targets of a service in a zone.
    """

    def __init__(
        self,
        listed: tuple[model.ListedTarget, ...],
        digest: int,
    ) -> None:
        """Number the targets of a list, and their services."""
        self.digest = digest
        self.targets = tuple(
            sorted(listed, key=lambda target: target.target_id)
        )
        self.services = tuple(sorted({target.service for target in listed}))
        self._places = {
            target.target_id: place for place, target in enumerate(self.targets)
        }

        self.slots: collections.Counter[
            tuple[ids.ServiceName, ids.ZoneName]
        ] = collections.Counter()
        for target in listed:
            self.slots[(target.service, target.zone)] += target.slots

    def place_of(self, target_id: ids.TargetId) -> int | None:
        """Return the place of a target, None if the list does not have it."""
        return self._places.get(target_id)


class CurrentIndex:
    """Keeps the index of the target list in use."""

    def __init__(self, services: service_registry.ServiceRegistry) -> None:
        """Start with an empty index."""
        self._services = services
        self._index = TargetIndex((), 0)

    def get(self) -> TargetIndex:
        """Return the index of the current list."""
        listed = self._services.targets
        digest = self._services.targets_digest
        if listed is not None and digest != self._index.digest:
            self._index = TargetIndex(listed.targets, digest)
        return self._index
