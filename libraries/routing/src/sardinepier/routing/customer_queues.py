"""The requests of customers that wait for a token of their limit.

While a customer sends more than its limit, its requests are admitted by
priority, then by whether they can be served in time. Other daemons admit
requests of the same customer, so each reports how many of them wait, and leaves
tokens for those of higher priority that wait elsewhere.
"""

import dataclasses
import random
from collections.abc import Mapping, Sequence
from typing import Final

from sardinepier.core import clock as clocks
from sardinepier.core import ids
from sardinepier.routing import (
    customer_demand,
    errors,
    fleet_limits,
    return_schedule,
    wait_queue,
)
from sardinepier.routing.internal import customer_queue

_MAX_WAITING: Final = 2048
"""Requests of all customers that may wait at one daemon. Their bodies stay in
memory meanwhile."""

_IDLE_S: Final = 2.0
"""Time after a request last had to wait, until its queue is dropped. Its rates
of arrivals are needed again if the excess continues after a gap."""


class CustomerQueues:
    """Admits the requests of all customers.

    For example::

        await queues.admit(customer, queued_request)
        try:
            ...
        except NotRunError:
            queues.refund(customer)
            raise

    A queue exists only while requests of its customer wait, and for a moment
    after that.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        random_source: random.Random,
        limits: fleet_limits.FleetLimits,
    ) -> None:
        """Admit requests as ``limits`` allows."""
        self._clock = clock
        self._random = random_source
        self._limits = limits
        self._peers = customer_demand.PeerDemands()
        self._returns = return_schedule.ReturnSchedule(random_source)
        self._queues: dict[ids.CustomerName, customer_queue.CustomerQueue] = {}
        self._waiting = 0

    def __len__(self) -> int:
        """Return the number of requests that wait."""
        return self._waiting

    async def admit(
        self,
        customer: ids.CustomerName,
        request: wait_queue.QueuedRequest,
    ) -> bool:
        """Take a token, and return whether the request had to wait for it.

        ``deadline_s`` of the request is its latest start. Raises
        :class:`errors.CustomerLimitError` as soon as no token is expected
        before that.
        """
        queue = self._queues.get(customer)
        if queue is None:
            leave = self.tokens_to_leave(customer, request.priority)
            if not self._limits.take(customer, leave):
                return False
            queue = self._start_queue(customer)
        now_s = self._clock.monotonic_s()
        queue.rates.record(request.priority, now_s)
        if self._returns.has_returned(customer, request.fingerprint, now_s):
            request = dataclasses.replace(request, has_returned=True)
        if self._waiting >= _MAX_WAITING and not queue.make_room(request):
            raise self._refusal(queue, request)
        self._waiting += 1
        try:
            return await queue.acquire(request)
        except errors.RefusalError as error:
            raise self._refusal(queue, request) from error
        finally:
            self._waiting -= 1

    def refund(self, customer: ids.CustomerName) -> None:
        """Put back the token of a request that did not run."""
        self._limits.refund(customer)
        queue = self._queues.get(customer)
        if queue is not None:
            queue.wake()

    def limits_changed(self) -> None:
        """Admit or refuse requests that wait when limits were changed."""
        for customer, queue in tuple(self._queues.items()):
            queue.wake()
            if not self._limits.is_limited(customer):
                del self._queues[customer]

    def demands(
        self,
    ) -> dict[ids.CustomerName, tuple[customer_demand.Demand, ...]]:
        """Return what to report to other daemons."""
        self._drop_idle()
        return {
            customer: queue.demands()
            for customer, queue in self._queues.items()
        }

    def receive_demands(
        self,
        source: ids.InstanceId,
        demands: Mapping[ids.CustomerName, Sequence[customer_demand.Demand]],
    ) -> None:
        """Apply the demands of another daemon, which replace its earlier ones.

        Customers that are not named have no requests that wait there.
        """
        self._peers.receive(source, demands, self._clock.monotonic_s())
        for customer in demands:
            queue = self._queues.get(customer)
            if queue is not None:
                queue.wake()

    def tokens_to_leave(
        self,
        customer: ids.CustomerName,
        priority: int,
    ) -> int:
        """Return how many requests of higher priority wait elsewhere."""
        waiting, _ = self._peers.above(
            customer, priority, self._clock.monotonic_s()
        )
        return waiting

    def _start_queue(
        self,
        customer: ids.CustomerName,
    ) -> customer_queue.CustomerQueue:
        queue = customer_queue.CustomerQueue(
            customer,
            self._clock,
            self._random,
            self._limits,
            self._peers,
        )
        self._queues[customer] = queue
        return queue

    def _drop_idle(self) -> None:
        unused_from_s = self._clock.monotonic_s() - _IDLE_S
        for customer, queue in tuple(self._queues.items()):
            if not len(queue) and queue.used_s < unused_from_s:
                del self._queues[customer]

    def _refusal(
        self,
        queue: customer_queue.CustomerQueue,
        request: wait_queue.QueuedRequest,
    ) -> errors.CustomerLimitError:
        """Return the error with the return time of the request."""
        priority = request.priority
        forecast = queue.token_forecast()
        retry_after_s = self._returns.refuse(
            queue.customer,
            priority,
            request.fingerprint,
            forecast.now_s,
            first_s=forecast.return_wait_s(
                priority, queue.waiting_up_to(priority)
            ),
            interval_s=forecast.return_interval_s(priority),
        )
        return errors.CustomerLimitError(
            f'Customer {queue.customer} has reached its limit',
            'Send it again after the stated time',
            retry_after_s,
        )
