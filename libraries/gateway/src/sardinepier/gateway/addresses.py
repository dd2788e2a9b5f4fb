"""The page that lists the daemons to use for a service, and for how long."""

from typing import Final

import msgspec
from aiohttp import web_request, web_response

from sardinepier.core import ids, outcomes
from sardinepier.gateway import context as contexts
from sardinepier.gateway import headers, refusals
from sardinepier.membership import groups, members
from sardinepier.once import tickets
from sardinepier.settings import model

PATH: Final = '/v1/addresses'

_RETRY_AFTER_S: Final = 1.0


class Address(msgspec.Struct, frozen=True):
    """The address of a daemon, with a ticket for non-idempotent requests."""

    ip: str
    port: int
    zone: ids.ZoneName
    ticket: str


class AddressesAnswer(msgspec.Struct, frozen=True):
    """The body of the answer: addresses to use for ``valid_s`` seconds."""

    addresses: tuple[Address, ...]
    valid_s: float


class Addresses:
    """Selects addresses from this daemon's view of the fleet."""

    def __init__(self, context: contexts.GatewayContext) -> None:
        """Use the collaborators in ``context``."""
        self._context = context

    async def handle(
        self,
        request: web_request.BaseRequest,
    ) -> web_response.StreamResponse:
        """Answer ``GET /v1/addresses?service=S[&zone=Z]``."""
        configuration = self._context.configuration()
        if configuration is None:
            raise refusals.NotConfiguredError(
                'This daemon has no settings yet',
                'Send the request again, or to another daemon',
                _RETRY_AFTER_S,
            )
        name = ids.ServiceName(request.query.get('service', ''))
        settings = configuration.services.get(name)
        if settings is None:
            raise refusals.UnknownServiceError(
                'The parameter service is not the name of a service',
                'Request /v1/addresses?service=<name of the service>',
            )
        zone = ids.ZoneName(request.query.get('zone', ''))
        answer = self.choose(configuration.fleet, settings, zone)
        return web_response.Response(
            body=msgspec.json.encode(answer),
            content_type='application/json',
            headers={headers.OUTCOME: outcomes.Outcome.COMPLETED.value},
        )

    def choose(
        self,
        fleet: model.FleetSettings,
        settings: model.ServiceSettings,
        zone: ids.ZoneName,
    ) -> AddressesAnswer:
        """Return addresses of the service's group, those in ``zone`` first.

        Raises ``NoTargetError`` if this daemon is leaving and knows no other.
        """
        chosen = self._serving(settings)
        # The sort by zone is stable and keeps the random order within a zone.
        self._context.random_source.shuffle(chosen)
        chosen.sort(key=lambda member: member.zone != zone)
        if not chosen:
            raise refusals.NoTargetError(
                'This daemon is leaving and knows no other daemon',
                'Send the request to another daemon',
                _RETRY_AFTER_S,
            )
        count = fleet.addresses_per_answer
        return AddressesAnswer(
            tuple(self._address(member) for member in chosen[:count]),
            fleet.addresses_valid_s,
        )

    def _serving(self, settings: model.ServiceSettings) -> list[members.Member]:
        group = groups.service_group(
            self._context.view,
            settings.name,
            settings.group_daemons_per_zone,
        )
        chosen = [member for member in group if not self._is_leaving(member)]
        if chosen:
            return chosen
        # The whole fleet is only a fallback: a scan of it in each answer would
        # cost more than everything else.
        serving = self._context.view.serving()
        return [member for member in serving if not self._is_leaving(member)]

    def _is_leaving(self, member: members.Member) -> bool:
        own = self._context.own
        return self._context.activity.is_draining and member.instance_id == own

    def _address(self, member: members.Member) -> Address:
        context = self._context
        is_own = member.instance_id == context.own
        ticket = tickets.mint(
            member.instance_id,
            context.started_at_s if is_own else member.started_at_s,
            context.ledger.epoch_s,
            context.clock,
            context.random_source,
        )
        return Address(
            member.http_ip,
            member.http_port,
            member.zone,
            tickets.format_ticket(ticket),
        )
