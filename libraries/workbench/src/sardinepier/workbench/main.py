"""The command ``sardinepier-workbench`` with all of its subcommands."""

import importlib
import sys
from collections.abc import Callable, Sequence
from typing import Final

import fire

from sardinepier.core import errors

_PROGRAM: Final = 'sardinepier-workbench'
_ERROR_CODE: Final = 2
_INTERRUPT_CODE: Final = 130
_HELP: Final = '--help'

_SUBCOMMANDS: Final = {
    ('traffic',): 'send bounded traffic and check the outcome of each request',
    ('bench',): 'measure the time that one daemon adds to a request',
    ('faults',): 'run the fault cases against real processes',
    ('experiment', 'detection'): 'compare detection time and false ejections',
    ('experiment', 'load'): 'compare ways to spread load',
    ('policy',): 'emulate the decisions of entry instances in virtual time',
}


class UnknownSubcommandError(errors.SardinepierError):
    """The first words of the command line name no subcommand."""


def main() -> None:
    """Run the command line; a typed error prints one line and exits with 2."""
    arguments = sys.argv[1:]
    if not arguments or arguments[0] == _HELP:
        sys.stdout.write(f'{_usage()}\n')
        return
    try:
        _dispatch(arguments)
    except errors.SardinepierError as error:
        sys.stderr.write(f'{error}\n')
        sys.exit(_ERROR_CODE)
    except KeyboardInterrupt:
        sys.exit(_INTERRUPT_CODE)


def _dispatch(arguments: Sequence[str]) -> None:
    for words in _SUBCOMMANDS:
        if tuple(arguments[: len(words)]) == words:
            remaining = list(arguments[len(words) :])
            if _HELP in remaining:
                # A function with arbitrary options would get this one too;
                # behind the separator, fire itself handles it.
                remaining = ['--', _HELP]
            name = ' '.join((_PROGRAM, *words))
            fire.Fire(_load(words), command=remaining, name=name)
            return
    raise UnknownSubcommandError(
        f'There is no subcommand {" ".join(arguments[:2])!r}',
        f'Run {_PROGRAM} {_HELP} for a list of all subcommands',
    )


def _load(words: Sequence[str]) -> Callable[..., None]:
    """Return the function of a subcommand.

    Only the requested subcommand is imported: some import numpy, matplotlib
    or the whole daemon, which would slow down the start of the others, and
    the demo starts this command several times.
    """
    module = importlib.import_module(
        f'sardinepier.workbench.{words[-1]}.command',
    )
    run: Callable[..., None] = module.run
    # Fire parses a name such as 5j as a number unless configured otherwise. It
    # lists its metadata attribute in every help text unless the name has an
    # underscore.
    fire.decorators.FIRE_METADATA = '_fire_metadata'
    text_options = getattr(module, 'TEXT_OPTIONS', ())
    fire.decorators.SetParseFns(**dict.fromkeys(text_options, str))(run)
    return run


def _usage() -> str:
    lines = [f'usage: {_PROGRAM} SUBCOMMAND [--help | options]', '']
    lines.extend(
        f'  {" ".join(words):<22}{purpose}'
        for words, purpose in _SUBCOMMANDS.items()
    )
    return '\n'.join(lines)
