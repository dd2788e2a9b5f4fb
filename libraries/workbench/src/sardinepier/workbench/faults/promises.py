"""The promises of a fleet, and reports of broken ones."""

import enum

import msgspec


class Promise(enum.Enum):
    """A promise that a fault case can show to be broken."""

    AT_MOST_ONCE = 'a key runs at most once'
    NOT_RUN = 'what is said not to have run has not run'
    COMPLETED = 'what is said to be completed has run'
    OWN_ANSWER = 'callers get the whole answer to their own request'
    MARKED = 'each answer says what became of the request'
    NO_CUT = 'leaving gracefully cuts no request'
    ADDRESSES = 'addresses that were handed out stay good for their time'
    SERVES = 'callers still reach healthy targets'
    NO_REVERT = 'no daemon returns to an older revision'
    IN_FORCE = 'an accepted change comes into force everywhere'
    QUARANTINE = 'a request crashes two targets at most'
    LEAVING = 'a leaving target gets no new work after three seconds'
    WITNESS = 'the case has really shown its fault'


class BrokenPromise(msgspec.Struct, frozen=True):
    """A broken promise with the figures that prove it."""

    promise: Promise
    detail: str

    def __str__(self) -> str:
        """Return the promise and its detail as text."""
        return f'{self.promise.value}: {self.detail}'
