"""Counts how often targets ran each request."""

import collections


class RunTally:
    """The runs of each request, and how many are allowed."""

    def __init__(self) -> None:
        """Start without requests."""
        self._allowed: dict[str, int] = {}
        self._runs: dict[str, int] = collections.Counter()

    def record_request(self, request_id: str, allowed_runs: int) -> None:
        """Record a request and how often it may run."""
        self._allowed[request_id] = allowed_runs

    def record_start(self, request_id: str) -> None:
        """Record that a request reached a target."""
        self._runs[request_id] += 1

    def record_not_run(self, request_id: str) -> None:
        """Record that the target stated that it did not run the request."""
        self._runs[request_id] -= 1

    def exceeding(self) -> list[str]:
        """Return the requests that ran more often than is allowed."""
        return [
            request_id
            for request_id, allowed_runs in self._allowed.items()
            if self._runs[request_id] > allowed_runs
        ]
