"""Checks that each library declares exactly the packages that it imports.

In a shared environment a missing declaration goes unnoticed until somebody
installs a single library.
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
    top_level, _, rest = module.partition('.')
    if top_level == _NAMESPACE:
        return f'{_NAMESPACE}-{rest.partition(".")[0]}'
    return _DISTRIBUTIONS.get(top_level, top_level)


def _used_distributions(library: pathlib.Path) -> set[str]:
    modules = (
        module
        for path in (library / 'src').rglob('*.py')
        for module in _imported_modules(path)
        if module.partition('.')[0] not in sys.stdlib_module_names
    )
    own_distribution = f'{_NAMESPACE}-{library.name}'
    return {_distribution(module) for module in modules} - {own_distribution}


def _find_mismatches(library: pathlib.Path) -> Iterator[str]:
    text = (library / 'pyproject.toml').read_text()
    declared = set(tomllib.loads(text)['project']['dependencies'])
    used = _used_distributions(library)
    for name in sorted(used - declared):
        yield f'{library}: {name} is imported but not declared. Add it.'
    for name in sorted(declared - used):
        yield f'{library}: {name} is declared but not imported. Remove it.'


def main() -> None:
    """Print every mismatch and exit with 1 if there is any."""
    libraries = sorted(pathlib.Path('libraries').iterdir())
    mismatches = [
        mismatch
        for library in libraries
        for mismatch in _find_mismatches(library)
    ]
    sys.stdout.writelines(f'{mismatch}\n' for mismatch in mismatches)
    sys.exit(bool(mismatches))


if __name__ == '__main__':
    main()
