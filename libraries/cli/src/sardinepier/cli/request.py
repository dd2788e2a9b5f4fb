"""``sardinepier request``: sends one request, with safe resends."""

import dataclasses
from collections.abc import Sequence
from typing import Final

import aiohttp
import msgspec
import yarl
from sardinepier.cli import (
    addresses,
    answers,
    client,
    context,
    endpoints,
    errors,
    exit_codes,
)
from sardinepier.cli.internal import no_resend, tables
from sardinepier.core import outcomes

MAX_RESENDS: Final = 2
"""How often a request with a key is resent after an unknown outcome."""

_KEY_HEADER: Final = 'Idempotency-Key'
_OUTCOME_HEADER: Final = 'Sardinepier-Outcome'
_RETRY_AFTER_HEADER: Final = 'Retry-After'
_CONTENT_TYPE_HEADER: Final = 'Content-Type'
_PROBLEM_CONTENT_TYPE: Final = 'application/problem+json'
_CALLER_PART_BITS: Final = 128
_FIRST_ERROR_STATUS: Final = 400


@dataclasses.dataclass(frozen=True, slots=True)
class RequestSpec:
    """The request to send. ``once`` adds a key and allows resends."""

    method: str
    path: str
    service: str
    zone: str
    body: str
    headers: dict[str, str]
    once: bool


class Attempt(msgspec.Struct, frozen=True, kw_only=True):
    """One attempt to send the request, and its outcome.

    ``status`` is None when no whole answer arrived; ``detail`` has the reason.
    """

    daemon: str
    outcome: outcomes.Outcome
    status: int | None = None
    retry_after: str = ''
    detail: str = ''
    remedy: str = ''
    body: str = ''


class RequestReport(msgspec.Struct, frozen=True, kw_only=True):
    """The outcome of all attempts; ``key`` is empty without ``--once``.

    ``status`` and ``body`` are those of the last attempt.
    """

    outcome: outcomes.Outcome
    status: int | None
    key: str
    body: str
    attempts: tuple[Attempt, ...]

    def lines(self) -> tuple[str, ...]:
        """Return outcome, key, attempts, and the body after an empty line."""
        lines = [f'outcome: {self.outcome.value}']
        if self.key:
            lines.append(f'key: {self.key}')
        lines.extend(map(_attempt_line, self.attempts))
        if self.body:
            lines.extend(('', tables.plain(self.body)))
        return tuple(lines)

    def diagnostics(self) -> tuple[str, ...]:
        """Return the reason and remedy of the last attempt, if any."""
        last = self.attempts[-1]
        if self.exit_code() is exit_codes.ExitCode.OK or not last.detail:
            return ()
        remedy = last.remedy or 'Try again later'
        return (tables.plain(f'{last.detail}. {remedy}.'),)

    def exit_code(self) -> exit_codes.ExitCode:
        """Return the exit code for the outcome and the status."""
        if self.outcome is outcomes.Outcome.UNKNOWN:
            return exit_codes.ExitCode.NO_ANSWER
        failed = self.status is None or self.status >= _FIRST_ERROR_STATUS
        if failed or self.outcome is outcomes.Outcome.NOT_RUN:
            return exit_codes.ExitCode.NEGATIVE
        return exit_codes.ExitCode.OK


async def report(
    daemon: endpoints.Endpoint,
    spec: RequestSpec,
    timeout_s: float,
    command_context: context.Context,
) -> RequestReport:
    """Get addresses from ``daemon`` and send the request to them.

    Raises ``RefusedError`` without addresses, and the errors of
    ``client.DaemonClient.get``. In both cases the request wasn't sent.
    """
    caller_part = (
        f'{command_context.random_source.getrandbits(_CALLER_PART_BITS):032x}'
    )
    async with client.open_session(timeout_s) as session:
        answer = await client.DaemonClient(session).addresses(
            daemon,
            spec.service,
            spec.zone,
        )
        if not answer.addresses:
            raise errors.RefusedError(
                f'{daemon} knows no daemon that serves {spec.service}',
                'Ask another daemon',
            )
        sender = _Sender(session, spec, caller_part)
        return await sender.send_all(answer.addresses)


