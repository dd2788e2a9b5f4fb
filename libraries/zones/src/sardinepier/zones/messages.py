"""Messages that the daemons of a zone, and carriers of all zones, exchange."""

from typing import Final

import msgspec

from sardinepier.core import ids
from sardinepier.entry import model
from sardinepier.once import marks
from sardinepier.wire import messages


class TargetEstimate(msgspec.Struct, frozen=True, array_like=True):
    """The sender's failure estimate of one target.

    ``failing`` is the probability, 0 to 1, that it fails now, and ``age_ms``
    the age of the newest outcome that was observed. ``refusing`` is the
    probability, 0 to 1, that it sheds a request sent now, 0 if that is not
    reported.
    """

    target_id: ids.TargetId
    failing: float
    age_ms: int
    refusing: float = 0.0


class StatementUpdate(msgspec.Struct, frozen=True, array_like=True):
    """What a target stated of itself ``age_ms`` ago.

    ``limit_per_s`` is None if it named no limit. ``is_leaving`` is never
    revoked.
    """

    target_id: ids.TargetId
    age_ms: int
    limit_per_s: float | None = None
    is_leaving: bool = False


class Load(msgspec.Struct, frozen=True, array_like=True):
    """The load of a carrier.

    ``late_ms`` is the delay of its timers, which grows when its processor is
    saturated. ``kbit_per_s`` is the traffic that it forwards, each way.
    """

    requests_per_s: int = 0
    late_ms: int = 0
    kbit_per_s: int = 0


class ZoneBeat(messages.Message, frozen=True):
    """Heartbeat of a carrier to its zone, at least once an interval.

    ``configuration_version`` and ``targets_revision`` are the sender's current
    ones, -1 without any, and ``targets_digest`` distinguishes lists with
    different targets. ``snapshot_age_ms`` is how long ago the sender requested
    the platform snapshot that it announces, None if it announces none.
    ``estimates`` are those that changed since the sender's last heartbeat.
    ``hands_over`` says that the sender can't reach targets and that another
    daemon is to carry the zone for a while. ``carrier_count`` is the intended
    number of carriers, which applies if the sender is the first of them.
    ``statements`` are those of targets since the sender's last heartbeat.
    """

    configuration_version: int
    targets_revision: int
    targets_digest: int
    snapshot_age_ms: int | None = None
    estimates: tuple[TargetEstimate, ...] = ()
    hands_over: bool = False
    load: Load = Load()
    carrier_count: int = 1
    statements: tuple[StatementUpdate, ...] = ()


class BeliefReport(messages.Message, frozen=True):
    """Estimates and statements, for receivers without the sender's heartbeats.

    Non-carriers report to the carriers of their zone, and first carriers to
    those of other zones. ``of_zone`` names the zone that a report came from if
    a daemon of the receiver's own zone forwards it. ``is_cut_off`` says that the
    sender, a first carrier, can't connect to any target.
    """

    estimates: tuple[TargetEstimate, ...]
    of_zone: ids.ZoneName | None = None
    statements: tuple[StatementUpdate, ...] = ()
    is_cut_off: bool = False


class ConfirmationRequest(messages.Message, frozen=True):
    """Requests how long ago the configuration was confirmed.

    ``requested_ms`` is the time by the sender's clock; the reply repeats it.
    """

    requested_ms: int


class ConfirmationReply(messages.Message, frozen=True):
    """Confirms that ``configuration_version`` was the newest ``age_ms`` ago.

    ``requested_ms`` is copied from the request. As the reply is made after the
    request, ``requested_ms`` less ``age_ms`` is a safe time of the confirmation
    by the requester's clock, whatever the delay of the messages.
    """

    requested_ms: int
    age_ms: int
    configuration_version: int


class WaitingRequests(msgspec.Struct, frozen=True, array_like=True):
    """The sender's requests of one customer and priority that want a token.

    ``waiting`` of them wait, and ``arrivals_in_ten_s`` arrive in ten seconds at
    the present rate.
    """

    priority: int
    waiting: int
    arrivals_in_ten_s: int


