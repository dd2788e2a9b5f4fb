"""Logs and counts the outcome of each request."""

from typing import Final

from aiohttp import web_request

from sardinepier.core import errors as core_errors
from sardinepier.entry import (
    answers,
    caller_request,
    caller_server,
    context,
    decision_log,
    events,
    refusals,
)

_NO_STATUS: Final = 0
_HEAD_BYTES: Final = 1000
"""Estimated size of the heads of a request and its answer with the overhead of
their packets: about 400 bytes each on loopback."""


class OutcomeRecorder:
    """Records the outcome of one request, once.

    ``request`` is set as soon as the request was read.
    """

    def __init__(
        self,
        shared: context.EntryContext,
        http_request: web_request.BaseRequest,
    ) -> None:
        """Start the timer of a request that has not been read yet."""
        self.request: caller_request.CallerRequest | None = None
        self._shared = shared
        self._http_request = http_request
        self._began_s = shared.clock.monotonic_s()

    def answered(self, answer: answers.Answer) -> None:
        """Record that a target's answer is forwarded."""
        outcome = (
            events.Outcome.ANSWERED
            if answer.is_good
            else events.Outcome.TARGET_FAILED
        )
        self._record_end(
            decision_log.RequestEnd(outcome, answer.status), answer.length_bytes
        )

    def refused(self, error: core_errors.SardinepierError) -> None:
        """Record that the daemon answers with ``error``."""
        is_unknown = isinstance(error, refusals.UnknownFateError)
        self._record_end(
            decision_log.RequestEnd(
                events.Outcome.UNKNOWN
                if is_unknown
                else events.Outcome.REFUSED,
                int(refusals.status_of(error)),
                type(error).__name__,
                error.what,
            ),
        )

    def cancelled(self) -> None:
        """Record that the connection closed, and which side closed it."""
        is_abandoned = caller_server.is_closed_by_caller(self._http_request)
        self._record_end(
            decision_log.RequestEnd(
                events.Outcome.ABANDONED
                if is_abandoned
                else events.Outcome.CUT_OFF,
                _NO_STATUS,
            ),
        )

    def _record_end(
        self, end: decision_log.RequestEnd, answer_bytes: int = 0
    ) -> None:
        names = self._shared.names
        body_bytes = len(self.request.body) if self.request else 0
        forwarded_bytes = _HEAD_BYTES + body_bytes + answer_bytes
        self._shared.activity.forwarded_bytes += forwarded_bytes
        request_id = self._http_request.headers.get(names.attempt_id, '')
        self._shared.decision_log.log_ended(request_id, self.request, end)
        if end.error:
            self._shared.metrics.local_answer(end.error)
        self._shared.metrics.request_ended(
            self.request.service if self.request else '',
            end.outcome,
            self._shared.clock.monotonic_s() - self._began_s,
        )
