"""The interface through which other libraries see the fleet."""

from typing import Protocol

from sardinepier.core import ids
from sardinepier.membership import members as model


class View(Protocol):
    """This daemon's view of the fleet, which lags and may be wrong.

    It may be used to select a daemon for a request, but never to decide
    whether the request may run.
    """

    def members(self) -> tuple[model.Member, ...]:
        """Return all members except dead ones, this daemon included."""
        ...

    def serving(self) -> tuple[model.Member, ...]:
        """Return the members in state ALIVE, this daemon included."""
        ...

    def find(self, instance_id: ids.InstanceId) -> model.Member | None:
        """Return the member with this id in any state, or None if unknown."""
        ...

    @property
    def own(self) -> model.Member:
        """This daemon."""
        ...

    @property
    def version(self) -> int:
        """A number that increases with every change of the view."""
        ...
