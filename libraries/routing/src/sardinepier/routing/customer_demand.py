"""What other daemons report about a customer's requests that wait there."""

import dataclasses
from collections.abc import Mapping, Sequence
from typing import Final

from sardinepier.core import ids

_VALID_S: Final = 0.4
"""Two report intervals. A daemon that is silent for longer may be gone, and the
tokens left for it would be lost to requests of lower priority."""


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """A daemon's requests of one customer and one priority.

    ``waiting`` of them wait for a token, and ``arrivals_per_s`` arrive.
    """

    priority: int
    waiting: int
    arrivals_per_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Report:
    received_s: float
    demands: Sequence[Demand]


@dataclasses.dataclass(frozen=True, slots=True)
class _Reported:
    """The customers in the latest report of a daemon."""

    received_s: float
    customers: frozenset[ids.CustomerName]


class PeerDemands:
    """The latest demands that each other daemon reported, while they are valid.

    Only customers with requests that wait are reported, so that the memory
    does not grow with the number of customers.
    """

    def __init__(self) -> None:
        """Start without reports."""
        self._reports: dict[
            ids.CustomerName, dict[ids.InstanceId, _Report]
        ] = {}
        # In the order of receipt, so that the oldest are dropped first.
        self._reported: dict[ids.InstanceId, _Reported] = {}

    def receive(
        self,
        source: ids.InstanceId,
        demands: Mapping[ids.CustomerName, Sequence[Demand]],
        now_s: float,
    ) -> None:
        """Replace what ``source`` reported about all customers."""
        self._drop(source)
        self._drop_expired(now_s)
        if demands:
            self._reported[source] = _Reported(now_s, frozenset(demands))
        for named, by_priority in demands.items():
            self._reports.setdefault(named, {})[source] = _Report(
                now_s, by_priority
            )

    def of(
        self,
        customer: ids.CustomerName,
        now_s: float,
    ) -> Mapping[ids.InstanceId, Sequence[Demand]]:
        """Return the valid demands of a customer by daemon."""
        reports = self._reports.get(customer)
        if not reports:
            return {}
        expired = [
            source
            for source, report in reports.items()
            if now_s - report.received_s > _VALID_S
        ]
        for gone in expired:
            self._forget(customer, gone)
        return {source: report.demands for source, report in reports.items()}

    def above(
        self,
        customer: ids.CustomerName,
        priority: int,
        now_s: float,
    ) -> tuple[int, float]:
        """Return the demand of higher priority elsewhere.

        That is how many requests wait, and how many arrive in a second.
        """
        higher = [
            demand
            for demands in self.of(customer, now_s).values()
            for demand in demands
            if demand.priority < priority
        ]
        return (
            sum(demand.waiting for demand in higher),
            sum(demand.arrivals_per_s for demand in higher),
        )

    def _drop_expired(self, now_s: float) -> None:
        """Drop the reports of daemons that may be gone."""
        while self._reported:
            oldest, reported = next(iter(self._reported.items()))
            if now_s - reported.received_s <= _VALID_S:
                break
            self._drop(oldest)

    def _drop(self, source: ids.InstanceId) -> None:
        reported = self._reported.pop(source, None)
        if reported is not None:
            for customer in reported.customers:
                self._forget(customer, source)

    def _forget(
        self,
        customer: ids.CustomerName,
        source: ids.InstanceId,
    ) -> None:
        reports = self._reports.get(customer)
        if reports is None:
            return
        reports.pop(source, None)
        if not reports:
            del self._reports[customer]
