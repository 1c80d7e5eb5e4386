"""Tests of the codec of gossip values."""

from __future__ import annotations

from datetime import timedelta

from banyansail.routing.crash_history import UpstreamCrash
from banyansail.routing.crash_reports import CrashReport
from banyansail.wire.gossip_codec import decode_crashes, encode_crashes


def test_crash_reports_are_decoded_as_they_were_encoded():
    crash = UpstreamCrash(
        "u1",
        "z",
        fingerprints=frozenset({1, 2**64 - 1}),
        parts=frozenset({3}),
        id=2**63,
        age=timedelta(milliseconds=1500),
    )
    report = CrashReport((crash,), {2**64 - 2: timedelta(seconds=2)})
    assert decode_crashes(encode_crashes(report)) == report
