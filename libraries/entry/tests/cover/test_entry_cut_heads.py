"""A target that stops within the head of its answer and closes."""

import entry_support as support
import pytest

FRAMINGS = ('Content-Length: 16', 'Transfer-Encoding: chunked', 'Extra: 1')


class CutTarget(support.RawTarget):
    """Sends the first ``length`` bytes of its answers, and closes or resets."""

    def __init__(self, head, ending):
        super().__init__('cut', ['ok'])
        self.head = head
        self.length = 0
        self.ending = ending

    async def _answer(self, behaviour, headers, reader, writer):
        self.run_count += 1
        writer.write(self.head[: self.length])
        if self.ending == 'reset':
            await writer.drain()
            support.linger_off(writer)
        return False


# Guards against an answer that ended within its head and reached the caller as
# a whole one with an empty or short body.
@pytest.mark.parametrize('framing', FRAMINGS)
@pytest.mark.parametrize('ending', ['close', 'reset'])
@pytest.mark.parametrize('path', ['/once/1', '/books/1'])
async def test_an_answer_that_ends_within_its_head_is_none(
    entry, path, ending, framing
):
    head = support.answer('id', framed=False, extra=framing, body=b'')
    cut = CutTarget(head, ending)
    await entry.set_targets(cut)
    for length, _ in enumerate(head):
        cut.length = length
        status, headers, _ = await entry.send(
            path,
            'POST',
            # Requests that are alike would be quarantined together.
            b'%d' % length,
            **{support.NAMES.attempt_id: 'id'},
        )
        assert status in {502, 503}, head[:length]
        assert support.NAMES.signature not in headers
        ran = cut.run_count
        cut.run_count = 0
        assert status == 502 or not ran, head[:length]
