"""Heads of a target whose status is none of an answer in HTTP.

HTTP/1.1 has the statuses 100 to 599. No upgrade is asked for, so that 101 is no
answer either.
"""

import entry_support as support
import pytest

NO_STATUSES = ('000', '001', '099', '101', '600', '999')


def odd_head(status, *lines):
    """Return a head that states that nothing ran, and looks signed."""
    stated = (
        f'HTTP/1.1 {status} Odd',
        f'{support.NAMES.not_run}: 1',
        f'{support.NAMES.signature}: proof-of-nobody',
        *lines,
    )
    return '\r\n'.join((*stated, '', '')).encode()


async def send_series(entry, path):
    """Send requests on kept connections; return the answers by id."""
    answers = {}
    for number in range(6):
        name = f'id-{number}'
        status, headers, _ = await entry.send(
            path, 'POST', b'payload', **{support.NAMES.attempt_id: name}
        )
        answers[name] = (status, headers.get(support.NAMES.signature))
    return answers


# Guards against requests that ran twice, as a head without their id and with a
# status below 200 was believed that nothing ran.
@pytest.mark.parametrize('framing', ['Content-Length: 0', 'Extra: 1'])
@pytest.mark.parametrize('path', ['/once/1', '/books/1'])
@pytest.mark.parametrize('status', [*NO_STATUSES, '100', '103', '199'])
async def test_a_head_without_the_id_proves_nothing(
    entry, status, path, framing
):
    odd = odd_head(status, framing)
    await entry.set_targets(
        support.RawTarget('bad', [lambda echo: odd + support.answer(echo)]),
        support.RawTarget('good'),
    )
    answers = await send_series(entry, path)
    for name, (answered, proof) in answers.items():
        assert answered in {200, 502}
        assert answered == 502 or proof == f'proof-of-{name}'
    assert path != '/once/1' or entry.run_count == len(answers)


# Guards against refusals of requests that ran, and against callers that get a
# status that is none: the id alone makes no answer of such bytes.
@pytest.mark.parametrize('status', NO_STATUSES)
async def test_a_head_with_the_id_and_no_status_of_an_answer_proves_nothing(
    entry, status
):
    name = support.NAMES.attempt_id
    await entry.set_targets(
        support.RawTarget(
            'bad',
            [
                lambda echo: odd_head(
                    status, f'{name}: {echo}', 'Content-Length: 0'
                )
            ],
        )
    )
    answers = await send_series(entry, '/once/1')
    assert {answered for answered, _ in answers.values()} == {502}
    assert entry.run_count == len(answers)
