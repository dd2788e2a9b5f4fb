"""The root of the tree of errors.

Every failure that the project raises is a subclass of
:class:`SardinepierError`, so that an embedder can catch all of them at once.
Each error says what was wrong and what to do about it.
"""


class SardinepierError(Exception):
    """A failure with its cause and its remedy.

    ``what`` states the fact that was found, ``remedy`` what the reader can do
    about it. Both are full sentences without a final full stop.
    """

    def __init__(self, what: str, remedy: str) -> None:
        """Keep both sentences and join them into the message."""
        super().__init__(f'{what}. {remedy}.')
        self.what = what
        self.remedy = remedy


class InvalidArgumentError(SardinepierError):
    """A function was called with an argument outside its stated range."""
