"""An answer that is cut off within its head, and the next answer behind it.

The parser reads both as one head: the last line of the first answer goes on with
the status line of the second.
"""

import entry_support as support
import pytest

CUT_OFF = {
    'shed': ('503 Full', f'{support.NAMES.not_run}: 1'),
    'rate limited': ('429 Slow Down', f'{support.NAMES.not_run}: 1'),
    'other target': ('421 Misdirected Request', 'Extra: 1'),
    'success': ('200 OK', f'{support.NAMES.signature}: proof-of-another'),
    'interim': ('100 Continue', 'Extra: 1'),
}
"""The status and a header of each answer that is cut off."""


def beginnings(kind):
    """Return the head of an answer without an id, cut off after each byte."""
    status, extra = CUT_OFF[kind]
    head = f'HTTP/1.1 {status}\r\n{extra}\r\nDate: today\r\n'.encode()
    return [head[:length] for length in range(1, len(head) + 1)]


def before(beginning, status):
    """Return a behaviour: ``beginning``, then the answer with ``status``."""
    return lambda echo: beginning + support.answer(echo, status)


# Guards against requests that ran twice, as a head with the status and the mark
# of one answer and the id of another was believed that nothing ran.
@pytest.mark.parametrize('status', ['200 OK', '500 Bad'])
@pytest.mark.parametrize('kind', CUT_OFF)
async def test_two_answers_in_one_head_are_no_answer(entry, kind, status):
    for number, beginning in enumerate(beginnings(kind)):
        bad = support.RawTarget('bad', [before(beginning, status)])
        good = support.RawTarget('good')
        await entry.set_targets(bad, good)
        served = 0
        for name in (f'{number}-1', f'{number}-2'):
            answered, headers, _ = await entry.send(
                '/once/1',
                'POST',
                b'payload',
                **{support.NAMES.attempt_id: name},
            )
            assert answered in {200, 502}, beginning
            proof = headers.get(support.NAMES.signature, '')
            assert answered == 502 or proof == f'proof-of-{name}', beginning
            served += answered == 200
        assert served == good.run_count, beginning
        assert bad.run_count + good.run_count == 2, beginning


async def test_a_field_with_a_version_and_an_address_is_no_second_answer(entry):
    # Guards against answers that were rejected for a proxy before the target.
    target = support.RawTarget(
        't1', [support.with_headers('Via: HTTP/1.1 127.0.0.1:80')]
    )
    await entry.set_targets(target)
    assert (await entry.send('/once/1', 'POST', b'payload'))[0] == 200
