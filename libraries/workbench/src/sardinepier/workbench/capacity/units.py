"""The units of the figures, as the tables name them."""

from typing import Final

MICROSECONDS: Final = 'us'
BYTES: Final = 'bytes'
BYTES_PER_S: Final = 'bytes/s'
MESSAGES_PER_S: Final = 'messages/s'
MEGABYTES: Final = 'MB'
CORE_PERCENT: Final = '% of a core'
SECONDS: Final = 's'
