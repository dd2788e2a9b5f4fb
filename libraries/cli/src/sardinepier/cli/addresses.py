"""``sardinepier addresses``: the daemons that a caller should use."""

import msgspec
from sardinepier.cli import answers, client, context, endpoints, exit_codes
from sardinepier.cli.internal import tables


class AddressesReport(msgspec.Struct, frozen=True):
    """The addresses for one service and how long they are valid."""

    service: str
    addresses: tuple[answers.Address, ...]
    valid_s: float

    def lines(self) -> tuple[str, ...]:
        """Return a table of the addresses and how long they are valid."""
        if not self.addresses:
            return ()
        return (
            *tables.table(
                ('ADDRESS', 'ZONE', 'TICKET'),
                [
                    (f'{endpoint_of(address)}', address.zone, address.ticket)
                    for address in self.addresses
                ],
            ),
            f'good for {self.valid_s:g} s',
        )

    def diagnostics(self) -> tuple[str, ...]:
        """Return a message when there is no address."""
        if self.addresses:
            return ()
        return (
            f'No daemon serves {tables.plain(self.service)} now. '
            'Ask another daemon.',
        )

    def exit_code(self) -> exit_codes.ExitCode:
        """Return ``NEGATIVE`` when there is no address."""
        if self.addresses:
            return exit_codes.ExitCode.OK
        return exit_codes.ExitCode.NEGATIVE


def endpoint_of(address: answers.Address) -> endpoints.Endpoint:
    """Return the endpoint to connect to."""
    return endpoints.Endpoint(address.ip, address.port)


async def report(
    daemon: endpoints.Endpoint,
    service: str,
    zone: str,
    timeout_s: float,
    _: context.Context,
) -> AddressesReport:
    """Ask ``daemon`` for addresses.

    Raises the errors of ``client.DaemonClient.get``.
    """
    async with client.open_session(timeout_s) as session:
        answer = await client.DaemonClient(session).addresses(
            daemon,
            service,
            zone,
        )
    return AddressesReport(service, answer.addresses, answer.valid_s)
