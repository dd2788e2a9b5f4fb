"""Finds the route of a request.

A route table is compiled once for each snapshot. A lookup walks a trie along
the segments of the path, so its time depends on the length of the path and
not on the number of routes:

    >>> table = routes.RouteTable(service.routes)
    >>> table.match('GET', '/theses/42').path
    '/theses/{id}'
"""

from collections.abc import Iterable
from typing import Final
from urllib import parse as url_parse

from sardinepier.settings import errors, model
from sardinepier.settings.internal import paths

# Targets interpret these differently inside a segment. A request that one
# target reads as `/{kind}` and another as `/deposits/new` could run twice.
_REJECTED_CHARACTERS: Final = frozenset('/\\')
_REJECTED_SEGMENTS: Final = frozenset(('.', '..'))


class _Node:
    """A trie node: all templates that begin with the same segments."""

    __slots__ = ('literals', 'parameter', 'route')

    def __init__(self) -> None:
        self.literals: dict[str, _Node] = {}
        self.parameter: _Node | None = None
        self.route: model.RouteSettings | None = None

    def child(self, segment: str | None) -> '_Node':
        """Return the child for one more segment; create it if missing."""
        if segment is not None:
            return self.literals.setdefault(segment, _Node())
        if self.parameter is None:
            self.parameter = _Node()
        return self.parameter


class RouteTable:
    """The compiled, immutable routes of one service.

    At each segment a literal takes precedence over a ``{name}``, and a
    ``{name}`` never matches an empty segment. When the branch of the literal
    has no match, the lookup tries the ``{name}`` of the same node. It
    therefore visits at most two nodes for each node one segment earlier,
    whatever the number of routes.
    """

    def __init__(self, routes: Iterable[model.RouteSettings]) -> None:
        """Compile validated routes.

        Raises ``DuplicateRouteError`` when two routes have the same method
        and the same path apart from the names in braces.
        """
        self._roots: dict[str, _Node] = {}
        for route in routes:
            self._add(route)

    def match(self, method: str, path: str) -> model.RouteSettings | None:
        """Return the route of a request, or ``None`` without a match.

        ``path`` is the path below the service's name as the caller sent it:
        percent-encoded, with its leading slash, without query. Segments are
        decoded one by one, so ``/%64eposits`` matches the route of
        ``/deposits``. A path with ``.`` or ``..`` as a segment, an encoded
        slash or a backslash matches no route, because targets interpret such
        paths differently.
        """
        root = self._roots.get(method)
        segments = _segments(path)
        if root is None or segments is None:
            return None
        return _find(root, segments, 0)

    def methods_for(self, path: str) -> tuple[str, ...]:
        """Return the methods that the path supports, in alphabetical order.

        Without any, the path itself is unknown (404). Otherwise a 405 response
        lists these methods.
        """
        segments = _segments(path)
        if segments is None:
            return ()
        return tuple(
            method
            for method in sorted(self._roots)
            if _find(self._roots[method], segments, 0) is not None
        )

    def _add(self, route: model.RouteSettings) -> None:
        node = self._roots.setdefault(route.method, _Node())
        for segment in paths.parse(route.path).segments:
            node = node.child(segment)
        if node.route is not None:
            raise errors.DuplicateRouteError(
                f'Routes `{node.route.name}` and `{route.name}` have the '
                f'same method and path',
                'Build the table from checked settings only',
            )
        node.route = route


def _segments(path: str) -> list[str] | None:
    if not path.startswith('/') or path.count('/') > paths.MAX_SEGMENTS:
        return None
    segments = path[1:].split('/')
    if '%' in path:
        segments = [url_parse.unquote(segment) for segment in segments]
    if any(_is_rejected(segment) for segment in segments):
        return None
    return segments


def _is_rejected(segment: str) -> bool:
    if segment in _REJECTED_SEGMENTS:
        return True
    return not _REJECTED_CHARACTERS.isdisjoint(segment)


def _find(
    node: _Node,
    segments: list[str],
    position: int,
) -> model.RouteSettings | None:
    if position == len(segments):
        return node.route
    segment = segments[position]
    literal = node.literals.get(segment)
    if literal is not None:
        route = _find(literal, segments, position + 1)
        if route is not None:
            return route
    if node.parameter is None or not segment:
        return None
    return _find(node.parameter, segments, position + 1)
