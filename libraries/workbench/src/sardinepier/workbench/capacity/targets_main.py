"""Many stand-in targets in one process, so that a fleet has whole services.

Started by ``scripts/capacity.sh``::

    python -m sardinepier.workbench.capacity.targets_main DIRECTORY COUNT
"""

import asyncio
import pathlib
import random
import sys
from typing import Final

from sardinepier.core import clock
from sardinepier.standins import target_settings, target_standin

_IP: Final = '127.0.0.1'
_SLOTS: Final = 1000
_SERVICE_MS: Final = 2.0


async def serve(directory: pathlib.Path, count: int) -> None:
    """Serve for ever; write the port of target n into the file ``t<n>``."""
    time_source = clock.SystemClock()
    for number in range(1, count + 1):
        name = f't{number:03}'
        habits = target_settings.TargetStandinSettings(
            name,
            slots=_SLOTS,
            service_ms=_SERVICE_MS,
        )
        standin = target_standin.TargetStandin(
            habits,
            time_source,
            random.Random(number),
        )
        port = await standin.start(_IP, 0)
        (directory / name).write_text(f'{port}\n')
    (directory / 'targets').write_text('all\n')
    await asyncio.Event().wait()


if __name__ == '__main__':
    asyncio.run(serve(pathlib.Path(sys.argv[1]), int(sys.argv[2])))
