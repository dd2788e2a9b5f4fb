"""Makes attempts for daemons that are cut off from the targets."""

from sardinepier.core import errors as core_errors
from sardinepier.core import ids
from sardinepier.entry import (
    caller_request,
    context,
    forwarding,
    relay_messages,
    relaying,
    retries,
)


class RelayService:
    """Makes one attempt for each relayed request, and never relays it on."""

    def __init__(self, shared: context.EntryContext) -> None:
        """Send to the targets that ``shared`` knows."""
        self._forwarding = forwarding.Forwarding(shared)

    async def attempt(
        self,
        request: caller_request.CallerRequest,
        attempt: relay_messages.RelayedAttempt,
    ) -> relaying.RelayedAnswer | relay_messages.RelayReply:
        """Return the answer of a target, or why there is none."""
        history = retries.AttemptHistory(
            tried=set(attempt.tried),
            is_final_attempt=attempt.is_final_attempt,
        )
        try:
            answer = await self._forwarding.attempt_once(request, history)
        except core_errors.SardinepierError as error:
            return relay_messages.reply_of(
                error,
                _newly_tried(request, history, attempt),
                may_have_run=request.unproved > 0,
            )
        return relaying.RelayedAnswer(
            relay_messages.RelayReply(
                relay_messages.RelayOutcome.ANSWERED,
                _newly_tried(request, history, attempt),
            ),
            answer,
        )


def _newly_tried(
    request: caller_request.CallerRequest,
    history: retries.AttemptHistory,
    attempt: relay_messages.RelayedAttempt,
) -> tuple[ids.TargetId, ...]:
    """Return the targets at which the request may have arrived.

    Another daemon may try those to which only this one has no path.
    """
    return tuple(history.tried - request.unreached.union(attempt.tried))
