"""The experiment's cases as tables: a name, then fields with values."""

from typing import Final, TypeVar

import msgspec

_Case = TypeVar('_Case')

_COMMON_FIELDS: Final = (
    'daemons=9 route_ms=12,20,35,60,110 spread=0.5 timeout_ms=2000 '
    'failure_share=0.001 pause_every_s=60 longest_pause_ms=150'
)

SERVICES: Final = f"""
search    | targets=6  slots=3 {_COMMON_FIELDS}
deposit   | targets=14 slots=3 {_COMMON_FIELDS}
metadata  | targets=16 slots=3 {_COMMON_FIELDS}
checklist | targets=6  slots=2 {_COMMON_FIELDS}
posting   | targets=14 slots=2 {_COMMON_FIELDS}
reporting | targets=14 slots=2 {_COMMON_FIELDS}
"""

LOADS: Final = """
quiet | load=0.02
30%   | load=0.3
70%   | load=0.7
95%   | load=0.95
"""

HEALTHY_TRAFFIC: Final = """
steady           | load=0.3
bursty           | load=0.6 bursts=true
overloaded       | load=1.2
cold starts      | load=0.5 replaced_every_s=45
all slow at once | load=0.2 whole_service_slow_every_s=30
quiet            | load=0.02
"""

FAULTS: Final = """
slow 2x              | effect=slow amount=2
slow 5x              | effect=slow amount=5
slow 20x             | effect=slow amount=20
5% errors            | effect=fail amount=0.05
30% errors           | effect=fail amount=0.3
100% errors          | effect=fail amount=1
30% wrong            | effect=wrong amount=0.3
hang                 | effect=hang
hang, lagging load   | effect=hang load_lag_s=3
slow 5x, probes true | effect=slow amount=5 probes=honest
flap 1 s, errors     | effect=fail amount=1 period_s=1
flap 10 s, errors    | effect=fail amount=1 period_s=10
flap 2 min, hang     | effect=hang period_s=120
probes bad           | effect=nothing probes=always-bad sick=false
lagging load         | effect=nothing load_lag_s=3 sick=false
cut to 1 daemon      | effect=cut cut_daemons=1 sick=false
cut to 1 zone        | effect=cut cut_daemons=3 sick=false
gray daemon          | effect=gray-daemon sick=false
all slow 5x          | effect=all-slow amount=5 sick=false
overload             | effect=overload amount=5 sick=false
cold start           | effect=replaced sick=false
crashing request     | effect=crashing-request sick=false
"""
"""``overload`` multiplies the load: 30% becomes 150% of the capacity."""


def parse(kind: type[_Case], table: str) -> tuple[_Case, ...]:
    """Return one case per line of the table, checked against its type.

    For example ``quiet | load=0.02`` is a ``Traffic`` named ``quiet``.
    """
    cases = []
    for line in table.strip().splitlines():
        name, _, fields = line.partition('|')
        case: dict[str, object] = {'name': name.strip()}
        for field in fields.split():
            key, _, text = field.partition('=')
            case[key] = text.split(',') if ',' in text else text
        cases.append(msgspec.convert(case, kind, strict=False))
    return tuple(cases)
