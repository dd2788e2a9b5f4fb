"""Base classes of all exceptions.

Every exception that the project raises is a subclass of
:class:`SardinepierError`, so that an embedding program can catch all of them.
Each states what went wrong and what to do about it.
"""


class SardinepierError(Exception):
    """Base of all exceptions, with a description and a remedy.

    ``what`` states what went wrong, ``remedy`` what the reader can do about
    it. Both are full sentences without the final full stop.
    """

    def __init__(self, what: str, remedy: str) -> None:
        """Store both sentences and join them into the message."""
        super().__init__(f'{what}. {remedy}.')
        self.what = what
        self.remedy = remedy


class InvalidArgumentError(SardinepierError):
    """A function was called with an invalid argument."""
