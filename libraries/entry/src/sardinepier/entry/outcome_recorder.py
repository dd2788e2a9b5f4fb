"""What is written and counted when a request ends."""

from typing import Final

from aiohttp import web_request

from sardinepier.core import errors as core_errors
from sardinepier.entry import (
    answers,
    context,
    decision_log,
    events,
    refusals,
)
from sardinepier.entry import caller_request

_NO_STATUS: Final = 0
_HEAD_BYTES: Final = 1000
"""Of the heads of a request and its answer with what their packets carry
beside, as seen on loopback: some four hundred for either."""


class OutcomeRecorder:
    """Follows one request to its end, which is told once.

    ``item`` is set as soon as the request was read.
    """

    def __init__(
        self,
        shared: context.EntryContext,
        request: web_request.BaseRequest,
    ) -> None:
        """Begin with a request that was not read yet."""
        self.item: caller_request.CallerRequest | None = None
        self._shared = shared
        self._request = request
        self._began_s = shared.clock.monotonic_s()

    def answered(self, answer: answers.Answer) -> None:
        """Tell that a target's answer is passed on."""
        outcome = (
            events.Outcome.ANSWERED
            if answer.is_good
            else events.Outcome.TARGET_FAILED
        )
        self._end(decision_log.End(outcome, answer.status), answer.length_bytes)

    def refused(self, error: core_errors.SardinepierError) -> None:
        """Tell that the daemon answers itself."""
        is_unknown = isinstance(error, refusals.UnknownFateError)
        self._end(
            decision_log.End(
                events.Outcome.UNKNOWN
                if is_unknown
                else events.Outcome.REFUSED,
                int(refusals.status_of(error)),
                type(error).__name__,
                error.what,
            ),
        )

    def abandoned(self) -> None:
        """Tell that the caller left."""
        self._end(decision_log.End(events.Outcome.ABANDONED, _NO_STATUS))

    def _end(self, end: decision_log.End, answer_bytes: int = 0) -> None:
        names = self._shared.names
        body_bytes = len(self.item.body) if self.item else 0
        forwarded_bytes = _HEAD_BYTES + body_bytes + answer_bytes
        self._shared.activity.forwarded_bytes += forwarded_bytes
        request_id = self._request.headers.get(names.attempt_id, '')
        self._shared.decision_log.log_ended(request_id, self.item, end)
        if end.error:
            self._shared.metrics.local_answer(end.error)
        self._shared.metrics.request_ended(
            self.item.service if self.item else '',
            end.outcome,
            self._shared.clock.monotonic_s() - self._began_s,
        )
