"""Scenarios of the policy emulation, read from TOML files and checked."""

import enum
import pathlib

import msgspec

from sardinepier.core import errors

_SUFFIX = '.toml'
_SHIPPED_DIRECTORY = pathlib.Path(__file__).parent / 'scenarios'


class ScenarioError(errors.SardinepierError):
    """A scenario file is missing or invalid."""


class Manner(enum.Enum):
    """How a failing target fails a request."""

    RESET = 'reset'
    """It ends the connection at once."""

    ERROR = 'error'
    """It answers at once that it failed."""

    LATE_ERROR = 'late_error'
    """It processes the request, and then answers that it failed."""

    HANG = 'hang'
    """It never answers."""

    SHED = 'shed'
    """It refuses requests as if it were full, whatever its load."""


class Noise(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Targets that fail by themselves for a while.

    On average a ``share`` of the targets is failing at any time, each for
    ``length_s`` seconds on average. A failing target fails a share of
    ``fails`` of its requests.
    """

    share: float = 0.0
    length_s: float = 9.0
    fails: float = 0.85
    manner: Manner = Manner.RESET


class Service(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A service with the same number of targets in each zone.

    A target processes up to ``slots`` requests at once and queues up to
    ``queue`` more. A share of ``error_share`` of the processed requests fails
    at the end, at any target. Processing times of a target are scaled by a
    log-normal factor with the mean 1 and the sigma ``speed_spread``. A share
    ``tiring_share`` of the targets takes ``tiring_factor`` times as long for
    a request that starts while more than 0.7 of its slots are taken.
    """

    name: str
    targets_a_zone: int
    slots: int = 4
    queue: int = 16
    error_share: float = 0.012
    noise: Noise = Noise()
    speed_spread: float = 0.0
    tiring_share: float = 0.0
    tiring_factor: float = 2.5


class RequestClass(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Requests of one kind.

    ``per_s`` is the rate of all zones together. An answer within ``aim_s``
    earns ``worth``, a later one ``late_worth``. The processing time is
    log-normal with the mean ``work_s`` and the sigma ``spread``. A caller whose
    request fails or is refused sends it again, up to ``caller_retries`` times.
    """

    name: str
    service: str
    per_s: float
    repeatable: bool
    work_s: float
    spread: float = 0.6
    aim_s: float = 1.0
    deadline_s: float = 2.5
    worth: float = 1.0
    late_worth: float = 0.3
    priority: int = 2
    max_attempts: int = 2
    caller_retries: int = 0


class CutManner(enum.Enum):
    """What a cut does to connections between a daemon and the targets."""

    SILENT = 'silent'
    """Open connections and new ones hang."""

    RESET = 'reset'
    """Open connections are reset, and new ones hang."""

    REFUSED = 'refused'
    """Open connections hang, and new ones are refused."""

    LIVE_ON = 'live_on'
    """Open connections still work, and new ones are refused."""


class DisturbanceKind(enum.Enum):
    """The kinds of temporary disturbances."""

    SHED = 'shed'
    """A ``share`` of the targets refuses a share ``strength`` of requests."""

    SLOW = 'slow'
    """The affected targets take ``strength`` times as long."""

    CRASH = 'crash'
    """The affected targets are down, and connections to them are reset."""

    BURST = 'burst'
    """Requests to all services arrive ``strength`` times as often."""

    LIMIT = 'limit'
    """The affected targets state a limit of ``strength`` requests a second."""

    LEAVE = 'leave'
    """The affected targets state in their answers that they are leaving."""

    REST = 'rest'
    """The affected targets refuse all requests, with a backoff of ``strength``
    seconds."""

    CRASHING_REQUEST = 'crashing_request'
    """A request that crashes each target that runs it is sent ``strength``
    times a second, each time to a random daemon."""

    CUT = 'cut'
    """A ``share`` of the daemons of ``zone`` is cut off from all targets."""

    RESTART = 'restart'
    """All daemons stop, and restart without any knowledge of the targets."""


class Disturbance(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A disturbance that starts at ``at_s`` and lasts ``for_s`` seconds.

    ``zone`` and ``manner`` are those of a cut; without a zone it affects all.
    """

    kind: DisturbanceKind
    at_s: float
    for_s: float
    service: str = ''
    share: float = 1.0
    strength: float = 1.0
    zone: str = ''
    manner: CutManner = CutManner.SILENT


class Scenario(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Zones with daemons, targets and callers.

    ``in_zone_s`` and ``cross_zone_s`` are one-way latencies. The requests of
    a zone are spread evenly over its ``daemons_a_zone`` daemons.
    """

    duration_s: float
    services: tuple[Service, ...]
    classes: tuple[RequestClass, ...]
    zones: tuple[str, ...] = ('a', 'b', 'c')
    daemons_a_zone: int = 1
    in_zone_s: float = 0.0002
    cross_zone_s: float = 0.0014
    retry_percent: float = 18.0
    retry_burst: int = 6
    disturbances: tuple[Disturbance, ...] = ()


def load(name: str) -> Scenario:
    """Return the scenario of a file, or the shipped scenario of that name.

    Raises ``ScenarioError``.
    """
    shipped = _SHIPPED_DIRECTORY / f'{name}{_SUFFIX}'
    path = shipped if shipped.exists() else pathlib.Path(name)
    try:
        scenario = msgspec.toml.decode(path.read_bytes(), type=Scenario)
    except (OSError, msgspec.DecodeError) as error:
        raise ScenarioError(
            f'The scenario {name} is invalid: {error}',
            f'Name a file, or one of {", ".join(shipped_names())}',
        ) from error
    _check(name, scenario)
    return scenario


def shipped_names() -> list[str]:
    """Return the names of the scenarios that come with the workbench."""
    return sorted(path.stem for path in _SHIPPED_DIRECTORY.glob(f'*{_SUFFIX}'))


def _check(name: str, scenario: Scenario) -> None:
    known = {service.name for service in scenario.services}
    named = {request_class.service for request_class in scenario.classes}
    named |= {
        disturbance.service
        for disturbance in scenario.disturbances
        if disturbance.service
    }
    if named - known:
        raise ScenarioError(
            f'The scenario {name} uses services that it does not define: '
            f'{", ".join(sorted(named - known))}',
            'Define them, or correct the names',
        )
