"""Parses the text of a file into settings or a list of problems."""

import dataclasses

from sardinepier.configuration.internal import file_names
from sardinepier.core import ids
from sardinepier.platform import interface
from sardinepier.settings import errors, model, parsing


@dataclasses.dataclass(frozen=True, slots=True)
class ParsedFile:
    """The settings of a text, or all its problems."""

    parsed: model.FleetSettings | model.ServiceSettings | None = None
    problems: tuple[errors.Problem, ...] = ()


def parse(name: ids.FileName, text: str) -> ParsedFile:
    """Return the settings in ``text``, or its problems.

    Thread-safe: it has no state and uses only its arguments.
    """
    try:
        return ParsedFile(parsed=_parse_settings(name, text))
    except errors.InvalidSettingsError as invalid:
        return ParsedFile(problems=invalid.problems)


def fleet_deleted_problem() -> errors.Problem:
    """Return the problem of a deleted fleet file, which services depend on."""
    return errors.Problem(
        source=file_names.FLEET,
        section=None,
        key=None,
        what='The fleet file is deleted; its last version stays in force',
        remedy='Publish the fleet file again',
    )


def _parse_settings(
    name: ids.FileName,
    text: str,
) -> model.FleetSettings | model.ServiceSettings:
    if len(text.encode()) > interface.FILE_LIMIT_BYTES:
        raise _too_large_error(name)
    if name == file_names.FLEET:
        return parsing.parse_fleet(text, name)
    return parsing.parse_service(text, name)


def _too_large_error(name: ids.FileName) -> errors.InvalidSettingsError:
    # A larger text would also exceed the size of a peer message.
    problem = errors.Problem(
        source=name,
        section=None,
        key=None,
        what=f'The file is larger than {interface.FILE_LIMIT_BYTES} bytes',
        remedy='Split the service in two',
    )
    return errors.InvalidSettingsError((problem,))
