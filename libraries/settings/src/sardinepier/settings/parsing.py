r"""Parses the text of settings files into validated, immutable snapshots.

A file is accepted as a whole or rejected as a whole. All its problems are
reported at once:

    >>> parsing.parse_fleet('[fleet]\nname = a b\n', 'fleet')
    Traceback (most recent call last):
    sardinepier.settings.errors.InvalidSettingsError: ...

The ``parse_*`` functions raise only ``InvalidSettingsError``.
"""

import pathlib
from typing import Final

from sardinepier.settings import errors, model
from sardinepier.settings.internal import (
    checking,
    fleet_rules,
    ini,
    instance_rules,
    layouts,
    schema,
    service_rules,
)

_MAX_BYTES: Final = 4 * ini.MAX_CHARACTERS


def parse_instance(text: str, source: str) -> model.InstanceSettings:
    """Parse the file of one daemon into ``model.InstanceSettings``.

    ``source`` names the file in messages. Raises ``InvalidSettingsError``.
    """
    check = checking.FileCheck(text, source, layouts.INSTANCE)
    instance = check.single(schema.InstanceSection)
    if instance is not None:
        check.problems.extend(instance_rules.find_problems(source, instance))
    if instance is None or check.problems:
        raise check.error()
    return instance_rules.build(instance)


def parse_fleet(text: str, source: str) -> model.FleetSettings:
    """Parse the ``fleet`` file into ``model.FleetSettings``.

    ``source`` names the file in messages. Raises ``InvalidSettingsError``.
    """
    check = checking.FileCheck(text, source, layouts.FLEET)
    fleet = check.single(schema.FleetSection)
    zones = check.named(schema.ZoneSection)
    if fleet is not None:
        check.problems.extend(fleet_rules.find_problems(source, fleet))
    if fleet is None or check.problems:
        raise check.error()
    return fleet_rules.build(fleet, zones)


def parse_service(text: str, source: str) -> model.ServiceSettings:
    """Parse a ``service/<name>`` file into ``model.ServiceSettings``.

    ``source`` names the file in messages. When ``source`` has the published
    form ``service/<name>``, the name inside the file must be the same. Raises
    ``InvalidSettingsError``.
    """
    check = checking.FileCheck(text, source, layouts.SERVICE)
    sections = service_rules.ServiceSections(
        service=check.single(schema.ServiceSection),
        shed_reply=check.single(schema.ShedReplySection),
        targets=check.named(schema.TargetSection),
        routes=check.named(schema.RouteSection),
    )
    check.problems.extend(service_rules.find_problems(source, sections))
    if check.problems:
        raise check.error()
    return service_rules.build(sections)


def read_instance(path: str | pathlib.Path) -> model.InstanceSettings:
    """Read and parse the file of one daemon from disk.

    Raises ``InvalidSettingsError`` when the content is invalid, and a subclass
    of ``SettingsFileError`` when the file can't be read as text.
    """
    return parse_instance(read_text(path), str(path))


def read_text(path: str | pathlib.Path) -> str:
    """Read a settings file of bounded size from disk as UTF-8 text.

    Raises ``UnreadableFileError``, ``OversizedFileError`` or
    ``UndecodableFileError``.
    """
    try:
        with pathlib.Path(path).open('rb') as file:
            content = file.read(_MAX_BYTES + 1)
    except (OSError, ValueError) as error:
        raise errors.UnreadableFileError(
            f'{path} cannot be read: {error}',
            'Name a plain file that this user may read',
        ) from error
    if len(content) > _MAX_BYTES:
        raise errors.OversizedFileError(
            f'{path} is larger than {_MAX_BYTES} bytes',
            'Name a settings file',
        )
    return _decode(content, path)


def check_across_files(
    fleet: model.FleetSettings,
    services: tuple[model.ServiceSettings, ...],
) -> tuple[errors.Problem, ...]:
    """Return the problems between files that are each valid by themselves.

    Each target's zone must be one of the fleet's zones, and no two files may
    describe the same service.
    """
    return fleet_rules.check_services(fleet, services)


def check_instance(
    instance: model.InstanceSettings,
    fleet: model.FleetSettings,
) -> tuple[errors.Problem, ...]:
    """Return where a daemon's own file contradicts the ``fleet`` file."""
    return instance_rules.check_fleet(instance, fleet)


def _decode(content: bytes, path: str | pathlib.Path) -> str:
    try:
        return content.decode('utf-8-sig')
    except UnicodeDecodeError as error:
        raise errors.UndecodableFileError(
            f'{path} is not UTF-8 text: byte {error.start} does not fit',
            'Save the file as UTF-8',
        ) from error
