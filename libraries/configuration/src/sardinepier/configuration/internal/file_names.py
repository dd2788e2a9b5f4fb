"""The valid names of published files."""

import re
from typing import Final

from sardinepier.core import ids

FLEET: Final = ids.FileName('fleet')
_SERVICE_PREFIX: Final = 'service/'
_MAX_LENGTH: Final = 200
_SERVICE: Final = re.compile(r'service/[^\s/\x00-\x1f]+')


def is_valid(name: str) -> bool:
    """Return whether this is the name of a fleet or service file."""
    if name == FLEET:
        return True
    return len(name) <= _MAX_LENGTH and _SERVICE.fullmatch(name) is not None


def service_of(name: ids.FileName) -> ids.ServiceName:
    """Return the service that the file ``name`` describes."""
    return ids.ServiceName(name.removeprefix(_SERVICE_PREFIX))
