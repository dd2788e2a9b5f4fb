"""The names that published files may have."""

import re
from typing import Final

from sardinepier.core import ids

FLEET: Final = ids.FileName('fleet')
_SERVICE_PREFIX: Final = 'service/'
_LONGEST: Final = 200
_SERVICE: Final = re.compile(r'service/[^\s/\x00-\x1f]+')


def is_known(name: str) -> bool:
    """Tell whether a file of this name is one of ours."""
    if name == FLEET:
        return True
    return len(name) <= _LONGEST and _SERVICE.fullmatch(name) is not None


def service_of(name: ids.FileName) -> ids.ServiceName:
    """Return the service which the file ``name`` describes."""
    return ids.ServiceName(name.removeprefix(_SERVICE_PREFIX))
