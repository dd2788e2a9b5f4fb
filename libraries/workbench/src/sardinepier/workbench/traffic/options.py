"""Options of the load generator."""

import dataclasses
from collections.abc import Mapping
from typing import Final

from sardinepier.core import errors

BODY_BYTES: Final = 64
"""The default size of a request's body."""

_MAX_REQUESTS: Final = 500_000


@dataclasses.dataclass(frozen=True, slots=True)
class Endpoint:
    """An address of a process: a daemon or a target."""

    ip: str
    port: int

    @property
    def url(self) -> str:
        """The base of all URLs of the process."""
        return f'http://{self.ip}:{self.port}'


@dataclasses.dataclass(frozen=True, slots=True)
class RouteChoice:
    """A route of the service to which requests are sent."""

    method: str
    path: str


@dataclasses.dataclass(frozen=True, slots=True)
class TrafficOptions:
    """One bounded run of the load generator.

    ``rate_per_s`` requests start each second for ``duration_s``, whether or
    not earlier ones were answered; above ``in_flight_limit`` they are counted
    as not sent. ``keyed_percent`` of them are non-idempotent and have a key.
    ``resends`` bounds how often one request is sent again, and
    ``attempt_timeout_s`` how long one attempt may take. The run fails when
    fewer than ``least_completed_percent`` of its requests completed.
    ``detours`` maps addresses of daemons to the endpoints, such as relays,
    to which their requests are sent instead.
    """

    daemons: tuple[Endpoint, ...]
    service: str
    idempotent_route: RouteChoice
    keyed_route: RouteChoice
    rate_per_s: float = 50.0
    duration_s: float = 5.0
    keyed_percent: float = 50.0
    callers: int = 8
    resends: int = 4
    attempt_timeout_s: float = 8.0
    longest_wait_s: float = 2.0
    in_flight_limit: int = 400
    body_bytes: int = BODY_BYTES
    caller_header: str = 'Sardinepier-Caller'
    zone: str = ''
    poison: str = ''
    least_completed_percent: float = 0.0
    detours: Mapping[Endpoint, Endpoint] = dataclasses.field(
        default_factory=dict,
    )
    seed: int = 1

    def __post_init__(self) -> None:
        """Raise ``InvalidArgumentError`` when an option is out of range."""
        if not self.daemons:
            raise errors.InvalidArgumentError(
                'No daemon is named',
                'Pass --daemons IP:PORT,IP:PORT',
            )
        if not 0 < self.rate_per_s * self.duration_s <= _MAX_REQUESTS:
            raise errors.InvalidArgumentError(
                'The rate times the duration is out of range',
                f'Choose them so that at most {_MAX_REQUESTS} requests start',
            )


def parse_endpoints(text: str) -> tuple[Endpoint, ...]:
    """Return the endpoints in ``text``, for example ``127.0.0.1:80,[::1]:81``.

    Raises ``InvalidArgumentError`` for anything that is not an address and a
    port.
    """
    return tuple(_parse_endpoint(part) for part in text.split(',') if part)


def parse_route(text: str) -> RouteChoice:
    """Return the route in ``text``, for example ``POST:/deposits``."""
    method, separator, path = text.partition(':')
    if not separator or not path.startswith('/'):
        raise errors.InvalidArgumentError(
            f'The route is {text!r}',
            'Write METHOD:/path, for example POST:/deposits',
        )
    return RouteChoice(method, path)


def _parse_endpoint(text: str) -> Endpoint:
    ip, _, port = text.strip().rpartition(':')
    if not ip or not port.isdigit():
        raise errors.InvalidArgumentError(
            f'The address is {text!r}',
            'Write IP:PORT, for example 127.0.0.1:8001',
        )
    return Endpoint(ip, int(port))
