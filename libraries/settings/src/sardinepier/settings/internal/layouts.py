"""The sections that each kind of file has."""

from typing import Final

from sardinepier.settings.internal import checking, schema

FLEET: Final = checking.Layout(
    single={'fleet': schema.FleetSection},
    named={'zone': schema.ZoneSection},
)
SERVICE: Final = checking.Layout(
    single={
        'service': schema.ServiceSection,
        'shed-reply': schema.ShedReplySection,
    },
    named={'target': schema.TargetSection, 'route': schema.RouteSection},
)
INSTANCE: Final = checking.Layout(
    single={'instance': schema.InstanceSection},
    named={},
)
