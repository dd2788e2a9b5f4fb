"""Checks that each library declares exactly the packages that it imports.

In one shared environment a missing declaration goes unnoticed: whoever embeds
a single library would be the first to find it.
"""

import ast
import pathlib
import sys
import tomllib
from collections.abc import Iterator
from typing import Final

_NAMESPACE: Final = 'sardinepier'
_DISTRIBUTIONS: Final = {
    'annotated_types': 'annotated-types',
    'hdrh': 'hdrhistogram',
    'zmq': 'pyzmq',
}


def _imported_modules(path: pathlib.Path) -> Iterator[str]:
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            yield from _from_modules(node)


def _from_modules(node: ast.ImportFrom) -> Iterator[str]:
    if node.module == _NAMESPACE:
        yield from (f'{_NAMESPACE}.{alias.name}' for alias in node.names)
    elif node.module:
        yield node.module


def _distribution(module: str) -> str:
    top, _, rest = module.partition('.')
    if top == _NAMESPACE:
        return f'{_NAMESPACE}-{rest.partition(".")[0]}'
    return _DISTRIBUTIONS.get(top, top)


def _used(library: pathlib.Path) -> set[str]:
    modules = (
        module
        for path in (library / 'src').rglob('*.py')
        for module in _imported_modules(path)
        if module.partition('.')[0] not in sys.stdlib_module_names
    )
    own = f'{_NAMESPACE}-{library.name}'
    return {_distribution(module) for module in modules} - {own}


def _problems(library: pathlib.Path) -> Iterator[str]:
    text = (library / 'pyproject.toml').read_text()
    declared = set(tomllib.loads(text)['project']['dependencies'])
    used = _used(library)
    for name in sorted(used - declared):
        yield f'{library}: {name} is imported but not declared. Add it.'
    for name in sorted(declared - used):
        yield f'{library}: {name} is declared but not imported. Remove it.'


def main() -> None:
    """Print every mismatch, and end with 1 if there is any."""
    libraries = sorted(pathlib.Path('libraries').iterdir())
    problems = [
        problem for library in libraries for problem in _problems(library)
    ]
    sys.stdout.writelines(f'{problem}\n' for problem in problems)
    sys.exit(bool(problems))


if __name__ == '__main__':
    main()
