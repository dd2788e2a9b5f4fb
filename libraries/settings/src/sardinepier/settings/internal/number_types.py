"""Field types for numbers, each with its bounds and description."""

from typing import Annotated, Final

import pydantic

from sardinepier.settings.internal import kinds

MAX_PORT: Final = 65535
_MAX_COUNT: Final = 1_000_000
_MAX_MS: Final = 3_600_000
_MAX_S: Final = 86_400
_MAX_BUFFER_BYTES: Final = 67_108_864
_MAX_TABLE_BYTES: Final = 1_073_741_824
_MAX_CONNECTIONS: Final = 400
_MIN_ERROR_STATUS: Final = 400
_MAX_ERROR_STATUS: Final = 599

PortNumber = Annotated[
    int,
    kinds.Kind('a whole number', '8080'),
    pydantic.Field(ge=1, le=MAX_PORT),
]
SmallCount = Annotated[
    int,
    kinds.Kind('a whole number', '3'),
    pydantic.Field(ge=1, le=100),
]
Count = Annotated[
    int,
    kinds.Kind('a whole number', '3'),
    pydantic.Field(ge=1, le=_MAX_COUNT),
]
ConnectionCount = Annotated[
    int,
    kinds.Kind('a whole number', '32'),
    pydantic.Field(ge=1, le=_MAX_CONNECTIONS),
]
Milliseconds = Annotated[
    int,
    kinds.Kind('a whole number of milliseconds', '1000'),
    pydantic.Field(ge=1, le=_MAX_MS),
]
Seconds = Annotated[
    float,
    kinds.Kind('a number of seconds', '30'),
    pydantic.Field(gt=0, le=_MAX_S, allow_inf_nan=False),
]
Percent = Annotated[
    float,
    kinds.Kind('a percentage', '60'),
    pydantic.Field(ge=0, le=100, allow_inf_nan=False),
]
Rate = Annotated[
    float,
    kinds.Kind('a number', '0.05'),
    pydantic.Field(gt=0, le=_MAX_COUNT, allow_inf_nan=False),
]
BufferBytes = Annotated[
    int,
    kinds.Kind('a whole number of bytes', '1048576'),
    pydantic.Field(ge=1, le=_MAX_BUFFER_BYTES),
]
TableBytes = Annotated[
    int,
    kinds.Kind('a whole number of bytes', '33554432'),
    pydantic.Field(ge=1024, le=_MAX_TABLE_BYTES),
]
ErrorStatus = Annotated[
    int,
    kinds.Kind('an HTTP error status', '503'),
    pydantic.Field(ge=_MIN_ERROR_STATUS, le=_MAX_ERROR_STATUS),
]
