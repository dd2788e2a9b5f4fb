"""The names of headers that callers and targets use with the daemon.

Installations differ in these names, so that they are given to the request
path instead of being written into it.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class HeaderNames:
    """Which header carries what.

    ``attempt_id`` names one attempt of a caller; targets echo it.
    ``deadline_ms`` is how many milliseconds are left. ``expected_target``
    names the only target start that may run the request. ``not_run`` marks an
    answer of a target that did not run it. ``signature`` proves that an
    answer is a target's own. ``load`` is the target's running and waiting
    requests and its slots. ``leaving`` and ``limit`` are told by targets as
    :mod:`sardinepier.gateway.statements` reads them. ``credentials`` holds a
    caller's key, behind ``key_scheme`` and a space. ``customer`` tells targets
    whose request it is.
    """

    attempt_id: str = 'Sardinepier-Attempt'
    deadline_ms: str = 'Sardinepier-Deadline-Ms'
    expected_target: str = 'Sardinepier-Expected-Target'
    not_run: str = 'Sardinepier-Not-Run'
    signature: str = 'Sardinepier-Signature'
    load: str = 'Sardinepier-Load'
    credentials: str = 'Authorization'
    key_scheme: str = 'Bearer'
    leaving: str = 'Sardinepier-Leaving'
    limit: str = 'Sardinepier-Limit'
    customer: str = 'Sardinepier-Customer'
