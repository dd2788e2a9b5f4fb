"""HTTP requests for the scripts, so that they do not depend on curl.

    python http_helper.py post URL BODY
    python http_helper.py await URL TEXT SECONDS

``await`` repeats the request until a response has status 200 and contains TEXT.
"""

import sys
import time
from urllib import request as url_requests

_POLL_S = 0.1
_TIMEOUT_S = 2


def post(url: str, body: str) -> int:
    """Send ``body``; return 0 on success and 1 on failure."""
    request = url_requests.Request(url, data=body.encode(), method='POST')
    try:
        url_requests.urlopen(request, timeout=_TIMEOUT_S).close()
    except OSError as error:
        sys.stderr.write(f'POST {url} failed: {error}\n')
        return 1
    return 0


def await_text(url: str, text: str, limit_s: str) -> int:
    """Return 0 once ``url`` responds with ``text``, 1 after ``limit_s``."""
    deadline_s = time.monotonic() + float(limit_s)
    last_body = 'no response'
    while time.monotonic() < deadline_s:
        last_body = read(url)
        if text in last_body:
            return 0
        time.sleep(_POLL_S)
    sys.stderr.write(f'{url} did not return {text!r} in time: {last_body}\n')
    return 1


def read(url: str) -> str:
    """Return the body of the response or the reason of the failure."""
    try:
        with url_requests.urlopen(url, timeout=_TIMEOUT_S) as response:
            return response.read().decode(errors='replace')
    except OSError as error:
        return f'failed: {error}'


if __name__ == '__main__':
    actions = {'post': post, 'await': await_text}
    sys.exit(actions[sys.argv[1]](*sys.argv[2:]))
