"""Tests of the codec of gossip values."""

from __future__ import annotations

from datetime import timedelta

from banyansail.routing.quarantine import UpstreamCrash
from banyansail.wire.gossip_codec import decode_crashes, encode_crashes


def test_crashes_keep_their_id_and_age():
    crash = UpstreamCrash(
        "u1", "z", frozenset({1, 2**64 - 1}), 2**63, timedelta(milliseconds=1500)
    )
    assert decode_crashes(encode_crashes([crash])) == [crash]