class CustomerUsage(msgspec.Struct, frozen=True, array_like=True):
    """The requests of one customer that the sender admitted since its start.

    ``level`` is how many more requests the limit allows by its count.
    ``waiting`` is empty unless requests of the customer waited recently.
    """

    customer: ids.CustomerName
    spent: int
    level: int
    waiting: tuple[WaitingRequests, ...] = ()


class UsageNews(messages.Message, frozen=True):
    """The usage of all customers with requests admitted since the last message.

    ``sends_regularly`` says that the sender sends its next message soon, with
    new usage or without. ``age_ms`` is how long ago it started to count.
    ``names_digest`` identifies the names of the limited customers that the
    sender has. With ``is_indexed`` each usage has the index of its customer
    among these names in place of the name.
    """

    usages: tuple[CustomerUsage, ...]
    sends_regularly: bool
    age_ms: int
    names_digest: int = 0
    is_indexed: bool = False


class WaitingCount(msgspec.Struct, frozen=True, array_like=True):
    """How many requests of a priority wait for a service at the sender.

    ``service`` is its index among the sorted names of the services that have
    targets.
    """

    service: int
    priority: int
    count: int


class SlotUse(messages.Message, frozen=True):
    """The sender's requests in flight at targets, and those that wait.

    ``targets_digest`` names the target list by whose indices ``in_flight`` and
    ``waiting`` name targets and services. ``in_flight`` is packed by
    :mod:`sardinepier.zones.slot_packing`. A full report replaces the earlier
    ones of its sender; any other has the counts that changed since the report
    with the ``sequence`` number before, and confirms the others. The sequence
    numbers wrap around at ``SEQUENCE_NUMBERS``.
    """

    targets_digest: int
    sequence: int
    is_full: bool
    in_flight: bytes = b''
    waiting: tuple[WaitingCount, ...] = ()


class QuarantineUpdate(messages.Message, frozen=True):
    """Marks of requests that crash targets, of the sender or a whole zone."""

    report: marks.QuarantineReport


SEQUENCE_NUMBERS: Final = 128
"""Numbers below this take one byte. A report that is lost with the 127 after it
has expired long before."""


class NewsRequest(messages.Message, frozen=True):
    """Requests configuration and targets newer than these versions."""

    configuration_version: int
    targets_revision: int


class ConfigurationNews(messages.Message, frozen=True):
    """A whole configuration, packed by :mod:`sardinepier.zones.packing`."""

    packed: bytes


class TargetsNews(messages.Message, frozen=True):
    """A whole target list; ``snapshot_age_ms`` as in ``ZoneBeat``."""

    targets: model.TargetList
    snapshot_age_ms: int | None = None


class TargetsChange(messages.Message, frozen=True):
    """The difference between a platform snapshot and the target list before it.

    ``changed`` holds new and changed targets, ``gone`` the removed ones.
    Applied to the list with ``base_digest`` they result in the list with
    ``digest`` at ``revision``. A receiver with any other list requests the
    whole one. ``snapshot_age_ms`` as in ``ZoneBeat``.
    """

    base_digest: int
    digest: int
    revision: int
    changed: tuple[model.ListedTarget, ...]
    gone: tuple[ids.TargetId, ...]
    snapshot_age_ms: int


class PathQuery(messages.Message, frozen=True):
    """Requests that the receiver check its paths to the targets."""


class PathReport(messages.Message, frozen=True):
    """Whether the sender, which has just tried, can't connect to any target."""

    is_cut_off: bool


KINDS = (
    ZoneBeat,
    BeliefReport,
    ConfirmationRequest,
    ConfirmationReply,
    UsageNews,
    SlotUse,
    QuarantineUpdate,
    NewsRequest,
    ConfigurationNews,
    TargetsNews,
    TargetsChange,
    PathQuery,
    PathReport,
)
