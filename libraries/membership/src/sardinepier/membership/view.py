"""What other libraries may ask about the fleet."""

from typing import Protocol

from sardinepier.core import ids
from sardinepier.membership import members as model


class View(Protocol):
    """This daemon's picture of the fleet; it lags and may be wrong.

    It may decide which daemon is asked, never whether a request may run.
    """

    def members(self) -> tuple[model.Member, ...]:
        """Return all members but the dead ones, this daemon included."""
        ...

    def serving(self) -> tuple[model.Member, ...]:
        """Return the members in state ALIVE, this daemon included."""
        ...

    def find(self, instance_id: ids.InstanceId) -> model.Member | None:
        """Return the member of that name in any state, if it is known."""
        ...

    @property
    def own(self) -> model.Member:
        """This daemon."""
        ...

    @property
    def version(self) -> int:
        """A number that grows with every change of the view."""
        ...
