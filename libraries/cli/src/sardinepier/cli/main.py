"""The program ``sardinepier``: parses the command line, runs the command."""

import asyncio
import os
import re
import sys
from collections.abc import Sequence
from typing import Final, TextIO

import fire
from sardinepier.cli import (
    commands,
    context,
    errors,
    exit_codes,
    invocations,
    reports,
)
from sardinepier.cli.internal import options
from sardinepier.core import errors as core_errors

_NAME: Final = 'sardinepier'
_ONE_LETTER_OPTION: Final = re.compile('-[a-gi-z](=.*)?')
_SWITCHES: Final = frozenset(('--json', '--once', '--follow'))


def main() -> None:
    """Run the tool on the arguments of this process and exit."""
    sys.exit(run(sys.argv[1:], context.Context()))


def run(arguments: Sequence[str], around: context.Context) -> int:
    """Run one command line and return its exit code; never raises."""
    try:
        return asyncio.run(execute(arguments, around))
    except KeyboardInterrupt:
        return exit_codes.ExitCode.INTERRUPTED
    except BrokenPipeError:
        # The reader closed the pipe. Redirect standard output, so that the
        # flush at exit doesn't fail as well.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return exit_codes.ExitCode.OK


async def execute(
    arguments: Sequence[str],
    around: context.Context,
) -> exit_codes.ExitCode:
    """Run one command line in a running event loop; return its exit code."""
    as_json = '--json' in arguments
    try:
        invocation = _parse_command_line(arguments)
        if invocation is None:
            return exit_codes.ExitCode.USAGE
        return _print_report(
            await invocation.execute(around),
            around,
            as_json=invocation.as_json,
        )
    except core_errors.SardinepierError as error:
        return _print_failure(error, around, as_json=as_json)
    except SystemExit as exit_error:
        # fire exits like this after printing help or usage.
        return exit_codes.ExitCode(int(exit_error.code or 0))
    except Exception as error:
        if isinstance(error, BrokenPipeError):
            raise
        return _print_failure(_internal_error(error), around, as_json=as_json)


def _parse_command_line(
    arguments: Sequence[str],
) -> invocations.Invocation | None:
    """Return the command of ``arguments``, or None after printing help."""
    _set_parsers()
    # Print help directly: fire's default starts a pager process.
    fire.core.Display = _print_help
    component = fire.Fire(
        commands.Commands,
        command=[_normalize_switch(argument) for argument in arguments],
        name=_NAME,
        serialize=_omit_invocation,
    )
    return component if isinstance(component, invocations.Invocation) else None


def _set_parsers() -> None:
    """Keep arguments as text: fire would turn ``--body 1e3`` into a number."""
    # Without the underscore, fire would list its own attribute in every help
    # text.
    fire.decorators.FIRE_METADATA = '_fire_metadata'
    command_class = commands.Commands
    for command in (
        command_class,
        command_class.check,
        command_class.addresses,
        command_class.status,
        command_class.timeline,
        command_class.explain,
        command_class.retries,
        command_class.request,
    ):
        fire.decorators.SetParseFn(str)(command)
    fire.decorators.SetParseFns(
        json=options.switch,
        timeout_s=options.seconds,
        caller_header=options.header_name,
    )(command_class)
    fire.decorators.SetParseFns(once=options.switch)(command_class.request)
    fire.decorators.SetParseFns(window_s=options.seconds)(command_class.retries)
    fire.decorators.SetParseFns(
        follow=options.switch,
        for_s=options.seconds,
    )(command_class.timeline)


def _normalize_switch(argument: str) -> str:
    """Append ``=true`` to a switch, so it doesn't consume the next argument.

    Raises :class:`errors.UsageError` for an option of one letter.
    """
    if _ONE_LETTER_OPTION.fullmatch(argument):
        # fire matches first letters: -c would set the caller header instead of
        # the caller.
        raise errors.UsageError(
            f'The option {argument} is too short',
            'Write options in full, for example --service',
        )
    if argument in _SWITCHES:
        return f'{argument}=true'
    return argument


def _omit_invocation(component: object) -> object:
    return None if isinstance(component, invocations.Invocation) else component


def _print_help(lines: Sequence[str], out: TextIO) -> None:
    out.write('\n'.join(lines))
    out.write('\n')


def _print_report(
    report: reports.Report,
    command_context: context.Context,
    *,
    as_json: bool,
) -> exit_codes.ExitCode:
    if as_json:
        command_context.write(reports.to_json(report))
    else:
        for line in report.lines():
            command_context.write(line)
    for diagnostic in report.diagnostics():
        command_context.write_error(diagnostic)
    return report.exit_code()


def _print_failure(
    error: core_errors.SardinepierError,
    command_context: context.Context,
    *,
    as_json: bool,
) -> exit_codes.ExitCode:
    exit_code = exit_codes.ExitCode.INTERNAL
    if isinstance(error, errors.CommandError):
        exit_code = error.exit_code
    if as_json:
        command_context.write(
            reports.to_json(
                reports.Failure(
                    type(error).__name__,
                    error.what,
                    error.remedy,
                    exit_code,
                ),
            ),
        )
    command_context.write_error(f'{_NAME}: {error.what}. {error.remedy}.')
    return exit_code


def _internal_error(error: Exception) -> errors.CommandError:
    return errors.CommandError(
        f'The tool failed: {type(error).__name__}: {error}',
        'Please report this with the command line',
    )
