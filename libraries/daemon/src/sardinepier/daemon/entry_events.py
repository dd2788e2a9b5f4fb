"""Log events of the lifecycle of an entry instance."""

from sardinepier.telemetry import line_events


class Started(line_events.LineEvent, frozen=True):
    """The instance accepts connections."""

    zone: str
    front: str
    peer: str


class Stopping(line_events.LineEvent, frozen=True):
    """The instance received SIGTERM.

    It reports that it is not ready, leaves the address directory and finishes
    the requests in flight.
    """

    in_hand: int
    grace_s: float


class Stopped(line_events.LineEvent, frozen=True):
    """The instance has stopped.

    ``in_hand`` requests and ``connections_cut`` connections were cut off; of
    these, some may only have had an answer that its caller read slowly.
    """

    in_hand: int
    connections_cut: int
    peer_messages_sent: int
    peer_bytes_sent: int


class Traffic(line_events.LineEvent, frozen=True):
    """What the instance has sent to other daemons since it started.

    ``crossing_bytes`` and ``crossing_messages`` are those to other zones, by
    kind of message. ``crossing_overhead_bytes`` estimates what the transport
    added to these messages. ``unknown_zone_bytes`` went to daemons whose zone
    was not known yet. ``forwarded_crossing_bytes`` are requests to and answers
    from targets in other zones.
    """

    crossing_bytes: dict[str, int]
    crossing_messages: dict[str, int]
    crossing_overhead_bytes: int
    within_zone_bytes: int
    unknown_zone_bytes: int
    forwarded_crossing_bytes: int


class ConfigurationInForce(line_events.LineEvent, frozen=True):
    """The instance applied a newer configuration."""

    version: int
    routes: int
    routes_of_unknown_kind: int


class MemberChanged(line_events.LineEvent, frozen=True):
    """The membership state of another daemon changed."""

    change: str
    member: str


class SettingsReloaded(line_events.LineEvent, frozen=True):
    """The settings file changed; ``seeds`` peer addresses from it are in use."""

    seeds: int
