"""From the text of a file to its settings, or to a list of mistakes."""

import dataclasses

from sardinepier.configuration.internal import file_names
from sardinepier.core import ids
from sardinepier.platform import interface
from sardinepier.settings import errors, model, parsing


@dataclasses.dataclass(frozen=True, slots=True)
class ParsedFile:
    """What a text holds: its settings, or all its mistakes."""

    parsed: model.FleetSettings | model.ServiceSettings | None = None
    problems: tuple[errors.Problem, ...] = ()


def parse(name: ids.FileName, text: str) -> ParsedFile:
    """Return the settings in ``text``, or its mistakes.

    It touches nothing but its arguments, so any thread may run it.
    """
    try:
        return ParsedFile(parsed=_parse_settings(name, text))
    except errors.InvalidSettingsError as invalid:
        return ParsedFile(problems=invalid.problems)


def deleted_fleet() -> errors.Problem:
    """Return the mistake of deleting the file on which all others rest."""
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
        raise _too_large(name)
    if name == file_names.FLEET:
        return parsing.parse_fleet(text, name)
    return parsing.parse_service(text, name)


def _too_large(name: ids.FileName) -> errors.InvalidSettingsError:
    # Such a text would not fit into a message between daemons either.
    problem = errors.Problem(
        source=name,
        section=None,
        key=None,
        what=f'The file is larger than {interface.FILE_LIMIT_BYTES} bytes',
        remedy='Split the service in two',
    )
    return errors.InvalidSettingsError((problem,))
