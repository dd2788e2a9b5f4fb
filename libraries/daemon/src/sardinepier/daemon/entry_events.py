"""What an entry instance writes to the log about its own life."""

from sardinepier.telemetry import line_events


class Started(line_events.LineEvent, frozen=True):
    """The instance takes connections."""

    zone: str
    front: str
    peer: str


class Stopping(line_events.LineEvent, frozen=True):
    """SIGTERM came: not ready, out of the directory, requests are finished."""

    in_hand: int
    grace_s: float


class Stopped(line_events.LineEvent, frozen=True):
    """The instance is done; ``in_hand`` requests were cut off."""

    in_hand: int
    peer_messages_sent: int
    peer_bytes_sent: int


class ConfigurationInForce(line_events.LineEvent, frozen=True):
    """A newer configuration was taken."""

    version: int
    routes: int
    routes_of_unknown_kind: int


class MemberChanged(line_events.LineEvent, frozen=True):
    """Another daemon came, went or fell under suspicion."""

    change: str
    member: str


class SettingsReloaded(line_events.LineEvent, frozen=True):
    """The settings file changed; its seeds are in use, as many as stated."""

    seeds: int
