"""What the daemons of one zone tell each other."""

import msgspec

from sardinepier.core import ids
from sardinepier.entry import model
from sardinepier.wire import messages


class TargetEstimate(msgspec.Struct, frozen=True, array_like=True):
    """What the sender believes of one target.

    ``failing`` is the chance, 0 to 1, that it fails now, ``age_ms`` how long
    ago its newest outcome was seen.
    """

    target_id: ids.TargetId
    failing: float
    age_ms: int


class StatementUpdate(msgspec.Struct, frozen=True, array_like=True):
    """What a target said of itself, ``age_ms`` ago.

    ``limit_per_s`` is None when it named no limit. One that leaves stays so.
    """

    target_id: ids.TargetId
    age_ms: int
    limit_per_s: float | None = None
    is_leaving: bool = False


class Load(msgspec.Struct, frozen=True, array_like=True):
    """What a carrier has to do.

    ``late_ms`` is how late its timers are, which grows when its processor
    has no time left. ``kbit_per_s`` is what it passes on, each way.
    """

    requests_per_s: int = 0
    late_ms: int = 0
    kbit_per_s: int = 0


class ZoneBeat(messages.Message, frozen=True):
    """Sent by those who carry the zone, at least once an interval.

    ``configuration_version`` and ``targets_revision`` are what the sender
    holds, -1 for nothing, and ``targets_digest`` tells lists with other
    targets apart. ``reading_age_ms`` is how long ago the sender asked the
    platform for a reading that it tells of, None when it tells of none.
    ``beliefs`` are those that changed since its last beat.
    ``hands_over`` says that the sender can't reach targets and that another
    daemon shall carry the zone for a while. ``carriers`` is how many there
    shall be, which counts when it comes from the first of them. ``stated`` is
    what targets said of themselves since its last beat.
    """

    configuration_version: int
    targets_revision: int
    targets_digest: int
    reading_age_ms: int | None = None
    beliefs: tuple[TargetEstimate, ...] = ()
    hands_over: bool = False
    load: Load = Load()
    carriers: int = 1
    stated: tuple[StatementUpdate, ...] = ()


class BeliefReport(messages.Message, frozen=True):
    """Beliefs and statements, from a daemon that does not beat to the reader.

    Daemons beside the carriers report what they saw to the carriers of their
    zone, and carriers report to those of other zones. ``of_zone`` names the zone
    that a report came from when a neighbour passes it on.
    """

    beliefs: tuple[TargetEstimate, ...]
    of_zone: ids.ZoneName | None = None
    stated: tuple[StatementUpdate, ...] = ()


class ConfirmationRequest(messages.Message, frozen=True):
    """Asks how long ago the configuration was confirmed.

    ``asked_ms`` is a moment of the sender's clock, which comes back as it is.
    """

    asked_ms: int


class ConfirmationReply(messages.Message, frozen=True):
    """Tells that ``configuration_version`` was the newest ``age_ms`` ago.

    ``asked_ms`` is the one of the request. The answer was made after it, so
    that the receiver may take the moment of its own question less the age for
    that of the confirmation, however long the messages were on their way.
    """

    asked_ms: int
    age_ms: int
    configuration_version: int


class CustomerUsage(msgspec.Struct, frozen=True, array_like=True):
    """What the sender let through of one customer since its start.

    ``level`` is how many more requests it takes the limit to allow.
    """

    customer: ids.CustomerName
    spent: int
    level: int


class UsageNews(messages.Message, frozen=True):
    """All customers of whom the sender let any through since its last news.

    ``sends_regularly`` says that the sender tells again soon, with news or without.
    ``age_ms`` is how long ago it started to count.
    """

    usages: tuple[CustomerUsage, ...]
    sends_regularly: bool
    age_ms: int


class NewsRequest(messages.Message, frozen=True):
    """Asks for what is newer than the sender's own."""

    configuration_version: int
    targets_revision: int


class ConfigurationNews(messages.Message, frozen=True):
    """A whole configuration, packed by :mod:`sardinepier.zones.packing`."""

    packed: bytes


class TargetsNews(messages.Message, frozen=True):
    """A whole target list; ``reading_age_ms`` as for a beat."""

    targets: model.TargetList
    reading_age_ms: int | None = None


class TargetsChange(messages.Message, frozen=True):
    """What a reading changed of the list before it.

    The list with ``base_digest`` becomes that with ``digest``, at ``revision``,
    by the targets that are new or ``changed`` and those that are ``gone``.
    Whoever holds another list asks for the whole one. ``reading_age_ms`` as for
    a beat.
    """

    base_digest: int
    digest: int
    revision: int
    changed: tuple[model.ListedTarget, ...]
    gone: tuple[ids.TargetId, ...]
    reading_age_ms: int


KINDS = (
    ZoneBeat,
    BeliefReport,
    ConfirmationRequest,
    ConfirmationReply,
    UsageNews,
    NewsRequest,
    ConfigurationNews,
    TargetsNews,
    TargetsChange,
)
