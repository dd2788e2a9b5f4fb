"""The names of the HTTP headers between callers, the daemon and targets.

Installations use different names, so that the request path gets them as a
parameter.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class HeaderNames:
    """The header name for each purpose.

    ``attempt_id`` identifies one attempt of a caller; targets echo it.
    ``deadline_ms`` is the remaining time in milliseconds. ``expected_target``
    names the only target incarnation that may run the request. ``not_run``
    marks the answer of a target that did not run the request. ``signature``
    proves that a target produced the answer. ``load`` is the number of running
    and of waiting requests of the target, and of its slots. ``leaving`` and
    ``limit`` are statements of a target, which
    :mod:`sardinepier.gateway.statements` reads. ``credentials`` holds a
    caller's key after ``key_scheme`` and a space. ``customer`` names the
    customer of the request to the target.
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
