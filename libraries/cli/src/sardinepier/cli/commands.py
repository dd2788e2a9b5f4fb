"""The commands of the command line, their options and help texts.

A command only validates its arguments and returns an ``Invocation``.
"""

import functools
from typing import Final

from sardinepier.cli import (
    addresses,
    check,
    endpoints,
    invocations,
    request,
    status,
    timeline,
)
from sardinepier.cli.from_files import explain, log_timeline, retries
from sardinepier.cli.internal import options

_POLL_INTERVAL_S: Final = 1.0
_FOLLOW_S: Final = 60.0
_RETRY_WINDOW_S: Final = 10.0
_TIMEOUT_S: Final = 5.0
_CALLER_HEADER: Final = 'Sardinepier-Caller'


class Commands:
    """Check settings files and watch a fleet of sardinepier daemons.

    Commands: check, addresses, status, timeline, explain, retries, request.
    Each has a help of its own, for example sardinepier check --help.

    No command changes any state of the fleet. Daemons are named by IP:PORT.
    Exit codes: 0 good, 1 a clear negative result, 2 wrong usage, 3 a daemon
    did not answer or an outcome is unknown, 4 the tool failed.
    """

    def __init__(
        self,
        *,
        json: bool = False,
        timeout_s: float = _TIMEOUT_S,
        caller_header: str = _CALLER_HEADER,
    ) -> None:
        """Take the options that all commands share.

        Args:
            json: Print one JSON document instead of text.
            timeout_s: How long one exchange with a daemon may take.
            caller_header: The header that names the caller in this fleet.
        """
        self._json = json
        self._timeout_s = timeout_s
        self._caller_header = caller_header

    def check(self, *files: str) -> invocations.Invocation:
        """Check settings files, alone and together. Exit code 1 on mistakes.

        The first section tells the kind of a file: [instance], [fleet] or
        [service]. All mistakes of all files are reported at once.

        Args:
            files: Paths of the files.
        """
        return self._invocation(
            functools.partial(check.report, options.files(files)),
        )

    def addresses(
        self,
        *,
        service: str,
        daemon: str,
        zone: str = '',
    ) -> invocations.Invocation:
        """Ask a daemon which addresses to use for a service, with tickets.

        Args:
            service: The service.
            daemon: The daemon to ask, IP:PORT.
            zone: The availability zone of the caller, to get near addresses.
        """
        return self._invocation(
            functools.partial(
                addresses.report,
                endpoints.parse_endpoint(daemon),
                options.service(service),
                zone,
                self._timeout_s,
            ),
        )

    def status(self, *, daemons: str) -> invocations.Invocation:
        """Show what each daemon knows: members, files, targets, requests.

        Args:
            daemons: The daemons to ask, IP:PORT,IP:PORT...
        """
        return self._invocation(
            functools.partial(
                status.report,
                endpoints.parse_endpoints(daemons),
                self._timeout_s,
            ),
        )

    def timeline(
        self,
        *log_files: str,
        daemons: str = '',
        since: str = '',
        picture: str = '',
        follow: bool = False,
        for_s: float = _FOLLOW_S,
    ) -> invocations.Invocation:
        """Print the events of all daemons in one order.

        Asks the daemons, and then causes come first, or reads log files of
        entry instances, and then the lines are in the order of their times.

        Args:
            log_files: Paths of log files, in place of daemons.
            daemons: The daemons to ask, IP:PORT,IP:PORT...
            picture: Draw what the log files tell to this file.
            since: Leave out events up to this stamp, the first column.
            follow: Keep asking, and print events as they come in.
            for_s: For how long to follow.
        """
        options.require_one_source(daemons, log_files)
        if log_files:
            return self._invocation(
                functools.partial(
                    log_timeline.report,
                    log_files,
                    picture,
                ),
            )
        daemon_endpoints = endpoints.parse_endpoints(daemons)
        after = options.since(since)
        execute: invocations.Execute = functools.partial(
            timeline.report,
            daemon_endpoints,
            after,
            self._timeout_s,
        )
        if follow:
            execute = functools.partial(
                timeline.follow,
                daemon_endpoints,
                after,
                self._timeout_s,
                timeline.FollowOptions(for_s, _POLL_INTERVAL_S, not self._json),
            )
        return self._invocation(execute)

    def explain(self, request_id: str, *files: str) -> invocations.Invocation:
        """Tell what became of one request, and why, from log files.

        Merges the lines of all daemons. Exit code 1 when no line has the id.

        Args:
            request_id: The id that the caller sent with the request.
            files: Paths of log files, of as many daemons as there are.
        """
        return self._invocation(
            functools.partial(explain.report, request_id, files),
        )

    def retries(
        self, *files: str, window_s: float = _RETRY_WINDOW_S
    ) -> invocations.Invocation:
        """Show what the fleet spent of its retry budget, from log files.

        For each service the window with the most attempts, and who spent them.

        Args:
            files: Paths of log files, of as many daemons as there are.
            window_s: The length of the window of the limit.
        """
        return self._invocation(
            functools.partial(retries.report, files, window_s),
        )

    def request(
        self,
        method: str,
        path: str,
        *,
        service: str,
        daemon: str,
        zone: str = '',
        body: str = '',
        caller: str = '',
        once: bool = False,
    ) -> invocations.Invocation:
        """Send one request to the fleet and print its outcome.

        With --once the request carries an Idempotency-Key. After an unknown
        outcome it is sent again with the same key, at most twice.

        Args:
            method: The HTTP method.
            path: The path below the service, with a query if needed.
            service: The service.
            daemon: The daemon to ask for addresses, IP:PORT.
            zone: The availability zone of the caller.
            body: The body of the request.
            caller: The name under which the request counts.
            once: Send with a key, for a request that must not run twice.
        """
        daemon_endpoint = endpoints.parse_endpoint(daemon)
        headers = request.body_headers(body)
        if caller:
            headers[self._caller_header] = options.header_value(caller)
        spec = request.RequestSpec(
            method=options.method(method),
            path=options.path(path),
            service=options.service(service),
            zone=zone,
            body=body,
            headers=headers,
            once=once,
        )

        return self._invocation(
            functools.partial(
                request.report, daemon_endpoint, spec, self._timeout_s
            ),
        )

    def _invocation(
        self,
        execute: invocations.Execute,
    ) -> invocations.Invocation:
        return invocations.Invocation(execute, self._json)
