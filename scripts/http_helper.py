"""The little HTTP that the scripts need, so that they need no curl.

    python http_helper.py post URL BODY
    python http_helper.py await URL TEXT SECONDS

``await`` asks until the answer has status 200 and holds TEXT.
"""

import sys
import time
from urllib import request as url_requests

_POLL_S = 0.1
_TIMEOUT_S = 2


def post(url: str, body: str) -> int:
    """Send ``body`` and return 0 when the answer was a success."""
    request = url_requests.Request(url, data=body.encode(), method='POST')
    try:
        url_requests.urlopen(request, timeout=_TIMEOUT_S).close()
    except OSError as error:
        sys.stderr.write(f'POST {url} failed: {error}\n')
        return 1
    return 0


def await_text(url: str, text: str, limit_s: str) -> int:
    """Return 0 once ``url`` answers with ``text``, 1 when time is up."""
    deadline_s = time.monotonic() + float(limit_s)
    last = 'no answer'
    while time.monotonic() < deadline_s:
        last = read(url)
        if text in last:
            return 0
        time.sleep(_POLL_S)
    sys.stderr.write(f'{url} did not show {text!r} in time: {last}\n')
    return 1


def read(url: str) -> str:
    """Return the answer's body, or what went wrong."""
    try:
        with url_requests.urlopen(url, timeout=_TIMEOUT_S) as answer:
            return answer.read().decode(errors='replace')
    except OSError as error:
        return f'failed: {error}'


if __name__ == '__main__':
    actions = {'post': post, 'await': await_text}
    sys.exit(actions[sys.argv[1]](*sys.argv[2:]))
