"""The program ``sardinepier``: reads the command line, runs one command."""

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
_ONE_LETTER: Final = re.compile('-[a-gi-z](=.*)?')
_SWITCHES: Final = frozenset(('--json', '--once', '--follow'))


def main() -> None:
    """Run the tool on the arguments of this process and exit."""
    sys.exit(run(sys.argv[1:], context.Context()))


def run(arguments: Sequence[str], around: context.Context) -> int:
    """Run one command line and return its exit code; raise nothing."""
    try:
        return asyncio.run(execute(arguments, around))
    except KeyboardInterrupt:
        return exit_codes.ExitCode.INTERRUPTED
    except BrokenPipeError:
        # The reader has seen enough. Nothing may be written at exit either.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return exit_codes.ExitCode.OK


async def execute(
    arguments: Sequence[str],
    around: context.Context,
) -> exit_codes.ExitCode:
    """Run one command line in a running event loop; return its exit code."""
    as_json = '--json' in arguments
    try:
        invocation = _understand(arguments)
        if invocation is None:
            return exit_codes.ExitCode.USAGE
        return _show(
            await invocation.execute(around),
            around,
            as_json=invocation.as_json,
        )
    except core_errors.SardinepierError as problem:
        return _show_failure(problem, around, as_json=as_json)
    except SystemExit as leaving:
        # The command-line library leaves so after its help or usage text.
        return exit_codes.ExitCode(int(leaving.code or 0))
    except Exception as problem:
        if isinstance(problem, BrokenPipeError):
            raise
        return _show_failure(_internal(problem), around, as_json=as_json)


def _understand(arguments: Sequence[str]) -> invocations.Invocation | None:
    """Return the command that ``arguments`` describe, or None for a help."""
    _set_parsers()
    # Help goes straight to the terminal: a pager would be another process.
    fire.core.Display = _display
    found = fire.Fire(
        commands.Commands,
        command=[_explicit(argument) for argument in arguments],
        name=_NAME,
        serialize=_left_out,
    )
    return found if isinstance(found, invocations.Invocation) else None


def _set_parsers() -> None:
    """Keep arguments as text: ``--body 1e3`` must not become a number."""
    # The library would list its own attribute in every help text, had it no
    # underscore.
    fire.decorators.FIRE_METADATA = '_fire_metadata'
    shared = commands.Commands
    for command in (
        shared,
        shared.check,
        shared.addresses,
        shared.status,
        shared.timeline,
        shared.explain,
        shared.request,
    ):
        fire.decorators.SetParseFn(str)(command)
    fire.decorators.SetParseFns(
        json=options.switch,
        timeout_s=options.seconds,
        caller_header=options.header_name,
    )(shared)
    fire.decorators.SetParseFns(once=options.switch)(shared.request)
    fire.decorators.SetParseFns(
        follow=options.switch,
        for_s=options.seconds,
    )(shared.timeline)


def _explicit(argument: str) -> str:
    """Give a switch its value, or it would take the next argument for it.

    Raises :class:`errors.UsageError` for an option of one letter.
    """
    if _ONE_LETTER.fullmatch(argument):
        # Guessed from first letters: -c would name the header, not a caller.
        raise errors.UsageError(
            f'The option {argument} is too short',
            'Write options in full, for example --service',
        )
    if argument in _SWITCHES:
        return f'{argument}=true'
    return argument


def _left_out(found: object) -> object:
    return None if isinstance(found, invocations.Invocation) else found


def _display(lines: Sequence[str], out: TextIO) -> None:
    out.write('\n'.join(lines))
    out.write('\n')


def _show(
    report: reports.Report,
    around: context.Context,
    *,
    as_json: bool,
) -> exit_codes.ExitCode:
    if as_json:
        around.write(reports.to_json(report))
    else:
        for line in report.lines():
            around.write(line)
    for complaint in report.diagnostics():
        around.write_error(complaint)
    return report.exit_code()


def _show_failure(
    problem: core_errors.SardinepierError,
    around: context.Context,
    *,
    as_json: bool,
) -> exit_codes.ExitCode:
    exit_code = exit_codes.ExitCode.INTERNAL
    if isinstance(problem, errors.CommandError):
        exit_code = problem.exit_code
    if as_json:
        around.write(
            reports.to_json(
                reports.Failure(
                    type(problem).__name__,
                    problem.what,
                    problem.remedy,
                    exit_code,
                ),
            ),
        )
    around.write_error(f'{_NAME}: {problem.what}. {problem.remedy}.')
    return exit_code


def _internal(problem: Exception) -> errors.CommandError:
    return errors.CommandError(
        f'The tool failed: {type(problem).__name__}: {problem}',
        'Please report this with the command line',
    )
