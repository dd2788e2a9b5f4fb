"""The members as the view shows them, computed once per table version."""

from sardinepier.membership import members
from sardinepier.membership.internal import table

_Members = tuple[members.Member, ...]


class MemberCache:
    """Caches the member lists that a ``View`` returns."""

    def __init__(self, records: table.Table) -> None:
        """Cache the members of ``records``."""
        self._table = records
        self._version = -1
        self._living: _Members = ()
        self._serving: _Members = ()

    def living(self) -> _Members:
        """Return all members except dead ones, sorted by instance id."""
        self._refresh()
        return self._living

    def serving(self) -> _Members:
        """Return the members in state ALIVE, sorted by instance id."""
        self._refresh()
        return self._serving

    def _refresh(self) -> None:
        if self._table.version == self._version:
            return
        living = [entry.member() for entry in self._table.entries()]
        living.sort(key=lambda member: member.instance_id)
        self._living = tuple(living)
        self._serving = tuple(
            member
            for member in living
            if member.state is members.MemberState.ALIVE
        )
        self._version = self._table.version
