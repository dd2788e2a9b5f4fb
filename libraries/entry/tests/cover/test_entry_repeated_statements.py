"""Copies of what a target stated about an earlier attempt of the same request.

All attempts of a request bear its id, so that the id does not tell to which of
them an answer belongs.
"""

import entry_support as support
import pytest
from sardinepier.entry import model

NAME = 'id-1'


class RepeatingTarget(support.RawTarget):
    """Refuses its first request, and repeats that late on the connection."""

    def __init__(self, name, refusal):
        super().__init__(name, [refusal, 'ok'])
        self.refused_on = None
        self.refusal = support.ANSWERS[refusal](NAME)

    async def _answer(self, behaviour, headers, reader, writer):
        if self.refused_on is None:
            self.refused_on = writer
        elif self.refused_on is writer:
            writer.write(self.refusal)
        return await super()._answer(behaviour, headers, reader, writer)


# Guards against requests that ran twice, or were refused though they ran, as
# the refusal of an earlier attempt was believed of a later one. An address is
# listed twice while another target takes it over.
@pytest.mark.parametrize('refusal', ['shed', 'other'])
async def test_a_refusal_is_believed_of_one_attempt(entry, refusal):
    target = RepeatingTarget('t1', refusal)
    await target.start()
    entry.targets = [target]
    entry.shared.services.offer_targets(
        model.TargetList(
            1,
            tuple(
                support.listed(name, target.port) for name in ('t1', 't2', 't3')
            ),
        )
    )
    status, headers, _ = await entry.send(
        '/once/1', 'POST', b'payload', **{support.NAMES.attempt_id: NAME}
    )
    assert target.run_count == 1
    assert status == 200
    assert headers[support.NAMES.signature] == f'proof-of-{NAME}'