class _Sender:
    """Sends a request until its outcome is known or no resend is left."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        spec: RequestSpec,
        caller_part: str,
    ) -> None:
        self._session = session
        self._spec = spec
        self._caller_part = caller_part
        self._key = ''
        self._may_have_run = False
        self._attempts: list[Attempt] = []

    async def send_all(
        self,
        daemon_addresses: Sequence[answers.Address],
    ) -> RequestReport:
        for number in range(1 + MAX_RESENDS):
            address = daemon_addresses[number % len(daemon_addresses)]
            if self._spec.once and not self._may_have_run:
                # The key is bound to the home that its ticket names. Until
                # the request may have run, it can use another home.
                self._key = f'{address.ticket}.{self._caller_part}'
            attempt = await self._send(addresses.endpoint_of(address))
            self._attempts.append(attempt)
            if self._is_final(attempt):
                break
        return self._report()

    def _is_final(self, attempt: Attempt) -> bool:
        if attempt.outcome is outcomes.Outcome.COMPLETED:
            return True
        if attempt.outcome is outcomes.Outcome.UNKNOWN:
            self._may_have_run = True
            return not self._spec.once
        # An answer "not run" is final, a failed connection is not. After an
        # attempt with an unknown outcome, "not run" holds for this attempt
        # only.
        return attempt.status is not None and not self._may_have_run

    def _report(self) -> RequestReport:
        last = self._attempts[-1]
        outcome = last.outcome
        if outcome is outcomes.Outcome.NOT_RUN and self._may_have_run:
            outcome = outcomes.Outcome.UNKNOWN
        return RequestReport(
            outcome=outcome,
            status=last.status,
            key=self._key,
            body=last.body,
            attempts=tuple(self._attempts),
        )

    async def _send(self, daemon: endpoints.Endpoint) -> Attempt:
        headers = dict(self._spec.headers)
        if self._key:
            headers[_KEY_HEADER] = self._key
        try:
            return await self._exchange(daemon, headers)
        except aiohttp.ClientConnectorError as error:
            # Without a connection nothing was sent, so the request hasn't run.
            return _unanswered_attempt(daemon, error, outcomes.Outcome.NOT_RUN)
        except client.EXCHANGE_ERRORS as error:
            return _unanswered_attempt(daemon, error, outcomes.Outcome.UNKNOWN)
        except errors.BadAnswerError as error:
            return _unanswered_attempt(daemon, error, outcomes.Outcome.UNKNOWN)

    async def _exchange(
        self,
        daemon: endpoints.Endpoint,
        headers: dict[str, str],
    ) -> Attempt:
        spec = self._spec
        path = spec.path.lstrip('/')
        async with self._session.request(
            spec.method,
            # Unnormalized: `a/../b` must not leave the service's paths.
            yarl.URL(f'http://{daemon}/{spec.service}/{path}', encoded=True),
            data=spec.body.encode() or None,
            headers=headers,
            allow_redirects=False,
            middlewares=(no_resend.NoResend(),),
        ) as answer:
            return _answered_attempt(
                daemon, answer, await client.read_bounded(answer)
            )


def _answered_attempt(
    daemon: endpoints.Endpoint,
    answer: aiohttp.ClientResponse,
    body: bytes,
) -> Attempt:
    problem = answers.ProblemDocument()
    if answer.content_type == _PROBLEM_CONTENT_TYPE:
        problem = answers.parse_problem(body)
    return Attempt(
        daemon=str(daemon),
        outcome=_outcome_of(answer),
        status=answer.status,
        retry_after=answer.headers.get(_RETRY_AFTER_HEADER, ''),
        detail=(problem.detail or problem.title).rstrip('.'),
        remedy=problem.remedy.rstrip('.'),
        body=body.decode(errors='replace'),
    )


def _outcome_of(answer: aiohttp.ClientResponse) -> outcomes.Outcome:
    try:
        return outcomes.Outcome(answer.headers.get(_OUTCOME_HEADER))
    except ValueError:
        # Without a known outcome the request may have run or not.
        return outcomes.Outcome.UNKNOWN


def _unanswered_attempt(
    daemon: endpoints.Endpoint,
    error: BaseException,
    outcome: outcomes.Outcome,
) -> Attempt:
    return Attempt(
        daemon=str(daemon),
        outcome=outcome,
        detail=f'{daemon} gave no whole answer ({client.describe(error)})',
        remedy='Check the address, and that the daemon runs',
    )


def _attempt_line(attempt: Attempt) -> str:
    status = 'no whole answer'
    if attempt.status is not None:
        status = f'status {attempt.status}'
    line = f'sent to {attempt.daemon}: {attempt.outcome.value}, {status}'
    if attempt.retry_after:
        line = f'{line}, retry after {attempt.retry_after} s'
    return tables.plain(line)


def body_headers(body: str) -> dict[str, str]:
    """Return a content type header: JSON if ``body`` is, else plain text."""
    if not body:
        return {}
    try:
        msgspec.json.decode(body)
    except msgspec.DecodeError:
        return {_CONTENT_TYPE_HEADER: 'text/plain; charset=utf-8'}
    return {_CONTENT_TYPE_HEADER: 'application/json'}
