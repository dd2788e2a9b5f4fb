"""What is emulated, as a checked TOML file."""

import enum
import pathlib

import msgspec

from sardinepier.core import errors

_SUFFIX = '.toml'
_SHIPPED = pathlib.Path(__file__).parent / 'scenarios'


class ScenarioError(errors.SardinepierError):
    """A scenario file is missing, or something in it is wrong."""


class Manner(enum.Enum):
    """How a failing target fails a request."""

    RESET = 'reset'
    """It ends the connection at once."""

    ERROR = 'error'
    """It answers at once that it failed."""

    LATE_ERROR = 'late_error'
    """It works on the request, and then answers that it failed."""

    HANG = 'hang'
    """It never answers."""

    SHED = 'shed'
    """It says that it is full, whatever its load."""


class Noise(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Targets that fail by themselves for a while.

    On average ``share`` of them fail at any time, for ``length_s`` seconds
    each, ``fails`` of their requests.
    """

    share: float = 0.0
    length_s: float = 9.0
    fails: float = 0.85
    manner: Manner = Manner.RESET


class Service(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A service with as many targets in each zone.

    A target works on ``slots`` requests and lets ``queue`` more wait.
    ``error_share`` of all requests fail after their work, at any target.
    """

    name: str
    targets_a_zone: int
    slots: int = 4
    queue: int = 16
    error_share: float = 0.012
    noise: Noise = Noise()


class RequestClass(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Requests of one kind.

    ``per_s`` are those of all zones together. An answer within ``aim_s`` earns
    ``worth``, a later one ``late_worth``. ``work_s`` is the mean of a
    log-normal distribution with ``spread`` as its sigma.
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


class DisturbanceKind(enum.Enum):
    """What may happen for a while."""

    SHED = 'shed'
    """``share`` of the service's targets refuse ``strength`` of what they get."""

    SLOW = 'slow'
    """They take ``strength`` times as long."""

    CRASH = 'crash'
    """They are gone, and connections to them are reset."""

    BURST = 'burst'
    """Callers come ``strength`` times as often; the service doesn't count."""

    LIMIT = 'limit'
    """They name a limit of ``strength`` requests a second in their answers."""

    LEAVE = 'leave'
    """They say in their answers that they leave."""

    REST = 'rest'
    """They refuse all that they get, and ask for ``strength`` seconds of rest."""

    RESTART = 'restart'
    """All daemons are gone, and know nothing when they are back."""


class Disturbance(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One trouble from ``at_s`` on, for ``for_s`` seconds."""

    kind: DisturbanceKind
    at_s: float
    for_s: float
    service: str = ''
    share: float = 1.0
    strength: float = 1.0


class Scenario(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Zones with daemons, targets and callers.

    ``in_zone_s`` and ``cross_zone_s`` are one way. Of each zone's
    ``daemons_a_zone`` each gets as many requests as the others.
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
    """Return the scenario of a file, or one that is shipped by its name.

    Raises ``ScenarioError``.
    """
    shipped = _SHIPPED / f'{name}{_SUFFIX}'
    path = shipped if shipped.exists() else pathlib.Path(name)
    try:
        found = msgspec.toml.decode(path.read_bytes(), type=Scenario)
    except (OSError, msgspec.DecodeError) as error:
        raise ScenarioError(
            f'The scenario {name} is unusable: {error}',
            f'Name a file, or one of {", ".join(shipped_names())}',
        ) from error
    _check(name, found)
    return found


def shipped_names() -> list[str]:
    """Return the names of the scenarios that come with the workbench."""
    return sorted(path.stem for path in _SHIPPED.glob(f'*{_SUFFIX}'))


def _check(name: str, found: Scenario) -> None:
    known = {service.name for service in found.services}
    named = {one.service for one in found.classes}
    named |= {one.service for one in found.disturbances if one.service}
    if named - known:
        raise ScenarioError(
            f'The scenario {name} names services that it lacks: '
            f'{", ".join(sorted(named - known))}',
            'Add them, or correct the names',
        )
