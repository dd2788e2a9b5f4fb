"""Distinct types for the identifiers of the fleet.

At run time each is a plain string or number. The types let the type checker
reject one kind of identifier where another is expected, for example a
:data:`DaemonId` instead of an :data:`InstanceId`.
"""

from typing import NewType

DaemonId = NewType('DaemonId', str)
"""The configured name of a daemon, which stays the same after a restart."""

InstanceId = NewType('InstanceId', str)
"""One start of a daemon, never reused: ``<daemon id>~<16 hex digits>``."""

TargetId = NewType('TargetId', str)
"""The name of a target, unique within its service."""

TargetIncarnation = NewType('TargetIncarnation', str)
"""One start of a target, as named in the platform's instance list."""

ServiceName = NewType('ServiceName', str)
RouteName = NewType('RouteName', str)
ZoneName = NewType('ZoneName', str)
RegionName = NewType('RegionName', str)

CallerId = NewType('CallerId', str)
"""The customer who sends a request, as named in the caller header."""

CustomerName = NewType('CustomerName', str)
"""A customer of the installation, as named in the configuration."""

FileName = NewType('FileName', str)
"""The name of a published settings file: ``fleet`` or ``service/<name>``."""

Revision = NewType('Revision', int)
"""The platform's revision of a file, which only increases."""
