"""What the parts of one daemon's request path share."""

import dataclasses

from sardinepier.core import clock as clocks
from sardinepier.entry import (
    decisions,
    dialect,
    held_bytes,
    measures,
    services,
)
from sardinepier.gateway import client, in_hand
from sardinepier.once import quarantine


@dataclasses.dataclass(frozen=True, slots=True)
class EntryContext:
    """The collaborators of the request path.

    ``services`` holds the newest configuration with the targets in use,
    ``decisions`` writes the log lines and ``measures`` keeps the numbers.
    ``held_bytes`` bounds what is kept of answers.
    """

    clock: clocks.Clock
    names: dialect.HeaderNames
    client: client.TargetClient
    services: services.Services
    quarantine: quarantine.Quarantine
    activity: in_hand.InHand
    decisions: decisions.Decisions
    measures: measures.Measures
    held_bytes: held_bytes.HeldBytes
