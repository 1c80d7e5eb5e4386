from __future__ import annotations

import pytest

from banyansail.upstreams.body_end import BodyEnd, expected_end


@pytest.mark.parametrize(
    "method, status, headers, end",
    [
        (b"POST", 200, [(b"Content-Length", b"0")], BodyEnd.STATED),
        (b"POST", 200, [(b"transfer-encoding", b"chunked")], BodyEnd.STATED),
        (b"POST", 200, [(b"connection", b"close")], BodyEnd.CLOSE),
        (b"POST", 502, [], BodyEnd.CLOSE),
        (b"POST", 204, [], BodyEnd.STATED),
        (b"GET", 304, [], BodyEnd.STATED),
        (b"HEAD", 200, [], BodyEnd.STATED),
    ],
)
def test_end_of_a_body(method, status, headers, end):
    assert expected_end(method, status, headers) is end
