"""Daemons with a retry budget each, and what they did when."""

from sardinepier.core import clock

SIZE = 5


class BudgetFleet:
    """The budgets of some daemons; ``new_budget`` makes one for a clock."""

    def __init__(self, new_budget):
        self.new_budget = new_budget
        self.clock = clock.ManualClock()
        self.budgets = [new_budget(self.clock) for _ in range(SIZE)]
        self.requested_s = []
        self.spent_s = []
        self.started_s = []

    def play(self, steps):
        """Apply steps of a pause, a daemon, an event and a count; yield after."""
        for gap_s, position, event, count in steps:
            self.clock.advance(gap_s)
            getattr(self, event)(position, count)
            yield

    def requests(self, position, count):
        for _ in range(count):
            self.budgets[position].record_request()
            self.requested_s.append(self.clock.monotonic_s())

    def tries(self, position, count):
        for _ in range(count):
            if self.budgets[position].try_spend():
                self.spent_s.append(self.clock.monotonic_s())

    def restart(self, position, count):
        self.budgets[position] = self.new_budget(self.clock)
        self.started_s.append(self.clock.monotonic_s())

    def within(self, times_s, period_s):
        since_s = self.clock.monotonic_s() - period_s
        return sum(time_s > since_s for time_s in times_s)
