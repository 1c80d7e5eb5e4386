"""Decoding of what the configuration and entries say of cold upstreams."""

from __future__ import annotations

import pytest

from banyansail.platform.calls import decode_reply
from banyansail.platform.site import decode_config, decode_upstream
from tests.gateway.builders import seconds

ENTRY = {
    "service": "depot",
    "address": "10.0.0.1:80",
    "zone": "glasgow",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "born": 1,
}


def service(**fields):
    body = {"version": 1, "routes": [], "services": [{"name": "depot", **fields}]}
    return decode_config(body).service_by_name["depot"]


def test_a_service_says_what_its_cold_upstreams_bear():
    spec = service(coldStartS=8, coldPerS=9.5)
    assert (spec.cold_start, spec.cold_per_s) == (seconds(8), 9.5)
    assert (service().cold_start, service().cold_per_s) == (seconds(0), 0)


@pytest.mark.parametrize(
    ("value", "left"), [(4000, 4), (0, 0), (None, 0), (-5, 0), (0.5, 0.0005)]
)
def test_an_entry_says_how_long_its_upstream_stays_cold(value, left):
    decoded = decode_upstream("d1", {**ENTRY, "coldLeftMs": value})
    assert decoded.cold_left == seconds(left)
    assert decode_upstream("d1", ENTRY).cold_left == seconds(0)


@pytest.mark.parametrize(
    ("value", "left"),
    [(b"4000", 4), (b"0", 0), (b"-1", None), (b"soon", None), (b"nan", None)],
)
def test_an_answer_says_how_long_its_upstream_stays_cold(value, left):
    """Guards against an unreadable value that ends the answer or marks it as warm."""
    cold_left = decode_reply(200, b"", [(b"X-Cold-Ms", value)]).cold_left
    assert cold_left == (None if left is None else seconds(left))
    assert decode_reply(200, b"", []).cold_left is None
