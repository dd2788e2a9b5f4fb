"""Errors that claim that nothing ran, of requests that were sent.

Whether a request may be refused or sent again is counted from what was sent and
from what its receivers stated, and does not follow from the type of an error.
"""

import entry_support as support
import pytest
from sardinepier.entry import relay_messages
from sardinepier.gateway import errors, unsent
from sardinepier.routing import errors as routing_errors

CLAIMS = (
    errors.ConnectFailedError('', '', 0.1),
    errors.StaleConnectionError('', '', 0.1),
    errors.TargetLeftError('', '', 0.1),
    errors.TargetRestsError('', '', 0.1),
    unsent.NoDescriptorError('', '', 0.1),
    relay_messages.CutOffError('', '', 0.1),
    routing_errors.QueueFullError('', '', 0.1),
)


class FalseClaims:
    """Sends nothing, and claims so although the first byte was permitted."""

    def __init__(self, claim):
        self.claim = claim
        self.sent = 0

    async def open(self, *_, permit, **options):
        permit()
        self.sent += 1
        raise self.claim


# Guards against requests that ran twice, or were refused though they ran, as an
# error of any other cause was taken for a proof.
@pytest.mark.parametrize(
    'claim', CLAIMS, ids=lambda claim: type(claim).__name__
)
async def test_no_type_of_error_proves_that_a_sent_request_did_not_run(
    entry, claim, monkeypatch
):
    await entry.set_targets(support.RawTarget('t1'), support.RawTarget('t2'))
    claims = FalseClaims(claim)
    monkeypatch.setattr(entry.shared.client, 'open', claims.open)
    status, _, _ = await entry.send('/once/1', 'POST', b'payload')
    assert (status, claims.sent) == (502, 1)


@pytest.mark.parametrize(
    'claim', CLAIMS, ids=lambda claim: type(claim).__name__
)
async def test_no_type_of_error_proves_it_for_a_relayed_request(
    claim, monkeypatch
):
    target = support.RawTarget('t1')
    async with support.running_fleet(2) as (cut_off, peer):
        await peer.set_targets(target)
        await cut_off.lose_path_to(target)
        claims = FalseClaims(claim)
        monkeypatch.setattr(peer.shared.client, 'open', claims.open)
        status, _, _ = await cut_off.send('/once/1', 'POST', b'payload')
        assert (status, claims.sent) == (502, 1)


# Guards against a second peer that gets a request which the first may have run.
@pytest.mark.parametrize(
    'claim',
    [errors.ConnectFailedError, unsent.NoDescriptorError],
)
async def test_no_second_peer_gets_a_request_that_was_sent(claim, monkeypatch):
    target = support.RawTarget('t1')
    async with support.running_fleet(3) as (cut_off, *peers):
        for peer in peers:
            await peer.set_targets(target)
        await cut_off.lose_path_to(target)
        assert (await cut_off.send('/once/1', 'POST', b'first'))[0] == 200
        claims = FalseClaims(claim('', '', 0.1))
        monkeypatch.setattr(cut_off.shared.client, 'open', claims.open)
        status, _, _ = await cut_off.send('/once/1', 'POST', b'second')
        assert (status, claims.sent) == (502, 1)
